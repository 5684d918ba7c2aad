"""A deployment for stand-ins: classes, tenants, what nodes and the origin can do, and the router's settings.

The defaults follow the size that the project is made for; a file or a test may change any of them.
"""

from __future__ import annotations

from dataclasses import asdict, dataclass, fields, replace
from typing import Any

MS = 1_000_000


@dataclass(frozen=True, slots=True)
class ClassProfile:
    """A class of requests as clients send it; times are milliseconds."""

    name: str
    share: float
    work_ms: tuple[float, float]
    aim_ms: int
    deadline_ms: int
    semantics: str = "retryable"
    window_ms: int = 0

    @property
    def write(self) -> bool:
        """Whether it is a write: here every class that is not safe to repeat."""
        return self.semantics != "retryable"


@dataclass(frozen=True, slots=True)
class Profile:
    """What stand-ins, load and audit agree on; times are milliseconds, sizes bytes."""

    classes: tuple[ClassProfile, ...] = (
        ClassProfile("fetch", 0.97, (35.0, 64.0), 300, 1200),
        ClassProfile("yank", 0.022, (43.0, 77.0), 500, 1000, "dedup", 5000),
        ClassProfile("publish", 0.008, (58.0, 100.0), 500, 1200, "dedup", 2500),
    )
    tenants: tuple[tuple[str, float], ...] = (("public", 0.63), ("municipal", 0.37))
    cores: int = 1
    queue: int = 24
    crowding: float = 0.0
    """The part by which work takes longer with a full queue: past its knee a node does less, not more."""
    store_bytes: int = 8 << 20
    small_bytes: tuple[int, int] = (200, 3200)
    large_bytes: tuple[int, int] = (70_000, 200_000)
    """Beyond 64 KiB a router passes a value on while it comes: faults strike in the middle of it."""
    large_share: float = 0.02
    report_ms: int = 250
    idle_close_ms: int = 10_000
    max_connections: int = 120
    handshake_work_ms: float = 1.0
    cold_from: float = 0.4
    cold_ms: int = 6000
    fall_multiple: float = 4.0
    fall_ms: int = 2000
    drain_grace_ms: int = 500
    probe_work_ms: float = 1.5
    plain_writes: int = 0
    """1: nodes take SET and DEL, as on installations where a router sets copies itself."""
    origin_drops: int = 1
    """0: the origin tells no node of a write, so that only routers void what is kept."""
    origins: int = 1
    """Doors of the one store, the first in zone a, a second one in zone c."""
    origins_apart: int = 0
    """1: each of them remembers repeats for itself, so that repeats are dropped within a zone only."""
    origin_width: int = 16
    origin_queue: int = 64
    origin_work_ms: tuple[float, float] = (30.0, 80.0)
    quota_per_s: float = 0.0
    """Requests a second of all tenants together; 0: none stated."""

    def request_class(self, name: str) -> ClassProfile:
        """The class of this name; raises KeyError."""
        for known in self.classes:
            if known.name == name:
                return known
        raise KeyError(name)

    def settings(self, routers: int) -> dict[str, Any]:
        """The object `settings` of a router's configuration."""
        return {
            "balancers": routers,
            "ceilings": {
                "mostTries": 4,
                "retryAfter": True,
                "maxRetryAfterNs": 1200 * MS,
                "mayProbe": True,
                "dialTimeoutNs": 250 * MS,
                "idleCloseNs": self.idle_close_ms * MS,
                "maxOpen": 20_000,
            },
            "classes": [
                {
                    "name": known.name,
                    "aimNs": known.aim_ms * MS,
                    "giveUpNs": known.deadline_ms * MS,
                    "semantics": known.semantics,
                    "group": "zone" if self.origins_apart else "all",
                    "dedupWindowNs": known.window_ms * MS,
                }
                for known in self.classes
            ],
            "familyInfo": {"mode": "aside", "originKind": 1},
            "feedback": {"fields": ["latency_ms", "queue"], "how": "answers"},
            "kinds": ["std-1c", "origin"],
            "membershipMode": "automatic",
            "rules": {
                "coldShare": self.cold_from,
                "coldNs": self.cold_ms * MS,
                "drainGraceNs": self.drain_grace_ms * MS,
                "fallMultiple": self.fall_multiple,
                "fallNs": self.fall_ms * MS,
            },
            "tenants": [
                {"name": name, "portion": share, "quotaPerS": self.quota_per_s * share}
                for name, share in self.tenants
            ],
            "weightKind": "none",
        }

    def config(self, name: str, listen: str, discovery: str, routers: int, seed: int = 0) -> dict[str, Any]:
        """A router's whole configuration, in the platform's form."""
        return {
            "name": name,
            "listen": listen,
            "discovery": discovery,
            "seed": f"{seed:016x}",
            "limits": {"cores": 1.0, "memory_mb": 192, "sockets": 1024},
            "settings": self.settings(routers),
        }


def profile_json(profile: Profile) -> dict[str, Any]:
    """The profile for a file."""
    return asdict(profile)


def read_profile(told: Any) -> Profile:
    """A profile from a file's JSON; what is left out has its default. Raises ValueError in one plain line."""
    if not isinstance(told, dict):
        raise ValueError("profile: expected an object")
    known: dict[str, Any] = {known.name: known.default for known in fields(Profile)}
    full: dict[str, Any] = {}
    for name, value in told.items():
        if name not in known:
            raise ValueError(f"profile: unknown name {name!r}")
        if name == "classes":
            value = tuple(_read_class(entry) for entry in value)
        elif name == "tenants":
            value = tuple((str(tenant), float(share)) for tenant, share in value)
        elif isinstance(known[name], tuple):
            low, high = value
            value = (type(known[name][0])(low), type(known[name][1])(high))
        elif isinstance(value, bool) or not isinstance(value, int | float) or value < 0:
            raise ValueError(f"profile: {name} must be a number that is not negative, got {value!r}")
        full[name] = value
    return Profile(**full)


def _read_class(entry: dict[str, Any]) -> ClassProfile:
    try:
        low, high = entry["work_ms"]
        return ClassProfile(**{**entry, "work_ms": (float(low), float(high))})
    except (TypeError, KeyError) as error:
        raise ValueError(f"profile: classes: {error}") from None


def quick(profile: Profile, divisor: float) -> Profile:
    """The same deployment with all work done in a part of the time, for light demos and short tests."""
    classes = tuple(
        replace(known, work_ms=(known.work_ms[0] / divisor, known.work_ms[1] / divisor))
        for known in profile.classes
    )
    low, high = profile.origin_work_ms
    return replace(profile, classes=classes, origin_work_ms=(low / divisor, high / divisor))


def hurried(profile: Profile, divisor: float) -> Profile:
    """The same deployment with clients that wait for a part of the time."""
    classes = tuple(
        replace(known, aim_ms=int(known.aim_ms / divisor), deadline_ms=int(known.deadline_ms / divisor))
        for known in profile.classes
    )
    return replace(profile, classes=classes)
