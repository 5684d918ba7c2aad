"""Commands that run a router and check its configuration."""

from __future__ import annotations

import os
import sys
from dataclasses import asdict
from pathlib import Path

import click

from saltport.cli.common import FILE_PATH, JSON_FLAG, WITH_FILES, print_json


@click.command()
@click.argument("config", type=FILE_PATH)
@click.option("--listen", metavar="HOST:PORT", help="The address for clients; overrides the file.")
@click.option("--discovery", metavar="HOST:PORT", help="The address of the registry; overrides the file.")
@click.option("--name", help="The name of this router; overrides the file.")
@click.option("--admin", metavar="HOST:PORT", help="The admin address; overrides the file.")
@WITH_FILES
def run(
    config: Path,
    listen: str | None,
    discovery: str | None,
    name: str | None,
    admin: str | None,
    with_files: tuple[Path, ...],
) -> None:
    """Run a router with this configuration file, until SIGTERM."""
    overrides = {
        "LB_CONFIG": str(config),
        "LB_LISTEN": listen,
        "LB_DISCOVERY": discovery,
        "LB_NAME": name,
        "LB_ADMIN_ADDR": admin,
    }
    environ = {
        **os.environ,
        **{variable: value for variable, value in overrides.items() if value is not None},
    }
    # Replaces the process image, so that the router does not carry the modules of the command line.
    arguments = [word for path in with_files for word in ("--with", str(path))]
    os.execve(sys.executable, [sys.executable, "-m", "saltport.router", *arguments], environ)


@click.command()
@click.argument("config", type=FILE_PATH)
@WITH_FILES
@JSON_FLAG
def check(config: Path, with_files: tuple[Path, ...], as_json: bool) -> None:
    """Report every fault of a configuration file with its path in the file. Exit status 1 if there is one."""
    from saltport.router.check import check_file

    faults = check_file(config, with_files)
    if as_json:
        print_json({"ok": not faults, "faults": [asdict(fault) for fault in faults]})
    else:
        for fault in faults:
            click.echo(f"{config}: {fault}")
        count = f"{len(faults)} fault{'s' * (len(faults) != 1)}"
        click.echo(f"{config}: {count if faults else 'good'}")
    sys.exit(bool(faults))


@click.group()
def config() -> None:
    """Commands for configuration files."""


@config.command()
@click.option("--listen", default="127.0.0.1:6379", show_default=True)
@click.option("--discovery", default="127.0.0.1:8500", show_default=True)
@click.option("--name", default="r1", show_default=True)
@click.option("--routers", default=1, show_default=True, type=click.IntRange(1))
def example(listen: str, discovery: str, name: str, routers: int) -> None:
    """Print a complete example configuration."""
    from saltport.standins.profile import Profile

    print_json(Profile().config(name, listen, discovery, routers), indent=True)
