"""The unsent bytes of a stream, in any order of copied and uncopied parts."""

from __future__ import annotations

from hypothesis import given, strategies
from hypothesis import settings as profile

from saltport.transport.send_buffer import SendBuffer

PARTS = strategies.lists(
    strategies.tuples(strategies.binary(max_size=20), strategies.booleans()), max_size=12
)


@given(parts=PARTS, steps=strategies.lists(strategies.integers(0, 30), max_size=60))
@profile(derandomize=True, max_examples=200, deadline=None)
def test_all_bytes_leave_once_and_in_order(parts: list[tuple[bytes, bool]], steps: list[int]) -> None:
    buffer, sent = SendBuffer(), b""
    for data, is_in_place in parts:
        if is_in_place:
            buffer.append_in_place(memoryview(data))
        else:
            buffer.append(data)
    expected = b"".join(data for data, _ in parts)
    assert (bytes(buffer), len(buffer)) == (expected, len(expected))
    for step in steps:
        size = min(step, len(buffer.first))
        sent += bytes(buffer.first[:size])
        buffer.remove(size)
        assert sent + bytes(buffer) == expected
    buffer.clear()
    assert (len(buffer), bytes(buffer.first)) == (0, b"")
