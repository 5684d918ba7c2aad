"""`saltport peers` in lines for people; from what a router answers, without its code."""

from __future__ import annotations

from collections.abc import Iterator
from typing import Any

_MOST = 40  # members shown, those in trouble first


def lines(report: dict[str, Any]) -> Iterator[str]:
    """The report of one router."""
    view, quorum, health = report["view"], report["quorum"], report["health"]
    yield (
        f"{report['name']} ({report['state']}, start {report['start']}, "
        f"incarnation {report['incarnation']}): "
        f"{quorum['state']} for {quorum['for_s']:.0f} s, "
        f"{quorum['present']} of {quorum['yardstick']} in view {quorum['yardstick_view']}"
    )
    yield f"view {view['number']} ({view['digest']}), {view['members']} routers, for {view['for_s']:.1f} s"
    yield (
        f"own health {health['score']}, lag {health['lag_ms']:.0f} ms, "
        f"{health['pauses']} pauses (longest {health['longest_pause_ms']:.0f} ms), "
        f"{health['false_alarms']} false alarms"
    )
    dropped = ", ".join(f"{count} {why}" for why, count in report["dropped"].items()) or "none"
    sent = report["datagrams"]
    yield (
        f"datagrams: {sent['sent']} sent ({sent['bytes_sent']} bytes), {sent['received']} taken; "
        f"dropped: {dropped}"
    )
    for zone, reach in report["zones"].items():
        cut = f"; no longer heard by {', '.join(reach['cut_by'])}" if reach["cut_by"] else ""
        yield (
            f"zone {zone or '-'}: {reach['direct']} heard, {reach['relayed']} by others, "
            f"{reach['unheard']} not, {reach['unknown']} not asked{cut}"
        )
    members = sorted(report["members"].items(), key=lambda entry: (entry[1]["state"] == "alive", entry[0]))
    for name, member in members[:_MOST]:
        accusers = f", accused by {', '.join(member['accusers'])}" if member["accusers"] else ""
        ago = "never" if member["heard_s_ago"] is None else f"{member['heard_s_ago']:.1f} s ago"
        yield (
            f"  {name}: {member['state']} for {member['for_s']:.0f} s, start {member['start']}, "
            f"incarnation {member['incarnation']}, zone {member['zone'] or '-'}, "
            f"heard {member['heard']} {'' if member['heard'] == 'self' else ago}{accusers}".rstrip()
        )
    if len(members) > _MOST:
        yield f"  and {len(members) - _MOST} more; --json shows all"
