"""SIGTERM with requests in progress: each gets a final reply before the process may be killed.

Servers never finish their answers, so every request is still in its state when the process exits.
"""

from __future__ import annotations

import socket
import threading
import time
from collections.abc import Callable
from pathlib import Path
from typing import Any

import pytest

from saltport.lifecycle.drain import KILL_SLACK_S, MAX_DEADLINE_S, shutdown_plan
from saltport.lifecycle.service import LAST_REPLIES_S, POLL_S
from saltport.upstream.pool import MAX_CONNECTIONS_PER_SERVER
from saltport.wire.memcached import REQUEST_MAGIC, Opcode, Packet, encode
from tests.binary import MEMCACHED_FEATURE
from tests.sockets import (
    MISS,
    TIMEOUT_S,
    Client,
    Peer,
    RunningRouter,
    eventually,
    free_port,
    get,
    hit,
    http_answer,
    put,
    run_router,
)

MS = 10**6
MAX_DELAY_S = 0.15
SHORT: dict[str, Any] = {
    "classes": [
        {"name": "get", "aimNs": 200 * MS, "giveUpNs": 300 * MS, "semantics": "retryable"},
        {"name": "once", "aimNs": 200 * MS, "giveUpNs": 300 * MS, "semantics": "fragile"},
    ],
    "familyInfo": {},
}
LONG_MS = 60_000  # client time limit, far beyond the limits of the settings


def refuses_connections(router: RunningRouter) -> bool:
    """Whether the router no longer accepts connections."""
    try:
        Client(router.port).close()
    except ConnectionRefusedError:
        return True
    return False


@pytest.mark.parametrize("longest", [0.03, 0.5, 3.0, 4.0, 30.0])
def test_last_replies_are_sent_before_the_process_may_be_killed(longest: float) -> None:
    over = shutdown_plan(longest, replaced=False).expired
    killed = min(longest, MAX_DEADLINE_S) + KILL_SLACK_S
    assert killed - 0.21 < over < killed - 0.15


def test_last_replies_are_sent_in_time_even_if_the_router_is_delayed() -> None:
    for longest in (0.03, 0.1, 0.5, 3.0, 30.0):
        killed = min(longest, MAX_DEADLINE_S) + KILL_SLACK_S
        over = shutdown_plan(longest, replaced=False).expired
        # STANDING: a router may be delayed by 0.15 s between reading its clock and writing.
        assert over + POLL_S + MAX_DELAY_S + LAST_REPLIES_S / 2 <= killed


def test_requests_in_progress_at_exit_get_a_final_reply(tmp_path: Path) -> None:
    release = threading.Event()

    def wait_for_release(*_: object) -> bytes:
        release.wait(2 * TIMEOUT_S)
        return hit(b"late")

    cache = Peer(wait_for_release)
    with run_router(tmp_path, {"s1": cache}, facts=SHORT) as router:
        unsafe, reads = router.client(), router.client()
        unsafe.send(put("once1", cls="once", d=LONG_MS))
        reads.send(b"".join(get(f"r{i}", f"k{i}", LONG_MS) for i in range(MAX_CONNECTIONS_PER_SERVER)))
        eventually(lambda: len(cache.seen) == MAX_CONNECTIONS_PER_SERVER, "all connections are in use")
        queued = [
            i
            for i in range(MAX_CONNECTIONS_PER_SERVER)
            if not any(words[2] == b"r%d" % i for words in cache.seen)
        ]
        router.until("current", MAX_CONNECTIONS_PER_SERVER + 1)
        router.terminate()
        begun = time.monotonic()
        assert unsafe.answer() == b"-ERR failed", "the write may have run"
        answers = [reads.answer() for _ in range(MAX_CONNECTIONS_PER_SERVER)]
        assert all(answer.startswith(b"-") for answer in answers)
        assert all(answers[i].startswith(b"-BUSY") for i in queued), "the request was never sent"
        assert unsafe.at_end()
        assert reads.at_end()
        assert time.monotonic() - begun < TIMEOUT_S
        assert router.process.wait(TIMEOUT_S) == 0
        release.set()


