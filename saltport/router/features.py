"""What the platform's configuration has no place for: files named by `--with`, a section for each subsystem.

Everything in them is off by default. A name that nobody knows is a fault, so that a slip of the pen is told.
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

_HOT = HotKeySettings()


class FeatureError(ValueError):
    """A file of features can't be used; the text is one plain line."""


@dataclass(frozen=True, slots=True)
class TableFeatures:
    """`[table]`: the slot table of large fleets."""

    slots: int = DEFAULT_SLOTS
    vectors: bool = False


@dataclass(frozen=True, slots=True)
class OverloadFeatures:
    """`[overload]`: shedding when the router's own CPU is the bottleneck; 0: never."""

    target_ms: int = 0


@dataclass(frozen=True, slots=True)
class HotKeyFeatures:
    """`[hot_keys]`: keys too hot for one node on several; `fill` empty: off."""

    fill: str = ""
    max_keys: int = _HOT.max_keys
    max_copies: int = _HOT.max_copies
    max_bytes: int = _HOT.max_bytes
    max_value: int = _HOT.max_value
    lease_ms: int = _HOT.lease // 1_000_000
    capacity: int = _HOT.capacity
    fair_shares: float = _HOT.fair_shares

    def settings(self) -> HotKeySettings | None:
        """The module's settings, or nothing where it is off; raises ValueError."""
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
    """Whether the router's own listener takes them beside RESP, told apart by the first byte."""
    listen: str = ""
    """A listener for them alone; empty: none."""
    read_class: str = ""
    write_class: str = ""
    delete_class: str = ""
    tenant: str = ""
    """Of all keys without a prefix of their own; empty: of none."""
    tenant_prefixes: dict[str, str] = field(default_factory=dict)
    """By prefix of the key, the longest that fits."""
    deadline_ms: int = 0

    def tenants(self) -> Prefixes:
        """Whose keys are; raises ValueError."""
        return Prefixes(self.tenant_prefixes, self.tenant or None)

    @property
    def on(self) -> bool:
        """Whether any listener takes them."""
        return self.shared or bool(self.listen)


@dataclass(frozen=True, slots=True)
class PeerFeatures:
    """`[peers]`: routers that know one another; needs a key, and settings that allow it."""

    on: bool = False
    key_file: str = ""
    """One key or two in hexadecimal, a line each; the first one signs."""
    zone: str = ""
    """Of this router; zones are told apart in what is heard of others."""
    listen: str = ""
    """HOST:PORT; empty: `peer_listen` of the configuration."""
    peers: tuple[str, ...] = ()
    """By number; empty: `peers` of the configuration."""


@dataclass(frozen=True, slots=True)
class OwnerFeatures:
    """`[owners]`: one owner at a time for the fleet's work; needs `[peers]`."""

    on: bool = False
    voters: tuple[str, ...] = ()
    """Three or five names of routers."""
    folder: str = ""
    """Where a voter keeps its state; empty: it has no lasting disk."""
    begin: bool = False
    """At the first start of a fleet only: voters begin with an empty state."""
    pieces: tuple[str, ...] = ()
    """Names of work that operators have done."""
    trials: bool = False
    """Whether servers that were taken out are tried by one owner each."""
    lease_ms: int = 3_000
    election_ms: int = 1_500


@dataclass(frozen=True, slots=True)
class TopologyFeatures:
    """`[topology]`: zones, nearest first; without any all servers are equally near."""

    zones: tuple[str, ...] = ()
    here: str = ""
    """Of this router; empty: `zone` of `[peers]`."""
    regions: dict[str, str] = field(default_factory=dict)
    """By zone."""
    costs: dict[str, Any] = field(default_factory=dict)
    """By ZONE/ZONE, milliseconds of a round trip."""
    origins: dict[str, str] = field(default_factory=dict)
    """By region: the id of its origin."""
    capacity: dict[str, Any] = field(default_factory=dict)
    """By zone: requests a second that one server can do."""

    def read(self, zone: str) -> Topology | None:
        """The module's form, None where it is off; raises FeatureError."""
        if not self.zones:
            return None
        from saltport.router.zones import read_topology  # only where it is on

        try:
            return read_topology(
                self.zones, self.here or zone, self.regions, self.costs, self.origins, self.capacity
            )
        except ValueError as error:
            raise FeatureError(str(error)) from None


