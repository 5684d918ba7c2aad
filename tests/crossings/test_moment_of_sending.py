"""A request that expires in a queue or during connection setup, after the decision to send it, is not sent.

The test decides when a real connection counts as established, and blocks the event loop on purpose.
"""

from __future__ import annotations

import asyncio
import socket
import time
from typing import Any

import pytest

from saltport.decisions import ServerState
from saltport.decisions.interface import NS_PER_S
from saltport.router.host import RouterHost
from tests.crossings.host_scenario import (
    WINDOW,
    DelayedDials,
    ask,
    listing,
    run_scenario,
    until,
)
from tests.sockets import TIMEOUT_S, Peer, hit, http_answer, reset


def ids(peer: Peer) -> list[bytes]:
    """Return the ids of the requests that reached the origin."""
    lines = [line for words in peer.seen for line in words[2].split(b"\r\n")]
    return [line[12:] for line in lines if line.startswith(b"Request-Id: ")]


@pytest.mark.parametrize("late_s", [0.0, 0.1])
def test_connection_established_at_the_deadline_carries_no_request(late_s: float) -> None:
    """`late_s`: blocks the loop past the deadline, so that timer and connection fall into one iteration."""
    cache = Peer(lambda _, words: hit(words[2]))

    async def scenario(host: RouterHost, dials: DelayedDials) -> None:
        reply = ask(host, b"late", "get", 150)
        await until(lambda: dials.established)
        if late_s:
            dials.let_go.set()
            time.sleep(0.15 + late_s)  # blocks the loop: timer and connection are due in the same iteration
        assert await reply.answer == "refused"
        dials.let_go.set()
        assert await ask(host, b"next", "get", 15_000).answer == "next"
        assert [words[2] for words in cache.seen] == [b"next"]

    run_scenario({"s1": cache}, scenario)


def test_keyed_write_is_not_sent_after_the_dedup_window_of_its_first_attempt() -> None:
    def write(connection: Any, message: list[bytes]) -> bytes:
        if len(origin.seen) == 2:
            reset(connection)  # the write may have run
        return http_answer(200, b"receipt")

    origin = Peer(write, is_http=True)

    async def scenario(host: RouterHost, dials: DelayedDials) -> None:
        dials.let_go.set()
        assert await ask(host, b"first", "put", 15_000).answer == "receipt"
        dials.let_go.clear()
        # The next write uses the open connection. When that is reset, a second attempt is decided at once,
        # and its connection is established after the window.
        reply = ask(host, b"keyed", "put", 15_000)
        await until(lambda: dials.established == 2)
        time.sleep(2 * WINDOW / NS_PER_S)
        dials.let_go.set()
        assert await reply.answer == "refused"
        assert await ask(host, b"next", "put", 15_000).answer == "receipt"
        assert ids(origin) == [b"first", b"keyed", b"next"]

    run_scenario({"origin": origin}, scenario)


def test_server_that_drains_during_connection_setup_gets_no_request() -> None:
    old, new = Peer(lambda _, words: hit(b"old")), Peer(lambda _, words: hit(b"new"))

    async def scenario(host: RouterHost, dials: DelayedDials) -> None:
        reply = ask(host, b"r1", "get", 15_000)
        await until(lambda: dials.established)
        host.servers_changed(listing({"s1": old}, ServerState.DRAINING))
        host.servers_changed(listing({"s2": new}))
        dials.let_go.set()
        await asyncio.wait([reply.answer], timeout=TIMEOUT_S)
        assert await ask(host, b"r2", "get", 15_000).answer == "new"
        assert not old.seen

    run_scenario({"s1": old}, scenario)
    new.close()


def test_request_is_not_sent_if_its_client_disconnects_during_connection_setup() -> None:
    cache = Peer(lambda _, words: hit(words[2]))

    async def scenario(host: RouterHost, dials: DelayedDials) -> None:
        reply = ask(host, b"gone", "get", 15_000)
        await until(lambda: dials.established)
        host.client_gone(reply)  # type: ignore[arg-type]
        dials.let_go.set()
        assert await ask(host, b"next", "get", 15_000).answer == "next"
        assert [words[2] for words in cache.seen] == [b"next"]

    run_scenario({"s1": cache}, scenario)


def test_small_writes_to_servers_are_sent_without_delay() -> None:
    cache = Peer(lambda _, words: hit(words[2]))

    async def scenario(host: RouterHost, dials: DelayedDials) -> None:
        dials.let_go.set()
        assert await ask(host, b"one", "get", 15_000).answer == "one"
        (connection,) = host._pool._servers["s1"].idle
        assert connection.transport is not None
        router_socket = connection.transport.get_extra_info("socket")
        assert router_socket.getsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY)

    run_scenario({"s1": cache}, scenario)
