"""Answers of the origin that end with their connection: a clean end is one, a reset is none."""

from __future__ import annotations

import socket
import threading
from pathlib import Path

import pytest

from tests.sockets import MISS, PATIENCE_S, Peer, get, http_answer, reset, routed

VALUE = b"v" * 3000
HEAD = b"HTTP/1.1 200 X\r\nConnection: close\r\n\r\n"


@pytest.mark.parametrize("length", [0, 1, 3000, 100_000])
def test_answer_without_a_length_ends_with_its_connection(tmp_path: Path, length: int) -> None:
    value = b"v" * length

    def fetch(connection: socket.socket, _: list[bytes]) -> bytes:
        connection.sendall(HEAD + value)
        connection.shutdown(socket.SHUT_WR)
        return b""

    cache, origin = Peer(lambda _, words: MISS), Peer(fetch, is_http=True)
    with routed(tmp_path, {"s1": cache}, origin) as router:
        client = router.client()
        assert client.ask(get("r1", d=15_000)) == value
        assert client.ask(get("r2", "k2", d=15_000)) == value
        assert len(origin.seen) == 2


def test_reset_within_an_answer_without_a_length_is_no_end(tmp_path: Path) -> None:
    def fetch(connection: socket.socket, _: list[bytes]) -> bytes:
        connection.sendall(HEAD + VALUE[:1000])
        sent.set()
        assert read.wait(PATIENCE_S)
        return reset(connection)

    sent, read = threading.Event(), threading.Event()
    cache, origin = Peer(lambda _, words: MISS), Peer(fetch, is_http=True)
    with routed(tmp_path, {"s1": cache}, origin) as router:
        client, other = router.client(), router.client()
        client.send(get("r1", d=15_000))
        assert sent.wait(PATIENCE_S)
        for i in range(5):  # the router's loop has turned: the first part is read
            assert other.ask(b"*1\r\n$4\r\nPING\r\n") == b"+PONG", i
        read.set()
        assert client.answer().startswith(b"-"), "a part of a value is none"


@pytest.mark.parametrize("head", [b"Content-Length: 3000", b"Transfer-Encoding: chunked"])
def test_end_before_the_length_that_was_told_is_no_end(tmp_path: Path, head: bytes) -> None:
    def fetch(connection: socket.socket, _: list[bytes]) -> bytes:
        part = b"3e8\r\n" + VALUE[:1000] + b"\r\n" if b"chunked" in head else VALUE[:1000]
        connection.sendall(b"HTTP/1.1 200 X\r\n" + head + b"\r\n\r\n" + part)
        connection.shutdown(socket.SHUT_WR)
        return b""

    cache, origin = Peer(lambda _, words: MISS), Peer(fetch, is_http=True)
    with routed(tmp_path, {"s1": cache}, origin) as router:
        assert router.client().ask(get("r1", d=15_000)).startswith(b"-")


def test_second_answer_behind_one_that_ended_reaches_nobody(tmp_path: Path) -> None:
    def fetch(connection: socket.socket, message: list[bytes]) -> bytes:
        return http_answer(200, message[1][1:]) + http_answer(200, b"nobody's")

    cache, origin = Peer(lambda _, words: MISS), Peer(fetch, is_http=True)
    with routed(tmp_path, {"s1": cache}, origin) as router:
        client = router.client()
        assert [client.ask(get(f"r{i}", f"k{i}", d=15_000)) for i in range(5)] == [
            b"k%d" % i for i in range(5)
        ]
