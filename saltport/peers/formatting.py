"""The text output of `saltport peers`, built from a router's JSON report only."""

from __future__ import annotations

from collections.abc import Iterator
from typing import Any

_MAX_MEMBERS_SHOWN = 40  # limit of the members that are listed, those that are not alive first


def format_report(report: dict[str, Any]) -> Iterator[str]:
    """Yield the lines of text that show a router's view, quorum, health and members.

    `report` is the JSON object that `PeerLink.view` returns.
    """
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
    counts = report["datagrams"]
    yield (
        f"datagrams: {counts['sent']} sent ({counts['bytes_sent']} bytes), {counts['received']} taken; "
        f"dropped: {dropped}"
    )
    for zone, reach in report["zones"].items():
        cut_text = f"; no longer heard by {', '.join(reach['cut_by'])}" if reach["cut_by"] else ""
        yield (
            f"zone {zone or '-'}: {reach['direct']} heard, {reach['relayed']} by others, "
            f"{reach['unheard']} not, {reach['unknown']} not asked{cut_text}"
        )
    members = sorted(report["members"].items(), key=lambda entry: (entry[1]["state"] == "alive", entry[0]))
    for name, member in members[:_MAX_MEMBERS_SHOWN]:
        accusers = f", accused by {', '.join(member['accusers'])}" if member["accusers"] else ""
        heard_ago = "never" if member["heard_s_ago"] is None else f"{member['heard_s_ago']:.1f} s ago"
        yield (
            f"  {name}: {member['state']} for {member['for_s']:.0f} s, start {member['start']}, "
            f"incarnation {member['incarnation']}, zone {member['zone'] or '-'}, "
            f"heard {member['heard']} {'' if member['heard'] == 'self' else heard_ago}{accusers}".rstrip()
        )
    if len(members) > _MAX_MEMBERS_SHOWN:
        yield f"  and {len(members) - _MAX_MEMBERS_SHOWN} more; --json shows all"
