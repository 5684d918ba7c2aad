"""Builders of settings, requests and events for the tests of saltport.decisions."""

from __future__ import annotations

from collections import Counter
from typing import Any

from saltport.decisions import (
    Action,
    AttemptEnded,
    DedupScope,
    Effect,
    Fail,
    ListKind,
    Outcome,
    Refuse,
    RequestArrived,
    RequestClass,
    Router,
    Send,
    Server,
    ServersChanged,
    Settings,
    Tenant,
)

MS = 1_000_000
S = 1_000 * MS
ORIGIN = Server("origin:1", kind="origin")


def settings(**changes: object) -> Settings:
    base: dict[str, object] = {
        "classes": (
            RequestClass("read", aim=300 * MS, deadline=S),
            RequestClass("edit", aim=500 * MS, deadline=S, effect=Effect.KEYED, dedup_window=2 * S),
            RequestClass("order", aim=500 * MS, deadline=S, effect=Effect.UNSAFE),
            RequestClass(
                "zonal",
                aim=500 * MS,
                deadline=S,
                effect=Effect.KEYED,
                dedup_scope=DedupScope.ZONE,
                dedup_window=2 * S,
            ),
        ),
        "tenants": (Tenant("a", 0.6, 60.0), Tenant("b", 0.4, 40.0)),
        "origin_kind": "origin",
    }
    return Settings(**{**base, **changes})  # type: ignore[arg-type]


def fleet(count: int, **changes: object) -> tuple[Server, ...]:
    return tuple(Server(f"10.0.0.{i}:80", kind="std", **changes) for i in range(count))  # type: ignore[arg-type]


def started(
    config: Settings, servers: tuple[Server, ...], origin: bool = True, now: int = 0, seed: int = 7
) -> Router:
    router = Router(config, seed)
    router.handle(ServersChanged(ListKind.CACHED, servers + ((ORIGIN,) if origin else ())), now)
    return router


def request(name: str, now: int = 0, cls: str = "read", **changes: object) -> RequestArrived:
    fields: dict[str, object] = {
        "request": name,
        "request_class": cls,
        "deadline": now + S,
        "tenant": "a",
        "key": "k",
        "write": cls != "read",
    }
    return RequestArrived(**{**fields, **changes})  # type: ignore[arg-type]


def ended(
    send: Send, outcome: Outcome, attempt: int = 0, closed: bool | None = None, latency: int = 20 * MS
) -> AttemptEnded:
    return AttemptEnded(
        request=send.request,
        attempt=attempt,
        server=send.server,
        outcome=outcome,
        closed=outcome is Outcome.OK if closed is None else closed,
        latency=latency,
    )


def sends(actions: list[Action]) -> list[Send]:
    return [action for action in actions if isinstance(action, Send)]


def only_send(actions: list[Action]) -> Send:
    (send,) = sends(actions)
    return send


def finals(actions: list[Action]) -> list[Refuse | Fail]:
    return [action for action in actions if isinstance(action, Refuse | Fail)]


def given_up(view: dict[str, object]) -> dict[str, int]:
    """Return the number of requests given up since the start, by reason, from a router's view."""
    rows: Any = view["given_up"]
    found: Counter[str] = Counter()
    for row in rows:
        found[row["name"][1]] += row["total"]
    return dict(found)
