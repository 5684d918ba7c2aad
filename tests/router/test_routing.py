"""Reads, writes, outcomes and bad input of the real router, over loopback sockets."""

from __future__ import annotations

import asyncio
import re
import select
import socket
import threading
import time
from collections.abc import Callable
from itertools import count
from pathlib import Path

import pytest

from saltport.admin.client import ask
from saltport.decisions import CacheStatus, Outcome
from saltport.downstream.clients import SWEEP_INTERVAL_S
from saltport.downstream.connection import IDLE_TIMEOUT_S
from saltport.messages import Request, ValueSource
from saltport.transport.loop import run_on_router_loop
from saltport.upstream.connection import Exchange
from saltport.upstream.http import OriginConnection
from saltport.upstream.pool import MAX_CONNECTIONS_PER_SERVER, Pool
from saltport.upstream.resp import CacheConnection
from tests.sockets import (
    FACTS,
    MISS,
    TIMEOUT_S,
    Peer,
    bulk,
    entry,
    eventually,
    get,
    hit,
    http_answer,
    put,
    reset,
    run_router,
)


def fields(info: bytes) -> dict[str, str]:
    return dict(part.split("=", 1) for part in info.decode().split(","))


def test_read_that_misses_goes_to_the_origin(tmp_path: Path) -> None:
    cache = Peer(lambda _, words: MISS)
    origin = Peer(lambda _, words: http_answer(200, b"fetched", "Server-Load: latency_ms=2,queue=1"), True)
    with run_router(tmp_path, {"s1": cache}, origin) as router:
        assert router.client().ask(get("id1", "p kg".replace(" ", "/"), 4321)) == b"fetched"
        (message,) = origin.seen
        assert message[:2] == [b"GET", b"/p/kg"]
        assert b"Request-Id: id1\r\n" in message[2]
        # The time-out sent is at most the time left; the rest of the list is forwarded unchanged.
        (timeout_ms,) = re.findall(rb"Request-Info: c=get,t=acme,d=(\d+)\r\n", message[2])
        assert 0 < int(timeout_ms) <= 4321


def test_write_goes_to_the_origin_with_its_value(tmp_path: Path) -> None:
    cache = Peer(lambda _, words: hit(b"wrong"))
    origin = Peer(lambda _, message: http_answer(200, b"receipt " + message[3]), True)
    with run_router(tmp_path, {"s1": cache}, origin) as router:
        assert router.client().ask(put("w1", b"\r\n$bytes\x00")) == b"receipt \r\n$bytes\x00"
        assert origin.seen[0][0] == b"PUT"
        assert b"k=5c" in origin.seen[0][2]
        assert not cache.seen


def test_errors_of_the_origin_leave_a_part_of_the_fetches_that_it_took(tmp_path: Path) -> None:
    release = threading.Event()

    def fetch(_: socket.socket, message: list[bytes]) -> bytes:
        if message[1].startswith(b"/bad"):
            return http_answer(500)
        if message[1].startswith(b"/held"):
            release.wait(TIMEOUT_S)
        return http_answer(200, message[1][1:])

    cache, origin = Peer(lambda _, words: MISS), Peer(fetch, True)
    with run_router(tmp_path, {"s1": cache}, origin) as router:
        client = router.client()
        for i in range(60):
            assert client.ask(get(f"r{i}", f"k{i}")) == b"k%d" % i
        for i in range(2):
            assert client.ask(get(f"b{i}", f"bad{i}")).startswith(b"-BUSY ")
        time.sleep(5.5)  # the counts leave the window, but the limit stays
        client = router.client()
        client.send(b"".join(get(f"h{i}", f"held{i}", 15_000) for i in range(6)))
        eventually(lambda: sum(m[1].startswith(b"/held") for m in origin.seen) == 6, "all six fetches")
        release.set()
        assert [client.answer() for _ in range(6)] == [b"held%d" % i for i in range(6)]


