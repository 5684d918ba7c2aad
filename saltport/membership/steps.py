"""Splits long lists into steps of bounded size, so that none blocks the loop.

All entries are parsed first, then those that differ from the known list are yielded. No I/O: the caller
iterates over `changes` and yields to the loop between its steps. An invalid list yields no change. Servers
that leave or drain come first, as their time is limited; the router is ready after the last step.
"""

from __future__ import annotations

from collections.abc import Iterator
from itertools import chain, islice
from typing import Any

from saltport.address import Address
from saltport.decisions import ListKind, Server, ServersChanged, ServerState
from saltport.membership.listing import Listing, read_entry, read_listing
from saltport.membership.start_times import StartTimes

STEP_ENTRIES = 64  # about 0.5 ms of work
MAX_UNSPLIT_ENTRIES = 256  # longer lists are split into steps


_Change = tuple[Server, Address | None, Any]


def _removal(name: str) -> _Change:
    return Server(name, state=ServerState.GONE), None, None


class ListSteps:
    """Stores the known entries, and splits the changes in a long list into steps."""

    def __init__(self, starts: StartTimes) -> None:
        self._starts = starts
        self._known_entries: dict[str, Any] = {}

    def set_known(self, body: Any) -> None:
        """Set the known entries from a list in discovery's form that came from another source."""
        self._known_entries = {entry["instanceId"]: entry for entry in body["instances"]}

    def changes(self, body: Any) -> Iterator[Listing | None]:
        """Yield the changes of a list in order, and None as a pause. Raises ValueError, before any change."""
        try:
            entries, generation, full = body["instances"], int(body["generation"]), bool(body["reset"])
            is_long = len(entries) > MAX_UNSPLIT_ENTRIES
        except (KeyError, TypeError) as error:
            raise ValueError(f"not a list of servers: {type(error).__name__}: {error}") from None
        if not is_long:
            yield read_listing(body, self._starts)
            self._store(entries, full)
            return
        leaving: dict[str, _Change] = {}
        ready: dict[str, _Change] = {}
        try:
            self._starts.begin_list(entries, full)
            for number, entry in enumerate(entries, 1):
                # The later one of two entries for a server counts.
                leaving.pop(entry["instanceId"], None)
                ready.pop(entry["instanceId"], None)
                if self._known_entries.get(entry["instanceId"]) != entry:
                    server, address = read_entry(entry, self._starts)
                    target = ready if server.state is ServerState.READY else leaving
                    target[server.id] = server, address, entry
                if not number % STEP_ENTRIES:
                    yield None
        except (KeyError, TypeError, AttributeError) as error:
            raise ValueError(f"not a list of servers: {type(error).__name__}: {error}") from None
        gone: set[str] = set()
        if full:
            gone = self._known_entries.keys() - {entry["instanceId"] for entry in entries}
            yield None
        pending = chain(map(_removal, gone), leaving.values(), ready.values())
        remaining = len(gone) + len(leaving) + len(ready)
        if not remaining:
            yield Listing(generation, ServersChanged(ListKind.DELTA), {})
        while step := list(islice(pending, STEP_ENTRIES)):
            remaining -= len(step)
            change = ServersChanged(ListKind.DELTA, tuple(server for server, _, _ in step))
            addresses = {server.id: address for server, address, _ in step if address is not None}
            yield Listing(generation, change, addresses, has_more=remaining > 0)
            # Danger: stored before it is applied, a step that is never applied would count as known.
            for server, _, entry in step:
                if server.state is ServerState.GONE:
                    self._known_entries.pop(server.id, None)
                else:
                    self._known_entries[server.id] = entry

    def _store(self, entries: list[Any], full: bool) -> None:
        """Store the raw entries of a list, or of its changes, for later comparisons."""
        if full:
            self._known_entries = {}
        for entry in entries:
            if entry["lifecycle"] == "removed":
                self._known_entries.pop(entry["instanceId"], None)
            else:
                self._known_entries[entry["instanceId"]] = entry
