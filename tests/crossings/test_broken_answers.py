"""Invalid and truncated answers, and answers that end with their connection, of cache servers and the origin.

Only a completely framed answer is served; a length that does not agree with the bytes is an error.
"""

from __future__ import annotations

import asyncio
import socket
import threading
from pathlib import Path

import pytest

from saltport.decisions import CacheStatus, Outcome
from saltport.messages import Request, ValueSource
from saltport.transport.loop import run_on_router_loop
from saltport.upstream.connection import Connection, Exchange
from saltport.upstream.http import OriginConnection
from saltport.upstream.pool import Pool
from saltport.upstream.resp import CacheConnection
from saltport.wire.memcached import RESPONSE_MAGIC, Opcode, Packet, Status, encode
from tests.binary import MemcachedClient, OriginStore, run_memcached_router
from tests.sockets import MISS, TIMEOUT_S, Peer, eventually, get, hit, http_answer, reset, run_router

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
    with run_router(tmp_path, {"s1": cache}, origin) as router:
        client = router.client()
        assert client.ask(get("r1", d=15_000)) == value
        assert client.ask(get("r2", "k2", d=15_000)) == value
        assert len(origin.seen) == 2


def test_reset_within_an_answer_without_a_length_is_an_error(tmp_path: Path) -> None:
    def fetch(connection: socket.socket, _: list[bytes]) -> bytes:
        connection.sendall(HEAD + VALUE[:1000])
        sent.set()
        assert read.wait(TIMEOUT_S)
        return reset(connection)

    sent, read = threading.Event(), threading.Event()
    cache, origin = Peer(lambda _, words: MISS), Peer(fetch, is_http=True)
    with run_router(tmp_path, {"s1": cache}, origin) as router:
        client, other = router.client(), router.client()
        client.send(get("r1", d=15_000))
        assert sent.wait(TIMEOUT_S)
        for i in range(5):  # the router's loop has run: the first part has been read
            assert other.ask(b"*1\r\n$4\r\nPING\r\n") == b"+PONG", i
        read.set()
        assert client.answer().startswith(b"-"), "a part of a value must not be served"


@pytest.mark.parametrize("head", [b"Content-Length: 3000", b"Transfer-Encoding: chunked"])
def test_connection_end_before_the_stated_length_is_an_error(tmp_path: Path, head: bytes) -> None:
    def fetch(connection: socket.socket, _: list[bytes]) -> bytes:
        part = b"3e8\r\n" + VALUE[:1000] + b"\r\n" if b"chunked" in head else VALUE[:1000]
        connection.sendall(b"HTTP/1.1 200 X\r\n" + head + b"\r\n\r\n" + part)
        connection.shutdown(socket.SHUT_WR)
        return b""

    cache, origin = Peer(lambda _, words: MISS), Peer(fetch, is_http=True)
    with run_router(tmp_path, {"s1": cache}, origin) as router:
        assert router.client().ask(get("r1", d=15_000)).startswith(b"-")


def test_second_answer_after_a_complete_one_is_dropped(tmp_path: Path) -> None:
    def fetch(connection: socket.socket, message: list[bytes]) -> bytes:
        return http_answer(200, message[1][1:]) + http_answer(200, b"nobody's")

    cache, origin = Peer(lambda _, words: MISS), Peer(fetch, is_http=True)
    with run_router(tmp_path, {"s1": cache}, origin) as router:
        client = router.client()
        assert [client.ask(get(f"r{i}", f"k{i}", d=15_000)) for i in range(5)] == [
            b"k%d" % i for i in range(5)
        ]


class Received(Exchange):
    """A read that records the parts of its answer and its outcome."""

    request = Request(b"r", b"k", "get", "acme", 5000, None, False, b"c=get,t=acme,d=5000")

    def __init__(self) -> None:
        self.parts: list[bytes] = []
        self.result: asyncio.Future[tuple[Outcome, bytes | None]] = asyncio.get_running_loop().create_future()

    def remaining_ms(self) -> int:
        return 5000

    def value_started(self, length: int, source: ValueSource) -> None:
        self.parts.append(b"")

    def value_received(self, data: bytes) -> None:
        self.parts.append(data)

    def ended(self, outcome: Outcome, value: bytes | None = None, note: CacheStatus | None = None) -> None:
        self.result.set_result((outcome, value))


