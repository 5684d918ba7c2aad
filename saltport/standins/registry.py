"""A simulated service registry over HTTP: returns the list of servers, or waits for changes to it.

Each router has a listener of its own, in place of the registry agent on its machine, so that the ledger shows
which router received which entries at what time.
"""

from __future__ import annotations

import asyncio
import time
from collections import deque
from typing import Any
from urllib.parse import parse_qs, urlsplit

import orjson

from saltport.standins.ledger import Ledger
from saltport.standins.origin import HttpPeerConnection
from saltport.standins.peer import Address, Peer
from saltport.standins.spoil import http_answer

INSTANCES_PATH = "/registry/instances"
MAX_WAIT_MS = 60_000  # limit of the time that a watch may wait for changes

Entry = dict[str, Any]


class _Watch(HttpPeerConnection):
    """A connection from a router to the registry."""

    def __init__(self, registry: Registry, router: str) -> None:
        super().__init__(registry.peers[router])
        self.registry, self.router = registry, router
        self.pending: tuple[list[Any], int, asyncio.TimerHandle] | None = None

    def handle_request(
        self,
        reply_slot: list[Any],
        method: bytes,
        target: str,
        headers: dict[bytes, bytes],
        body: bytes,
        first_byte_at: int,
    ) -> None:
        """Answer a request at once, or hold a watch until the list changes or its wait ends."""
        parts = urlsplit(target)
        try:
            if method != b"GET" or parts.path != INSTANCES_PATH:
                raise ValueError(target)
            query = {name: int(values[0]) for name, values in parse_qs(parts.query).items()}
        except ValueError:
            self.answer(reply_slot, http_answer(404, b""))
            return
        index = query.get("index")
        if index is None or index < self.registry.oldest or index > self.registry.version:
            self.send_list(reply_slot, None)
        elif self.registry.changes_since(index):
            self.send_list(reply_slot, index)
        else:
            wait = min(query.get("wait", 0), MAX_WAIT_MS) / 1000
            timer = asyncio.get_running_loop().call_later(wait, self.complete)
            self.pending = reply_slot, index, timer

    def complete(self) -> None:
        """Answer the pending watch, if any, with the changes since its index."""
        if self.pending is not None and not self.lost:
            (reply_slot, index, timer), self.pending = self.pending, None
            timer.cancel()
            self.send_list(reply_slot, index)

    def send_list(self, reply_slot: list[Any], index: int | None) -> None:
        """Send the changes since `index` (None: the full list) and record them in the ledger."""
        registry = self.registry
        entries = list(registry.published.values()) if index is None else registry.changes_since(index)
        body = {"generation": registry.version, "reset": index is None, "instances": entries}
        self.answer(reply_slot, http_answer(200, orjson.dumps(body)))
        registry.ledger.write(
            "told", router=self.router, whole=index is None,
            states={entry["instanceId"]: [entry["lifecycle"], entry["hostPort"]] for entry in entries},
        )  # fmt: skip

    def connection_lost(self, exc: Exception | None) -> None:
        """Cancel the pending watch."""
        super().connection_lost(exc)
        if self.pending is not None:
            self.pending[2].cancel()
            self.pending = None


class Registry:
    """The published list of servers with its version, and the changes not yet published."""

    def __init__(self, ledger: Ledger) -> None:
        self.ledger = ledger
        self.version, self.oldest = 1, 1
        self.published: dict[str, Entry] = {}
        self._changes: list[tuple[int, Entry]] = []
        self.peers: dict[str, Peer] = {}
        self.publish_delay_s = 0.0
        self.publishing_paused = False
        self._delayed_changes: deque[tuple[float, Entry]] = deque()
        self._withheld: list[Entry] = []

    def listen(self, router: str) -> Address:
        """Open a listener for one router and return its address."""
        self.peers[router] = peer = Peer(lambda: _Watch(self, router))
        peer.open()
        return peer.address

    def changes_since(self, index: int) -> list[Entry]:
        """Return the entries that changed after version `index`, each once in its latest state."""
        latest = {entry["instanceId"]: entry for version, entry in self._changes if version > index}
        return list(latest.values())

    def change(self, entry: Entry, delay: float = 0.0) -> None:
        """Publish a changed entry after `delay` seconds plus the delay of an active fault."""
        now = time.monotonic()
        due = now + delay + self.publish_delay_s
        if self._delayed_changes:
            # Danger: a change that overtakes an older one would leave a server wrongly listed for good.
            due = max(due, self._delayed_changes[-1][0])
        if due <= now:
            self._publish(entry)
            return
        self._delayed_changes.append((due, entry))
        asyncio.get_running_loop().call_later(due - now, self._publish_due)

    def _publish_due(self) -> None:
        """Publish the delayed changes that are due, and schedule the next."""
        now = time.monotonic()
        while self._delayed_changes and self._delayed_changes[0][0] <= now:
            self._publish(self._delayed_changes.popleft()[1])
        if self._delayed_changes:
            asyncio.get_running_loop().call_later(
                self._delayed_changes[0][0] - now + 0.001, self._publish_due
            )

    def _publish(self, entry: Entry) -> None:
        """Publish a changed entry and answer the pending watches, or withhold it while paused."""
        if self.publishing_paused:
            self._withheld.append(entry)
            return
        self.version += 1
        if entry["lifecycle"] == "removed":
            self.published.pop(entry["instanceId"], None)
        else:
            self.published[entry["instanceId"]] = entry
        self._changes.append((self.version, entry))
        self.ledger.write("listed", server=entry["instanceId"], state=entry["lifecycle"])
        for peer in self.peers.values():
            for connection in list(peer.connections):
                if isinstance(connection, _Watch):
                    connection.complete()

    def resume_publishing(self) -> None:
        """Publish the withheld changes, and from now on all changes again."""
        self.publishing_paused = False
        withheld, self._withheld = self._withheld, []
        for entry in withheld:
            self._publish(entry)

    def stop(self) -> None:
        """Reset all connections and refuse new ones."""
        for peer in self.peers.values():
            peer.crash()

    def start(self) -> None:
        """Accept connections again after `stop`."""
        for peer in self.peers.values():
            peer.open()

    def close(self) -> None:
        """Close all listeners and connections."""
        for peer in self.peers.values():
            peer.close()


def instance_entry(
    server: str, address: Address, kind: str, lifecycle: str, zone: str, cell: int, started_unix_ms: int
) -> Entry:
    """Return the registry entry of a server."""
    return {
        "instanceId": server,
        "hostPort": f"{address[0]}:{address[1]}",
        "zone": zone,
        "machineType": kind,
        "cell": cell,
        "lifecycle": lifecycle,
        "weight": 1.0,
        "startedAtMs": started_unix_ms,
    }


def unix_ms(monotonic: int) -> int:
    """Convert a monotonic clock reading of this process in nanoseconds to Unix time in milliseconds."""
    return (monotonic + time.time_ns() - time.monotonic_ns()) // 1_000_000
