"""Mutate answers on both wires for minutes: `python -m benchmarks.mutate_answers [--seconds 600] [--seed N]`.

Each round is a hypothesis run of its own seed over `tests/wire/mutations.py`, on each wire in turn. A value
that a plain strict reader does not read from the same bytes ends it with the case, shrunk, and its seed.
"""

from __future__ import annotations

import argparse
import random
import sys
import time
from collections import Counter

from hypothesis import HealthCheck, given, seed, settings

from tests.wire.mutations import CACHE, ORIGIN, Case, Wire, cases, check, logging_disabled

EXAMPLES = 5_000  # cases of a round


def play(wire: Wire, number: int, counts: Counter[str]) -> None:
    """One round; raises where a value is none."""

    @seed(number)
    @settings(max_examples=EXAMPLES, deadline=None, database=None, suppress_health_check=list(HealthCheck))
    @given(case=cases(wire))
    def one(case: Case) -> None:
        counts[check(wire, case).value] += 1

    one()


def main() -> int:
    """Play rounds until the time is up; print the cases by how they ended."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--seconds", type=float, default=600.0)
    parser.add_argument("--seed", type=int, default=random.SystemRandom().randrange(1 << 31))
    told = parser.parse_args()
    counts: dict[str, Counter[str]] = {"cache": Counter(), "origin": Counter()}
    end, number = time.monotonic() + told.seconds, told.seed
    print(f"seed {told.seed}", flush=True)
    with logging_disabled():
        while time.monotonic() < end:
            for name, wire in (("cache", CACHE), ("origin", ORIGIN)):
                try:
                    play(wire, number, counts[name])
                except Exception:
                    print(f"FAILED on wire {name}, seed {number}", flush=True)
                    raise
            number += 1
    for name, ends in counts.items():
        print(f"{name}: {ends.total()} cases, {dict(sorted(ends.items()))}")
    cases_played = sum(ends.total() for ends in counts.values())
    print(f"{cases_played} cases, seeds {told.seed} to {number - 1}, none failed")
    return 0


if __name__ == "__main__":
    sys.exit(main())
