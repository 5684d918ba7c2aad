"""The simulator's protocol, extended by the events, actions and settings that only the real router has.

The recordings contain JSON in this format, so that a renamed class or field needs a change here only.
"""

from __future__ import annotations

from collections.abc import Iterator
from contextlib import contextmanager
from typing import Any
from unittest import mock

from saltport.decisions import interface as api
from saltport.decisions.settings import Fields, read_settings
from saltport.decisions.topology import Topology
from saltport.simulator import adapter

_OUTCOMES = adapter._OUTCOMES


def read_widened_settings(facts: Fields) -> api.Settings:
    """Return settings read as by the adapter, with the optional parts under the key `widened`."""
    widened = facts.get("widened") or {}
    base = read_settings(facts)
    changes: dict[str, Any] = {}
    if "hotKeys" in widened:
        hot_keys = {**widened["hotKeys"], "fill": api.Fill(widened["hotKeys"]["fill"])}
        changes["hot_keys"] = api.HotKeySettings(**hot_keys)
    if "topology" in widened:
        told = widened["topology"]
        changes["topology"] = Topology(
            zones=tuple(told["zones"]),
            here=told["here"],
            regions=tuple(told["regions"]),
            origins=tuple((region, server) for region, server in told["origins"]),
        )
    if "overloadTarget" in widened:
        changes["overload_target"] = widened["overloadTarget"]
    fields = {name: getattr(base, name) for name in base.__dataclass_fields__}
    return api.Settings(**{**fields, **changes})


def _attempt_ended(fields: Fields) -> api.AttemptEnded:
    return api.AttemptEnded(
        request=fields["corr"],
        attempt=fields["copy"],
        server=fields["server"],
        outcome=_OUTCOMES[fields["verdict"]],
        closed=fields["terminal"],
        latency=fields["timeTakenNs"],
        load=tuple(fields["feedback"]) if fields.get("feedback") else None,
        lag=fields.get("lag", 0),
        connection_reused=fields.get("kept", False),
        size=fields.get("size", 0),
    )


def _zone_plan(fields: Fields) -> api.ZonePlan:
    plan: Fields = {
        name: tuple(value) if isinstance(value, list) else value for name, value in fields.items()
    }
    return api.ZonePlan(**plan)


EVENTS = {
    "reply": _attempt_ended,
    "loop": lambda fields: api.LoopReport(**fields),
    "takeOut": lambda fields: api.ServerExcluded(fields["server"]),
    "putBack": lambda fields: api.ServerReadmitted(fields["server"]),
    "settings": lambda fields: api.SettingsChanged(read_widened_settings(fields)),
    "copied": lambda fields: api.CopyEnded(fields["key"], fields["server"], _OUTCOMES[fields["verdict"]]),
    "dropped": lambda fields: api.InvalidationEnded(
        fields["key"], fields["server"], _OUTCOMES[fields["verdict"]], fields["turn"]
    ),
    "plan": _zone_plan,
}


def _send(action: api.Send) -> Fields:
    fields: Fields = {"corr": action.request, "server": action.server, "patienceNs": action.timeout}
    return {"transmit": {**fields, "hold": action.defer_answer, "notAfterNs": action.not_after}}


ACTIONS = {
    api.Send: _send,
    api.Answer: lambda action: {"answer": {"corr": action.request}},
    api.Copy: lambda action: {
        "copy": {
            "corr": action.request,
            "key": action.key,
            "server": action.server,
            "leaseNs": action.lease,
        }
    },
    api.Invalidate: lambda action: {
        "drop": {"key": action.key, "server": action.server, "turn": action.sequence}
    },
}


@contextmanager
def widened() -> Iterator[adapter.Adapter]:
    """An adapter that speaks the extended protocol."""
    with (
        mock.patch.dict(adapter._EVENTS, EVENTS),
        mock.patch.dict(adapter._ACTIONS, ACTIONS),
        mock.patch.object(adapter, "read_settings", read_widened_settings),
    ):
        yield adapter.Adapter()
