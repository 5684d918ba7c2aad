"""Translation between the simulator's protocol, one JSON value per line, and the decision module's interface.

This module makes no routing decisions of its own.
"""

from __future__ import annotations

import sys
from collections.abc import Callable
from typing import Any, BinaryIO

import orjson

from saltport.decisions import interface as api
from saltport.decisions.logic import Router
from saltport.decisions.settings import Fields, WireError, choice, read_settings, typed

_OUTCOMES = {
    "completed": api.Outcome.OK,
    "errored": api.Outcome.ERROR,
    "saturated": api.Outcome.FULL,
    "overdue": api.Outcome.TIMEOUT,
    "refused_conn": api.Outcome.CONNECT_FAILED,
    "severed": api.Outcome.RESET,
    "recalled": api.Outcome.CANCELLED,
    "superseded": api.Outcome.NOT_SENT,
    "lookup_miss": api.Outcome.MISS,
}
_LIST_KINDS = (api.ListKind.DELTA, api.ListKind.FULL, api.ListKind.CACHED, api.ListKind.FAILED)
_STATES = (api.ServerState.GONE, api.ServerState.READY, api.ServerState.DRAINING)
_NOTES = {1: api.CacheStatus.HIT, 2: api.CacheStatus.MISS, 3: api.CacheStatus.FETCH_PENDING}


def _indexed(where: str, table: tuple[Any, ...], value: Any) -> Any:
    """Return the entry of `table` at the index `value`; raises WireError if there is none.

    `where` is the name of the message's field, for the error message.
    """
    if not 0 <= typed(where, value, int) < len(table):
        raise WireError(f"{where}: unknown value {value!r}")
    return table[value]


def _server(entry: Fields) -> api.Server:
    """Return the entry of the server list that a line of the simulator's message describes."""
    return api.Server(
        id=entry["server"],
        kind=entry.get("type") or "",
        state=_indexed("lines.mode", _STATES, entry["mode"]),
        weight=1.0 if entry.get("weight") is None else entry["weight"],
        started=entry.get("bornNs") or 0,
        zone=entry.get("campus") or "",
        cell=entry.get("stripe") or 0,
    )


def _servers_changed(fields: Fields) -> api.ServersChanged:
    """Return the event for a changed server list."""
    kind = _indexed("backendsChanged.scope", _LIST_KINDS, fields["scope"])
    return api.ServersChanged(kind, tuple(_server(entry) for entry in fields.get("lines") or ()))


def _load(row: list[float] | None) -> tuple[float, ...] | None:
    """Return the values of a load report; None: the answer had none."""
    return tuple(row) if row else None


def _request(fields: Fields) -> api.RequestArrived:
    """Return the event for a client's request."""
    return api.RequestArrived(
        request=typed("request.corr", fields["corr"], str),
        request_class=fields["category"],
        deadline=typed("request.giveUpAtNs", fields["giveUpAtNs"], int),
        tenant=fields.get("clientGroup") or None,
        key=fields.get("pathKey"),
        write=bool(fields.get("mutates")),
        retry=bool(fields.get("repeat")),
    )


def _reply(fields: Fields) -> api.AttemptEnded:
    """Return the event for the end of an attempt."""
    return api.AttemptEnded(
        request=fields["corr"],
        attempt=fields["copy"],
        server=fields["server"],
        outcome=choice("reply.verdict", _OUTCOMES, fields["verdict"]),
        closed=fields["terminal"],
        latency=fields["timeTakenNs"],
        cache_status=_NOTES.get(fields.get("note") or 0),
        load=_load(fields.get("feedback")),
    )


def _echo(fields: Fields) -> api.ProbeEnded:
    """Return the event for the result of a probe."""
    return api.ProbeEnded(
        server=fields["server"],
        outcome=choice("echo.verdict", _OUTCOMES, fields["verdict"]),
        latency=fields["timeTakenNs"],
        load=_load(fields.get("feedback")),
    )


