"""A router with too little CPU sheds requests, reports that, ejects no server, and recovers afterwards."""

from __future__ import annotations

import os
import signal
import threading
import time
from pathlib import Path
from typing import Any

from saltport.admin.client import ask
from tests.sockets import Peer, eventually, get, hit, run_router


def features(folder: Path) -> list[str]:
    path = folder / "features.toml"
    path.write_text("[overload]\ntarget_ms = 20\n")
    return ["--with", str(path)]


class Starved:
    """Lets a process run for about 5 ms of every 205 ms."""

    def __init__(self, pid: int) -> None:
        self._pid, self._over = pid, threading.Event()
        self._thread = threading.Thread(target=self._run, daemon=True)

    def _run(self) -> None:
        while not self._over.is_set():
            os.kill(self._pid, signal.SIGSTOP)
            time.sleep(0.2)
            os.kill(self._pid, signal.SIGCONT)
            time.sleep(0.005)

    def __enter__(self) -> Starved:
        self._thread.start()
        return self

    def __exit__(self, *_: object) -> None:
        self._over.set()
        self._thread.join()
        os.kill(self._pid, signal.SIGCONT)


def test_starved_router_sheds_and_recovers(tmp_path: Path) -> None:
    caches = {f"s{i}": Peer(lambda _, words: hit(words[2])) for i in range(3)}
    with run_router(tmp_path, caches, more=features(tmp_path)) as router:
        client = router.client()

        def state() -> dict[str, Any]:
            answer: Any = ask(router.admin, "/state", timeout_s=20.0)
            return dict(answer)

        assert client.ask(get("r0")) == b"r0"
        assert state()["overload"]["overloaded"] is False
        number = 0

        def refused() -> bytes:
            nonlocal number
            number += 1
            answer = client.ask(get(f"a{number}", f"k{number}", d=60_000))
            return answer if answer.startswith(b"-BUSY ") else b""

        with Starved(router.process.pid):
            answer: bytes = eventually(refused, "a read is shed")
            assert int(answer.split()[1]) > 0
            overloaded = state()
        assert overloaded["overload"]["overloaded"]
        (given_up,) = overloaded["given_up"]
        assert given_up["name"][1] == "router overloaded"
        assert given_up["last_60_s"] >= 1
        assert overloaded["outliers"]["ejected"] == 0

        def recovered() -> bool:
            return state()["overload"]["overloaded"] is False

        eventually(recovered, "the overload is over")
        client = router.client()  # the first connection was idle for too long
        for i in range(50):
            assert client.ask(get(f"z{i}", f"k{i}", d=60_000)) == b"z%d" % i
