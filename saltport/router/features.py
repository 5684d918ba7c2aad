"""Feature files: TOML files named by `--with`, for settings that the platform's configuration can't express.

A file has a section for each subsystem. All features are off by default. An unknown name is an error, so that
a typing error does not go unnoticed.
"""

from __future__ import annotations

import importlib.util
import tomllib
from collections.abc import Callable, Sequence
from dataclasses import dataclass, field, replace
from pathlib import Path
from typing import TYPE_CHECKING, Any

from saltport.address import parse_address
from saltport.decisions import Effect, Fill, HotKeySettings, Settings
from saltport.decisions.interface import DEFAULT_SLOTS
from saltport.decisions.tenancy import Prefixes
from saltport.transport import shortage

if TYPE_CHECKING:
    from saltport.decisions.topology import Topology

_HOT_KEY_DEFAULTS = HotKeySettings()


class FeatureError(ValueError):
    """A feature file can't be used; the message is a single line."""


@dataclass(frozen=True, slots=True)
class TableFeatures:
    """`[table]`: the slot table, which maps keys to cache servers."""

    slots: int = DEFAULT_SLOTS
    vectors: bool = False


@dataclass(frozen=True, slots=True)
class OverloadFeatures:
    """`[overload]`: load shedding when the router's own CPU is the bottleneck; `target_ms` 0: off."""

    target_ms: int = 0


@dataclass(frozen=True, slots=True)
class HotKeyFeatures:
    """`[hot_keys]`: replication of keys that are too hot for one cache server; `fill` empty: off."""

    fill: str = ""
    max_keys: int = _HOT_KEY_DEFAULTS.max_keys
    max_copies: int = _HOT_KEY_DEFAULTS.max_copies
    max_bytes: int = _HOT_KEY_DEFAULTS.max_bytes
    max_value: int = _HOT_KEY_DEFAULTS.max_value
    lease_ms: int = _HOT_KEY_DEFAULTS.lease // 1_000_000
    capacity: int = _HOT_KEY_DEFAULTS.capacity
    fair_shares: float = _HOT_KEY_DEFAULTS.fair_shares

    def settings(self) -> HotKeySettings | None:
        """Return the decision module's settings, or None if the feature is off; raises ValueError."""
        if not self.fill:
            return None
        return HotKeySettings(
            Fill(self.fill), self.max_keys, self.max_copies, self.max_bytes, self.max_value,
            self.lease_ms * 1_000_000, self.capacity, float(self.fair_shares),
        )  # fmt: skip


@dataclass(frozen=True, slots=True)
class MemcachedFeatures:
    """`[memcached]`: clients that speak the memcached binary protocol."""

    shared: bool = False
    """Whether the RESP listener also accepts memcached clients, recognized by their first byte."""
    listen: str = ""
    """HOST:PORT of a listener for memcached clients only; empty: none."""
    read_class: str = ""
    write_class: str = ""
    delete_class: str = ""
    tenant: str = ""
    """Tenant of the keys that no prefix matches; empty: none."""
    tenant_prefixes: dict[str, str] = field(default_factory=dict)
    """Tenants by key prefix; the longest matching prefix applies."""
    deadline_ms: int = 0

    def tenants(self) -> Prefixes:
        """Return the mapping from keys to tenants; raises ValueError."""
        return Prefixes(self.tenant_prefixes, self.tenant or None)

    @property
    def on(self) -> bool:
        """Whether any listener accepts memcached clients."""
        return self.shared or bool(self.listen)


@dataclass(frozen=True, slots=True)
class PeerFeatures:
    """`[peers]`: communication between routers; needs a key, and settings that allow it."""

    on: bool = False
    key_file: str = ""
    """File with one or two hexadecimal keys, one per line; the first one signs messages."""
    zone: str = ""
    """Zone of this router; reports from other routers are evaluated by zone."""
    listen: str = ""
    """HOST:PORT; empty: `peer_listen` of the configuration."""
    peers: tuple[str, ...] = ()
    """HOST:PORT of each peer; empty: `peers` of the configuration."""


