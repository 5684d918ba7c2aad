"""Signals that meet the first and the last moments of a process: it runs and ends as without them."""

from __future__ import annotations

import json
import os
import signal
import subprocess
import sys
from pathlib import Path

import pytest

from tests.sockets import (
    ROOT,
    TIMEOUT_S,
    DiscoveryPeer,
    configuration,
    echo_cache,
    entry,
    eventually,
    free_port,
    is_ready,
)

SIGNALLED_WHILE_IT_CLOSES = """
import os, signal, sys
from saltport.lifecycle import process
from saltport.transport import loop

def signal_self():
    for number in (signal.SIGTERM, signal.SIGHUP):
        os.kill(os.getpid(), number)

class SignalledLoop(loop.RouterEventLoop):
    def _close_self_pipe(self):
        super()._close_self_pipe()
        signal_self()

    def close(self):
        super().close()
        signal_self()

loop.RouterEventLoop = SignalledLoop
sys.exit(process.main())
"""


SIGNALLED_BEFORE_IT_RUNS = """
import os, runpy, signal
from saltport.lifecycle import service

class SignalledService(service.Service):
    async def run(self):
        os.kill(os.getpid(), signal.SIGHUP)
        await super().run()

service.Service = SignalledService
runpy.run_module("saltport.router", run_name="__main__")
"""


@pytest.mark.parametrize(
    "program", [SIGNALLED_WHILE_IT_CLOSES, SIGNALLED_BEFORE_IT_RUNS], ids=["end", "start"]
)
def test_signals_before_the_start_and_behind_the_end_change_nothing(tmp_path: Path, program: str) -> None:
    """Guards against a process that an early or late signal of a series ends."""
    cache = echo_cache()
    discovery, port, path = DiscoveryPeer([entry(cache, "s1")]), free_port(), tmp_path / "config.json"
    path.write_text(json.dumps(configuration(port, discovery)))
    process = subprocess.Popen(
        [sys.executable, "-c", program],
        cwd=ROOT,
        env={**os.environ, "LB_CONFIG": str(path)},
        stderr=subprocess.PIPE,
        text=True,
    )
    try:
        eventually(lambda: is_ready(port), "the router is ready")
        process.send_signal(signal.SIGTERM)
        _, log = process.communicate(timeout=TIMEOUT_S)
    finally:
        process.kill()
        cache.close()
        discovery.peer.close()
    assert process.returncode == 0
    assert "Traceback" not in log
    assert "signal wakeup" not in log
