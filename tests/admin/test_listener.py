"""The operators' listener over loopback: malformed calls, many silent callers, and calls under load."""

from __future__ import annotations

import asyncio
import json
import socket
import threading
import time
from collections.abc import Iterator
from contextlib import suppress
from pathlib import Path
from typing import cast

import pytest

from saltport.admin.calls import Operations
from saltport.admin.client import ask
from saltport.admin.listener import CALL_TIMEOUT_S, MAX_BODY_BYTES, MAX_CALLERS, MAX_HEAD_BYTES, AdminListener
from saltport.transport.loop import run_on_router_loop
from tests.sockets import (
    MISS,
    TIMEOUT_S,
    Peer,
    RunningRouter,
    echo_cache,
    eventually,
    free_port,
    get,
    hit,
    http_answer,
    put,
    reset,
    run_router,
)


def raw(router: RunningRouter, data: bytes, end: bool = False) -> bytes:
    """Send raw bytes and return everything the router sends until it closes."""
    with socket.create_connection(router.admin, timeout=TIMEOUT_S) as caller:
        caller.sendall(data)
        if end:
            caller.shutdown(socket.SHUT_WR)
        response = b""
        with suppress(ConnectionResetError):
            while part := caller.recv(65536):
                response += part
        return response


@pytest.fixture(scope="module")
def router(tmp_path_factory: pytest.TempPathFactory) -> Iterator[RunningRouter]:
    with run_router(tmp_path_factory.mktemp("admin"), {"s1": echo_cache()}) as running:
        yield running


@pytest.mark.parametrize(
    ("data", "status"),
    [
        (b"GET /healthcheck HTTP/1.1\r\nHost: x\r\n\r\n", 200),
        (b"GET /healthcheck HTTP/1.0\r\n\r\n", 200),
        (b"PUT /healthcheck/ok HTTP/1.1\r\nHost: x\r\nContent-Length: 4\r\n\r\nbody", 200),
        (
            b"PUT /healthcheck/ok HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nab\r\n0\r\n\r\n",
            200,
        ),
        (
            b"PUT /healthcheck/ok HTTP/1.1\r\nExpect: 100-continue\r\nContent-Length: 4\r\n\r\n",
            200,
        ),
        (b"GET /nothing HTTP/1.1\r\nHost: x\r\n\r\n", 404),
        (b"POST /stats HTTP/1.1\r\nHost: x\r\nContent-Length: 0\r\n\r\n", 405),
        (b"*1\r\n$4\r\nPING\r\n", 400),
        (b"GET /healthcheck\x00 HTTP/1.1\r\n\r\n", 400),
        (b"\xff" * 100, 400),
        (b"GET /stats HTTP/1.1\r\nHost: x\r\nX: " + b"y" * (MAX_HEAD_BYTES + 1), 431),
        (
            b"PUT /stats HTTP/1.1\r\nHost: x\r\nContent-Length: 99999999\r\n\r\n"
            + b"y" * (MAX_BODY_BYTES + 1),
            413,
        ),
    ],
)
def test_every_call_gets_its_status_and_a_close(router: RunningRouter, data: bytes, status: int) -> None:
    response = raw(router, data)
    assert response.startswith(b"HTTP/1.1 %d " % status), response[:200]
    head, _, body = response.partition(b"\r\n\r\n")
    assert b"Connection: close" in head
    assert int(head.split(b"Content-Length: ")[1].split(b"\r\n")[0]) == len(body)


def test_head_is_answered_without_a_body(router: RunningRouter) -> None:
    head, _, body = raw(router, b"HEAD /stats HTTP/1.1\r\nHost: x\r\n\r\n").partition(b"\r\n\r\n")
    assert head.startswith(b"HTTP/1.1 200 ")
    assert body == b""


def test_only_the_first_call_of_a_connection_counts(router: RunningRouter) -> None:
    response = raw(router, b"GET /healthcheck HTTP/1.1\r\nHost: x\r\n\r\n" * 2)
    assert response.count(b"HTTP/1.1 ") == 1


def test_call_sent_byte_by_byte_is_answered(router: RunningRouter) -> None:
    with socket.create_connection(router.admin, timeout=TIMEOUT_S) as caller:
        for byte in b"GET /healthcheck HTTP/1.1\r\nHost: x\r\n\r\n":
            caller.sendall(bytes([byte]))
            time.sleep(0.002)
        assert caller.recv(100).startswith(b"HTTP/1.1 200 ")


def test_silent_callers_do_not_block_others_and_time_out(router: RunningRouter) -> None:
    begun = time.monotonic()
    silent = [socket.create_connection(router.admin, timeout=TIMEOUT_S) for _ in range(2 * MAX_CALLERS)]
    for partial in silent[::2]:
        partial.sendall(b"GET /sta")
    open_descriptors = router.descriptors()
    assert ask(router.admin, "/stats")
    assert open_descriptors < 3 * MAX_CALLERS
    for caller in silent:
        with suppress(ConnectionResetError):
            assert caller.recv(1) == b""
        caller.close()
    assert time.monotonic() - begun >= CALL_TIMEOUT_S - 0.5, "the last callers had the full time"


