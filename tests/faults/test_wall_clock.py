"""The wall clock is wrong or stepped: slow start, given in Unix time, still lasts for its real time."""

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
MAX_COLD_SHARE, MIN_WARM_SHARE = 0.30, 0.35
"""Bounds for the share of reads at one of two servers: 0.09 to 0.25 when cold, 0.47 once both are warm."""


def share_of(name: bytes, router: RunningRouter, prefix: str) -> float:
    """Return the share of reads for new keys that a server receives."""
    client = router.client()
    client.send(b"".join(get(f"{prefix}{number}", f"{prefix}{number}") for number in range(READS)))
    answers = {f"{prefix}{number}": client.answer().decode() for number in range(READS)}
    assert {number: answer for number, answer in answers.items() if answer != number} == {}
    return sum(words[2].startswith(prefix.encode()) for words in router.caches[name.decode()].seen) / READS


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
        assert share_of(b"fresh", router, "first") <= MAX_COLD_SHARE
        time.sleep(COLD_S)
        assert share_of(b"fresh", router, "later") >= MIN_WARM_SHARE


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
        assert share_of(b"fresh", router, "first") <= MAX_COLD_SHARE * 2 / 3
        assert share_of(b"older", router, "second") >= MIN_WARM_SHARE * 2 / 3, (
            "started a minute before another server"
        )
        time.sleep(COLD_S)
        assert share_of(b"fresh", router, "later") >= MIN_WARM_SHARE * 2 / 3
