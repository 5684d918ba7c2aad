"""RESP and HTTP replies, and corrupted variants of them for fault injection."""

from __future__ import annotations

import random
from collections.abc import Iterator

HUGE_VALUE_BYTES = 3 << 30  # length declared by a `huge` reply, far above a router's memory limit
CHUNK_BYTES = 16 << 10  # size of the chunks of a `huge` reply's value
MAX_CHUNKS = 64
"""Number of chunks sent of a huge value; a router should have closed the connection before."""


def resp_answer(value: bytes | None, result: bytes, report: bytes) -> bytes:
    """Return a node's complete reply; a null value is a miss."""
    body = b"$-1\r\n" if value is None else b"$%d\r\n%b\r\n" % (len(value), value)
    return b"*3\r\n%b$%d\r\n%b\r\n$%d\r\n%b\r\n" % (body, len(result), result, len(report), report)


def http_answer(status: int, body: bytes, *headers: bytes) -> bytes:
    """Return a complete HTTP response of the origin or the registry."""
    lines = b"".join(line + b"\r\n" for line in headers)
    return b"HTTP/1.1 %d -\r\nContent-Length: %d\r\n%b\r\n%b" % (status, len(body), lines, body)


def _noise(rng: random.Random, size: int) -> bytes:
    """Return random bytes, none of which is ASCII."""
    return bytes(rng.getrandbits(8) | 0x80 for _ in range(size))


def _endless_value(head: bytes, rng: random.Random) -> Iterator[bytes]:
    """Yield the head of a `huge` reply, then `MAX_CHUNKS` chunks of its value, which stays incomplete."""
    yield head
    part = _noise(rng, 256) * (CHUNK_BYTES // 256)
    for _ in range(MAX_CHUNKS):
        yield part


def corrupt_resp_reply(kind: str, value: bytes, rng: random.Random) -> Iterator[bytes] | bytes | None:
    """Return a node's reply with `value`, corrupted in the way that `kind` names in `faults.CORRUPTIONS`.

    The result is the bytes to send, or for `huge` an iterator over chunks of them. For `cut` it is None: the
    caller then sends half of a valid reply and resets the connection. An unknown kind gives a valid reply.
    """
    good = resp_answer(value, b"hit", b"latency_ms=1.000,queue=0")
    match kind:
        case "noise":
            return _noise(rng, 64)
        case "bad_line":
            return b"*x\r\n\x00\xff\r\n"
        case "endless_line":
            return b"-" + b"e" * 40_000
        case "wrong_length":
            return b"*3\r\n$%d\r\n%b\r\n$3\r\nhit\r\n$-1\r\n" % (max(len(value) - 3, 0), value)
        case "huge":
            return _endless_value(b"*3\r\n$%d\r\n" % HUGE_VALUE_BYTES, rng)
        case "copy":
            return good + good
        case "tail_noise":
            return good + _noise(rng, 32)
        case "bad_report":
            return resp_answer(value, b"hit", b"latency_ms=,queue=\xff;;")
        case "cut":
            return None
    return good


def corrupt_http_response(kind: str, body: bytes, rng: random.Random) -> Iterator[bytes] | bytes | None:
    """Return a corrupted response of the origin, in the forms of `corrupt_resp_reply`."""
    good = http_answer(200, body)
    match kind:
        case "noise":
            return _noise(rng, 64)
        case "bad_line":
            return b"HTTP/9.x two hundred\r\n\r\n"
        case "endless_line":
            return b"HTTP/1.1 200 OK\r\nX: " + b"e" * 100_000
        case "wrong_length":
            return b"HTTP/1.1 200 -\r\nContent-Length: -7\r\n\r\n" + body
        case "huge":
            return _endless_value(b"HTTP/1.1 200 -\r\nContent-Length: %d\r\n\r\n" % HUGE_VALUE_BYTES, rng)
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