def test_request_pipelined_on_a_closing_connection_gets_its_reply(tmp_path: Path) -> None:
    release = threading.Event()

    def wait_for_release(*_: object) -> bytes:
        release.wait(2 * TIMEOUT_S)
        return hit(b"late")

    with run_router(tmp_path, {"s1": Peer(wait_for_release)}, facts=SHORT) as router:
        client = router.client()
        client.send(get("a1", "k1", LONG_MS))
        router.until("current", 1)
        router.terminate()
        eventually(lambda: refuses_connections(router), "the router no longer accepts connections")
        client.send(get("a2", "k2", LONG_MS))
        assert client.answer().startswith(b"-")
        assert client.answer().startswith(b"-")
        assert client.at_end()
        release.set()


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


class PartialServer:
    """A server that pauses within a long value, and never sends the rest."""

    def __init__(self, answer: Callable[[bytes], bytes], is_http: bool = False) -> None:
        self.ended = threading.Event()
        """Set once the router has closed the value's connection."""
        self._answer = answer(VALUE)
        self.peer = Peer(self._serve, is_http)

    def _serve(self, connection: socket.socket, message: list[bytes]) -> bytes | None:
        if b"held" in message[1]:
            self.ended.wait(2 * TIMEOUT_S)
            return None
        connection.sendall(self._answer[:HALF])
        assert connection.recv(1) == b""
        self.ended.set()
        raise OSError("the router has closed the connection")


def servers_with_partial_value(kind: str) -> tuple[dict[str, Peer], Peer | None, PartialServer]:
    """Return cache servers, origin, and the one of them (of the given kind) that pauses within a value."""
    if kind == "cache":
        server = PartialServer(hit)
        return {"s1": server.peer}, None, server
    server = PartialServer(lambda value: http_answer(200, value), is_http=True)
    return {"s1": Peer(lambda *_: MISS)}, server.peer, server


@pytest.mark.parametrize("kind", ["cache", "origin"])
@pytest.mark.parametrize("reads", [True, False], ids=["reads at once", "reads after the end"])
def test_partly_sent_value_is_cut_off_at_exit(tmp_path: Path, kind: str, reads: bool) -> None:
    caches, origin, server = servers_with_partial_value(kind)
    with run_router(tmp_path, caches, origin, facts=ASIDE) as router:
        client = router.client()
        client.send(get("a1", "k1", LONG_MS))
        if reads:
            assert client.stream.read(1) == b"$", "the value has begun"
        else:
            router.until("current", 1)
        router.terminate()
        assert router.process.wait(TIMEOUT_S) == 0
        assert server.ended.wait(TIMEOUT_S)
        received = client.stream.read()
        complete = b"$%d\r\n%b\r\n" % (len(VALUE), VALUE)
        assert len(received) < HALF + 100
        assert complete[int(reads) :].startswith(received), (
            "only bytes of the value, and nothing in place of the rest"
        )


def test_value_after_an_unanswered_request_is_cut_off_after_that_reply_at_exit(tmp_path: Path) -> None:
    caches, origin, server = servers_with_partial_value("cache")
    with run_router(tmp_path, caches, origin, facts=ASIDE) as router:
        client = router.client()
        client.send(get("a1", "held", LONG_MS) + get("a2", "k2", LONG_MS))
        router.until("current", 2)
        router.terminate()
        assert client.answer().startswith(b"-")
        assert client.answer().startswith(b"cut off after")
        assert client.at_end()
        assert router.process.wait(TIMEOUT_S) == 0
        server.ended.set()


def test_partly_sent_memcached_value_is_cut_off_at_exit(tmp_path: Path) -> None:
    caches, origin, _ = servers_with_partial_value("cache")
    port, features = free_port(), tmp_path / "memcached.toml"
    features.write_text(MEMCACHED_FEATURE.format(port=port))
    with run_router(tmp_path, caches, origin, facts=ASIDE, more=["--with", str(features)]) as router:
        client = Client(port)
        client.send(encode(Packet(Opcode.GET, b"k1"), REQUEST_MAGIC))
        head = client.stream.read(24)
        router.terminate()
        assert int.from_bytes(head[8:12], "big") > len(VALUE)
        assert len(client.stream.read()) < len(VALUE)
        assert router.process.wait(TIMEOUT_S) == 0
