"""Accepted requests are answered at shutdown while system calls fail; see matrix_scenes.py."""

from __future__ import annotations

import threading
from pathlib import Path

from tests.faults.matrix import Case, Scene
from tests.faults.matrix_scenes import (
    cases,
    failing,
    origin,
)
from tests.faults.system_calls import SystemCalls
from tests.sockets import (
    echo_cache_with_slow_key,
    eventually,
    get,
    run_router,
)


@cases(Scene.END)
def test_end_answers_what_was_taken(tmp_path: Path, case: Case, lasting: int | float) -> None:
    calls, store, may_answer = SystemCalls(tmp_path), origin(), threading.Event()
    with run_router(
        tmp_path, {"s1": echo_cache_with_slow_key(may_answer)}, store, environ=calls.environ
    ) as router:
        waiting, idle = router.client(), router.client()
        assert waiting.ask(get("a0")) == b"a0"
        assert idle.ask(get("a1")) == b"a1"
        waiting.send(get("a2", "slow"))
        eventually(lambda: router.status_value("current") == 1, "the request is accepted")
        with failing(calls, case, lasting):
            router.terminate()
            late = router.client()
            assert late.ask(get("a3")) == b"a3", "clients may still connect for 0.4 s"
            may_answer.set()
            assert waiting.answer() == b"a2"
            for client in (waiting, idle, late):
                assert client.at_end(), "no data remains on the connection"
                client.leave()
            eventually(lambda: router.process.poll() is not None, "the process has ended")
        assert router.process.returncode == 0
