"""Relays: each fault on one direction, alike for the same seed."""

from __future__ import annotations

import asyncio
import socket
from collections.abc import Iterator
from contextlib import contextmanager

import pytest
import uvloop

from saltport.standins.links import DatagramRelay, Fault, Links, StreamRelay


@contextmanager
def ends() -> Iterator[dict[str, socket.socket]]:
    made = {name: socket.socket(socket.AF_INET, socket.SOCK_DGRAM) for name in ("a", "b", "c")}
    try:
        for end in made.values():
            end.bind(("127.0.0.1", 0))
            end.setblocking(False)
        yield made
    finally:
        for end in made.values():
            end.close()


async def came(end: socket.socket, seconds: float = 0.3) -> list[tuple[bytes, tuple[str, int]]]:
    found: list[tuple[bytes, tuple[str, int]]] = []
    loop = asyncio.get_running_loop()
    try:
        async with asyncio.timeout(seconds):
            while True:
                found.append(await loop.sock_recvfrom(end, 999))
    except TimeoutError:
        return found


def test_one_side_is_cut_and_the_other_goes_on_under_its_address() -> None:
    async def run() -> None:
        with ends() as held:
            links = Links(1)
            relay = DatagramRelay(links, {name: end.getsockname() for name, end in held.items()})
            await relay.open()
            cut = links.fault(["a"], ["b"], Fault(cut=True))
            held["a"].sendto(b"lost", relay.seen("b", by="a"))
            held["b"].sendto(b"there", relay.seen("a", by="b"))
            held["c"].sendto(b"stranger", relay.seen("b", by="a"))  # not the one that this address is for
            assert await came(held["a"]) == [(b"there", relay.seen("b", by="a"))]
            assert await came(held["b"]) == []
            links.mend(cut)
            held["a"].sendto(b"back", relay.seen("b", by="a"))
            assert await came(held["b"]) == [(b"back", relay.seen("a", by="b"))]
            relay.close()

    asyncio.run(run())


def test_losses_doubles_delays_and_long_ones_repeat_with_the_seed() -> None:
    def fates(seed: int) -> list[list[float]]:
        links = Links(seed)
        links.fault(["a"], ["b"], Fault(loss=0.3, doubles=0.2, delay_s=(0.01, 0.2), most_size=200))
        return [links.delays("a", "b", size, 0.0) for size in [100] * 300 + [201]]

    told = fates(7)
    assert told == fates(7) != fates(8)
    assert 60 < sum(not fate for fate in told[:300]) < 120
    assert 20 < sum(len(fate) == 2 for fate in told) < 60
    assert told[-1] == []
    assert Links(7).delays("b", "a", 100, 0.0) == [0.0]


def test_a_throttled_link_drops_what_is_too_much() -> None:
    links = Links(1)
    links.fault(["a"], ["b"], Fault(rate=1_000))
    passed = sum(bool(links.delays("a", "b", 100, 0.0)) for _ in range(50))
    assert passed == 10
    assert links.delays("a", "b", 100, 1.0)


@pytest.mark.parametrize("cut", [False, True])
def test_a_stream_passes_or_is_held_and_ends_with_its_server(cut: bool) -> None:
    async def run() -> None:
        async def echo(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
            while data := await reader.read(99):
                writer.write(data)
            writer.close()

        server = await asyncio.start_server(echo, "127.0.0.1", 0)
        links = Links(1)
        relay = StreamRelay(links, "client", "server", server.sockets[0].getsockname())
        reader, writer = await asyncio.open_connection(*await relay.open())
        number = links.fault(["server"], ["client"], Fault(cut=cut, rate=1e6))
        writer.write(b"hello")
        if cut:
            with pytest.raises(TimeoutError):
                await asyncio.wait_for(asyncio.shield(reader.read(1)), 0.3)
            links.mend(number)
        else:
            assert await asyncio.wait_for(reader.readexactly(5), 5) == b"hello"
        relay.close()
        server.close()
        writer.close()

    uvloop.run(run())