@dataclass(frozen=True, slots=True)
class FailoverFeatures:
    """`[failover]`: zones by common plans; needs `[topology]` and `[owners]`."""

    on: bool = False


@dataclass(frozen=True, slots=True)
class AccessLogFeatures:
    """`[access_log]`: each accepted request and its final answer, in a file for each process."""

    folder: str = ""
    """Where the files stand; empty: off."""
    max_mb: int = 256
    """Size at which a file is set aside, in the place of the one set aside before."""


@dataclass(frozen=True, slots=True)
class Features:
    """All sections."""

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
        """The module's settings with what these files say; raises ValueError."""
        if self.memcached.on:
            _check_memcached(self.memcached, settings)
        if self.hot_keys.fill and settings.origin_kind is None:
            raise FeatureError("hot_keys.fill: the settings name no origin, and nodes fetch for themselves")
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


def _check_memcached(told: MemcachedFeatures, settings: Settings) -> None:
    """What can only be told from the settings; raises FeatureError."""
    classes = {known.name: known for known in settings.classes}
    for name in ("read_class", "write_class", "delete_class"):
        if getattr(told, name) not in classes:
            raise FeatureError(f"memcached.{name}: {getattr(told, name)!r} is none of {', '.join(classes)}")
    if classes[told.read_class].effect is not Effect.SAFE:
        raise FeatureError(f"memcached.read_class: repeats of {told.read_class!r} do harm; reads' do not")
    known = {tenant.name for tenant in settings.tenants}
    if told.tenant and told.tenant not in known:
        raise FeatureError(f"memcached.tenant: {told.tenant!r} is unknown")
    for prefix, tenant in told.tenant_prefixes.items():
        if tenant not in known:
            raise FeatureError(f"memcached.tenant_prefixes: {prefix!r}: {tenant!r} is unknown")
    try:
        told.tenants()
    except ValueError as error:
        raise FeatureError(f"memcached.tenant_prefixes: {error}") from None
    if not told.deadline_ms:
        raise FeatureError("memcached.deadline_ms: must be above 0, as the wire tells no deadlines")
    if told.listen:
        try:
            parse_address("memcached.listen", told.listen)
        except ValueError as error:
            raise FeatureError(str(error)) from None


def _int(value: Any) -> bool:
    return isinstance(value, int) and not isinstance(value, bool)


def _number(value: Any) -> bool:
    return isinstance(value, int | float) and not isinstance(value, bool)


def _milliseconds(value: Any) -> bool:
    return _int(value) and 0 <= value <= 60_000


def _positive(value: Any) -> bool:
    return _int(value) and value > 0


def _fill(value: Any) -> bool:
    return value in ("", *(fill.value for fill in Fill))


def _text(value: Any) -> bool:
    return isinstance(value, str)


def _names(value: Any) -> bool:
    return isinstance(value, dict) and all(map(_text, value.values()))


def _table(value: Any) -> bool:
    return isinstance(value, dict)


def _addresses(value: Any) -> bool:
    return isinstance(value, list) and all(map(_text, value))


def _bool(value: Any) -> bool:
    return isinstance(value, bool)


