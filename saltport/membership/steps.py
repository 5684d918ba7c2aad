"""Long lists in bounded steps, so that none holds the loop: first all is read, then what differs is told.

No I/O: whoever has the list runs through `changes` and lets others run between its steps. A list that
can't be read tells nothing. What leaves or drains is told first, as its time is bounded; the router counts
as ready when the last step has been taken.
"""

from __future__ import annotations

from collections.abc import Iterator
from itertools import chain, islice
from typing import Any

from saltport.address import Address
from saltport.decisions import ListKind, Server, ServersChanged, ServerState
from saltport.membership.listing import Listing, read_entry, read_listing
from saltport.membership.start_times import StartTimes

STEP = 64  # entries; some 0.5 ms
LONG = 256  # entries; shorter lists are taken whole


_New = tuple[Server, Address | None, Any]


def _gone(name: str) -> _New:
    return Server(name, state=ServerState.GONE), None, None


class ListSteps:
    """Holds the entries as they came, and cuts long lists into steps of what is new in them."""

    def __init__(self, starts: StartTimes) -> None:
        self._starts = starts
        self._held: dict[str, Any] = {}

    def hold(self, body: Any) -> None:
        """A list that was taken by other ways, in discovery's form."""
        self._held = {entry["instanceId"]: entry for entry in body["instances"]}

    def changes(self, body: Any) -> Iterator[Listing | None]:
        """What to take, in order; None: only a pause. Raises ValueError, and then nothing of it counts."""
        try:
            entries, generation, whole = body["instances"], int(body["generation"]), bool(body["reset"])
            is_long = len(entries) > LONG
        except (KeyError, TypeError) as error:
            raise ValueError(f"not a list of servers: {type(error).__name__}: {error}") from None
        if not is_long:
            yield read_listing(body, self._starts)
            self._keep(entries, whole)
            return
        leaving: dict[str, _New] = {}
        ready: dict[str, _New] = {}
        try:
            self._starts.begin_list(entries, whole)
            for number, entry in enumerate(entries, 1):
                # Of two entries for a server the later one holds.
                leaving.pop(entry["instanceId"], None)
                ready.pop(entry["instanceId"], None)
                if self._held.get(entry["instanceId"]) != entry:
                    server, address = read_entry(entry, self._starts)
                    news = ready if server.state is ServerState.READY else leaving
                    news[server.id] = server, address, entry
                if not number % STEP:
                    yield None
        except (KeyError, TypeError, AttributeError) as error:
            raise ValueError(f"not a list of servers: {type(error).__name__}: {error}") from None
        gone: set[str] = set()
        if whole:
            gone = self._held.keys() - {entry["instanceId"] for entry in entries}
            yield None
        told = chain(map(_gone, gone), leaving.values(), ready.values())
        left = len(gone) + len(leaving) + len(ready)
        if not left:
            yield Listing(generation, ServersChanged(ListKind.DELTA), {})
        while step := list(islice(told, STEP)):
            left -= len(step)
            change = ServersChanged(ListKind.DELTA, tuple(server for server, _, _ in step))
            addresses = {server.id: address for server, address, _ in step if address is not None}
            yield Listing(generation, change, addresses, more=left > 0)
            # Danger: kept before it is taken, a step that is never taken would count as known for good.
            for server, _, entry in step:
                if server.state is ServerState.GONE:
                    self._held.pop(server.id, None)
                else:
                    self._held[server.id] = entry

    def _keep(self, entries: list[Any], whole: bool) -> None:
        if whole:
            self._held = {}
        for entry in entries:
            if entry["lifecycle"] == "removed":
                self._held.pop(entry["instanceId"], None)
            else:
                self._held[entry["instanceId"]] = entry
