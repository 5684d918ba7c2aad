"""Around each datagram between routers: a version, a key's mark, a MAC; and what was taken already. No I/O.

Two keys hold at a time, so that a fleet can be moved from one to the next router by router: all learn the new
one as their second key, then all sign with it, then the old one is dropped.
"""

from __future__ import annotations

import hmac
from collections import Counter, OrderedDict
from collections.abc import Sequence
from hashlib import blake2b
from pathlib import Path

from saltport.peers.messages import Packet, decode, encode
from saltport.peers.settings import DATAGRAM, MOST_MEMBERS

VERSION = 1
MAC = 16
LEAST_KEY = 16  # bytes
MOST_KEYS = 2
WINDOW = 256  # datagrams of one sender that may come out of order
MOST_SENDERS = MOST_MEMBERS  # with their starts; who was heard longest ago is forgotten first


class KeyFileError(ValueError):
    """A file of keys can't be used; the text is one plain line, without any key."""


def read_keys(path: Path) -> tuple[bytes, ...]:
    """One or two keys in hexadecimal, a line each, the first one signs; raises KeyFileError."""
    try:
        lines = [line.strip() for line in path.read_text("ascii").splitlines()]
    except OSError as error:
        raise KeyFileError(f"{path}: can't be read: {error.strerror or error}") from None
    except UnicodeDecodeError:
        raise KeyFileError(f"{path}: keys are hexadecimal, a line each") from None
    told = [line for line in lines if line and not line.startswith("#")]
    if not 1 <= len(told) <= MOST_KEYS:
        raise KeyFileError(f"{path}: expected one key or two, found {len(told)}")
    try:
        keys = tuple(bytes.fromhex(line) for line in told)
    except ValueError:
        raise KeyFileError(f"{path}: keys are hexadecimal, a line each") from None
    if min(map(len, keys)) < LEAST_KEY:
        raise KeyFileError(f"{path}: a key has at least {LEAST_KEY} bytes")
    return keys


def _mark(key: bytes) -> int:
    return blake2b(key, digest_size=1, person=b"saltport").digest()[0]


class Envelope:
    """Signs what is sent; opens what comes, once."""

    def __init__(self, keys: Sequence[bytes]) -> None:
        self._senders: OrderedDict[tuple[str, int], tuple[int, int]] = OrderedDict()
        """By name and start: the highest counter, and which of the ones below it have come, as bits."""
        self.dropped: Counter[str] = Counter()
        self.use(keys)

    def use(self, keys: Sequence[bytes]) -> None:
        """Sign with the first of these keys from now on, and open what any of them signed."""
        self._head = bytes((VERSION, _mark(keys[0])))
        self._key, self._keys = keys[0], tuple((_mark(key), key) for key in keys)

    def seal(self, packet: Packet) -> bytes:
        """The datagram."""
        told = self._head + encode(packet)
        return told + hmac.digest(self._key, told, "sha256")[:MAC]

    def open(self, datagram: bytes) -> Packet | None:
        """The packet; None: dropped, and counted by the reason."""
        told, reason = self._open(datagram)
        if reason:
            self.dropped[reason] += 1
        return told

    def _open(self, datagram: bytes) -> tuple[Packet | None, str]:
        if len(datagram) > DATAGRAM:
            return None, "over-long"
        if len(datagram) < 2 + MAC:
            return None, "short"
        if datagram[0] != VERSION:
            return None, "another version"
        told, mac = datagram[:-MAC], datagram[-MAC:]
        keys = [key for mark, key in self._keys if mark == datagram[1]]
        if not any(hmac.compare_digest(hmac.digest(key, told, "sha256")[:MAC], mac) for key in keys):
            return None, "forged or another key"
        try:
            packet = decode(told[2:])
        except ValueError:
            return None, "unreadable"
        return (packet, "") if self._is_new(packet) else (None, "replayed")

    def _is_new(self, packet: Packet) -> bool:
        sender, counter = (packet.sender, packet.start), packet.counter
        highest, come = self._senders.get(sender, (counter - 1, 0))
        if counter > highest:
            come = (come << min(counter - highest, WINDOW) | 1) & ((1 << WINDOW) - 1)
            highest = counter
        else:
            bit = 1 << (highest - counter)
            if highest - counter >= WINDOW or come & bit:
                return False
            come |= bit
        self._senders[sender] = (highest, come)
        self._senders.move_to_end(sender)
        if len(self._senders) > MOST_SENDERS:
            self._senders.popitem(last=False)
        return True
