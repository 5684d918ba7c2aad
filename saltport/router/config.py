"""What a router is told at its start: the file named by LB_CONFIG and the variables beside it."""

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
from saltport.transport import shortage

if TYPE_CHECKING:
    from saltport.owners.link import OwnersPlan
    from saltport.peers.link import PeerPlan

DEFAULT_MAX_OPEN = 20_000
DEFAULT_DIAL_TIMEOUT_NS = 250_000_000
DEFAULT_IDLE_CLOSE_NS = 10_000_000_000
DEFAULT_MEMORY_MB = 192
DEFAULT_SOCKETS = 1024
OPTIONAL = {"known", "seed"}  # keys of the file that tell of a start, and may be missing from a later one


class ConfigError(Exception):
    """The configuration can't be used; the text is one plain line."""


class ConfigUnreadError(ConfigError):
    """This machine is short of what reading takes: the same file may be read a moment later."""


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
    known: Any
    """The list of servers as last held, in discovery's form; it may be old, or no list at all."""
    peers: PeerPlan | None = None
    """Where this router is among those it knows; None: it knows none."""
    owners: OwnersPlan | None = None
    """One owner at a time for the fleet's work; None: it takes no part."""
    failover: bool = False
    """Whether zones go by common plans."""
    memcached: MemcachedFeatures = field(default_factory=MemcachedFeatures)
    access_log: AccessLogFeatures = field(default_factory=AccessLogFeatures)
    admin: Address | None = None
    """Where operators call; None: nowhere."""
    listen_fd: int | None = None
    """The descriptor of the clients' listening socket, where the platform holds it."""
    keys: frozenset[str] = frozenset()
    """The paths of the keys that the file has."""


def load_config(environ: Mapping[str, str], with_files: Sequence[Path] = ()) -> Config:
    """Read the configuration and the files of features; the variables go before what the file says."""
    path = environ.get("LB_CONFIG")
    if not path:
        raise ConfigError("LB_CONFIG is not set")
    try:
        told = typed("the file", orjson.loads(Path(path).read_bytes()), dict)
        config = _config(told, environ)
        features = read_features(with_files)
        return replace(
            config,
            settings=features.settings(config.settings),
            memcached=features.memcached,
            access_log=_access_log(features.access_log),
            peers=_peers(features.peers, told, config.name) if features.peers.on else None,
            owners=_owners(features, config.name) if features.owners.on else None,
            failover=features.failover.on,
        )
    except OSError as error:
        kind = ConfigUnreadError if error.errno in shortage.OF_RESOURCES else ConfigError
        raise kind(f"LB_CONFIG: {error}") from None
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
    return default if value is None else int(number(where, value, 1))


def _descriptor(told: str | None) -> int | None:
    if not told:
        return None
    if not told.isdecimal():
        raise ConfigError(f"LB_SOCKET_FD: expected a descriptor's number, got {told!r}")
    return int(told)


def _paths(told: dict[str, Any], under: str = "") -> Iterator[str]:
    for key, value in told.items():
        yield under + key
        if isinstance(value, dict) and key not in OPTIONAL:
            yield from _paths(value, f"{under}{key}.")


def _peers(features: PeerFeatures, told: dict[str, Any], name: str) -> PeerPlan:
    """Where this router is among its peers; raises FeatureError."""
    # Danger: where it is off, not even its library is imported: memory counts.
    from saltport.peers.envelope import KeyFileError, read_keys
    from saltport.peers.link import PeerPlan, packed
    from saltport.peers.messages import MOST_NAME

    if not (told["settings"].get("ceilings") or {}).get("peers"):
        raise FeatureError("peers.on: the settings do not allow routers to talk (settings.ceilings.peers)")
    if not features.key_file:
        raise FeatureError("peers.key_file: must be set")
    if len(name) > MOST_NAME or len(features.zone) > MOST_NAME:
        raise FeatureError(f"peers: names of routers and zones have at most {MOST_NAME} characters")
    listen = features.listen or told.get("peer_listen")
    if not listen:
        raise FeatureError("peers.listen: must be set, as the configuration has no peer_listen")
    try:
        keys = read_keys(Path(features.key_file))
        addresses = [parse_address("peers.listen", listen)]
        addresses += [
            parse_address("peers.peers", peer) for peer in features.peers or told.get("peers") or ()
        ]
        for address in addresses:
            packed(address)
    except KeyFileError as error:
        raise FeatureError(f"peers.key_file: {error}") from None
    except (OSError, ValueError) as error:
        raise FeatureError(str(error) if isinstance(error, ValueError) else "peers: IPv4 only") from None
    return PeerPlan(addresses[0], tuple(addresses[1:]), features.zone, keys)


def _access_log(features: AccessLogFeatures) -> AccessLogFeatures:
    """The same; raises FeatureError where its folder is none."""
    if features.folder and not Path(features.folder).is_dir():
        raise FeatureError(f"access_log.folder: {features.folder} is no folder")
    return features


def _owners(features: Features, name: str) -> OwnersPlan:
    """The plan of ownership; raises FeatureError."""
    from saltport.owners.assignments import MAX_TASK_NAME_BYTES
    from saltport.owners.link import OwnersPlan
    from saltport.owners.raft import NS_PER_MS, RaftSettings
    from saltport.owners.settings import OwnerSettings

    told, longest = features.owners, 14  # of a router's name: messages must fit the peers' datagrams
    if not features.peers.on:
        raise FeatureError("owners.on: needs peers.on")
    if len(told.voters) not in (3, 5) or len(set(told.voters)) != len(told.voters):
        raise FeatureError(f"owners.voters: three or five names, each once; found {len(told.voters)}")
    if any(not 0 < len(voter) <= longest for voter in (*told.voters, name)):
        raise FeatureError(f"owners: names of routers have at most {longest} characters")
    if any(not 0 < len(piece) <= MAX_TASK_NAME_BYTES for piece in told.pieces):
        raise FeatureError(f"owners.pieces: names have 1 to {MAX_TASK_NAME_BYTES} characters")
    if told.election_ms < 500:
        raise FeatureError("owners.election_ms: must be at least 500, for round trips and short pauses")
    if told.lease_ms < 2 * told.election_ms:
        raise FeatureError("owners.lease_ms: must be at least twice owners.election_ms")
    folder = Path(told.folder) if told.folder else None
    if folder is not None and name in told.voters and not folder.is_dir():
        raise FeatureError(f"owners.folder: {folder} is no folder")
    raft = RaftSettings(
        election_timeout=told.election_ms * NS_PER_MS, heartbeat_interval=told.election_ms * NS_PER_MS // 6
    )
    lease = told.lease_ms * NS_PER_MS
    settings = OwnerSettings(lease=lease, renew_interval=lease // 6, raft=raft)
    return OwnersPlan(told.voters, folder, told.begin, told.pieces, told.trials, settings)


def _config(told: dict[str, Any], environ: Mapping[str, str]) -> Config:
    facts = typed("settings", told["settings"], dict)
    ceilings = facts.get("ceilings") or {}
    limits = typed("limits", told.get("limits") or {}, dict)
    admin = environ.get("LB_ADMIN_ADDR") or told.get("admin_addr")
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
        known=told.get("known"),
        admin=parse_address("admin_addr", admin) if admin else None,
        listen_fd=_descriptor(environ.get("LB_SOCKET_FD")),
        keys=frozenset(_paths(told)) - OPTIONAL,
    )
