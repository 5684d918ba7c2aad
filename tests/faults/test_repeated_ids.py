"""Nothing is sent twice or for nobody: ids that come again, and requests of a client that has closed."""

from __future__ import annotations

import threading
import time
from collections.abc import Callable
from pathlib import Path

import pytest

from benchmarks.platform import platform
from tests.faults.crowd import cache_of
from tests.sockets import MISS, Client, Peer, entry, eventually, get, http_answer, put, run_router

DUPLICATE = b"-ERR duplicate id"
WORK_S = 0.4


class SlowOrigin:
    """An origin that takes a while over each write and carries it out, whether its client waits or not."""

    def __init__(self) -> None:
        self.begun: list[bytes] = []
        self.peer = Peer(self._serve, is_http=True)

    def _serve(self, _: object, message: list[bytes]) -> bytes:
        self.begun.append(next(line for line in message[2].splitlines() if line.startswith(b"Request-Id")))
        time.sleep(WORK_S)
        return http_answer(200, b"done")


@pytest.mark.parametrize("effect", ["once", "put"])
@pytest.mark.parametrize("pause_s", [0.05, 0.6, 2.5])
def test_id_that_comes_again_after_its_client_left_runs_once(
    tmp_path: Path, effect: str, pause_s: float
) -> None:
    """Guards against an id that is forgotten as soon as its client has left."""
    origin = SlowOrigin()
    with run_router(tmp_path, {"s1": cache_of({})}, origin.peer) as router:
        client = router.client()
        client.send(put("w1", cls=effect))
        eventually(lambda: origin.begun, "the write runs")
        client.leave()
        time.sleep(pause_s)
        assert router.client().ask(put("w1", cls=effect)) == DUPLICATE
        assert len(origin.begun) == 1


@pytest.mark.parametrize("effect", ["once", "put"])
def test_id_that_comes_again_after_its_answer_runs_once(tmp_path: Path, effect: str) -> None:
    """Guards against an id that is forgotten as soon as its answer is written."""
    origin = SlowOrigin()
    with run_router(tmp_path, {"s1": cache_of({})}, origin.peer) as router:
        assert router.client().ask(put("w1", cls=effect)) == b"done"
        assert router.client().ask(put("w1", cls=effect)) == DUPLICATE
        assert len(origin.begun) == 1


def test_id_of_a_write_that_was_refused_unsent_may_come_again(tmp_path: Path) -> None:
    """Guards against an id that is kept though nothing ran: a refusal says that trying again is harmless."""
    with run_router(tmp_path, {"s1": cache_of({})}) as router:
        assert router.client().ask(put("w1", cls="once")).startswith(b"-BUSY")
        assert router.client().ask(put("w1", cls="once")).startswith(b"-BUSY")


def test_id_of_a_write_that_the_origin_has_not_begun_may_come_again(tmp_path: Path) -> None:
    """Guards against an id that is kept for good as soon as it was sent."""
    answers = [http_answer(503, b"", "Not-Started: 1")]
    origin = Peer(lambda *_: answers[-1], is_http=True)
    with run_router(tmp_path, {"s1": cache_of({})}, origin) as router:
        assert router.client().ask(put("w1", cls="once", d=300)).startswith(b"-BUSY")
        assert origin.seen
        answers.append(http_answer(200, b"done"))
        assert router.client().ask(put("w1", cls="once")) == b"done"


@pytest.mark.parametrize("effect", ["once", "put"])
@pytest.mark.parametrize("pause_s", [0.0, 0.6])
@pytest.mark.parametrize("back", [False, True])
def test_id_that_comes_again_at_the_other_process_of_an_upgrade_runs_once(
    tmp_path: Path, effect: str, pause_s: float, back: bool
) -> None:
    """Guards against an id that only the process knows that took it first."""
    origin = SlowOrigin()
    cache = cache_of({b"k": 10})
    with platform(tmp_path, {"s1": cache}) as cluster:
        cluster.discovery.change(entry(cache, "s1"), entry(origin.peer, "origin", "origin"))
        cluster.start().wait_until_healthy()
        at_old = [cluster.client() for _ in range(2)]
        for number, client in enumerate(at_old):
            assert client.ask(get(f"r{number}", d=15_000)).startswith(b"r%d" % number)
        new = cluster.start().wait_until_healthy()
        at_new = [client_of_new(cluster.client, new) for _ in range(2)]
        first, second = (at_new, at_old) if back else (at_old, at_new)
        first[0].send(put("w1", cls=effect))
        eventually(lambda: origin.begun, "the write runs")
        first[0].leave()
        time.sleep(pause_s)
        assert second[0].ask(put("w1", cls=effect)) == DUPLICATE
        assert len(origin.begun) == 1
        origin.peer.close()


def client_of_new(connect: Callable[[], Client], new: object) -> Client:
    """Return a client whose connection the new process has accepted, as its connections show."""
    from benchmarks.platform import Process

    assert isinstance(new, Process)
    others: list[Client] = []
    for number in range(200):
        before = new.status_value("connected")
        client = connect()
        assert client.ask(get(f"n{id(client)}-{number}", d=15_000))
        if new.status_value("connected") > before:
            for other in others:
                other.leave()
            return client
        others.append(client)
    raise AssertionError("the new process accepts no client")


@pytest.mark.parametrize("kind", ["misses", "hits"])
def test_no_attempt_begins_long_after_the_close_of_a_client_with_much_unread(
    tmp_path: Path, kind: str
) -> None:
    """Guards against requests that are sent on for a client that has closed its connection."""
    begun: list[float] = []
    lock = threading.Lock()

    def serve(_: object, words: list[bytes]) -> bytes:
        with lock:
            begun.append(time.monotonic())
        time.sleep(0.01)
        return MISS if kind == "misses" else b"*3\r\n$1\r\nv\r\n$3\r\nhit\r\n$-1\r\n"

    def fetch(*_: object) -> bytes:
        with lock:
            begun.append(time.monotonic())
        time.sleep(0.03)
        return http_answer(200, b"value")

    with run_router(tmp_path, {f"s{i}": Peer(serve) for i in range(4)}, Peer(fetch, is_http=True)) as router:
        for turn in range(4):
            client = router.client()
            client.send(b"".join(get(f"q{turn}-{i}", f"{turn}/{i}") for i in range(3000)))
            time.sleep(0.05)
            client.leave()
            closed_at = time.monotonic()
            time.sleep(0.6)
            late = [at - closed_at for at in begun if at > closed_at + 0.1]
            assert late == [], f"{len(late)} attempts up to {max(late):.3f} s after the close"
            begun.clear()
        assert router.client().ask(get("last", "last", d=15_000)) == (b"value" if kind == "misses" else b"v")
