"""Network relays: faults apply to one direction and are reproducible by seed."""

from __future__ import annotations

import asyncio
import socket
from collections.abc import Iterator
from contextlib import contextmanager

import pytest
import uvloop

from saltport.standins.links import DatagramRelay, Fault, Links, StreamRelay


@contextmanager
def open_sockets() -> Iterator[dict[str, socket.socket]]:
    sockets = {name: socket.socket(socket.AF_INET, socket.SOCK_DGRAM) for name in ("a", "b", "c")}
    try:
        for end in sockets.values():
            end.bind(("127.0.0.1", 0))
            end.setblocking(False)
        yield sockets
    finally:
        for end in sockets.values():
            end.close()


async def receive_all(end: socket.socket, seconds: float = 0.3) -> list[tuple[bytes, tuple[str, int]]]:
    found: list[tuple[bytes, tuple[str, int]]] = []
    loop = asyncio.get_running_loop()
    try:
        async with asyncio.timeout(seconds):
            while True:
                found.append(await loop.sock_recvfrom(end, 999))
    except TimeoutError:
        return found


def test_a_cut_in_one_direction_leaves_the_other_open() -> None:
    async def run() -> None:
        with open_sockets() as sockets:
            links = Links(1)
            relay = DatagramRelay(links, {name: end.getsockname() for name, end in sockets.items()})
            await relay.open()
            cut = links.add_fault(["a"], ["b"], Fault(cut=True))
            sockets["a"].sendto(b"lost", relay.address_of("b", seen_by="a"))
            sockets["b"].sendto(b"there", relay.address_of("a", seen_by="b"))
            # Dropped, as this relay address is for "a" only.
            sockets["c"].sendto(b"stranger", relay.address_of("b", seen_by="a"))
            assert await receive_all(sockets["a"]) == [(b"there", relay.address_of("b", seen_by="a"))]
            assert await receive_all(sockets["b"]) == []
            links.remove_fault(cut)
            sockets["a"].sendto(b"back", relay.address_of("b", seen_by="a"))
            assert await receive_all(sockets["b"]) == [(b"back", relay.address_of("a", seen_by="b"))]
            relay.close()

    asyncio.run(run())


def test_losses_duplicates_delays_and_size_limits_repeat_with_the_seed() -> None:
    def draw_delays(seed: int) -> list[list[float]]:
        links = Links(seed)
        links.add_fault(
            ["a"], ["b"], Fault(loss=0.3, duplicates=0.2, delay_s=(0.01, 0.2), max_datagram_bytes=200)
        )
        return [links.delays("a", "b", size, 0.0) for size in [100] * 300 + [201]]

    delays = draw_delays(7)
    assert delays == draw_delays(7) != draw_delays(8)
    assert 60 < sum(not delay for delay in delays[:300]) < 120
    assert 20 < sum(len(delay) == 2 for delay in delays) < 60
    assert delays[-1] == []
    assert Links(7).delays("b", "a", 100, 0.0) == [0.0]


def test_a_throttled_link_drops_datagrams_over_its_rate() -> None:
    links = Links(1)
    links.add_fault(["a"], ["b"], Fault(rate=1_000))
    passed = sum(bool(links.delays("a", "b", 100, 0.0)) for _ in range(50))
    assert passed == 10
    assert links.delays("a", "b", 100, 1.0)


@pytest.mark.parametrize("cut", [False, True])
def test_a_stream_passes_or_waits_during_a_cut(cut: bool) -> None:
    async def run() -> None:
        async def echo(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
            while data := await reader.read(99):
                writer.write(data)
            writer.close()

        server = await asyncio.start_server(echo, "127.0.0.1", 0)
        links = Links(1)
        relay = StreamRelay(links, "client", "server", server.sockets[0].getsockname())
        reader, writer = await asyncio.open_connection(*await relay.open())
        number = links.add_fault(["server"], ["client"], Fault(cut=cut, rate=1e6))
        writer.write(b"hello")
        if cut:
            with pytest.raises(TimeoutError):
                await asyncio.wait_for(asyncio.shield(reader.read(1)), 0.3)
            links.remove_fault(number)
        else:
            assert await asyncio.wait_for(reader.readexactly(5), 5) == b"hello"
        relay.close()
        server.close()
        writer.close()

    uvloop.run(run())
