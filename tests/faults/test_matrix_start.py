"""A router starts although system calls fail temporarily; see matrix_scenes.py."""

from __future__ import annotations

import errno
from pathlib import Path

from tests.faults.matrix import CASES, Case, Scene
from tests.faults.matrix_scenes import (
    cases,
    failing,
)
from tests.faults.system_calls import Call, SystemCalls
from tests.sockets import (
    TIMEOUT_S,
    Client,
    DiscoveryPeer,
    configuration,
    echo_cache,
    entry,
    eventually,
    free_port,
    get,
    is_ready,
    start_router,
)


@cases(Scene.START)
def test_start_waits_it_out(tmp_path: Path, case: Case, lasting: int | float) -> None:
    calls, cache = SystemCalls(tmp_path), echo_cache()
    discovery, port, admin = DiscoveryPeer([entry(cache, "s1")]), free_port(), free_port()
    config = configuration(port, discovery) | {"admin_addr": f"127.0.0.1:{admin}"}
    with failing(calls, case, lasting):
        process = start_router(tmp_path, config, environ=calls.environ)
        try:
            eventually(lambda: is_ready(port) or process.poll() is not None, "the router is ready")
            assert process.poll() is None
            client = Client(port)
            assert client.ask(get("a0", d=15_000)) == b"a0"
            client.close()
        finally:
            process.terminate()
            _, log = process.communicate(timeout=TIMEOUT_S)
            discovery.peer.close()
            cache.close()
    assert process.returncode == 0, log
    assert "Traceback" not in log, log


def test_every_call_of_the_library_that_a_router_makes_is_played() -> None:
    elsewhere = {Call.FSYNC, Call.CLOCK}  # owners/test_failing_disk.py, test_wall_clock.py
    unused = {Call.FCNTL}  # made on standard streams only, by Python
    assert {case.call for case in CASES} == set(Call) - elsewhere - unused
    assert all(case.number in errno.errorcode for case in CASES)
