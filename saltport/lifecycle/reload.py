"""What a new configuration changes in a running router, and what it can't. No I/O."""

from __future__ import annotations

from dataclasses import dataclass, fields, replace

from saltport.decisions import Settings
from saltport.router.config import Config, ConfigError

LIVE = ("settings", "discovery", "peers")
AT_START = ("known", "seed", "keys")  # what tells of a start only, or of the file
SETTINGS_AT_START = (
    "origin_kind", "weighted", "must_subscribe", "load_fields", "slots", "vectors", "hot_keys", "topology",
)  # fmt: skip


@dataclass(frozen=True, slots=True)
class ReloadPlan:
    """A configuration that may be taken, whole."""

    config: Config
    moves: bool
    """Whether discovery is at another address."""
    retunes: bool
    """Whether settings differ."""
    rekeys: bool
    """Whether the keys between routers differ."""
    waits: tuple[str, ...]
    """What differs and has to wait for a restart."""


def plan_reload(held: Config, told: Config) -> ReloadPlan:
    """What to do with a configuration that was read; raises ConfigError where it is incomplete."""
    missing = sorted(held.keys - told.keys)
    if missing:
        raise ConfigError(
            f"missing field {missing[0]!r}" + (f" and {len(missing) - 1} more" * (len(missing) > 1))
        )
    waits = [
        field.name
        for field in fields(Config)
        if field.name not in (*LIVE, *AT_START) and getattr(held, field.name) != getattr(told, field.name)
    ]
    waits += [
        f"settings.{name}"
        for name in SETTINGS_AT_START
        if getattr(held.settings, name) != getattr(told.settings, name)
    ]
    rekeys = held.peers is not None and told.peers is not None and held.peers.keys != told.peers.keys
    peers = replace(held.peers, keys=told.peers.keys) if held.peers and told.peers else held.peers
    if peers != told.peers:
        waits.append("peers")
    settings = _live(held.settings, told.settings)
    config = replace(held, settings=settings, discovery=told.discovery, keys=told.keys, peers=peers)
    moves, retunes = told.discovery != held.discovery, settings != held.settings
    return ReloadPlan(config, moves, retunes, rekeys, tuple(waits))


def _live(held: Settings, told: Settings) -> Settings:
    return replace(told, **{name: getattr(held, name) for name in SETTINGS_AT_START})