@dataclass(frozen=True, slots=True)
class OwnerFeatures:
    """`[owners]`: election of one owner at a time for each task of the fleet; needs `[peers]`."""

    on: bool = False
    voters: tuple[str, ...] = ()
    """Names of the three or five routers that vote."""
    folder: str = ""
    """Folder of a voter's persistent state; empty: it has no persistent disk."""
    begin: bool = False
    """Whether voters start with an empty state; only for the first start of a fleet."""
    pieces: tuple[str, ...] = ()
    """Names of the operators' tasks, each of which gets an owner."""
    trials: bool = False
    """Whether trials of an ejected server are made only by the router that owns them."""
    lease_ms: int = 3_000
    election_ms: int = 1_500


@dataclass(frozen=True, slots=True)
class TopologyFeatures:
    """`[topology]`: zones and their distances; without zones all servers count as equally near."""

    zones: tuple[str, ...] = ()
    here: str = ""
    """Zone of this router; empty: `zone` of `[peers]`."""
    regions: dict[str, str] = field(default_factory=dict)
    """Region of each zone."""
    costs: dict[str, Any] = field(default_factory=dict)
    """Round-trip time in milliseconds, by ZONE/ZONE."""
    origins: dict[str, str] = field(default_factory=dict)
    """Server id of the origin of each region."""
    capacity: dict[str, Any] = field(default_factory=dict)
    """Requests per second that one server can handle, by zone."""

    def read(self, zone: str) -> Topology | None:
        """Return the decision module's topology, or None without zones; raises FeatureError."""
        if not self.zones:
            return None
        from saltport.router.zones import read_topology  # imported only if the feature is on

        try:
            return read_topology(
                self.zones, self.here or zone, self.regions, self.costs, self.origins, self.capacity
            )
        except ValueError as error:
            raise FeatureError(str(error)) from None


@dataclass(frozen=True, slots=True)
class FailoverFeatures:
    """`[failover]`: shared plans for traffic between zones; needs `[topology]` and `[owners]`."""

    on: bool = False


@dataclass(frozen=True, slots=True)
class AccessLogFeatures:
    """`[access_log]`: a log of accepted requests and their final answers, in one file per process."""

    folder: str = ""
    """Folder of the log files; empty: off."""
    max_mb: int = 256
    """Size in megabytes at which a file is rotated, replacing the previously rotated one."""


@dataclass(frozen=True, slots=True)
class Features:
    """All sections of the feature files."""

    table: TableFeatures = TableFeatures()
    overload: OverloadFeatures = OverloadFeatures()
    memcached: MemcachedFeatures = MemcachedFeatures()
    hot_keys: HotKeyFeatures = HotKeyFeatures()
    peers: PeerFeatures = PeerFeatures()
    owners: OwnerFeatures = OwnerFeatures()
    topology: TopologyFeatures = TopologyFeatures()
    failover: FailoverFeatures = FailoverFeatures()
    access_log: AccessLogFeatures = AccessLogFeatures()

    def settings(self, settings: Settings) -> Settings:
        """Return `settings` with the features added; raises ValueError."""
        if self.memcached.on:
            _check_memcached(self.memcached, settings)
        if self.hot_keys.fill and settings.origin_kind is None:
            raise FeatureError(
                "hot_keys.fill: the settings name no origin, so cache servers fetch values themselves"
            )
        if self.hot_keys.fill and self.topology.zones:
            raise FeatureError("topology.zones: hot_keys.fill is on, and both at once are not built yet")
        if self.failover.on and not (self.topology.zones and self.owners.on):
            raise FeatureError("failover.on: needs topology.zones and owners.on")
        return replace(
            settings,
            hot_keys=self.hot_keys.settings(),
            topology=self.topology.read(self.peers.zone),
            slots=self.table.slots,
            vectors=self.table.vectors,
            overload_target=self.overload.target_ms * 1_000_000,
        )


