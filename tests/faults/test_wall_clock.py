"""The wall clock is wrong, or stepped: slow start, told in Unix time, binds for spans of real time."""

from __future__ import annotations

import time
from pathlib import Path

import pytest

from tests.faults.system_calls import SystemCalls
from tests.sockets import RunningRouter, echo_cache, entry, get, run_router

COLD_S = 2.5
FACTS = {"rules": {"coldShare": 0.1, "coldNs": int(COLD_S * 1e9)}}
READS = 300
AN_HOUR = 3600.0
MOST_COLD, LEAST_WARM = 0.30, 0.35
"""Shares of reads at one of two servers: 0.09 to 0.25 as it begins, 0.47 once both are warm."""


def share_of(name: bytes, router: RunningRouter, turn: str) -> float:
    """The share of new keys that a server is asked for."""
    client = router.client()
    client.send(b"".join(get(f"{turn}{number}", f"{turn}{number}") for number in range(READS)))
    answers = [client.answer() for _ in range(READS)]
    assert all(answer == f"{turn}{number}".encode() for number, answer in enumerate(answers))
    return sum(words[2].startswith(turn.encode()) for words in router.caches[name.decode()].seen) / READS


@pytest.mark.parametrize("when", ["before the start", "after the start"])
@pytest.mark.parametrize("step", [0.0, AN_HOUR, -AN_HOUR, 7.0, -7.0])
def test_server_that_has_just_started_gets_little_and_then_its_share(
    tmp_path: Path, step: float, when: str
) -> None:
    calls = SystemCalls(tmp_path)
    fresh, warm = echo_cache(), echo_cache()
    if when == "before the start":
        calls.step_wall_clock(step)
    with run_router(tmp_path, {"warm": warm}, facts=FACTS, environ=calls.environ) as router:
        router.caches = {"warm": warm, "fresh": fresh}
        calls.step_wall_clock(step)
        started = {**entry(fresh, "fresh"), "startedAtMs": time.time_ns() // 10**6}
        router.discovery.change(entry(warm, "warm"), started)
        router.until("generation", 2)
        assert share_of(b"fresh", router, "first") <= MOST_COLD
        time.sleep(COLD_S)
        assert share_of(b"fresh", router, "later") >= LEAST_WARM


@pytest.mark.parametrize("step", [0.0, AN_HOUR, -AN_HOUR])
def test_router_that_starts_beside_a_cold_server_holds_back_for_as_long_as_it_is_cold(
    tmp_path: Path, step: float
) -> None:
    calls = SystemCalls(tmp_path)
    calls.step_wall_clock(step)
    fresh, older, warm = echo_cache(), echo_cache(), echo_cache()
    now_ms = time.time_ns() // 10**6
    started = {"fresh": now_ms, "older": now_ms - 60_000, "warm": 0}
    caches = {"fresh": fresh, "older": older, "warm": warm}
    with run_router(tmp_path, caches, facts=FACTS, environ=calls.environ, started_ms=started) as router:
        router.caches = caches
        assert share_of(b"fresh", router, "first") <= MOST_COLD * 2 / 3
        assert share_of(b"older", router, "second") >= LEAST_WARM * 2 / 3, "a minute older than another start"
        time.sleep(COLD_S)
        assert share_of(b"fresh", router, "later") >= LEAST_WARM * 2 / 3
