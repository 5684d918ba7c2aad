"""Each call of a router fails in each documented way for a moment, in each scene of its life.

Bounds come from the terms: no request closed without an answer, no effect twice, no server held to account,
no fetch at the origin that calm would not make, the process alive, no more than twice calm's processor time.
Each run of the suite plays a case either once or three times, in turn; once, three times and for two seconds by
hand:

    SALTPORT_MATRIX=whole pytest -n 8 tests/faults/test_matrix.py
"""

from __future__ import annotations

import errno
import json
import os
import threading
import time
from collections.abc import Iterator
from contextlib import contextmanager
from pathlib import Path

import pytest

from benchmarks.platform import platform
from saltport.admin.client import ask
from tests.faults.matrix import CASES, Case, Scene
from tests.faults.system_calls import Call, SystemCalls
from tests.sockets import (
    PATIENCE_S,
    Client,
    DiscoveryPeer,
    Peer,
    Routed,
    bulk,
    configuration,
    entry,
    eventually,
    free_port,
    get,
    http_answer,
    is_ready,
    put,
    routed,
    serving,
    slow_until,
    start_router,
)

WHOLE = os.environ.get("SALTPORT_MATRIX") == "whole"
TIMES = (1, 3)
LONG_S = 2.0
PACE_S = 0.02
CLIENTS = 6
TICKS = os.sysconf("SC_CLK_TCK")


def cases(scene: Scene) -> pytest.MarkDecorator:
    """The scene's cases, with how many of the calls fail, or for how many seconds all of them do."""
    played: list[tuple[Case, int | float]] = []
    for place, case in enumerate(CASES):
        if case.scene is scene:
            lasting = [*TIMES, LONG_S] if WHOLE else [TIMES[place % len(TIMES)]]
            played += [(case, times) for times in lasting]
    return pytest.mark.parametrize(("case", "lasting"), played, ids=[f"{c}-{times}" for c, times in played])


@contextmanager
def failing(calls: SystemCalls, case: Case, lasting: int | float) -> Iterator[None]:
    """The case's call fails within the block; one that lasts ends by itself."""
    if isinstance(lasting, int):
        calls.strike(case.call, case.number, times=lasting)
        yield
    else:
        calls.strike(case.call, case.number)
        end = threading.Timer(lasting, calls.end, [case.call])
        end.start()
        yield
        end.join()
    calls.end(case.call)


def origin() -> Peer:
    return Peer(lambda *_: http_answer(200, b"receipt"), is_http=True)


def ask_all(clients: list[Client], name: str, more_clients: list[Client] | None = None) -> None:
    """A read on each connection, all at once, each with its own answer."""
    every = clients + (more_clients or [])
    for turn, client in enumerate(every):
        client.send(get(f"{name}{turn}", f"k{turn}", d=15_000))
    answers = [client.answer() for client in every]
    assert answers == [b"%b%d" % (name.encode(), turn) for turn in range(len(every))]


def nobody_was_blamed(router: Routed, store: Peer, writes: int) -> None:
    eventually(lambda: answers_operators(router), "the operators' calls are answered")
    assert router.shows("cluster_unhealthy") == 0, "no server is held to account"
    sent = [message for message in store.seen if message[1] != b"/stats" and message[1] != b"/health/live"]
    assert [message[0] for message in sent] == [b"PUT"] * writes, "no read at the origin, each write once"


def answers_operators(router: Routed) -> bool:
    try:
        return bool(ask(router.admin, "/state"))
    except OSError:
        return False


def processor_s(process_id: int) -> float:
    fields = Path(f"/proc/{process_id}/stat").read_text().rsplit(")", 1)[1].split()
    return (int(fields[11]) + int(fields[12])) / TICKS


def paced(client: Client, name: str, seconds: float) -> None:
    """Reads at a steady pace, whose answers are read at the end."""
    count, end = 0, time.monotonic() + seconds
    while time.monotonic() < end:
        client.send(get(f"{name}{count}", f"k{count % 8}", d=15_000))
        count += 1
        time.sleep(PACE_S)
    assert [client.answer() for _ in range(count)] == [
        b"%b%d" % (name.encode(), turn) for turn in range(count)
    ]


@cases(Scene.SERVICE)
def test_service_goes_on(tmp_path: Path, case: Case, lasting: int | float) -> None:
    calls, store = SystemCalls(tmp_path), origin()
    caches = {f"s{turn}": serving() for turn in range(3)}
    later = serving()
    with routed(tmp_path, caches, store, environ=calls.environ) as router:
        used, quiet = [router.client() for _ in range(CLIENTS)], router.client()
        ask_all(used, "a", [quiet])
        assert quiet.ask(put("w0", cls="once", d=15_000)) == b"receipt"
        calm_s = processor_s(router.process.pid)
        if isinstance(lasting, float):
            paced(quiet, "p", lasting)
        calm_s = processor_s(router.process.pid) - calm_s
        busy_s = processor_s(router.process.pid)
        with failing(calls, case, lasting):
            if isinstance(lasting, float):
                paced(quiet, "q", lasting)
                busy_s = processor_s(router.process.pid) - busy_s
                assert busy_s <= 2 * calm_s + 2 / TICKS, "no spin"
            ask_all(used, "b", [router.client() for _ in range(CLIENTS)])
        with failing(calls, case, lasting):
            assert used[0].ask(put("w1", cls="once", d=15_000)) == b"receipt"
            assert router.client().ask(put("w2", cls="once", d=15_000)) == b"receipt"
        with failing(calls, case, lasting):
            router.discovery.change(
                *(entry(peer, name) for name, peer in caches.items()),
                entry(later, "later"), entry(store, "origin", "origin"),
            )  # fmt: skip
            eventually(lambda: asked_later(used[1], later), "the change of the list is in force")
        assert router.process.poll() is None
        nobody_was_blamed(router, store, writes=3)
    later.close()


