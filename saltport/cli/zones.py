"""Commands for zones: the current plan, evacuation and return of a zone, and freezing of the plan."""

from __future__ import annotations

import time
from typing import TYPE_CHECKING

import click

from saltport.cli.common import EXIT_FAILURE, JSON_FLAG, ROUTER_ARGUMENT, call_router, fail, print_report

if TYPE_CHECKING:
    from saltport.address import Address

ORDER_TIMEOUT_S = 8.0


@click.command()
@ROUTER_ARGUMENT
@JSON_FLAG
def zones(router: Address, as_json: bool) -> None:
    """Show how reads are distributed over zones, and the zone failover plan that prescribes it.

    The router that decides on the plan also shows the demand, capacity and failures of each zone.
    """
    from saltport.failover.formatting import format_view

    print_report("failover", call_router(router, "/zones"), format_view, as_json)


def _send_order(router: Address, path: str, wait_s: float) -> None:
    """Send an order to change the zone failover plan and wait for the answer of the plan's owner.

    Exits with status 1 if the order is refused or not answered. After its acceptance, waits `wait_s` seconds.
    """
    number = str(call_router(router, path, "PUT")["order"])
    end = time.monotonic() + ORDER_TIMEOUT_S
    while (answer := call_router(router, "/zones")["orders"].get(number)) is None:
        if time.monotonic() > end:
            fail("no answer from the owner", EXIT_FAILURE)
        time.sleep(0.1)
    if answer != "done":
        fail(answer, EXIT_FAILURE)
    time.sleep(wait_s)
    click.echo("done")


_OVER = click.option(
    "--over",
    default=30.0,
    show_default=True,
    type=click.FloatRange(0, 3600),
    help="Seconds over which the reads are moved.",
)
_WAIT = click.option(
    "--wait", is_flag=True, help="Wait until all reads are moved, not only until the move has begun."
)


@click.command()
@ROUTER_ARGUMENT
@click.argument("zone")
@_OVER
@click.option("--force", is_flag=True, help="Evacuate even if the other zones lack the capacity.")
@_WAIT
def evacuate(router: Address, zone: str, over: float, force: bool, wait: bool) -> None:
    """Gradually move all reads away from a zone, at all routers, until `saltport return`."""
    from saltport.admin.client import zone_path

    _send_order(router, zone_path(zone, "evacuate", over, force), over if wait else 0.0)


@click.command("return")
@ROUTER_ARGUMENT
@click.argument("zone")
@_OVER
@_WAIT
def return_(router: Address, zone: str, over: float, wait: bool) -> None:
    """Gradually send reads to an evacuated zone again, at all routers."""
    from saltport.admin.client import zone_path

    _send_order(router, zone_path(zone, "return", over, False), over if wait else 0.0)


@click.command()
@ROUTER_ARGUMENT
@click.argument("what", type=click.Choice(["freeze", "thaw"]))
def failover(router: Address, what: str) -> None:
    """Freeze the current zone failover plan regardless of new observations, or thaw it."""
    _send_order(router, f"/failover/{what}", 0.0)