def _check_memcached(features: MemcachedFeatures, settings: Settings) -> None:
    """Check `features` against the settings; raises FeatureError."""
    classes = {known.name: known for known in settings.classes}
    for name in ("read_class", "write_class", "delete_class"):
        if getattr(features, name) not in classes:
            raise FeatureError(
                f"memcached.{name}: {getattr(features, name)!r} is none of {', '.join(classes)}"
            )
    if classes[features.read_class].effect is not Effect.SAFE:
        raise FeatureError(
            f"memcached.read_class: repeats of {features.read_class!r} are unsafe; reads need a safe class"
        )
    known = {tenant.name for tenant in settings.tenants}
    if features.tenant and features.tenant not in known:
        raise FeatureError(f"memcached.tenant: {features.tenant!r} is unknown")
    for prefix, tenant in features.tenant_prefixes.items():
        if tenant not in known:
            raise FeatureError(f"memcached.tenant_prefixes: {prefix!r}: {tenant!r} is unknown")
    try:
        features.tenants()
    except ValueError as error:
        raise FeatureError(f"memcached.tenant_prefixes: {error}") from None
    if not features.deadline_ms:
        raise FeatureError("memcached.deadline_ms: must be above 0, as the protocol carries no deadlines")
    if features.listen:
        try:
            parse_address("memcached.listen", features.listen)
        except ValueError as error:
            raise FeatureError(str(error)) from None


def _is_int(value: Any) -> bool:
    return isinstance(value, int) and not isinstance(value, bool)


def _is_number(value: Any) -> bool:
    return isinstance(value, int | float) and not isinstance(value, bool)


def _is_milliseconds(value: Any) -> bool:
    return _is_int(value) and 0 <= value <= 60_000


def _is_positive(value: Any) -> bool:
    return _is_int(value) and value > 0


def _is_fill(value: Any) -> bool:
    return value in ("", *(fill.value for fill in Fill))


def _is_text(value: Any) -> bool:
    return isinstance(value, str)


def _is_name_table(value: Any) -> bool:
    return isinstance(value, dict) and all(map(_is_text, value.values()))


def _is_table(value: Any) -> bool:
    return isinstance(value, dict)


def _is_text_list(value: Any) -> bool:
    return isinstance(value, list) and all(map(_is_text, value))


def _is_bool(value: Any) -> bool:
    return isinstance(value, bool)


