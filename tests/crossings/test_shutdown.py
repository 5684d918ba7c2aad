"""SIGTERM with requests in flight: each gets a final answer before the process may be killed.

Servers hold their answers back for good, so that the end finds every request where the test put it.
"""

from __future__ import annotations

import socket
import threading
import time
from collections.abc import Callable
from pathlib import Path
from typing import Any

import pytest

from saltport.lifecycle.drain import KILL_SLACK_S, LONGEST_S, at_the_end
from saltport.lifecycle.service import LAST_ANSWERS_S, STEP_S
from saltport.upstream.pool import MAX_CONNECTIONS_PER_SERVER
from saltport.wire.memcached import REQUEST_MAGIC, Opcode, Packet, encode
from tests.binary import FRONT
from tests.sockets import (
    MISS,
    PATIENCE_S,
    Client,
    Peer,
    Routed,
    eventually,
    free_port,
    get,
    hit,
    http_answer,
    put,
    routed,
)

MS = 10**6
HELD_UP_S = 0.15
SHORT: dict[str, Any] = {
    "classes": [
        {"name": "get", "aimNs": 200 * MS, "giveUpNs": 300 * MS, "semantics": "retryable"},
        {"name": "once", "aimNs": 200 * MS, "giveUpNs": 300 * MS, "semantics": "fragile"},
    ],
    "familyInfo": {},
}
LONG = 60_000  # milliseconds that a client waits: far beyond what the settings say


def closes(router: Routed) -> bool:
    """Whether the router takes no new connections any more."""
    try:
        Client(router.port).close()
    except ConnectionRefusedError:
        return True
    return False


@pytest.mark.parametrize("longest", [0.03, 0.5, 3.0, 4.0, 30.0])
def test_last_answers_are_given_before_the_kill_may_come(longest: float) -> None:
    over = at_the_end(longest, replaced=False).over
    killed = min(longest, LONGEST_S) + KILL_SLACK_S
    assert killed - 0.21 < over < killed - 0.15


def test_last_answers_leave_in_time_though_the_router_is_held_up_just_then() -> None:
    for longest in (0.03, 0.1, 0.5, 3.0, 30.0):
        killed = min(longest, LONGEST_S) + KILL_SLACK_S
        over = at_the_end(longest, replaced=False).over
        # STANDING: a router may be held up for 0.15 s between reading its clock and writing.
        assert over + STEP_S + HELD_UP_S + LAST_ANSWERS_S / 2 <= killed


def test_what_is_in_flight_at_the_end_gets_its_final_answer(tmp_path: Path) -> None:
    held = threading.Event()

    def hold(*_: object) -> bytes:
        held.wait(2 * PATIENCE_S)
        return hit(b"late")

    cache = Peer(hold)
    with routed(tmp_path, {"s1": cache}, facts=SHORT) as router:
        unsafe, reads = router.client(), router.client()
        unsafe.send(put("once1", cls="once", d=LONG))
        reads.send(b"".join(get(f"r{i}", f"k{i}", LONG) for i in range(MAX_CONNECTIONS_PER_SERVER)))
        eventually(lambda: len(cache.seen) == MAX_CONNECTIONS_PER_SERVER, "all connections are taken")
        queued = [
            i
            for i in range(MAX_CONNECTIONS_PER_SERVER)
            if not any(words[2] == b"r%d" % i for words in cache.seen)
        ]
        router.until("current", MAX_CONNECTIONS_PER_SERVER + 1)
        router.terminate()
        begun = time.monotonic()
        assert unsafe.answer() == b"-ERR failed", "it may have run, and nobody knows"
        answers = [reads.answer() for _ in range(MAX_CONNECTIONS_PER_SERVER)]
        assert all(answer.startswith(b"-") for answer in answers)
        assert all(answers[i].startswith(b"-BUSY") for i in queued), "it never left"
        assert unsafe.at_end()
        assert reads.at_end()
        assert time.monotonic() - begun < PATIENCE_S
        assert router.process.wait(PATIENCE_S) == 0
        held.set()


