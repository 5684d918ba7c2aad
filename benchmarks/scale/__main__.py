"""All of them, one after the other, each in a process of its own: `python -m benchmarks.scale [NAME ...]`."""

from __future__ import annotations

import subprocess
import sys
import time
from pathlib import Path

import click

HERE = Path(__file__).parent


def names() -> list[str]:
    """The modules that measure: those that have a command."""
    return sorted(path.stem for path in HERE.glob("[a-z]*.py") if "@click.command" in path.read_text())


@click.command()
@click.argument("only", nargs=-1)
def main(only: tuple[str, ...]) -> None:
    """Measure all, or these; the status is 1 if one of them failed."""
    failed = []
    for name in only or names():
        click.echo(f"== {name}")
        begun = time.monotonic()
        ended = subprocess.run([sys.executable, "-m", f"benchmarks.scale.{name}"], check=False)
        click.echo(f"== {name}: status {ended.returncode} after {time.monotonic() - begun:.0f} s")
        if ended.returncode:
            failed.append(name)
    if failed:
        sys.exit(1)


if __name__ == "__main__":
    main()