_VALIDATORS: dict[str, dict[str, tuple[Callable[[Any], bool], str]]] = {
    "table": {"slots": (_is_int, "an integer"), "vectors": (_is_bool, "true or false")},
    "overload": {"target_ms": (_is_milliseconds, "milliseconds, an integer from 0 to 60000")},
    "memcached": {
        "shared": (_is_bool, "true or false"),
        "listen": (_is_text, "host:port, or nothing"),
        "read_class": (_is_text, "the name of a class"),
        "write_class": (_is_text, "the name of a class"),
        "delete_class": (_is_text, "the name of a class"),
        "tenant": (_is_text, "the name of a tenant, or nothing"),
        "tenant_prefixes": (_is_name_table, "a table of prefixes and names of tenants"),
        "deadline_ms": (_is_milliseconds, "milliseconds, an integer from 0 to 60000"),
    },
    "peers": {
        "on": (_is_bool, "true or false"),
        "key_file": (_is_text, "a file's path"),
        "zone": (_is_text, "the name of a zone, or nothing"),
        "listen": (_is_text, "host:port, or nothing"),
        "peers": (_is_text_list, "a list of host:port"),
    },
    "owners": {
        "on": (_is_bool, "true or false"),
        "voters": (_is_text_list, "a list of routers' names"),
        "folder": (_is_text, "a folder, or nothing"),
        "begin": (_is_bool, "true or false"),
        "pieces": (_is_text_list, "a list of names"),
        "trials": (_is_bool, "true or false"),
        "lease_ms": (_is_milliseconds, "milliseconds, an integer from 0 to 60000"),
        "election_ms": (_is_milliseconds, "milliseconds, an integer from 0 to 60000"),
    },
    "topology": {
        "zones": (_is_text_list, "a list of names"),
        "here": (_is_text, "the name of a zone, or nothing"),
        "regions": (_is_name_table, "a table of zones and names of regions"),
        "costs": (_is_table, "a table of ZONE/ZONE and milliseconds"),
        "origins": (_is_name_table, "a table of regions and servers' ids"),
        "capacity": (_is_table, "a table of zones and requests per second"),
    },
    "failover": {"on": (_is_bool, "true or false")},
    "access_log": {
        "folder": (_is_text, "a folder, or nothing"),
        "max_mb": (_is_positive, "megabytes, an integer above 0"),
    },
    "hot_keys": {
        "fill": (_is_fill, '"reads", "writes" or nothing'),
        "max_keys": (_is_int, "an integer"),
        "max_copies": (_is_int, "an integer"),
        "max_bytes": (_is_int, "bytes, an integer"),
        "max_value": (_is_int, "bytes, an integer"),
        "lease_ms": (_is_int, "milliseconds, an integer"),
        "capacity": (_is_int, "an integer"),
        "fair_shares": (_is_number, "a number"),
    },
}
_SECTION_CLASSES: dict[str, Callable[..., Any]] = {
    "table": TableFeatures,
    "overload": OverloadFeatures,
    "memcached": MemcachedFeatures,
    "hot_keys": HotKeyFeatures,
    "peers": lambda peers=(), **values: PeerFeatures(peers=tuple(peers), **values),
    "owners": lambda voters=(), pieces=(), **values: OwnerFeatures(
        voters=tuple(voters), pieces=tuple(pieces), **values
    ),
    "topology": lambda zones=(), **values: TopologyFeatures(zones=tuple(zones), **values),
    "failover": FailoverFeatures,
    "access_log": AccessLogFeatures,
}


def read_features(paths: Sequence[Path]) -> Features:
    """Return the features of all files; a later file overrides the values of an earlier one.

    Raises FeatureError, and OSError if the machine is temporarily short of resources.
    """
    sections: dict[str, dict[str, Any]] = {}
    for path in paths:
        try:
            file_sections = tomllib.loads(path.read_text())
        except OSError as error:
            if error.errno in shortage.RESOURCE_ERRORS:
                raise
            raise FeatureError(f"{path}: can't be read: {error.strerror or error}") from None
        except (tomllib.TOMLDecodeError, UnicodeDecodeError) as error:
            raise FeatureError(f"{path}: not valid TOML: {error}") from None
        for section, values in file_sections.items():
            _check_section(path, section, values)
            sections.setdefault(section, {}).update(values)
    features = Features(
        **{section: _SECTION_CLASSES[section](**values) for section, values in sections.items()}
    )
    if features.table.vectors and importlib.util.find_spec("numpy") is None:
        raise FeatureError("table.vectors: numpy is not installed")
    return features


def _check_section(path: Path, section: str, values: Any) -> None:
    """Check the names and types of a section's values; raises FeatureError."""
    known = _VALIDATORS.get(section)
    if known is None or not isinstance(values, dict):
        raise FeatureError(f"{path}: unknown section [{section}]; known are {', '.join(_VALIDATORS)}")
    for name, value in values.items():
        if name not in known:
            raise FeatureError(f"{path}: {section}.{name} is unknown; known are {', '.join(known)}")
        is_valid, expected = known[name]
        if not is_valid(value):
            raise FeatureError(f"{path}: {section}.{name}: expected {expected}, got {value!r}")
