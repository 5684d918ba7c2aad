"""The simulated fleet on loopback: the replies of its servers, and the effect of each fault."""

from __future__ import annotations

import asyncio
import contextlib
import random
from collections.abc import AsyncIterator, Awaitable, Callable
from contextlib import asynccontextmanager
from typing import Any

import hiredis
import orjson
import pytest
import uvloop

from saltport.address import Address, parse_address
from saltport.standins.control import ControlClient, ControlServer
from saltport.standins.faults import KINDS, Fault, FaultError
from saltport.standins.fleet import Fleet
from saltport.standins.ledger import Ledger
from saltport.standins.model import StoredObject
from saltport.standins.node import make_value
from saltport.standins.profile import Profile, with_faster_work
from saltport.standins.spoil import corrupt_resp_reply
from saltport.wire.resp import command

TEST_TIMEOUT_S = 20.0
SILENT_AFTER_S = 0.3  # time without data after which a peer counts as silent
PROFILE = with_faster_work(Profile(), 20)


@asynccontextmanager
async def running_fleet(nodes: int = 3, profile: Profile = PROFILE) -> AsyncIterator[Fleet]:
    fleet = Fleet(profile, nodes, ["r1"], Ledger("fleet"), seed=3)
    fleet.open()
    try:
        yield fleet
    finally:
        fleet.close()


def run_scenario(scenario: Callable[[], Awaitable[None]]) -> None:
    async def bounded() -> None:
        async with asyncio.timeout(TEST_TIMEOUT_S):
            await scenario()

    uvloop.run(bounded())