def test_pipelined_commands_are_answered_in_their_order(tmp_path: Path) -> None:
    release = threading.Event()

    def answer(_: socket.socket, words: list[bytes]) -> bytes:
        if words[2] == b"slow":
            release.wait(10)
        else:
            release.set()
        return hit(words[2])

    cache = Peer(answer)
    with run_router(tmp_path, {"s1": cache}) as router:
        client = router.client()
        client.send(get("slow") + get("fast") + bulk(b"PING"))
        assert [client.answer() for _ in range(3)] == [b"slow", b"fast", b"+PONG"]


@pytest.mark.parametrize(
    ("status", "header", "tries_again"),
    [
        (500, "X: 1", False),
        (503, "Not-Started: 1", True),
        (504, "Not-Started: 1", True),
        (503, "X: 1", False),
    ],
)
def test_unsafe_write_is_repeated_only_if_it_never_ran(
    tmp_path: Path, status: int, header: str, tries_again: bool
) -> None:
    answers = [http_answer(status, b"", header), http_answer(200, b"done")]
    origin = Peer(lambda _, message: answers[min(len(origin.seen), 2) - 1], True)
    with run_router(tmp_path, {}, origin) as router:
        answer = router.client().ask(put("w1", cls="once"))
        assert answer == (b"done" if tries_again else b"-ERR failed")
        assert len(origin.seen) == (2 if tries_again else 1)


def test_unsafe_write_whose_connection_breaks_may_have_run(tmp_path: Path) -> None:
    origin = Peer(lambda connection, _: reset(connection), True)
    with run_router(tmp_path, {}, origin) as router:
        assert router.client().ask(put("w1", cls="once")) == b"-ERR failed"
        assert len(origin.seen) == 1


def test_every_failure_of_a_cache_sends_a_read_to_another(tmp_path: Path) -> None:
    def break_off(connection: socket.socket, words: list[bytes]) -> bytes | None:
        if words[2] == b"reset":
            reset(connection)
        return {b"error": b"-ERR failed latency_ms=3,queue=4\r\n", b"full": b"-BUSY\r\n"}.get(
            words[2], b"junk\r\n"
        )

    bad, good = Peer(break_off), Peer(lambda _, words: hit(words[2]))
    with run_router(tmp_path, {"s1": bad, "s2": good}) as router:
        client = router.client()
        for name in ("error", "junk", "reset"):
            for i in range(30):  # enough keys that each cache server is asked first for some of them
                sent = name if i % 2 else "fine"
                answer = client.ask(get(f"{name}" if sent == name else f"fine{name}{i}", f"k{i}"))
                assert answer in (name.encode(), f"fine{name}{i}".encode())
        assert bad.seen


def test_silent_server_costs_an_attempt_its_time_and_nothing_more(tmp_path: Path) -> None:
    silent = Peer(lambda _, words: None)
    with run_router(tmp_path, {"s1": silent}) as router:
        client = router.client()
        begun = time.monotonic()
        assert client.ask(get("r1", d=300)).startswith(b"-BUSY ")
        assert time.monotonic() - begun >= 0.25
        assert client.ask(bulk(b"PING")) == b"+PONG"


def test_read_whose_server_refuses_the_dial_goes_to_another_at_once(tmp_path: Path) -> None:
    dead, good = Peer(lambda _, words: None), Peer(lambda _, words: hit(words[2]))
    dead.close()
    with run_router(tmp_path, {"s1": dead, "s2": good}) as router:
        client = router.client()
        for i in range(20):  # enough keys that each cache server is asked first for some of them
            assert client.ask(get(f"r{i}", f"k{i}", d=15_000)) == b"r%d" % i


def test_server_that_breaks_its_connections_is_left_alone(tmp_path: Path) -> None:
    bad, good = Peer(lambda connection, _: reset(connection)), Peer(lambda _, words: hit(words[2]))
    with run_router(tmp_path, {"s1": bad, "s2": good}) as router:
        client = router.client()
        for i in range(60):
            assert client.ask(get(f"r{i}", f"k{i}", d=15_000)) == b"r%d" % i
        assert len(bad.seen) <= 12  # two until it is ejected, and trials if the machine is slow


