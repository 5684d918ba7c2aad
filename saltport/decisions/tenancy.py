"""Whose a key is, where its wire does not say: by the longest prefix that is known. No I/O."""

from __future__ import annotations

from collections.abc import Mapping

MAX_PREFIXES = 4096
MAX_PREFIX = 250  # bytes: the longest key of memcached


class Prefixes:
    """Prefixes of keys and the tenants that they belong to; the longest that fits counts."""

    def __init__(self, told: Mapping[str, str], otherwise: str | None) -> None:
        """`otherwise`: whose all other keys are. Raises ValueError where a prefix is empty or too long."""
        if len(told) > MAX_PREFIXES:
            raise ValueError(f"{len(told)} prefixes; {MAX_PREFIXES} at most")
        self._otherwise = otherwise
        by_length: dict[int, dict[bytes, str]] = {}
        for prefix, tenant in told.items():
            raw = prefix.encode()
            if not 0 < len(raw) <= MAX_PREFIX or b" " in raw:
                raise ValueError(f"{prefix!r} is no prefix of a key")
            by_length.setdefault(len(raw), {})[raw] = tenant
        # One look-up for each length that occurs, however many prefixes there are.
        self._by_length = sorted(by_length.items(), reverse=True)

    def tenant(self, key: bytes) -> str | None:
        """The tenant of a key; None: of no tenant."""
        for length, tenants in self._by_length:
            if (found := tenants.get(key[:length])) is not None:
                return found
        return self._otherwise
