"""A server whose address a later-started one has is used no more, whatever order discovery tells it in."""

from __future__ import annotations

import pytest

from saltport.decisions import ListKind, Server, ServersChanged, ServerState
from saltport.membership.listing import Listing
from saltport.membership.reused_addresses import ReusedAddresses

X, Y = ("127.0.0.1", 1), ("127.0.0.1", 2)
READY, DRAINING, GONE = ServerState.READY, ServerState.DRAINING, ServerState.GONE


def server(name: str, started: int, state: ServerState = READY) -> Server:
    return Server(name, state=state, started=started)


def listing(kind: ListKind, *entries: tuple[Server, tuple[str, int] | None]) -> Listing:
    addresses = {entry.id: address for entry, address in entries if address is not None}
    return Listing(1, ServersChanged(kind, tuple(entry for entry, _ in entries)), addresses)


def states(result: Listing) -> dict[str, ServerState]:
    return {entry.id: entry.state for entry in result.change.servers}


@pytest.mark.parametrize("kind", [ListKind.FULL, ListKind.CACHED, ListKind.DELTA])
@pytest.mark.parametrize("order", [1, -1])
def test_later_one_of_two_at_an_address_is_used(kind: ListKind, order: int) -> None:
    both = [(server("old", 0), X), (server("new", 5), X), (server("other", 0), Y)][::order]
    result = ReusedAddresses().without_replaced(listing(kind, *both))
    assert states(result) == {"old": DRAINING, "new": READY, "other": READY}


def test_change_that_tells_a_new_server_ends_the_use_of_the_one_before() -> None:
    addresses = ReusedAddresses()
    addresses.without_replaced(listing(ListKind.FULL, (server("old", 3), X)))
    assert states(addresses.without_replaced(listing(ListKind.DELTA, (server("new", 5), X)))) == {
        "old": DRAINING,
        "new": READY,
    }
    again = listing(ListKind.DELTA, (server("old", 3), X))
    assert states(addresses.without_replaced(again)) == {"old": DRAINING}, "listed again, as it was"
    moved = listing(ListKind.DELTA, (server("old", 3), Y))
    assert states(addresses.without_replaced(moved)) == {"old": READY}
    gone = listing(ListKind.DELTA, (server("new", 5, GONE), None), (server("last", 4), X))
    assert states(addresses.without_replaced(gone)) == {"new": GONE, "last": READY}


def test_servers_with_unknown_starts_are_left_as_they_are() -> None:
    both = listing(ListKind.FULL, (server("a", 0), X), (server("b", 0), X))
    assert ReusedAddresses().without_replaced(both) is both


def test_restart_of_the_server_itself_is_no_reuse() -> None:
    addresses = ReusedAddresses()
    addresses.without_replaced(listing(ListKind.FULL, (server("a", 0), X)))
    restarted = listing(ListKind.DELTA, (server("a", 7), X))
    assert addresses.without_replaced(restarted) is restarted
