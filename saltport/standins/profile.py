"""The profile of a simulated deployment: classes, tenants, server capacities, and the router settings.

The defaults are those of the deployment size that the project targets; a file or a test may override them.
"""

from __future__ import annotations

from dataclasses import asdict, dataclass, fields, replace
from typing import Any

NS_PER_MS = 1_000_000


@dataclass(frozen=True, slots=True)
class ClassProfile:
    """A request class with its share of the load; times are in milliseconds."""

    name: str
    share: float
    work_ms: tuple[float, float]
    aim_ms: int
    deadline_ms: int
    semantics: str = "retryable"
    window_ms: int = 0

    @property
    def write(self) -> bool:
        """Whether requests of this class are writes: all classes except those safe to repeat."""
        return self.semantics != "retryable"


@dataclass(frozen=True, slots=True)
class Profile:
    """Parameters shared by simulated servers, load and audit; times in milliseconds, sizes in bytes."""

    classes: tuple[ClassProfile, ...] = (
        ClassProfile("fetch", 0.97, (35.0, 64.0), 300, 1200),
        ClassProfile("yank", 0.022, (43.0, 77.0), 500, 1000, "dedup", 5000),
        ClassProfile("publish", 0.008, (58.0, 100.0), 500, 1200, "dedup", 2500),
    )
    tenants: tuple[tuple[str, float], ...] = (("public", 0.63), ("municipal", 0.37))
    cores: int = 1
    queue: int = 24
    crowding: float = 0.0
    """Share by which a full queue lengthens work, so that throughput falls under overload."""
    store_bytes: int = 8 << 20
    small_bytes: tuple[int, int] = (200, 3200)
    large_bytes: tuple[int, int] = (70_000, 200_000)
    """Over 64 KiB a router streams a value, so faults can occur in the middle of it."""
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
    """1: nodes accept SET and DEL, as in deployments where the router writes cached copies itself."""
    origin_drops: int = 1
    """0: the origin does not invalidate cached copies after a write, so that only routers do."""
    origins: int = 1
    """Number of origin servers over one store: the first in zone a, the second in zone c."""
    origins_apart: int = 0
    """1: each origin server detects duplicates on its own, so that they are dropped only within a zone."""
    origin_width: int = 16
    origin_queue: int = 64
    origin_work_ms: tuple[float, float] = (30.0, 80.0)
    quota_per_s: float = 0.0
    """Requests per second of all tenants together; 0: no quota."""

    def request_class(self, name: str) -> ClassProfile:
        """Return the class of this name; raises KeyError."""
        for request_class in self.classes:
            if request_class.name == name:
                return request_class
        raise KeyError(name)

    def settings(self, routers: int) -> dict[str, Any]:
        """Return the `settings` object of a router's configuration."""
        return {
            "balancers": routers,
            "ceilings": {
                "mostTries": 4,
                "retryAfter": True,
                "maxRetryAfterNs": 1200 * NS_PER_MS,
                "mayProbe": True,
                "dialTimeoutNs": 250 * NS_PER_MS,
                "idleCloseNs": self.idle_close_ms * NS_PER_MS,
                "maxOpen": 20_000,
            },
            "classes": [
                {
                    "name": request_class.name,
                    "aimNs": request_class.aim_ms * NS_PER_MS,
                    "giveUpNs": request_class.deadline_ms * NS_PER_MS,
                    "semantics": request_class.semantics,
                    "group": "zone" if self.origins_apart else "all",
                    "dedupWindowNs": request_class.window_ms * NS_PER_MS,
                }
                for request_class in self.classes
            ],
            "familyInfo": {"mode": "aside", "originKind": 1},
            "feedback": {"fields": ["latency_ms", "queue"], "how": "answers"},
            "kinds": ["std-1c", "origin"],
            "membershipMode": "automatic",
            "rules": {
                "coldShare": self.cold_from,
                "coldNs": self.cold_ms * NS_PER_MS,
                "drainGraceNs": self.drain_grace_ms * NS_PER_MS,
                "fallMultiple": self.fall_multiple,
                "fallNs": self.fall_ms * NS_PER_MS,
            },
            "tenants": [
                {"name": name, "portion": share, "quotaPerS": self.quota_per_s * share}
                for name, share in self.tenants
            ],
            "weightKind": "none",
        }

    def config(self, name: str, listen: str, discovery: str, routers: int, seed: int = 0) -> dict[str, Any]:
        """Return a router's complete configuration in the platform's format."""
        return {
            "name": name,
            "listen": listen,
            "discovery": discovery,
            "seed": f"{seed:016x}",
            "limits": {"cores": 1.0, "memory_mb": 192, "sockets": 1024},
            "settings": self.settings(routers),
        }


def profile_json(profile: Profile) -> dict[str, Any]:
    """Return the profile as a JSON object."""
    return asdict(profile)


def read_profile(document: Any) -> Profile:
    """Return the profile in a JSON object; missing fields have their defaults. Raises ValueError."""
    if not isinstance(document, dict):
        raise ValueError("profile: expected an object")
    known: dict[str, Any] = {known.name: known.default for known in fields(Profile)}
    values: dict[str, Any] = {}
    for name, value in document.items():
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
        values[name] = value
    return Profile(**values)


def _read_class(entry: dict[str, Any]) -> ClassProfile:
    """Return the request class in a JSON object; raises ValueError."""
    try:
        low, high = entry["work_ms"]
        return ClassProfile(**{**entry, "work_ms": (float(low), float(high))})
    except (TypeError, KeyError) as error:
        raise ValueError(f"profile: classes: {error}") from None


def with_faster_work(profile: Profile, divisor: float) -> Profile:
    """Return the profile with all work times divided by `divisor`, for demos and short tests."""
    classes = tuple(
        replace(
            request_class, work_ms=(request_class.work_ms[0] / divisor, request_class.work_ms[1] / divisor)
        )
        for request_class in profile.classes
    )
    low, high = profile.origin_work_ms
    return replace(profile, classes=classes, origin_work_ms=(low / divisor, high / divisor))


def with_shorter_deadlines(profile: Profile, divisor: float) -> Profile:
    """Return the profile with all latency aims and deadlines divided by `divisor`."""
    classes = tuple(
        replace(
            request_class,
            aim_ms=int(request_class.aim_ms / divisor),
            deadline_ms=int(request_class.deadline_ms / divisor),
        )
        for request_class in profile.classes
    )
    return replace(profile, classes=classes)