def test_server_that_turns_reads_away_is_asked_less(tmp_path: Path) -> None:
    full, good = Peer(lambda _, words: b"-BUSY\r\n"), Peer(lambda _, words: hit(words[2]))
    with run_router(tmp_path, {"s1": full, "s2": good}) as router:
        client = router.client()
        answers = [client.ask(get(f"r{i}", f"k{i}", d=15_000)) for i in range(100)]
        assert all(a == b"r%d" % i or a.startswith(b"-BUSY ") for i, a in enumerate(answers))
        # About half of the keys belong to the full server: some are moved to the other one, then refused.
        assert any(a.startswith(b"-BUSY ") for a in answers)
        assert len(full.seen) < 20


def test_late_answer_reaches_no_other_request(tmp_path: Path) -> None:
    release = threading.Event()

    def answer(_: socket.socket, words: list[bytes]) -> bytes:
        if words[2] == b"first":
            release.wait(10)
        return hit(words[2])

    cache = Peer(answer)
    with run_router(tmp_path, {"s1": cache}) as router:
        client = router.client()
        assert client.ask(get("first", d=200)).startswith(b"-BUSY")
        release.set()
        for i in range(10):
            # The router may refuse reads after a time-out, but an answer must belong to its request.
            answer_came = client.ask(get(f"r{i}"))
            assert answer_came == b"r%d" % i or answer_came.startswith(b"-BUSY")


def test_answer_that_nobody_asked_for_is_dropped_with_its_connection(tmp_path: Path) -> None:
    cache = Peer(lambda _, words: hit(words[2]) + (hit(b"stray") if words[2] == b"r0" else b""))
    with run_router(tmp_path, {"s1": cache}) as router:
        client = router.client()
        assert [client.ask(get(f"r{i}")) for i in range(3)] == [b"r0", b"r1", b"r2"]
        assert cache.accepted >= 2


def test_client_that_takes_its_answers_late_is_not_idle(tmp_path: Path) -> None:
    value = b"v" * (60 << 10)
    with run_router(tmp_path, {"s1": Peer(lambda _, words: hit(value))}) as router:
        client = router.client()
        client.socket.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 4096)
        client.send(b"".join(get(f"a{i}") for i in range(4)))
        router.until("current", 0)
        time.sleep(IDLE_TIMEOUT_S + 2 * SWEEP_INTERVAL_S)
        # Read late, but fast from now on: with a window of 4 KB the values would take seconds.
        client.socket.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 1 << 20)
        client.socket.setsockopt(socket.IPPROTO_TCP, socket.TCP_WINDOW_CLAMP, 1 << 20)
        assert [client.answer() for _ in range(4)] == [value] * 4
        assert client.ask(get("a5")) == value


def test_connection_is_used_again_and_closed_once_it_has_been_idle(tmp_path: Path) -> None:
    ended = threading.Event()

    def answer(connection: socket.socket, words: list[bytes]) -> bytes | None:
        connection.sendall(hit(words[2]))
        if words[2] == b"last":
            connection.settimeout(TIMEOUT_S)
            if not connection.recv(1, socket.MSG_PEEK):
                ended.set()
        return None

    cache = Peer(answer)
    ceilings = {**FACTS["ceilings"], "idleCloseNs": 10**9}
    with run_router(tmp_path, {"s1": cache}, facts={"ceilings": ceilings}) as router:
        client = router.client()
        for i in range(30):
            assert client.ask(get(f"r{i}", f"k{i}")) == b"r%d" % i
        assert cache.accepted <= 10  # one, and another whenever the machine delays the test
        begun = time.monotonic()
        assert client.ask(get("last")) == b"last"
        assert ended.wait(TIMEOUT_S)
        assert time.monotonic() - begun > 0.3  # the connection was not closed right after the answer


@pytest.mark.parametrize("more", [b"\x00noise\r\n", b"x", hit(b"stray"), b"$3\r\nab", b"*999999999\r\n"])
def test_good_answer_counts_whatever_stands_behind_it(tmp_path: Path, more: bytes) -> None:
    cache = Peer(lambda _, words: hit(words[2]) + (more if words[2] == b"r0" else b""))
    with run_router(tmp_path, {"s1": cache}) as router:
        client = router.client()
        assert [client.ask(get(f"r{i}")) for i in range(3)] == [b"r0", b"r1", b"r2"]
        assert len(cache.seen) == 3
        assert cache.accepted == 2  # a connection with further data is not used again


