"""What this router believes of its peers, for people and programs. No I/O."""

from __future__ import annotations

from dataclasses import asdict
from typing import Any

from saltport.peers.agent import Agent
from saltport.peers.settings import NS_PER_MS


def _ago(then: int, now: int) -> float | None:
    return round((now - then) / NS_PER_MS / 1000, 3) if then else None


def report(agent: Agent, now: int) -> dict[str, Any]:
    """Members, views, standing and reach; ages are seconds."""
    views, reach, me = agent.views, agent.reach, agent.me
    cut_by = reach.cut_by(agent.members.live())
    return {
        "name": me.name,
        "mood": str(agent.mood),
        "start": me.start,
        "incarnation": me.incarnation,
        "zone": me.zone,
        "view": {
            "number": views.view.number,
            "digest": f"{views.view.digest:08x}",
            "members": len(views.view.members),
            "for_s": _ago(views.view.since, now),
        },
        "standing": {
            "state": str(views.standing),
            "for_s": _ago(views.standing_since, now),
            "yardstick": len(views.yardstick),
            "yardstick_view": views.yardstick_number,
            "present": len(views.yardstick & views.view.members),
        },
        "health": {
            "score": agent.patience.score,
            "lag_ms": agent.patience.lag / NS_PER_MS,
            "pauses": agent.patience.pauses,
            "longest_pause_ms": agent.patience.longest_pause / NS_PER_MS,
            "false_alarms": agent.false_alarms,
        },
        "datagrams": {
            "sent": agent.outbox.sent,
            "bytes_sent": agent.outbox.bytes,
            "over_budget": agent.outbox.over_budget,
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
                if record.live and (held := agent.accusations.held.get(name))
                else [],
            }
            for name, record in sorted(agent.members.records.items())
        },
    }
