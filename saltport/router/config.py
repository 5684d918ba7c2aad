"""The router's configuration, read from the file named by LB_CONFIG and other environment variables."""

from __future__ import annotations

from collections.abc import Iterator, Mapping, Sequence
from dataclasses import dataclass, field, replace
from pathlib import Path
from typing import TYPE_CHECKING, Any

import orjson

from saltport.address import Address, parse_address
from saltport.decisions import Settings
from saltport.decisions.settings import WireError, number, read_settings, typed
from saltport.router.features import (
    AccessLogFeatures,
    FeatureError,
    Features,
    MemcachedFeatures,
    PeerFeatures,
    read_features,
)
from saltport.structures.slot_rankings import MAX_ROWS, ROW_BYTES
from saltport.transport import shortage

if TYPE_CHECKING:
    from saltport.owners.link import OwnersPlan
    from saltport.peers.link import PeerPlan

DEFAULT_MAX_OPEN = 20_000  # client requests that are open at the same time
DEFAULT_DIAL_TIMEOUT_NS = 250_000_000  # of connections to cache servers and the origin
DEFAULT_IDLE_CLOSE_NS = 10_000_000_000  # after which a cache server closes an idle connection
RANKINGS_MEMORY_SHARE = 1 / 16  # part of the memory limit for the rankings of slots
MIN_STORED_RANKINGS = 1024
DEFAULT_MEMORY_MB = 192  # memory limit, above which the platform kills the router
DEFAULT_SOCKETS = 1024  # limit on open file descriptors
START_ONLY_KEYS = {"known", "seed"}  # matter only at a start; a file for a reload may omit them


class ConfigError(Exception):
    """The configuration can't be used; the message is a single line."""


class ConfigUnavailableError(ConfigError):
    """The configuration can't be read for a temporary shortage of resources; a later attempt may succeed."""


@dataclass(frozen=True, slots=True)
class Config:
    """The parsed configuration of a router; times are in nanoseconds."""

    name: str
    listen: Address
    discovery: Address
    seed: int
    settings: Settings
    max_open: int
    """Maximum number of requests that are open at the same time."""
    dial_timeout: int
    idle_close: int
    """Longest time after which a cache server closes an idle connection."""
    memory: int
    """Memory limit in bytes, above which the platform kills the router."""
    sockets: int
    known: Any
    """Last known server list in the form that discovery sends; not validated, and possibly outdated."""
    peers: PeerPlan | None = None
    """This router's address and its peers; None: communication between routers is off."""
    owners: OwnersPlan | None = None
    """Election of one owner for each task of the fleet; None: this router takes no part."""
    failover: bool = False
    """Whether traffic between zones follows the plan that the routers share."""
    memcached: MemcachedFeatures = field(default_factory=MemcachedFeatures)
    access_log: AccessLogFeatures = field(default_factory=AccessLogFeatures)
    admin: Address | None = None
    """Address of the administration interface; None: off."""
    listen_fd: int | None = None
    """Descriptor of the clients' listening socket, if the platform passes one to the process."""
    keys: frozenset[str] = frozenset()
    """Dotted paths of the keys present in the file, without those that matter only at a start."""


def load_config(environ: Mapping[str, str], with_files: Sequence[Path] = ()) -> Config:
    """Return the configuration from the JSON file that the environment variable LB_CONFIG names.

    `with_files` are TOML feature files, each of which configures optional features; their settings take
    precedence over the JSON file, as do other environment variables. Raises ConfigError.
    """
    path = environ.get("LB_CONFIG")
    if not path:
        raise ConfigError("LB_CONFIG is not set")
    try:
        data = typed("the file", orjson.loads(Path(path).read_bytes()), dict)
        config = _parse_config(data, environ)
        features = read_features(with_files)
        return replace(
            config,
            settings=features.settings(config.settings),
            memcached=features.memcached,
            access_log=_check_access_log(features.access_log),
            peers=_peer_plan(features.peers, data, config.name) if features.peers.on else None,
            owners=_owners_plan(features, config.name) if features.owners.on else None,
            failover=features.failover.on,
        )
    except OSError as error:
        kind = ConfigUnavailableError if error.errno in shortage.RESOURCE_ERRORS else ConfigError
        raise kind(f"LB_CONFIG: {error}") from None
    except KeyError as error:
        raise ConfigError(f"{path}: missing field {error.args[0]!r}") from None
    except FeatureError as error:
        raise ConfigError(str(error)) from None
    except (WireError, ValueError, TypeError, AttributeError) as error:
        raise ConfigError(f"{path}: {error}") from None


