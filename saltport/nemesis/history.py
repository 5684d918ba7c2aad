"""The recorded history of a fault-injection run with many routers, and the rules that it is checked against.

This module works on recorded data only and uses no code of the router. The safety rules are checked on each
sample by itself. Times are seconds on one clock.
"""

from __future__ import annotations

from collections.abc import Iterator, Mapping
from dataclasses import dataclass, field
from itertools import pairwise
from typing import NamedTuple

from saltport.audit import Violation

RULES = (
    "no_false_death", "records_only_rise", "one_majority", "agreed_at_last", "one_owner", "plans_only_rise",
)  # fmt: skip
FAULT_GRACE_S = 12.0  # for so long after a fault of a router or its links, others may still report it dead
PARTITION_SETTLE_S = 5.0  # from this time in a partition on, at most one side may report a majority


class Member(NamedTuple):
    """The record that a router has of one member of the fleet."""

    state: str
    start: int
    incarnation: int


@dataclass(frozen=True, slots=True)
class Sample:
    """The membership view that one router reported at one time."""

    at: float
    router: str
    pid: int
    """The process ID, which changes when the router restarts."""
    digest: str
    """The digest of the router's membership table, as reported by it; equal tables have equal digests."""
    quorum_state: str
    members: Mapping[str, Member]

    @property
    def live_members(self) -> frozenset[str]:
        """The names of the members in state alive or suspect."""
        return frozenset(
            name for name, member in self.members.items() if member.state in ("alive", "suspect")
        )


class FaultSpan(NamedTuple):
    """The time span of a fault that was injected on a router or its links."""

    kind: str
    """`down`, `stopped`, `cut` or `strained` (all links at once)."""
    router: str
    begun: float
    ended: float
    side: frozenset[str] = frozenset()
    """The routers on one side of a partition; empty for other faults."""


class OwnershipSample(NamedTuple):
    """A report of a router that it owned a piece of work at one time."""

    at_ns: int
    """Nanoseconds on the router's monotonic clock, which all routers of one machine share."""
    router: str
    piece: str
    epoch: int


class PlanSample(NamedTuple):
    """The zone failover plan that a router reported to follow at one time."""

    at: float
    router: str
    pid: int
    epoch: int
    number: int
    author: str
    content: str
    """What the plan prescribes, as text."""


