"""Extreme cases: series of signals with hanging servers, very short deadlines, partial commands."""

from __future__ import annotations

import signal
import threading
import time
from collections.abc import Sequence
from pathlib import Path

import pytest

from tests.crossings.test_shutdown import ASIDE
from tests.sockets import (
    MISS,
    TIMEOUT_S,
    Client,
    Peer,
    RunningRouter,
    echo_cache,
    eventually,
    get,
    http_answer,
    put,
    run_router,
)

TERM, HUP = signal.SIGTERM, signal.SIGHUP
SERIES = {
    "TERM twice": (TERM, TERM), "HUP then TERM": (HUP, TERM), "TERM, HUP, TERM": (TERM, HUP, TERM),
    "HUP ten times": (*[HUP] * 10, TERM),
}  # fmt: skip
SHORT_DEADLINES_MS = (1, 2, 3, 5)
ANSWER_LIMIT_S = 3.0


class RepeatingClient(threading.Thread):
    """A client that sends requests on one connection until the router closes it."""

    def __init__(self, client: Client, name: str) -> None:
        super().__init__(daemon=True)
        self._client, self._name = client, name
        self.sent = 0
        self.answers: list[bytes] = []

    def run(self) -> None:
        try:
            while True:
                request = put if self.sent % 3 == 2 else get
                self._client.send(request(f"{self._name}x{self.sent}", d=300))
                self.sent += 1
                if not (answer := self._client.answer()):
                    return
                self.answers.append(answer)
        except OSError:
            pass


@pytest.mark.parametrize("series", SERIES.values(), ids=SERIES)
def test_whatever_was_asked_before_the_end_is_answered_under_servers_that_hang(
    tmp_path: Path, series: Sequence[int]
) -> None:
    may_answer = threading.Event()

    def hang(*_: object) -> bytes:
        may_answer.wait(2 * TIMEOUT_S)
        return b""

    caches = {f"s{number}": Peer(hang) for number in range(3)}
    with run_router(tmp_path, caches, Peer(hang, is_http=True), facts=ASIDE) as router:
        clients = [RepeatingClient(router.client(), f"a{number}") for number in range(4)]
        for client in clients:
            client.start()
        eventually(lambda: all(client.answers for client in clients), "each client had an answer")
        for number in series:
            router.process.send_signal(number)
            time.sleep(0.03)
        for client in clients:
            client.join(TIMEOUT_S)
        assert router.process.wait(TIMEOUT_S) == 0
        for client in clients:
            # The last request may have crossed the close, which came between requests.
            assert client.sent - 1 <= len(client.answers) <= client.sent
            assert all(answer.startswith(b"-") for answer in client.answers)
        may_answer.set()


@pytest.mark.parametrize("cache", ["answers", "drops it", "misses"])
def test_requests_with_hardly_any_time_left_are_answered_all_the_same(tmp_path: Path, cache: str) -> None:
    def drop(*_: object) -> None:
        return None

    peer = {"answers": echo_cache(), "drops it": Peer(drop), "misses": Peer(lambda *_: MISS)}[cache]
    origin = Peer(drop if cache == "drops it" else lambda *_: http_answer(200, b"value"), is_http=True)
    with run_router(tmp_path, {"s1": peer}, origin) as router:
        client = router.client()
        for index in range(30):
            d = SHORT_DEADLINES_MS[index % len(SHORT_DEADLINES_MS)]
            started_at = time.monotonic()
            answer = client.ask(put(f"w{index}", d=d) if index % 5 == 4 else get(f"a{index}", f"k{index}", d))
            assert answer, "a final answer"
            assert time.monotonic() - started_at < 0.5 + TIMEOUT_S / 4
        assert router.status_value("cluster_unhealthy") == 0 or cache == "drops it"


def half_on_a_new_connection(router: RunningRouter) -> Client:
    return router.client()


def half_behind_an_answer(router: RunningRouter) -> Client:
    client = router.client()
    assert client.ask(get("a1")) == b"a1"
    return client


def half_behind_a_refusal(router: RunningRouter) -> Client:
    client = router.client()
    assert client.ask(get("a1", d=1)).startswith((b"-", b"a1"))
    return client


@pytest.mark.parametrize("prepared", [half_on_a_new_connection, half_behind_an_answer, half_behind_a_refusal])
@pytest.mark.parametrize("part", [1, 7, 30])
def test_client_that_stops_within_a_command_gets_an_error_or_a_close(
    tmp_path: Path, prepared: object, part: int
) -> None:
    assert callable(prepared)
    with run_router(tmp_path, {"s1": echo_cache()}) as router:
        client = prepared(router)
        client.send(get("half")[:part])
        started_at = time.monotonic()
        assert client.answer().startswith(b"-") or client.at_end()
        assert time.monotonic() - started_at < ANSWER_LIMIT_S