def asked_later(client: Client, later: Peer) -> bool:
    """Whether a server that was listed just now is asked for some key by now."""
    for turn in range(24):
        name = f"l{time.monotonic_ns()}"
        assert client.ask(get(name, f"k{turn}", d=15_000)) == name.encode()
    return bool(later.seen)


@cases(Scene.RELOAD)
def test_new_configuration_is_taken(tmp_path: Path, case: Case, lasting: int | float) -> None:
    calls, store = SystemCalls(tmp_path), origin()
    cache, other = serving(), serving()
    elsewhere = DiscoveryPeer([entry(other, "s2"), entry(store, "origin", "origin")])
    with routed(tmp_path, {"s1": cache}, store, environ=calls.environ) as router:
        client = router.client()
        assert client.ask(get("a0")) == b"a0"
        told = router.told() | {"discovery": f"127.0.0.1:{elsewhere.peer.port}"}
        with failing(calls, case, lasting):
            begun = time.monotonic()
            router.reload(json.dumps(told))
            # What is open when its server leaves the list ends there; the new list is asked for meanwhile.
            eventually(lambda: asked_later(client, other), "the other discovery's list is in force")
            assert time.monotonic() - begun < (4 if isinstance(lasting, int) else 4 + lasting)
        assert router.process.poll() is None
        nobody_was_blamed(router, store, writes=0)
    elsewhere.peer.close()


@cases(Scene.END)
def test_end_answers_what_was_taken(tmp_path: Path, case: Case, lasting: int | float) -> None:
    calls, store, let_go = SystemCalls(tmp_path), origin(), threading.Event()
    with routed(tmp_path, {"s1": slow_until(let_go)}, store, environ=calls.environ) as router:
        waiting, idle = router.client(), router.client()
        assert waiting.ask(get("a0")) == b"a0"
        assert idle.ask(get("a1")) == b"a1"
        waiting.send(get("a2", "slow"))
        eventually(lambda: router.shows("current") == 1, "it is taken")
        with failing(calls, case, lasting):
            router.terminate()
            late = router.client()
            assert late.ask(get("a3")) == b"a3", "clients are sent here for 0.4 s more"
            let_go.set()
            assert waiting.answer() == b"a2"
            for client in (waiting, idle, late):
                assert client.at_end(), "nothing is left on it"
                client.leave()
            eventually(lambda: router.process.poll() is not None, "it has ended")
        assert router.process.returncode == 0


@cases(Scene.START)
def test_start_waits_it_out(tmp_path: Path, case: Case, lasting: int | float) -> None:
    calls, cache = SystemCalls(tmp_path), serving()
    discovery, port, admin = DiscoveryPeer([entry(cache, "s1")]), free_port(), free_port()
    told = configuration(port, discovery) | {"admin_addr": f"127.0.0.1:{admin}"}
    with failing(calls, case, lasting):
        process = start_router(tmp_path, told, environ=calls.environ)
        try:
            eventually(lambda: is_ready(port) or process.poll() is not None, "the router is ready")
            assert process.poll() is None
            client = Client(port)
            assert client.ask(get("a0", d=15_000)) == b"a0"
            client.close()
        finally:
            process.terminate()
            _, log = process.communicate(timeout=PATIENCE_S)
            discovery.peer.close()
            cache.close()
    assert process.returncode == 0, log
    assert "Traceback" not in log, log


@cases(Scene.HAND_OVER)
def test_what_is_under_way_moves_or_stays(tmp_path: Path, case: Case, lasting: int | float) -> None:
    calls, let_go = SystemCalls(tmp_path), threading.Event()
    caches = {"s1": slow_until(let_go)}
    with platform(tmp_path, caches, environ=calls.environ) as held:
        old = held.start().ready()
        idle, half, waiting = (held.client() for _ in range(3))
        assert idle.ask(get("a1")) == b"a1"
        half.send(get("a2")[:30])
        waiting.send(get("a3", "slow", d=15_000))
        eventually(lambda: ask(old.admin, "/stats")["current"] == 1, "it is taken")
        with failing(calls, case, lasting):
            held.upgrade(old)
            half.send(get("a2")[30:])
            assert half.answer() == b"a2"
            assert idle.ask(get("a4")) == b"a4"
            assert idle.ask(bulk(b"PING")) == b"+PONG"
            let_go.set()
            assert waiting.answer() == b"a3"
            assert held.client().ask(get("a5")) == b"a5"
            eventually(lambda: old.gone, "the old one has ended")
        assert old.process.returncode == 0
        assert waiting.ask(get("a6")) == b"a6"


def test_every_call_of_the_library_that_a_router_makes_is_played() -> None:
    elsewhere = {Call.FSYNC, Call.CLOCK}  # owners/test_failing_disk.py, test_wall_clock.py
    unused = {Call.FCNTL}  # made on standard streams only, by Python
    assert {case.call for case in CASES} == set(Call) - elsewhere - unused
    assert all(case.number in errno.errorcode for case in CASES)
