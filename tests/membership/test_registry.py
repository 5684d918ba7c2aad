"""Discovery's client against a peer that goes wrong, on loopback sockets."""

from __future__ import annotations

import asyncio
import random
import socket
import threading

from saltport.membership.listing import Listing
from saltport.membership.registry import ASKED_SPREAD, CALL_SLACK_S, Discovery
from saltport.membership.start_times import StartTimes
from tests.sockets import TIMEOUT_S, Peer, http_answer

ASK_WITHIN_S = 2.0
NEWS = b'{"generation":2,"reset":true,"instances":[]}'


def wait_of(target: bytes) -> int:
    return int(target.split(b"wait=")[1])


async def first_listing(peer: Peer, ask_within: float, seed: int) -> Listing:
    """The first news of a watch that begins anew whenever it has ended."""
    told: asyncio.Future[Listing] = asyncio.get_running_loop().create_future()

    def take(listing: Listing) -> None:
        if not told.done():
            told.set_result(listing)

    address = "127.0.0.1", peer.port
    rng = random.Random(seed)
    discovery = Discovery(address, True, StartTimes(), take, lambda: discovery.subscribe(), ask_within, rng)
    discovery.subscribe()
    try:
        return await asyncio.wait_for(told, TIMEOUT_S)
    finally:
        discovery.close()


def test_watch_that_fell_silent_is_given_up_within_the_time_that_news_may_wait() -> None:
    over = threading.Event()

    def answer(_: socket.socket, message: list[bytes]) -> bytes:
        if len(peer.seen) == 1:
            over.wait(2 * TIMEOUT_S)  # taken, and never answered
        return http_answer(200, NEWS)

    peer = Peer(answer, is_http=True)
    try:
        # A wait of 20 s would be longer than anybody waits here.
        assert asyncio.run(first_listing(peer, ASK_WITHIN_S, 5)).generation == 2
    finally:
        over.set()
        peer.close()


def test_waits_of_routers_that_start_together_differ_and_end_in_time() -> None:
    peer = Peer(lambda _, message: http_answer(200, NEWS), is_http=True)

    async def ask_all() -> None:
        await asyncio.gather(*(first_listing(peer, 10.0, router) for router in range(40)))

    try:
        asyncio.run(ask_all())
        waits = {wait_of(message[1]) for message in peer.seen}
        longest = (10.0 - CALL_SLACK_S) * 1000
        assert len(waits) >= 30
        assert min(waits) >= longest * (1 - ASKED_SPREAD)
        assert max(waits) <= longest
        assert max(waits) - min(waits) >= longest * ASKED_SPREAD / 2
    finally:
        peer.close()


def test_no_watch_waits_for_longer_than_the_protocol_allows() -> None:
    """ "So many milliseconds (60,000 at most)": the settings may let news wait for longer than that."""
    peer = Peer(lambda _, message: http_answer(200, NEWS), is_http=True)

    async def ask_all() -> None:
        await asyncio.gather(*(first_listing(peer, 300.0, router) for router in range(20)))

    try:
        asyncio.run(ask_all())
        waits = [wait_of(message[1]) for message in peer.seen]
        assert len(waits) >= 20
        assert max(waits) <= 60_000
        assert min(waits) >= 60_000 * (1 - ASKED_SPREAD)
    finally:
        peer.close()
