"""The table of operators' calls, and the handler of each. No I/O and no decisions."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass, field
from typing import Any, NamedTuple, Protocol
from urllib.parse import parse_qs, unquote

SERVERS_SEGMENT = "cache-servers"
VOTERS_SEGMENT = "voters"
ZONES_SEGMENT = "zones"

# Longest time over which an order may shift the reads of a zone to other zones, or back.
MAX_TRANSITION_MS = 3_600_000


class CallError(Exception):
    """An operator's call that could not be carried out; its text is shown to the operator."""


class Operations(Protocol):
    """The operations that operators can call on a router. Each is complete when its method returns."""

    def healthy(self) -> bool:
        """Whether this process accepts clients."""

    def stats(self) -> dict[str, Any]:
        """Return the counters of requests, attempts and configuration loads."""

    def state(self) -> dict[str, Any]:
        """Return the internal state of the router, for reading by people."""

    def peers(self) -> dict[str, Any]:
        """Return the membership of the fleet as this router sees it."""

    def owners(self) -> dict[str, Any]:
        """Return the work that this router owns; a voter also returns its record of all owners."""

    def zones(self) -> dict[str, Any]:
        """Return how this router distributes reads over zones, and the zone plan that it follows.

        The router that owns the plan, which all routers of the fleet follow, also returns the state from
        which it computes the plan.
        """

    def order_zones(self, action: str, zone: str, transition_ms: int, force: bool) -> int | None:
        """Send the plan owner an order and return the order's number, or None if there is no such zone.

        `action`: `evacuate` or `return` for a zone, `freeze` or `thaw` for the plan; `transition_ms`: the
        duration of the shift of reads. Raises CallError.
        """

    def step_down(self, to: str) -> None:
        """Transfer leadership to the voter `to`, or to any voter if it is empty. Raises CallError."""

    def settle_peers(self) -> bool:
        """Compute majorities from the present members from now on; return False if membership is off."""

    def ban_server(self, server: str) -> bool:
        """Send no more requests to a cache server; return False if it is unknown. Raises CallError."""

    def unban_server(self, server: str) -> bool:
        """Lift the ban of a cache server; return False if it is unknown. Raises CallError."""

    def drain(self) -> None:
        """Start to drain this process: it reports itself unhealthy and closes connections once answered."""

    def resume(self) -> None:
        """End a drain and return to normal service. Raises CallError."""


@dataclass(frozen=True, slots=True)
class CallResponse:
    """The response to a call."""

    status: int
    """The HTTP status."""
    body: dict[str, Any] = field(default_factory=dict)
    """The JSON object."""
    allow: str = ""
    """The allowed methods, for a call with another method; otherwise empty."""


class CallArguments(NamedTuple):
    """The arguments of a call: the decoded id in its path, if it has one, and its query string."""

    name: str = ""
    query: str = ""


_Handler = Callable[[Operations, CallArguments], CallResponse]


def _healthcheck(operations: Operations, _: CallArguments) -> CallResponse:
    return (
        CallResponse(200, {"healthy": True})
        if operations.healthy()
        else CallResponse(503, {"healthy": False})
    )


def _ban(operations: Operations, arguments: CallArguments) -> CallResponse:
    return _server_response(operations.ban_server(arguments.name), arguments.name, "maint")


def _unban(operations: Operations, arguments: CallArguments) -> CallResponse:
    return _server_response(operations.unban_server(arguments.name), arguments.name, "ready")


def _server_response(is_known: bool, server: str, state: str) -> CallResponse:
    return (
        CallResponse(200, {"server": server, "state": state})
        if is_known
        else _error(404, "no such cache server")
    )


def _settle_peers(operations: Operations, _: CallArguments) -> CallResponse:
    if not operations.settle_peers():
        return _error(404, "peers are off")
    return CallResponse(200, {"settled": True})


def _step_down(operations: Operations, arguments: CallArguments) -> CallResponse:
    operations.step_down(arguments.name)
    return CallResponse(200, {"lead": arguments.name or "handed over"})


