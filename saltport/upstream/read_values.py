"""Whether a second copy of an answer can be recognized by its value, before its connection settles. No I/O.

A second copy has the value of the answer before it, and a read of another key has another value, as long as
values differ from key to key. That is learned from the answers of all servers that can't be copies.
"""

from __future__ import annotations

from typing import NamedTuple

MIN_DIFFERENT_VALUES = 8  # in a row, each of another key than the one before


class ReadValue(NamedTuple):
    """The value that a read returned; only its hash is kept, to save memory."""

    key: bytes
    value_hash: int

    def is_repeated_by(self, other: ReadValue) -> bool:
        """Whether a read of another key had the same value."""
        return self.value_hash == other.value_hash and self.key != other.key


class ReadValues:
    """What is known of the values that reads return."""

    def __init__(self) -> None:
        self._latest: ReadValue | None = None
        self._different_values = 0

    @property
    def differ(self) -> bool:
        """Whether the latest reads of different keys had different values."""
        return self._different_values >= MIN_DIFFERENT_VALUES

    def learn(self, value: ReadValue) -> None:
        """Record the value of an answer that can't be a copy."""
        latest, self._latest = self._latest, value
        if latest is None or latest.key == value.key:
            return
        self._different_values = 0 if latest.is_repeated_by(value) else self._different_values + 1

    def copy_received(self) -> None:
        """Record an answer that repeats another key's value: a copy, or two keys with one value."""
        self._different_values = 0
