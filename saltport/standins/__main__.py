"""A fleet as a process of its own: its first line of output gives the addresses as JSON."""

from __future__ import annotations

import argparse
import asyncio
import signal
import sys
from pathlib import Path

import orjson
import uvloop

from saltport.standins.control import ControlServer
from saltport.standins.fleet import Fleet
from saltport.standins.ledger import Ledger
from saltport.standins.profile import Profile, read_profile


class _Tie(asyncio.Protocol):
    """Sees the end of the process that started this one, however it ended."""

    def __init__(self, stopped: asyncio.Event) -> None:
        self._stopped = stopped

    def connection_lost(self, exc: Exception | None) -> None:
        self._stopped.set()


async def serve(
    nodes: int,
    routers: list[str],
    seed: int,
    control: int,
    ledger: Ledger,
    profile: Profile,
    tied: bool = False,
) -> None:
    """Run a fleet until SIGTERM, SIGINT or a `stop` command; a tied one ends with its standard input."""
    loop = asyncio.get_running_loop()
    fleet = Fleet(profile, nodes, routers, ledger, seed)
    server = ControlServer(fleet)
    for number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(number, server.stopped.set)
    if tied:
        await loop.connect_read_pipe(lambda: _Tie(server.stopped), sys.stdin)
    addresses = fleet.open()
    address = await server.listen(port=control)
    line = orjson.dumps({"control": "{}:{}".format(*address), **addresses})
    sys.stdout.buffer.write(line + b"\n")
    sys.stdout.buffer.flush()
    try:
        await server.stopped.wait()
    finally:
        server.close()
        fleet.close()
        ledger.close()


def main() -> int:
    """Read the command line and serve; exit status 1 if an address is taken."""
    parser = argparse.ArgumentParser(prog="python -m saltport.standins", description=__doc__)
    parser.add_argument("--nodes", type=int, default=8)
    parser.add_argument("--router", action="append", default=[], help="a router's name; one registry each")
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument("--control", type=int, default=0, help="the control socket's port; 0: any")
    parser.add_argument("--ledger", type=Path, help="the file for the ledger")
    parser.add_argument("--profile", type=Path, help="a JSON file with what differs from the default profile")
    parser.add_argument("--tied", action="store_true", help="end when standard input ends")
    told = parser.parse_args()
    ledger = Ledger("fleet", told.ledger)
    try:
        profile = read_profile(orjson.loads(told.profile.read_bytes())) if told.profile else Profile()
        routers = told.router or ["r1"]
        uvloop.run(serve(told.nodes, routers, told.seed, told.control, ledger, profile, told.tied))
    except OSError as error:
        print(f"saltport standins: {error}", file=sys.stderr)
        return 1
    except ValueError as error:
        print(f"saltport standins: {told.profile}: {error}", file=sys.stderr)
        return 2
    return 0


if __name__ == "__main__":
    sys.exit(main())
