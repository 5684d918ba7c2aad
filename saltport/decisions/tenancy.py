"""The tenant of a key, for protocols that do not state it: by the longest configured prefix."""

from __future__ import annotations

from collections.abc import Mapping

MAX_PREFIXES = 4096  # of keys, that assign requests to tenants
MAX_PREFIX_BYTES = 250  # the longest key of memcached


class Prefixes:
    """A mapping of key prefixes to tenants; the longest matching prefix decides."""

    def __init__(self, tenant_of_prefix: Mapping[str, str], default_tenant: str | None) -> None:
        """Create the mapping; keys without a prefix belong to `default_tenant`.

        Raises ValueError if there are too many prefixes, or one is empty, too long or contains a space.
        """
        if len(tenant_of_prefix) > MAX_PREFIXES:
            raise ValueError(f"{len(tenant_of_prefix)} prefixes; {MAX_PREFIXES} at most")
        self._default_tenant = default_tenant
        by_length: dict[int, dict[bytes, str]] = {}
        for prefix, tenant in tenant_of_prefix.items():
            raw = prefix.encode()
            if not 0 < len(raw) <= MAX_PREFIX_BYTES or b" " in raw:
                raise ValueError(f"{prefix!r} is not a valid key prefix")
            by_length.setdefault(len(raw), {})[raw] = tenant
        # A look-up takes one step per distinct length, whatever the number of prefixes.
        self._by_length = sorted(by_length.items(), reverse=True)

    def tenant(self, key: bytes) -> str | None:
        """Return the tenant of a key, or None if it has none."""
        for length, tenants in self._by_length:
            if (found := tenants.get(key[:length])) is not None:
                return found
        return self._default_tenant