@dataclass(slots=True)
class History:
    """The samples and injected faults of one run."""

    routers: list[str]
    samples: list[Sample] = field(default_factory=list)
    faults: list[FaultSpan] = field(default_factory=list)
    ownership: list[OwnershipSample] = field(default_factory=list)
    plans: list[PlanSample] = field(default_factory=list)
    ended: float = 0.0
    """The end of the run on the clock of the samples."""

    def check(self) -> list[Violation]:
        """Return the violations of all rules, ordered by time; an empty list means that all rules hold."""
        found = [*self._false_deaths(), *self._records(), *self._majorities(), *self._agreement()]
        found += [*self._owners(), *self._plans()]
        return sorted(found, key=lambda violation: violation.at)

    def checked(self) -> dict[str, int]:
        """Return the number of cases that each rule was checked on; a rule with 0 cases was not tested."""
        return {
            "samples": len(self.samples),
            "no_false_death": sum(m.state == "dead" for s in self.samples for m in s.members.values()),
            "records_only_rise": sum(1 for _ in self._consecutive_samples()),
            "one_majority": sum(bool(span.side) for span in self.faults),
            "agreed_at_last": len(self.last_samples()),
            "one_owner": len(self.ownership),
            "plans_only_rise": len(self.plans),
        }

    def _has_fault(self, name: str, at: float) -> bool:
        """Whether a fault of this router was active at this time or within the grace period before it."""
        return any(
            span.router == name and span.begun <= at <= span.ended + FAULT_GRACE_S for span in self.faults
        )

    def _false_deaths(self) -> Iterator[Violation]:
        """Yield reports of death for routers that ran and whose links had no fault."""
        for sample in self.samples:
            if self._has_fault(sample.router, sample.at):
                continue
            for name, member in sample.members.items():
                if member.state == "dead" and not self._has_fault(name, sample.at):
                    what = f"{sample.router} reports {name} dead, which was running and connected"
                    yield Violation("no_false_death", sample.at, what)

    def _consecutive_samples(self) -> Iterator[tuple[Sample, Sample]]:
        """Yield each pair of consecutive samples of one process."""
        by_process: dict[tuple[str, int], list[Sample]] = {}
        for sample in self.samples:
            by_process.setdefault((sample.router, sample.pid), []).append(sample)
        for samples in by_process.values():
            yield from pairwise(samples)

    def _records(self) -> Iterator[Violation]:
        """Yield members whose start or incarnation decreased within a process, or that revived unrefuted."""
        for before, after in self._consecutive_samples():
            for name, member in after.members.items():
                earlier = before.members.get(name)
                if earlier is None:
                    continue
                was, now = (earlier.start, earlier.incarnation), (member.start, member.incarnation)
                unrefuted = now == was and earlier.state == "dead" and name in after.live_members
                if now < was or unrefuted:
                    how = (
                        "changed from dead to alive without a new incarnation"
                        if unrefuted
                        else f"went from {was} to {now}"
                    )
                    yield Violation("records_only_rise", after.at, f"{after.router}: {name} {how}")

    def _majorities(self) -> Iterator[Violation]:
        """Yield partitions of which both sides reported to be in the majority."""
        stops = [span for span in self.faults if span.kind == "stopped"]
        for span in self.faults:
            if not span.side:
                continue
            claims: dict[bool, Sample] = {}
            for sample in self.samples:
                settled = span.begun + PARTITION_SETTLE_S <= sample.at <= span.ended
                stopped = any(
                    s.router == sample.router and s.begun <= sample.at <= s.ended + 1 for s in stops
                )
                if settled and not stopped and sample.quorum_state == "majority":
                    claims[sample.router in span.side] = sample
            if len(claims) == 2:
                first, second = claims.values()
                what = f"{first.router} and {second.router} report a majority on two sides of a partition"
                yield Violation("one_majority", max(first.at, second.at), what)

    def last_samples(self) -> dict[str, Sample]:
        """Return the last sampled membership view of each router, by the router's name."""
        return {sample.router: sample for sample in self.samples}

    def _owners(self) -> Iterator[Violation]:
        """Yield claims to a piece after a later epoch was reported, and epochs that two routers reported."""
        highest: dict[str, int] = {}
        owners: dict[tuple[str, int], str] = {}
        for claim in sorted(self.ownership, key=lambda sample: sample.at_ns):
            at = claim.at_ns / 1e9
            if claim.epoch < highest.get(claim.piece, 0):
                what = (
                    f"{claim.router} owns {claim.piece} in epoch {claim.epoch}, after {highest[claim.piece]}"
                )
                yield Violation("one_owner", at, what)
            highest[claim.piece] = max(claim.epoch, highest.get(claim.piece, 0))
            if owners.setdefault((claim.piece, claim.epoch), claim.router) != claim.router:
                yield Violation("one_owner", at, f"epoch {claim.epoch} of {claim.piece} has two owners")

    def _plans(self) -> Iterator[Violation]:
        """Yield returns to an older plan, plans with two contents, and a run that ends with several plans."""
        latest: dict[tuple[str, int], tuple[int, int]] = {}
        contents: dict[tuple[int, int], tuple[str, str]] = {}
        last: dict[str, tuple[int, int]] = {}
        for plan in self.plans:
            version, process = (plan.epoch, plan.number), (plan.router, plan.pid)
            if version < latest.get(process, (0, 0)):
                what = f"{plan.router} follows plan {version}, after {latest[process]}"
                yield Violation("plans_only_rise", plan.at, what)
            latest[process] = last[plan.router] = version
            if contents.setdefault(version, (plan.author, plan.content)) != (plan.author, plan.content):
                yield Violation("plans_only_rise", plan.at, f"plan {version} has two contents")
        if len(set(last.values())) > 1:
            yield Violation(
                "plans_only_rise", self.ended, f"routers follow different plans at the end: {last}"
            )

    def _agreement(self) -> Iterator[Violation]:
        """Yield a violation for each router whose last membership view is not exactly the set of all routers.

        One more is yielded if the digests of the membership tables, as the routers report them, differ.
        """
        last = self.last_samples()
        for name in self.routers:
            if name not in last:
                yield Violation("agreed_at_last", self.ended, f"{name} was never sampled")
        for sample in last.values():
            if sample.live_members != frozenset(self.routers):
                odd = ", ".join(sorted(sample.live_members ^ set(self.routers)))
                yield Violation("agreed_at_last", sample.at, f"{sample.router} reports another view: {odd}")
        if len({sample.digest for sample in last.values()}) > 1:
            yield Violation("agreed_at_last", self.ended, "the views have different digests")

    # Measurements

    def detection_times(self) -> list[float]:
        """Return the sorted delays in seconds from each death until all routers without a fault reported it.

        A death that not all of them reported before the router was started again is left out.
        """
        found = []
        for span in (span for span in self.faults if span.kind == "down"):
            seen: dict[str, float] = {}
            others = [n for n in self.routers if n != span.router and not self._has_fault(n, span.begun)]
            for sample in self.samples:
                member = sample.members.get(span.router)
                if span.begun <= sample.at <= span.ended and member is not None and member.state == "dead":
                    seen.setdefault(sample.router, sample.at - span.begun)
            if others and seen.keys() >= set(others):
                found.append(max(seen[name] for name in others))
        return sorted(found)

    def report(self) -> dict[str, object]:
        """Return the report of the run, to be printed as JSON."""
        violations, times = self.check(), self.detection_times()
        return {
            "clean": not violations,
            "checked": self.checked(),
            "violations": [f"{found.at:.1f} s: {found.rule}: {found.what}" for found in violations[:20]],
            "broken": {rule: sum(found.rule == rule for found in violations) for rule in RULES},
            "detections_s": [round(time, 2) for time in times],
        }
