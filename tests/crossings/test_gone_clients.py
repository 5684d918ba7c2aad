"""Clients that leave while something waits on their account: nothing more is sent for them.

What they wait for is held back by the stand-ins until the router has noticed that they left.
"""

from __future__ import annotations

import socket
import threading
from collections.abc import Callable
from pathlib import Path

import pytest

from saltport.downstream.clients import MAX_PIPELINE
from saltport.upstream.pool import MAX_CONNECTIONS_PER_SERVER
from tests.sockets import (
    MISS,
    PATIENCE_S,
    Client,
    Peer,
    Routed,
    bulk,
    eventually,
    get,
    hit,
    http_answer,
    routed,
)

LONG = 60_000  # milliseconds: longer than anything is waited for here
WRITES_THAT_FAIL = 20  # far more than it takes for the origin to count as in trouble


class HeldBack:
    """A cache that answers each read with its id once it is let go, and PING at any time."""

    def __init__(self) -> None:
        self.let_go = threading.Event()
        self.peer = Peer(self._answer)

    def _answer(self, _: socket.socket, words: list[bytes]) -> bytes:
        assert self.let_go.wait(PATIENCE_S)
        return hit(words[2])

    def asked_for(self, of: str) -> list[bytes]:
        """The ids of one client's requests that came here."""
        return [words[2] for words in self.peer.seen if words[2].startswith(of.encode())]


def held_origin(let_go: threading.Event) -> Peer:
    """An origin that answers each read with its key once it is let go."""

    def fetch(_: socket.socket, message: list[bytes]) -> bytes:
        assert let_go.wait(PATIENCE_S)
        return http_answer(200, message[1][1:])

    return Peer(fetch, is_http=True)


def close(client: Client) -> None:
    client.close()


def half_close(client: Client) -> None:
    client.socket.shutdown(socket.SHUT_WR)


def fill(router: Routed, cache: HeldBack) -> Client:
    """Take every connection that the one server may have."""
    busy = router.client()
    busy.send(b"".join(get(f"busy{i}", f"b{i}", LONG) for i in range(MAX_CONNECTIONS_PER_SERVER)))
    eventually(lambda: len(cache.peer.seen) == MAX_CONNECTIONS_PER_SERVER, "all connections are taken")
    return busy


@pytest.mark.parametrize("leave", [close, half_close])
def test_request_in_a_server_s_queue_is_not_sent_once_its_client_left(
    tmp_path: Path, leave: Callable[[Client], None]
) -> None:
    cache = HeldBack()
    with routed(tmp_path, {"s1": cache.peer}) as router:
        busy, leaver, stayer = fill(router, cache), router.client(), router.client()
        leaver.send(get("gone1", "g", LONG))
        router.until("current", MAX_CONNECTIONS_PER_SERVER + 1)
        stayer.send(get("stays", "s", LONG))
        router.until("current", MAX_CONNECTIONS_PER_SERVER + 2)
        leave(leaver)
        router.until("current", MAX_CONNECTIONS_PER_SERVER + 1)
        cache.let_go.set()
        assert [busy.answer() for _ in range(MAX_CONNECTIONS_PER_SERVER)] == [
            b"busy%d" % i for i in range(MAX_CONNECTIONS_PER_SERVER)
        ]
        assert stayer.answer() == b"stays", "it waited behind the one that left"
        assert cache.asked_for("gone") == []


@pytest.mark.parametrize("leave", [close, half_close])
def test_client_whose_connection_is_not_read_just_now_is_seen_to_leave(
    tmp_path: Path, leave: Callable[[Client], None]
) -> None:
    cache = HeldBack()
    with routed(tmp_path, {"s1": cache.peer}) as router:
        leaver = router.client()
        many = MAX_PIPELINE + 10  # past which the router reads no more until it has answered
        leaver.send(b"".join(get(f"gone{i}", f"g{i}", LONG) for i in range(many)))
        eventually(lambda: len(cache.peer.seen) == MAX_CONNECTIONS_PER_SERVER, "all connections are taken")
        leave(leaver)
        router.until("current", 0)
        cache.let_go.set()
        other = router.client()
        assert other.ask(get("other")) == b"other"
        assert len(cache.asked_for("gone")) == MAX_CONNECTIONS_PER_SERVER


