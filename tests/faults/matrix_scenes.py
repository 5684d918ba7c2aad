"""Each system call of a router fails temporarily in each documented way, in each scene of its life.

The checks: no request is closed without an answer, no effect happens twice, no server is marked unhealthy,
the origin gets no extra fetch, the process stays alive, and it uses at most twice the processor time of a run
without faults. A run of the suite lets a call fail once or three times, alternating by case. This command
runs every case with one failure, with three, and with failures for two seconds:

    SALTPORT_MATRIX=whole pytest -n 8 tests/faults/test_matrix*.py
"""

from __future__ import annotations

import errno
import os
import threading
import time
from collections.abc import Iterator
from contextlib import contextmanager
from pathlib import Path

import pytest

from saltport.admin.client import ask
from tests.faults.matrix import CASES, Case, Scene
from tests.faults.system_calls import Call, SystemCalls
from tests.sockets import (
    Client,
    Peer,
    RunningRouter,
    eventually,
    get,
    http_answer,
)

ALL_DURATIONS = os.environ.get("SALTPORT_MATRIX") == "whole"
TIMES = (1, 3)
LONG_S = 2.0
READ_INTERVAL_S = 0.02
CLIENTS = 6
TICKS = os.sysconf("SC_CLK_TCK")


def cases(scene: Scene) -> pytest.MarkDecorator:
    """Parametrize with the scene's cases and how many calls fail, or for how many seconds all fail."""
    parameters: list[tuple[Case, int | float]] = []
    for index, case in enumerate(CASES):
        if case.scene is scene:
            # A call that returns EINTR is repeated at once, so it can't fail for two seconds. A read that
            # returns EAGAIN only means that there is no data, which is not a lasting failure.
            is_short = case.number == errno.EINTR or (case.call, case.number) == (Call.READ, errno.EAGAIN)
            long = [] if is_short else [LONG_S]
            durations = [*TIMES, *long] if ALL_DURATIONS else [TIMES[index % len(TIMES)]]
            parameters += [(case, times) for times in durations]
    return pytest.mark.parametrize(
        ("case", "lasting"), parameters, ids=[f"{c}-{times}" for c, times in parameters]
    )


@contextmanager
def failing(calls: SystemCalls, case: Case, lasting: int | float) -> Iterator[None]:
    """Let the case's call fail within the block; a timer ends a failure given in seconds."""
    if isinstance(lasting, int):
        calls.inject(case.call, case.number, times=lasting)
        yield
    else:
        calls.inject(case.call, case.number)
        end = threading.Timer(lasting, calls.clear, [case.call])
        end.start()
        yield
        end.join()
    calls.clear(case.call)


def origin() -> Peer:
    return Peer(lambda *_: http_answer(200, b"receipt"), is_http=True)


def read_on_all(clients: list[Client], name: str, more_clients: list[Client] | None = None) -> None:
    """Send a read on each connection at the same time, and check that each gets its own answer."""
    every = clients + (more_clients or [])
    for number, client in enumerate(every):
        client.send(get(f"{name}{number}", f"k{number}", d=15_000))
    answers = [client.answer() for client in every]
    assert answers == [b"%b%d" % (name.encode(), number) for number in range(len(every))]


def no_server_marked_unhealthy(router: RunningRouter, store: Peer, writes: int) -> None:
    eventually(lambda: admin_answers(router), "the admin API answers")
    assert router.status_value("cluster_unhealthy") == 0, "no server is marked unhealthy"
    sent = [message for message in store.seen if message[1] != b"/stats" and message[1] != b"/health/live"]
    assert [message[0] for message in sent] == [b"PUT"] * writes, "no read at the origin, and each write once"


def admin_answers(router: RunningRouter) -> bool:
    try:
        return bool(ask(router.admin, "/state"))
    except OSError:
        return False


def processor_s(process_id: int) -> float:
    fields = Path(f"/proc/{process_id}/stat").read_text().rsplit(")", 1)[1].split()
    return (int(fields[11]) + int(fields[12])) / TICKS


def read_at_pace(client: Client, name: str, seconds: float) -> None:
    """Send reads at a steady pace, and check their answers at the end."""
    count, end = 0, time.monotonic() + seconds
    while time.monotonic() < end:
        client.send(get(f"{name}{count}", f"k{count % 8}", d=15_000))
        count += 1
        time.sleep(READ_INTERVAL_S)
    assert [client.answer() for _ in range(count)] == [
        b"%b%d" % (name.encode(), number) for number in range(count)
    ]


def new_server_is_used(client: Client, new_server: Peer) -> bool:
    """Whether a newly listed server has received a request by now; sends reads for several keys."""
    for number in range(24):
        name = f"l{time.monotonic_ns()}"
        assert client.ask(get(name, f"k{number}", d=15_000)) == name.encode()
    return bool(new_server.seen)
