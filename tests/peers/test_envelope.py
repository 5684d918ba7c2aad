"""What gets through between routers, and what is dropped and counted."""

from __future__ import annotations

import random
from itertools import pairwise
from pathlib import Path

import pytest

from saltport.peers.envelope import WINDOW, Envelope, KeyFileError, read_keys
from saltport.peers.messages import Gossip, Packet, Ping

OLD, NEW = b"o" * 32, b"n" * 32


def packet(counter: int, sender: str = "r1", start: int = 1) -> Packet:
    return Packet(sender, start, counter, 0, 0, Ping(counter))


def test_one_datagram_is_taken_once_in_any_order_within_the_window() -> None:
    mine, theirs = Envelope([OLD]), Envelope([OLD])
    told = [mine.seal(packet(counter)) for counter in range(WINDOW)]
    random.Random(1).shuffle(told)
    assert sum(theirs.open(datagram) is not None for datagram in told) == WINDOW
    assert all(theirs.open(datagram) is None for datagram in told)
    assert theirs.dropped == {"replayed": WINDOW}
    assert theirs.open(mine.seal(packet(10 * WINDOW))) is not None
    assert theirs.open(mine.seal(packet(9 * WINDOW))) is None  # too far behind to be told from a replay
    assert theirs.open(mine.seal(packet(0, start=2))) is not None  # a new start counts from the beginning


def test_forged_long_short_and_strange_ones_are_dropped_by_the_thousand() -> None:
    mine, rng = Envelope([OLD]), random.Random(2)
    good = mine.seal(packet(1))
    for _ in range(2_000):
        place = rng.randrange(len(good))
        assert (
            mine.open(good[:place] + bytes([good[place] ^ (1 + rng.randrange(255))]) + good[place + 1 :])
            is None
        )
        assert mine.open(rng.randbytes(rng.randrange(257, 1_000))) is None
        assert mine.open(rng.randbytes(rng.randrange(18))) is None
    assert mine.dropped["over-long"] == mine.dropped["short"] == 2_000
    assert mine.dropped["forged or another key"] + mine.dropped["another version"] == 2_000
    assert mine.open(good) == packet(1)
    unread = Envelope([OLD])
    unread._head = bytes(unread._head)
    assert unread.open(mine.seal(Packet("", 1, 1, 0, 0, Gossip()))) is None
    assert unread.dropped == {"unreadable": 1}


def test_keys_are_rolled_router_by_router() -> None:
    """All learn the new key, then all sign with it, then the old one goes: at each step all are heard."""
    steps = [(OLD,), (OLD, NEW), (NEW, OLD), (NEW,)]
    for before, after in pairwise(steps):
        one, other = Envelope(before), Envelope(after)
        assert other.open(one.seal(packet(1))) is not None
        assert one.open(other.seal(packet(1))) is not None
    assert Envelope((NEW,)).open(Envelope((OLD,)).seal(packet(1))) is None


def test_key_files_are_told_without_the_key(tmp_path: Path) -> None:
    path = tmp_path / "keys"
    path.write_text(f"# first signs\n{OLD.hex()}\n\n{NEW.hex()}\n")
    assert read_keys(path) == (OLD, NEW)
    for text, words in [
        ("", "found 0"),
        ("aa\n" * 3, "found 3"),
        ("zz" * 16, "hexadecimal"),
        ("é", "hexadecimal"),
        ("ab" * 15, "at least 16 bytes"),
    ]:
        path.write_text(text)
        with pytest.raises(KeyFileError, match=words) as told:
            read_keys(path)
        assert not text or text not in str(told.value)
    with pytest.raises(KeyFileError, match="can't be read"):
        read_keys(tmp_path / "none")
