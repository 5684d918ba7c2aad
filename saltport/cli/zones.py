"""Commands for zones: where reads go, evacuation and return, and a plan that is held as it is."""

from __future__ import annotations

import time
from typing import TYPE_CHECKING

import click

from saltport.cli.common import AS_JSON, EXIT_WRONG, ROUTER, ask, fail, show

if TYPE_CHECKING:
    from saltport.address import Address

ORDER_S = 8.0  # in which an owner answers, or nobody does


@click.command()
@ROUTER
@AS_JSON
def zones(router: Address, as_json: bool) -> None:
    """Show where reads go by zones, by which plan, and what its owner sees."""
    from saltport.failover.formatting import format_view

    show("failover", ask(router, "/zones"), format_view, as_json)


def _ordered(router: Address, path: str, wait_s: float) -> None:
    """Give an order and wait for the owner's answer; status 1: it was refused, or none came."""
    number = str(ask(router, path, "PUT")["order"])
    end = time.monotonic() + ORDER_S
    while (answer := ask(router, "/zones")["orders"].get(number)) is None:
        if time.monotonic() > end:
            fail("no answer of the owner", EXIT_WRONG)
        time.sleep(0.1)
    if answer != "done":
        fail(answer, EXIT_WRONG)
    time.sleep(wait_s)
    click.echo("done")


_OVER = click.option(
    "--over",
    default=30.0,
    show_default=True,
    type=click.FloatRange(0, 3600),
    help="Seconds that it may take.",
)
_WAIT = click.option("--wait", is_flag=True, help="Until the way is over, not only until it has begun.")


@click.command()
@ROUTER
@click.argument("zone")
@_OVER
@click.option("--force", is_flag=True, help="Also where the others have no room for all.")
@_WAIT
def evacuate(router: Address, zone: str, over: float, force: bool, wait: bool) -> None:
    """Send no reads to a zone any more, at all routers, until `saltport return`."""
    from saltport.admin.client import zone_path

    _ordered(router, zone_path(zone, "evacuate", over, force), over if wait else 0.0)


@click.command("return")
@ROUTER
@click.argument("zone")
@_OVER
@_WAIT
def return_(router: Address, zone: str, over: float, wait: bool) -> None:
    """Send reads to an evacuated zone again, step by step."""
    from saltport.admin.client import zone_path

    _ordered(router, zone_path(zone, "return", over, False), over if wait else 0.0)


@click.command()
@ROUTER
@click.argument("what", type=click.Choice(["freeze", "thaw"]))
def failover(router: Address, what: str) -> None:
    """Freeze the plan as it is, whatever the evidence says, or thaw it."""
    _ordered(router, f"/failover/{what}", 0.0)
