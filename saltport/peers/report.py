"""The report of this router's membership state, for operators and programs. No I/O."""

from __future__ import annotations

from dataclasses import asdict
from typing import Any

from saltport.peers.agent import Agent
from saltport.peers.settings import NS_PER_MS


def _ago(since: int, now: int) -> float | None:
    """Return the seconds since a time, or None where the time is 0."""
    return round((now - since) / NS_PER_MS / 1000, 3) if since else None


def report(agent: Agent, now: int) -> dict[str, Any]:
    """Return members, views, quorum and reachability as JSON-compatible data; ages are in seconds.

    `mood` and `standing` repeat `state` and `quorum` under their old names, for one more version.
    """
    views, reach, me = agent.views, agent.reach, agent.me
    cut_by = reach.cut_by(agent.members.live())
    quorum = {
        "state": str(views.quorum),
        "for_s": _ago(views.quorum_since, now),
        "yardstick": len(views.reference),
        "yardstick_view": views.reference_number,
        "present": len(views.reference & views.view.members),
    }
    return {
        "name": me.name,
        "state": str(agent.state),
        "mood": str(agent.state),  # old name of `state`, until the next version
        "start": me.start,
        "incarnation": me.incarnation,
        "zone": me.zone,
        "view": {
            "number": views.view.number,
            "digest": f"{views.view.digest:08x}",
            "members": len(views.view.members),
            "for_s": _ago(views.view.since, now),
        },
        "quorum": quorum,
        "standing": quorum,
        "health": {
            "score": agent.local_health.score,
            "lag_ms": agent.local_health.lag_ns / NS_PER_MS,
            "pauses": agent.local_health.pauses,
            "longest_pause_ms": agent.local_health.longest_pause_ns / NS_PER_MS,
            "false_alarms": agent.false_alarms,
        },
        "datagrams": {
            "sent": agent.send_queue.sent,
            "bytes_sent": agent.send_queue.bytes,
            "over_budget": agent.send_queue.over_budget,
            "received": agent.received,
        },
        "turned_away": agent.members.turned_away,
        "zones": {
            zone: {**asdict(zone_reach), "cut_by": sorted(cut_by.get(zone, ()))}
            for zone, zone_reach in reach.zones(agent.members, me.name, now).items()
        },
        "members": {
            name: {
                "state": record.state.name.lower(),
                "start": record.start,
                "incarnation": record.incarnation,
                "zone": record.zone,
                "for_s": _ago(record.since, now),
                "restarts": record.restarts,
                "heard": "self" if name == me.name else reach.kind(record, now),
                "heard_s_ago": _ago(reach.heard_at(name), now),
                "accusers": sorted(suspicion.accusers)
                if record.live and (suspicion := agent.suspicions.by_name.get(name))
                else [],
            }
            for name, record in sorted(agent.members.records.items())
        },
    }