def test_fetch_of_a_client_that_left_goes_on_for_those_who_wait_for_it(tmp_path: Path) -> None:
    let_go = threading.Event()
    cache, origin = Peer(lambda _, words: MISS), held_origin(let_go)
    with routed(tmp_path, {"s1": cache}, origin) as router:
        leader, waiter = router.client(), router.client()
        leader.send(get("leader", "k", LONG))
        eventually(lambda: origin.seen, "the fetch")
        waiter.send(get("waiter", "k", LONG))
        eventually(lambda: len(cache.seen) == 2, "the second miss")
        router.until("current", 2)
        leader.close()
        router.until("current", 1)
        # A second fetch would be under way by now: a request after it on a new key shows the way there.
        other = router.client()
        other.send(get("other", "k2", LONG))
        eventually(lambda: [m for m in origin.seen if m[1] == b"/k2"], "the other fetch")
        assert len([m for m in origin.seen if m[1] == b"/k"]) == 1
        let_go.set()
        assert waiter.answer() == b"k"


def test_fetch_that_waits_for_a_connection_passes_to_the_next_when_its_client_leaves(tmp_path: Path) -> None:
    let_go = threading.Event()
    cache, origin = Peer(lambda _, words: MISS), held_origin(let_go)
    with routed(tmp_path, {"s1": cache}, origin) as router:
        busy, leader, waiter = router.client(), router.client(), router.client()
        busy.send(b"".join(get(f"busy{i}", f"b{i}", LONG) for i in range(MAX_CONNECTIONS_PER_SERVER)))
        eventually(lambda: len(origin.seen) == MAX_CONNECTIONS_PER_SERVER, "all connections are taken")
        leader.send(get("leader", "k", LONG))
        eventually(lambda: len(cache.seen) == MAX_CONNECTIONS_PER_SERVER + 1, "the leader's miss")
        waiter.send(get("waiter", "k", LONG))
        eventually(lambda: len(cache.seen) == MAX_CONNECTIONS_PER_SERVER + 2, "the waiter's miss")
        router.until("current", MAX_CONNECTIONS_PER_SERVER + 2)
        leader.close()
        router.until("current", MAX_CONNECTIONS_PER_SERVER + 1)
        let_go.set()
        assert waiter.answer() == b"k"
        assert not [m for m in origin.seen if b"Request-Id: leader" in m[2]]


def test_write_behind_another_of_its_key_is_not_sent_once_its_client_left(tmp_path: Path) -> None:
    let_go = threading.Event()

    def write(_: socket.socket, message: list[bytes]) -> bytes:
        assert let_go.wait(PATIENCE_S)
        return http_answer(200, b"receipt")

    def put(name: bytes) -> bytes:
        return bulk(b"KV.SET", b"k", name, b"c=put,t=acme,d=60000,k=5c", b"v")

    origin = Peer(write, is_http=True)
    with routed(tmp_path, {}, origin) as router:
        leaver = router.client()
        leaver.send(put(b"gone1") + put(b"gone2"))
        eventually(lambda: origin.seen, "the first write")
        router.until("current", 2)
        leaver.close()
        router.until("current", 0)
        let_go.set()
        assert router.client().ask(put(b"other")) == b"receipt"
        assert not [m for m in origin.seen if b"Request-Id: gone2" in m[2]]


@pytest.mark.parametrize("leave", [close, half_close])
def test_write_held_by_the_origin_s_width_is_not_sent_once_its_client_left(
    tmp_path: Path, leave: Callable[[Client], None]
) -> None:
    let_go, failing = threading.Event(), threading.Event()
    failing.set()

    def write(_: socket.socket, message: list[bytes]) -> bytes:
        if failing.is_set():
            return http_answer(500)
        assert let_go.wait(PATIENCE_S)
        return http_answer(200, b"receipt")

    def put(name: str, d: int = LONG) -> bytes:
        return bulk(b"KV.SET", name.encode(), name.encode(), f"c=put,t=acme,d={d},k={name}".encode(), b"v")

    def sent(name: str) -> bool:
        return any(message[1] == b"/" + name.encode() for message in origin.seen)

    origin = Peer(write, is_http=True)
    with routed(tmp_path, {}, origin) as router:
        failed = router.client()
        for n in range(WRITES_THAT_FAIL):  # one at a time, until no more than one is sent at a time
            assert failed.ask(put(f"failed{n}", d=300)).startswith(b"-")
        failing.clear()
        first, leaver, stayer = router.client(), router.client(), router.client()
        first.send(put("first"))
        eventually(lambda: sent("first"), "the first write is at the origin")
        # The newest of those held goes first: the one that leaves stands ahead of the one that stays.
        stayer.send(put("stays"))
        router.until("current", 2)
        leaver.send(put("gone"))
        router.until("current", 3)
        leave(leaver)
        router.until("current", 2)
        assert not sent("stays"), "it is held, as the one that left was"
        let_go.set()
        assert first.answer() == b"receipt"
        assert stayer.answer() == b"receipt"
        assert not sent("gone")