@pytest.mark.parametrize(
    ("ahead", "behind"),
    [
        (b"", http_answer(200, b"stray")),
        (b"", b"\x00noise\r\n"),
        (b"", b"HT"),
        (b"HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 103 Hints\r\nContent-Length: 7\r\n\r\n", b""),
    ],
)
def test_good_answer_of_the_origin_counts_whatever_stands_around_it(
    tmp_path: Path, ahead: bytes, behind: bytes
) -> None:
    def fetch(_: socket.socket, message: list[bytes]) -> bytes:
        answer = http_answer(200, message[1][1:], "Server-Load: unreadable")
        return ahead + answer + behind if message[1] == b"/k0" else answer

    cache, origin = Peer(lambda _, words: MISS), Peer(fetch, True)
    with run_router(tmp_path, {"s1": cache}, origin) as router:
        client = router.client()
        assert [client.ask(get(f"r{i}", f"k{i}")) for i in range(3)] == [b"k0", b"k1", b"k2"]
        assert len(origin.seen) == 3
        assert origin.accepted == (2 if behind else 1)


def test_origin_that_changes_the_protocol_is_not_followed(tmp_path: Path) -> None:
    switch = b"HTTP/1.1 101 Switching\r\nConnection: Upgrade\r\nUpgrade: x\r\n\r\n"
    cache, origin = Peer(lambda _, words: MISS), Peer(lambda _, message: switch, True)
    with run_router(tmp_path, {"s1": cache}, origin) as router:
        assert router.client().ask(get("r1", d=15_000)).startswith(b"-BUSY ")


def test_breaks_of_reused_connections_do_not_count_against_a_server(tmp_path: Path) -> None:
    used: set[socket.socket] = set()
    together = threading.Barrier(2)

    def answer(connection: socket.socket, words: list[bytes]) -> bytes:
        if connection in used:
            reset(connection)
        used.add(connection)
        if words[2].startswith(b"open"):
            together.wait(TIMEOUT_S)
        return hit(words[2])

    cache = Peer(answer)
    with run_router(tmp_path, {"s1": cache}) as router:
        client = router.client()
        client.send(get("open1", "k1") + get("open2", "k2"))
        assert [client.answer() for _ in range(2)] == [b"open1", b"open2"]
        assert (
            client.ask(get("r0", "k3", d=15_000)) == b"r0"
        )  # after a break of each of the two idle connections
        assert cache.accepted == 3
        assert [client.ask(get(f"r{i}", f"k{i}", d=15_000)) for i in range(1, 20)] == [
            b"r%d" % i for i in range(1, 20)
        ]


def test_fetch_whose_reused_connection_breaks_is_repeated(tmp_path: Path) -> None:
    used: set[socket.socket] = set()

    def fetch(connection: socket.socket, message: list[bytes]) -> bytes:
        if connection in used:
            reset(connection)
        used.add(connection)
        return http_answer(200, message[1][1:])

    cache, origin = Peer(lambda _, words: MISS), Peer(fetch, True)
    with run_router(tmp_path, {"s1": cache}, origin) as router:
        client = router.client()
        for i in range(20):
            assert client.ask(get(f"r{i}", f"k{i}", d=15_000)) == b"k%d" % i


class Ask(Exchange):
    """An exchange that is submitted directly to a pool, without a router."""

    def __init__(self) -> None:
        self.result: asyncio.Future[tuple[Outcome, bytes | None]] = asyncio.get_running_loop().create_future()

    request = Request(b"r", b"k", "get", "acme", 5000, None, False, b"c=get,t=acme,d=5000")

    def remaining_ms(self) -> int:
        return 5000

    def ended(self, outcome: Outcome, value: bytes | None = None, note: CacheStatus | None = None) -> None:
        self.result.set_result((outcome, value))


class Full(Ask):
    """A reader of a long value that pauses the source at the last part."""

    def value_started(self, length: int, source: ValueSource) -> None:
        self.source, self.left = source, length

    def value_received(self, data: bytes) -> None:
        self.left -= len(data)
        if not self.left:
            self.source.pause()


