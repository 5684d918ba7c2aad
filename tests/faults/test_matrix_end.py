"""What was taken is answered at the end while calls fail: see matrix_scenes.py."""

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
    calls, store, let_go = SystemCalls(tmp_path), origin(), threading.Event()
    with run_router(
        tmp_path, {"s1": echo_cache_with_slow_key(let_go)}, store, environ=calls.environ
    ) as router:
        waiting, idle = router.client(), router.client()
        assert waiting.ask(get("a0")) == b"a0"
        assert idle.ask(get("a1")) == b"a1"
        waiting.send(get("a2", "slow"))
        eventually(lambda: router.status_value("current") == 1, "it is taken")
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
