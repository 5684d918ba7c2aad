"""Requests are served while system calls fail; see matrix_scenes.py."""

from __future__ import annotations

from pathlib import Path

from tests.faults.matrix import Case, Scene
from tests.faults.matrix_scenes import (
    CLIENTS,
    TICKS,
    cases,
    failing,
    new_server_is_used,
    no_server_marked_unhealthy,
    origin,
    processor_s,
    read_at_pace,
    read_on_all,
)
from tests.faults.system_calls import SystemCalls
from tests.sockets import (
    echo_cache,
    entry,
    eventually,
    put,
    run_router,
)


@cases(Scene.SERVICE)
def test_service_goes_on(tmp_path: Path, case: Case, lasting: int | float) -> None:
    calls, store = SystemCalls(tmp_path), origin()
    caches = {f"s{index}": echo_cache() for index in range(3)}
    later = echo_cache()
    with run_router(tmp_path, caches, store, environ=calls.environ) as router:
        quiet = router.client()
        assert quiet.ask(put("w0", cls="once", d=15_000)) == b"receipt"
        calm_s = processor_s(router.process.pid)
        if isinstance(lasting, float):
            read_at_pace(quiet, "p", lasting)
        calm_s = processor_s(router.process.pid) - calm_s
        used = [router.client() for _ in range(CLIENTS)]
        read_on_all(used, "a", [quiet])
        with failing(calls, case, lasting):
            read_on_all(used, "b", [router.client() for _ in range(CLIENTS)])
            if isinstance(lasting, float):
                # Fail for two more seconds, as the first ones may have passed before all answers arrived.
                with failing(calls, case, lasting):
                    busy_s = processor_s(router.process.pid)
                    read_at_pace(quiet, "q", lasting)
                    busy_s = processor_s(router.process.pid) - busy_s
                    assert busy_s <= 2 * calm_s + 2 / TICKS, "no busy loop"
        used = [router.client() for _ in range(2)]
        read_on_all(used, "c")
        with failing(calls, case, lasting):
            assert used[0].ask(put("w1", cls="once", d=15_000)) == b"receipt"
            assert router.client().ask(put("w2", cls="once", d=15_000)) == b"receipt"
        with failing(calls, case, lasting):
            router.discovery.change(
                *(entry(peer, name) for name, peer in caches.items()),
                entry(later, "later"), entry(store, "origin", "origin"),
            )  # fmt: skip
            fresh = router.client()
            eventually(lambda: new_server_is_used(fresh, later), "the change of the list is in force")
        assert router.process.poll() is None
        no_server_marked_unhealthy(router, store, writes=3)
    later.close()
