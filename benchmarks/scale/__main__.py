"""Runs scale measurements in sequence, each in its own process: `python -m benchmarks.scale [NAME ...]`."""

from __future__ import annotations

import subprocess
import sys
import time
from pathlib import Path

import click

FOLDER = Path(__file__).parent


def measurement_names() -> list[str]:
    """Return the names of the measurement modules: those that define a command."""
    return sorted(path.stem for path in FOLDER.glob("[a-z]*.py") if "@click.command" in path.read_text())


@click.command()
@click.argument("only", nargs=-1)
def main(only: tuple[str, ...]) -> None:
    """Run all measurements or the named ones; the exit status is 1 if one failed."""
    failed = []
    for name in only or measurement_names():
        click.echo(f"== {name}")
        started_at = time.monotonic()
        process = subprocess.run([sys.executable, "-m", f"benchmarks.scale.{name}"], check=False)
        click.echo(f"== {name}: status {process.returncode} after {time.monotonic() - started_at:.0f} s")
        if process.returncode:
            failed.append(name)
    if failed:
        sys.exit(1)


if __name__ == "__main__":
    main()
