"""The ids of requests that may have taken effect, and must not do so again under the same id. No I/O.

A client never uses an id twice, so a request whose id is known is a copy of an earlier one: sent again after
its client had left, or at the other process of an upgrade. Ids are kept as digests, as a client chooses their
length, and the oldest are forgotten first. Times are in nanoseconds.
"""

from __future__ import annotations

from collections.abc import Iterator
from hashlib import blake2b

from saltport.decisions.interface import NS_PER_S

DIGEST_BYTES = 16
ENTRY_BYTES = 200  # memory of one id
MIN_IDS = 1024
KEPT_FOR_NS = 600 * NS_PER_S


def digest_of(request_id: bytes) -> bytes:
    """Return the digest of an id, the same in every process."""
    return blake2b(request_id, digest_size=DIGEST_BYTES).digest()


class UsedIds:
    """A bounded set of digests with the time of each."""

    def __init__(self, memory_bytes: int) -> None:
        """`memory_bytes`: for all ids; at least MIN_IDS are kept."""
        self._limit = max(memory_bytes // ENTRY_BYTES, MIN_IDS)
        self._used_at: dict[bytes, int] = {}  # the oldest first

    def __contains__(self, digest: bytes) -> bool:
        return digest in self._used_at

    def __len__(self) -> int:
        return len(self._used_at)

    def __iter__(self) -> Iterator[bytes]:
        return iter(list(self._used_at))

    def add(self, digest: bytes, now: int) -> None:
        """Add the id of a request that is about to be sent to a server."""
        self._used_at.pop(digest, None)
        self._used_at[digest] = now
        while len(self._used_at) > self._limit or self._is_oldest_expired(now):
            del self._used_at[next(iter(self._used_at))]

    def discard(self, digest: bytes) -> None:
        """Forget the id of a request that surely never ran."""
        self._used_at.pop(digest, None)

    def _is_oldest_expired(self, now: int) -> bool:
        return now - next(iter(self._used_at.values())) > KEPT_FOR_NS
