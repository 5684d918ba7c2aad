"""The load driver against scripted routers: its counts and the records that it writes for the audit."""

from __future__ import annotations

import asyncio
from collections import Counter
from collections.abc import Callable
from typing import Any

import uvloop

from saltport.load.driver import LoadDriver, mark_faults, wait_ready
from saltport.load.plan import LoadPlan, Step
from saltport.load.report import Report, plot, table
from saltport.standins.ledger import Ledger
from saltport.standins.profile import Profile
from saltport.wire.resp import CommandReader, bulk

TEST_TIMEOUT_S = 20.0
Script = Callable[[list[bytes], int, asyncio.Transport], bytes]


class Scripted(asyncio.Protocol):
    """A router that answers each command by the script, and counts the commands of all connections."""

    seen = 0

    def __init__(self, script: Script) -> None:
        self._script, self._reader = script, CommandReader()

    def connection_made(self, transport: Any) -> None:
        self.transport = transport

    def data_received(self, data: bytes) -> None:
        for words in self._reader.feed(data):
            Scripted.seen += 1
            self.transport.write(self._script([bytes(word) for word in words], Scripted.seen, self.transport))


def value_for(words: list[bytes]) -> bytes:
    return bulk(words[2] + b" " + words[1] + b" v1 ...")


def drive(script: Script, rate: float = 200, seconds: float = 0.5, closed: int = 0, **changes: Any) -> Any:
    async def run() -> tuple[dict[str, Any], Ledger]:
        Scripted.seen = 0
        loop = asyncio.get_running_loop()
        server = await loop.create_server(lambda: Scripted(script), "127.0.0.1", 0)
        ledger = Ledger("clients")
        plan = LoadPlan((Step(0, rate),), seconds, **changes)
        address = server.sockets[0].getsockname()
        driver = LoadDriver(plan, Profile(), {"r1": address}, ledger, closed, linger_ms=100)
        async with asyncio.timeout(TEST_TIMEOUT_S):
            summary = await driver.run()
        server.close()
        return summary, ledger

    summary, ledger = uvloop.run(run())
    return summary, [record for record in ledger.records if record["kind"] == "try"], ledger


def test_served_requests_are_counted_by_class_and_tenant() -> None:
    summary, tries, ledger = drive(lambda words, _, __: value_for(words))
    assert summary["served"] == summary["requests"] == summary["tries"] == len(tries) > 50
    assert summary["refused"] == summary["failed"] == 0
    assert sum(part["served"] for part in summary["classes"].values()) == summary["served"]
    assert sum(part["served"] for part in summary["tenants"].values()) == summary["served"]
    assert summary["latency"]["count"] == summary["served"]
    assert 0 < summary["latency"]["p50_ms"] <= summary["latency"]["p99.9_ms"]
    assert not [record for record in ledger.records if record["kind"] == "extra"]
    assert "served" in table(summary)
    assert "requests a second" in plot(summary)


def test_refusals_are_tried_again_with_new_ids_and_the_same_token() -> None:
    def refuse(words: list[bytes], seen: int, _: asyncio.Transport) -> bytes:
        return b"-BUSY 3\r\n"

    summary, tries, _ = drive(refuse, retries=2)
    assert summary["refused"] == summary["requests"]
    assert len(tries) == 3 * summary["requests"] == summary["tries"]
    assert len({record["id"] for record in tries}) == len(tries)
    assert set(Counter(r["k"] for r in tries if r["k"]).values()) <= {3}
    assert {record["retry_after_ms"] for record in tries} == {3}


def test_another_requests_value_is_recorded_as_wrong() -> None:
    summary, tries, _ = drive(lambda words, _, __: bulk(b"0000 " + words[1] + b" v1"), retries=0)
    assert {record["answer"] for record in tries} == {"wrong"}
    assert summary["failed"] == summary["requests"]


def test_a_second_answer_is_noted() -> None:
    _, _, ledger = drive(lambda words, _, __: value_for(words) * 2)
    assert [record for record in ledger.records if record["kind"] == "extra"]


def test_silence_is_given_up_and_late_answers_are_noted_as_such() -> None:
    summary, tries, _ = drive(lambda words, _, __: b"", rate=40, seconds=0.2, retries=0)
    assert {record["answer"] for record in tries} == {"none"}
    assert summary["failed"] == summary["requests"]
    assert all(record["t"] - record["sent"] > record["wait_ms"] * 10**6 for record in tries)


def test_a_request_is_resent_when_a_reused_connection_closes() -> None:
    def close_every_third(words: list[bytes], seen: int, transport: asyncio.Transport) -> bytes:
        if seen % 3 == 0:
            transport.abort()
            return b""
        return value_for(words)

    _, tries, _ = drive(close_every_third, closed=1, rate=1000, retries=0)
    answers = Counter(record["answer"] for record in tries)
    assert answers["served"] > 0
    assert set(answers) <= {"served", "gone"}  # gone: the connection of the resent request closed as well
    assert any(record["resent"] for record in tries if record["answer"] == "served")


def test_a_truncated_value_is_recorded_as_cut() -> None:
    def cut(words: list[bytes], _: int, transport: asyncio.Transport) -> bytes:
        transport.write(value_for(words)[:-6])
        transport.close()
        return b""

    _, tries, _ = drive(cut, retries=0)
    assert {record["answer"] for record in tries} == {"cut"}


def test_latency_counts_from_the_intended_start() -> None:
    """Guards against coordinated omission: a stall shows in the tail although few requests were open."""
    stalled: list[float] = []

    def stall(words: list[bytes], seen: int, _: asyncio.Transport) -> bytes:
        if seen == 20 and not stalled:
            import time

            stalled.append(seen)
            time.sleep(0.25)  # blocks the driver too, which shares the event loop
        return value_for(words)

    summary, _, _ = drive(stall, rate=200, seconds=1.0)
    late = summary["latency"]
    assert late["max_ms"] >= 240
    assert late["p99_ms"] >= 150  # about 50 arrivals were due during the stall, and all waited


def test_closed_loop_keeps_its_number_of_clients() -> None:
    summary, _, _ = drive(lambda words, _, __: value_for(words), closed=4, rate=100_000, seconds=0.3)
    assert summary["served"] == summary["requests"] > 100


def test_an_unreachable_router_is_recorded_as_unsent() -> None:
    async def run() -> tuple[dict[str, Any], Ledger]:
        ledger = Ledger("clients")
        plan = LoadPlan((Step(0, 50),), 0.2, retries=0)
        listener = await asyncio.get_running_loop().create_server(asyncio.Protocol, "127.0.0.1", 0)
        address = listener.sockets[0].getsockname()
        listener.close()
        await listener.wait_closed()
        assert not await wait_ready(address, 0.1)
        return await LoadDriver(plan, Profile(), {"r1": address}, ledger).run(), ledger

    summary, ledger = uvloop.run(run())
    assert summary["failed"] == summary["requests"]
    assert {record["answer"] for record in ledger.records if record["kind"] == "try"} == {"unsent"}


def test_faults_are_marked_on_the_time_line() -> None:
    report = Report(Profile())
    faults = [
        {"kind": "fault", "t": 3 * 10**9, "fault": "kill", "target": "n1"},
        {"kind": "told", "t": 4 * 10**9},
        {"kind": "mended", "t": 5 * 10**9, "fault": "kill", "target": "n1"},
    ]
    mark_faults(report, 10**9, faults)
    assert report.marks == [(2.0, "kill n1"), (4.0, "kill n1 ends")]
    assert plot(report.summary()) == "nothing to plot"
