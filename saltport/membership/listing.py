"""The list of servers in discovery's form, read into the module's event."""

from __future__ import annotations

from dataclasses import dataclass
from typing import Any

from saltport.address import Address, parse_address
from saltport.decisions import ListKind, Server, ServersChanged, ServerState
from saltport.membership.start_times import StartTimes

_STATES = {"up": ServerState.READY, "draining": ServerState.DRAINING, "removed": ServerState.GONE}


@dataclass(frozen=True, slots=True)
class Listing:
    """One answer of discovery: the module's event, and the address of each server in it."""

    generation: int
    change: ServersChanged
    addresses: dict[str, Address]
    more: bool = False
    """Whether further steps of the same list follow."""


def read_listing(body: Any, starts: StartTimes, kind: ListKind | None = None) -> Listing:
    """Read discovery's form; raises ValueError on anything amiss, and then nothing of it counts."""
    try:
        if kind is None:
            kind = ListKind.FULL if body["reset"] else ListKind.DELTA
        starts.begin_list(body["instances"], kind is not ListKind.DELTA, is_old=kind is ListKind.CACHED)
        read = [read_entry(entry, starts) for entry in body["instances"]]
        servers = tuple(server for server, _ in read)
        addresses = {server.id: address for server, address in read if address is not None}
        return Listing(int(body["generation"]), ServersChanged(kind, servers), addresses)
    except (KeyError, TypeError, AttributeError) as error:
        raise ValueError(f"not a list of servers: {type(error).__name__}: {error}") from None


def read_entry(entry: dict[str, Any], starts: StartTimes) -> tuple[Server, Address | None]:
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
        started=starts.started(entry["instanceId"], int(entry.get("startedAtMs") or 0)),
        zone=entry.get("zone") or "",
        cell=int(entry.get("cell") or 0),
    )
    gone = server.state is ServerState.GONE
    if gone:
        starts.forget(server.id)
    return server, None if gone else parse_address("hostPort", entry["hostPort"])