def reload_config(environ: Mapping[str, str], with_files: Sequence[Path] = ()) -> Config:
    """Return the configuration read again for a running router; raises ConfigError.

    The file's discovery address takes precedence over LB_DISCOVERY, which dates from the process's start.
    """
    return load_config({name: value for name, value in environ.items() if name != "LB_DISCOVERY"}, with_files)


def _positive_or_default(where: str, value: Any, default: int) -> int:
    return default if value is None else int(number(where, value, 1))


def _parse_descriptor(text: str | None) -> int | None:
    if not text:
        return None
    if not text.isdecimal():
        raise ConfigError(f"LB_SOCKET_FD: expected a descriptor's number, got {text!r}")
    return int(text)


def _key_paths(data: dict[str, Any], prefix: str = "") -> Iterator[str]:
    """Yield the dotted path of each key of `data` and of the tables in it."""
    for key, value in data.items():
        yield prefix + key
        if isinstance(value, dict) and key not in START_ONLY_KEYS:
            yield from _key_paths(value, f"{prefix}{key}.")


def _peer_plan(features: PeerFeatures, data: dict[str, Any], name: str) -> PeerPlan:
    """Return this router's address and those of its peers; raises FeatureError."""
    # Danger: these imports must stay local: while the feature is off, its library must not use memory.
    from saltport.peers.envelope import KeyFileError, read_keys
    from saltport.peers.link import PeerPlan, packed
    from saltport.peers.messages import MAX_NAME_BYTES

    if not (data["settings"].get("ceilings") or {}).get("peers"):
        raise FeatureError("peers.on: the settings do not allow routers to talk (settings.ceilings.peers)")
    if not features.key_file:
        raise FeatureError("peers.key_file: must be set")
    if len(name) > MAX_NAME_BYTES or len(features.zone) > MAX_NAME_BYTES:
        raise FeatureError(f"peers: names of routers and zones have at most {MAX_NAME_BYTES} characters")
    listen = features.listen or data.get("peer_listen")
    if not listen:
        raise FeatureError("peers.listen: must be set, as the configuration has no peer_listen")
    try:
        keys = read_keys(Path(features.key_file))
        addresses = [parse_address("peers.listen", listen)]
        addresses += [
            parse_address("peers.peers", peer) for peer in features.peers or data.get("peers") or ()
        ]
        for address in addresses:
            packed(address)
    except KeyFileError as error:
        raise FeatureError(f"peers.key_file: {error}") from None
    except (OSError, ValueError) as error:
        raise FeatureError(str(error) if isinstance(error, ValueError) else "peers: IPv4 only") from None
    return PeerPlan(addresses[0], tuple(addresses[1:]), features.zone, keys)


def _check_access_log(features: AccessLogFeatures) -> AccessLogFeatures:
    """Return `features` unchanged; raises FeatureError if the folder does not exist."""
    if features.folder and not Path(features.folder).is_dir():
        raise FeatureError(f"access_log.folder: {features.folder} is no folder")
    return features


