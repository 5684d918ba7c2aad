"""Which parts of a new configuration a running router applies, and which need a restart. No I/O."""

from __future__ import annotations

from dataclasses import dataclass, fields, replace

from saltport.decisions import Settings
from saltport.router.config import Config, ConfigError

RELOADABLE_FIELDS = ("settings", "discovery", "peers")
NOT_COMPARED_FIELDS = ("known", "seed", "keys")  # they matter only at start, or describe the file itself
RESTART_ONLY_SETTINGS = (
    "origin_kind", "weighted", "must_subscribe", "load_fields", "slots", "vectors", "hot_keys", "topology",
)  # fmt: skip


@dataclass(frozen=True, slots=True)
class ReloadPlan:
    """The effects of a valid new configuration on a running router."""

    config: Config
    """The configuration in force after the reload."""
    discovery_changed: bool
    """Whether the address of discovery changes."""
    settings_changed: bool
    """Whether settings change."""
    peer_keys_changed: bool
    """Whether the keys for messages between routers change."""
    restart_required: tuple[str, ...]
    """Names of the fields and settings that differ but change only at a restart."""


def plan_reload(current: Config, loaded: Config) -> ReloadPlan:
    """Return the effects of a newly loaded configuration; raises ConfigError if it lacks a current field."""
    missing = sorted(current.keys - loaded.keys)
    if missing:
        raise ConfigError(
            f"missing field {missing[0]!r}" + (f" and {len(missing) - 1} more" * (len(missing) > 1))
        )
    restart_required = [
        field.name
        for field in fields(Config)
        if field.name not in (*RELOADABLE_FIELDS, *NOT_COMPARED_FIELDS)
        and getattr(current, field.name) != getattr(loaded, field.name)
    ]
    restart_required += [
        f"settings.{name}"
        for name in RESTART_ONLY_SETTINGS
        if getattr(current.settings, name) != getattr(loaded.settings, name)
    ]
    peer_keys_changed = (
        current.peers is not None and loaded.peers is not None and current.peers.keys != loaded.peers.keys
    )
    peers = (
        replace(current.peers, keys=loaded.peers.keys) if current.peers and loaded.peers else current.peers
    )
    if peers != loaded.peers:
        restart_required.append("peers")
    settings = _reloadable_settings(current.settings, loaded.settings)
    config = replace(current, settings=settings, discovery=loaded.discovery, keys=loaded.keys, peers=peers)
    discovery_changed, settings_changed = loaded.discovery != current.discovery, settings != current.settings
    return ReloadPlan(config, discovery_changed, settings_changed, peer_keys_changed, tuple(restart_required))


def _reloadable_settings(current: Settings, loaded: Settings) -> Settings:
    """Return the loaded settings with the restart-only ones replaced by their current values."""
    return replace(loaded, **{name: getattr(current, name) for name in RESTART_ONLY_SETTINGS})
