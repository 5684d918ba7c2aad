"""The command line `saltport`. Each module holds a group of commands; each command imports what it needs.

Exit status: 0 success; 1 the command failed (for example faults found, violations in an audit, an address in
use); 2 the command line or the configuration is invalid.
"""

from __future__ import annotations

import click

from saltport import __version__
from saltport.cli import load, operating, proving, running, standins, zones

SHELLS = ("bash", "zsh", "fish")


@click.group(context_settings={"help_option_names": ["-h", "--help"]})
@click.version_option(__version__, message="%(version)s")
def cli() -> None:
    """A router between build machines and package caches."""


@cli.command()
@click.argument("shell", type=click.Choice(SHELLS))
def completion(shell: str) -> None:
    """Print the completion script for a shell, to be loaded with `source`."""
    from click.shell_completion import get_completion_class

    completion_class = get_completion_class(shell)
    assert completion_class is not None
    click.echo(completion_class(cli, {}, "saltport", "_SALTPORT_COMPLETE").source())


COMMANDS: tuple[click.Command, ...] = (
    running.run, running.check, running.config,
    operating.stats, operating.status, operating.maint, operating.ready, operating.drain, operating.resume,
    operating.peers, operating.owners,
    zones.zones, zones.evacuate, zones.return_, zones.failover,
    load.load, standins.demo, standins.standins, standins.fault,
    proving.nemesis, proving.audit,
)  # fmt: skip

for command in COMMANDS:
    cli.add_command(command)


def main() -> None:
    """Run the command line; the entry point of the console script."""
    cli(prog_name="saltport")