class Caller:
    """A client connection to a simulated server."""

    def __init__(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self.reader, self.writer = reader, writer
        self._parser = hiredis.Reader()

    @classmethod
    async def to(cls, address: Address) -> Caller:
        return cls(*await asyncio.open_connection(*address))

    async def ask(self, *words: bytes) -> Any:
        self.writer.write(command(*words))
        return await self.answer()

    async def answer(self) -> Any:
        while (answer := self._parser.gets()) is False:
            data = await self.reader.read(65536)
            if not data:
                raise ConnectionResetError("closed")
            self._parser.feed(data)
        return answer

    async def http(self, method: str, path: str, *headers: str, body: bytes = b"") -> tuple[int, bytes]:
        lines = "".join(f"{line}\r\n" for line in (*headers, f"Content-Length: {len(body)}"))
        self.writer.write(f"{method} {path} HTTP/1.1\r\n{lines}\r\n".encode() + body)
        head = await self.reader.readuntil(b"\r\n\r\n")
        length = int(head.lower().split(b"content-length: ")[1].split(b"\r\n")[0])
        return int(head.split()[1]), await self.reader.readexactly(length)

    def close(self) -> None:
        self.writer.close()


def get(request: str, key: str = "k", more: str = "") -> tuple[bytes, ...]:
    return b"KV.GET", key.encode(), request.encode(), f"c=fetch,t=public,d=900{more}".encode()


async def is_silent(awaited: Awaitable[Any]) -> bool:
    try:
        await asyncio.wait_for(awaited, SILENT_AFTER_S)
    except TimeoutError:
        return True
    return False


def test_a_miss_is_filled_by_the_origin_and_then_hits_until_a_write() -> None:
    async def scenario() -> None:
        async with running_fleet() as fleet:
            node, origin = fleet.nodes["n000"], await Caller.to(fleet.origin.peer.address)
            caller = await Caller.to(node.peer.address)
            miss = await caller.ask(*get("a1"))
            assert miss[:2] == [None, b"miss"]
            assert miss[2].startswith(b"latency_ms=")
            info = "Request-Info: c=fetch,t=public,d=900"
            status, value = await origin.http("GET", "/k", "Request-Id: a1", info)
            assert (status, value[:10]) == (200, b"a1 k v1 ..")
            hit = await caller.ask(*get("a2"))
            assert (hit[0][:8], hit[1]) == (b"a2 k v1 ", b"hit")
            put = "Request-Info: c=yank,t=public,d=900,k=5c"
            for request in ("w1", "w2"):  # both with the same idempotency key
                _, receipt = await origin.http("PUT", "/k", f"Request-Id: {request}", put, body=b"x")
                assert receipt == f"{request} k receipt ".encode()
            assert (await caller.ask(*get("a3")))[0] is None
            effects = [record for record in fleet.ledger.records if record["kind"] == "effect"]
            assert [record["repeat"] for record in effects] == [False, True]
            assert fleet.origin.versions == {"k": 2}

    run_scenario(scenario)


def test_malformed_commands_are_answered_with_syntax_and_recorded() -> None:
    async def scenario() -> None:
        async with running_fleet() as fleet:
            caller = await Caller.to(fleet.nodes["n000"].peer.address)
            for words in (
                (b"KV.GET", b"k"),
                (b"KV.GET", b"k", b"id", b"d=5"),
                (b"KV.GET", b"k", b"id", b"c=nothing,d=5"),
                (b"KV.GET", b"k", b"id", b"c=fetch,d=soon"),
                (b"KV.GET", b"k", b"id", b"c=fetch,d=5", b"value"),
            ):
                assert str(await caller.ask(*words)) == "SYNTAX"
            assert str(await caller.ask(b"HELLO", b"3")).startswith("ERR")
            assert await caller.ask(b"PING") == b"PONG"
            assert (await caller.ask(b"INFO", b"load")).startswith(b"latency_ms=")
            assert sum(record["kind"] == "syntax" for record in fleet.ledger.records) == 5

    run_scenario(scenario)


def test_answers_come_in_the_order_of_commands() -> None:
    async def scenario() -> None:
        async with running_fleet(profile=with_faster_work(Profile(cores=4), 20)) as fleet:
            fleet.warm(["k"])
            caller = await Caller.to(fleet.nodes["n000"].peer.address)
            for number in range(12):
                caller.writer.write(command(*get(f"a{number}")))
            answers = [await caller.answer() for _ in range(12)]
            assert [answer[0].split(b" ")[0] for answer in answers] == [b"a%d" % n for n in range(12)]

    run_scenario(scenario)


def test_a_full_queue_turns_away() -> None:
    async def scenario() -> None:
        async with running_fleet(profile=Profile(queue=2, handshake_work_ms=0.0)) as fleet:
            caller = await Caller.to(fleet.nodes["n000"].peer.address)
            for number in range(6):
                caller.writer.write(command(*get(f"a{number}")))
            answers = [await caller.answer() for _ in range(6)]
            assert sum(isinstance(answer, hiredis.ReplyError) for answer in answers) == 3

    run_scenario(scenario)


async def fails_to_connect(address: Address) -> bool:
    try:
        (await Caller.to(address)).close()
    except OSError:
        return True
    return False


async def killed(fleet: Fleet, caller: Caller) -> None:
    node = fleet.nodes["n000"]
    with pytest.raises(ConnectionError):
        await caller.answer()
    assert await fails_to_connect(node.peer.address)
    fleet.end_fault("n000")
    again = await Caller.to(node.peer.address)
    assert (await again.ask(*get("b")))[0] is None  # empty, and cold
    assert node.started is not None
    while fleet.registry.published.get("n000", {}).get("startedAtMs", 0) == 0:
        await asyncio.sleep(0.01)


async def frozen(fleet: Fleet, caller: Caller) -> None:
    assert await is_silent(caller.ask(*get("b")))
    other = await Caller.to(fleet.nodes["n000"].peer.address)  # accepted by the kernel
    other.writer.write(command(*get("c")))
    fleet.end_fault("n000")
    assert (await caller.answer())[0].startswith(b"b ")
    assert (await other.answer())[0].startswith(b"c ")


async def cut_off(fleet: Fleet, caller: Caller) -> None:
    node = fleet.nodes["n000"]
    assert await is_silent(caller.ask(*get("b")))
    assert await is_silent(Caller.to(node.peer.address))
    fleet.end_fault("n000")
    with pytest.raises(ConnectionError):
        await caller.answer()
    assert (await (await Caller.to(node.peer.address)).ask(*get("c")))[0].startswith(b"c ")


async def refusing(fleet: Fleet, caller: Caller) -> None:
    node = fleet.nodes["n000"]
    assert await fails_to_connect(node.peer.address)
    assert (await caller.ask(*get("b")))[0].startswith(b"b ")
    fleet.end_fault("n000")
    assert not await fails_to_connect(node.peer.address)


async def rejecting(fleet: Fleet, caller: Caller) -> None:
    assert str(await caller.ask(*get("b"))) == "BUSY"
    fleet.end_fault("n000")
    assert (await caller.ask(*get("c")))[0].startswith(b"c ")


async def trickling(fleet: Fleet, caller: Caller) -> None:
    assert await is_silent(caller.ask(*get("b")))
    fleet.end_fault("n000")
    assert (await caller.answer())[0].startswith(b"b ")


async def draining(fleet: Fleet, caller: Caller) -> None:
    assert fleet.registry.published["n000"]["lifecycle"] == "draining"
    assert (await caller.ask(*get("b")))[0].startswith(b"b ")
    fleet.end_fault("n000")
    assert fleet.registry.published["n000"]["lifecycle"] == "up"


async def replaced(fleet: Fleet, caller: Caller) -> None:
    with pytest.raises(ConnectionError):
        await caller.answer()
    new = fleet.state()["nodes"]["n000"]
    assert new["id"] != "n000"
    while "n000" in fleet.registry.published or new["id"] not in fleet.registry.published:
        await asyncio.sleep(0.01)
    address = parse_address("new", fleet.registry.published[new["id"]]["hostPort"])
    assert (await (await Caller.to(address)).ask(*get("b")))[0] is None


async def flushed(fleet: Fleet, caller: Caller) -> None:
    assert len(fleet.nodes["n000"].store) < 150


async def slow(fleet: Fleet, caller: Caller) -> None:
    assert fleet.nodes["n000"].cores.slowdown > 1
    fleet.end_fault("n000")
    assert fleet.nodes["n000"].cores.slowdown == 1


SCENARIOS: dict[str, Callable[[Fleet, Caller], Awaitable[None]]] = {
    "kill": killed, "freeze": frozen, "cut_off": cut_off, "refuse": refusing, "turn_away": rejecting,
    "slow": slow, "trickle": trickling, "drain": draining, "replace": replaced, "replace_here": replaced,
    "flush": flushed,
}  # fmt: skip


@pytest.mark.parametrize("kind", SCENARIOS)
def test_a_node_fault_does_what_its_name_says(kind: str) -> None:
    async def scenario() -> None:
        async with running_fleet() as fleet:
            fleet.warm(["k", *map(str, range(200))])
            caller = await Caller.to(fleet.nodes["n000"].peer.address)
            assert (await caller.ask(*get("a")))[0].startswith(b"a ")
            fleet.start_fault(kind, "n000")
            await SCENARIOS[kind](fleet, caller)
            assert kind in [r["fault"] for r in fleet.ledger.records if r["kind"] == "fault"]

    run_scenario(scenario)


def test_every_fault_can_start_and_end() -> None:
    async def scenario() -> None:
        async with running_fleet(20) as fleet:
            for number, (kind, fault_kind) in enumerate(KINDS.items()):
                fault = fleet.start_fault(kind, f"n{number:03d}")
                with pytest.raises(FaultError):
                    fleet.start_fault("slow", "nobody")
                if fault_kind.seconds[1]:
                    with pytest.raises(FaultError):
                        fleet.start_fault(kind, fault.target)
                    assert fault.target in fleet.active_faults
                    fleet.end_fault(fault.target)
                assert fault.target not in fleet.active_faults
            with pytest.raises(FaultError):
                fleet.end_fault("n000")

    run_scenario(scenario)


def test_origin_faults() -> None:
    async def scenario() -> None:
        async with running_fleet() as fleet:
            address = fleet.origin.peer.address
            asked = ("GET", "/k", "Request-Id: a", "Request-Info: c=fetch,t=public,d=900")
            fleet.start_fault("origin_full")
            assert (await (await Caller.to(address)).http(*asked))[0] == 503
            fleet.end_fault("origin")
            fleet.start_fault("origin_down")
            assert await fails_to_connect(address)
            fleet.end_fault("origin")
            assert (await (await Caller.to(address)).http(*asked))[0] == 200

    run_scenario(scenario)


def listings(fleet: Fleet, server: str) -> list[str]:
    return [r["state"] for r in fleet.ledger.records if r["kind"] == "listed" and r["server"] == server]


async def listed(address: Address, path: str) -> Any:
    status, body = await (await Caller.to(address)).http("GET", path)
    assert status == 200
    return orjson.loads(body)


def test_registry_answers_lists_and_watches_and_records_the_recipient() -> None:
    async def scenario() -> None:
        async with running_fleet() as fleet:
            address = fleet.registry.peers["r1"].address
            full_list = await listed(address, "/registry/instances")
            assert full_list["reset"]
            assert {entry["instanceId"] for entry in full_list["instances"]} == {
                "origin",
                "n000",
                "n001",
                "n002",
            }
            watch = f"/registry/instances?index={full_list['generation']}&wait="
            assert (await listed(address, watch + "10"))["instances"] == []
            waiting = asyncio.ensure_future(listed(address, watch + "20000"))
            await asyncio.sleep(0.05)
            fleet.start_fault("drain", "n001")
            changes = await waiting
            assert [(e["instanceId"], e["lifecycle"]) for e in changes["instances"]] == [("n001", "draining")]
            records = [record for record in fleet.ledger.records if record["kind"] == "told"]
            assert records[-1]["router"] == "r1"
            assert records[-1]["states"]["n001"][0] == "draining"
            assert (await (await Caller.to(address)).http("GET", "/nothing"))[0] == 404

    run_scenario(scenario)


def test_registry_faults_delay_changes_and_preserve_their_order() -> None:
    async def scenario() -> None:
        async with running_fleet() as fleet:
            fleet.start_fault("list_stale")
            fleet.start_fault("drain", "n000")
            assert fleet.registry.published["n000"]["lifecycle"] == "up"
            fleet.end_fault("registry")
            assert fleet.registry.published["n000"]["lifecycle"] == "draining"
            fleet.start_fault("list_late", figures={"delay": 0.3})
            fleet.end_fault("n000")
            fleet.end_fault("registry")
            # This change has no delay, and must not overtake the delayed one.
            fleet.start_fault("drain", "n000")
            assert fleet.registry.published["n000"]["lifecycle"] == "draining"
            seen = listings(fleet, "n000")
            assert seen == ["up", "draining"]
            while fleet.registry._delayed_changes:
                await asyncio.sleep(0.01)
            seen = listings(fleet, "n000")
            assert seen == ["up", "draining", "up", "draining"]
            fleet.start_fault("list_down")
            assert await fails_to_connect(fleet.registry.peers["r1"].address)
            fleet.end_fault("registry")
            await listed(fleet.registry.peers["r1"].address, "/registry/instances")

    run_scenario(scenario)


def test_an_overloaded_cold_node_crashes_and_stays_down() -> None:
    async def scenario() -> None:
        async with running_fleet(profile=Profile(cold_from=0.1, fall_ms=200, queue=500)) as fleet:
            fleet.start_fault("kill", "n000")
            fleet.end_fault("n000")
            node = fleet.nodes["n000"]
            caller = await Caller.to(node.peer.address)
            # The node crashes while commands are written to it.
            with contextlib.suppress(ConnectionError, RuntimeError):
                for number in range(40):
                    caller.writer.write(command(*get(f"a{number}")))
                    await asyncio.sleep(0)
                await caller.answer()
            while not node.crashed_by_overload:
                await asyncio.sleep(0.01)
            assert await fails_to_connect(node.peer.address)
            assert any(record["kind"] == "fell" for record in fleet.ledger.records)

    run_scenario(scenario)


def test_control_socket_executes_commands_and_rejects_invalid_ones() -> None:
    async def scenario() -> None:
        async with running_fleet() as fleet:
            server = ControlServer(fleet)
            address = await server.listen()
            client = await ControlClient.connect(address)
            assert (await client.call("strike", kind="slow", target="n001"))["fault"]["kind"] == "slow"
            assert (await client.call("state"))["nodes"]["n001"]["fault"] == "slow"
            await client.call("mend", target="n001")
            assert set((await client.call("faults"))["faults"]) == set(KINDS)
            schedule = (await client.call("play", seed=4, seconds=5))["schedule"]
            assert schedule == (await client.call("play", seed=4, seconds=5))["schedule"]
            for do, fields in (
                ("dance", {}),
                ("strike", {"kind": "melt"}),
                ("mend", {"target": "n001"}),
                ("play", {"seconds": "long"}),
                ("warm", {"keys": 7}),
            ):
                with pytest.raises(FaultError):
                    await client.call(do, **fields)
            offset, error = await client.clock_offset()
            assert abs(offset) <= error  # one process, one clock
            raw = await Caller.to(address)
            raw.writer.write(b"not json\n[1]\n")
            for _ in range(2):
                assert not orjson.loads(await raw.reader.readline())["ok"]
            raw.writer.write(b"x" * (1 << 20))
            with contextlib.suppress(ConnectionResetError):
                assert await raw.reader.read() == b""  # closed instead of buffering without limit
            await client.close()
            server.close()

    run_scenario(scenario)


def test_scheduled_faults_start_and_end() -> None:
    async def scenario() -> None:
        async with running_fleet() as fleet:
            fleet.schedule_faults(
                [Fault(0.01, 0.05, "slow", "n000", {"factor": 2.0}), Fault(0.02, 0.0, "slow", "n000", {})]
            )
            while not any(record["kind"] == "mended" for record in fleet.ledger.records):
                await asyncio.sleep(0.01)
            kinds = [
                r["kind"] for r in fleet.ledger.records if r["kind"] in ("fault", "fault_skipped", "mended")
            ]
            assert kinds == ["fault", "fault_skipped", "mended"]

    run_scenario(scenario)


def test_spoilt_answers_differ_from_good_ones_and_come_from_the_seed() -> None:
    value = make_value("a", "k", StoredObject(1, 300))
    for how in ("noise", "bad_line", "endless_line", "wrong_length", "copy", "tail_noise", "bad_report"):
        first, again = (corrupt_resp_reply(how, value, random.Random(1)) for _ in range(2))
        assert first == again
        assert isinstance(first, bytes)
        assert first != corrupt_resp_reply("", value, random.Random(1))
    huge = corrupt_resp_reply("huge", value, random.Random(1))
    assert huge is not None
    assert not isinstance(huge, bytes)
    assert sum(map(len, huge)) > 1 << 19
    assert corrupt_resp_reply("cut", value, random.Random(1)) is None
