"""Run a simulated fleet as a process; its first line of output lists the addresses as JSON."""

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


class _ParentWatch(asyncio.Protocol):
    """Stops the fleet when the parent process ends, which closes this process's standard input."""

    def __init__(self, stopped: asyncio.Event) -> None:
        self._stopped = stopped

    def connection_lost(self, exc: Exception | None) -> None:
        """Stop the fleet at the end of standard input."""
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
    """Run a fleet until SIGTERM, SIGINT or a `stop` command; with `tied` also until standard input ends."""
    loop = asyncio.get_running_loop()
    fleet = Fleet(profile, nodes, routers, ledger, seed)
    server = ControlServer(fleet)
    for number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(number, server.stopped.set)
    if tied:
        await loop.connect_read_pipe(lambda: _ParentWatch(server.stopped), sys.stdin)
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
    """Parse the command line and serve; return 1 on an OS error (address in use), 2 on a bad profile."""
    parser = argparse.ArgumentParser(prog="python -m saltport.standins", description=__doc__)
    parser.add_argument("--nodes", type=int, default=8)
    parser.add_argument(
        "--router",
        action="append",
        default=[],
        help="name of a router, repeatable; each router has a registry address of its own",
    )
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument("--control", type=int, default=0, help="port of the control socket; 0: any free port")
    parser.add_argument("--ledger", type=Path, help="file to write the ledger to")
    parser.add_argument(
        "--profile", type=Path, help="JSON file with the profile values that differ from the defaults"
    )
    parser.add_argument("--tied", action="store_true", help="exit when standard input ends")
    arguments = parser.parse_args()
    ledger = Ledger("fleet", arguments.ledger)
    try:
        profile = (
            read_profile(orjson.loads(arguments.profile.read_bytes())) if arguments.profile else Profile()
        )
        routers = arguments.router or ["r1"]
        uvloop.run(
            serve(
                arguments.nodes, routers, arguments.seed, arguments.control, ledger, profile, arguments.tied
            )
        )
    except OSError as error:
        print(f"saltport standins: {error}", file=sys.stderr)
        return 1
    except ValueError as error:
        print(f"saltport standins: {arguments.profile}: {error}", file=sys.stderr)
        return 2
    return 0


if __name__ == "__main__":
    sys.exit(main())
