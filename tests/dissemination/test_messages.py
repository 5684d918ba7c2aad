"""Messages fit a datagram; older and newer releases can decode each other's messages."""

from __future__ import annotations

import msgspec
import pytest
from msgspec import Struct

from saltport.dissemination.acknowledgements import fit_to_datagram
from saltport.dissemination.messages import (
    MAX_HEADS,
    Acknowledgement,
    Entry,
    Fetch,
    Head,
    Level,
    Push,
    Rejection,
    TopicProgress,
    decode,
    encode,
)
from saltport.dissemination.settings import MAX_MESSAGE_BYTES, DisseminationSettings
from saltport.dissemination.term import ENTRY_OVERHEAD_BYTES, MAX_ENTRY_BYTES

LARGE = 2**31


class NewerPush(Struct, frozen=True, array_like=True, tag=100):
    """A push of a later release, with an additional field."""

    epoch: int
    coordinator: int
    sent_ms: int
    level: Level
    heads: tuple[Head, ...]
    entry: Entry | None = None
    poll_number: int = 0
    priority: int = 7


class OlderAcknowledgement(Struct, frozen=True, array_like=True, tag=105):
    """An acknowledgement of an older release, without rejections and version."""

    round: int
    level: Level
    router_count: int
    progress: tuple[TopicProgress, ...]


def test_a_newer_message_is_read_without_what_is_new() -> None:
    message = NewerPush(3, 1, 9, Level.SITE, (Head(1, 4),), Entry(1, 3, 4, 3, (b"key",)))
    read = decode(msgspec.msgpack.encode(message))
    assert read == Push(3, 1, 9, Level.SITE, (Head(1, 4),), Entry(1, 3, 4, 3, (b"key",)))


def test_an_older_message_is_filled_in() -> None:
    read = decode(
        msgspec.msgpack.encode(OlderAcknowledgement(4, Level.REGION, 20, (TopicProgress(1, 7, 3),)))
    )
    assert read == Acknowledgement(4, Level.REGION, 20, (TopicProgress(1, 7, 3),))


def test_an_older_release_reads_a_newer_acknowledgement() -> None:
    message = Acknowledgement(4, Level.SITE, 1, (), (Rejection(2, 5, 0, "no"),), version=2)
    read = msgspec.msgpack.decode(encode(message), type=OlderAcknowledgement)
    assert read == OlderAcknowledgement(4, Level.SITE, 1, ())


@pytest.mark.parametrize(
    "data", [b"", b"\xc1", msgspec.msgpack.encode([100]), msgspec.msgpack.encode([109, 1])]
)
def test_anything_else_is_refused(data: bytes) -> None:
    with pytest.raises(msgspec.DecodeError):
        decode(data)


ROOM = MAX_ENTRY_BYTES - ENTRY_OVERHEAD_BYTES


@pytest.mark.parametrize("records", [(b"x" * (ROOM - 2),), (b"",) * (ROOM // 2), (b"x" * 40,) * (ROOM // 42)])
def test_the_longest_push_fits(records: tuple[bytes, ...]) -> None:
    entry = Entry(200, LARGE, LARGE, LARGE, records)
    assert len(encode(entry)) <= MAX_ENTRY_BYTES
    heads = tuple(Head(topic, LARGE) for topic in range(1, MAX_HEADS + 1))
    assert len(encode(Push(LARGE, 1_604, LARGE, Level.VOTERS, heads, entry))) <= MAX_MESSAGE_BYTES


def test_the_longest_fetch_and_acknowledgement_fit() -> None:
    assert len(encode(Fetch(200, Level.VOTERS, tuple(range(LARGE, LARGE + 16))))) <= MAX_MESSAGE_BYTES
    progress = tuple(TopicProgress(topic, LARGE, 1_604) for topic in range(1, 5))
    rejections = tuple(Rejection(2, LARGE + n, 3, "r" * 60, 1_600) for n in range(4))
    message = fit_to_datagram(Acknowledgement(LARGE, Level.VOTERS, 1_600, progress, rejections))
    assert len(encode(message)) <= MAX_MESSAGE_BYTES
    assert message.rejections
    most = tuple(
        TopicProgress(200 + topic, LARGE, 1_604) for topic in range(DisseminationSettings().max_topics)
    )
    assert (
        len(encode(fit_to_datagram(Acknowledgement(2**60, Level.VOTERS, 1_600, most)))) <= MAX_MESSAGE_BYTES
    )
