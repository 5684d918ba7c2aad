"""Clients that disconnect while their requests wait: no further requests are sent for them.

The stand-in servers delay their answers until the router has noticed the disconnect.
"""

from __future__ import annotations

import socket
import threading
from collections.abc import Callable
from pathlib import Path

import pytest

from saltport.downstream.connection import MAX_PIPELINE
from saltport.upstream.pool import MAX_CONNECTIONS_PER_SERVER
from tests.sockets import (
    MISS,
    TIMEOUT_S,
    Client,
    Peer,
    RunningRouter,
    bulk,
    eventually,
    get,
    hit,
    http_answer,
    run_router,
)

LONG_MS = 60_000  # longer than any wait in these tests
FAILING_WRITES = 20  # far more than the number after which the origin is limited


class DelayedCache:
    """A cache server that answers each read with its request id once `let_go` is set."""

    def __init__(self) -> None:
        self.let_go = threading.Event()
        self.peer = Peer(self._answer)

    def _answer(self, _: socket.socket, words: list[bytes]) -> bytes:
        assert self.let_go.wait(TIMEOUT_S)
        return hit(words[2])

    def received_from(self, client: str) -> list[bytes]:
        """Return the ids of the requests of one client that arrived here."""
        return [words[2] for words in self.peer.seen if words[2].startswith(client.encode())]


def delayed_origin(let_go: threading.Event) -> Peer:
    """Return an origin that answers each read with its key once `let_go` is set."""

    def fetch(_: socket.socket, message: list[bytes]) -> bytes:
        assert let_go.wait(TIMEOUT_S)
        return http_answer(200, message[1][1:])

    return Peer(fetch, is_http=True)


def close(client: Client) -> None:
    client.close()


def half_close(client: Client) -> None:
    client.socket.shutdown(socket.SHUT_WR)


def fill(router: RunningRouter, cache: DelayedCache) -> Client:
    """Occupy all connections to the only server with requests; return their client."""
    busy = router.client()
    busy.send(b"".join(get(f"busy{i}", f"b{i}", LONG_MS) for i in range(MAX_CONNECTIONS_PER_SERVER)))
    eventually(lambda: len(cache.peer.seen) == MAX_CONNECTIONS_PER_SERVER, "all connections are in use")
    return busy


@pytest.mark.parametrize("disconnect", [close, half_close])
def test_request_in_a_server_s_queue_is_not_sent_after_its_client_disconnects(
    tmp_path: Path, disconnect: Callable[[Client], None]
) -> None:
    cache = DelayedCache()
    with run_router(tmp_path, {"s1": cache.peer}) as router:
        busy, disconnecting, staying = fill(router, cache), router.client(), router.client()
        disconnecting.send(get("gone1", "g", LONG_MS))
        router.until("current", MAX_CONNECTIONS_PER_SERVER + 1)
        staying.send(get("stays", "s", LONG_MS))
        router.until("current", MAX_CONNECTIONS_PER_SERVER + 2)
        disconnect(disconnecting)
        router.until("current", MAX_CONNECTIONS_PER_SERVER + 1)
        cache.let_go.set()
        assert [busy.answer() for _ in range(MAX_CONNECTIONS_PER_SERVER)] == [
            b"busy%d" % i for i in range(MAX_CONNECTIONS_PER_SERVER)
        ]
        assert staying.answer() == b"stays", "the request queued after the cancelled one is served"
        assert cache.received_from("gone") == []


@pytest.mark.parametrize("disconnect", [close, half_close])
def test_disconnect_is_noticed_while_the_connection_is_not_read(
    tmp_path: Path, disconnect: Callable[[Client], None]
) -> None:
    cache = DelayedCache()
    with run_router(tmp_path, {"s1": cache.peer}) as router:
        disconnecting = router.client()
        many = MAX_PIPELINE + 10  # beyond this limit the router stops reading until it has answered
        disconnecting.send(b"".join(get(f"gone{i}", f"g{i}", LONG_MS) for i in range(many)))
        eventually(lambda: len(cache.peer.seen) == MAX_CONNECTIONS_PER_SERVER, "all connections are in use")
        disconnect(disconnecting)
        router.until("current", 0)
        cache.let_go.set()
        other = router.client()
        assert other.ask(get("other")) == b"other"
        assert len(cache.received_from("gone")) == MAX_CONNECTIONS_PER_SERVER


