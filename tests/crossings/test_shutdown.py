"""SIGTERM with requests in flight: each gets a final answer before the process may be killed.

Servers hold their answers back for good, so that the end finds every request where the test put it.
"""

from __future__ import annotations

import threading
import time
from pathlib import Path

import pytest

from saltport.lifecycle.drain import KILL_SLACK_S, LONGEST_S, at_the_end
from saltport.upstream.pool import PER_SERVER
from tests.sockets import PATIENCE_S, Client, Peer, Routed, eventually, get, hit, put, routed

MS = 10**6
SHORT = {
    "classes": [
        {"name": "get", "aimNs": 200 * MS, "giveUpNs": 300 * MS, "semantics": "retryable"},
        {"name": "once", "aimNs": 200 * MS, "giveUpNs": 300 * MS, "semantics": "fragile"},
    ],
    "familyInfo": {},
}
LONG = 60_000  # milliseconds that a client waits: far beyond what the settings say


def closes(router: Routed) -> bool:
    """Whether the router takes no new connections any more."""
    try:
        Client(router.port).close()
    except ConnectionRefusedError:
        return True
    return False


@pytest.mark.parametrize("longest", [0.03, 0.5, 3.0, 4.0, 30.0])
def test_last_answers_are_given_before_the_kill_may_come(longest: float) -> None:
    over = at_the_end(longest, replaced=False).over
    killed = min(longest, LONGEST_S) + KILL_SLACK_S
    assert killed - 0.2 < over < killed - 0.05


def test_what_is_in_flight_at_the_end_gets_its_final_answer(tmp_path: Path) -> None:
    held = threading.Event()

    def hold(*_: object) -> bytes:
        held.wait(2 * PATIENCE_S)
        return hit(b"late")

    cache = Peer(hold)
    with routed(tmp_path, {"s1": cache}, facts=SHORT) as router:
        unsafe, reads = router.client(), router.client()
        unsafe.send(put("once1", cls="once", d=LONG))
        reads.send(b"".join(get(f"r{i}", f"k{i}", LONG) for i in range(PER_SERVER)))
        eventually(lambda: len(cache.seen) == PER_SERVER, "all connections are taken")
        queued = [i for i in range(PER_SERVER) if not any(words[2] == b"r%d" % i for words in cache.seen)]
        router.until("current", PER_SERVER + 1)
        router.terminate()
        begun = time.monotonic()
        assert unsafe.answer() == b"-ERR failed", "it may have run, and nobody knows"
        answers = [reads.answer() for _ in range(PER_SERVER)]
        assert all(answer.startswith(b"-") for answer in answers)
        assert all(answers[i].startswith(b"-BUSY") for i in queued), "it never left"
        assert unsafe.at_end()
        assert reads.at_end()
        assert time.monotonic() - begun < PATIENCE_S
        assert router.process.wait(PATIENCE_S) == 0
        held.set()


def test_request_behind_another_of_a_leaving_connection_gets_its_answer(tmp_path: Path) -> None:
    held = threading.Event()

    def hold(*_: object) -> bytes:
        held.wait(2 * PATIENCE_S)
        return hit(b"late")

    with routed(tmp_path, {"s1": Peer(hold)}, facts=SHORT) as router:
        client = router.client()
        client.send(get("a1", "k1", LONG))
        router.until("current", 1)
        router.terminate()
        eventually(lambda: closes(router), "connections close after their answers")
        client.send(get("a2", "k2", LONG))
        assert client.answer().startswith(b"-")
        assert client.answer().startswith(b"-")
        assert client.at_end()
        held.set()
