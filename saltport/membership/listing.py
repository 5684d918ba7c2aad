"""Parses discovery's list of servers into the event for the decision module."""

from __future__ import annotations

from dataclasses import dataclass
from typing import Any

from saltport.address import Address, parse_address
from saltport.decisions import ListKind, Server, ServersChanged, ServerState
from saltport.membership.start_times import StartTimes

_STATES = {"up": ServerState.READY, "draining": ServerState.DRAINING, "removed": ServerState.GONE}


@dataclass(frozen=True, slots=True)
class Listing:
    """One answer of discovery: the event for the decision module, and the address of each server in it."""

    generation: int
    change: ServersChanged
    addresses: dict[str, Address]
    has_more: bool = False
    """Whether more steps of the same list follow."""


def read_listing(body: Any, starts: StartTimes, kind: ListKind | None = None) -> Listing:
    """Return the listing for discovery's answer. Raises ValueError if any part of it is invalid."""
    try:
        if kind is None:
            kind = ListKind.FULL if body["reset"] else ListKind.DELTA
        starts.begin_list(body["instances"], kind is not ListKind.DELTA, is_cached=kind is ListKind.CACHED)
        read = [read_entry(entry, starts) for entry in body["instances"]]
        servers = tuple(server for server, _ in read)
        addresses = {server.id: address for server, address in read if address is not None}
        return Listing(int(body["generation"]), ServersChanged(kind, servers), addresses)
    except (KeyError, TypeError, AttributeError) as error:
        raise ValueError(f"not a list of servers: {type(error).__name__}: {error}") from None


def read_entry(entry: dict[str, Any], starts: StartTimes) -> tuple[Server, Address | None]:
    """Return the server of one entry and its address, or None as the address of a removed server.

    Raises KeyError, TypeError, AttributeError or ValueError if the entry is invalid.
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