def exchange_with(
    answers: list[bytes], connect: type[Connection] = CacheConnection, piece: int = 1 << 20
) -> list[tuple[Outcome, bytes | None, bytes]]:
    """Read answers that a real server sends in pieces; return outcome, value and parts of each."""

    async def read_all() -> list[tuple[Outcome, bytes | None, bytes]]:
        pool = Pool(asyncio.get_running_loop(), 8, TIMEOUT_S, TIMEOUT_S)
        pool.list_server("s1", ("127.0.0.1", peer.port), connect)
        results = []
        for _ in answers:
            received = Received()
            pool.submit("s1", received)
            outcome, value = await asyncio.wait_for(received.result, TIMEOUT_S)
            results.append((outcome, value, b"".join(received.parts)))
        pool.close()
        return results

    def answer(connection: socket.socket, _: list[bytes]) -> bytes | None:
        data = next(remaining)
        connection.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        for at in range(0, len(data), piece):
            connection.sendall(data[at : at + piece])
        return None

    remaining = iter(answers)
    peer = Peer(answer, is_http=connect is not CacheConnection)
    try:
        return run_on_router_loop(read_all())
    finally:
        peer.close()


BROKEN = {
    "a length short of its bytes": b"*3\r\n$4\r\nabcdef$-1\r\n$-1\r\n",
    "a length short of its bytes, end mark kept": b"*3\r\n$4\r\nabcdef\r\n$-1\r\n$-1\r\n",
    "a length past its bytes": b"*3\r\n$8\r\nabcdef\r\n$-1\r\n$-1\r\n",
    "another end mark": b"*3\r\n$4\r\nabcd\n\r$-1\r\n$-1\r\n",
    "a note's length": b"*3\r\n$4\r\nabcd\r\n$2\r\nhit$-1\r\n",
    "a report's end mark": b"*3\r\n$4\r\nabcd\r\n$3\r\nhit\r\n$3\r\nq=1xx",
    "a miss whose note does not end": b"*3\r\n$-1\r\n$4\r\nmissxx$-1\r\n",
    "an error line without its carriage return": b"-ERR failed\n",
    "a status line with a stray carriage return": b"-ERR \rfailed\r\n",
    "an error line without an end": b"-" + b"e" * 5000,
    "two elements": b"*2\r\n$4\r\nabcd\r\n$3\r\nhit\r\n",
    "four elements": b"*4\r\n$4\r\nabcd\r\n$3\r\nhit\r\n$-1\r\n$-1\r\n",
    "no elements": b"*0\r\n",
    "a null array": b"*-1\r\n",
    "an array within the array": b"*3\r\n*1\r\n$4\r\nabcd\r\n$3\r\nhit\r\n$-1\r\n",
    "an array for a note": b"*3\r\n$4\r\nabcd\r\n*1\r\n$3\r\nhit\r\n$-1\r\n",
    "an integer for a note": b"*3\r\n$4\r\nabcd\r\n:3\r\n$-1\r\n",
    "a length with a sign": b"*3\r\n$+4\r\nabcd\r\n$3\r\nhit\r\n$-1\r\n",
    "a length with a leading zero": b"*3\r\n$04\r\nabcd\r\n$3\r\nhit\r\n$-1\r\n",
    "a count with a leading zero": b"*03\r\n$4\r\nabcd\r\n$3\r\nhit\r\n$-1\r\n",
    "another null": b"*3\r\n$-2\r\n$4\r\nmiss\r\n$-1\r\n",
    "a length with a space": b"*3\r\n$ 4\r\nabcd\r\n$3\r\nhit\r\n$-1\r\n",
    "a length line that ends in a line feed": b"*3\r\n$4\nabcd\r\n$3\r\nhit\r\n$-1\r\n",
    "a length over the longest value": b"*3\r\n$4194305\r\nabcd",
    "a length without an end": b"*3\r\n$" + b"4" * 40,
    "a note over its limit": b"*3\r\n$4\r\nabcd\r\n$4097\r\nhit",
    "no type that RESP2 has": b"_\r\n",
    "a lone value": b"$4\r\nabcd\r\n",
    "a long value whose end mark is another": hit(b"v" * 100_000).replace(b"v\r\n", b"v\n\r"),
    "a long value with a byte too many": hit(b"v" * 100_000).replace(b"v\r\n", b"vv\r\n"),
    "a long value, then a note that does not end": hit(b"v" * 100_000).replace(b"hit\r\n", b"hit\n\n"),
    "a long value, then an integer": hit(b"v" * 100_000).replace(b"$3\r\nhit", b":3"),
}


@pytest.mark.parametrize("piece", [1 << 20, 3000])
def test_invalid_framing_of_a_cache_server_s_answer_is_an_error(piece: int) -> None:
    results = exchange_with(list(BROKEN.values()), piece=piece)
    ends = dict(zip(BROKEN, results, strict=True))
    assert {how: (outcome, value) for how, (outcome, value, _) in ends.items()} == dict.fromkeys(
        BROKEN, (Outcome.ERROR, None)
    )
    assert not any(parts for how, (_, _, parts) in ends.items() if "a long value" not in how)


