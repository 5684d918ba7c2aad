"""Commands that run stand-ins for cache servers, origin and registry, and control their faults."""

from __future__ import annotations

import sys
from pathlib import Path
from typing import TYPE_CHECKING, Any

import click

from saltport.cli.common import ADDRESS_TYPE, EXIT_FAILURE, EXIT_USAGE, FILE_PATH, JSON_FLAG, fail, print_json

if TYPE_CHECKING:
    from saltport.address import Address


@click.command()
@click.option(
    "--seconds",
    type=click.FloatRange(0, min_open=True),
    help="Length of the demo; without it, it runs until Ctrl-C.",
)
@click.option("--nodes", default=6, show_default=True, type=click.IntRange(1, 500))
@click.option("--routers", default=1, show_default=True, type=click.IntRange(1, 50))
@click.option("--rate", default=60.0, show_default=True, type=click.FloatRange(0, min_open=True))
@click.option(
    "--fault", metavar="NAME", help="A kind of fault to inject repeatedly; see `saltport fault list`."
)
@click.option("--seed", default=1, show_default=True)
@JSON_FLAG
def demo(**options_given: Any) -> None:
    """Run stand-ins, a router and light load on loopback, without further setup."""
    import uvloop

    from saltport.demo import DemoOptions, run_demo
    from saltport.harness import HarnessError
    from saltport.standins.faults import FaultError, validated_figures

    options = DemoOptions(**options_given)
    try:
        if options.fault is not None:
            validated_figures(options.fault, {})
        status = uvloop.run(run_demo(options, lambda line: click.echo(line, err=True)))
    except FaultError as error:
        fail(str(error), EXIT_USAGE)
    except (HarnessError, OSError) as error:
        fail(str(error), EXIT_FAILURE)
    except KeyboardInterrupt:
        status = 1
    sys.exit(status)


@click.command()
@click.option("--nodes", default=8, show_default=True, type=click.IntRange(1))
@click.option(
    "--router",
    "routers",
    multiple=True,
    default=("r1",),
    help="The name of a router, which gets its own registry; may be given again.",
)
@click.option("--control", default=0, help="The port of the control socket; 0: any free port.")
@click.option("--seed", default=1, show_default=True)
@click.option("--ledger", type=FILE_PATH, help="Write the fleet's ledger to this file.")
def standins(nodes: int, routers: tuple[str, ...], control: int, seed: int, ledger: Path | None) -> None:
    """Run simulated cache servers, origins and a registry for each named router.

    The first line of output is a JSON object with their addresses. Faults are injected through the control
    socket. The ledger records the requests that the simulated servers receive.
    """
    import uvloop

    from saltport.standins.__main__ import serve
    from saltport.standins.ledger import Ledger
    from saltport.standins.profile import Profile

    try:
        uvloop.run(serve(nodes, list(routers), seed, control, Ledger("fleet", ledger), Profile()))
    except OSError as error:
        fail(str(error), EXIT_FAILURE)


@click.group()
def fault() -> None:
    """Control the faults of a running fleet of stand-ins through its control socket."""


_CONTROL = click.option("--control", type=ADDRESS_TYPE, required=True, help="The fleet's control socket.")


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
        print_json(asyncio.run(call()), indent=True)
    except FaultError as error:
        fail(str(error), EXIT_USAGE)
    except OSError as error:
        fail(f"{control[0]}:{control[1]}: {error.strerror or error}", EXIT_FAILURE)


@fault.command("list")
@JSON_FLAG
def list_faults(as_json: bool) -> None:
    """List all kinds of faults."""
    from saltport.standins.faults import KINDS

    if as_json:
        print_json({name: {"target": kind.target, "about": kind.about} for name, kind in KINDS.items()})
    else:
        for name, kind in KINDS.items():
            click.echo(f"{name:14} {kind.target:9} {kind.about}")


@fault.command()
@_CONTROL
@click.argument("kind")
@click.argument("target", default="")
@click.option(
    "--figure",
    "figures",
    multiple=True,
    metavar="NAME=VALUE",
    help="A parameter of the fault; may be given again.",
)
def strike(control: Address, kind: str, target: str, figures: tuple[str, ...]) -> None:
    """Start a fault of this kind now; `saltport fault list` shows the kinds and their targets."""
    parsed: dict[str, Any] = {}
    for figure in figures:
        name, sign, value = figure.partition("=")
        if not sign:
            fail(f"--figure: expected NAME=VALUE, got {figure!r}", EXIT_USAGE)
        try:
            parsed[name] = float(value)
        except ValueError:
            parsed[name] = value
    _call(control, "strike", kind=kind, target=target, figures=parsed)


@fault.command()
@_CONTROL
@click.argument("target")
def mend(control: Address, target: str) -> None:
    """End the fault on a target."""
    _call(control, "mend", target=target)


@fault.command()
@_CONTROL
@click.option("--seed", default=1, show_default=True)
@click.option("--seconds", default=30.0, show_default=True, type=click.FloatRange(0, min_open=True))
@click.option("--kind", "kinds", multiple=True, help="Only these kinds; may be given again.")
def play(control: Address, seed: int, seconds: float, kinds: tuple[str, ...]) -> None:
    """Start a schedule of faults that is drawn from the seed."""
    _call(control, "play", seed=seed, seconds=seconds, kinds=list(kinds))


@fault.command()
@_CONTROL
def state(control: Address) -> None:
    """Show the state of every stand-in."""
    _call(control, "state")
