"""The kinds of faults that the simulated servers support, and random schedules of them by seed.

The parameters of a fault are called `figures`, as in its JSON form; most are numbers, such as a rate.
"""

from __future__ import annotations

import random
from collections.abc import Sequence
from dataclasses import asdict, dataclass, field
from typing import Any

CORRUPTIONS = {
    "noise": "random bytes instead of a reply",
    "bad_line": "an unparsable line",
    "endless_line": "a line that never ends",
    "wrong_length": "a length that differs from that of the value",
    "huge": "a value with a declared length of 3 GB",
    "cut": "half of the reply, then a connection reset",
    "copy": "a valid reply, sent twice",
    "tail_noise": "a valid reply followed by random bytes",
    "bad_report": "a valid reply with an unparsable load report",
    "interim": "a 1xx response before a valid one (origin only)",
}
HARMLESS_CORRUPTIONS = ("copy", "tail_noise", "bad_report", "interim")
"""The corruptions that leave the value itself intact."""


@dataclass(frozen=True, slots=True)
class FaultKind:
    """A kind of fault: its target, a description, its numeric parameters with their ranges, its duration."""

    target: str
    about: str
    figures: dict[str, tuple[float, float]] = field(default_factory=dict)
    seconds: tuple[float, float] = (0.0, 0.0)
    """Range of the duration; (0, 0): the fault is a single event without an end."""


KINDS = {
    "kill": FaultKind(
        "node", "the process dies; later it restarts at its address, empty and cold", {}, (1.0, 4.0),
    ),
    "freeze": FaultKind(
        "node", "the process is suspended; its kernel still accepts connections and data", {}, (0.5, 2.0),
    ),
    "cut_off": FaultKind("node", "the machine is unreachable; new connections time out", {}, (1.0, 3.0)),
    "refuse": FaultKind("node", "new connections are refused, open ones continue", {}, (1.0, 3.0)),
    "turn_away": FaultKind("node", "every request is answered -BUSY", {}, (1.0, 3.0)),
    "slow": FaultKind("node", "all work takes `factor` times as long", {"factor": (3.0, 10.0)}, (1.0, 4.0)),
    "trickle": FaultKind(
        "node", "replies leave at `rate` bytes a second", {"rate": (50.0, 500.0)}, (1.0, 3.0),
    ),
    "spoil": FaultKind(
        "node", "a `share` of replies is corrupted, in the way that `how` names",
        {"share": (0.2, 0.6)}, (1.0, 3.0),
    ),
    "drain": FaultKind("node", "the registry lists it as draining, later as up again", {}, (1.5, 4.0)),
    "replace": FaultKind("node", "replaced by a node with a new id at a new address"),
    "replace_here": FaultKind("node", "replaced by a node with a new id at its address"),
    "flush": FaultKind("fleet", "a `share` of all cached copies is dropped at once", {"share": (0.3, 0.8)}),
    "origin_slow": FaultKind(
        "origin", "work takes `factor` times as long", {"factor": (2.0, 6.0)}, (1.0, 3.0),
    ),
    "origin_down": FaultKind("origin", "the origin refuses connections and resets open ones", {}, (0.5, 2.0)),
    "origin_full": FaultKind("origin", "the origin answers 503 with Not-Started", {}, (0.5, 2.0)),
    "origin_spoil": FaultKind(
        "origin", "a `share` of its replies is corrupted", {"share": (0.2, 0.6)}, (1.0, 2.0),
    ),
    "list_late": FaultKind(
        "registry", "changes are published `delay` seconds late", {"delay": (0.5, 2.0)}, (2.0, 5.0),
    ),
    "list_down": FaultKind(
        "registry", "the registry resets its watches and refuses new ones", {}, (1.0, 3.0),
    ),
    "list_stale": FaultKind("registry", "the registry answers, but publishes no changes", {}, (1.0, 4.0)),
}  # fmt: skip
ONE_SHOT_KINDS = {"replace", "replace_here", "flush"}