@pytest.mark.parametrize(("grace_s", "answered"), [(1000.0, True), (0.0, False)])
def test_many_connections_evict_no_caller_within_its_grace_period(
    monkeypatch: pytest.MonkeyPatch, grace_s: float, answered: bool
) -> None:
    monkeypatch.setattr("saltport.admin.listener.EVICTION_GRACE_S", grace_s)

    async def run_crowd() -> bytes:
        listener = AdminListener(cast(Operations, None))
        address = ("127.0.0.1", free_port())
        listener.listen(address)
        reader, writer = await asyncio.open_connection(*address)
        crowd = [await asyncio.open_connection(*address) for _ in range(2 * MAX_CALLERS)]
        writer.write(b"GET /nowhere HTTP/1.1\r\nHost: x\r\n\r\n")
        try:
            response = await asyncio.wait_for(reader.read(), TIMEOUT_S)
        except ConnectionResetError:
            response = b""
        for _, other in [(reader, writer), *crowd]:
            other.close()
        listener.close()
        return response

    assert run_on_router_loop(run_crowd()).startswith(b"HTTP/1.1 404") == answered


def test_ban_of_an_unknown_server_is_refused_and_of_a_listed_one_accepted(router: RunningRouter) -> None:
    assert router.ban("never") == 404
    assert router.ban("never", "ready") == 404
    assert router.ban("s1") == 200
    assert ask(router.admin, "/stats")["cluster_unhealthy"] == 1
    assert router.ban("s1", "ready") == 200


def test_concurrent_bans_of_one_server_end_in_the_last_requested_state(router: RunningRouter) -> None:
    def change(state: str) -> None:
        for _ in range(10):
            assert router.ban("s1", state) == 200

    callers = [threading.Thread(target=change, args=(state,)) for state in ("maint", "ready") * 4]
    for caller in callers:
        caller.start()
    for caller in callers:
        caller.join()
    assert router.ban("s1", "ready") == 200
    assert ask(router.admin, "/state")["out"] == []


def test_figures_count_every_outcome_by_class(tmp_path: Path) -> None:
    release = threading.Event()

    def serve(connection: socket.socket, words: list[bytes]) -> bytes:
        if words[1] == b"bad":
            reset(connection)
        if words[1] == b"held":
            release.wait(TIMEOUT_S)
        return MISS if words[1] == b"miss" else hit(words[2])

    cache = Peer(serve)
    origin = Peer(lambda _, message: http_answer(500 if message[0] == b"PUT" else 200, b"x"), True)
    with run_router(tmp_path, {"s1": cache}, origin) as router:
        client = router.client()
        for i in range(20):
            assert client.ask(get(f"g{i}")) == b"g%d" % i
        assert client.ask(get("m1", "miss")) == b"x"
        assert client.ask(put("w1", cls="once")) == b"-ERR failed"
        assert client.ask(get("d1", "k", more="").replace(b"c=get", b"c=new")).startswith(b"-ERR")
        stats = ask(router.admin, "/stats")
        assert stats["answered"] == {"get": 21, "put": 0, "once": 0}
        assert stats["errored"] == {"get": 0, "put": 0, "once": 1}
        assert stats["sends"] == len(cache.seen) + len(origin.seen)
        assert (stats["current"], stats["cluster_size"], stats["cluster_unhealthy"]) == (0, 1, 0)
        client.send(get("h1", "held"))
        eventually(lambda: ask(router.admin, "/stats")["current"] == 1, "one request is open")
        # The router counts a request once it is written completely; its peer may read it a moment later.
        sends = ask(router.admin, "/stats")["sends"]
        eventually(lambda: sends == len(cache.seen) + len(origin.seen), "the unanswered request was sent")
        release.set()
        assert client.answer() == b"h1"
        gone = router.client()
        release.clear()
        gone.send(get("h2", "held"))
        eventually(lambda: ask(router.admin, "/stats")["current"] == 1, "one request is open")
        gone.close()
        eventually(
            lambda: ask(router.admin, "/stats")["current"] == 0, "the request of the closed client has ended"
        )
        release.set()
        assert ask(router.admin, "/stats")["answered"]["get"] == 22


def test_calls_are_answered_during_long_values_and_with_silent_callers(tmp_path: Path) -> None:
    value = b"v" * (4 << 20)
    cache = Peer(lambda _, words: hit(value))
    with run_router(tmp_path, {"s1": cache}) as router:
        silent = [socket.create_connection(router.admin, timeout=TIMEOUT_S) for _ in range(64)]
        stop = threading.Event()

        def read(number: int) -> None:
            client = router.client()
            count = 0
            while not stop.is_set():
                assert len(client.ask(get(f"v{number}x{count}", d=60_000))) == len(value)
                count += 1

        readers = [threading.Thread(target=read, args=(n,)) for n in range(4)]
        for reader in readers:
            reader.start()
        responses = [ask(router.admin, "/stats", timeout_s=TIMEOUT_S) for _ in range(20)]
        stop.set()
        for reader in readers:
            reader.join()
        for caller in silent:
            caller.close()
        assert all(json.dumps(figures) for figures in responses)
        eventually(lambda: ask(router.admin, "/stats")["current"] == 0, "all values have been sent")
