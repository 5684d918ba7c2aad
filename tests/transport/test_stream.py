"""Streams over a scripted socket: whatever its calls return, each byte goes once, in order, no busy loop."""

from __future__ import annotations

import errno
from collections.abc import Callable
from typing import Any, cast

import pytest
from hypothesis import given
from hypothesis import strategies as st

from saltport.transport.stream import MAX_RETRY_PAUSE_S, StreamProtocol, TcpStream

SHORTAGES = (errno.ENOBUFS, errno.ENOMEM)
BROKEN = (errno.ECONNRESET, errno.ETIMEDOUT, errno.EHOSTUNREACH, errno.EPIPE)


class ScriptedSocket:
    """A socket whose calls follow a script: each entry is a number of bytes, data, or a negative errno."""

    def __init__(self) -> None:
        self.sending: list[int] = []
        self.receiving: list[bytes | int] = []
        self.shutting: list[int] = []
        self.option_error = 0
        self.taken = b""
        self.calls = 0
        self.shut = self.closed = False

    def fileno(self) -> int:
        return 7

    def setsockopt(self, *_: int) -> None:
        if self.option_error:
            raise OSError(self.option_error, "option")

    def send(self, data: bytes) -> int:
        self.calls += 1
        entry = self.sending.pop(0) if self.sending else len(data)
        if entry < 0:
            raise OSError(-entry, "send")
        self.taken += bytes(data[:entry])
        return min(entry, len(data))

    def recv_into(self, buffer: memoryview) -> int:
        self.calls += 1
        entry = self.receiving.pop(0) if self.receiving else -errno.EAGAIN
        if isinstance(entry, int):
            raise OSError(-entry, "recv")
        buffer[: len(entry)] = entry
        return len(entry)

    def shutdown(self, _: int) -> None:
        if self.shutting:
            raise OSError(self.shutting.pop(0), "shutdown")
        self.shut = True

    def close(self) -> None:
        self.closed = True


class Timer:
    def __init__(self, delay: float, call: Callable[[], None]) -> None:
        self.delay, self.call, self.cancelled = delay, call, False

    def cancel(self) -> None:
        self.cancelled = True


class ScriptedLoop:
    """Records callbacks; `run_once` runs one loop iteration in which every descriptor is ready."""

    def __init__(self) -> None:
        self.readers: dict[int, Callable[[], None]] = {}
        self.writers: dict[int, Callable[[], None]] = {}
        self.timers: list[Timer] = []
        self.soon: list[tuple[Callable[..., None], tuple[Any, ...]]] = []

    def add_reader(self, descriptor: int, call: Callable[[], None]) -> None:
        self.readers[descriptor] = call

    def add_writer(self, descriptor: int, call: Callable[[], None]) -> None:
        self.writers[descriptor] = call

    def remove_reader(self, descriptor: int) -> None:
        self.readers.pop(descriptor, None)

    def remove_writer(self, descriptor: int) -> None:
        self.writers.pop(descriptor, None)

    def call_later(self, delay: float, call: Callable[[], None]) -> Timer:
        timer = Timer(delay, call)
        self.timers.append(timer)
        return timer

    def call_soon(self, call: Callable[..., None], *arguments: Any) -> None:
        self.soon.append((call, arguments))

    def run_once(self) -> None:
        """Call all pending callbacks, timers, readers and writers once."""
        soon, self.soon = self.soon, []
        for call, arguments in soon:
            call(*arguments)
        timers, self.timers = self.timers, []
        for timer in timers:
            if not timer.cancelled:
                timer.call()
        for ready in [*self.readers.values(), *self.writers.values()]:
            ready()


class RecordingProtocol(StreamProtocol):
    """A protocol that records its calls."""

    def __init__(self) -> None:
        self.data = b""
        self.lost: list[Exception | None] = []
        self.paused = self.out_of_memory_reads = 0

    def data_received(self, data: bytes) -> None:
        self.data += data

    def connection_lost(self, exc: Exception | None) -> None:
        self.lost.append(exc)

    def pause_writing(self) -> None:
        self.paused += 1

    def resume_writing(self) -> None:
        self.paused -= 1

    def read_out_of_memory(self) -> None:
        self.out_of_memory_reads += 1


class Scene:
    def __init__(self, option_error: int = 0) -> None:
        self.socket, self.loop, self.protocol = ScriptedSocket(), ScriptedLoop(), RecordingProtocol()
        self.socket.option_error = option_error
        self.stream = TcpStream(cast(Any, self.loop), cast(Any, self.socket), self.protocol)

    def until_quiet(self) -> None:
        for _ in range(200):
            self.loop.run_once()


steps = st.one_of(
    st.integers(1, 60),
    st.sampled_from([-errno.EAGAIN, *(-number for number in SHORTAGES)]),
)


@given(
    st.lists(st.binary(min_size=1, max_size=40), max_size=20),
    st.lists(steps, max_size=60),
    st.integers(0, 50),
)
def test_each_byte_is_sent_once_and_what_is_unsent_are_always_the_last_bytes(
    writes: list[bytes], script: list[int], high: int
) -> None:
    """The stream counts its unsent bytes itself; an earlier version had a class `Unsent` for this."""
    scene, expected = Scene(), b""
    scene.stream.set_write_buffer_limits(high=high)
    scene.socket.sending = script
    for data in writes:
        expected += data
        scene.stream.write(data)
        assert scene.socket.taken + scene.stream.unsent == expected
        assert scene.stream.get_write_buffer_size() == len(scene.stream.unsent)
        assert scene.protocol.paused == (1 if scene.protocol.paused else 0)
        if len(expected) % 3 == 0:
            scene.loop.run_once()
            assert scene.socket.taken + scene.stream.unsent == expected
    scene.until_quiet()
    assert scene.socket.taken == expected
    assert not scene.stream.unsent
    assert not scene.protocol.paused
    assert not scene.loop.writers, "no writer is registered without unsent bytes"
    assert not scene.protocol.lost