def test_fetch_continues_for_waiting_clients_after_its_first_client_disconnects(tmp_path: Path) -> None:
    let_go = threading.Event()
    cache, origin = Peer(lambda _, words: MISS), delayed_origin(let_go)
    with run_router(tmp_path, {"s1": cache}, origin) as router:
        leader, waiter = router.client(), router.client()
        leader.send(get("leader", "k", LONG_MS))
        eventually(lambda: origin.seen, "the fetch")
        waiter.send(get("waiter", "k", LONG_MS))
        eventually(lambda: len(cache.seen) == 2, "the second miss")
        router.until("current", 2)
        leader.close()
        router.until("current", 1)
        # A later request for another key has reached the origin, so a second fetch of `k` would have too.
        other = router.client()
        other.send(get("other", "k2", LONG_MS))
        eventually(lambda: [m for m in origin.seen if m[1] == b"/k2"], "the other fetch")
        assert len([m for m in origin.seen if m[1] == b"/k"]) == 1
        let_go.set()
        assert waiter.answer() == b"k"


def test_queued_fetch_passes_to_the_next_client_when_its_client_disconnects(tmp_path: Path) -> None:
    let_go = threading.Event()
    cache, origin = Peer(lambda _, words: MISS), delayed_origin(let_go)
    with run_router(tmp_path, {"s1": cache}, origin) as router:
        busy, leader, waiter = router.client(), router.client(), router.client()
        busy.send(b"".join(get(f"busy{i}", f"b{i}", LONG_MS) for i in range(MAX_CONNECTIONS_PER_SERVER)))
        eventually(lambda: len(origin.seen) == MAX_CONNECTIONS_PER_SERVER, "all connections are in use")
        leader.send(get("leader", "k", LONG_MS))
        eventually(lambda: len(cache.seen) == MAX_CONNECTIONS_PER_SERVER + 1, "the leader's miss")
        waiter.send(get("waiter", "k", LONG_MS))
        eventually(lambda: len(cache.seen) == MAX_CONNECTIONS_PER_SERVER + 2, "the waiter's miss")
        router.until("current", MAX_CONNECTIONS_PER_SERVER + 2)
        leader.close()
        router.until("current", MAX_CONNECTIONS_PER_SERVER + 1)
        let_go.set()
        assert waiter.answer() == b"k"
        assert not [m for m in origin.seen if b"Request-Id: leader" in m[2]]


def test_write_queued_behind_another_of_its_key_is_not_sent_after_a_disconnect(tmp_path: Path) -> None:
    let_go = threading.Event()

    def write(_: socket.socket, message: list[bytes]) -> bytes:
        assert let_go.wait(TIMEOUT_S)
        return http_answer(200, b"receipt")

    def put(name: bytes) -> bytes:
        return bulk(b"KV.SET", b"k", name, b"c=put,t=acme,d=60000,k=5c", b"v")

    origin = Peer(write, is_http=True)
    with run_router(tmp_path, {}, origin) as router:
        disconnecting = router.client()
        disconnecting.send(put(b"gone1") + put(b"gone2"))
        eventually(lambda: origin.seen, "the first write")
        router.until("current", 2)
        disconnecting.close()
        router.until("current", 0)
        let_go.set()
        assert router.client().ask(put(b"other")) == b"receipt"
        assert not [m for m in origin.seen if b"Request-Id: gone2" in m[2]]


@pytest.mark.parametrize("disconnect", [close, half_close])
def test_write_queued_by_the_origin_limit_is_not_sent_after_a_disconnect(
    tmp_path: Path, disconnect: Callable[[Client], None]
) -> None:
    let_go, failing = threading.Event(), threading.Event()
    failing.set()

    def write(_: socket.socket, message: list[bytes]) -> bytes:
        if failing.is_set():
            return http_answer(500)
        assert let_go.wait(TIMEOUT_S)
        return http_answer(200, b"receipt")

    def put(name: str, d: int = LONG_MS) -> bytes:
        return bulk(b"KV.SET", name.encode(), name.encode(), f"c=put,t=acme,d={d},k={name}".encode(), b"v")

    def sent(name: str) -> bool:
        return any(message[1] == b"/" + name.encode() for message in origin.seen)

    origin = Peer(write, is_http=True)
    with run_router(tmp_path, {}, origin) as router:
        failed = router.client()
        for n in range(FAILING_WRITES):  # one after another, until the router sends only one at a time
            assert failed.ask(put(f"failed{n}", d=300)).startswith(b"-")
        failing.clear()
        first, disconnecting, staying = router.client(), router.client(), router.client()
        first.send(put("first"))
        eventually(lambda: sent("first"), "the first write is at the origin")
        # The newest queued write is sent first, so the cancelled write precedes the other one.
        staying.send(put("stays"))
        router.until("current", 2)
        disconnecting.send(put("gone"))
        router.until("current", 3)
        disconnect(disconnecting)
        router.until("current", 2)
        assert not sent("stays"), "the write is queued, as the cancelled one was"
        let_go.set()
        assert first.answer() == b"receipt"
        assert staying.answer() == b"receipt"
        assert not sent("gone")
