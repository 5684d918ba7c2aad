"""What the command groups share: options, argument types, printing, and calls to a router for operators."""

from __future__ import annotations

import sys
from collections.abc import Callable, Iterator
from pathlib import Path
from typing import TYPE_CHECKING, Any, NoReturn

import click
import orjson

if TYPE_CHECKING:
    from saltport.address import Address

EXIT_WRONG = 1
"""What was asked for went wrong."""
EXIT_USAGE = 2
"""The command line or the configuration can't be used."""

FILE = click.Path(dir_okay=False, path_type=Path)
EXISTING_FILE = click.Path(exists=True, dir_okay=False, path_type=Path)
WITH = click.option(
    "--with", "with_files", type=FILE, multiple=True, help="A file of features, as in deploy/."
)
AS_JSON = click.option("--json", "as_json", is_flag=True, help="Report as JSON.")


def dump(fields: Any, indent: bool = False) -> None:
    """Print as JSON."""
    click.echo(orjson.dumps(fields, option=orjson.OPT_INDENT_2 if indent else None).decode())


def fail(text: str, status: int) -> NoReturn:
    """End the command with one line on standard error."""
    click.echo(f"saltport: {text}", err=True)
    sys.exit(status)


class _AddressType(click.ParamType[Any]):
    """HOST:PORT."""

    name = "host:port"

    def convert(self, value: Any, param: click.Parameter | None, ctx: click.Context | None) -> Any:
        """Parse an address; one that is parsed already stays."""
        from saltport.address import parse_address

        if isinstance(value, tuple):
            return value
        try:
            return parse_address("address", value)
        except ValueError as error:
            self.fail(str(error), param, ctx)


ADDRESS = _AddressType()
ROUTER = click.argument("router", type=ADDRESS, metavar="HOST:PORT")


def ask(router: Address, path: str, method: str = "GET") -> dict[str, Any]:
    """Call a router's operators' address; ends the command where there is no good answer."""
    from saltport.admin.client import ask as call

    try:
        return call(router, path, method=method)
    except (OSError, ValueError) as error:
        fail(f"{router[0]}:{router[1]}: {getattr(error, 'strerror', None) or error}", EXIT_WRONG)


def show(
    part: str, report: dict[str, Any], lines: Callable[[dict[str, Any]], Iterator[str]], as_json: bool
) -> None:
    """Print the report of a part that may be off."""
    if as_json:
        dump(report, indent=True)
    else:
        click.echo("\n".join(lines(report)) if report["on"] else f"{part}: off")
