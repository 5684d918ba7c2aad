"""Connections to cache servers: one command, one answer, read by hiredis or passed on as it comes."""

from __future__ import annotations

import re

import hiredis

from saltport.decisions import CacheNote, Outcome
from saltport.handover.record import Flow
from saltport.upstream.pool import Connection, Exchange, Server
from saltport.wire.resp import LARGE, MAX_VALUE, command, info_with

MAX_REST = 8 << 10  # all of an answer but its value: far more than a note and a load report take
HEADER = re.compile(rb"\*[1-9]\r\n\$(\d{1,8})\r\n")
LONGEST_HEADER = 16

_NOTES = {b"hit": CacheNote.HIT, b"miss": CacheNote.MISS, b"pending": CacheNote.FETCH_OUT}


class CacheConnection(Connection):
    """Speaks RESP2 with one cache server."""

    def __init__(self, server: Server) -> None:
        super().__init__(server)
        self._reader = hiredis.Reader()
        self._head = b""
        self._begun = False  # the answer's header has been looked at
        self._came = 0  # bytes of the answer that hiredis was given
        self._left = 0  # bytes of a long value, with its line end, that are still to come
        self._length = 0
        self._places = b""
        self._rest = b""  # what came behind a long value

    def flow(self) -> Flow | None:
        """See Connection."""
        if not self._length:
            return None
        server = self.server
        places = self._places[1:2].decode()
        return Flow(
            "cache", server.id, server.address, self._length, self._left, places, self._rest, self.retired
        )

    def go_on(self, flow: Flow) -> None:
        """See Connection."""
        self._begun, self._length, self._left = True, flow.length, flow.left
        self._take_out(b"*%b\r\n" % flow.form.encode())
        self._rest, self._came = flow.rest, len(flow.rest)
        self._reader.feed(flow.rest)

    def _take_out(self, places: bytes) -> None:
        """What follows a long value is read as an array of its own, its first place taken up here."""
        self._places = places
        self._reader.feed(places + b"$0\r\n\r\n")

    def request_bytes(self, exchange: Exchange, remaining_ms: int) -> bytes:
        """The client's command again, with what is left of its time; or a probe."""
        request = exchange.request
        if request is None:
            if words := exchange.plain_command(remaining_ms):
                return command(*words)
            return command(b"INFO", b"load") if exchange.wants_load else command(b"PING")
        info = info_with(request.info, remaining_ms)
        if request.value is None:
            key, name = request.key, request.id
            # The most common command, in one step.
            return b"*4\r\n$6\r\nKV.GET\r\n$%d\r\n%b\r\n$%d\r\n%b\r\n$%d\r\n%b\r\n" % (
                len(key), key, len(name), name, len(info), info
            )  # fmt: skip
        return command(b"KV.SET", request.key, request.id, info, request.value)

    def answer_came(self, data: bytes) -> None:
        """Look at the header first: hiredis holds a whole value, so a long one goes past it."""
        if self._left:
            data = self._pass_on(data)
            if not data:
                return
        elif not self._begun:
            data = self._head + data
            self._head = b""
            if data[0] == 42 and b"\n$-1" not in data[:8]:
                header = HEADER.match(data)
                if header is None and len(data) < LONGEST_HEADER:
                    self._head = data
                    return
                if header is None or int(header[1]) > MAX_VALUE:
                    self.spoil("sent an answer with a broken header")
                    return
                if int(header[1]) > LARGE:
                    self._begun = True
                    self._start_value(int(header[1]))
                    self._take_out(data[:4])
                    data = self._pass_on(data[header.end() :])
                    if not data:
                        return
            self._begun = True
        self._came += len(data)
        if self._length:
            self._rest += data
        self._reader.feed(data)
        self._read()

    def _start_value(self, length: int) -> None:
        assert self.exchange is not None
        self._length, self._left = length, length + 2
        self.exchange.value_started(length, self)

    def _pass_on(self, data: bytes) -> bytes:
        """Hand on what belongs to the long value; returns what comes after it."""
        exchange = self.exchange
        part, rest = data[: self._left], data[self._left :]
        of_value = max(min(len(part), self._left - 2), 0)
        self._left -= len(part)
        if exchange is not None and of_value:
            exchange.value_came(part[:of_value])
        return rest

    def _read(self) -> None:
        try:
            answer = self._reader.gets()
        except hiredis.ProtocolError as error:
            self.spoil(f"broke the protocol: {error}")
            return
        if answer is False:
            if self._came > LARGE + MAX_REST:
                self.spoil("sent more beside the value than an answer has")
            return
        # Danger: more bytes after the answer would be taken for the next request's answer. They are not
        # read: noise there does not spoil the answer before it.
        self.retired = self.retired or self._reader.has_data()
        streamed = self._length > 0
        self._begun, self._came, self._length, self._rest = False, 0, 0, b""
        if isinstance(answer, hiredis.ReplyError):
            self.finish(Outcome.FULL if str(answer).startswith("BUSY") else Outcome.ERROR)
        elif isinstance(answer, list) and answer and (answer[0] is None or isinstance(answer[0], bytes)):
            note = answer[1] if len(answer) > 1 else None
            if self.exchange is not None and len(answer) > 2 and isinstance(answer[2], bytes):
                self.exchange.report = answer[2]
            value = None if streamed else answer[0]
            outcome = Outcome.MISS if answer[0] is None else Outcome.OK
            self.finish(outcome, value, _NOTES.get(note) if isinstance(note, bytes) else None)
        elif isinstance(answer, bytes | int) and self.exchange is not None and self.exchange.request is None:
            self.finish(Outcome.OK)
        else:
            self.spoil("sent an answer of an unknown form")
