"""The discovery client against a faulty peer, on loopback sockets."""

from __future__ import annotations

import asyncio
import random
import socket
import threading

from saltport.membership.listing import Listing
from saltport.membership.registry import WAIT_JITTER, WAIT_MARGIN_S, Discovery
from saltport.membership.start_times import StartTimes
from tests.sockets import TIMEOUT_S, Peer, http_answer

ASK_WITHIN_S = 2.0
LISTING_BODY = b'{"generation":2,"reset":true,"instances":[]}'


def wait_ms(target: bytes) -> int:
    return int(target.split(b"wait=")[1])


async def first_listing(peer: Peer, ask_within: float, seed: int) -> Listing:
    """Return the first listing of a watch that is restarted whenever it ends."""
    received: asyncio.Future[Listing] = asyncio.get_running_loop().create_future()

    def take(listing: Listing) -> None:
        if not received.done():
            received.set_result(listing)

    address = "127.0.0.1", peer.port
    rng = random.Random(seed)
    discovery = Discovery(address, True, StartTimes(), take, lambda: discovery.subscribe(), ask_within, rng)
    discovery.subscribe()
    try:
        return await asyncio.wait_for(received, TIMEOUT_S)
    finally:
        discovery.close()


def test_unanswered_watch_is_abandoned_within_the_settings_limit() -> None:
    finished = threading.Event()

    def answer(_: socket.socket, message: list[bytes]) -> bytes:
        if len(peer.seen) == 1:
            finished.wait(2 * TIMEOUT_S)  # accepted, but not answered in time
        return http_answer(200, LISTING_BODY)

    peer = Peer(answer, is_http=True)
    try:
        # A wait of 20 s would be longer than this test allows.
        assert asyncio.run(first_listing(peer, ASK_WITHIN_S, 5)).generation == 2
    finally:
        finished.set()
        peer.close()


def test_waits_of_routers_that_start_together_differ_and_end_in_time() -> None:
    peer = Peer(lambda _, message: http_answer(200, LISTING_BODY), is_http=True)

    async def ask_all() -> None:
        await asyncio.gather(*(first_listing(peer, 10.0, router) for router in range(40)))

    try:
        asyncio.run(ask_all())
        waits = {wait_ms(message[1]) for message in peer.seen}
        longest = (10.0 - WAIT_MARGIN_S) * 1000
        assert len(waits) >= 30
        assert min(waits) >= longest * (1 - WAIT_JITTER)
        assert max(waits) <= longest
        assert max(waits) - min(waits) >= longest * WAIT_JITTER / 2
    finally:
        peer.close()


def test_no_watch_waits_for_longer_than_the_protocol_allows() -> None:
    """The protocol limits a wait to 60,000 ms; the settings may allow more."""
    peer = Peer(lambda _, message: http_answer(200, LISTING_BODY), is_http=True)

    async def ask_all() -> None:
        await asyncio.gather(*(first_listing(peer, 300.0, router) for router in range(20)))

    try:
        asyncio.run(ask_all())
        waits = [wait_ms(message[1]) for message in peer.seen]
        assert len(waits) >= 20
        assert max(waits) <= 60_000
        assert min(waits) >= 60_000 * (1 - WAIT_JITTER)
    finally:
        peer.close()