_EVENTS: dict[str, Callable[[Fields], api.Event]] = {
    "backendsChanged": _servers_changed,
    "request": _request,
    "opened": lambda fields: api.StreamStarted(fields["corr"], fields["copy"]),
    "reply": _reply,
    "clientLeft": lambda fields: api.ClientGone(fields["corr"]),
    "fired": lambda fields: api.TimerFired(fields["handle"]),
    "echo": _echo,
}


def _send(action: api.Send) -> Fields:
    return {"transmit": {"corr": action.request, "server": action.server, "patienceNs": action.timeout}}


_ACTIONS: dict[type, Callable[[Any], Fields]] = {
    api.Send: _send,
    api.Refuse: lambda a: {"sayNo": {"corr": a.request, "backoffNs": a.retry_after}},
    api.Fail: lambda a: {"finishError": {"corr": a.request}},
    api.SetTimer: lambda a: {"setAlarm": {"fromNowNs": a.delay, "handle": a.token}},
    api.Subscribe: lambda a: {"listen": {"want": True}},
    api.Probe: lambda a: {"healthCheck": {"server": a.server}},
    api.Log: lambda a: {"debug": {"message": a.message}},
}


class Adapter:
    """Hosts router instances, identified by number, and answers batches of protocol events."""

    def __init__(self) -> None:
        self._routers: dict[int, Router] = {}

    def answer(self, line: bytes) -> bytes:
        """Return the reply line to one batch of events; raises WireError on malformed input."""
        try:
            batch = typed("batch", orjson.loads(line), dict)
            now = typed("batch.nowNs", batch["nowNs"], int)
            groups = []
            for group in typed("batch.groups", batch["groups"], list):
                number = typed("group.router", typed("group", group, dict)["router"], int)
                orders: list[Fields] = []
                for event in typed("group.in", group["in"], list):
                    self._deliver(number, event, now, orders)
                if orders:
                    groups.append({"router": number, "orders": orders})
        except orjson.JSONDecodeError as error:
            raise WireError(f"not JSON: {error}") from None
        except KeyError as error:
            raise WireError(f"missing field {error.args[0]!r}") from None
        return orjson.dumps({"groups": groups}, option=orjson.OPT_APPEND_NEWLINE)

    def _deliver(self, number: int, message: Any, now: int, orders: list[Fields]) -> None:
        """Pass an event to a simulated router, or create or remove one; append its actions to `orders`."""
        if len(typed("event", message, dict)) != 1:
            raise WireError("event: expected an object with a single key, the event's name")
        ((name, fields),) = message.items()
        typed(name, fields, dict)
        if name == "create":
            seed, facts = typed("create.salt", fields["salt"], int), typed("facts", fields["facts"], dict)
            try:
                self._routers[number] = Router(read_settings(facts), seed)
            except (TypeError, ValueError) as error:
                raise WireError(f"create: {error}") from None
            return
        router = self._routers.get(number)
        if router is None:
            raise WireError(f"event {name!r} for unknown instance {number}")
        if name == "destroy":
            del self._routers[number]
            return
        if name == "inbox":  # a peer's message, which is ignored: in the simulator routers share no state
            return
        try:
            event = _EVENTS[name](fields)
        except KeyError as error:
            known = name in _EVENTS
            raise WireError(
                f"{name}: missing field {error.args[0]!r}" if known else f"unknown event {name!r}"
            ) from None
        try:
            actions = router.handle(event, now)
        except Exception as error:  # reported in the protocol's own form
            orders.append({"panic": {"message": f"{type(error).__name__}: {error}"}})
            return
        for action in actions:
            orders.append(_ACTIONS[type(action)](action))


def serve(source: BinaryIO, sink: BinaryIO) -> None:
    """Answer every line of `source` on `sink` until `source` ends."""
    adapter = Adapter()
    for line in source:
        sink.write(adapter.answer(line))
        sink.flush()


def main() -> int:
    """Serve the simulator on standard input and output; return the exit status."""
    try:
        serve(sys.stdin.buffer, sys.stdout.buffer)
    except WireError as error:
        print(f"saltport: {error}", file=sys.stderr)
        return 2
    return 0


if __name__ == "__main__":
    sys.exit(main())
