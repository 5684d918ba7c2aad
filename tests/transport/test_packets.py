"""The link between two processes: how much one iteration receives, and when a full link is tried again."""

from __future__ import annotations

import asyncio
import itertools
import socket

import uvloop

from saltport.transport.packets import MESSAGES_PER_ITERATION, Packet, PacketLink

MESSAGE = b"x" * (64 << 10)


class Receiver:
    """The received messages of a link."""

    def __init__(self) -> None:
        self.packets: list[Packet] = []

    def __call__(self, packet: Packet) -> None:
        self.packets.append(packet)


def linked(receiver: Receiver) -> tuple[PacketLink, PacketLink]:
    """Return the sending and the receiving end of a link."""
    loop = asyncio.get_running_loop()
    ours, theirs = socket.socketpair(socket.AF_UNIX, socket.SOCK_SEQPACKET)
    sender = PacketLink(loop, ours, lambda _: None, 256)
    return sender, PacketLink(loop, theirs, receiver, len(MESSAGE))


def test_one_iteration_receives_several_messages_and_not_all() -> None:
    """Guards against a busy process that takes one part of a connection in each of its long iterations."""

    async def run() -> list[int]:
        receiver = Receiver()
        sender, link = linked(receiver)
        for _ in range(3 * MESSAGES_PER_ITERATION):
            assert sender.send(b"x")
        received = []
        for _ in range(5):
            await asyncio.sleep(0)
            received.append(len(receiver.packets))
        sender.close()
        link.close()
        return received

    received = uvloop.run(run())
    steps = {later - earlier for earlier, later in itertools.pairwise(received)}
    assert steps <= {0, MESSAGES_PER_ITERATION}
    assert received[-1] >= 2 * MESSAGES_PER_ITERATION


def test_full_link_is_tried_again_as_soon_as_the_peer_has_received() -> None:
    """Guards against a link that carries what its buffer holds, and then rests until a timer expires."""

    async def run() -> tuple[int, list[str]]:
        receiver, events = Receiver(), []
        sender, link = linked(receiver)
        while sender.send_or_wait(MESSAGE, (), lambda: events.append("room")):
            events.append("sent")
        assert "room" not in events
        assert not sender.send_or_wait(MESSAGE, (), lambda: events.append("room twice"))
        filled = len(events)
        async with asyncio.timeout(10):
            while len(receiver.packets) < filled:
                await asyncio.sleep(0)
            while len(events) == filled:
                await asyncio.sleep(0)
        assert sender.send_or_wait(MESSAGE, (), lambda: None)
        sender.close()
        link.close()
        return filled, events

    filled, events = uvloop.run(run())
    assert events == ["sent"] * filled + ["room"]


def test_link_that_is_closed_while_it_waits_for_room_calls_nobody() -> None:
    async def run() -> list[str]:
        events: list[str] = []
        sender, link = linked(Receiver())
        while sender.send_or_wait(MESSAGE, (), lambda: events.append("room")):
            pass
        sender.close()
        await asyncio.sleep(0.01)
        link.close()
        return events

    assert uvloop.run(run()) == []
