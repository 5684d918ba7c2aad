"""A router process between stand-ins: nodes killed in the middle of an answer, and restarts under load."""

from __future__ import annotations

import asyncio
import socket
from collections.abc import Awaitable, Callable
from dataclasses import replace
from pathlib import Path
from typing import Any

import pytest
import uvloop

from saltport.audit import Limits, Verdict
from saltport.harness import Harness, HarnessError, reserve_port, run_load
from saltport.load.plan import LoadPlan, Step
from saltport.standins.ledger import Ledger, read_ledger
from saltport.standins.profile import Profile, with_faster_work

SCENE_TIMEOUT_S = 60.0
GENEROUS = Limits(3_000, 3_000, 3_000, 3_000)
QUICK = with_faster_work(Profile(), 20)


def play(
    folder: Path,
    scene: Callable[[Harness], Awaitable[Any]],
    profile: Profile = QUICK,
    seconds: float = 3.0,
    rate: float = 80,
    **more: Any,
) -> tuple[dict[str, Any], Verdict, list[dict[str, Any]]]:
    """Run a scene under load; return the report, the verdict and the clients' tries."""

    async def run() -> tuple[dict[str, Any], Ledger, Harness]:
        harness = Harness(folder, profile, 4, 1, seed=5)
        plan = LoadPlan((Step(0, rate),), seconds, seed=5, **more)
        async with asyncio.timeout(SCENE_TIMEOUT_S):
            async with harness:
                load = asyncio.get_running_loop().create_task(run_load(harness, plan))
                await scene(harness)
                summary, ledger = await load
        return summary, ledger, harness

    summary, ledger, harness = uvloop.run(run())
    tries = [record for record in ledger.records if record["kind"] == "try"]
    return summary, harness.audit([ledger], GENEROUS), tries


def test_a_node_killed_in_the_middle_of_a_value_is_reported_to_the_client_and_restarts(
    tmp_path: Path,
) -> None:
    """Half of the values are long and sent slowly, so that the kill happens in the middle of them.

    The origin is down then: it would continue them.
    """

    async def scene(harness: Harness) -> None:
        for node in harness.addresses["nodes"]:
            await harness.control.call("strike", kind="trickle", target=node, figures={"rate": 40_000})
        await asyncio.sleep(0.6)
        await harness.control.call("strike", kind="origin_down", target="origin")
        for node in harness.addresses["nodes"]:
            await harness.control.call("mend", target=node)
            await harness.control.call("strike", kind="kill", target=node)
        await asyncio.sleep(0.3)
        await harness.control.call("mend", target="origin")
        for node in harness.addresses["nodes"]:
            await harness.control.call("mend", target=node)

    large_values = replace(QUICK, large_share=0.5)
    summary, verdict, tries = play(tmp_path, scene, large_values, keys=50, zipf=0.0)
    assert verdict.violations == []
    assert {"cut", "served"} <= {record["answer"] for record in tries}
    assert summary["served"] > 0
    # The nodes run again on their ports, with empty caches: requests to them miss and the origin fills them.
    fleet = list(read_ledger(tmp_path / "fleet.jsonl"))
    restarted_at = max(record["t"] for record in fleet if record["kind"] == "cold")
    assert [
        r for r in fleet if r["kind"] == "attempt" and r["t"] > restarted_at and r["node"].startswith("n")
    ]


def test_a_router_restarted_under_load_loses_only_its_open_requests(tmp_path: Path) -> None:
    async def scene(harness: Harness) -> None:
        (router,) = harness.router_processes
        await asyncio.sleep(0.5)
        await harness.kill_router(router)
        assert await harness.start_router(router)
        await asyncio.sleep(0.5)
        await harness.end_router(router)
        assert await harness.start_router(router)

    summary, verdict, _ = play(tmp_path, scene, seconds=5.0)
    assert verdict.violations == []
    states = [r["state"] for r in read_ledger(tmp_path / "harness.jsonl") if r["kind"] == "router"]
    started, killed, ended = ["ready"], ["killed", "exited"], ["terminated", "exited"]
    assert states == [*started, *killed, *started, *ended, *started, *ended]
    assert summary["served"] > 0


def test_a_router_that_crashes_is_reported(tmp_path: Path) -> None:
    async def scene(harness: Harness) -> None:
        (router,) = harness.router_processes
        assert router.process is not None
        router.process.terminate()  # not through the harness, which therefore did not expect the end
        await router.process.wait()

    _, verdict, _ = play(tmp_path, scene, seconds=1.0, retries=0)
    assert "answers" in {violation.rule for violation in verdict.violations}


def test_a_reserved_port_is_available_only_to_a_process_that_names_it() -> None:
    with reserve_port() as reservation:
        address = reservation.getsockname()
        with socket.socket() as other, pytest.raises(OSError, match="in use"):
            other.bind(address)  # as the kernel does to assign a port to a socket
        with socket.create_server(address), socket.create_connection(address) as connection:
            assert connection.getpeername() == address


def test_ports_stay_reserved_while_their_router_is_down(tmp_path: Path) -> None:
    async def run() -> None:
        async with Harness(tmp_path, with_faster_work(Profile(), 20), 2, 1) as harness:
            (router,) = harness.router_processes
            await harness.kill_router(router)
            for address in (router.address, router.admin):
                with socket.socket() as other, pytest.raises(OSError, match="in use"):
                    other.bind(address)
            reserved = {reservation.getsockname() for reservation in harness._reserved}
            assert {router.address, router.admin} <= reserved
            assert await harness.start_router(router)

    uvloop.run(run())


def test_a_failed_start_is_reported_and_leaves_no_process_running(tmp_path: Path) -> None:
    async def run() -> None:
        harness = Harness(tmp_path, replace(Profile(), classes=()), 2, 1)
        with pytest.raises(HarnessError, match="r1 did not start"):
            await harness.start()
        assert harness._fleet is not None
        assert harness._fleet.returncode is not None

    uvloop.run(run())
