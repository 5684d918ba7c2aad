"""The steps of a drain, and drains of real routers over loopback with every kind of connection."""

from __future__ import annotations

import threading
import time
from pathlib import Path

import pytest

from saltport.admin.client import ask, call
from saltport.lifecycle.drain import OPERATOR_DRAIN, DrainPlan, shutdown_plan
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
    ("plan", "elapsed_s", "step"),
    [
        (OPERATOR_DRAIN, 0.0, (False, False, False, False)),
        (OPERATOR_DRAIN, 0.4, (False, False, False, False)),
        (OPERATOR_DRAIN, 0.6, (True, False, False, False)),
        (OPERATOR_DRAIN, 1.1, (True, True, False, False)),
        (OPERATOR_DRAIN, 3.3, (True, True, True, False)),
        (OPERATOR_DRAIN, 1e9, (True, True, True, False)),
        (shutdown_plan(3.0, replaced=False), 0.4, (False, False, False, False)),
        (shutdown_plan(3.0, replaced=False), 0.6, (True, True, False, False)),
        (shutdown_plan(3.0, replaced=True), 0.0, (True, True, False, False)),
        (shutdown_plan(3.0, replaced=True), 0.7, (True, True, True, False)),
        (shutdown_plan(3.0, replaced=True), 3.7, (True, True, True, True)),
    ],
)
def test_each_step_applies_from_its_start_time(
    plan: DrainPlan, elapsed_s: float, step: tuple[bool, ...]
) -> None:
    actual = plan.step(elapsed_s)
    assert (actual.close_when_answered, actual.close_idle, actual.close_mid_command, actual.expired) == step


def test_shutdown_ends_before_sigkill_and_operator_drain_within_4_s() -> None:
    for longest in (0.5, 1.2, 3.0):
        assert longest < shutdown_plan(longest, replaced=False).expired < longest + 0.7
    assert OPERATOR_DRAIN.close_when_answered > 0.3, (
        "the front end checks health every 0.1 s and stops connecting 0.2 s after a negative answer"
    )
    assert OPERATOR_DRAIN.close_mid_command < 4.0


def test_drain_closes_every_kind_of_connection_and_loses_no_request(tmp_path: Path) -> None:
    release = threading.Event()
    # The deadline is long, so that no waiting request fails during the test.
    long_deadline = {"name": "get", "aimNs": 30 * 10**9, "giveUpNs": 60 * 10**9, "semantics": "retryable"}
    with run_router(
        tmp_path, {"s1": echo_cache_with_slow_key(release)}, facts={"classes": [long_deadline]}
    ) as router:
        idle, busy, partial, checking, pipelined = (router.client() for _ in range(5))
        assert idle.ask(get("a1")) == b"a1"
        assert partial.ask(get("a2")) == b"a2"
        busy.send(get("a3", "slow", 60_000))
        pipelined.send(get("a4", "slow", 60_000) + get("a5") + get("a6"))
        partial.send(get("a7")[:20])
        assert checking.ask(PING) == b"+PONG"
        eventually(
            lambda: ask(router.admin, "/stats")["current"] == 2, "the slow requests have been received"
        )
        assert router.put(DRAIN) == 200
        assert router.put(DRAIN) == 200  # a second call changes nothing
        assert call(router.admin, "GET", "/healthcheck")[0] == 503
        assert checking.ask(PING).startswith(b"-"), "an open connection gets a negative health check"
        late = router.client()
        assert late.ask(PING).startswith(b"-")
        assert late.ask(get("b1")) == b"b1", "a request on a new connection is still answered"
        assert idle.at_end()
        release.set()
        assert busy.answer() == b"a3"
        assert [pipelined.answer() for _ in range(3)] == [b"a4", b"a5", b"a6"]
        for client in (busy, pipelined, late):
            assert client.at_end()
        assert partial.stream.read() in (b"", b"-ERR Protocol error: command not finished in time\r\n")
        checking = router.client()
        for _ in range(3):
            assert checking.ask(PING).startswith(b"-"), "a connection with health checks only stays open"
        eventually(lambda: ask(router.admin, "/state")["connected"] <= 1, "all other connections are closed")
        assert router.put(RESUME) == 200
        assert router.client().ask(PING) == b"+PONG"
        assert call(router.admin, "GET", "/healthcheck")[0] == 200
        again = router.client()
        for i in range(3):
            assert again.ask(get(f"c{i}")) == b"c%d" % i, "connections stay open after the drain"


def test_partial_command_completed_during_the_drain_is_answered(tmp_path: Path) -> None:
    with run_router(tmp_path, {"s1": echo_cache()}) as router:
        partial = router.client()
        partial.send(get("a1")[:20])
        eventually(lambda: ask(router.admin, "/state")["connected"] == 1, "the client is connected")
        assert router.put(DRAIN) == 200
        partial.send(get("a1")[20:])
        assert partial.answer() == b"a1"


def test_drain_resumed_at_once_keeps_connections(tmp_path: Path) -> None:
    with run_router(tmp_path, {"s1": echo_cache()}) as router:
        client = router.client()
        assert client.ask(get("a1")) == b"a1"
        for _ in range(5):
            assert router.put(DRAIN) == 200
            assert router.put(RESUME) == 200
        assert client.ask(get("a2")) == b"a2"
        assert client.ask(PING) == b"+PONG"


def test_slow_reader_gets_its_complete_value_during_a_drain(tmp_path: Path) -> None:
    value = b"v" * (4 << 20)
    cache = Peer(lambda _, words: hit(value))
    with run_router(tmp_path, {"s1": cache}) as router:
        client = router.client()
        client.send(get("a1"))
        assert client.stream.readline() == b"$%d\r\n" % len(value)
        assert router.put(DRAIN) == 200
        received = 0
        while received < len(value) + 2:
            received += len(client.stream.read(min(512 << 10, len(value) + 2 - received)))
            time.sleep(0.02)
        assert client.at_end()


def test_sigterm_ends_a_drained_router_and_resume_is_refused(tmp_path: Path) -> None:
    release = threading.Event()
    with run_router(tmp_path, {"s1": echo_cache_with_slow_key(release)}) as router:
        client = router.client()
        client.send(get("a1", "slow"))
        eventually(lambda: ask(router.admin, "/stats")["current"] == 1, "the request has been received")
        assert router.put(DRAIN) == 200
        router.terminate()

        eventually(lambda: router.put(RESUME) == 500, "resume is refused")
        release.set()
        assert client.answer() == b"a1"
        assert router.process.wait(TIMEOUT_S) == 0


def test_memcached_clients_see_the_drain(tmp_path: Path) -> None:
    store = OriginStore()
    with run_memcached_router(tmp_path, store) as (router, _):
        client = MemcachedClient(router.port)
        assert (b"ready", b"yes") in [(p.key, p.value) for p in stat(client)]
        assert router.put(DRAIN) == 200
        assert (b"ready", b"no") in [(p.key, p.value) for p in stat(client)]


def stat(client: MemcachedClient) -> list[Packet]:
    client.send(Packet(Opcode.STAT))
    return client.answers(4)
