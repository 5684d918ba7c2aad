"""Commands that prove: an audit of ledgers, and routers under a schedule of faults."""

from __future__ import annotations

import sys
from dataclasses import dataclass
from pathlib import Path
from typing import TYPE_CHECKING, Any

import click
import orjson

from saltport.cli.common import AS_JSON, EXISTING_FILE, EXIT_USAGE, EXIT_WRONG, FILE, dump, fail

if TYPE_CHECKING:
    from saltport.nemesis.schedule import ScheduledFault


@click.command()
@click.option("--routers", default=6, show_default=True, type=click.IntRange(2, 60))
@click.option("--seed", default=1, show_default=True, help="Of the links, and of a drawn schedule.")
@click.option("--schedule", type=FILE, help="Acts in TOML; else they are drawn by the seed.")
@click.option("--seconds", default=60.0, show_default=True, type=click.FloatRange(10), help="Of a drawn one.")
@click.option("--rate", default=0.0, show_default=True, help="Requests a second beside it, audited.")
@click.option(
    "--voters", default="0", show_default=True, type=click.Choice(["0", "3", "5"]), help="Of owners."
)
@click.option("--zones", is_flag=True, help="Zones by common plans, and zones that are lost; takes voters.")
@click.option("--plot", is_flag=True, help="Draw how long deaths took to be known.")
@AS_JSON
def nemesis(plot: bool, as_json: bool, **options: Any) -> None:
    """Start routers that know one another, break the links between them, stop and kill them, and judge."""
    asked = _Nemesis(**options)
    report = _play(asked)
    if plot and report["detections_s"]:
        from saltport.load.report import histogram

        click.echo(histogram(report["detections_s"], "seconds until all knew of a death"), err=as_json)
    report["repeat"] = asked.repeat()
    dump(report, indent=not as_json)
    click.echo(f"{'clean' if report['clean'] else 'BROKEN'}; again: {report['repeat']}", err=True)
    sys.exit(not report["clean"])


@dataclass(frozen=True)
class _Nemesis:
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
            fail(f"--voters: there are {self.routers} routers only", EXIT_USAGE)
        if self.zones and self.voters == "0":
            fail("--zones: takes --voters", EXIT_USAGE)

    def acts(self) -> list[ScheduledFault]:
        """The schedule, read or drawn."""
        from saltport.nemesis.schedule import ScheduleError, draw_schedule, read_schedule
        from saltport.standins.fleet import ZONES

        names = [f"r{number + 1}" for number in range(self.routers)]
        places = ZONES if self.zones else ()
        try:
            if self.schedule:
                return read_schedule(self.schedule, names, places or ("none",))
            return draw_schedule(self.seed, names, self.seconds, zones=places)
        except ScheduleError as error:
            fail(str(error), EXIT_USAGE)

    def repeat(self) -> str:
        """The command that plays it again."""
        which = f"--schedule {self.schedule}" if self.schedule else f"--seconds {self.seconds:g}"
        return (
            f"saltport nemesis --routers {self.routers} --seed {self.seed} {which} --rate {self.rate:g} "
            f"--voters {self.voters}{' --zones' * self.zones}"
        )


def _play(asked: _Nemesis) -> dict[str, Any]:
    import signal
    import tempfile

    import uvloop

    from saltport.harness import HarnessError
    from saltport.nemesis.runner import Nemesis, NemesisError, run_nemesis

    acts = asked.acts()
    nodes = 30 if asked.zones else 2
    try:
        # Danger: ended by SIGTERM as it is, this process would leave its routers running.
        signal.signal(signal.SIGTERM, signal.default_int_handler)
        with tempfile.TemporaryDirectory(prefix="saltport-nemesis-") as folder:
            run = Nemesis(
                Path(folder), asked.routers, asked.seed, nodes, int(asked.voters), failover=asked.zones
            )
            return uvloop.run(run_nemesis(run, acts, lambda line: click.echo(line, err=True), asked.rate))
    except (HarnessError, NemesisError, OSError) as error:
        fail(str(error), EXIT_WRONG)
    except KeyboardInterrupt:
        fail("ended before its time", EXIT_WRONG)


@click.command()
@click.argument("ledgers", type=EXISTING_FILE, nargs=-1, required=True)
@click.option("--slack-ms", default=50, show_default=True, type=click.IntRange(0))
@AS_JSON
def audit(ledgers: tuple[Path, ...], slack_ms: int, as_json: bool) -> None:
    """Prove the four rules over a run from its ledgers. Status 1 if one was broken."""
    from saltport.audit import AuditError, Limits, merge
    from saltport.audit import audit as prove
    from saltport.standins.ledger import read_ledger
    from saltport.standins.profile import Profile

    try:
        records = merge(read_ledger(path) for path in ledgers)
        verdict = prove(records, Profile(), Limits(slack_ms, slack_ms, slack_ms, slack_ms))
    except (AuditError, orjson.JSONDecodeError, KeyError, TypeError) as error:
        fail(f"no ledgers of one run: {error}", EXIT_USAGE)
    if as_json:
        dump(verdict.as_json())
    else:
        for violation in verdict.violations:
            click.echo(f"{violation.rule}: {violation.what}")
        cases = ", ".join(f"{rule} {count}" for rule, count in verdict.checked.items())
        click.echo(f"{'clean' if verdict.clean else f'{len(verdict.violations)} violations'}; cases: {cases}")
    sys.exit(not verdict.clean)
