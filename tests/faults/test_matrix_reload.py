"""A new configuration is applied while system calls fail; see matrix_scenes.py."""

from __future__ import annotations

import json
import time
from pathlib import Path

from tests.faults.matrix import Case, Scene
from tests.faults.matrix_scenes import (
    cases,
    failing,
    new_server_is_used,
    no_server_marked_unhealthy,
    origin,
)
from tests.faults.system_calls import SystemCalls
from tests.sockets import (
    DiscoveryPeer,
    echo_cache,
    entry,
    eventually,
    get,
    run_router,
)


@cases(Scene.RELOAD)
def test_new_configuration_is_taken(tmp_path: Path, case: Case, lasting: int | float) -> None:
    calls, store = SystemCalls(tmp_path), origin()
    cache, other = echo_cache(), echo_cache()
    elsewhere = DiscoveryPeer([entry(other, "s2"), entry(store, "origin", "origin")])
    with run_router(tmp_path, {"s1": cache}, store, environ=calls.environ) as router:
        client = router.client()
        assert client.ask(get("a0")) == b"a0"
        config = router.read_configuration() | {"discovery": f"127.0.0.1:{elsewhere.peer.port}"}
        with failing(calls, case, lasting):
            started_at = time.monotonic()
            router.reload(json.dumps(config))
            # Open requests end at a server that left the list; the new list is fetched meanwhile.
            eventually(lambda: new_server_is_used(client, other), "the other discovery's list is in force")
            assert time.monotonic() - started_at < (4 if isinstance(lasting, int) else 4 + lasting)
        assert router.process.poll() is None
        no_server_marked_unhealthy(router, store, writes=0)
    elsewhere.peer.close()
