"""A client that sends at full speed leaves the others their answers, and memory within bounds."""

from __future__ import annotations

import asyncio
import itertools
import socket
import threading
from collections.abc import Callable
from contextlib import suppress
from pathlib import Path

import pytest

from tests.faults.crowd import FACTS, many_reads, play, running
from tests.faults.usual_clients import DEADLINE_MS
from tests.memory import MemoryWatch, own_memory_mb
from tests.sockets import RunningRouter, bulk, get, put

SECONDS = 6.0
MEMORY_MB = 32
BATCH = 500
AIM_S = FACTS["classes"][0]["aimNs"] / 1e9
MIN_SHARE_IN_TIME = 0.9
"""Of the usual reads: the flood is one of five clients, and its work is no reason to refuse theirs."""
MAX_GROWTH_MB = 8.0
"""From the middle of a flood of ever new names to its end; without a bound it grows by tens of MB."""


def pings(_: int) -> bytes:
    return bulk(b"PING") * BATCH


def unknown_commands(_: int) -> bytes:
    return bulk(b"x") * BATCH


def requests_without_a_deadline(batch: int) -> bytes:
    return b"".join(bulk(b"KV.GET", b"k", b"b%d-%d" % (batch, i), b"c=get") for i in range(BATCH))


def unknown_classes(batch: int) -> bytes:
    return b"".join(
        bulk(b"KV.GET", b"k", b"c%d-%d" % (batch, i), b"c=x%d-%d,d=900" % (batch, i)) for i in range(BATCH)
    )


def new_tenants(batch: int) -> bytes:
    return b"".join(
        bulk(b"KV.GET", b"u1", b"t%d-%d" % (batch, i), b"c=get,t=x%d-%d,d=900" % (batch, i))
        for i in range(BATCH)
    )


def new_keys(batch: int) -> bytes:
    return b"".join(
        get(f"k{batch}-{i}", f"m{batch}/{i}", DEADLINE_MS, "").replace(b"t=acme", b"t=mine")
        for i in range(BATCH)
    )


def new_writes(batch: int) -> bytes:
    return b"".join(
        put(f"p{batch}-{i}", b"v" * 20, d=DEADLINE_MS).replace(b"t=acme", b"t=mine") for i in range(BATCH)
    )


class Flood:
    """Sends batches on one connection as fast as the router takes them, and reads what comes back."""

    def __init__(self, router: RunningRouter, batch: Callable[[int], bytes]) -> None:
        self._router, self._batch = router, batch
        self._over = threading.Event()
        self._socket: socket.socket | None = None
        self._thread = threading.Thread(target=self._run, daemon=True)

    def _run(self) -> None:
        numbers = itertools.count()
        while not self._over.is_set():
            with (
                suppress(OSError),
                socket.create_connection(("127.0.0.1", self._router.port)) as self._socket,
            ):
                threading.Thread(target=self._drain, args=(self._socket,), daemon=True).start()
                while not self._over.is_set():
                    self._socket.sendall(self._batch(next(numbers)))

    @staticmethod
    def _drain(sock: socket.socket) -> None:
        buffer = bytearray(1 << 18)
        with suppress(OSError):
            while sock.recv_into(buffer):
                pass

    def __enter__(self) -> Flood:
        self._thread.start()
        return self

    def __exit__(self, *_: object) -> None:
        self._over.set()
        if self._socket is not None:
            with suppress(OSError):
                self._socket.shutdown(socket.SHUT_RDWR)
        self._thread.join()


async def nothing(router: RunningRouter, number: int) -> None:
    """Do nothing: the flood comes from a thread."""


@pytest.mark.parametrize(
    "batch",
    [
        pings, unknown_commands, requests_without_a_deadline, unknown_classes, new_tenants, new_keys,
        new_writes,
    ],
)  # fmt: skip
def test_usual_clients_are_served_in_time_beside_a_client_at_full_speed(
    tmp_path: Path, batch: Callable[[int], bytes]
) -> None:
    """Guards against a turn of the event loop that handles all that one connection has sent."""
    with running(tmp_path, MEMORY_MB) as router, MemoryWatch(router) as watch:
        with Flood(router, batch):
            first = asyncio.run(play(router, nothing, 0, SECONDS / 2))
            middle_mb = own_memory_mb(router)
            usual = asyncio.run(play(router, nothing, 0, SECONDS / 2))
            end_mb = own_memory_mb(router)
        outcomes, took_s = first.outcomes + usual.outcomes, first.took_s + usual.took_s
        in_time = sum(took < AIM_S for took in took_s)
        print(
            dict(outcomes), f"in time {in_time}, median {usual.median_s:.3f} s, {max(took_s):.3f} s at most,"
        )
        print(f"{watch.most_mb:.0f} MB, {middle_mb:.1f} to {end_mb:.1f} MB")
    assert outcomes["lost"] == 0
    assert outcomes["served"] >= MIN_SHARE_IN_TIME * outcomes.total()
    assert in_time >= MIN_SHARE_IN_TIME * outcomes.total()
    assert usual.median_s < AIM_S
    assert end_mb - middle_mb < MAX_GROWTH_MB
    assert watch.most_mb < MEMORY_MB


@pytest.mark.parametrize(("clients", "memory_mb"), [(20, 192), (20, 32)])
def test_no_usual_read_is_lost_beside_clients_that_send_thousands_at_once(
    tmp_path: Path, clients: int, memory_mb: int
) -> None:
    """Guards against answers long after their time, as thousands of commands were read ahead of them."""
    with running(tmp_path, memory_mb) as router, MemoryWatch(router) as watch:
        usual = asyncio.run(play(router, many_reads, clients, SECONDS))
        print(dict(usual.outcomes), f"{max(usual.took_s):.3f} s at most, {watch.most_mb:.0f} MB")
    assert usual.outcomes["lost"] == 0, usual.lost
    assert max(usual.took_s) < DEADLINE_MS / 1000
    assert watch.most_mb < memory_mb
