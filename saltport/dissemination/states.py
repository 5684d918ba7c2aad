"""What a topic's entries make at a router: an interface, and the states of purges and configuration."""

from __future__ import annotations

from collections import OrderedDict
from collections.abc import Callable
from dataclasses import dataclass
from typing import Protocol

import msgspec
from msgspec import Struct


class TopicState(Protocol):
    """Applies records in order; `save` and `load` are for snapshots."""

    def apply(self, number: int, record: bytes) -> str:
        """Take a record of entry `number`; returns why it is refused, empty: it is in force."""

    def save(self) -> bytes:
        """The state after the last record."""

    def load(self, number: int, data: bytes) -> None:
        """Start from a snapshot taken after entry `number`; raises ValueError."""


class UnknownTopic:
    """A topic of a later release: logged and relayed, applied by nobody here."""

    def apply(self, number: int, record: bytes) -> str:
        """Refused: this release doesn't know what it means."""
        return "unknown topic"

    def save(self) -> bytes:
        """Nothing: who knows the topic must ask one that applies it."""
        raise NotImplementedError

    def load(self, number: int, data: bytes) -> None:
        """Nothing is kept."""


@dataclass(frozen=True, slots=True)
class FetchToken:
    """Handed out when a fetch of an object begins."""

    last_purge: int
    """The last purge entry that was applied then."""


class Purges:
    """Which objects were purged when, so that a fetch that was overtaken by a purge isn't stored or served.

    The latest purges are remembered one by one. A fetch that began before the oldest of them counts as
    overtaken, and so does each fetch that began before a snapshot was loaded: the purges in it aren't known
    one by one.
    """

    def __init__(
        self, max_purges: int, purge: Callable[[bytes], None], invalidate_all: Callable[[], None]
    ) -> None:
        self._purge, self._invalidate_all = purge, invalidate_all
        self._max_purges = max_purges
        self._latest: OrderedDict[bytes, int] = OrderedDict()
        self._floor = self._applied = 0

    def apply(self, number: int, record: bytes) -> str:
        """A record is the key of an object; its stored answers are dropped."""
        self._applied = number
        self._latest[record] = number
        self._latest.move_to_end(record)
        if len(self._latest) > self._max_purges:
            self._floor = max(self._floor, self._latest.popitem(last=False)[1])
        self._purge(record)
        return ""

    def begin_fetch(self) -> FetchToken:
        """Call before the first byte of the question leaves."""
        return FetchToken(self._applied)

    def overtaken(self, key: bytes, token: FetchToken) -> bool:
        """Whether what this fetch brought may be older than a purge: don't store it, and fetch anew."""
        return token.last_purge < max(self._floor, self._latest.get(key, 0))

    def save(self) -> bytes:
        """Nothing: a snapshot of purges voids all that was stored before it."""
        return b""

    def load(self, number: int, data: bytes) -> None:
        """Purges up to `number` aren't known one by one: nothing stored before may be served."""
        self._floor = max(self._floor, self._applied, number)
        self._applied = number
        self._latest.clear()
        self._invalidate_all()


class Change(Struct, frozen=True, array_like=True):
    """A configuration record: one key's new value, empty: the default."""

    key: str
    value: bytes


_decoder: msgspec.msgpack.Decoder[Change] = msgspec.msgpack.Decoder(Change)


def pack_change(key: str, value: bytes) -> bytes:
    """A configuration record."""
    return msgspec.msgpack.encode(Change(key, value))


class Configuration:
    """Values in force by key. A bad change is refused with its reason, and the old value stays in force."""

    def __init__(self, check: Callable[[str, bytes], str], max_keys: int = 4_096) -> None:
        self._check, self._max_keys = check, max_keys
        self.values: dict[str, bytes] = {}

    def apply(self, number: int, record: bytes) -> str:
        """Take a change if `check` has nothing against it."""
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
        """All values in force."""
        return msgspec.msgpack.encode(self.values)

    def load(self, number: int, data: bytes) -> None:
        """From a snapshot; raises ValueError."""
        self.values = msgspec.msgpack.decode(data, type=dict[str, bytes])
