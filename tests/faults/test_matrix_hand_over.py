"""Open requests move to the next process, or stay, while system calls fail; see matrix_scenes.py."""

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
def test_open_requests_move_or_stay(tmp_path: Path, case: Case, lasting: int | float) -> None:
    calls, may_answer = SystemCalls(tmp_path), threading.Event()
    caches = {"s1": echo_cache_with_slow_key(may_answer)}
    with platform(tmp_path, caches, environ=calls.environ) as router_platform:
        old = router_platform.start().wait_until_healthy()
        idle, half, waiting = (router_platform.client() for _ in range(3))
        assert idle.ask(get("a1")) == b"a1"
        half.send(get("a2")[:30])
        waiting.send(get("a3", "slow", d=15_000))
        eventually(lambda: ask(old.admin, "/stats")["current"] == 1, "the request is accepted")
        with failing(calls, case, lasting):
            router_platform.upgrade(old)
            if isinstance(lasting, int):
                half.send(get("a2")[30:])
                assert half.answer() == b"a2"
                assert idle.ask(get("a4")) == b"a4"
                assert idle.ask(bulk(b"PING")) == b"+PONG"
            else:
                assert ask_with_retry(router_platform, idle, get("a4", d=15_000)) == b"a4"
            may_answer.set()
            assert waiting.answer() == b"a3"
            assert router_platform.client().ask(get("a5", d=15_000)) == b"a5"
            eventually(lambda: old.has_exited, "the old process has ended")
        assert old.process.returncode == 0
        if isinstance(lasting, int):
            assert waiting.ask(get("a6")) == b"a6"


def ask_with_retry(router_platform: Platform, client: Client, request: bytes) -> bytes:
    """Send a request on an idle connection, and again on a new one if the close has crossed the request.

    If the link between the processes is down for too long, the old one closes its idle connections.
    """
    try:
        return client.ask(request) or router_platform.client().ask(request)
    except ConnectionError:
        return router_platform.client().ask(request)
