"""Requests that rarely overlap at a server share one connection; frequent overlaps open a second one."""

from __future__ import annotations

import threading
import time
from pathlib import Path

import pytest

from saltport.decisions import Outcome
from saltport.upstream.second_connection import FREQUENT_OVERLAPS, MAX_WAIT_S, SecondConnectionPolicy
from tests.router.test_descriptors import Read, Servers, pool_without_sweep, run
from tests.sockets import TIMEOUT_S, Peer, eventually, get, hit, run_router

IDLE_S, ANSWER_S = 6.0, 0.02


def test_wait_is_twice_the_usual_answer_until_requests_meet_often() -> None:
    second = SecondConnectionPolicy(IDLE_S)
    assert second.dial_delay_s(0.0) == MAX_WAIT_S, "no answer time is known yet"
    second.record_answer(ANSWER_S)
    waits = [
        second.dial_delay_s(turn * IDLE_S / FREQUENT_OVERLAPS) for turn in range(1, FREQUENT_OVERLAPS + 1)
    ]
    assert waits == [2 * ANSWER_S] * (FREQUENT_OVERLAPS - 2) + [0.0, 0.0]
    assert second.dial_delay_s(3 * IDLE_S) == 2 * ANSWER_S, "the overlaps have become rare again"


@pytest.mark.parametrize(("waits_s", "connections"), [(TIMEOUT_S, 1), (0.0, 2)])
def test_read_that_meets_another_waits_for_the_only_connection_as_long_as_it_pays(
    monkeypatch: pytest.MonkeyPatch, waits_s: float, connections: int
) -> None:
    monkeypatch.setattr(SecondConnectionPolicy, "dial_delay_s", lambda *_: waits_s)

    async def scene() -> None:
        fleet, pool = Servers(), pool_without_sweep(8)
        (server,) = await fleet.listen(pool, 1)
        reads = [Read(f"r{turn}") for turn in range(3)]
        pool.submit(server, reads[0])
        assert await reads[0].outcome is Outcome.OK
        for read in reads[1:]:
            pool.submit(server, read)
        assert [await read.outcome for read in reads[1:]] == [Outcome.OK, Outcome.OK]
        assert fleet.most == connections
        pool.close()
        fleet.close()

    run(scene())


def test_read_behind_a_silent_answer_has_a_second_connection_in_time(tmp_path: Path) -> None:
    release = threading.Event()

    def serve(_: object, words: list[bytes]) -> bytes:
        if words[1] == b"silent":
            release.wait(TIMEOUT_S)
        return hit(words[2])

    cache = Peer(serve)
    with run_router(tmp_path, {"s1": cache}) as router:
        waiting, client = router.client(), router.client()
        assert client.ask(get("a0")) == b"a0"
        waiting.send(get("a1", "silent"))
        eventually(lambda: len(cache.seen) == 2, "the server has the silent request")
        begun = time.monotonic()
        assert client.ask(get("a2", "other")) == b"a2"
        assert time.monotonic() - begun < 1.0, "long before the silent request times out"
        assert cache.accepted == 2
        release.set()
        assert waiting.answer() == b"a1"
