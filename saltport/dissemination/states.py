"""State that a router builds from a topic's entries: interface, purges and configuration."""

from __future__ import annotations

from collections import OrderedDict
from collections.abc import Callable
from dataclasses import dataclass
from typing import Protocol

import msgspec
from msgspec import Struct


class TopicState(Protocol):
    """State built from a topic's records in order; `save` and `load` serve snapshots."""

    def apply(self, number: int, record: bytes) -> str:
        """Apply a record of entry `number`; return why it is refused, or an empty string."""

    def save(self) -> bytes:
        """Return the state after the last record, encoded."""

    def load(self, number: int, data: bytes) -> None:
        """Replace the state by a snapshot taken after entry `number`; raise ValueError if unreadable."""


class UnknownTopic:
    """State of a topic of a later release: its entries are logged and relayed, but not applied."""

    def apply(self, number: int, record: bytes) -> str:
        """Refuse the record, because this release does not know its meaning."""
        return "unknown topic"

    def save(self) -> bytes:
        """Not supported: a router that knows the topic must ask one that applies it."""
        raise NotImplementedError

    def load(self, number: int, data: bytes) -> None:
        """Ignore the snapshot."""


@dataclass(frozen=True, slots=True)
class FetchToken:
    """Marks when a fetch of an object began."""

    last_purge: int
    """Number of the last purge entry applied when the fetch began."""


class Purges:
    """Recent purges by key, so that the result of a fetch overtaken by a purge is not stored or served.

    Only the latest purges are remembered individually. A fetch that began before the oldest of them counts as
    overtaken, and so does a fetch that began before a snapshot was loaded, whose purges are not known
    individually.
    """

    def __init__(
        self, max_purges: int, purge: Callable[[bytes], None], invalidate_all: Callable[[], None]
    ) -> None:
        self._purge, self._invalidate_all = purge, invalidate_all
        self._max_purges = max_purges
        self._latest: OrderedDict[bytes, int] = OrderedDict()
        self._floor = self._applied = 0
        """`_floor`: fetches that began before this purge entry all count as overtaken."""

    def apply(self, number: int, record: bytes) -> str:
        """Purge the object whose key is `record`."""
        self._applied = number
        self._latest[record] = number
        self._latest.move_to_end(record)
        if len(self._latest) > self._max_purges:
            self._floor = max(self._floor, self._latest.popitem(last=False)[1])
        self._purge(record)
        return ""

    def begin_fetch(self) -> FetchToken:
        """Return the token of a fetch; call before the first byte of its request is sent."""
        return FetchToken(self._applied)

    def overtaken(self, key: bytes, token: FetchToken) -> bool:
        """Whether a key may have been purged since the fetch with this token began.

        If so, the caller must discard the result of the fetch and fetch again.
        """
        return token.last_purge < max(self._floor, self._latest.get(key, 0))

    def save(self) -> bytes:
        """Return no data, because loading a snapshot of purges invalidates everything stored before."""
        return b""

    def load(self, number: int, data: bytes) -> None:
        """Invalidate all stored objects, because purges up to `number` are not known individually."""
        self._floor = max(self._floor, self._applied, number)
        self._applied = number
        self._latest.clear()
        self._invalidate_all()


class Change(Struct, frozen=True, array_like=True):
    """A configuration record: a key and its new value; an empty value restores the default."""

    key: str
    value: bytes


_decoder: msgspec.msgpack.Decoder[Change] = msgspec.msgpack.Decoder(Change)


def pack_change(key: str, value: bytes) -> bytes:
    """Encode a configuration record."""
    return msgspec.msgpack.encode(Change(key, value))


class Configuration:
    """Configuration values by key; an invalid change is refused with a reason and the old value stays."""

    def __init__(self, check: Callable[[str, bytes], str], max_keys: int = 4_096) -> None:
        self._check, self._max_keys = check, max_keys
        self.values: dict[str, bytes] = {}

    def apply(self, number: int, record: bytes) -> str:
        """Apply a change unless it is invalid; return why it is refused, or an empty string."""
        try:
            change = _decoder.decode(record)
        except ValueError:
            return "unreadable change"
        if not change.value:
            self.values.pop(change.key, None)
            return ""
        if change.key not in self.values and len(self.values) >= self._max_keys:
            return "too many keys"
        if reason := self._check(change.key, change.value):
            return reason
        self.values[change.key] = change.value
        return ""

    def save(self) -> bytes:
        """Return all values, encoded."""
        return msgspec.msgpack.encode(self.values)

    def load(self, number: int, data: bytes) -> None:
        """Replace all values by those of a snapshot; raise ValueError if it is unreadable."""
        self.values = msgspec.msgpack.decode(data, type=dict[str, bytes])
