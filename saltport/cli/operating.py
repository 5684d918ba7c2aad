"""Operator commands for one router: statistics, state, drains, and maintenance of cache servers."""

from __future__ import annotations

import sys
from typing import TYPE_CHECKING

import click

from saltport.cli.common import JSON_FLAG, ROUTER_ARGUMENT, call_router, print_json, print_report
from saltport.cli.status import status_lines

if TYPE_CHECKING:
    from saltport.address import Address


@click.command()
@ROUTER_ARGUMENT
def stats(router: Address) -> None:
    """Show the statistics of the router with this admin address, as JSON."""
    print_json(call_router(router, "/stats"), indent=True)


@click.command()
@ROUTER_ARGUMENT
@click.argument("server")
def maint(router: Address, server: str) -> None:
    """Put a cache server into maintenance: this router sends it no requests until `saltport ready`."""
    from saltport.admin.client import server_path

    print_json(call_router(router, server_path(server, "maint"), "PUT"))


@click.command()
@ROUTER_ARGUMENT
@click.argument("server")
def ready(router: Address, server: str) -> None:
    """End the maintenance of a cache server at this router."""
    from saltport.admin.client import server_path

    print_json(call_router(router, server_path(server, "ready"), "PUT"))


@click.command()
@ROUTER_ARGUMENT
def drain(router: Address) -> None:
    """Drain a router: clients are asked to use another router, and their connections are closed."""
    print_json(call_router(router, "/healthcheck/fail", "PUT"))


@click.command()
@ROUTER_ARGUMENT
def resume(router: Address) -> None:
    """Put a drained router back into service."""
    print_json(call_router(router, "/healthcheck/ok", "PUT"))


@click.command()
@ROUTER_ARGUMENT
@JSON_FLAG
def status(router: Address, as_json: bool) -> None:
    """Show the state of the router with this admin address."""
    state = call_router(router, "/state")
    if as_json:
        print_json(state, indent=True)
    else:
        click.echo("\n".join(status_lines(state)))


@click.command()
@ROUTER_ARGUMENT
@click.option("--settle", is_flag=True, help="First make the current view the reference for majorities.")
@JSON_FLAG
def peers(router: Address, settle: bool, as_json: bool) -> None:
    """Show a router's view of the other routers: their state and reachability, and its quorum state."""
    from saltport.peers.formatting import format_report

    if settle:
        call_router(router, "/peers/settle", "PUT")
    print_report("peers", call_router(router, "/peers"), format_report, as_json)


@click.command()
@ROUTER_ARGUMENT
@click.option("--step-down", is_flag=True, help="Transfer leadership to the most up-to-date voter.")
@click.option("--transfer", metavar="VOTER", help="Transfer leadership to this voter.")
@click.option(
    "--may",
    metavar="PIECE",
    help="Print the epoch and exit with 0 if this router owns the piece of work, else with 1.",
)
@JSON_FLAG
def owners(router: Address, step_down: bool, transfer: str | None, may: str | None, as_json: bool) -> None:
    """Show the owner of each piece of the fleet's work, with epochs and leases."""
    from saltport.admin.client import voter_path
    from saltport.owners.formatting import format_report

    if step_down:
        call_router(router, "/owners/step-down", "PUT")
    if transfer is not None:
        call_router(router, voter_path(transfer), "PUT")
    report = call_router(router, "/owners")
    if may is not None:
        epoch = report.get("holds", {}).get(may)
        click.echo("no" if epoch is None else epoch)
        sys.exit(epoch is None)
    print_report("owners", report, format_report, as_json)
