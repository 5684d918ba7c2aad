"""Each call of a router fails in each documented way for a moment, in each scene of its life.

Bounds come from the terms: no request closed without an answer, no effect twice, no server held to account,
no fetch at the origin that calm would not make, the process alive, no more than twice calm's processor time.
Each run of the suite plays a case once or three times, in turn; once, three times and two seconds by hand:

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

WHOLE = os.environ.get("SALTPORT_MATRIX") == "whole"
TIMES = (1, 3)
LONG_S = 2.0
PACE_S = 0.02
CLIENTS = 6
TICKS = os.sysconf("SC_CLK_TCK")


def cases(scene: Scene) -> pytest.MarkDecorator:
    """The scene's cases, with how many of the calls fail, or for how many seconds all of them do."""
    played: list[tuple[Case, int | float]] = []
    for place, case in enumerate(CASES):
        if case.scene is scene:
            # What is interrupted is made again at once, so it can't be interrupted for two seconds on end. A
            # read that says EAGAIN says that nothing has come, which is no failure that lasts.
            is_short = case.number == errno.EINTR or (case.call, case.number) == (Call.READ, errno.EAGAIN)
            long = [] if is_short else [LONG_S]
            lasting = [*TIMES, *long] if WHOLE else [TIMES[place % len(TIMES)]]
            played += [(case, times) for times in lasting]
    return pytest.mark.parametrize(("case", "lasting"), played, ids=[f"{c}-{times}" for c, times in played])


@contextmanager
def failing(calls: SystemCalls, case: Case, lasting: int | float) -> Iterator[None]:
    """The case's call fails within the block; one that lasts ends by itself."""
    if isinstance(lasting, int):
        calls.strike(case.call, case.number, times=lasting)
        yield
    else:
        calls.strike(case.call, case.number)
        end = threading.Timer(lasting, calls.end, [case.call])
        end.start()
        yield
        end.join()
    calls.end(case.call)


def origin() -> Peer:
    return Peer(lambda *_: http_answer(200, b"receipt"), is_http=True)


def ask_all(clients: list[Client], name: str, more_clients: list[Client] | None = None) -> None:
    """A read on each connection, all at once, each with its own answer."""
    every = clients + (more_clients or [])
    for turn, client in enumerate(every):
        client.send(get(f"{name}{turn}", f"k{turn}", d=15_000))
    answers = [client.answer() for client in every]
    assert answers == [b"%b%d" % (name.encode(), turn) for turn in range(len(every))]


def nobody_was_blamed(router: RunningRouter, store: Peer, writes: int) -> None:
    eventually(lambda: answers_operators(router), "the operators' calls are answered")
    assert router.status_value("cluster_unhealthy") == 0, "no server is held to account"
    sent = [message for message in store.seen if message[1] != b"/stats" and message[1] != b"/health/live"]
    assert [message[0] for message in sent] == [b"PUT"] * writes, "no read at the origin, each write once"


def answers_operators(router: RunningRouter) -> bool:
    try:
        return bool(ask(router.admin, "/state"))
    except OSError:
        return False


def processor_s(process_id: int) -> float:
    fields = Path(f"/proc/{process_id}/stat").read_text().rsplit(")", 1)[1].split()
    return (int(fields[11]) + int(fields[12])) / TICKS


def paced(client: Client, name: str, seconds: float) -> None:
    """Reads at a steady pace, whose answers are read at the end."""
    count, end = 0, time.monotonic() + seconds
    while time.monotonic() < end:
        client.send(get(f"{name}{count}", f"k{count % 8}", d=15_000))
        count += 1
        time.sleep(PACE_S)
    assert [client.answer() for _ in range(count)] == [
        b"%b%d" % (name.encode(), turn) for turn in range(count)
    ]


def asked_later(client: Client, later: Peer) -> bool:
    """Whether a server that was listed just now is asked for some key by now."""
    for turn in range(24):
        name = f"l{time.monotonic_ns()}"
        assert client.ask(get(name, f"k{turn}", d=15_000)) == name.encode()
    return bool(later.seen)
