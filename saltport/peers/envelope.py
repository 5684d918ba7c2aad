"""The envelope of each datagram between routers: version, key id, MAC, and detection of replays. No I/O.

Two keys are valid at a time, so a fleet changes keys router by router: all add the new key as their second
one, then all sign with it, then the old key is removed.
"""

from __future__ import annotations

import hmac
from collections import Counter, OrderedDict
from collections.abc import Sequence
from hashlib import blake2b
from pathlib import Path

from saltport.peers.messages import Packet, decode, encode
from saltport.peers.settings import MAX_DATAGRAM_BYTES, MAX_MEMBERS

VERSION = 1  # version of the envelope's format, in the first byte of a datagram
MAC_BYTES = 16
MIN_KEY_BYTES = 16
MAX_KEYS = 2  # limit of the keys that are valid at a time
REPLAY_WINDOW = 256  # number of datagrams by which one of a sender may arrive out of order
MAX_SENDERS = MAX_MEMBERS  # limit of the sender processes remembered; the least recently heard is evicted


class KeyFileError(ValueError):
    """A key file cannot be used; the text is one line and contains no key."""


def read_keys(path: Path) -> tuple[bytes, ...]:
    """Return the one or two keys of a file of hexadecimal lines; the first one signs.

    Raises KeyFileError.
    """
    try:
        lines = [line.strip() for line in path.read_text("ascii").splitlines()]
    except OSError as error:
        raise KeyFileError(f"{path}: can't be read: {error.strerror or error}") from None
    except UnicodeDecodeError:
        raise KeyFileError(f"{path}: expected hexadecimal keys, one per line") from None
    key_lines = [line for line in lines if line and not line.startswith("#")]
    if not 1 <= len(key_lines) <= MAX_KEYS:
        raise KeyFileError(f"{path}: expected one key or two, found {len(key_lines)}")
    try:
        keys = tuple(bytes.fromhex(line) for line in key_lines)
    except ValueError:
        raise KeyFileError(f"{path}: expected hexadecimal keys, one per line") from None
    if min(map(len, keys)) < MIN_KEY_BYTES:
        raise KeyFileError(f"{path}: a key must have at least {MIN_KEY_BYTES} bytes")
    return keys


def _key_id(key: bytes) -> int:
    """Return the one-byte id of a key that is sent in the datagram."""
    return blake2b(key, digest_size=1, person=b"saltport").digest()[0]


class Envelope:
    """Signs outgoing datagrams, and verifies each incoming one and accepts it once."""

    def __init__(self, keys: Sequence[bytes]) -> None:
        self._senders: OrderedDict[tuple[str, int], tuple[int, int]] = OrderedDict()
        """By sender name and start: the highest counter, and a bit mask of those received up to it."""
        self.dropped: Counter[str] = Counter()
        self.use_keys(keys)

    def use_keys(self, keys: Sequence[bytes]) -> None:
        """Sign with the first of these keys from now on, and accept datagrams signed with any of them."""
        self._head = bytes((VERSION, _key_id(keys[0])))
        self._key, self._keys = keys[0], tuple((_key_id(key), key) for key in keys)

    def seal(self, packet: Packet) -> bytes:
        """Return the signed datagram of a packet."""
        signed = self._head + encode(packet)
        return signed + hmac.digest(self._key, signed, "sha256")[:MAC_BYTES]

    def open(self, datagram: bytes) -> Packet | None:
        """Return the packet of a datagram, or None where it is dropped, which is counted by reason."""
        packet, reason = self._open(datagram)
        if reason:
            self.dropped[reason] += 1
        return packet

    def _open(self, datagram: bytes) -> tuple[Packet | None, str]:
        """Return the packet and an empty text, or None and the reason for dropping the datagram."""
        if len(datagram) > MAX_DATAGRAM_BYTES:
            return None, "over-long"
        if len(datagram) < 2 + MAC_BYTES:
            return None, "short"
        if datagram[0] != VERSION:
            return None, "another version"
        signed, mac = datagram[:-MAC_BYTES], datagram[-MAC_BYTES:]
        keys = [key for key_id, key in self._keys if key_id == datagram[1]]
        if not any(hmac.compare_digest(hmac.digest(key, signed, "sha256")[:MAC_BYTES], mac) for key in keys):
            return None, "forged or another key"
        try:
            packet = decode(signed[2:])
        except ValueError:
            return None, "unreadable"
        return (packet, "") if self._is_new(packet) else (None, "replayed")

    def _is_new(self, packet: Packet) -> bool:
        """Whether a packet was not received before; records it as received."""
        sender, counter = (packet.sender, packet.start), packet.counter
        highest_counter, received = self._senders.get(sender, (counter - 1, 0))
        if counter > highest_counter:
            received = (received << min(counter - highest_counter, REPLAY_WINDOW) | 1) & (
                (1 << REPLAY_WINDOW) - 1
            )
            highest_counter = counter
        else:
            bit = 1 << (highest_counter - counter)
            if highest_counter - counter >= REPLAY_WINDOW or received & bit:
                return False
            received |= bit
        self._senders[sender] = (highest_counter, received)
        self._senders.move_to_end(sender)
        if len(self._senders) > MAX_SENDERS:
            self._senders.popitem(last=False)
        return True
