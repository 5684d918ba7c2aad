"""`saltport`: the command line. A module holds a group of commands; each imports what it needs when called.

Exit status: 0 all is well; 1 what was asked for went wrong (faults found, an audit not clean, an address
taken); 2 the command line or the configuration can't be used.
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
    """Print what a shell needs to complete `saltport`; `source` it."""
    from click.shell_completion import get_completion_class

    found = get_completion_class(shell)
    assert found is not None
    click.echo(found(cli, {}, "saltport", "_SALTPORT_COMPLETE").source())


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
    """The console script."""
    cli(prog_name="saltport")
