"""Commands that run a router and check its configuration."""

from __future__ import annotations

import os
import sys
from dataclasses import asdict
from pathlib import Path

import click

from saltport.cli.common import AS_JSON, FILE, WITH, dump


@click.command()
@click.argument("config", type=FILE)
@click.option("--listen", metavar="HOST:PORT", help="Where clients connect; goes before the file.")
@click.option("--discovery", metavar="HOST:PORT", help="The registry; goes before the file.")
@click.option("--name", help="This router's name; goes before the file.")
@click.option("--admin", metavar="HOST:PORT", help="Where operators call; goes before the file.")
@WITH
def run(
    config: Path,
    listen: str | None,
    discovery: str | None,
    name: str | None,
    admin: str | None,
    with_files: tuple[Path, ...],
) -> None:
    """Run a router with this configuration file, until SIGTERM."""
    told = {
        "LB_CONFIG": str(config),
        "LB_LISTEN": listen,
        "LB_DISCOVERY": discovery,
        "LB_NAME": name,
        "LB_ADMIN_ADDR": admin,
    }
    environ = {**os.environ, **{variable: value for variable, value in told.items() if value is not None}}
    # A process of its own image: the router must not carry what the command line needed.
    more = [word for path in with_files for word in ("--with", str(path))]
    os.execve(sys.executable, [sys.executable, "-m", "saltport.router", *more], environ)


@click.command()
@click.argument("config", type=FILE)
@WITH
@AS_JSON
def check(config: Path, with_files: tuple[Path, ...], as_json: bool) -> None:
    """Tell every fault of a configuration file, with its path in the file. Status 1 if there is any."""
    from saltport.router.check import check_file

    faults = check_file(config, with_files)
    if as_json:
        dump({"ok": not faults, "faults": [asdict(fault) for fault in faults]})
    else:
        for fault in faults:
            click.echo(f"{config}: {fault}")
        count = f"{len(faults)} fault{'s' * (len(faults) != 1)}"
        click.echo(f"{config}: {count if faults else 'good'}")
    sys.exit(bool(faults))


@click.group()
def config() -> None:
    """Help with configuration files."""


@config.command()
@click.option("--listen", default="127.0.0.1:6379", show_default=True)
@click.option("--discovery", default="127.0.0.1:8500", show_default=True)
@click.option("--name", default="r1", show_default=True)
@click.option("--routers", default=1, show_default=True, type=click.IntRange(1))
def example(listen: str, discovery: str, name: str, routers: int) -> None:
    """Print a whole configuration to start from."""
    from saltport.standins.profile import Profile

    dump(Profile().config(name, listen, discovery, routers), indent=True)
