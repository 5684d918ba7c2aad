"""What a router is told at its start: the file named by LB_CONFIG and the variables beside it."""

from __future__ import annotations

from collections.abc import Mapping, Sequence
from dataclasses import dataclass, field, replace
from pathlib import Path
from typing import Any

import orjson

from saltport.address import Address, parse_address
from saltport.decisions import Settings
from saltport.decisions.settings import WireError, read_settings, typed
from saltport.router.features import FeatureError, MemcachedFeatures, read_features

DEFAULT_MAX_OPEN = 20_000
DEFAULT_DIAL_TIMEOUT_NS = 250_000_000
DEFAULT_IDLE_CLOSE_NS = 10_000_000_000
DEFAULT_MEMORY_MB = 192
DEFAULT_SOCKETS = 1024


class ConfigError(Exception):
    """The configuration can't be used; the text is one plain line."""


@dataclass(frozen=True, slots=True)
class Config:
    """The configuration in the router's own terms; times are nanoseconds."""

    name: str
    listen: Address
    discovery: Address
    seed: int
    settings: Settings
    max_open: int
    """Most requests open at a time."""
    dial_timeout: int
    idle_close: int
    """After so long at the latest a cache server closes an idle connection."""
    memory: int
    """Bytes; over this the router is killed."""
    sockets: int
    known: dict[str, Any] | None
    """The list of servers as last held, in discovery's form; it may be old."""
    memcached: MemcachedFeatures = field(default_factory=MemcachedFeatures)
    admin_socket: str = ""
    """Where the operator may ask for the state; empty: nowhere."""


def load_config(environ: Mapping[str, str], with_files: Sequence[Path] = ()) -> Config:
    """Read the configuration and the files of features; the variables go before what the file says."""
    path = environ.get("LB_CONFIG")
    if not path:
        raise ConfigError("LB_CONFIG is not set")
    try:
        config = _config(typed("the file", orjson.loads(Path(path).read_bytes()), dict), environ)
        features = read_features(with_files)
        return replace(
            config,
            settings=features.settings(config.settings),
            memcached=features.memcached,
            admin_socket=features.admin.socket.replace("{name}", config.name),
        )
    except OSError as error:
        raise ConfigError(f"LB_CONFIG: {error}") from None
    except KeyError as error:
        raise ConfigError(f"{path}: missing field {error.args[0]!r}") from None
    except FeatureError as error:
        raise ConfigError(str(error)) from None
    except (WireError, ValueError, TypeError, AttributeError) as error:
        raise ConfigError(f"{path}: {error}") from None


def reload_config(environ: Mapping[str, str], with_files: Sequence[Path] = ()) -> Config:
    """Read the file again for a running router.

    What it says of discovery goes before the variable: that is as old as the process.
    """
    return load_config({name: value for name, value in environ.items() if name != "LB_DISCOVERY"}, with_files)


def _positive(where: str, value: Any, default: int) -> int:
    if value is None:
        return default
    if isinstance(value, bool) or not isinstance(value, (int, float)) or value < 1:
        raise ValueError(f"{where}: expected a number of at least 1, got {value!r}")
    return int(value)


def _config(told: dict[str, Any], environ: Mapping[str, str]) -> Config:
    facts = typed("settings", told["settings"], dict)
    ceilings = facts.get("ceilings") or {}
    limits = typed("limits", told.get("limits") or {}, dict)
    known = told.get("known")
    return Config(
        name=environ.get("LB_NAME") or str(told.get("name") or "router"),
        listen=parse_address("listen", environ.get("LB_LISTEN") or told["listen"]),
        discovery=parse_address("discovery", environ.get("LB_DISCOVERY") or told["discovery"]),
        seed=int(str(told.get("seed") or "0"), 16),
        settings=read_settings(facts),
        max_open=_positive("ceilings.maxOpen", ceilings.get("maxOpen"), DEFAULT_MAX_OPEN),
        dial_timeout=_positive(
            "ceilings.dialTimeoutNs", ceilings.get("dialTimeoutNs"), DEFAULT_DIAL_TIMEOUT_NS
        ),
        idle_close=_positive("ceilings.idleCloseNs", ceilings.get("idleCloseNs"), DEFAULT_IDLE_CLOSE_NS),
        memory=_positive("limits.memory_mb", limits.get("memory_mb"), DEFAULT_MEMORY_MB) << 20,
        sockets=_positive("limits.sockets", limits.get("sockets"), DEFAULT_SOCKETS),
        known=typed("known", known, dict) if known is not None else None,
    )
