"""The registry: the list of servers over HTTP, whole or as a watch, with a listener for each router.

A listener of its own stands for the agent on a router's machine, and tells the ledger which router was told
what, and when.
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

PATH = "/registry/instances"
MAX_WAIT_MS = 60_000

Entry = dict[str, Any]


class _Watch(HttpPeerConnection):
    """One connection of a router to the registry."""

    def __init__(self, registry: Registry, router: str) -> None:
        super().__init__(registry.peers[router])
        self.registry, self.router = registry, router
        self.waiting: tuple[list[Any], int, asyncio.TimerHandle] | None = None

    def request_came(
        self,
        place: list[Any],
        method: bytes,
        target: str,
        headers: dict[bytes, bytes],
        body: bytes,
        first: int,
    ) -> None:
        """Answer a call, or let a watch wait."""
        parts = urlsplit(target)
        try:
            if method != b"GET" or parts.path != PATH:
                raise ValueError(target)
            query = {name: int(values[0]) for name, values in parse_qs(parts.query).items()}
        except ValueError:
            self.answer(place, http_answer(404, b""))
            return
        index = query.get("index")
        if index is None or index < self.registry.oldest or index > self.registry.version:
            self.tell(place, None)
        elif self.registry.news(index):
            self.tell(place, index)
        else:
            wait = min(query.get("wait", 0), MAX_WAIT_MS) / 1000
            timer = asyncio.get_running_loop().call_later(wait, self.wake)
            self.waiting = place, index, timer

    def wake(self) -> None:
        """There is news, or the wait is over."""
        if self.waiting is not None and not self.lost:
            (place, index, timer), self.waiting = self.waiting, None
            timer.cancel()
            self.tell(place, index)

    def tell(self, place: list[Any], index: int | None) -> None:
        """Write the list, or what has changed since `index`, and note who was told what."""
        registry = self.registry
        entries = list(registry.published.values()) if index is None else registry.news(index)
        body = {"generation": registry.version, "reset": index is None, "instances": entries}
        self.answer(place, http_answer(200, orjson.dumps(body)))
        registry.ledger.write(
            "told", router=self.router, whole=index is None,
            states={entry["instanceId"]: [entry["lifecycle"], entry["hostPort"]] for entry in entries},
        )  # fmt: skip

    def connection_lost(self, exc: Exception | None) -> None:
        """The watch has ended."""
        super().connection_lost(exc)
        if self.waiting is not None:
            self.waiting[2].cancel()
            self.waiting = None


class Registry:
    """The list as the registry holds it, and as it has published it."""

    def __init__(self, ledger: Ledger) -> None:
        self.ledger = ledger
        self.version, self.oldest = 1, 1
        self.published: dict[str, Entry] = {}
        self._changes: list[tuple[int, Entry]] = []
        self.peers: dict[str, Peer] = {}
        self.late = 0.0
        self.stale = False
        self._queue: deque[tuple[float, Entry]] = deque()
        self._unpublished: list[Entry] = []

    def listen(self, router: str) -> Address:
        """An address for one router."""
        self.peers[router] = peer = Peer(lambda: _Watch(self, router))
        peer.open()
        return peer.address

    def news(self, index: int) -> list[Entry]:
        """The entries that changed after version `index`, each once, as they are now."""
        latest = {entry["instanceId"]: entry for version, entry in self._changes if version > index}
        return list(latest.values())

    def change(self, entry: Entry, delay: float = 0.0) -> None:
        """Take news of one server, to publish after the delay, and later still while news come late."""
        now = time.monotonic()
        due = now + delay + self.late
        if self._queue:
            # Danger: news that overtook older ones would leave a server listed, or not, for good.
            due = max(due, self._queue[-1][0])
        if due <= now:
            self._publish(entry)
            return
        self._queue.append((due, entry))
        asyncio.get_running_loop().call_later(due - now, self._publish_due)

    def _publish_due(self) -> None:
        now = time.monotonic()
        while self._queue and self._queue[0][0] <= now:
            self._publish(self._queue.popleft()[1])
        if self._queue:
            asyncio.get_running_loop().call_later(self._queue[0][0] - now + 0.001, self._publish_due)

    def _publish(self, entry: Entry) -> None:
        if self.stale:
            self._unpublished.append(entry)
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
                    connection.wake()

    def freshen(self) -> None:
        """Publish what was held back."""
        self.stale = False
        held, self._unpublished = self._unpublished, []
        for entry in held:
            self._publish(entry)

    def down(self) -> None:
        """Reset all watches and refuse new ones."""
        for peer in self.peers.values():
            peer.die()

    def up(self) -> None:
        """Answer again."""
        for peer in self.peers.values():
            peer.open()

    def close(self) -> None:
        """End everything."""
        for peer in self.peers.values():
            peer.close()


def entry_of(
    server: str, address: Address, kind: str, lifecycle: str, zone: str, cell: int, started_unix_ms: int
) -> Entry:
    """One server in the registry's form."""
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
    """A time of this process's monotonic clock as Unix time in milliseconds."""
    return (monotonic + time.time_ns() - time.monotonic_ns()) // 1_000_000