def _owners_plan(features: Features, name: str) -> OwnersPlan:
    """Return the settings of the owner election; raises FeatureError."""
    from saltport.owners.assignments import MAX_TASK_NAME_BYTES
    from saltport.owners.link import OwnersPlan
    from saltport.owners.raft import NS_PER_MS, RaftSettings
    from saltport.owners.settings import OwnerSettings

    owners, max_name_length = features.owners, 14  # messages must fit the datagrams between peers
    if not features.peers.on:
        raise FeatureError("owners.on: needs peers.on")
    if len(owners.voters) not in (3, 5) or len(set(owners.voters)) != len(owners.voters):
        raise FeatureError(f"owners.voters: three or five names, each once; found {len(owners.voters)}")
    if any(not 0 < len(voter) <= max_name_length for voter in (*owners.voters, name)):
        raise FeatureError(f"owners: names of routers have at most {max_name_length} characters")
    if any(not 0 < len(piece) <= MAX_TASK_NAME_BYTES for piece in owners.pieces):
        raise FeatureError(f"owners.pieces: names have 1 to {MAX_TASK_NAME_BYTES} characters")
    if owners.election_ms < 500:
        raise FeatureError("owners.election_ms: must be at least 500, for round trips and short pauses")
    if owners.lease_ms < 2 * owners.election_ms:
        raise FeatureError("owners.lease_ms: must be at least twice owners.election_ms")
    folder = Path(owners.folder) if owners.folder else None
    if folder is not None and name in owners.voters and not folder.is_dir():
        raise FeatureError(f"owners.folder: {folder} is no folder")
    raft = RaftSettings(
        election_timeout=owners.election_ms * NS_PER_MS,
        heartbeat_interval=owners.election_ms * NS_PER_MS // 6,
    )
    lease = owners.lease_ms * NS_PER_MS
    settings = OwnerSettings(lease=lease, renew_interval=lease // 6, raft=raft)
    return OwnersPlan(owners.voters, folder, owners.begin, owners.pieces, owners.trials, settings)


def _stored_rankings(memory_bytes: int) -> int:
    """Return how many slots' rankings are stored, for a memory limit of the process."""
    return min(max(int(memory_bytes * RANKINGS_MEMORY_SHARE) // ROW_BYTES, MIN_STORED_RANKINGS), MAX_ROWS)


def _parse_config(data: dict[str, Any], environ: Mapping[str, str]) -> Config:
    """Return the configuration without the features, from the decoded file and the environment."""
    facts = typed("settings", data["settings"], dict)
    ceilings = facts.get("ceilings") or {}
    limits = typed("limits", data.get("limits") or {}, dict)
    admin = environ.get("LB_ADMIN_ADDR") or data.get("admin_addr")
    memory = _positive_or_default("limits.memory_mb", limits.get("memory_mb"), DEFAULT_MEMORY_MB) << 20
    return Config(
        name=environ.get("LB_NAME") or str(data.get("name") or "router"),
        listen=parse_address("listen", environ.get("LB_LISTEN") or data["listen"]),
        discovery=parse_address("discovery", environ.get("LB_DISCOVERY") or data["discovery"]),
        seed=int(str(data.get("seed") or "0"), 16),
        settings=replace(read_settings(facts), stored_rankings=_stored_rankings(memory)),
        max_open=_positive_or_default("ceilings.maxOpen", ceilings.get("maxOpen"), DEFAULT_MAX_OPEN),
        dial_timeout=_positive_or_default(
            "ceilings.dialTimeoutNs", ceilings.get("dialTimeoutNs"), DEFAULT_DIAL_TIMEOUT_NS
        ),
        idle_close=_positive_or_default(
            "ceilings.idleCloseNs", ceilings.get("idleCloseNs"), DEFAULT_IDLE_CLOSE_NS
        ),
        memory=memory,
        sockets=_positive_or_default("limits.sockets", limits.get("sockets"), DEFAULT_SOCKETS),
        known=data.get("known"),
        admin=parse_address("admin_addr", admin) if admin else None,
        listen_fd=_parse_descriptor(environ.get("LB_SOCKET_FD")),
        keys=frozenset(_key_paths(data)) - START_ONLY_KEYS,
    )
