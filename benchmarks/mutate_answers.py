"""Tests mutated answers on both wires: `python -m benchmarks.mutate_answers [--seconds 600] [--seed N]`.

Each round is a hypothesis run with its own seed over the cases of `tests/wire/mutations.py`, for each wire in
turn. It stops at the first value that a simple strict reader does not read from the same bytes, and prints
the minimized case and its seed.
"""

from __future__ import annotations

import argparse
import random
import sys
import time
from collections import Counter

from hypothesis import HealthCheck, given, seed, settings

from tests.wire.mutations import CACHE, ORIGIN, Case, Wire, cases, check, logging_disabled

CASES_PER_ROUND = 5_000


def run_round(wire: Wire, round_seed: int, counts: Counter[str]) -> None:
    """Run one round; raise an error if the router accepts an invalid value."""

    @seed(round_seed)
    @settings(
        max_examples=CASES_PER_ROUND, deadline=None, database=None, suppress_health_check=list(HealthCheck)
    )
    @given(case=cases(wire))
    def check_case(case: Case) -> None:
        counts[check(wire, case).value] += 1

    check_case()


def main() -> int:
    """Run rounds until the time is up; print the number of cases by result."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--seconds", type=float, default=600.0)
    parser.add_argument("--seed", type=int, default=random.SystemRandom().randrange(1 << 31))
    arguments = parser.parse_args()
    counts: dict[str, Counter[str]] = {"cache": Counter(), "origin": Counter()}
    end, round_seed = time.monotonic() + arguments.seconds, arguments.seed
    print(f"seed {arguments.seed}", flush=True)
    with logging_disabled():
        while time.monotonic() < end:
            for name, wire in (("cache", CACHE), ("origin", ORIGIN)):
                try:
                    run_round(wire, round_seed, counts[name])
                except Exception:
                    print(f"FAILED on wire {name}, seed {round_seed}", flush=True)
                    raise
            round_seed += 1
    for name, results in counts.items():
        print(f"{name}: {results.total()} cases, {dict(sorted(results.items()))}")
    cases_played = sum(results.total() for results in counts.values())
    print(f"{cases_played} cases, seeds {arguments.seed} to {round_seed - 1}, none failed")
    return 0


if __name__ == "__main__":
    sys.exit(main())
