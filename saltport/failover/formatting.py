"""Formats the answer of a router for `saltport zones` as text lines."""

from __future__ import annotations

from collections.abc import Iterator
from typing import Any


def _format_shares(shares: dict[str, float]) -> str:
    """Return the shares by zone as text, without those that round to 0 %."""
    return ", ".join(f"{zone} {share:.0%}" for zone, share in shares.items() if share >= 0.005) or "nowhere"


def format_view(view: dict[str, Any]) -> Iterator[str]:
    """Yield the lines for one router's view of failover, as the `/zones` call returns it."""
    yield f"here {view['here']}: {view['state']}; {view['refused_plans']} plans rejected"
    plan = view.get("plan")
    if plan is not None:
        yield (
            f"plan {plan['epoch']}.{plan['number']} of {plan['by']} ({plan['why']}), "
            f"made {plan['age_s']} s ago, transition {plan['way_s']:g} s, "
            f"owner heard {plan['silent_s']} s ago"
            f"{'; FROZEN' if plan['frozen'] else ''}"
        )
        if plan["out"]:
            yield f"evacuated by hand: {', '.join(plan['out'])}"
        for source, target in plan["bad"]:
            yield f"  bad: from {source} to {target}"
        for region, serving_region in plan["origins"].items():
            if region != serving_region:
                yield f"  region {region} is served by the origin of {serving_region}"
    for zone, shares in view["shares"].items():
        refused = plan["refused"][zone] if plan is not None else 0
        yield f"  reads from {zone}: {_format_shares(shares)}{f'; {refused:.0%} REFUSED' if refused else ''}"
    deciding = view["deciding"]
    if deciding is None:
        return
    yield (
        f"this router decides (epoch {deciding['epoch']}, {deciding['plans']} plans so far): "
        f"{deciding['reporting']} routers report, {deciding['following']} follow"
    )
    if deciding["doubted"]:
        yield f"  DOUBTED, as every zone looks bad from there: {', '.join(deciding['doubted'])}"
    for zone, state in deciding["zones"].items():
        room = "unknown" if state["room"] is None else f"{state['room']:g}"
        yield (
            f"  {zone}: {state['demand']:g} reads a second asked, {state['in_time']:g} answered in time, "
            f"room {room}, {state['servers']:g} servers in use, {state['missed']:.0%} missed; "
            f"without it {deciding['without'][zone]['refused']:.0%} of all reads would be refused"
        )
