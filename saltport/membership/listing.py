"""The list of servers in discovery's form, read into the module's event."""

from __future__ import annotations

import time
from dataclasses import dataclass
from typing import Any

from saltport.address import Address, parse_address
from saltport.decisions import ListKind, Server, ServersChanged, ServerState

_STATES = {"up": ServerState.READY, "draining": ServerState.DRAINING, "removed": ServerState.GONE}


@dataclass(frozen=True, slots=True)
class Listing:
    """One answer of discovery: the module's event, and the address of each server in it."""

    generation: int
    change: ServersChanged
    addresses: dict[str, Address]
    more: bool = False
    """Whether further steps of the same list follow."""


class Clock:
    """Turns Unix times into times of the monotonic clock, always by the same difference."""

    def __init__(self) -> None:
        self._behind = time.time_ns() - time.monotonic_ns()

    def monotonic(self, unix_ms: int) -> int:
        """The monotonic time in nanoseconds; 0 stays 0, for long ago."""
        return unix_ms * 1_000_000 - self._behind if unix_ms else 0


def read_listing(body: Any, clock: Clock, kind: ListKind | None = None) -> Listing:
    """Read discovery's form; raises ValueError on anything amiss, and then nothing of it counts."""
    try:
        read = [read_entry(entry, clock) for entry in body["instances"]]
        servers = tuple(server for server, _ in read)
        addresses = {server.id: address for server, address in read if address is not None}
        if kind is None:
            kind = ListKind.FULL if body["reset"] else ListKind.DELTA
        return Listing(int(body["generation"]), ServersChanged(kind, servers), addresses)
    except (KeyError, TypeError, AttributeError) as error:
        raise ValueError(f"not a list of servers: {type(error).__name__}: {error}") from None


def read_entry(entry: dict[str, Any], clock: Clock) -> tuple[Server, Address | None]:
    """Read one entry and its address, which one that is gone needs not have.

    Raises KeyError, TypeError, AttributeError or ValueError on anything amiss.
    """
    if not isinstance(entry["instanceId"], str):
        raise TypeError("instanceId must be a string")
    weight = entry.get("weight")
    server = Server(
        id=entry["instanceId"],
        kind=entry.get("machineType") or "",
        state=_STATES[entry["lifecycle"]],
        weight=1.0 if weight is None else float(weight),
        started=clock.monotonic(int(entry.get("startedAtMs") or 0)),
        zone=entry.get("zone") or "",
        cell=int(entry.get("cell") or 0),
    )
    gone = server.state is ServerState.GONE
    return server, None if gone else parse_address("hostPort", entry["hostPort"])
