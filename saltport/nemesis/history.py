"""What a run of many routers showed, and what must hold of it. It knows nothing of the program.

Checks of safety take each sample as it is. Times are seconds on one clock.
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
EXCUSE_S = 12.0  # after a fault of its own, or on its links, somebody may still be held dead
SETTLED_S = 5.0  # within a partition, after which two sides must not both be majorities


class Member(NamedTuple):
    """One router as another one holds it."""

    state: str
    start: int
    incarnation: int


@dataclass(frozen=True, slots=True)
class Sample:
    """What one router believed at one time."""

    at: float
    by: str
    life: int
    """Of its process: its number."""
    digest: str
    standing: str
    members: Mapping[str, Member]

    @property
    def live(self) -> frozenset[str]:
        """Whom it counts as members."""
        return frozenset(name for name, held in self.members.items() if held.state in ("alive", "suspect"))


class Span(NamedTuple):
    """Something that was done to a router, from and until."""

    kind: str
    """`down`, `stopped`, `cut` or `strained` (all links at once)."""
    who: str
    begun: float
    ended: float
    group: frozenset[str] = frozenset()
    """Of a partition: its side."""


class Hold(NamedTuple):
    """A router said that it might work on a piece just then."""

    at: int
    """Nanoseconds by its own clock, which all routers of one machine share."""
    by: str
    piece: str
    epoch: int


class Course(NamedTuple):
    """The plan for zones that a router said it follows."""

    at: float
    by: str
    life: int
    epoch: int
    number: int
    maker: str
    end: str
    """Where it leads, as words."""


@dataclass(slots=True)
class History:
    """A run."""

    routers: list[str]
    samples: list[Sample] = field(default_factory=list)
    spans: list[Span] = field(default_factory=list)
    holds: list[Hold] = field(default_factory=list)
    courses: list[Course] = field(default_factory=list)
    ended: float = 0.0
    """When all was over, by the samples' clock."""

    def check(self) -> list[Violation]:
        """All rules; an empty list: they hold."""
        found = [*self._false_deaths(), *self._records(), *self._majorities(), *self._agreement()]
        found += [*self._owners(), *self._plans()]
        return sorted(found, key=lambda violation: violation.at)

    def checked(self) -> dict[str, int]:
        """How many cases each rule was tried on: a rule with 0 was not shown."""
        return {
            "samples": len(self.samples),
            "no_false_death": sum(m.state == "dead" for s in self.samples for m in s.members.values()),
            "records_only_rise": sum(1 for _ in self._successions()),
            "one_majority": sum(bool(span.group) for span in self.spans),
            "agreed_at_last": len(self.last()),
            "one_owner": len(self.holds),
            "plans_only_rise": len(self.courses),
        }

    def _excused(self, name: str, at: float) -> bool:
        return any(span.who == name and span.begun <= at <= span.ended + EXCUSE_S for span in self.spans)

    def _false_deaths(self) -> Iterator[Violation]:
        """Nobody is held dead who ran, was not stopped, and whose links were whole."""
        for sample in self.samples:
            if self._excused(sample.by, sample.at):
                continue
            for name, held in sample.members.items():
                if held.state == "dead" and not self._excused(name, sample.at):
                    what = f"{sample.by} holds {name} dead, which is well"
                    yield Violation("no_false_death", sample.at, what)

    def _successions(self) -> Iterator[tuple[Sample, Sample]]:
        by: dict[tuple[str, int], list[Sample]] = {}
        for sample in self.samples:
            by.setdefault((sample.by, sample.life), []).append(sample)
        for held in by.values():
            yield from pairwise(held)

    def _records(self) -> Iterator[Violation]:
        """What one process holds of a router goes on by start, then by incarnation, and never back."""
        for before, after in self._successions():
            for name, held in after.members.items():
                earlier = before.members.get(name)
                if earlier is None:
                    continue
                was, now = (earlier.start, earlier.incarnation), (held.start, held.incarnation)
                unrefuted = now == was and earlier.state == "dead" and name in after.live
                if now < was or unrefuted:
                    how = "came back from death unrefuted" if unrefuted else f"went from {was} to {now}"
                    yield Violation("records_only_rise", after.at, f"{after.by}: {name} {how}")

    def _majorities(self) -> Iterator[Violation]:
        """Of the sides of a partition, one at the most says that it is the majority."""
        stops = [span for span in self.spans if span.kind == "stopped"]
        for span in self.spans:
            if not span.group:
                continue
            claims: dict[bool, Sample] = {}
            for sample in self.samples:
                inside = span.begun + SETTLED_S <= sample.at <= span.ended
                late = any(s.who == sample.by and s.begun <= sample.at <= s.ended + 1 for s in stops)
                if inside and not late and sample.standing == "majority":
                    claims[sample.by in span.group] = sample
            if len(claims) == 2:
                one, other = claims.values()
                what = f"{one.by} and {other.by}, on two sides"
                yield Violation("one_majority", max(one.at, other.at), what)

    def last(self) -> dict[str, Sample]:
        """The last sample of each router."""
        return {sample.by: sample for sample in self.samples}

    def _owners(self) -> Iterator[Violation]:
        """Nobody holds a piece once another did by a later epoch, and no epoch is two routers'."""
        highest: dict[str, int] = {}
        of: dict[tuple[str, int], str] = {}
        for held in sorted(self.holds, key=lambda hold: hold.at):
            at = held.at / 1e9
            if held.epoch < highest.get(held.piece, 0):
                what = f"{held.by} holds {held.piece} by epoch {held.epoch}, after {highest[held.piece]}"
                yield Violation("one_owner", at, what)
            highest[held.piece] = max(held.epoch, highest.get(held.piece, 0))
            if of.setdefault((held.piece, held.epoch), held.by) != held.by:
                yield Violation("one_owner", at, f"epoch {held.epoch} of {held.piece} is two routers'")

    def _plans(self) -> Iterator[Violation]:
        """No process goes back to an older plan, each plan says one thing, all end with the same."""
        latest: dict[tuple[str, int], tuple[int, int]] = {}
        said: dict[tuple[int, int], tuple[str, str]] = {}
        last: dict[str, tuple[int, int]] = {}
        for course in self.courses:
            age, life = (course.epoch, course.number), (course.by, course.life)
            if age < latest.get(life, (0, 0)):
                what = f"{course.by} follows plan {age}, after {latest[life]}"
                yield Violation("plans_only_rise", course.at, what)
            latest[life] = last[course.by] = age
            if said.setdefault(age, (course.maker, course.end)) != (course.maker, course.end):
                yield Violation("plans_only_rise", course.at, f"plan {age} says two things")
        if len(set(last.values())) > 1:
            yield Violation("plans_only_rise", self.ended, f"routers end with several plans: {last}")

    def _agreement(self) -> Iterator[Violation]:
        """At the end all routers hold the same view: just those that run."""
        last = self.last()
        for name in self.routers:
            if name not in last:
                yield Violation("agreed_at_last", self.ended, f"{name} was never asked")
        for sample in last.values():
            if sample.live != frozenset(self.routers):
                odd = ", ".join(sorted(sample.live ^ set(self.routers)))
                yield Violation("agreed_at_last", sample.at, f"{sample.by} holds another view: {odd}")
        if len({sample.digest for sample in last.values()}) > 1:
            yield Violation("agreed_at_last", self.ended, "views have several digests")

    # Measured

    def detections(self) -> list[float]:
        """Seconds from each death until all that were well held it dead; who came back before is left out."""
        found = []
        for span in (span for span in self.spans if span.kind == "down"):
            seen: dict[str, float] = {}
            others = [n for n in self.routers if n != span.who and not self._excused(n, span.begun)]
            for sample in self.samples:
                held = sample.members.get(span.who)
                if span.begun <= sample.at <= span.ended and held is not None and held.state == "dead":
                    seen.setdefault(sample.by, sample.at - span.begun)
            if others and seen.keys() >= set(others):
                found.append(max(seen[name] for name in others))
        return sorted(found)

    def report(self) -> dict[str, object]:
        """For people and programs."""
        violations, times = self.check(), self.detections()
        return {
            "clean": not violations,
            "checked": self.checked(),
            "violations": [f"{held.at:.1f} s: {held.rule}: {held.what}" for held in violations[:20]],
            "broken": {rule: sum(held.rule == rule for held in violations) for rule in RULES},
            "detections_s": [round(time, 2) for time in times],
        }
