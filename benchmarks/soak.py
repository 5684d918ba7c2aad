"""Runs a long soak test: `python -m benchmarks.soak [--seconds 600]`; it prints the folder of its ledgers."""

from __future__ import annotations

import argparse
import sys
import tempfile
from pathlib import Path

import orjson
import uvloop

from saltport.audit import Limits
from saltport.load.report import plot, table
from saltport.soak import Soak, run_soak

MAX_SHOWN_VIOLATIONS = 20


def main() -> int:
    """Run the soak test; the exit status is 1 if the audit finds violations."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--seconds", type=float, default=600.0)
    parser.add_argument("--nodes", type=int, default=30)
    parser.add_argument("--routers", type=int, default=3)
    parser.add_argument("--rate", type=float, default=400.0)
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument("--restart-every", type=float, default=20.0)
    parser.add_argument("--kind", action="append", help="only this kind of fault; may be repeated")
    parser.add_argument("--slack-ms", type=int, default=50)
    arguments = parser.parse_args()
    fault_kinds = {"kinds": arguments.kind} if arguments.kind else {}
    soak = Soak(
        arguments.seconds,
        arguments.nodes,
        arguments.routers,
        arguments.rate,
        arguments.seed,
        restart_every_s=arguments.restart_every,
        **fault_kinds,
    )
    folder = Path(tempfile.mkdtemp(prefix="saltport-soak-"))
    slack = arguments.slack_ms
    limits = Limits(slack, slack, slack, slack)
    result = uvloop.run(run_soak(soak, folder, limits, lambda line: print(line, file=sys.stderr)))
    print(table(result.summary))
    print(plot(result.summary))
    print(
        orjson.dumps({"struck": result.fault_counts, **result.verdict.as_json(MAX_SHOWN_VIOLATIONS)}).decode()
    )
    print(f"ledgers and logs: {folder}")
    return 0 if result.verdict.clean else 1


if __name__ == "__main__":
    sys.exit(main())
