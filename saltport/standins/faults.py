"""The faults that stand-ins know, and seeded schedules of them: no I/O, the same seed gives the same list."""

from __future__ import annotations

import random
from collections.abc import Sequence
from dataclasses import asdict, dataclass, field
from typing import Any

SPOILS = {
    "noise": "bytes that are no answer",
    "bad_line": "a line that can't be read",
    "endless_line": "a line without an end",
    "wrong_length": "a length that does not fit the value",
    "huge": "a value that is said to have 3 GB and keeps coming",
    "cut": "half of the value, then a reset",
    "copy": "a good answer with a second copy right behind",
    "tail_noise": "a good answer with noise right behind",
    "bad_report": "a good answer whose load report can't be read",
    "interim": "1xx answers ahead of a good one (origin)",
}
GOOD_SPOILS = ("copy", "tail_noise", "bad_report", "interim")
"""Spoilt answers whose value is good all the same."""


@dataclass(frozen=True, slots=True)
class Kind:
    """A kind of fault: whom it may strike, its figures (a range each), and how long it lasts."""

    target: str
    about: str
    figures: dict[str, tuple[float, float]] = field(default_factory=dict)
    seconds: tuple[float, float] = (0.0, 0.0)
    """0: it strikes once and needs no end."""


KINDS = {
    "kill": Kind("node", "the process dies; it is back at its address, empty and cold", {}, (1.0, 4.0)),
    "freeze": Kind("node", "the process stops; its kernel takes connections and bytes", {}, (0.5, 2.0)),
    "cut_off": Kind("node", "the machine says nothing; new connections never come up", {}, (1.0, 3.0)),
    "refuse": Kind("node", "new connections are refused, open ones go on", {}, (1.0, 3.0)),
    "turn_away": Kind("node", "every request is answered -BUSY", {}, (1.0, 3.0)),
    "slow": Kind("node", "all work takes `factor` times as long", {"factor": (3.0, 10.0)}, (1.0, 4.0)),
    "trickle": Kind("node", "answers leave at `rate` bytes a second", {"rate": (50.0, 500.0)}, (1.0, 3.0)),
    "spoil": Kind("node", "a `share` of answers is spoilt, as `how` says", {"share": (0.2, 0.6)}, (1.0, 3.0)),
    "drain": Kind("node", "the list says draining; later it runs again", {}, (1.5, 4.0)),
    "replace": Kind("node", "it leaves for good, a new one with a new id comes at a new address"),
    "replace_here": Kind("node", "it leaves for good, a new one with a new id comes at its address"),
    "flush": Kind("fleet", "a `share` of all kept copies goes void at once", {"share": (0.3, 0.8)}),
    "origin_slow": Kind("origin", "work takes `factor` times as long", {"factor": (2.0, 6.0)}, (1.0, 3.0)),
    "origin_down": Kind("origin", "the origin refuses connections and resets open ones", {}, (0.5, 2.0)),
    "origin_full": Kind("origin", "the origin answers 503 with Not-Started", {}, (0.5, 2.0)),
    "origin_spoil": Kind("origin", "a `share` of its answers is spoilt", {"share": (0.2, 0.6)}, (1.0, 2.0)),
    "list_late": Kind("registry", "news come `delay` seconds late", {"delay": (0.5, 2.0)}, (2.0, 5.0)),
    "list_down": Kind("registry", "the registry resets its watches and refuses new ones", {}, (1.0, 3.0)),
    "list_stale": Kind("registry", "the registry answers, and tells nothing new", {}, (1.0, 4.0)),
}  # fmt: skip
ALONE = {"replace", "replace_here", "flush"}


@dataclass(frozen=True, slots=True)
class Fault:
    """One fault of a schedule; `at` and `until` are seconds from the start, `until` 0: no end."""

    at: float
    until: float
    kind: str
    target: str
    figures: dict[str, Any]

    def as_json(self) -> dict[str, Any]:
        """For the control socket and reports."""
        return asdict(self)


class FaultError(ValueError):
    """A command that no stand-in can carry out; the text is one plain line."""


def checked(kind: str, figures: dict[str, Any]) -> dict[str, Any]:
    """The figures of a fault as a command names them, with defaults; raises FaultError."""
    known = KINDS.get(kind)
    if known is None:
        raise FaultError(f"unknown fault {kind!r}; there are {', '.join(KINDS)}")
    full: dict[str, Any] = {name: (low + high) / 2 for name, (low, high) in known.figures.items()}
    if kind in ("spoil", "origin_spoil"):
        full["how"] = "noise"
    for name, value in figures.items():
        if name not in full:
            raise FaultError(f"{kind}: unknown figure {name!r}")
        if name == "how":
            if value not in SPOILS:
                raise FaultError(f"{kind}: unknown spoil {value!r}; there are {', '.join(SPOILS)}")
        elif isinstance(value, bool) or not isinstance(value, int | float) or not value > 0:
            raise FaultError(f"{kind}: {name} must be a number above 0, got {value!r}")
        full[name] = value
    return full


def schedule(
    seed: int,
    seconds: float,
    nodes: Sequence[str],
    kinds: Sequence[str] = tuple(KINDS),
    every_s: float = 1.0,
    most_share: float = 0.2,
) -> list[Fault]:
    """Draw faults over a run: about one in `every_s`, at most `most_share` of the nodes ill at a time.

    Every kind is drawn once before any is drawn again, while there is time. A target carries one fault at a
    time, and replaced nodes are not struck again. Raises FaultError on an unknown kind.
    """
    for kind in kinds:
        checked(kind, {})
    rng = random.Random(seed)
    free = dict.fromkeys(nodes, 0.0) | {"origin": 0.0, "registry": 0.0, "fleet": 0.0}
    faults: list[Fault] = []
    bag: list[str] = []
    at = rng.uniform(0.3, 1.0) * every_s
    while at < seconds:
        bag = bag or rng.sample(list(kinds), len(kinds))
        kind = bag.pop()
        known = KINDS[kind]
        length = min(rng.uniform(*known.seconds), max(seconds - at, 0.1))
        figures: dict[str, Any] = {
            name: round(rng.uniform(low, high), 3) for name, (low, high) in known.figures.items()
        }
        if "spoil" in kind:
            hows = [how for how in SPOILS if how != "interim" or kind == "origin_spoil"]
            figures["how"] = rng.choice(hows)
        if known.target == "node":
            ill = sum(1 for name in nodes if at < free[name] < float("inf"))
            choices = [name for name in nodes if free[name] <= at]
            target = rng.choice(choices) if choices and ill < max(most_share * len(nodes), 1) else ""
        else:
            target = known.target if free[known.target] <= at else ""
        if target:
            until = 0.0 if kind in ALONE else round(at + length, 3)
            faults.append(Fault(round(at, 3), until, kind, target, figures))
            # A node that was away needs time to be listed again before it is struck anew.
            free[target] = float("inf") if kind.startswith("replace") else at + length + 1.0
        at += rng.expovariate(1 / every_s)
    return faults
