"""The table of operators' calls: which there are, and how each is answered. No I/O; it decides nothing."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass, field
from typing import Any, NamedTuple, Protocol
from urllib.parse import parse_qs, unquote

SERVERS = "cache-servers"
VOTERS = "voters"
ZONES = "zones"


LONGEST_WAY_MS = 3_600_000


class CallError(Exception):
    """What was asked for could not be done; the text is for the operator."""


class Operations(Protocol):
    """What the router can be asked for. Each is done, whole, when it returns."""

    def healthy(self) -> bool:
        """Whether this process takes clients."""

    def stats(self) -> dict[str, Any]:
        """The figures."""

    def state(self) -> dict[str, Any]:
        """The state of decisions and loop, for people."""

    def peers(self) -> dict[str, Any]:
        """What this router believes of the others."""

    def owners(self) -> dict[str, Any]:
        """What this router holds of the fleet's work, and what the record says where it is a voter."""

    def zones(self) -> dict[str, Any]:
        """Where reads go by zones, by which plan, and what its owner sees."""

    def order_zones(self, what: str, zone: str, way_ms: int, force: bool) -> int | None:
        """Have the owner evacuate a zone, return to it, freeze or thaw; the order's number.

        None: there is no such zone. Raises CallError.
        """

    def step_down(self, to: str) -> None:
        """Hand the lead over to this voter; empty: to any. Raises CallError."""

    def settle_peers(self) -> bool:
        """Take the present view as the yardstick of majorities; False: it knows no others."""

    def take_out(self, server: str) -> bool:
        """Send nothing more to a cache server; False: it was never listed. Raises CallError."""

    def put_back(self, server: str) -> bool:
        """Use a cache server again; False: it was never listed. Raises CallError."""

    def drain(self) -> None:
        """Empty the router."""

    def resume(self) -> None:
        """Go back to work."""


@dataclass(frozen=True, slots=True)
class Answer:
    """What a call is answered: an HTTP status, an object, and the methods allowed where it had another."""

    status: int
    body: dict[str, Any] = field(default_factory=dict)
    allow: str = ""


class Asked(NamedTuple):
    """What a call names: the id in its path, if it has one, and what stands behind the question mark."""

    name: str = ""
    query: str = ""


_Call = Callable[[Operations, Asked], Answer]


def _health(operations: Operations, _: Asked) -> Answer:
    return Answer(200, {"healthy": True}) if operations.healthy() else Answer(503, {"healthy": False})


def _out(operations: Operations, asked: Asked) -> Answer:
    return _of(operations.take_out(asked.name), asked.name, "maint")


def _back(operations: Operations, asked: Asked) -> Answer:
    return _of(operations.put_back(asked.name), asked.name, "ready")


def _of(known: bool, server: str, state: str) -> Answer:
    return Answer(200, {"server": server, "state": state}) if known else _fault(404, "no such cache server")


def _settle(operations: Operations, _: Asked) -> Answer:
    if not operations.settle_peers():
        return _fault(404, "peers are off")
    return Answer(200, {"settled": True})


def _step_down(operations: Operations, asked: Asked) -> Answer:
    operations.step_down(asked.name)
    return Answer(200, {"lead": asked.name or "handed over"})


def _order(what: str) -> _Call:
    """A call on one zone, with `over` and `force` behind its name."""

    def call(operations: Operations, asked: Asked) -> Answer:
        told = parse_qs(asked.query)
        try:
            way_ms = int(float(told.get("over", ["0"])[0]) * 1_000)
        except (ValueError, OverflowError):
            return _fault(400, "over: expected seconds")
        if not 0 <= way_ms <= LONGEST_WAY_MS:
            return _fault(400, f"over: expected 0 to {LONGEST_WAY_MS // 1_000} seconds")
        number = operations.order_zones(what, asked.name, way_ms, told.get("force") == ["1"])
        return _fault(404, "no such zone") if number is None else Answer(200, {"order": number})

    return call


def _whole(what: str) -> _Call:
    """A call on the plan as it stands."""
    return lambda operations, _: Answer(200, {"order": operations.order_zones(what, "", 0, False)})


def _drain(operations: Operations, _: Asked) -> Answer:
    operations.drain()
    return Answer(200, {"draining": True})


def _resume(operations: Operations, _: Asked) -> Answer:
    operations.resume()
    return Answer(200, {"draining": False})


def _fault(status: int, reason: str, allow: str = "") -> Answer:
    return Answer(status, {"error": reason}, allow)


_CALLS: dict[tuple[str, ...], tuple[str, _Call]] = {
    ("healthcheck",): ("GET", _health),
    ("stats",): ("GET", lambda operations, _: Answer(200, operations.stats())),
    ("state",): ("GET", lambda operations, _: Answer(200, operations.state())),
    ("peers",): ("GET", lambda operations, _: Answer(200, operations.peers())),
    ("peers", "settle"): ("PUT", _settle),
    ("owners",): ("GET", lambda operations, _: Answer(200, operations.owners())),
    ("owners", "step-down"): ("PUT", _step_down),
    (VOTERS, "", "lead"): ("PUT", _step_down),
    ("zones",): ("GET", lambda operations, _: Answer(200, operations.zones())),
    (ZONES, "", "evacuate"): ("PUT", _order("evacuate")),
    (ZONES, "", "return"): ("PUT", _order("return")),
    ("failover", "freeze"): ("PUT", _whole("freeze")),
    ("failover", "thaw"): ("PUT", _whole("thaw")),
    ("healthcheck", "fail"): ("PUT", _drain),
    ("healthcheck", "ok"): ("PUT", _resume),
    (SERVERS, "", "maint"): ("PUT", _out),
    (SERVERS, "", "ready"): ("PUT", _back),
}
"""By path, with an empty place where a server's id stands."""


def answer(method: str, target: str, operations: Operations) -> Answer:
    """Carry a call out: `target` as it came, with its percent signs and question mark."""
    before, _, query = target.partition("?")
    parts = before.split("/")
    if parts[0] or len(parts) < 2:
        return _fault(400, "the target must be a path")
    path, server = tuple(parts[1:]), ""
    if len(path) == 3 and path[0] in (SERVERS, VOTERS, ZONES):
        try:
            server = unquote(path[1], errors="strict")
        except UnicodeDecodeError:
            return _fault(400, "the id is no UTF-8")
        path = (path[0], "", path[2])
    wanted, call = _CALLS.get(path, ("", None))
    if call is None or (len(path) == 3 and not server):
        return _fault(404, "no such call")
    if method != wanted and not (method == "HEAD" and wanted == "GET"):
        return _fault(405, f"this call wants {wanted}", "GET, HEAD" if wanted == "GET" else wanted)
    try:
        return call(operations, Asked(server, query))
    except CallError as error:
        return _fault(500, str(error))
