"""Schedules of faults for a fault-injection run, read from a TOML file or drawn from a seed."""

from __future__ import annotations

import random
import tomllib
from collections.abc import Sequence
from dataclasses import dataclass
from pathlib import Path
from typing import Any

from saltport.decisions.settings import WireError, number

KINDS = ("kill", "restart", "stop", "cut", "partition", "loss", "delay", "double")
"""Kinds of faults: routers are killed, restarted gracefully or paused by a signal; links are cut in one
direction or in both (`partition`); or all links lose, delay or duplicate (`double`) datagrams."""
ZONE = "zone"
"""A further kind: all servers of the named zones stop answering; used only with zone failover."""
MAX_TIME_S = 3_600.0


class ScheduleError(ValueError):
    """Raised for a schedule that can't be used; the message is one line."""


@dataclass(frozen=True, slots=True)
class ScheduledFault:
    """A fault that begins `at` seconds after the start of the run and lasts `seconds`.

    `kind` is one of KINDS or ZONE.
    """

    at: float
    kind: str
    seconds: float
    who: tuple[str, ...] = ()
    """The affected routers, or the zones for the kind `zone`; empty for faults on all links."""
    whom: tuple[str, ...] = ()
    """For a cut: the routers that no longer receive datagrams from those in `who`; empty: all others."""
    share: float = 0.0
    """For `loss` and `double`: the share of datagrams; for `delay`: the longest delay in seconds."""

    def __str__(self) -> str:
        whom = f" to {','.join(self.whom)}" if self.whom else ""
        share = f" {self.share:g}" if self.share else ""
        return f"{self.kind}{share} {','.join(self.who) or 'all'}{whom} for {self.seconds:g} s"


def _names(where: str, value: Any, known: Sequence[str], kind: str) -> tuple[str, ...]:
    names = [value] if isinstance(value, str) else value
    if not isinstance(names, list):
        raise ScheduleError(f"{where}: expected a name or a list of names")
    for name in names:
        if name not in known:
            raise ScheduleError(f"{where}: {name!r} is no {kind}; there are {known[0]} to {known[-1]}")
    return tuple(names)


def read_schedule(
    path: Path, routers: Sequence[str], zones: Sequence[str] = ("none",)
) -> list[ScheduledFault]:
    """Return the faults of a TOML file with `[[act]]` entries, ordered by time; raises ScheduleError."""
    try:
        document = tomllib.loads(path.read_text())
    except OSError as error:
        raise ScheduleError(f"{path}: can't be read: {error.strerror or error}") from None
    except (tomllib.TOMLDecodeError, UnicodeDecodeError) as error:
        raise ScheduleError(f"{path}: no TOML: {error}") from None
    entries = document.pop("act", None)
    if document or not isinstance(entries, list):
        raise ScheduleError(f"{path}: expected [[act]] entries and nothing else")
    faults = []
    for place, entry in enumerate(entries):
        where = f"{path}: act[{place}]"
        named = set(entry) if isinstance(entry, dict) else set()
        if not {"at", "kind", "seconds"} <= named <= set(ScheduledFault.__dataclass_fields__):
            raise ScheduleError(f"{where}: expected at, kind, seconds, and optionally who, whom, share")
        if entry["kind"] not in (*KINDS, ZONE):
            raise ScheduleError(f"{where}: unknown kind {entry['kind']!r}; there are {', '.join(KINDS)}")
        try:
            at, seconds = (number(f"{where}.{key}", entry[key], 0, MAX_TIME_S) for key in ("at", "seconds"))
            share = number(f"{where}.share", entry.get("share", 0), 0, 10)
        except WireError as error:
            raise ScheduleError(str(error)) from None
        known, name_kind = (zones, "zone") if entry["kind"] == ZONE else (routers, "router")
        who, whom = (
            _names(f"{where}.{key}", entry.get(key, []), known, name_kind) for key in ("who", "whom")
        )
        fault = ScheduledFault(at, entry["kind"], seconds, who, whom, share)
        if fault.kind in ("kill", "restart", "stop", "cut", "partition", ZONE) and not fault.who:
            raise ScheduleError(f"{where}.who: must be named")
        faults.append(fault)
    return sorted(faults, key=lambda fault: fault.at)


def draw_schedule(
    seed: int, routers: Sequence[str], seconds: float, every_s: float = 4.0, zones: Sequence[str] = ()
) -> list[ScheduledFault]:
    """Return a schedule that is drawn from the seed: kinds in a random order, each on random routers.

    Every kind is used once before one is repeated. No fault begins in the last quarter. With `zones` given,
    the loss of one of them is a further kind.
    """
    rng = random.Random(seed)
    faults: list[ScheduledFault] = []
    at = 2.0
    remaining_kinds: list[str] = []
    while at < seconds * 0.75 - 2:
        if not remaining_kinds:
            remaining_kinds = rng.sample(sorted(KINDS), len(KINDS)) + [ZONE] * bool(zones)
        kind = remaining_kinds.pop()
        who = tuple(rng.sample(list(routers), rng.randint(1, max(len(routers) // 6, 1))))
        length = round(min(rng.uniform(1.0, 12.0), seconds * 0.8 - at), 1)
        whom: tuple[str, ...] = ()
        share = 0.0
        match kind:
            case "cut":
                who, whom = who[:1], tuple(rng.sample(list(routers), rng.randint(1, len(routers))))
            case "partition":
                who = tuple(rng.sample(list(routers), rng.randint(1, len(routers) // 2)))
            case "zone":
                who = (rng.choice(list(zones)),)
            case "loss" | "double" | "delay":
                who, share = (), round(rng.uniform(0.05, 0.3), 2)
        faults.append(ScheduledFault(round(at, 1), kind, length, who, whom, share))
        at += rng.expovariate(1 / every_s)
    return faults
