"""`saltport load`: drive load at routers."""

from __future__ import annotations

import sys
from pathlib import Path
from typing import TYPE_CHECKING, Any

import click

from saltport.cli.common import ADDRESS_TYPE, EXIT_FAILURE, EXIT_USAGE, FILE_PATH, JSON_FLAG, fail, print_json

if TYPE_CHECKING:
    from saltport.address import Address
    from saltport.load.plan import LoadPlan
    from saltport.standins.ledger import Ledger


@click.command()
@click.option(
    "--router", "routers", type=ADDRESS_TYPE, multiple=True, required=True, help="May be given again."
)
@click.option("--rate", "steps", default="100", show_default=True, help="RATE, or RATE,SECONDS:RATE,...")
@click.option("--seconds", default=10.0, show_default=True, type=click.FloatRange(0, min_open=True))
@click.option(
    "--closed",
    default=0,
    type=click.IntRange(0),
    help="Closed loop with this many clients, each of which sends one request at a time; 0: open loop.",
)
@click.option("--keys", default=2000, show_default=True, type=click.IntRange(1))
@click.option("--zipf", default=1.0, show_default=True, type=click.FloatRange(0))
@click.option(
    "--scan",
    default=0.0,
    show_default=True,
    type=click.FloatRange(0, 1),
    help="Share of requests for keys that are requested only once.",
)
@click.option(
    "--hot",
    default=0.0,
    show_default=True,
    type=click.FloatRange(0, 1),
    help="Share of requests for one hot key.",
)
@click.option(
    "--hot-from", default=0.0, show_default=True, help="Time in seconds at which the key becomes hot."
)
@click.option("--hot-until", default=1e9, help="Time in seconds until which the key is hot.")
@click.option(
    "--hot-every",
    default=0.0,
    help="Seconds for which the key is hot and then cold, alternating; 0: always hot.",
)
@click.option("--retries", default=2, show_default=True, type=click.IntRange(0))
@click.option("--seed", default=1, show_default=True)
@click.option("--plot", is_flag=True, help="Draw the run over time.")
@click.option("--ledger", type=FILE_PATH, help="Write the clients' ledger, for `saltport audit`.")
@JSON_FLAG
def load(
    routers: tuple[Address, ...],
    steps: str,
    closed: int,
    plot: bool,
    ledger: Path | None,
    as_json: bool,
    **options: Any,
) -> None:
    """Drive load at routers, by default as an open loop; latencies count from the intended start."""
    import uvloop

    from saltport.load import report
    from saltport.load.plan import LoadPlan, PlanError, parse_steps
    from saltport.standins.ledger import Ledger

    try:
        plan = LoadPlan(parse_steps(steps), **options)
        client_ledger = Ledger("clients", ledger)
    except (PlanError, OSError) as error:
        fail(str(error), EXIT_USAGE)

    named = {f"r{number + 1}": address for number, address in enumerate(routers)}
    try:
        summary = uvloop.run(_drive(plan, named, client_ledger, closed))
    except KeyboardInterrupt:
        fail("interrupted", EXIT_FAILURE)
    finally:
        client_ledger.close()
    if as_json:
        print_json(summary)
    else:
        click.echo(report.table(summary))
    if plot:
        click.echo(report.plot(summary), err=as_json)
    sys.exit(not summary["served"])


async def _drive(plan: LoadPlan, routers: dict[str, Address], ledger: Ledger, closed: int) -> dict[str, Any]:
    from saltport.load.driver import LoadDriver
    from saltport.standins.profile import Profile

    driver = LoadDriver(plan, Profile(), routers, ledger, closed)
    return await driver.run(lambda line: click.echo(line, err=True))