@pytest.mark.parametrize("is_origin", [False, True])
def test_pause_at_the_end_of_a_value_leaves_a_connection_that_is_read(is_origin: bool) -> None:
    long = b"v" * 100_000

    def answer(_: socket.socket, words: list[bytes]) -> bytes:
        value = b"short" if answered else long
        answered.append(words)
        return http_answer(200, value) if is_origin else hit(value)

    async def play() -> None:
        pool = Pool(asyncio.get_running_loop(), 8, TIMEOUT_S, TIMEOUT_S)
        connect = OriginConnection if is_origin else CacheConnection
        pool.list_server("s1", ("127.0.0.1", peer.port), connect)
        first, second = Full(), Ask()
        pool.submit("s1", first)
        assert await first.result == (Outcome.OK, None)
        pool.submit("s1", second)
        assert await second.result == (Outcome.OK, b"short")
        assert second.connection_reused
        pool.close()

    answered: list[list[bytes]] = []
    peer = Peer(answer, is_http=is_origin)
    run_on_router_loop(asyncio.wait_for(play(), TIMEOUT_S))
    peer.close()


@pytest.mark.parametrize("then", ["closes", "sends more"])
def test_connection_on_which_something_has_come_is_not_used_again(then: str) -> None:
    async def play() -> None:
        loop = asyncio.get_running_loop()
        with socket.create_server(("127.0.0.1", 0)) as listener:
            listener.settimeout(TIMEOUT_S)
            pool = Pool(loop, 8, TIMEOUT_S, TIMEOUT_S)
            pool.list_server("s1", ("127.0.0.1", listener.getsockname()[1]), CacheConnection)
            first, second = Ask(), Ask()
            pool.submit("s1", first)
            server, _ = await loop.run_in_executor(None, listener.accept)
            server.settimeout(TIMEOUT_S)
            assert await loop.run_in_executor(None, server.recv, 4096) == get("r")
            server.sendall(hit(b"first"))
            assert await first.result == (Outcome.OK, b"first")
            (connection,) = pool._servers["s1"].idle
            assert connection.transport is not None
            # Without the time in which the loop would read what comes while the connection settles.
            connection.settled_at = connection.idle_since
            # The loop must not run between here and the submission of the second exchange.
            if then == "closes":
                server.close()
            else:
                server.sendall(hit(b"stray"))
            handle = connection.transport.get_extra_info("socket").fileno()
            assert select.select([handle], [], [], TIMEOUT_S)[0]
            pool.submit("s1", second)
            other, _ = await loop.run_in_executor(None, listener.accept)
            other.settimeout(TIMEOUT_S)
            assert await loop.run_in_executor(None, other.recv, 4096) == get("r")
            other.sendall(hit(b"second"))
            assert await second.result == (Outcome.OK, b"second")
            pool.close()
            server.close()
            other.close()

    run_on_router_loop(asyncio.wait_for(play(), 3 * TIMEOUT_S))


def test_gone_client_leaves_nothing_behind(tmp_path: Path) -> None:
    release = threading.Event()

    def answer(_: socket.socket, words: list[bytes]) -> bytes:
        release.wait(10)
        return hit(words[2])

    cache = Peer(answer)
    with run_router(tmp_path, {"s1": cache}) as router:
        client = router.client()
        client.send(get("left"))
        eventually(lambda: cache.seen, "the attempt")
        client.close()
        release.set()
        assert eventually(lambda: router.client().ask(get("left")) == b"left", "the id is free again")


def test_drained_server_gets_nothing_new(tmp_path: Path) -> None:
    old, new = Peer(lambda _, words: hit(b"old")), Peer(lambda _, words: hit(b"new"))
    with run_router(tmp_path, {"s1": old}) as router:
        client = router.client()
        assert client.ask(get("r0")) == b"old"
        router.discovery.change(entry(old, "s1", lifecycle="draining"), entry(new, "s2"))
        names = (f"w{i}" for i in range(10_000))
        eventually(lambda: client.ask(get(next(names))) == b"new", "the new list is used")
        count = len(old.seen)
        for i in range(20):
            assert client.ask(get(f"r{i + 1}", f"k{i}")) == b"new"
        assert len(old.seen) == count