@pytest.mark.parametrize("piece", [1 << 20, 7])
def test_bytes_after_a_complete_answer_affect_neither_it_nor_the_next(piece: int) -> None:
    good = hit(b"\r\n$4\r\n*3\r\n")
    results = exchange_with([good + b"\x80noise", good + good, MISS + b"*", hit(b"mine")], piece=piece)
    value = b"\r\n$4\r\n*3\r\n"
    ends = [(Outcome.OK, value), (Outcome.OK, value), (Outcome.MISS, None), (Outcome.OK, b"mine")]
    assert [(outcome, value) for outcome, value, _ in results] == ends


OK = b"HTTP/1.1 200 OK\r\n"
FOUR = b"Content-Length: 4\r\n"
CHUNKED = OK + b"Transfer-Encoding: chunked\r\n\r\n"
BROKEN_HTTP = {
    "two lengths": OK + FOUR + b"Content-Length: 2\r\n\r\nabcd",
    "the same length twice": OK + FOUR + FOUR + b"\r\nabcd",
    "a list of lengths": OK + b"Content-Length: 4, 4\r\n\r\nabcd",
    "a length with a sign": OK + b"Content-Length: +4\r\n\r\nabcd",
    "an empty length": OK + b"Content-Length: \r\n\r\nabcd",
    "a length and chunks": OK + FOUR + b"Transfer-Encoding: chunked\r\n\r\n4\r\nabcd\r\n0\r\n\r\n",
    "chunks and a length": OK + b"Transfer-Encoding: chunked\r\n" + FOUR + b"\r\n4\r\nabcd\r\n0\r\n\r\n",
    "a coding beside chunks": OK + b"Transfer-Encoding: gzip, chunked\r\n\r\n4\r\nabcd\r\n0\r\n\r\n",
    "chunks twice": OK + b"Transfer-Encoding: chunked\r\n" * 2 + b"\r\n4\r\nabcd\r\n0\r\n\r\n",
    "a coding that ends with the connection": OK + b"Transfer-Encoding: gzip\r\n\r\nabcd",
    "chunks in an older version": CHUNKED.replace(b"1.1", b"1.0") + b"4\r\nabcd\r\n0\r\n\r\n",
    "a chunk short of its bytes": CHUNKED + b"3\r\nabcd\r\n0\r\n\r\n",
    "a chunk past its bytes": CHUNKED + b"5\r\nabcd\r\n0\r\n\r\n",
    "a chunk without a carriage return": CHUNKED + b"4\r\nabcd\n0\r\n\r\n",
    "a chunk size without an end": CHUNKED + b"0" * 70_000,
    "a chunk extension without an end": CHUNKED + b"4;" + b"e" * 70_000,
    "chunks without a last one": CHUNKED + b"4\r\nabcd\r\nHTTP/1.1 200 OK\r\n",
    "trailers without an end": CHUNKED + b"4\r\nabcd\r\n0\r\n" + b"A: b\r\n" * 20_000,
    "a folded line": OK + b"A: b\r\n c\r\n" + FOUR + b"\r\nabcd",
    "a folded length": OK + b"Content-Length: 4\r\n 0\r\n\r\nabcd",
    "a status line that ends in a line feed": b"HTTP/1.1 200 OK\n" + FOUR + b"\r\nabcd",
    "a header that ends in a line feed": OK + b"Content-Length: 4\n\r\nabcd",
    "a head that ends in a line feed": OK + FOUR + b"\nabcd",
    "a carriage return within a line": OK + b"A: b\rc\r\n" + FOUR + b"\r\nabcd",
    "a status line broken in the middle": b"HTTP/1.1 20\r\n" + FOUR + b"\r\nabcd",
    "a status line with noise": b"HTTP/1.1 200 O\x00\x01K\r\n" + FOUR + b"\r\nabcd",
    "a status that is none": b"HTTP/1.1 000 OK\r\n" + FOUR + b"\r\nabcd",
    "a version that is not spoken": b"HTTP/2.0 200 OK\r\n" + FOUR + b"\r\nabcd",
    "an empty line ahead": b"\r\n" + OK + FOUR + b"\r\nabcd",
    "a header without a colon": OK + b"Content-Length 4\r\n\r\nabcd",
    "a space ahead of the colon": OK + b"Content-Length : 4\r\n\r\nabcd",
    "a status line without an end": b"HTTP/1.1 200 " + b"e" * 70_000,
    "a header without an end": OK + b"X: " + b"e" * 70_000,
    "a head that never ends": OK + b"X: y\r\n" * 10_000 + FOUR + b"\r\nabcd",
    "interim answers that never end": b"HTTP/1.1 100 Continue\r\n\r\n" * 100 + OK + FOUR + b"\r\nabcd",
    "a change of protocol": b"HTTP/1.1 101 X\r\n\r\n" + OK + FOUR + b"\r\nabcd",
}


