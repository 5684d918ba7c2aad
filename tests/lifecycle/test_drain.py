"""The steps of a drain, and routers that are drained over loopback with every kind of connection."""

from __future__ import annotations

import threading
import time
from pathlib import Path

import pytest

from saltport.admin.client import ask, call
from saltport.lifecycle.drain import BY_CALL, Plan, at_the_end
from saltport.wire.memcached import Opcode, Packet
from tests.binary import MemcachedClient, OriginStore, run_memcached_router
from tests.sockets import (
    TIMEOUT_S,
    Peer,
    bulk,
    echo_cache,
    echo_cache_with_slow_key,
    eventually,
    get,
    hit,
    run_router,
)

PING, DRAIN, RESUME = bulk(b"PING"), "/healthcheck/fail", "/healthcheck/ok"


@pytest.mark.parametrize(
    ("plan", "since", "step"),
    [
        (BY_CALL, 0.0, (False, False, False, False)),
        (BY_CALL, 0.4, (False, False, False, False)),
        (BY_CALL, 0.6, (True, False, False, False)),
        (BY_CALL, 1.1, (True, True, False, False)),
        (BY_CALL, 3.3, (True, True, True, False)),
        (BY_CALL, 1e9, (True, True, True, False)),
        (at_the_end(3.0, replaced=False), 0.4, (False, False, False, False)),
        (at_the_end(3.0, replaced=False), 0.6, (True, True, False, False)),
        (at_the_end(3.0, replaced=True), 0.0, (True, True, False, False)),
        (at_the_end(3.0, replaced=True), 0.7, (True, True, True, False)),
        (at_the_end(3.0, replaced=True), 3.7, (True, True, True, True)),
    ],
)
def test_each_step_holds_from_its_time_on(plan: Plan, since: float, step: tuple[bool, ...]) -> None:
    told = plan.step(since)
    assert (told.leaving, told.idle, told.midway, told.over) == step


def test_end_comes_before_the_kill_and_drain_before_its_four_seconds() -> None:
    for longest in (0.5, 1.2, 3.0):
        assert longest < at_the_end(longest, replaced=False).over < longest + 0.7
    assert BY_CALL.leaving > 0.3, "the front asks ten times a second and stops 0.2 s after a no"
    assert BY_CALL.midway < 4.0


def test_every_kind_of_connection_comes_to_its_end_and_nothing_taken_is_lost(tmp_path: Path) -> None:
    held = threading.Event()
    # Nothing that waits here is given up meanwhile.
    patient = {"name": "get", "aimNs": 30 * 10**9, "giveUpNs": 60 * 10**9, "semantics": "retryable"}
    with run_router(tmp_path, {"s1": echo_cache_with_slow_key(held)}, facts={"classes": [patient]}) as router:
        idle, busy, half, asking, pipelined = (router.client() for _ in range(5))
        assert idle.ask(get("a1")) == b"a1"
        assert half.ask(get("a2")) == b"a2"
        busy.send(get("a3", "slow", 60_000))
        pipelined.send(get("a4", "slow", 60_000) + get("a5") + get("a6"))
        half.send(get("a7")[:20])
        assert asking.ask(PING) == b"+PONG"
        eventually(lambda: ask(router.admin, "/stats")["current"] == 2, "the slow ones are taken")
        assert router.put(DRAIN) == 200
        assert router.put(DRAIN) == 200  # a second call changes nothing
        assert call(router.admin, "GET", "/healthcheck")[0] == 503
        assert asking.ask(PING).startswith(b"-"), "told on the connection that is open"
        late = router.client()
        assert late.ask(PING).startswith(b"-")
        assert late.ask(get("b1")) == b"b1", "what comes all the same is answered"
        assert idle.at_end()
        held.set()
        assert busy.answer() == b"a3"
        assert [pipelined.answer() for _ in range(3)] == [b"a4", b"a5", b"a6"]
        for client in (busy, pipelined, late):
            assert client.at_end()
        assert half.stream.read() in (b"", b"-ERR Protocol error: command not finished in time\r\n")
        asking = router.client()
        for _ in range(3):
            assert asking.ask(PING).startswith(b"-"), "who only asks is not hung up on"
        eventually(lambda: ask(router.admin, "/state")["connected"] <= 1, "all others have gone")
        assert router.put(RESUME) == 200
        assert router.client().ask(PING) == b"+PONG"
        assert call(router.admin, "GET", "/healthcheck")[0] == 200
        again = router.client()
        for i in range(3):
            assert again.ask(get(f"c{i}")) == b"c%d" % i, "connections stay again"


def test_half_a_command_that_comes_whole_during_the_drain_is_answered(tmp_path: Path) -> None:
    with run_router(tmp_path, {"s1": echo_cache()}) as router:
        half = router.client()
        half.send(get("a1")[:20])
        eventually(lambda: ask(router.admin, "/state")["connected"] == 1, "it is there")
        assert router.put(DRAIN) == 200
        half.send(get("a1")[20:])
        assert half.answer() == b"a1"


def test_drained_and_back_at_once_keeps_its_connections(tmp_path: Path) -> None:
    with run_router(tmp_path, {"s1": echo_cache()}) as router:
        client = router.client()
        assert client.ask(get("a1")) == b"a1"
        for _ in range(5):
            assert router.put(DRAIN) == 200
            assert router.put(RESUME) == 200
        assert client.ask(get("a2")) == b"a2"
        assert client.ask(PING) == b"+PONG"


def test_slow_reader_gets_its_value_whole_during_a_drain(tmp_path: Path) -> None:
    value = b"v" * (4 << 20)
    cache = Peer(lambda _, words: hit(value))
    with run_router(tmp_path, {"s1": cache}) as router:
        client = router.client()
        client.send(get("a1"))
        assert client.stream.readline() == b"$%d\r\n" % len(value)
        assert router.put(DRAIN) == 200
        came = 0
        while came < len(value) + 2:
            came += len(client.stream.read(min(512 << 10, len(value) + 2 - came)))
            time.sleep(0.02)
        assert client.at_end()


def test_sigterm_ends_a_drained_router_and_back_to_work_is_a_no_then(tmp_path: Path) -> None:
    held = threading.Event()
    with run_router(tmp_path, {"s1": echo_cache_with_slow_key(held)}) as router:
        client = router.client()
        client.send(get("a1", "slow"))
        eventually(lambda: ask(router.admin, "/stats")["current"] == 1, "it is taken")
        assert router.put(DRAIN) == 200
        router.terminate()

        eventually(lambda: router.put(RESUME) == 500, "back to work is refused")
        held.set()
        assert client.answer() == b"a1"
        assert router.process.wait(TIMEOUT_S) == 0


def test_memcached_clients_are_told_too(tmp_path: Path) -> None:
    store = OriginStore()
    with run_memcached_router(tmp_path, store) as (router, _):
        client = MemcachedClient(router.port)
        assert (b"ready", b"yes") in [(p.key, p.value) for p in stat(client)]
        assert router.put(DRAIN) == 200
        assert (b"ready", b"no") in [(p.key, p.value) for p in stat(client)]


def stat(client: MemcachedClient) -> list[Packet]:
    client.send(Packet(Opcode.STAT))
    return client.answers(4)