def _zone_handler(action: str) -> _Handler:
    """Return the handler of an action on one zone, such as `evacuate`.

    The handler reads two values from the query string: `over`, the seconds over which the zone's reads are
    shifted, and `force=1`, which sends the order although the plan's owner would refuse it for safety.
    """

    def handle(operations: Operations, arguments: CallArguments) -> CallResponse:
        query = parse_qs(arguments.query)
        try:
            transition_ms = int(float(query.get("over", ["0"])[0]) * 1_000)
        except (ValueError, OverflowError):
            return _error(400, "over: expected seconds")
        if not 0 <= transition_ms <= MAX_TRANSITION_MS:
            return _error(400, f"over: expected 0 to {MAX_TRANSITION_MS // 1_000} seconds")
        number = operations.order_zones(action, arguments.name, transition_ms, query.get("force") == ["1"])
        return _error(404, "no such zone") if number is None else CallResponse(200, {"order": number})

    return handle


def _plan_handler(action: str) -> _Handler:
    """Return the handler of an action on the plan in force."""
    return lambda operations, _: CallResponse(200, {"order": operations.order_zones(action, "", 0, False)})


def _drain(operations: Operations, _: CallArguments) -> CallResponse:
    operations.drain()
    return CallResponse(200, {"draining": True})


def _resume(operations: Operations, _: CallArguments) -> CallResponse:
    operations.resume()
    return CallResponse(200, {"draining": False})


def _error(status: int, reason: str, allow: str = "") -> CallResponse:
    return CallResponse(status, {"error": reason}, allow)


_CALLS: dict[tuple[str, ...], tuple[str, _Handler]] = {
    ("healthcheck",): ("GET", _healthcheck),
    ("stats",): ("GET", lambda operations, _: CallResponse(200, operations.stats())),
    ("state",): ("GET", lambda operations, _: CallResponse(200, operations.state())),
    ("peers",): ("GET", lambda operations, _: CallResponse(200, operations.peers())),
    ("peers", "settle"): ("PUT", _settle_peers),
    ("owners",): ("GET", lambda operations, _: CallResponse(200, operations.owners())),
    ("owners", "step-down"): ("PUT", _step_down),
    (VOTERS_SEGMENT, "", "lead"): ("PUT", _step_down),
    ("zones",): ("GET", lambda operations, _: CallResponse(200, operations.zones())),
    (ZONES_SEGMENT, "", "evacuate"): ("PUT", _zone_handler("evacuate")),
    (ZONES_SEGMENT, "", "return"): ("PUT", _zone_handler("return")),
    ("failover", "freeze"): ("PUT", _plan_handler("freeze")),
    ("failover", "thaw"): ("PUT", _plan_handler("thaw")),
    ("healthcheck", "fail"): ("PUT", _drain),
    ("healthcheck", "ok"): ("PUT", _resume),
    (SERVERS_SEGMENT, "", "maint"): ("PUT", _ban),
    (SERVERS_SEGMENT, "", "ready"): ("PUT", _unban),
}
"""The method and the handler of each call, by path; an empty segment stands for the id."""


def handle_call(method: str, target: str, operations: Operations) -> CallResponse:
    """Carry out a call and return the response; `target` is the raw request target with its query string."""
    raw_path, _, query = target.partition("?")
    parts = raw_path.split("/")
    if parts[0] or len(parts) < 2:
        return _error(400, "the target must be a path")
    path, name = tuple(parts[1:]), ""
    if len(path) == 3 and path[0] in (SERVERS_SEGMENT, VOTERS_SEGMENT, ZONES_SEGMENT):
        try:
            name = unquote(path[1], errors="strict")
        except UnicodeDecodeError:
            return _error(400, "the id is not valid UTF-8")
        path = (path[0], "", path[2])
    allowed_method, handler = _CALLS.get(path, ("", None))
    if handler is None or (len(path) == 3 and not name):
        return _error(404, "no such call")
    if method != allowed_method and not (method == "HEAD" and allowed_method == "GET"):
        return _error(
            405,
            f"method not allowed: expected {allowed_method}",
            "GET, HEAD" if allowed_method == "GET" else allowed_method,
        )
    try:
        return handler(operations, CallArguments(name, query))
    except CallError as error:
        return _error(500, str(error))
