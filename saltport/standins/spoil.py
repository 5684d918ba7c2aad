"""Good answers of RESP and HTTP made bad, in each of the ways that a fault names."""

from __future__ import annotations

import random
from collections.abc import Iterator

HUGE = 3 << 30
CHUNK = 16 << 10
MOST_CHUNKS = 64
"""A huge value stops after so many parts, as the router should have closed long ago."""


def resp_answer(value: bytes | None, note: bytes, report: bytes) -> bytes:
    """A node's whole answer; a null value is a miss."""
    body = b"$-1\r\n" if value is None else b"$%d\r\n%b\r\n" % (len(value), value)
    return b"*3\r\n%b$%d\r\n%b\r\n$%d\r\n%b\r\n" % (body, len(note), note, len(report), report)


def http_answer(status: int, body: bytes, *headers: bytes) -> bytes:
    """An answer of the origin or the registry."""
    lines = b"".join(line + b"\r\n" for line in headers)
    return b"HTTP/1.1 %d -\r\nContent-Length: %d\r\n%b\r\n%b" % (status, len(body), lines, body)


def _noise(rng: random.Random, size: int) -> bytes:
    return bytes(rng.getrandbits(8) | 0x80 for _ in range(size))


def _forever(head: bytes, rng: random.Random) -> Iterator[bytes]:
    yield head
    part = _noise(rng, 256) * (CHUNK // 256)
    for _ in range(MOST_CHUNKS):
        yield part


def spoil_resp(how: str, value: bytes, rng: random.Random) -> Iterator[bytes] | bytes | None:
    """A spoilt answer of a node: bytes, parts without an end, or None for `cut`, which ends in a reset."""
    good = resp_answer(value, b"hit", b"latency_ms=1.000,queue=0")
    match how:
        case "noise":
            return _noise(rng, 64)
        case "bad_line":
            return b"*x\r\n\x00\xff\r\n"
        case "endless_line":
            return b"-" + b"e" * 40_000
        case "wrong_length":
            return b"*3\r\n$%d\r\n%b\r\n$3\r\nhit\r\n$-1\r\n" % (max(len(value) - 3, 0), value)
        case "huge":
            return _forever(b"*3\r\n$%d\r\n" % HUGE, rng)
        case "copy":
            return good + good
        case "tail_noise":
            return good + _noise(rng, 32)
        case "bad_report":
            return resp_answer(value, b"hit", b"latency_ms=,queue=\xff;;")
        case "cut":
            return None
    return good


def spoil_http(how: str, body: bytes, rng: random.Random) -> Iterator[bytes] | bytes | None:
    """A spoilt answer of the origin, in the same forms."""
    good = http_answer(200, body)
    match how:
        case "noise":
            return _noise(rng, 64)
        case "bad_line":
            return b"HTTP/9.x two hundred\r\n\r\n"
        case "endless_line":
            return b"HTTP/1.1 200 OK\r\nX: " + b"e" * 100_000
        case "wrong_length":
            return b"HTTP/1.1 200 -\r\nContent-Length: -7\r\n\r\n" + body
        case "huge":
            return _forever(b"HTTP/1.1 200 -\r\nContent-Length: %d\r\n\r\n" % HUGE, rng)
        case "copy":
            return good + good
        case "tail_noise":
            return good + _noise(rng, 32)
        case "bad_report":
            return http_answer(200, body, b"Server-Load: latency_ms=;queue")
        case "interim":
            return b"HTTP/1.1 100 Continue\r\n\r\n" + good
        case "cut":
            return None
    return good