def test_attempts_queued_for_a_draining_server_go_to_another(tmp_path: Path) -> None:
    release = threading.Event()

    def answer(_: socket.socket, words: list[bytes]) -> bytes:
        release.wait(TIMEOUT_S)
        return hit(b"old")

    old, new = Peer(answer), Peer(lambda _, words: hit(b"new"))
    with run_router(tmp_path, {"s1": old}) as router:
        client = router.client()
        client.send(b"".join(get(f"r{i}", f"k{i}", 15_000) for i in range(40)))
        eventually(
            lambda: len(old.seen) >= MAX_CONNECTIONS_PER_SERVER,
            "as many attempts as a server may have at a time",
        )
        watches = len(router.discovery.peer.seen)
        router.discovery.change(entry(old, "s1", lifecycle="draining"), entry(new, "s2"))
        eventually(lambda: len(router.discovery.peer.seen) > watches, "the watch after the change")
        eventually(
            lambda: len(new.seen) == 40 - MAX_CONNECTIONS_PER_SERVER, "those that waited, at the other server"
        )
        release.set()
        answers = [client.answer() for _ in range(40)]
        assert (answers.count(b"old"), answers.count(b"new")) == (
            MAX_CONNECTIONS_PER_SERVER,
            40 - MAX_CONNECTIONS_PER_SERVER,
        )
        assert len(old.seen) == MAX_CONNECTIONS_PER_SERVER


def test_server_is_found_at_its_new_address(tmp_path: Path) -> None:
    first, second = Peer(lambda _, words: hit(b"first")), Peer(lambda _, words: hit(b"second"))
    with run_router(tmp_path, {"s1": first}) as router:
        client = router.client()
        assert client.ask(get("r0")) == b"first"
        router.discovery.change(entry(second, "s1"))
        names = (f"w{i}" for i in range(10_000))
        eventually(lambda: client.ask(get(next(names))) == b"second", "the new address")
        seen_before = len(first.seen)
        assert [client.ask(get(f"r{i}", f"k{i}")) for i in range(1, 20)] == [b"second"] * 19
        assert len(first.seen) == seen_before


def test_answer_from_the_old_address_counts_and_its_connection_is_used_no_more(tmp_path: Path) -> None:
    release = threading.Event()

    def answer(_: socket.socket, words: list[bytes]) -> bytes:
        release.wait(20)
        return hit(b"first")

    first, second = Peer(answer), Peer(lambda _, words: hit(b"second"))
    with run_router(tmp_path, {"s1": first}) as router:
        busy = router.client()
        busy.send(get("r0", d=15_000))
        eventually(lambda: first.seen, "the attempt")
        watches = len(router.discovery.peer.seen)
        router.discovery.change(entry(second, "s1"))
        eventually(lambda: len(router.discovery.peer.seen) > watches, "the watch after the change")
        client = router.client()
        assert client.ask(get("r1")) == b"second"
        release.set()
        assert busy.answer() == b"first"
        assert {client.ask(get(f"r{i}", f"k{i}")) for i in range(2, 20)} == {b"second"}


@pytest.mark.parametrize(
    "junk",
    [
        b"HTTP/1.1 503 No\r\nContent-Length: 0\r\n\r\n",
        http_answer(200, b"{nonsense"),
        http_answer(200, b'{"generation":9,"reset":true,"instances":[{"instanceId":"s1"}]}'),
        b"no http at all\r\n\r\n",
    ],
)
def test_bad_answers_of_discovery_change_nothing(tmp_path: Path, junk: bytes) -> None:
    cache = Peer(lambda _, words: hit(words[2]))
    with run_router(tmp_path, {"s1": cache}) as router:
        router.discovery.raw_answer = junk
        seen_before = len(router.discovery.peer.seen)
        router.discovery.change(entry(cache, "s1"))
        eventually(lambda: len(router.discovery.peer.seen) > seen_before + 2, "more calls of discovery")
        assert router.client().ask(get("r1")) == b"r1"


