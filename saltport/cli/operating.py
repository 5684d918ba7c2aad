"""Commands for operators of one router: its figures, its state, drains, and servers taken out by hand."""

from __future__ import annotations

import sys
from typing import TYPE_CHECKING

import click

from saltport.cli.common import AS_JSON, ROUTER, ask, dump, show
from saltport.cli.status import status_lines

if TYPE_CHECKING:
    from saltport.address import Address


@click.command()
@ROUTER
def stats(router: Address) -> None:
    """Show the figures of the router that operators call here, as JSON."""
    dump(ask(router, "/stats"), indent=True)


@click.command()
@ROUTER
@click.argument("server")
def maint(router: Address, server: str) -> None:
    """Send nothing more to a cache server, until `saltport ready`."""
    from saltport.admin.client import server_path

    dump(ask(router, server_path(server, "maint"), "PUT"))


@click.command()
@ROUTER
@click.argument("server")
def ready(router: Address, server: str) -> None:
    """Use a cache server again."""
    from saltport.admin.client import server_path

    dump(ask(router, server_path(server, "ready"), "PUT"))


@click.command()
@ROUTER
def drain(router: Address) -> None:
    """Empty a router: clients are told to go elsewhere, and their connections close."""
    dump(ask(router, "/healthcheck/fail", "PUT"))


@click.command()
@ROUTER
def resume(router: Address) -> None:
    """Put a drained router back to work."""
    dump(ask(router, "/healthcheck/ok", "PUT"))


@click.command()
@ROUTER
@AS_JSON
def status(router: Address, as_json: bool) -> None:
    """Show the state of the router that operators call here."""
    state = ask(router, "/state")
    if as_json:
        dump(state, indent=True)
    else:
        click.echo("\n".join(status_lines(state)))


@click.command()
@ROUTER
@click.option("--settle", is_flag=True, help="First take the present view as the yardstick of majorities.")
@AS_JSON
def peers(router: Address, settle: bool, as_json: bool) -> None:
    """Show what a router believes of the other routers: who is alive, who is heard, where it stands."""
    from saltport.peers.formatting import format_report

    if settle:
        ask(router, "/peers/settle", "PUT")
    show("peers", ask(router, "/peers"), format_report, as_json)


@click.command()
@ROUTER
@click.option("--step-down", is_flag=True, help="Hand the lead to the voter that is most up to date.")
@click.option("--transfer", metavar="VOTER", help="Hand the lead to this voter.")
@click.option("--may", metavar="PIECE", help="Status 0 and the epoch if this router may work on it, else 1.")
@AS_JSON
def owners(router: Address, step_down: bool, transfer: str | None, may: str | None, as_json: bool) -> None:
    """Show who owns which of the fleet's work, with epochs and leases."""
    from saltport.admin.client import voter_path
    from saltport.owners.formatting import format_report

    if step_down:
        ask(router, "/owners/step-down", "PUT")
    if transfer is not None:
        ask(router, voter_path(transfer), "PUT")
    report = ask(router, "/owners")
    if may is not None:
        epoch = report.get("holds", {}).get(may)
        click.echo("no" if epoch is None else epoch)
        sys.exit(epoch is None)
    show("owners", report, format_report, as_json)
