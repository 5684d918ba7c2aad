"""Simple strict reference readers of one complete answer for tests; they share no code with the program.

Each takes all bytes received until the connection ended and returns the answer, or None if it is invalid.
"""

from __future__ import annotations

import re
from dataclasses import dataclass


@dataclass(frozen=True)
class Read:
    """The contents of an answer."""

    kind: str
    value: bytes | None = None
    note: bytes | None = None
    report: bytes | None = None
    unusual: bool = False
    """Whether a reader may also reject it: chunk extensions, tabs in a header, framing without a body."""


def cache_answer(data: bytes) -> Read | None:
    """Return the answer of a cache server (RESP2) at the start of `data`; bytes after it are ignored."""
    if line := re.match(rb"-([^\r\n]{0,4096})\r\n", data):
        return Read("busy" if line[1].startswith(b"BUSY") else "error")
    if not data.startswith(b"*3\r\n"):
        return None
    at = 4
    elements: list[bytes | None] = []
    for longest in (4 << 20, 4096, 4096):
        head = re.compile(rb"\$(-1|0|[1-9][0-9]*)\r\n").match(data, at)
        if head is None or int(head[1]) > longest:
            return None
        at = head.end()
        if head[1] == b"-1":
            elements.append(None)
            continue
        end = at + int(head[1])
        if data[end : end + 2] != b"\r\n":
            return None
        elements.append(data[at:end])
        at = end + 2
    value, note, report = elements
    return Read("miss" if value is None else "value", value, note, report)


_FIELD = re.compile(rb"([!#$%&'*+\-.^_`|~0-9A-Za-z]+):[ \t]*([^\x00-\x08\x0a-\x1f\x7f]*?)[ \t]*\r\n")
_STATUS = re.compile(rb"HTTP/1\.([01]) ([1-5][0-9]{2})(?: [^\x00-\x08\x0a-\x1f\x7f]*)?\r\n")
_CHUNK = re.compile(rb"([0-9A-Fa-f]+)([ \t]*;[^\x00-\x08\x0a-\x1f\x7f]*)?\r\n")


def origin_answer(data: bytes) -> Read | None:
    """Return the answer of the origin (HTTP/1.1, RFC 9112) in `data`, after which the connection ended."""
    at, unusual = 0, False
    while True:
        status = _STATUS.match(data, at)
        if status is None:
            return None
        fields, at = _fields(data, status.end())
        if fields is None:
            return None
        lengths = [value for name, value in fields if name == b"content-length"]
        codings = [value.lower() for name, value in fields if name == b"transfer-encoding"]
        if not status[2].startswith(b"1"):
            break
        if status[2] == b"101":
            return None
        unusual = unusual or bool(lengths or codings)
        while data[at : at + 1] in (b"\r", b"\n"):  # empty lines before a status line are ignored
            at += 1
    unusual = unusual or b"\t" in data[:at]
    if codings:
        if lengths or codings != [b"chunked"] or status[1] == b"0":
            return None
        body, in_chunks = _chunks(data, at)
        unusual = unusual or in_chunks
    elif lengths:
        if len(lengths) > 1 or not re.fullmatch(rb"[0-9]+", lengths[0]):
            return None
        length = int(lengths[0])
        body = data[at : at + length] if len(data) - at >= length else None
    else:
        body = data[at:]
    if status[2] in (b"204", b"304"):
        body = b""
    if body is None or len(body) > 4 << 20:
        return None
    not_started = [value for name, value in fields if name == b"not-started"]
    if status[2] == b"200":
        return Read("value", body, unusual=unusual)
    never_ran = status[2] in (b"503", b"504") and not_started == [b"1"]
    return Read("busy" if never_ran else "error", unusual=unusual)


def _fields(data: bytes, at: int) -> tuple[list[tuple[bytes, bytes]] | None, int]:
    fields = []
    while not data.startswith(b"\r\n", at):
        field = _FIELD.match(data, at)
        if field is None:
            return None, at
        fields.append((field[1].lower(), field[2]))
        at = field.end()
    return fields, at + 2


def _chunks(data: bytes, at: int) -> tuple[bytes | None, bool]:
    body, unusual = b"", False
    while head := _CHUNK.match(data, at):
        size, at = int(head[1], 16), head.end()
        unusual = unusual or head[2] is not None
        if not size:
            fields, _ = _fields(data, at)
            framing = {name for name, _ in fields or ()} & {b"content-length", b"transfer-encoding"}
            return body if fields is not None else None, unusual or bool(framing)
        body += data[at : at + size]
        at += size + 2
        if len(data) < at or data[at - 2 : at] != b"\r\n":
            break
    return None, unusual