def test_known_list_serves_while_discovery_is_silent(tmp_path: Path) -> None:
    cache = Peer(lambda _, words: hit(words[2]))
    with run_router(tmp_path, {}, known=[entry(cache, "s1")], discovery_says=b"") as router:
        assert router.client().ask(get("r1")) == b"r1"


@pytest.mark.parametrize(
    ("data", "words", "closes"),
    [
        (b"GET / HTTP/1.1\r\n\r\n", b"Protocol error", True),
        (b"*1\r\n+PING\r\n", b"Protocol error", True),
        (b"*999999999\r\n", b"Protocol error", True),
        (b"*1\r\n$4\r\nPINGxx", b"Protocol error", True),
        (b"*5\r\n$6\r\nKV.SET\r\n$1\r\nk\r\n$1\r\ni\r\n$1\r\nc\r\n$4194305\r\n", b"too long", True),
        (bulk(b"KV.GET", b"k", b"id"), b"number of arguments", False),
        (bulk(b"KV.SET", b"k", b"id", b"c=put,d=9"), b"number of arguments", False),
        (bulk(b"FLUSHALL"), b"unknown command", False),
        (bulk(b"KV.GET", b"k", b"id", b"c=get,t=acme"), b"d must be", False),
        (bulk(b"KV.GET", b"k", b"id", b"c=get,d=soon"), b"d must be", False),
        (bulk(b"KV.GET", b"k", b"id", b"d=100"), b"c must", False),
        (bulk(b"KV.GET", b"k", b"id", b"c=nosuch,d=100"), b"unknown class", False),
        (bulk(b"KV.GET", b"k", b"id\r\nX-Forged: 1", b"c=get,d=100"), b"plain text", False),
        (bulk(b"KV.GET", b"", b"id", b"c=get,d=100"), b"key must", False),
    ],
)
def test_bad_input_gets_an_error_line_and_reaches_no_server(
    tmp_path: Path, data: bytes, words: bytes, closes: bool
) -> None:
    cache = Peer(lambda _, message: hit(b"reached"))
    with run_router(tmp_path, {"s1": cache}) as router:
        client = router.client()
        answer = client.ask(data)
        assert answer.startswith(b"-ERR")
        assert words in answer
        if closes:
            assert client.at_end()
        else:
            assert client.ask(bulk(b"PING")) == b"+PONG"
        assert not cache.seen


def test_unknown_tenant_is_served_as_of_none(tmp_path: Path) -> None:
    cache = Peer(lambda _, words: hit(b"served"))
    with run_router(tmp_path, {"s1": cache}) as router:
        assert router.client().ask(bulk(b"KV.GET", b"k", b"id", b"c=get,t=nobody,d=5000")) == b"served"


def test_duplicate_id_is_refused_while_the_first_is_open(tmp_path: Path) -> None:
    release = threading.Event()

    def answer(_: socket.socket, words: list[bytes]) -> bytes:
        release.wait(10)
        return hit(b"served")

    cache = Peer(answer)
    with run_router(tmp_path, {"s1": cache}) as router:
        first, second = router.client(), router.client()
        first.send(get("same"))
        eventually(lambda: cache.seen, "the attempt")
        assert second.ask(get("same")) == b"-ERR duplicate id"
        release.set()
        assert first.answer() == b"served"
        assert len(cache.seen) == 1


def test_command_cut_off_midway_reaches_no_server(tmp_path: Path) -> None:
    cache = Peer(lambda _, words: hit(b"served"))
    with run_router(tmp_path, {"s1": cache}) as router:
        client = router.client()
        client.send(get("r1")[:-5])
        client.close()
        assert router.client().ask(get("r2")) == b"served"
        assert len(cache.seen) == 1


def test_command_in_single_bytes_is_read_whole(tmp_path: Path) -> None:
    cache = Peer(lambda _, words: hit(words[1]))
    with run_router(tmp_path, {"s1": cache}) as router:
        client = router.client()
        client.socket.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        for byte in get("r1", "slowly"):
            client.send(bytes([byte]))
        assert client.answer() == b"slowly"


