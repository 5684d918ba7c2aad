"""Addresses that a new server has taken over from one that discovery still lists. No I/O.

One process listens at an address. If a server that started later is listed there too, the earlier one's
process has ended, and its requests would reach the new process: the wrong one, and cold.
"""

from __future__ import annotations

from dataclasses import replace

from saltport.address import Address
from saltport.decisions import ListKind, Server, ServersChanged, ServerState
from saltport.membership.listing import Listing


class ReusedAddresses:
    """Which listed server is at each address, as far as discovery has told."""

    def __init__(self) -> None:
        self._latest: dict[Address, Server] = {}
        self._addresses: dict[str, Address] = {}

    def without_replaced(self, listing: Listing) -> Listing:
        """Record a listing; return it with each server as draining whose address a later one has."""
        if listing.change.kind is not ListKind.DELTA:
            self._latest.clear()
            self._addresses.clear()
        replaced: dict[str, Server] = {}
        for server in listing.change.servers:
            self._forget(server.id)
            replaced.pop(server.id, None)
            if server.state is not ServerState.GONE and (earlier := self._add(server, listing)) is not None:
                replaced[earlier.id] = replace(earlier, state=ServerState.DRAINING)
        if not replaced:
            return listing
        kept = [server for server in listing.change.servers if server.id not in replaced]
        change = ServersChanged(listing.change.kind, (*replaced.values(), *kept))
        return replace(listing, change=change)

    def _add(self, server: Server, listing: Listing) -> Server | None:
        """Record a server; return the one of the two that started earlier if its address is another's."""
        address = listing.addresses[server.id]
        other = self._latest.get(address)
        if other is not None and other.started > server.started:
            return server
        self._latest[address] = server
        self._addresses[server.id] = address
        return other if other is not None and other.started < server.started else None

    def _forget(self, server_id: str) -> None:
        """Forget at which address a server was."""
        address = self._addresses.pop(server_id, None)
        if address is not None and self._latest[address].id == server_id:
            del self._latest[address]
