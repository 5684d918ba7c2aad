"""What a process has learnt of a large fleet goes to the next one in pieces."""

from __future__ import annotations

import json
import random
import socket
from pathlib import Path
from typing import Any

import pytest

from benchmarks.platform import platform
from saltport.handover.exchange import LEARNT, LEARNT_PART, LEARNT_PIECE, MAX_LEARNT, Giver, Taker
from saltport.lifecycle.takeover import MAX_MESSAGE
from tests.sockets import TIMEOUT_S, echo_cache, entry, eventually, get

SERVERS = 1_600


def learnt(servers: int) -> dict[str, Any]:
    """As the decision module words it, with figures as long as they get."""
    rng = random.Random(5)
    figures = {
        f"server-{n:05d}": [*(rng.uniform(1e6, 1e8) for _ in range(5)), rng.uniform(0.5, 1.0)]
        for n in range(servers)
    }
    return {"form": 1, "tenants": {}, "servers": figures, "ejected": {}}


def pass_on(giver: Giver, taker: Taker) -> bytes:
    """Everything that the giver has to say; what the taker makes of it."""
    told = b""
    while (message := giver.outgoing()) is not None:
        assert len(message.data) <= MAX_MESSAGE, "the link takes and gives no more at once"
        assert not told, "whole, and then more"
        giver.sent()
        told = taker.learn(message.data)
    return told


@pytest.mark.parametrize("size", [1, LEARNT_PIECE, LEARNT_PIECE + 1, 5 * LEARNT_PIECE, MAX_LEARNT])
def test_what_was_learnt_comes_whole_and_bounded_in_each_message(size: int) -> None:
    giver, taker = Giver(lambda _: None), Taker()
    data = random.Random(size).randbytes(size)
    giver.tell(data)
    assert pass_on(giver, taker) == data
    assert not taker.learning


def test_too_much_is_not_told_at_all() -> None:
    giver = Giver(lambda _: None)
    giver.tell(bytes(MAX_LEARNT + 1))
    assert giver.outgoing() is None


def test_taker_holds_no_more_than_the_bound_and_goes_on() -> None:
    taker = Taker()
    for _ in range(MAX_LEARNT // LEARNT_PIECE + 2):
        assert taker.learn(LEARNT_PART + bytes(LEARNT_PIECE)) == b""
    assert sum(map(len, taker._learnt)) <= MAX_LEARNT
    assert taker.learn(LEARNT + b"x") == b""
    assert taker.learn(LEARNT + b"whole") == b"whole"


def test_link_that_ends_within_it_leaves_nothing_for_the_next_taker() -> None:
    giver = Giver(lambda _: None)
    giver.tell(bytes(3 * LEARNT_PIECE))
    giver.outgoing()
    giver.sent()
    giver.ended()
    giver.tell(b"new")
    assert pass_on(giver, Taker()) == b"new"


def test_figures_of_1600_servers_go_through_a_process_to_the_next(tmp_path: Path) -> None:
    listener = socket.socket(socket.AF_UNIX, socket.SOCK_SEQPACKET)
    listener.bind(str(tmp_path / "saltport.takeover"))
    listener.listen(1)
    listener.settimeout(TIMEOUT_S)
    told, peer = learnt(SERVERS), echo_cache()
    with platform(tmp_path, {"s1": peer}) as held:
        held.discovery.change(*(entry(peer, name) for name in told["servers"]))
        process = held.start()
        before, _ = listener.accept()
        before.settimeout(TIMEOUT_S)
        assert before.recv(64) == b"H1"
        giver = Giver(lambda _: None)
        giver.tell(json.dumps(told).encode())
        while (message := giver.outgoing()) is not None:
            before.send(message.data)
            giver.sent()
        process.ready()
        # Its own place in the folder is where the next one looks.
        after = socket.socket(socket.AF_UNIX, socket.SOCK_SEQPACKET)
        after.settimeout(TIMEOUT_S)
        eventually(lambda: after.connect_ex(str(tmp_path / "saltport.takeover")) == 0, "it listens")
        taker, passed_on = Taker(), b""
        while not passed_on:
            passed_on = taker.learn(after.recv(MAX_MESSAGE))
        assert json.loads(passed_on)["servers"] == told["servers"]
        assert held.client().ask(get("c1")) == b"c1"
        before.close()
        after.close()
    listener.close()
