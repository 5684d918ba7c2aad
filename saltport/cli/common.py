"""Shared parts of the command line: options, argument types, output, and calls to a router."""

from __future__ import annotations

import sys
from collections.abc import Callable, Iterator
from pathlib import Path
from typing import TYPE_CHECKING, Any, NoReturn

import click
import orjson

if TYPE_CHECKING:
    from saltport.address import Address

EXIT_FAILURE = 1
"""Exit status of a command that failed."""
EXIT_USAGE = 2
"""Exit status for an invalid command line or configuration."""

FILE_PATH = click.Path(dir_okay=False, path_type=Path)
EXISTING_FILE_PATH = click.Path(exists=True, dir_okay=False, path_type=Path)
WITH_FILES = click.option(
    "--with",
    "with_files",
    type=FILE_PATH,
    multiple=True,
    help="A TOML file that configures features, as in deploy/; may be given again.",
)
JSON_FLAG = click.option("--json", "as_json", is_flag=True, help="Report as JSON.")


def print_json(fields: Any, indent: bool = False) -> None:
    """Print a value as JSON."""
    click.echo(orjson.dumps(fields, option=orjson.OPT_INDENT_2 if indent else None).decode())


def fail(text: str, status: int) -> NoReturn:
    """End the command with this exit status and one line on standard error."""
    click.echo(f"saltport: {text}", err=True)
    sys.exit(status)


class _AddressParamType(click.ParamType[Any]):
    """The type of an argument HOST:PORT, which is converted to an address."""

    name = "host:port"

    def convert(self, value: Any, param: click.Parameter | None, ctx: click.Context | None) -> Any:
        """Parse an address; return a value that is already an address unchanged."""
        from saltport.address import parse_address

        if isinstance(value, tuple):
            return value
        try:
            return parse_address("address", value)
        except ValueError as error:
            self.fail(str(error), param, ctx)


ADDRESS_TYPE = _AddressParamType()
ROUTER_ARGUMENT = click.argument("router", type=ADDRESS_TYPE, metavar="HOST:PORT")


def call_router(router: Address, path: str, method: str = "GET") -> dict[str, Any]:
    """Return a router's answer at a path of its admin address; end the command if the call fails."""
    from saltport.admin.client import ask as call

    try:
        return call(router, path, method=method)
    except (OSError, ValueError) as error:
        fail(f"{router[0]}:{router[1]}: {getattr(error, 'strerror', None) or error}", EXIT_FAILURE)


def print_report(
    component: str, report: dict[str, Any], lines: Callable[[dict[str, Any]], Iterator[str]], as_json: bool
) -> None:
    """Print the report of a component as lines or JSON; without JSON, only `off` if the component is off."""
    if as_json:
        print_json(report, indent=True)
    else:
        click.echo("\n".join(lines(report)) if report["on"] else f"{component}: off")
