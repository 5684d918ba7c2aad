"""Connections to cache servers over RESP2; long values are streamed."""

from __future__ import annotations

from saltport.decisions import CacheStatus, Outcome
from saltport.handover.record import ReadPosition
from saltport.upstream.connection import Connection, Exchange, RequestParts, Server
from saltport.wire.resp import CRLF, FramingError, command, command_head, with_remaining_time
from saltport.wire.resp_answers import (
    ANSWER_ELEMENTS,
    Answer,
    AnswerReader,
    ErrorLine,
    Message,
    ValueEnded,
    ValuePart,
    ValueStarted,
)

_NOTES = {
    b"hit": CacheStatus.HIT,
    b"miss": CacheStatus.MISS,
    b"pending": CacheStatus.FETCH_PENDING,
}


LOAD_QUERY, PING = (b"INFO", b"load"), (b"PING",)


class CacheConnection(Connection):
    """A RESP2 connection to one cache server."""

    def __init__(self, server: Server) -> None:
        super().__init__(server)
        self._reader = AnswerReader()

    def flow(self) -> ReadPosition | None:
        """Return the state of the long value that is being read; None if there is none."""
        reader, server = self._reader, self.server
        if not reader.value_length:
            return None
        return ReadPosition(
            "cache",
            server.id,
            server.address,
            reader.value_length,
            reader.remaining_bytes,
            str(ANSWER_ELEMENTS),
            reader.pending,
            self.retired,
        )

    @property
    def needed_bytes(self) -> int:
        """Bytes of a partial answer that have to be kept at least."""
        return self._reader.needed_bytes

    def resume_value(self, flow: ReadPosition) -> None:
        """Continue to read a long value from the state in which another process stopped."""
        self._reader.resume(flow.length, flow.left, flow.rest)

    def request_parts(self, exchange: Exchange, remaining_ms: int) -> RequestParts:
        """Return the client's command with its time left, a command of the router's own, or a probe."""
        request = exchange.request
        if request is None:
            words = exchange.plain_command(remaining_ms)
            return RequestParts(command(*(words or (LOAD_QUERY if exchange.wants_load else PING))))
        info = with_remaining_time(request.info, remaining_ms)
        if request.value is None:
            key, name = request.key, request.id
            # The most common command, formatted directly for speed.
            return RequestParts(b"*4\r\n$6\r\nKV.GET\r\n$%d\r\n%b\r\n$%d\r\n%b\r\n$%d\r\n%b\r\n" % (
                len(key), key, len(name), name, len(info), info
            ))  # fmt: skip
        head = command_head(b"KV.SET", request.key, request.id, info, value_length=len(request.value))
        return RequestParts(head, request.value, CRLF)

    def answer_received(self, data: bytes) -> None:
        """Parse a part of the answer; a protocol error closes the connection."""
        try:
            messages = self._reader.feed(data)
        except FramingError as error:
            self.close_with_error(f"broke the protocol: {error}")
            return
        # Danger: bytes after the answer would be taken for the next request's answer, so the connection is
        # not reused. They are not parsed: garbage there does not invalidate the answer before it.
        self.retired = self.retired or self._reader.has_trailing_data
        for message in messages:
            self._handle_message(message)

    def connection_lost(self, exc: Exception | None) -> None:
        """Drop what was kept of an answer, and end the exchange."""
        self._reader.drop_partial()
        super().connection_lost(exc)

    def _handle_message(self, message: Message) -> None:
        """Pass a part of a value to the current exchange, or end the exchange with a complete answer.

        An answer of a type that does not fit the command closes the connection.
        """
        exchange = self.exchange
        if isinstance(message, Answer):
            outcome = Outcome.OK if message.value is not None else Outcome.MISS
            self._answered(outcome, message.value, message)
        elif isinstance(message, ValuePart):
            if exchange is not None:
                exchange.value_received(message.data)
        elif isinstance(message, ValueStarted):
            if exchange is not None:
                exchange.value_started(message.length, self)
        elif isinstance(message, ValueEnded):
            self._answered(Outcome.OK, None, message)
        elif isinstance(message, ErrorLine):
            self.finish(Outcome.FULL if message.text.startswith(b"BUSY") else Outcome.ERROR)
        elif exchange is not None and exchange.request is None:
            self.finish(Outcome.OK)
        else:
            self.close_with_error("sent an answer of an unexpected type")

    def _answered(self, outcome: Outcome, value: bytes | None, answer: Answer | ValueEnded) -> None:
        """End the current exchange with an outcome, the value, and the load report and note of the answer."""
        if self.exchange is not None and answer.report is not None:
            self.exchange.report = answer.report
        self.finish(outcome, value, _NOTES.get(answer.note) if answer.note is not None else None)
