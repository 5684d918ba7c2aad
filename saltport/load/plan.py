"""What the clients will ask, drawn ahead from a seed: arrivals, classes, tenants, keys. No I/O.

Open loop: arrivals do not wait for answers, so a stall of the router meets the load that it would in service.
"""

from __future__ import annotations

import random
from bisect import bisect
from collections.abc import Iterator, Sequence
from dataclasses import dataclass
from itertools import accumulate

from saltport.standins.profile import Profile

NS_PER_S = 1_000_000_000


class PlanError(ValueError):
    """A load that can't be planned; the text is one plain line."""


@dataclass(frozen=True, slots=True)
class Step:
    """A rate in requests a second, from so many seconds on."""

    at: float
    rate: float


@dataclass(frozen=True, slots=True)
class Arrival:
    """One request of a client, before any try of it."""

    at: int
    """Nanoseconds from the start of the run."""
    request_class: str
    tenant: str
    key: str
    token: str
    """The idempotency key, which all tries share."""


@dataclass(frozen=True, slots=True)
class LoadPlan:
    """The figures of a load; `zipf`: the exponent of the keys' popularity, `scan`: once-only keys' share."""

    steps: tuple[Step, ...]
    seconds: float
    keys: int = 2000
    zipf: float = 1.0
    scan: float = 0.0
    hot: float = 0.0
    """The share of all requests that ask for one key, from `hot_from` to `hot_until`, seconds."""
    hot_from: float = 0.0
    hot_until: float = 1e9
    hot_every: float = 0.0
    """Seconds that it is hot, and then as many that it is not, and so on; 0: all the while."""
    retries: int = 2
    try_share: float = 0.65
    """The share of its class's deadline that a client waits for one try."""
    backoff_ms: float = 40.0
    seed: int = 1

    def hot_at(self, second: float) -> float:
        """The hot key's share at this second."""
        if not self.hot or not self.hot_from <= second < self.hot_until:
            return 0.0
        off = bool(self.hot_every) and (second - self.hot_from) % (2 * self.hot_every) >= self.hot_every
        return 0.0 if off else self.hot

    def __post_init__(self) -> None:
        if self.seconds <= 0 or not self.steps or any(step.rate <= 0 or step.at < 0 for step in self.steps):
            raise PlanError("seconds and rates must be above 0, and steps must not begin before 0")
        if (
            self.keys < 1
            or not 0 <= self.scan <= 1
            or not 0 <= self.hot <= 1
            or self.retries < 0
            or not 0 < self.try_share <= 1
        ):
            raise PlanError("keys must be at least 1, scan, hot and try_share shares, retries not negative")


def parse_steps(text: str) -> tuple[Step, ...]:
    """Read `RATE` or `RATE,SECONDS:RATE,...`; raises PlanError."""
    steps: list[Step] = []
    for number, part in enumerate(text.split(",")):
        at, sign, rate = part.partition(":")
        try:
            step = Step(float(at), float(rate)) if sign else Step(0.0, float(at))
        except ValueError:
            raise PlanError(f"expected RATE or SECONDS:RATE, got {part!r}") from None
        if (number > 0) != bool(sign) or (steps and step.at <= steps[-1].at) or step.rate <= 0 or step.at < 0:
            raise PlanError(f"{part!r}: the first is a rate above 0, later ones SECONDS:RATE, in order")
        steps.append(step)
    return tuple(steps)


def zipf_weights(keys: int, exponent: float) -> list[float]:
    """Cumulative weights of keys by rank."""
    return list(accumulate(1 / (rank + 1) ** exponent for rank in range(keys)))


def key_name(rank: int) -> str:
    """The key of this rank: a package and a version."""
    return f"pkg-{rank:05d}/1.{rank % 10}.0"


HOT_KEY = "pkg-hot/9.9.9"


def popular(plan: LoadPlan, most: int) -> list[str]:
    """The keys asked for most often."""
    return [key_name(rank) for rank in range(min(plan.keys, most))]


def rate_at(steps: Sequence[Step], second: float) -> float:
    """The rate in force."""
    return [step.rate for step in steps if step.at <= second or step is steps[0]][-1]


def arrivals(plan: LoadPlan, profile: Profile) -> Iterator[Arrival]:
    """All arrivals in order: exponential gaps at the rate in force."""
    rng = random.Random(plan.seed)
    weights = zipf_weights(plan.keys, plan.zipf)
    classes, class_weights = (
        [c.name for c in profile.classes],
        list(accumulate(c.share for c in profile.classes)),
    )
    tenants = [name for name, _ in profile.tenants]
    tenant_weights = list(accumulate(share for _, share in profile.tenants))

    def draw(cumulative: list[float]) -> int:
        return min(bisect(cumulative, rng.random() * cumulative[-1]), len(cumulative) - 1)

    second = 0.0
    once = 0
    while True:
        second += rng.expovariate(rate_at(plan.steps, second))
        if second >= plan.seconds:
            return
        name, tenant = classes[draw(class_weights)], tenants[draw(tenant_weights)]
        key = key_name(draw(weights))
        if plan.hot and rng.random() < plan.hot_at(second):
            key = HOT_KEY
        elif rng.random() < plan.scan and not profile.request_class(name).write:
            once += 1
            key = f"once-{plan.seed}-{once}"
        yield Arrival(int(second * NS_PER_S), name, tenant, key, f"{rng.getrandbits(64):016x}")


def pause_ms(plan: LoadPlan, tried: int, retry_after_ms: int, rng: random.Random) -> float | None:
    """How long a client waits before another try; None: it gives up. A refusal's pause is honoured."""
    if tried > plan.retries:
        return None
    backoff: float = plan.backoff_ms * 2.0 ** (tried - 1)
    return max(float(retry_after_ms), backoff) * rng.uniform(0.7, 1.3)