@given(
    st.lists(
        st.one_of(
            st.binary(min_size=1, max_size=40),
            st.sampled_from([-errno.ENOBUFS, -errno.ENOMEM, -errno.EAGAIN]),
        )
    )
)
def test_each_byte_is_read_once(script: list[bytes | int]) -> None:
    scene = Scene()
    scene.socket.receiving = list(script)
    for _ in range(2 * len(script) + 1):
        scene.loop.run_once()
    assert scene.protocol.data == b"".join(entry for entry in script if isinstance(entry, bytes))
    assert scene.protocol.out_of_memory_reads == sum(
        entry in (-errno.ENOBUFS, -errno.ENOMEM) for entry in script
    )
    assert not scene.protocol.lost


@pytest.mark.parametrize("number", SHORTAGES)
def test_a_call_that_finds_no_memory_is_made_again_after_a_pause_that_grows(number: int) -> None:
    scene = Scene()
    scene.stream.pause_reading()
    scene.socket.sending = [-number] * 9
    scene.stream.write(b"answer")
    pauses = []
    while scene.loop.timers:
        assert not scene.loop.writers, "a registered writer would repeat the call at once"
        pauses.append(scene.loop.timers[0].delay)
        scene.loop.run_once()
    assert scene.socket.taken == b"answer"
    assert pauses == sorted(pauses)
    assert len(pauses) == 9
    assert max(pauses) == MAX_RETRY_PAUSE_S


@pytest.mark.parametrize("number", BROKEN)
def test_any_other_error_ends_the_connection_once(number: int) -> None:
    scene = Scene()
    scene.socket.sending = [3, -number]
    scene.stream.write(b"answer")
    scene.loop.run_once()
    assert scene.stream.is_closing()
    assert scene.stream.unsent == b"wer", "until connection_lost is called"
    scene.until_quiet()
    assert [cast(OSError, error).errno for error in scene.protocol.lost] == [number]
    assert scene.socket.closed
    assert not scene.loop.readers
    assert not scene.loop.writers


def test_reset_after_half_an_answer_and_ten_shortages_ends_the_stream_once() -> None:
    scene = Scene()
    scene.socket.sending = [3, *[-errno.ENOBUFS] * 10, -errno.ECONNRESET]
    scene.stream.write(b"answer")
    scene.until_quiet()
    assert scene.socket.taken == b"ans", "no byte twice"
    assert [cast(OSError, error).errno for error in scene.protocol.lost] == [errno.ECONNRESET]
    assert not [timer for timer in scene.loop.timers if not timer.cancelled]


def test_idle_streams_have_no_timer() -> None:
    scene = Scene()
    scene.socket.receiving = [b"request"]
    scene.loop.readers[7]()
    scene.stream.write(b"answer")
    assert not scene.loop.timers


def test_a_request_that_can_not_be_written_now_is_left_undone() -> None:
    scene = Scene()
    scene.socket.sending = [-errno.ENOBUFS]
    assert not scene.stream.write_now(b"request")
    assert not scene.stream.unsent
    assert not scene.loop.timers
    scene.socket.sending = [4, -errno.ENOMEM]
    assert scene.stream.write_now(b"request")
    scene.until_quiet()
    assert scene.socket.taken == b"request"


def test_an_option_that_can_not_be_set_is_no_reason_to_end_the_connection() -> None:
    scene = Scene(option_error=errno.ENOBUFS)
    scene.stream.write(b"answer")
    assert scene.socket.taken == b"answer"


def test_close_and_half_close_wait_for_what_is_unsent() -> None:
    scene = Scene()
    scene.socket.sending = [2, -errno.ENOBUFS, 1, -errno.EAGAIN]
    scene.socket.shutting = [errno.ENOBUFS]
    scene.stream.write(b"answer")
    scene.stream.write_eof()
    assert not scene.socket.shut
    scene.until_quiet()
    assert scene.socket.taken == b"answer"
    assert scene.socket.shut
    scene = Scene()
    scene.socket.sending = [2, -errno.ENOBUFS]
    scene.stream.write(b"answer")
    scene.stream.close()
    scene.until_quiet()
    assert scene.socket.taken == b"answer"
    assert scene.protocol.lost == [None]
    assert scene.socket.closed


def test_reading_paused_during_a_memory_shortage_stays_paused() -> None:
    scene = Scene()
    scene.socket.receiving = [-errno.ENOMEM, b"more"]
    scene.loop.run_once()
    scene.stream.pause_reading()
    scene.until_quiet()
    assert scene.protocol.data == b""
    scene.stream.resume_reading()
    scene.loop.run_once()
    assert scene.protocol.data == b"more"


def test_nothing_is_left_of_a_stream_that_is_aborted_while_calls_are_to_be_made_again() -> None:
    scene = Scene()
    scene.socket.sending, scene.socket.receiving = [-errno.ENOBUFS], [-errno.ENOMEM]
    scene.stream.write(b"answer")
    scene.loop.run_once()
    scene.stream.abort()
    calls = scene.socket.calls
    scene.until_quiet()
    assert scene.socket.calls == calls
    assert scene.protocol.lost == [None]
    assert scene.socket.closed
