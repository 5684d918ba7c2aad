"""What strikes when: read from a file or drawn by seed. No I/O beyond reading the file."""

from __future__ import annotations

import random
import tomllib
from collections.abc import Sequence
from dataclasses import dataclass
from pathlib import Path
from typing import Any

from saltport.decisions.settings import WireError, number

KINDS = ("kill", "restart", "stop", "cut", "partition", "loss", "delay", "double")
ZONE = "zone"  # all servers of the zones named say nothing; only where zones go by plans
"""What each does: docs/operations/peers.md."""
LONGEST_S = 3_600.0


class ScheduleError(ValueError):
    """A schedule can't be used; the text is one plain line."""


@dataclass(frozen=True, slots=True)
class Act:
    """One fault, `at` so many seconds from the beginning."""

    at: float
    kind: str
    seconds: float
    who: tuple[str, ...] = ()
    whom: tuple[str, ...] = ()
    share: float = 0.0

    def __str__(self) -> str:
        whom = f" to {','.join(self.whom)}" if self.whom else ""
        share = f" {self.share:g}" if self.share else ""
        return f"{self.kind}{share} {','.join(self.who) or 'all'}{whom} for {self.seconds:g} s"


def _names(where: str, told: Any, known: Sequence[str], what: str) -> tuple[str, ...]:
    names = [told] if isinstance(told, str) else told
    if not isinstance(names, list):
        raise ScheduleError(f"{where}: expected a name or a list of names")
    for name in names:
        if name not in known:
            raise ScheduleError(f"{where}: {name!r} is no {what}; there are {known[0]} to {known[-1]}")
    return tuple(names)


def read_schedule(path: Path, routers: Sequence[str], zones: Sequence[str] = ("none",)) -> list[Act]:
    """The acts of a TOML file with `[[act]]` entries, in order of time; raises ScheduleError."""
    try:
        told = tomllib.loads(path.read_text())
    except OSError as error:
        raise ScheduleError(f"{path}: can't be read: {error.strerror or error}") from None
    except (tomllib.TOMLDecodeError, UnicodeDecodeError) as error:
        raise ScheduleError(f"{path}: no TOML: {error}") from None
    entries = told.pop("act", None)
    if told or not isinstance(entries, list):
        raise ScheduleError(f"{path}: expected [[act]] entries and nothing else")
    acts = []
    for place, entry in enumerate(entries):
        where = f"{path}: act[{place}]"
        named = set(entry) if isinstance(entry, dict) else set()
        if not {"at", "kind", "seconds"} <= named <= set(Act.__dataclass_fields__):
            raise ScheduleError(f"{where}: expected at, kind, seconds, and perhaps who, whom, share")
        if entry["kind"] not in (*KINDS, ZONE):
            raise ScheduleError(f"{where}: unknown kind {entry['kind']!r}; there are {', '.join(KINDS)}")
        try:
            at, seconds = (number(f"{where}.{key}", entry[key], 0, LONGEST_S) for key in ("at", "seconds"))
            share = number(f"{where}.share", entry.get("share", 0), 0, 10)
        except WireError as error:
            raise ScheduleError(str(error)) from None
        known, what = (zones, "zone") if entry["kind"] == ZONE else (routers, "router")
        who, whom = (_names(f"{where}.{key}", entry.get(key, []), known, what) for key in ("who", "whom"))
        act = Act(at, entry["kind"], seconds, who, whom, share)
        if act.kind in ("kill", "restart", "stop", "cut", "partition", ZONE) and not act.who:
            raise ScheduleError(f"{where}.who: must be named")
        acts.append(act)
    return sorted(acts, key=lambda act: act.at)


def draw_schedule(
    seed: int, routers: Sequence[str], seconds: float, every_s: float = 4.0, zones: Sequence[str] = ()
) -> list[Act]:
    """Every kind in turn, in an order and on routers drawn by seed; the last quarter is calm.

    With zones one of them is lost now and then, too.
    """
    rng = random.Random(seed)
    acts: list[Act] = []
    at = 2.0
    bag: list[str] = []
    while at < seconds * 0.75 - 2:
        if not bag:
            bag = rng.sample(sorted(KINDS), len(KINDS)) + [ZONE] * bool(zones)
        kind = bag.pop()
        some = tuple(rng.sample(list(routers), rng.randint(1, max(len(routers) // 6, 1))))
        length = round(min(rng.uniform(1.0, 12.0), seconds * 0.8 - at), 1)
        whom: tuple[str, ...] = ()
        share = 0.0
        match kind:
            case "cut":
                some, whom = some[:1], tuple(rng.sample(list(routers), rng.randint(1, len(routers))))
            case "partition":
                some = tuple(rng.sample(list(routers), rng.randint(1, len(routers) // 2)))
            case "zone":
                some = (rng.choice(list(zones)),)
            case "loss" | "double" | "delay":
                some, share = (), round(rng.uniform(0.05, 0.3), 2)
        acts.append(Act(round(at, 1), kind, length, some, whom, share))
        at += rng.expovariate(1 / every_s)
    return acts
