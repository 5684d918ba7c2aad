"""`saltport zones` in lines for people; from what a router answers, without its code."""

from __future__ import annotations

from collections.abc import Iterator
from typing import Any


def _row(shares: dict[str, float]) -> str:
    return ", ".join(f"{zone} {share:.0%}" for zone, share in shares.items() if share >= 0.005) or "nowhere"


def lines(told: dict[str, Any]) -> Iterator[str]:
    """The report of one router."""
    yield f"here {told['here']}: {told['state']}; {told['refused_plans']} plans of older owners refused"
    plan = told.get("plan")
    if plan is not None:
        yield (
            f"plan {plan['epoch']}.{plan['number']} of {plan['by']} ({plan['why']}), "
            f"made {plan['age_s']} s ago, on its way for {plan['way_s']:g} s, "
            f"owner heard {plan['silent_s']} s ago"
            f"{'; FROZEN' if plan['frozen'] else ''}"
        )
        if plan["out"]:
            yield f"evacuated by hand: {', '.join(plan['out'])}"
        for source, target in plan["bad"]:
            yield f"  bad: from {source} to {target}"
        for area, served in plan["origins"].items():
            if area != served:
                yield f"  region {area} is served by the origin of {served}"
    for zone, shares in told["shares"].items():
        refused = plan["refused"][zone] if plan is not None else 0
        yield f"  reads from {zone}: {_row(shares)}{f'; {refused:.0%} REFUSED' if refused else ''}"
    deciding = told["deciding"]
    if deciding is None:
        return
    yield (
        f"this router decides (epoch {deciding['epoch']}, {deciding['plans']} plans so far): "
        f"{deciding['reporting']} routers report, {deciding['following']} follow"
    )
    if deciding["doubted"]:
        yield f"  DOUBTED, as all looks bad from there: {', '.join(deciding['doubted'])}"
    for zone, seen in deciding["zones"].items():
        room = "no figure" if seen["room"] is None else f"{seen['room']:g}"
        yield (
            f"  {zone}: {seen['demand']:g} reads a second asked, {seen['in_time']:g} answered in time, "
            f"room {room}, {seen['servers']:g} servers in use, {seen['missed']:.0%} missed; "
            f"without it {deciding['without'][zone]['refused']:.0%} of all reads would be refused"
        )
