"""Learned state of a large fleet is transferred to the next process in several messages."""

from __future__ import annotations

import json
import random
import socket
from pathlib import Path
from typing import Any

import pytest

from benchmarks.platform import platform
from saltport.handover.exchange import (
    LEARNED_LAST,
    LEARNED_PART,
    LEARNED_PART_BYTES,
    MAX_LEARNED_BYTES,
    TransferReceiver,
    TransferSender,
)
from saltport.lifecycle.takeover import MAX_MESSAGE_BYTES
from tests.sockets import TIMEOUT_S, echo_cache, entry, eventually, get

SERVERS = 1_600


def learned_state(servers: int) -> dict[str, Any]:
    """Learned state in the decision module's format, with the longest numbers that occur."""
    rng = random.Random(5)
    figures = {
        f"server-{n:05d}": [*(rng.uniform(1e6, 1e8) for _ in range(5)), rng.uniform(0.5, 1.0)]
        for n in range(servers)
    }
    return {"form": 1, "tenants": {}, "servers": figures, "ejected": {}}


def transfer(sender: TransferSender, receiver: TransferReceiver) -> bytes:
    """Deliver all messages of the sender; return the learned state that the receiver assembled."""
    learned = b""
    while (message := sender.next_message()) is not None:
        assert len(message.data) <= MAX_MESSAGE_BYTES, "a message exceeds the maximum that the link transmits"
        assert not learned, "a message follows the last part"
        sender.message_sent()
        learned = receiver.receive_learned(message.data)
    return learned


@pytest.mark.parametrize(
    "size", [1, LEARNED_PART_BYTES, LEARNED_PART_BYTES + 1, 5 * LEARNED_PART_BYTES, MAX_LEARNED_BYTES]
)
def test_learned_state_is_reassembled_from_messages_of_bounded_size(size: int) -> None:
    sender, receiver = TransferSender(lambda _: None), TransferReceiver()
    data = random.Random(size).randbytes(size)
    sender.send_learned(data)
    assert transfer(sender, receiver) == data
    assert not receiver.learning


def test_oversized_learned_state_is_not_sent() -> None:
    sender = TransferSender(lambda _: None)
    sender.send_learned(bytes(MAX_LEARNED_BYTES + 1))
    assert sender.next_message() is None


def test_receiver_drops_oversized_learned_state_and_continues() -> None:
    receiver = TransferReceiver()
    for _ in range(MAX_LEARNED_BYTES // LEARNED_PART_BYTES + 2):
        assert receiver.receive_learned(LEARNED_PART + bytes(LEARNED_PART_BYTES)) == b""
    assert sum(map(len, receiver._learned)) <= MAX_LEARNED_BYTES
    assert receiver.receive_learned(LEARNED_LAST + b"x") == b""
    assert receiver.receive_learned(LEARNED_LAST + b"whole") == b"whole"


def test_link_closed_within_learned_state_leaves_no_parts_for_the_next_receiver() -> None:
    sender = TransferSender(lambda _: None)
    sender.send_learned(bytes(3 * LEARNED_PART_BYTES))
    sender.next_message()
    sender.message_sent()
    sender.link_closed()
    sender.send_learned(b"new")
    assert transfer(sender, TransferReceiver()) == b"new"


def test_learned_state_of_1600_servers_passes_through_a_process_to_the_next(tmp_path: Path) -> None:
    listener = socket.socket(socket.AF_UNIX, socket.SOCK_SEQPACKET)
    listener.bind(str(tmp_path / "saltport.takeover"))
    listener.listen(1)
    listener.settimeout(TIMEOUT_S)
    learned, peer = learned_state(SERVERS), echo_cache()
    with platform(tmp_path, {"s1": peer}) as cluster:
        cluster.discovery.change(*(entry(peer, name) for name in learned["servers"]))
        process = cluster.start()
        before, _ = listener.accept()
        before.settimeout(TIMEOUT_S)
        assert [before.recv(64), before.recv(64)] == [b"E", b"H1"]
        sender = TransferSender(lambda _: None)
        sender.send_learned(json.dumps(learned).encode())
        while (message := sender.next_message()) is not None:
            before.send(message.data)
            sender.message_sent()
        process.wait_until_healthy()
        # The process now listens where its successor connects.
        after = socket.socket(socket.AF_UNIX, socket.SOCK_SEQPACKET)
        after.settimeout(TIMEOUT_S)
        eventually(lambda: after.connect_ex(str(tmp_path / "saltport.takeover")) == 0, "the process listens")
        receiver, received = TransferReceiver(), b""
        while not received:
            received = receiver.receive_learned(after.recv(MAX_MESSAGE_BYTES))
        assert json.loads(received)["servers"] == learned["servers"]
        assert cluster.client().ask(get("c1")) == b"c1"
        before.close()
        after.close()
    listener.close()