_KINDS: dict[str, dict[str, tuple[Callable[[Any], bool], str]]] = {
    "table": {"slots": (_int, "a whole number"), "vectors": (_bool, "true or false")},
    "overload": {"target_ms": (_milliseconds, "milliseconds, a whole number from 0 to 60000")},
    "memcached": {
        "shared": (_bool, "true or false"),
        "listen": (_text, "host:port, or nothing"),
        "read_class": (_text, "the name of a class"),
        "write_class": (_text, "the name of a class"),
        "delete_class": (_text, "the name of a class"),
        "tenant": (_text, "the name of a tenant, or nothing"),
        "tenant_prefixes": (_names, "a table of prefixes and names of tenants"),
        "deadline_ms": (_milliseconds, "milliseconds, a whole number from 0 to 60000"),
    },
    "peers": {
        "on": (_bool, "true or false"),
        "key_file": (_text, "a file's path"),
        "zone": (_text, "the name of a zone, or nothing"),
        "listen": (_text, "host:port, or nothing"),
        "peers": (_addresses, "a list of host:port"),
    },
    "owners": {
        "on": (_bool, "true or false"),
        "voters": (_addresses, "a list of routers' names"),
        "folder": (_text, "a folder, or nothing"),
        "begin": (_bool, "true or false"),
        "pieces": (_addresses, "a list of names"),
        "trials": (_bool, "true or false"),
        "lease_ms": (_milliseconds, "milliseconds, a whole number from 0 to 60000"),
        "election_ms": (_milliseconds, "milliseconds, a whole number from 0 to 60000"),
    },
    "topology": {
        "zones": (_addresses, "a list of names"),
        "here": (_text, "the name of a zone, or nothing"),
        "regions": (_names, "a table of zones and names of regions"),
        "costs": (_table, "a table of ZONE/ZONE and milliseconds"),
        "origins": (_names, "a table of regions and servers' ids"),
        "capacity": (_table, "a table of zones and requests a second"),
    },
    "failover": {"on": (_bool, "true or false")},
    "access_log": {
        "folder": (_text, "a folder, or nothing"),
        "max_mb": (_positive, "megabytes, a whole number above 0"),
    },
    "hot_keys": {
        "fill": (_fill, '"reads", "writes" or nothing'),
        "max_keys": (_int, "a whole number"),
        "max_copies": (_int, "a whole number"),
        "max_bytes": (_int, "bytes, a whole number"),
        "max_value": (_int, "bytes, a whole number"),
        "lease_ms": (_int, "milliseconds, a whole number"),
        "capacity": (_int, "a whole number"),
        "fair_shares": (_number, "a number"),
    },
}
_SECTIONS: dict[str, Callable[..., Any]] = {
    "table": TableFeatures,
    "overload": OverloadFeatures,
    "memcached": MemcachedFeatures,
    "hot_keys": HotKeyFeatures,
    "peers": lambda peers=(), **told: PeerFeatures(peers=tuple(peers), **told),
    "owners": lambda voters=(), pieces=(), **told: OwnerFeatures(
        voters=tuple(voters), pieces=tuple(pieces), **told
    ),
    "topology": lambda zones=(), **told: TopologyFeatures(zones=tuple(zones), **told),
    "failover": FailoverFeatures,
    "access_log": AccessLogFeatures,
}


def read_features(paths: Sequence[Path]) -> Features:
    """Read the files; a name set twice counts as the last file says.

    Raises FeatureError, and OSError while the machine is short of what reading takes.
    """
    told: dict[str, dict[str, Any]] = {}
    for path in paths:
        try:
            sections = tomllib.loads(path.read_text())
        except OSError as error:
            if error.errno in shortage.RESOURCE_ERRORS:
                raise
            raise FeatureError(f"{path}: can't be read: {error.strerror or error}") from None
        except (tomllib.TOMLDecodeError, UnicodeDecodeError) as error:
            raise FeatureError(f"{path}: no TOML: {error}") from None
        for section, values in sections.items():
            _check(path, section, values)
            told.setdefault(section, {}).update(values)
    features = Features(**{section: _SECTIONS[section](**values) for section, values in told.items()})
    if features.table.vectors and importlib.util.find_spec("numpy") is None:
        raise FeatureError("table.vectors: numpy is not installed")
    return features


def _check(path: Path, section: str, values: Any) -> None:
    known = _KINDS.get(section)
    if known is None or not isinstance(values, dict):
        raise FeatureError(f"{path}: unknown section [{section}]; there are {', '.join(_KINDS)}")
    for name, value in values.items():
        if name not in known:
            raise FeatureError(f"{path}: {section}.{name} is unknown; there are {', '.join(known)}")
        is_good, words = known[name]
        if not is_good(value):
            raise FeatureError(f"{path}: {section}.{name}: expected {words}, got {value!r}")
