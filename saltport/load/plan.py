"""Load plans: a reproducible random sequence of arrivals with classes, tenants and keys, without I/O.

The load is open-loop: arrivals do not wait for replies, so a stalled router gets the load that it would in
service.
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
    """An invalid load plan; the message is a single line."""


@dataclass(frozen=True, slots=True)
class Step:
    """A rate in requests per second that applies from `at` seconds into the run."""

    at: float
    rate: float


@dataclass(frozen=True, slots=True)
class Arrival:
    """A client request at its planned start."""

    at: int
    """Nanoseconds from the start of the run."""
    request_class: str
    tenant: str
    key: str
    token: str
    """The idempotency key, the same for all tries."""


@dataclass(frozen=True, slots=True)
class LoadPlan:
    """Parameters of a load; `zipf`: exponent of key popularity, `scan`: share of reads for keys used once."""

    steps: tuple[Step, ...]
    seconds: float
    keys: int = 2000
    zipf: float = 1.0
    scan: float = 0.0
    hot: float = 0.0
    """Share of all requests that ask for the hot key, from second `hot_from` to `hot_until`."""
    hot_from: float = 0.0
    hot_until: float = 1e9
    hot_every: float = 0.0
    """Length in seconds of alternating phases with and without the hot key; 0: no alternation."""
    retries: int = 2
    try_share: float = 0.65
    """Share of the class's deadline after which a client times out a try."""
    backoff_ms: float = 40.0
    seed: int = 1

    def hot_at(self, second: float) -> float:
        """Return the share of requests that ask for the hot key at this second of the run."""
        if not self.hot or not self.hot_from <= second < self.hot_until:
            return 0.0
        off_phase = bool(self.hot_every) and (second - self.hot_from) % (2 * self.hot_every) >= self.hot_every
        return 0.0 if off_phase else self.hot

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
            raise PlanError(
                "keys must be at least 1, scan, hot and try_share between 0 and 1, retries not negative"
            )


def parse_steps(text: str) -> tuple[Step, ...]:
    """Parse the steps of a load, with rates in requests per second; raises PlanError.

    The text is `RATE,SECONDS:RATE,...`, for example `100,20:300`: 100 per second from the start of the run,
    and 300 from 20 s into the run on. The first rate has no time, all others have one. Each rate applies
    until the next step or the end of the run, so a single `RATE` applies to the complete run.
    """
    steps: list[Step] = []
    for number, part in enumerate(text.split(",")):
        at, sign, rate = part.partition(":")
        try:
            step = Step(float(at), float(rate)) if sign else Step(0.0, float(at))
        except ValueError:
            raise PlanError(f"expected RATE or SECONDS:RATE, got {part!r}") from None
        if (number > 0) != bool(sign) or (steps and step.at <= steps[-1].at) or step.rate <= 0 or step.at < 0:
            raise PlanError(f"{part!r}: expected a first rate above 0, then SECONDS:RATE in ascending order")
        steps.append(step)
    return tuple(steps)


def zipf_weights(keys: int, exponent: float) -> list[float]:
    """Return the cumulative Zipf weights of keys by rank."""
    return list(accumulate(1 / (rank + 1) ** exponent for rank in range(keys)))


def key_name(rank: int) -> str:
    """Return the key of this popularity rank, a package and a version."""
    return f"pkg-{rank:05d}/1.{rank % 10}.0"


HOT_KEY = "pkg-hot/9.9.9"  # the key that gets the share of requests set by `LoadPlan.hot`


def most_popular_keys(plan: LoadPlan, limit: int) -> list[str]:
    """Return up to `limit` keys in descending order of popularity."""
    return [key_name(rank) for rank in range(min(plan.keys, limit))]


def rate_at(steps: Sequence[Step], second: float) -> float:
    """Return the rate that applies at this second."""
    return [step.rate for step in steps if step.at <= second or step is steps[0]][-1]


def arrivals(plan: LoadPlan, profile: Profile) -> Iterator[Arrival]:
    """Yield all arrivals of the plan in order of time, with exponential gaps at the current rate."""
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
    scan_keys = 0
    while True:
        second += rng.expovariate(rate_at(plan.steps, second))
        if second >= plan.seconds:
            return
        name, tenant = classes[draw(class_weights)], tenants[draw(tenant_weights)]
        key = key_name(draw(weights))
        if plan.hot and rng.random() < plan.hot_at(second):
            key = HOT_KEY
        elif rng.random() < plan.scan and not profile.request_class(name).write:
            scan_keys += 1
            key = f"once-{plan.seed}-{scan_keys}"
        yield Arrival(int(second * NS_PER_S), name, tenant, key, f"{rng.getrandbits(64):016x}")


def retry_delay_ms(plan: LoadPlan, tries_made: int, retry_after_ms: int, rng: random.Random) -> float | None:
    """Return the delay before the next try, with backoff, retry-after and jitter; None: no retry left."""
    if tries_made > plan.retries:
        return None
    backoff: float = plan.backoff_ms * 2.0 ** (tries_made - 1)
    return max(float(retry_after_ms), backoff) * rng.uniform(0.7, 1.3)