@dataclass(frozen=True, slots=True)
class Fault:
    """One fault of a schedule, with its target and its parameters (`figures`).

    `at` and `until` are seconds from the start of the run; `until` 0: no end.
    """

    at: float
    until: float
    kind: str
    target: str
    figures: dict[str, Any]

    def as_json(self) -> dict[str, Any]:
        """Return the fault as a JSON object for the control socket and reports."""
        return asdict(self)


class FaultError(ValueError):
    """A fault command that cannot be executed; the message is a single line."""


def validated_figures(kind: str, figures: dict[str, Any]) -> dict[str, Any]:
    """Return the parameters of a fault with defaults filled in; raises FaultError on an invalid one."""
    fault_kind = KINDS.get(kind)
    if fault_kind is None:
        raise FaultError(f"unknown fault {kind!r}; there are {', '.join(KINDS)}")
    all_figures: dict[str, Any] = {name: (low + high) / 2 for name, (low, high) in fault_kind.figures.items()}
    if kind in ("spoil", "origin_spoil"):
        all_figures["how"] = "noise"
    for name, value in figures.items():
        if name not in all_figures:
            raise FaultError(f"{kind}: unknown parameter {name!r}")
        if name == "how":
            if value not in CORRUPTIONS:
                raise FaultError(f"{kind}: unknown corruption {value!r}; there are {', '.join(CORRUPTIONS)}")
        elif isinstance(value, bool) or not isinstance(value, int | float) or not value > 0:
            raise FaultError(f"{kind}: {name} must be a number above 0, got {value!r}")
        all_figures[name] = value
    return all_figures


def schedule(
    seed: int,
    seconds: float,
    nodes: Sequence[str],
    kinds: Sequence[str] = tuple(KINDS),
    every_s: float = 1.0,
    max_share: float = 0.2,
) -> list[Fault]:
    """Return random faults for a run: about one per `every_s`, on at most `max_share` of the nodes at a time.

    Every kind is used once before any is used again, as far as the run is long enough. A target has at most
    one fault at a time, and a replaced node gets no further fault. Raises FaultError on an unknown kind.
    """
    for kind in kinds:
        validated_figures(kind, {})
    rng = random.Random(seed)
    free_at = dict.fromkeys(nodes, 0.0) | {"origin": 0.0, "registry": 0.0, "fleet": 0.0}
    faults: list[Fault] = []
    undrawn: list[str] = []
    at = rng.uniform(0.3, 1.0) * every_s
    while at < seconds:
        undrawn = undrawn or rng.sample(list(kinds), len(kinds))
        kind = undrawn.pop()
        fault_kind = KINDS[kind]
        length = min(rng.uniform(*fault_kind.seconds), max(seconds - at, 0.1))
        figures: dict[str, Any] = {
            name: round(rng.uniform(low, high), 3) for name, (low, high) in fault_kind.figures.items()
        }
        if "spoil" in kind:
            hows = [how for how in CORRUPTIONS if how != "interim" or kind == "origin_spoil"]
            figures["how"] = rng.choice(hows)
        if fault_kind.target == "node":
            faulty = sum(1 for name in nodes if at < free_at[name] < float("inf"))
            choices = [name for name in nodes if free_at[name] <= at]
            target = rng.choice(choices) if choices and faulty < max(max_share * len(nodes), 1) else ""
        else:
            target = fault_kind.target if free_at[fault_kind.target] <= at else ""
        if target:
            until = 0.0 if kind in ONE_SHOT_KINDS else round(at + length, 3)
            faults.append(Fault(round(at, 3), until, kind, target, figures))
            # A second of pause, so that the registry lists the node again before its next fault.
            free_at[target] = float("inf") if kind.startswith("replace") else at + length + 1.0
        at += rng.expovariate(1 / every_s)
    return faults
