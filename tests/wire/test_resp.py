"""RESP commands of clients: arbitrary splits, and equal results of the fast path and the full parser."""

from __future__ import annotations

from collections.abc import Sequence

import pytest
from hypothesis import given, strategies
from hypothesis import settings as profile

from saltport.downstream.resp import RespDialect, parse_request
from saltport.messages import Data, Request
from saltport.wire import resp
from saltport.wire.resp import CommandReader, command

WORDS = strategies.lists(strategies.binary(max_size=40), min_size=1, max_size=resp.MAX_WORDS)
TRICKY = strategies.lists(
    strategies.sampled_from(
        [
            b"*1",
            b"*2",
            b"*4",
            b"*04",
            b"$0",
            b"$1",
            b"$2",
            b"$-1",
            b"\r\n",
            b"\r",
            b"\n",
            b"a",
            b"ab",
            b"*",
            b"$",
        ]
    ),
    max_size=14,
).map(b"".join)


def read_with_full_parser(data: bytes) -> tuple[Sequence[Sequence[Data]], str, int]:
    """Return commands, error and needed bytes as the full parser alone reads them."""
    reader = CommandReader()
    original, resp.MAX_FAST_PATH_BYTES = resp.MAX_FAST_PATH_BYTES, -1
    try:
        return reader.feed(data), reader.framing_error, reader.needed_bytes
    finally:
        resp.MAX_FAST_PATH_BYTES = original


@given(words=WORDS, cuts=strategies.lists(strategies.integers(0, 600), max_size=6))
@profile(derandomize=True, max_examples=300, deadline=None)
def test_any_command_survives_any_split(words: list[bytes], cuts: list[int]) -> None:
    stream = command(*words) * 2
    reader = CommandReader()
    read: list[Sequence[Data]] = []
    at = 0
    for cut in sorted({min(cut, len(stream)) for cut in cuts} | {len(stream)}):
        read += reader.feed(stream[at:cut])
        at = cut
    assert read == [words, words]
    assert (reader.needed_bytes, reader.framing_error) == (0, "")


@given(data=TRICKY)
@profile(derandomize=True, max_examples=1500, deadline=None)
def test_fast_path_and_full_parser_agree(data: bytes) -> None:
    reader = CommandReader()
    assert (reader.feed(data), reader.framing_error, reader.needed_bytes) == read_with_full_parser(data)


def test_long_info_is_parsed_without_the_cache() -> None:
    dialect = RespDialect()
    info = b"c=get,d=5,x=" + b"y" * 300
    ((message, _),) = dialect.feed(command(b"KV.GET", b"k", b"id", info))
    assert isinstance(message, Request)
    assert (message.request_class, message.timeout_ms, message.tenant) == ("get", 5, None)
    short = parse_request([b"KV.GET", b"k", b"id", b"c=get,t=a,d=7,r=1"])
    assert (short.tenant, short.timeout_ms, short.retry) == ("a", 7, True)


@pytest.mark.parametrize("received", [150, 5000, 80_000])
@pytest.mark.parametrize("step", [1000, 1 << 20])
def test_discarded_command_is_returned_without_its_value_and_the_next_ones_whole(
    received: int, step: int
) -> None:
    write, read = command(b"KV.SET", b"k", b"id", b"c=put,d=9", b"v" * 90_000), command(b"KV.GET", b"k")
    stream = write + read
    reader = CommandReader()
    assert reader.feed(stream[:received]) == []
    assert reader.complete_words() == [b"KV.SET", b"k", b"id", b"c=put,d=9"]
    assert reader.discard()
    assert (reader.received_bytes, reader.missing_bytes) == (0, len(write) - received)
    commands: list[Sequence[Data]] = []
    for at in range(received, len(stream), step):
        commands += reader.feed(stream[at : at + step])
    assert commands == [[b"KV.SET", b"k", b"id", b"c=put,d=9", b""], [b"KV.GET", b"k"]]
    assert reader.first_is_discarded
    assert (reader.needed_bytes, reader.framing_error) == (0, "")


def test_command_whose_length_has_not_come_is_not_discarded() -> None:
    reader = CommandReader()
    assert reader.feed(b"*5\r\n$6\r\nKV.SET\r\n$900") == []
    assert not reader.discard()