def test_server_that_reports_to_be_slow_gives_part_of_its_keys_to_the_next(tmp_path: Path) -> None:
    def reporting(latency: bytes) -> Callable[[socket.socket, list[bytes]], bytes]:
        return lambda _, words: hit(words[2]).replace(b"$22\r\nlatency_ms=1.5,queue=2", latency)

    slow = Peer(reporting(b"$23\r\nlatency_ms=9500,queue=2"))
    good, noisy = Peer(reporting(b"$20\r\nqueue=2,latency_ms=7")), Peer(reporting(b"$7\r\nlatency"))
    with run_router(tmp_path, {"slow": slow, "good": good, "noisy": noisy}) as router:
        client = router.client()
        keys = [f"k{i}" for i in range(60)]
        for key in keys:
            assert client.ask(get(f"first-{key}", key)) == f"first-{key}".encode()
        slow_keys = {words[1] for words in slow.seen}
        rounds = count()

        def keys_moved() -> bool:
            round_number = next(rounds)
            for key in keys:
                assert client.ask(get(f"{round_number}-{key}", key)) == f"{round_number}-{key}".encode()
            return any(words[1] in slow_keys for words in [*good.seen, *noisy.seen])

        eventually(keys_moved, "keys at the next server")


def test_time_out_with_the_request_s_end_leaves_its_connection_to_the_late_answer(tmp_path: Path) -> None:
    late = threading.Event()

    def serve(_: socket.socket, words: list[bytes]) -> bytes:
        if words[1] == b"slow":
            late.wait(TIMEOUT_S)
        return hit(words[2])

    cache = Peer(serve)
    with run_router(tmp_path, {"s1": cache}) as router:
        client = router.client()
        assert client.ask(get("a1")) == b"a1"
        assert client.ask(get("a2", "slow", 60)).startswith(b"-BUSY"), "refused while the attempt still runs"
        late.set()
        eventually(lambda: ask(router.admin, "/state")["late"] == 0, "the late answer has come")
        assert client.ask(get("a3")) == b"a3"
        assert cache.accepted == 1
        assert ask(router.admin, "/stats")["answered"]["get"] == 2


def test_late_answers_do_not_block_attempts_at_a_silent_server() -> None:
    async def play() -> None:
        loop = asyncio.get_running_loop()
        pool = Pool(loop, 64, TIMEOUT_S, TIMEOUT_S)
        pool.list_server("s1", ("127.0.0.1", peer.port), CacheConnection)
        for _ in range(2 * MAX_CONNECTIONS_PER_SERVER):
            exchange = Ask()
            pool.submit("s1", exchange)
            while exchange.connection is None:
                await asyncio.sleep(0.001)
            exchange.abandon(Outcome.TIMEOUT, TIMEOUT_S)
            assert await exchange.result == (Outcome.TIMEOUT, None)
            server = pool._servers["s1"]
            assert server.descriptor_count <= MAX_CONNECTIONS_PER_SERVER
            assert len(server.late_connections) <= MAX_CONNECTIONS_PER_SERVER
        pool.unlist_server("s1")
        assert all(connection.retired for connection in server.connections)
        pool.close()
        await asyncio.sleep(0.05)
        assert not server.late_connections
        assert pool._descriptor_count == 0

    never = threading.Event()
    peer = Peer(lambda *_: (never.wait(TIMEOUT_S) and b"") or b"")
    run_on_router_loop(asyncio.wait_for(play(), TIMEOUT_S))
    never.set()
    peer.close()


def test_late_answer_that_never_comes_ends_with_its_connection() -> None:
    async def play() -> None:
        pool = Pool(asyncio.get_running_loop(), 64, TIMEOUT_S, TIMEOUT_S)
        pool.list_server("s1", ("127.0.0.1", peer.port), CacheConnection)
        exchange = Ask()
        pool.submit("s1", exchange)
        while exchange.connection is None:
            await asyncio.sleep(0.001)
        exchange.abandon(Outcome.TIMEOUT, 0.05)
        server = pool._servers["s1"]
        while server.connections:
            await asyncio.sleep(0.01)
        assert not server.late_connections
        pool.close()

    never = threading.Event()
    peer = Peer(lambda *_: (never.wait(TIMEOUT_S) and b"") or b"")
    run_on_router_loop(asyncio.wait_for(play(), TIMEOUT_S))
    never.set()
    peer.close()
