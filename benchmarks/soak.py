"""The long soak: `python -m benchmarks.soak [--seconds 600]`; its ledgers stay in the folder it names."""

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

MOST_SHOWN = 20


def main() -> int:
    """Run it; exit status 1 if the audit is not clean."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--seconds", type=float, default=600.0)
    parser.add_argument("--nodes", type=int, default=30)
    parser.add_argument("--routers", type=int, default=3)
    parser.add_argument("--rate", type=float, default=400.0)
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument("--restart-every", type=float, default=20.0)
    parser.add_argument("--kind", action="append", help="only this kind of fault; may be given again")
    parser.add_argument("--slack-ms", type=int, default=50)
    told = parser.parse_args()
    more = {"kinds": told.kind} if told.kind else {}
    soak = Soak(
        told.seconds,
        told.nodes,
        told.routers,
        told.rate,
        told.seed,
        restart_every_s=told.restart_every,
        **more,
    )
    folder = Path(tempfile.mkdtemp(prefix="saltport-soak-"))
    slack = told.slack_ms
    limits = Limits(slack, slack, slack, slack)
    result = uvloop.run(run_soak(soak, folder, limits, lambda line: print(line, file=sys.stderr)))
    print(table(result.summary))
    print(plot(result.summary))
    print(orjson.dumps({"struck": result.fault_counts, **result.verdict.as_json(MOST_SHOWN)}).decode())
    print(f"ledgers and logs: {folder}")
    return 0 if result.verdict.clean else 1


if __name__ == "__main__":
    sys.exit(main())