def test_request_behind_another_of_a_leaving_connection_gets_its_answer(tmp_path: Path) -> None:
    held = threading.Event()

    def hold(*_: object) -> bytes:
        held.wait(2 * PATIENCE_S)
        return hit(b"late")

    with routed(tmp_path, {"s1": Peer(hold)}, facts=SHORT) as router:
        client = router.client()
        client.send(get("a1", "k1", LONG))
        router.until("current", 1)
        router.terminate()
        eventually(lambda: closes(router), "connections close after their answers")
        client.send(get("a2", "k2", LONG))
        assert client.answer().startswith(b"-")
        assert client.answer().startswith(b"-")
        assert client.at_end()
        held.set()


ASIDE = {
    "classes": [
        *SHORT["classes"],
        {
            "name": "put",
            "aimNs": 200 * MS,
            "giveUpNs": 300 * MS,
            "semantics": "dedup",
            "dedupWindowNs": 200 * MS,
        },
    ],
    "familyInfo": {"mode": "aside", "originKind": 1},
}
VALUE = b"v" * (1 << 20)
HALF = len(VALUE) // 2


class HalfServed:
    """A server that stops within a long value, and never gives the rest of it."""

    def __init__(self, answer: Callable[[bytes], bytes], is_http: bool = False) -> None:
        self.ended = threading.Event()
        """Set once the router has closed the value's connection."""
        self._answer = answer(VALUE)
        self.peer = Peer(self._serve, is_http)

    def _serve(self, connection: socket.socket, message: list[bytes]) -> bytes | None:
        if b"held" in message[1]:
            self.ended.wait(2 * PATIENCE_S)
            return None
        connection.sendall(self._answer[:HALF])
        assert connection.recv(1) == b""
        self.ended.set()
        raise OSError("the router has left")


def half_from(kind: str) -> tuple[dict[str, Peer], Peer | None, HalfServed]:
    """The servers where a cache, or behind a cache that misses the origin, stops within a value."""
    if kind == "cache":
        server = HalfServed(hit)
        return {"s1": server.peer}, None, server
    server = HalfServed(lambda value: http_answer(200, value), is_http=True)
    return {"s1": Peer(lambda *_: MISS)}, server.peer, server


@pytest.mark.parametrize("kind", ["cache", "origin"])
@pytest.mark.parametrize("reads", [True, False], ids=["reads at once", "reads after the end"])
def test_value_that_is_half_passed_on_at_the_end_is_cut_off_for_its_client(
    tmp_path: Path, kind: str, reads: bool
) -> None:
    caches, origin, server = half_from(kind)
    with routed(tmp_path, caches, origin, facts=ASIDE) as router:
        client = router.client()
        client.send(get("a1", "k1", LONG))
        if reads:
            assert client.stream.read(1) == b"$", "the value has begun"
        else:
            router.until("current", 1)
        router.terminate()
        assert router.process.wait(PATIENCE_S) == 0
        assert server.ended.wait(PATIENCE_S)
        told = client.stream.read()
        whole = b"$%d\r\n%b\r\n" % (len(VALUE), VALUE)
        assert len(told) < HALF + 100
        assert whole[int(reads) :].startswith(told), "the value's own bytes, and nothing in place of the rest"


def test_value_behind_an_unanswered_request_is_cut_off_at_the_end_behind_that_answer(tmp_path: Path) -> None:
    caches, origin, server = half_from("cache")
    with routed(tmp_path, caches, origin, facts=ASIDE) as router:
        client = router.client()
        client.send(get("a1", "held", LONG) + get("a2", "k2", LONG))
        router.until("current", 2)
        router.terminate()
        assert client.answer().startswith(b"-")
        assert client.answer().startswith(b"cut off after")
        assert client.at_end()
        assert router.process.wait(PATIENCE_S) == 0
        server.ended.set()


def test_value_that_is_half_passed_on_at_the_end_is_cut_off_on_the_memcached_wire(tmp_path: Path) -> None:
    caches, origin, _ = half_from("cache")
    port, features = free_port(), tmp_path / "memcached.toml"
    features.write_text(FRONT.format(port=port))
    with routed(tmp_path, caches, origin, facts=ASIDE, more=["--with", str(features)]) as router:
        client = Client(port)
        client.send(encode(Packet(Opcode.GET, b"k1"), REQUEST_MAGIC))
        head = client.stream.read(24)
        router.terminate()
        assert int.from_bytes(head[8:12], "big") > len(VALUE)
        assert len(client.stream.read()) < len(VALUE)
        assert router.process.wait(PATIENCE_S) == 0
