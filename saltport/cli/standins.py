"""Commands that run stand-ins for cache servers, origin and registry, and their faults."""

from __future__ import annotations

import sys
from pathlib import Path
from typing import TYPE_CHECKING, Any

import click

from saltport.cli.common import ADDRESS, AS_JSON, EXIT_USAGE, EXIT_WRONG, FILE, dump, fail

if TYPE_CHECKING:
    from saltport.address import Address


@click.command()
@click.option("--seconds", type=click.FloatRange(0, min_open=True), help="End by itself; else at Ctrl-C.")
@click.option("--nodes", default=6, show_default=True, type=click.IntRange(1, 500))
@click.option("--routers", default=1, show_default=True, type=click.IntRange(1, 50))
@click.option("--rate", default=60.0, show_default=True, type=click.FloatRange(0, min_open=True))
@click.option("--fault", metavar="NAME", help="A fault that strikes now and then; see `saltport fault list`.")
@click.option("--seed", default=1, show_default=True)
@AS_JSON
def demo(**told: Any) -> None:
    """Stand-ins, a router and light load on loopback, with nothing else to set up."""
    import uvloop

    from saltport.demo import DemoOptions, run_demo
    from saltport.harness import HarnessError
    from saltport.standins.faults import FaultError, validated_figures

    options = DemoOptions(**told)
    try:
        if options.fault is not None:
            validated_figures(options.fault, {})
        status = uvloop.run(run_demo(options, lambda line: click.echo(line, err=True)))
    except FaultError as error:
        fail(str(error), EXIT_USAGE)
    except (HarnessError, OSError) as error:
        fail(str(error), EXIT_WRONG)
    except KeyboardInterrupt:
        status = 1
    sys.exit(status)


@click.command()
@click.option("--nodes", default=8, show_default=True, type=click.IntRange(1))
@click.option(
    "--router", "routers", multiple=True, default=("r1",), help="A router's name; one registry each."
)
@click.option("--control", default=0, help="The control socket's port; 0: any.")
@click.option("--seed", default=1, show_default=True)
@click.option("--ledger", type=FILE, help="Write the fleet's ledger.")
def standins(nodes: int, routers: tuple[str, ...], control: int, seed: int, ledger: Path | None) -> None:
    """Run a fleet of stand-ins; the first line tells the addresses as JSON."""
    import uvloop

    from saltport.standins.__main__ import serve
    from saltport.standins.ledger import Ledger
    from saltport.standins.profile import Profile

    try:
        uvloop.run(serve(nodes, list(routers), seed, control, Ledger("fleet", ledger), Profile()))
    except OSError as error:
        fail(str(error), EXIT_WRONG)


@click.group()
def fault() -> None:
    """Faults on a running fleet of stand-ins, through its control socket."""


_CONTROL = click.option("--control", type=ADDRESS, required=True, help="The fleet's control socket.")


def _call(control: Address, do: str, **fields: Any) -> None:
    import asyncio

    from saltport.standins.control import ControlClient
    from saltport.standins.faults import FaultError

    async def call() -> dict[str, Any]:
        client = await ControlClient.connect(control)
        try:
            return await client.call(do, **fields)
        finally:
            await client.close()

    try:
        dump(asyncio.run(call()), indent=True)
    except FaultError as error:
        fail(str(error), EXIT_USAGE)
    except OSError as error:
        fail(f"{control[0]}:{control[1]}: {error.strerror or error}", EXIT_WRONG)


@fault.command("list")
@AS_JSON
def list_faults(as_json: bool) -> None:
    """Name every fault there is."""
    from saltport.standins.faults import KINDS

    if as_json:
        dump({name: {"target": kind.target, "about": kind.about} for name, kind in KINDS.items()})
    else:
        for name, kind in KINDS.items():
            click.echo(f"{name:14} {kind.target:9} {kind.about}")


@fault.command()
@_CONTROL
@click.argument("kind")
@click.argument("target", default="")
@click.option("--figure", "figures", multiple=True, metavar="NAME=VALUE", help="May be given again.")
def strike(control: Address, kind: str, target: str, figures: tuple[str, ...]) -> None:
    """Begin a fault now."""
    told: dict[str, Any] = {}
    for figure in figures:
        name, sign, value = figure.partition("=")
        if not sign:
            fail(f"--figure: expected NAME=VALUE, got {figure!r}", EXIT_USAGE)
        try:
            told[name] = float(value)
        except ValueError:
            told[name] = value
    _call(control, "strike", kind=kind, target=target, figures=told)


@fault.command()
@_CONTROL
@click.argument("target")
def mend(control: Address, target: str) -> None:
    """End the fault of a target."""
    _call(control, "mend", target=target)


@fault.command()
@_CONTROL
@click.option("--seed", default=1, show_default=True)
@click.option("--seconds", default=30.0, show_default=True, type=click.FloatRange(0, min_open=True))
@click.option("--kind", "kinds", multiple=True, help="Only these kinds; may be given again.")
def play(control: Address, seed: int, seconds: float, kinds: tuple[str, ...]) -> None:
    """Play a seeded schedule of faults, from now."""
    _call(control, "play", seed=seed, seconds=seconds, kinds=list(kinds))


@fault.command()
@_CONTROL
def state(control: Address) -> None:
    """Tell how every stand-in is."""
    _call(control, "state")
