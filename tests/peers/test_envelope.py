"""The envelope of datagrams: signatures, replays, keys, and the counts of dropped datagrams."""

from __future__ import annotations

import random
from itertools import pairwise
from pathlib import Path

import pytest

from saltport.peers.envelope import REPLAY_WINDOW, Envelope, KeyFileError, read_keys
from saltport.peers.messages import Gossip, Packet, Ping

OLD, NEW = b"o" * 32, b"n" * 32


def packet(counter: int, sender: str = "r1", start: int = 1) -> Packet:
    return Packet(sender, start, counter, 0, 0, Ping(counter))


def test_one_datagram_is_accepted_once_in_any_order_within_the_window() -> None:
    sender, receiver = Envelope([OLD]), Envelope([OLD])
    datagrams = [sender.seal(packet(counter)) for counter in range(REPLAY_WINDOW)]
    random.Random(1).shuffle(datagrams)
    assert sum(receiver.open(datagram) is not None for datagram in datagrams) == REPLAY_WINDOW
    assert all(receiver.open(datagram) is None for datagram in datagrams)
    assert receiver.dropped == {"replayed": REPLAY_WINDOW}
    assert receiver.open(sender.seal(packet(10 * REPLAY_WINDOW))) is not None
    # Too far behind to be distinguished from a replay.
    assert receiver.open(sender.seal(packet(9 * REPLAY_WINDOW))) is None
    # The counters of a new start begin again.
    assert receiver.open(sender.seal(packet(0, start=2))) is not None


def test_forged_long_and_short_datagrams_are_dropped_and_counted() -> None:
    envelope, rng = Envelope([OLD]), random.Random(2)
    valid = envelope.seal(packet(1))
    for _ in range(2_000):
        index = rng.randrange(len(valid))
        assert (
            envelope.open(
                valid[:index] + bytes([valid[index] ^ (1 + rng.randrange(255))]) + valid[index + 1 :]
            )
            is None
        )
        assert envelope.open(rng.randbytes(rng.randrange(257, 1_000))) is None
        assert envelope.open(rng.randbytes(rng.randrange(18))) is None
    assert envelope.dropped["over-long"] == envelope.dropped["short"] == 2_000
    assert envelope.dropped["forged or another key"] + envelope.dropped["another version"] == 2_000
    assert envelope.open(valid) == packet(1)
    other = Envelope([OLD])
    other._head = bytes(other._head)
    assert other.open(envelope.seal(Packet("", 1, 1, 0, 0, Gossip()))) is None
    assert other.dropped == {"unreadable": 1}


def test_keys_are_changed_router_by_router() -> None:
    """All add the new key, then all sign with it, then the old one is removed: at each step all understand
    each other.
    """
    steps = [(OLD,), (OLD, NEW), (NEW, OLD), (NEW,)]
    for before, after in pairwise(steps):
        one, other = Envelope(before), Envelope(after)
        assert other.open(one.seal(packet(1))) is not None
        assert one.open(other.seal(packet(1))) is not None
    assert Envelope((NEW,)).open(Envelope((OLD,)).seal(packet(1))) is None


def test_key_file_errors_do_not_reveal_the_key(tmp_path: Path) -> None:
    path = tmp_path / "keys"
    path.write_text(f"# first signs\n{OLD.hex()}\n\n{NEW.hex()}\n")
    assert read_keys(path) == (OLD, NEW)
    for text, message in [
        ("", "found 0"),
        ("aa\n" * 3, "found 3"),
        ("zz" * 16, "hexadecimal"),
        ("é", "hexadecimal"),
        ("ab" * 15, "at least 16 bytes"),
    ]:
        path.write_text(text)
        with pytest.raises(KeyFileError, match=message) as error:
            read_keys(path)
        assert not text or text not in str(error.value)
    with pytest.raises(KeyFileError, match="can't be read"):
        read_keys(tmp_path / "none")