@pytest.mark.parametrize("piece", [1 << 20, 3000])
def test_invalid_framing_of_an_origin_s_answer_is_an_error(piece: int) -> None:
    results = exchange_with(list(BROKEN_HTTP.values()), OriginConnection, piece)
    ends = dict(zip(BROKEN_HTTP, results, strict=True))
    assert ends == dict.fromkeys(BROKEN_HTTP, (Outcome.ERROR, None, b""))


def test_trailers_and_duplicate_headers_do_not_mark_a_write_as_not_started() -> None:
    """`Not-Started: 1` proves that a write never ran, but not in a trailer or with a contradicting header."""
    failed = b"HTTP/1.1 503 X\r\n"
    answers = [
        failed + FOUR + b"Not-Started: 1\r\n\r\nabcd",
        failed + CHUNKED[len(OK) :] + b"4\r\nabcd\r\n0\r\nNot-Started: 1\r\n\r\n",
        failed + b"Not-Started: 0\r\nNot-Started: 1\r\n" + FOUR + b"\r\nabcd",
        CHUNKED + b"4;x=y\r\nabcd\r\n0\r\nA: b\r\n\r\n",
    ]
    outcomes = [outcome for outcome, _, _ in exchange_with(answers, OriginConnection)]
    assert outcomes == [Outcome.FULL, Outcome.ERROR, Outcome.ERROR, Outcome.OK]


@pytest.mark.parametrize(
    "how",
    ["a length short of its bytes", "a report's end mark", "a long value whose end mark is another"],
)
def test_client_never_receives_a_value_with_invalid_framing(tmp_path: Path, how: str) -> None:
    """Through a complete router; a long value that has begun is cut off by closing the connection."""
    begun = threading.Event()

    def serve(connection: socket.socket, words: list[bytes]) -> bytes:
        if words[1] != b"bad":
            return hit(words[2])
        # The end of a long value is sent once the client has its start: read at once, it would be an error.
        end = len(BROKEN[how]) // 2 if "long" in how else 0
        connection.sendall(BROKEN[how][:end])
        assert not end or begun.wait(TIMEOUT_S)
        return BROKEN[how][end:]

    cache = Peer(serve)
    with run_router(tmp_path, {"s1": cache}) as router:
        client = router.client()
        assert client.ask(get("r1", "good")) == b"r1"
        client.send(get("r2", "bad"))
        head = client.stream.readline()
        begun.set()
        if "long" in how:
            size = int(head.removeprefix(b"$"))
            assert len(client.stream.read(size + 2)) < size + 2, "cut off"
        else:
            assert head.startswith(b"-"), head
        other = router.client()
        eventually(lambda: other.ask(get("r3", "good")) == b"r3", "a valid answer to another client")


@pytest.mark.parametrize("pause", [False, True])
def test_memcached_client_never_receives_every_byte_of_an_invalid_answer(tmp_path: Path, pause: bool) -> None:
    """The protocol has no end mark: with the last byte of the value the client would accept the value."""
    long = hit(b"v" * 100_000)
    broken = long.replace(b"v\r\n", b"v\n\r")
    value_end = len(b"*3\r\n$100000\r\n") + 100_000

    def serve(connection: socket.socket, words: list[bytes]) -> bytes | None:
        if words[1] != b"bad":
            return long
        connection.sendall(broken[:value_end])
        if pause:
            assert read.wait(TIMEOUT_S)
        return broken[value_end:]

    read, store = threading.Event(), OriginStore()
    store.cache.close()
    store.cache = Peer(serve)
    with run_memcached_router(tmp_path, store) as (router, _):
        client, bad = MemcachedClient(router.port), MemcachedClient(router.port)
        client.send(Packet(Opcode.GET, b"good", opaque=1))
        assert client.answers(1)[0].value == b"v" * 100_000
        bad.send(Packet(Opcode.GET, b"bad", opaque=1))
        if pause:
            received = len(bad.socket.recv(1))  # the value has begun, and the rest of the sent part follows
            end = encode(Packet(Opcode.GET, extras=bytes(4), value=b"v" * 100_000, opaque=1), RESPONSE_MAGIC)
            while received < len(end) - 1:
                received += len(bad.socket.recv(1 << 20))
            read.set()
        try:
            (answer,) = bad.answers(1)
        except (AssertionError, ConnectionResetError):
            pass  # cut off
        else:
            # Read at once, the broken answer is known to be one before its value begins.
            assert not pause
            assert answer.status != Status.OK
            assert b"v" * 1000 not in answer.value
        client.send(Packet(Opcode.GET, b"good", opaque=2))
        assert client.answers(1)[0].value == b"v" * 100_000
