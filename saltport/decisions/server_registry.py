"""The list of servers, and those taken out by hand: which of them may be used, and since when.

A server that is out counts as draining, whatever the list says of it, until it is put back. It comes back as
one that has just started: meanwhile it may have, and the list tells so late.
"""

from __future__ import annotations

from dataclasses import replace

from saltport.decisions.interface import ListKind, Server, ServersChanged, ServerState

REMEMBERED = 4096  # ids that were listed once and are gone, the latest ones


class ServerRegistry:
    """Holds the list, and tells the tables what of it is ready."""

    def __init__(self) -> None:
        self.listed: dict[str, Server] = {}
        self.out: set[str] = set()
        self._gone: dict[str, None] = {}
        self._back: dict[str, int] = {}  # when it was put back, for as long as the list does not know better

    def knows(self, server: str) -> bool:
        """Whether it is listed, was once, or is out."""
        return server in self.listed or server in self._gone or server in self.out

    def follow(self, event: ServersChanged) -> tuple[list[Server], list[str]]:
        """Take news of the list; returns servers that are ready, and the ids of those that are not."""
        left = [entry.id for entry in event.servers if entry.state is not ServerState.READY]
        listed = {entry.id: entry for entry in event.servers if entry.state is not ServerState.GONE}
        unlisted = self.listed.keys() - listed.keys() if event.kind is not ListKind.DELTA else set()
        unlisted.update(entry.id for entry in event.servers if entry.state is ServerState.GONE)
        for server in unlisted & self.listed.keys():
            del self.listed[server]
            self._back.pop(server, None)
            self._gone[server] = None
        while len(self._gone) > REMEMBERED:
            del self._gone[next(iter(self._gone))]
        self.listed.update(listed)
        usable = [self._as_used(entry) for entry in listed.values() if entry.state is ServerState.READY]
        out = [entry.id for entry in usable if entry.id in self.out]
        return [entry for entry in usable if entry.id not in self.out], [*left, *unlisted, *out]

    def _as_used(self, entry: Server) -> Server:
        back = self._back.get(entry.id, 0)
        return replace(entry, started=back) if back > entry.started else entry

    def take_out(self, server: str) -> None:
        """Use a server no more, be it listed or not."""
        self.out.add(server)

    def put_back(self, server: str, now: int) -> Server | None:
        """Let a server be used again; returns its entry if it is ready, and None if it was not out."""
        if server not in self.out:
            return None
        self.out.discard(server)
        entry = self.listed.get(server)
        if entry is None or entry.state is not ServerState.READY:
            return None
        self._back[server] = now
        return self._as_used(entry)
