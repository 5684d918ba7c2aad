"""Reads the `[dissemination]` table of a configuration file. No I/O."""

from __future__ import annotations

import tomllib
from typing import Annotated

import msgspec
from msgspec import Meta, Struct

from saltport.dissemination.settings import NS_PER_MS, DisseminationSettings

Milliseconds = Annotated[int, Meta(ge=10, le=60_000)]
Count = Annotated[int, Meta(ge=1, le=65_536)]
Relays = Annotated[int, Meta(ge=1, le=16)]
Rate = Annotated[int, Meta(ge=1_000, le=100_000_000)]

DEFAULT = DisseminationSettings()  # gives the defaults of the table's keys


class DisseminationConfigError(ValueError):
    """The table is invalid; the text is one line that names the fault."""


class DisseminationTable(Struct, frozen=True, forbid_unknown_fields=True):
    """Keys of the table; times are in milliseconds, and byte rates in bytes per second."""

    on: bool = False
    batch_ms: Milliseconds = DEFAULT.batch_interval // NS_PER_MS
    fresh_for_ms: Milliseconds = DEFAULT.fresh_for // NS_PER_MS
    lease_ms: Milliseconds = DEFAULT.lease // NS_PER_MS
    region_relays: Relays = DEFAULT.region_relays
    site_relays: Relays = DEFAULT.site_relays
    retained_entries: Count = DEFAULT.retained_entries
    pending_entries: Count = DEFAULT.pending_entries
    bytes_per_s: Rate = DEFAULT.bytes_per_s
    burst_bytes: Rate = DEFAULT.burst_bytes
    messages_per_s: Count = DEFAULT.messages_per_s

    def settings(self) -> DisseminationSettings:
        """Convert the table to the settings of routers and voters."""
        return DisseminationSettings(
            batch_interval=self.batch_ms * NS_PER_MS,
            silence_timeout=self.batch_ms * NS_PER_MS * 7 // 5,
            fresh_for=self.fresh_for_ms * NS_PER_MS,
            lease=self.lease_ms * NS_PER_MS,
            region_relays=self.region_relays,
            site_relays=self.site_relays,
            retained_entries=self.retained_entries,
            pending_entries=self.pending_entries,
            bytes_per_s=self.bytes_per_s,
            burst_bytes=self.burst_bytes,
            messages_per_s=self.messages_per_s,
        )


class _File(Struct, frozen=True):
    dissemination: DisseminationTable = DisseminationTable()


def read_table(text: str) -> DisseminationTable:
    """Parse a configuration file's text, ignoring other tables; raise DisseminationConfigError."""
    try:
        table = msgspec.convert(tomllib.loads(text), _File).dissemination
    except tomllib.TOMLDecodeError as error:
        raise DisseminationConfigError(f"not TOML: {error}") from None
    except msgspec.ValidationError as error:
        raise DisseminationConfigError(f"dissemination: {error}") from None
    if table.fresh_for_ms <= table.lease_ms + table.batch_ms:
        raise DisseminationConfigError("fresh_for_ms must be longer than lease_ms and batch_ms")
    return table
