"""What is under way moves to the next process, or stays, while calls fail: see matrix_scenes.py."""

from __future__ import annotations

import threading
from pathlib import Path

from benchmarks.platform import Platform, platform
from saltport.admin.client import ask
from tests.faults.matrix import Case, Scene
from tests.faults.matrix_scenes import (
    cases,
    failing,
)
from tests.faults.system_calls import SystemCalls
from tests.sockets import (
    Client,
    bulk,
    echo_cache_with_slow_key,
    eventually,
    get,
)


@cases(Scene.HAND_OVER)
def test_what_is_under_way_moves_or_stays(tmp_path: Path, case: Case, lasting: int | float) -> None:
    calls, let_go = SystemCalls(tmp_path), threading.Event()
    caches = {"s1": echo_cache_with_slow_key(let_go)}
    with platform(tmp_path, caches, environ=calls.environ) as held:
        old = held.start().ready()
        idle, half, waiting = (held.client() for _ in range(3))
        assert idle.ask(get("a1")) == b"a1"
        half.send(get("a2")[:30])
        waiting.send(get("a3", "slow", d=15_000))
        eventually(lambda: ask(old.admin, "/stats")["current"] == 1, "it is taken")
        with failing(calls, case, lasting):
            held.upgrade(old)
            if isinstance(lasting, int):
                half.send(get("a2")[30:])
                assert half.answer() == b"a2"
                assert idle.ask(get("a4")) == b"a4"
                assert idle.ask(bulk(b"PING")) == b"+PONG"
            else:
                assert asked_as_clients_do(held, idle, get("a4", d=15_000)) == b"a4"
            let_go.set()
            assert waiting.answer() == b"a3"
            assert held.client().ask(get("a5", d=15_000)) == b"a5"
            eventually(lambda: old.gone, "the old one has ended")
        assert old.process.returncode == 0
        if isinstance(lasting, int):
            assert waiting.ask(get("a6")) == b"a6"


def asked_as_clients_do(held: Platform, client: Client, request: bytes) -> bytes:
    """Ask on a connection that has rested; once more on a new one where its close has crossed the request.

    With the link between both processes down for longer than the old one has, it may close what rests.
    """
    try:
        return client.ask(request) or held.client().ask(request)
    except ConnectionError:
        return held.client().ask(request)
