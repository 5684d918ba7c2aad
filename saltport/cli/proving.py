"""Verification commands: the audit of ledgers, and fault injection on a fleet of routers."""

from __future__ import annotations

import sys
from dataclasses import dataclass
from pathlib import Path
from typing import TYPE_CHECKING, Any

import click
import orjson

from saltport.cli.common import (
    EXISTING_FILE_PATH,
    EXIT_FAILURE,
    EXIT_USAGE,
    FILE_PATH,
    JSON_FLAG,
    fail,
    print_json,
)

if TYPE_CHECKING:
    from saltport.nemesis.schedule import ScheduledFault


@click.command()
@click.option("--routers", default=6, show_default=True, type=click.IntRange(2, 60))
@click.option("--seed", default=1, show_default=True, help="Seed of the links and of a drawn schedule.")
@click.option(
    "--schedule", type=FILE_PATH, help="A TOML file of faults; without it they are drawn from the seed."
)
@click.option(
    "--seconds",
    default=60.0,
    show_default=True,
    type=click.FloatRange(10),
    help="Length of a drawn schedule.",
)
@click.option(
    "--rate", default=0.0, show_default=True, help="Requests per second of an audited load; 0: no load."
)
@click.option(
    "--voters",
    default="0",
    show_default=True,
    type=click.Choice(["0", "3", "5"]),
    help="Number of routers that vote on owners.",
)
@click.option(
    "--zones", is_flag=True, help="Turn zone failover on and inject losses of zones; requires --voters."
)
@click.option("--plot", is_flag=True, help="Plot the detection times of deaths.")
@JSON_FLAG
def nemesis(plot: bool, as_json: bool, **options: Any) -> None:
    """Run a fleet of routers under injected faults (cut links, stops, kills) and check its history."""
    run = _NemesisOptions(**options)
    report = _play(run)
    if plot and report["detections_s"]:
        from saltport.load.report import histogram

        click.echo(
            histogram(report["detections_s"], "seconds until all routers reported a death"), err=as_json
        )
    report["repeat"] = run.repeat()
    print_json(report, indent=not as_json)
    click.echo(f"{'clean' if report['clean'] else 'BROKEN'}; repeat with: {report['repeat']}", err=True)
    sys.exit(not report["clean"])


@dataclass(frozen=True)
class _NemesisOptions:
    """The options of `saltport nemesis`."""

    routers: int
    seed: int
    schedule: Path | None
    seconds: float
    rate: float
    voters: str
    zones: bool

    def __post_init__(self) -> None:
        if int(self.voters) > self.routers:
            fail(f"--voters: there are only {self.routers} routers", EXIT_USAGE)
        if self.zones and self.voters == "0":
            fail("--zones: requires --voters", EXIT_USAGE)

    def faults(self) -> list[ScheduledFault]:
        """Return the schedule of faults, read from the file or drawn from the seed."""
        from saltport.nemesis.schedule import ScheduleError, draw_schedule, read_schedule
        from saltport.standins.fleet import ZONES

        names = [f"r{number + 1}" for number in range(self.routers)]
        zones = ZONES if self.zones else ()
        try:
            if self.schedule:
                return read_schedule(self.schedule, names, zones or ("none",))
            return draw_schedule(self.seed, names, self.seconds, zones=zones)
        except ScheduleError as error:
            fail(str(error), EXIT_USAGE)

    def repeat(self) -> str:
        """Return the command line that repeats the run."""
        schedule = f"--schedule {self.schedule}" if self.schedule else f"--seconds {self.seconds:g}"
        return (
            f"saltport nemesis --routers {self.routers} --seed {self.seed} {schedule} --rate {self.rate:g} "
            f"--voters {self.voters}{' --zones' * self.zones}"
        )


def _play(options: _NemesisOptions) -> dict[str, Any]:
    import signal
    import tempfile

    import uvloop

    from saltport.harness import HarnessError
    from saltport.nemesis.runner import Nemesis, NemesisError, run_nemesis

    faults = options.faults()
    nodes = 30 if options.zones else 2
    try:
        # Danger: with the default action of SIGTERM, this process would end and leave its routers running.
        signal.signal(signal.SIGTERM, signal.default_int_handler)
        with tempfile.TemporaryDirectory(prefix="saltport-nemesis-") as folder:
            fleet = Nemesis(
                Path(folder),
                options.routers,
                options.seed,
                nodes,
                int(options.voters),
                failover=options.zones,
            )
            return uvloop.run(
                run_nemesis(fleet, faults, lambda line: click.echo(line, err=True), options.rate)
            )
    except (HarnessError, NemesisError, OSError) as error:
        fail(str(error), EXIT_FAILURE)
    except KeyboardInterrupt:
        fail("interrupted", EXIT_FAILURE)


@click.command()
@click.argument("ledgers", type=EXISTING_FILE_PATH, nargs=-1, required=True)
@click.option("--slack-ms", default=50, show_default=True, type=click.IntRange(0))
@JSON_FLAG
def audit(ledgers: tuple[Path, ...], slack_ms: int, as_json: bool) -> None:
    """Check the rules of the project on the ledgers of a run. Exit status 1 if a rule was broken."""
    from saltport.audit import AuditError, Limits, merge
    from saltport.audit import audit as check_records
    from saltport.standins.ledger import read_ledger
    from saltport.standins.profile import Profile

    try:
        records = merge(read_ledger(path) for path in ledgers)
        verdict = check_records(records, Profile(), Limits(slack_ms, slack_ms, slack_ms, slack_ms))
    except (AuditError, orjson.JSONDecodeError, KeyError, TypeError) as error:
        fail(f"not the ledgers of one run: {error}", EXIT_USAGE)
    if as_json:
        print_json(verdict.as_json())
    else:
        for violation in verdict.violations:
            click.echo(f"{violation.rule}: {violation.what}")
        cases = ", ".join(f"{rule} {count}" for rule, count in verdict.checked.items())
        click.echo(f"{'clean' if verdict.clean else f'{len(verdict.violations)} violations'}; cases: {cases}")
    sys.exit(not verdict.clean)
