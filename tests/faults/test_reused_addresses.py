"""A new process at the address of one that has gone is not taken for the old one."""

from __future__ import annotations

import time
from pathlib import Path

from tests.sockets import Peer, RunningRouter, entry, eventually, get, hit, run_router

READS = 300
COLD = {
    "rules": {"coldShare": 0.01, "coldNs": 10**12, "fallMultiple": 4.0, "fallNs": 2 * 10**9},
}


def reads_at(router: RunningRouter, peer: Peer, prefix: str) -> int:
    """Read READS keys, and return how many of them a server got."""
    before = len(peer.seen)
    client = router.client()
    for number in range(READS):
        assert client.ask(get(f"{prefix}{number}", f"{prefix}/{number}", d=15_000))
    client.leave()
    return len(peer.seen) - before


def test_cold_server_at_the_address_of_one_that_is_listed_still_gets_no_more_than_its_own(
    tmp_path: Path,
) -> None:
    """Guards against a new process that gets all that the old one at its address got, cold as it is."""
    at_reused, other = Peer(lambda _, words: hit(words[2])), Peer(lambda _, words: hit(words[2]))
    with run_router(tmp_path, {"s1": at_reused, "s3": other}, facts=COLD) as router:
        assert reads_at(router, at_reused, "a") > READS / 4, "the old process owns about half of the keys"
        new = {**entry(at_reused, "s2"), "startedAtMs": int(time.time() * 1000)}
        router.discovery.change(new)  # the entry of s1 stays, as discovery has not noticed its end
        eventually(lambda: router.status_value("generation") == router.discovery.generation, "s2 is listed")
        assert reads_at(router, at_reused, "b") < READS / 10
        router.discovery.change({**entry(at_reused, "s1"), "lifecycle": "removed"})
        eventually(lambda: router.status_value("generation") == router.discovery.generation, "s1 is gone")
        assert reads_at(router, at_reused, "c") < READS / 10


def test_server_that_moved_away_from_a_reused_address_is_used_at_its_new_one(tmp_path: Path) -> None:
    """Guards against an id that stays out of use because its former address belongs to another."""
    first, second = Peer(lambda _, words: hit(words[2])), Peer(lambda _, words: hit(words[2]))
    with run_router(tmp_path, {"s1": first}, facts=COLD) as router:
        assert reads_at(router, first, "a") >= READS
        now_ms = int(time.time() * 1000)
        router.discovery.change({**entry(first, "s2"), "startedAtMs": now_ms}, entry(second, "s1"))
        eventually(
            lambda: router.status_value("generation") == router.discovery.generation, "both are listed"
        )
        assert reads_at(router, second, "b") > READS * 9 / 10
        second.close()
