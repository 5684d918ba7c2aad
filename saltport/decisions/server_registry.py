"""The server list and the servers excluded by an operator: which servers may be used, and since when.

An excluded server counts as draining, whatever the list says, until it is readmitted. It is then treated as
just started, since it may have restarted meanwhile and the list reports that late.
"""

from __future__ import annotations

from dataclasses import replace

from saltport.decisions.interface import ListKind, Server, ServersChanged, ServerState

MAX_REMOVED_IDS = 4096  # the latest ids that have left the list


class ServerRegistry:
    """The server list together with the operator's exclusions."""

    def __init__(self) -> None:
        self.listed: dict[str, Server] = {}
        self.excluded: set[str] = set()
        self._gone: dict[str, None] = {}
        self._readmitted_at: dict[str, int] = {}  # until the list shows a later start

    def knows(self, server: str) -> bool:
        """Whether a server is listed, was listed before, or is excluded."""
        return server in self.listed or server in self._gone or server in self.excluded

    def apply(self, event: ServersChanged) -> tuple[list[Server], list[str]]:
        """Apply a change of the list.

        Return the entries of the event whose servers are ready and not excluded, and the ids of the servers
        that may not be used: they are not ready, left the list, or are excluded.
        """
        left = [entry.id for entry in event.servers if entry.state is not ServerState.READY]
        listed = {entry.id: entry for entry in event.servers if entry.state is not ServerState.GONE}
        unlisted = self.listed.keys() - listed.keys() if event.kind is not ListKind.DELTA else set()
        unlisted.update(entry.id for entry in event.servers if entry.state is ServerState.GONE)
        for server in unlisted & self.listed.keys():
            del self.listed[server]
            self._readmitted_at.pop(server, None)
            self._gone[server] = None
        while len(self._gone) > MAX_REMOVED_IDS:
            del self._gone[next(iter(self._gone))]
        self.listed.update(listed)
        usable = [
            self._with_readmission_time(entry)
            for entry in listed.values()
            if entry.state is ServerState.READY
        ]
        excluded = [entry.id for entry in usable if entry.id in self.excluded]
        return [entry for entry in usable if entry.id not in self.excluded], [*left, *unlisted, *excluded]

    def _with_readmission_time(self, entry: Server) -> Server:
        """Return the entry with the time of its readmission as its start, if that is later."""
        readmitted_at = self._readmitted_at.get(entry.id, 0)
        return replace(entry, started=readmitted_at) if readmitted_at > entry.started else entry

    def exclude(self, server: str) -> None:
        """Exclude a server from use, whether or not it is listed."""
        self.excluded.add(server)

    def readmit(self, server: str, now: int) -> Server | None:
        """End the exclusion of a server; return its entry, or None if it is not ready or was not excluded."""
        if server not in self.excluded:
            return None
        self.excluded.discard(server)
        entry = self.listed.get(server)
        if entry is None or entry.state is not ServerState.READY:
            return None
        self._readmitted_at[server] = now
        return self._with_readmission_time(entry)
