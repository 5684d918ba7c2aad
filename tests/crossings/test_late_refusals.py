"""A request that waits for a connection is refused at its deadline, however late the event loop is."""

from __future__ import annotations

import asyncio
import time

from saltport.router.host import RouterHost
from tests.crossings.host_scenario import DelayedDials, ask, run_scenario, until
from tests.sockets import Peer

CONNECTIONS = 16  # to one server that carry a request
LONG_MS, SHORT_MS = 10_000, 50


def test_queued_request_is_refused_in_the_iteration_that_finds_its_deadline_passed() -> None:
    """Guards against refusals that wait for one more iteration, which beside a crowd takes long."""
    server = Peer(lambda *_: None)

    async def scenario(host: RouterHost, dials: DelayedDials) -> None:
        dials.let_go.set()
        for number in range(CONNECTIONS):
            ask(host, b"r%d" % number, "get", LONG_MS)
            await until(lambda: len(server.seen) > number)  # noqa: B023
        queued = ask(host, b"queued", "get", SHORT_MS)
        await asyncio.sleep(0)
        time.sleep(3 * SHORT_MS / 1000)
        # Timers that are due run in the next iteration, behind what is ready now.
        for _ in range(2):
            await asyncio.sleep(0)
        assert queued.answer.done()
        assert queued.answer.result() == "refused"
        assert len(server.seen) == CONNECTIONS

    run_scenario({"s1": server}, scenario, origin_kind=None)
