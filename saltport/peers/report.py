"""What this router believes of its peers, for people and programs. No I/O."""

from __future__ import annotations

from dataclasses import asdict
from typing import Any

from saltport.peers.agent import Agent
from saltport.peers.settings import NS_PER_MS


def _ago(then: int, now: int) -> float | None:
    return round((now - then) / NS_PER_MS / 1000, 3) if then else None


def report(agent: Agent, now: int) -> dict[str, Any]:
    """Members, views, quorum and reach; ages are seconds. `mood`, `standing`: old names, for one version."""
    views, reach, me = agent.views, agent.reach, agent.me
    cut_by = reach.cut_by(agent.members.live())
    quorum = {
        "state": str(views.quorum),
        "for_s": _ago(views.quorum_since, now),
        "yardstick": len(views.yardstick),
        "yardstick_view": views.yardstick_number,
        "present": len(views.yardstick & views.view.members),
    }
    return {
        "name": me.name,
        "state": str(agent.state),
        "mood": str(agent.state),  # the name until the next version
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
            "lag_ms": agent.local_health.lag / NS_PER_MS,
            "pauses": agent.local_health.pauses,
            "longest_pause_ms": agent.local_health.longest_pause / NS_PER_MS,
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
            zone: {**asdict(told), "cut_by": sorted(cut_by.get(zone, ()))}
            for zone, told in reach.zones(agent.members, me.name, now).items()
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
                "accusers": sorted(held.accusers)
                if record.live and (held := agent.suspicions.held.get(name))
                else [],
            }
            for name, record in sorted(agent.members.records.items())
        },
    }
