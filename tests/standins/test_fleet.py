"""Stand-ins on loopback: what they answer, and that each fault does what its name says."""

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
from saltport.standins.model import Kept
from saltport.standins.node import make_value
from saltport.standins.profile import Profile, quick
from saltport.standins.spoil import spoil_resp
from saltport.wire.resp import command

PATIENCE_S = 20.0
SILENCE_S = 0.3  # how long a peer must say nothing to count as silent
PROFILE = quick(Profile(), 20)


@asynccontextmanager
async def fleet(nodes: int = 3, profile: Profile = PROFILE) -> AsyncIterator[Fleet]:
    held = Fleet(profile, nodes, ["r1"], Ledger("fleet"), seed=3)
    held.open()
    try:
        yield held
    finally:
        held.close()


def play(scene: Callable[[], Awaitable[None]]) -> None:
    async def bounded() -> None:
        async with asyncio.timeout(PATIENCE_S):
            await scene()

    uvloop.run(bounded())


class Caller:
    """A connection to a stand-in."""

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
        await asyncio.wait_for(awaited, SILENCE_S)
    except TimeoutError:
        return True
    return False


def test_a_miss_is_filled_by_the_origin_and_then_hits_until_a_write() -> None:
    async def scene() -> None:
        async with fleet() as held:
            node, origin = held.nodes["n000"], await Caller.to(held.origin.peer.address)
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
            for request in ("w1", "w2"):  # the second repeats the first one's key
                _, receipt = await origin.http("PUT", "/k", f"Request-Id: {request}", put, body=b"x")
                assert receipt == f"{request} k receipt ".encode()
            assert (await caller.ask(*get("a3")))[0] is None
            effects = [record for record in held.ledger.records if record["kind"] == "effect"]
            assert [record["repeat"] for record in effects] == [False, True]
            assert held.origin.versions == {"k": 2}

    play(scene)


def test_what_no_client_sent_is_answered_syntax_and_noted() -> None:
    async def scene() -> None:
        async with fleet() as held:
            caller = await Caller.to(held.nodes["n000"].peer.address)
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
            assert sum(record["kind"] == "syntax" for record in held.ledger.records) == 5

    play(scene)


def test_answers_come_in_the_order_of_commands() -> None:
    async def scene() -> None:
        async with fleet(profile=quick(Profile(cores=4), 20)) as held:
            held.warm(["k"])
            caller = await Caller.to(held.nodes["n000"].peer.address)
            for number in range(12):
                caller.writer.write(command(*get(f"a{number}")))
            answers = [await caller.answer() for _ in range(12)]
            assert [answer[0].split(b" ")[0] for answer in answers] == [b"a%d" % n for n in range(12)]

    play(scene)


def test_a_full_queue_turns_away() -> None:
    async def scene() -> None:
        async with fleet(profile=Profile(queue=2, handshake_work_ms=0.0)) as held:
            caller = await Caller.to(held.nodes["n000"].peer.address)
            for number in range(6):
                caller.writer.write(command(*get(f"a{number}")))
            answers = [await caller.answer() for _ in range(6)]
            assert sum(isinstance(answer, hiredis.ReplyError) for answer in answers) == 3

    play(scene)


async def fails_to_connect(address: Address) -> bool:
    try:
        (await Caller.to(address)).close()
    except OSError:
        return True
    return False


async def killed(held: Fleet, caller: Caller) -> None:
    node = held.nodes["n000"]
    with pytest.raises(ConnectionError):
        await caller.answer()
    assert await fails_to_connect(node.peer.address)
    held.mend("n000")
    again = await Caller.to(node.peer.address)
    assert (await again.ask(*get("b")))[0] is None  # empty, and cold
    assert node.started is not None
    while held.registry.published.get("n000", {}).get("startedAtMs", 0) == 0:
        await asyncio.sleep(0.01)


async def frozen(held: Fleet, caller: Caller) -> None:
    assert await is_silent(caller.ask(*get("b")))
    other = await Caller.to(held.nodes["n000"].peer.address)  # the kernel takes it
    other.writer.write(command(*get("c")))
    held.mend("n000")
    assert (await caller.answer())[0].startswith(b"b ")
    assert (await other.answer())[0].startswith(b"c ")


async def cut_off(held: Fleet, caller: Caller) -> None:
    node = held.nodes["n000"]
    assert await is_silent(caller.ask(*get("b")))
    assert await is_silent(Caller.to(node.peer.address))
    held.mend("n000")
    with pytest.raises(ConnectionError):
        await caller.answer()
    assert (await (await Caller.to(node.peer.address)).ask(*get("c")))[0].startswith(b"c ")


async def refusing(held: Fleet, caller: Caller) -> None:
    node = held.nodes["n000"]
    assert await fails_to_connect(node.peer.address)
    assert (await caller.ask(*get("b")))[0].startswith(b"b ")
    held.mend("n000")
    assert not await fails_to_connect(node.peer.address)


async def turning_away(held: Fleet, caller: Caller) -> None:
    assert str(await caller.ask(*get("b"))) == "BUSY"
    held.mend("n000")
    assert (await caller.ask(*get("c")))[0].startswith(b"c ")


async def trickling(held: Fleet, caller: Caller) -> None:
    assert await is_silent(caller.ask(*get("b")))
    held.mend("n000")
    assert (await caller.answer())[0].startswith(b"b ")


async def draining(held: Fleet, caller: Caller) -> None:
    assert held.registry.published["n000"]["lifecycle"] == "draining"
    assert (await caller.ask(*get("b")))[0].startswith(b"b ")
    held.mend("n000")
    assert held.registry.published["n000"]["lifecycle"] == "up"


async def replaced(held: Fleet, caller: Caller) -> None:
    with pytest.raises(ConnectionError):
        await caller.answer()
    new = held.state()["nodes"]["n000"]
    assert new["id"] != "n000"
    while "n000" in held.registry.published or new["id"] not in held.registry.published:
        await asyncio.sleep(0.01)
    address = parse_address("new", held.registry.published[new["id"]]["hostPort"])
    assert (await (await Caller.to(address)).ask(*get("b")))[0] is None


async def flushed(held: Fleet, caller: Caller) -> None:
    assert len(held.nodes["n000"].store) < 150


async def slow(held: Fleet, caller: Caller) -> None:
    assert held.nodes["n000"].cores.slow > 1
    held.mend("n000")
    assert held.nodes["n000"].cores.slow == 1


SCENES: dict[str, Callable[[Fleet, Caller], Awaitable[None]]] = {
    "kill": killed, "freeze": frozen, "cut_off": cut_off, "refuse": refusing, "turn_away": turning_away,
    "slow": slow, "trickle": trickling, "drain": draining, "replace": replaced, "replace_here": replaced,
    "flush": flushed,
}  # fmt: skip


@pytest.mark.parametrize("kind", SCENES)
def test_a_node_fault_does_what_its_name_says(kind: str) -> None:
    async def scene() -> None:
        async with fleet() as held:
            held.warm(["k", *map(str, range(200))])
            caller = await Caller.to(held.nodes["n000"].peer.address)
            assert (await caller.ask(*get("a")))[0].startswith(b"a ")
            held.strike(kind, "n000")
            await SCENES[kind](held, caller)
            assert kind in [r["fault"] for r in held.ledger.records if r["kind"] == "fault"]

    play(scene)


def test_every_fault_can_strike_and_be_mended() -> None:
    async def scene() -> None:
        async with fleet(20) as held:
            for number, (kind, known) in enumerate(KINDS.items()):
                fault = held.strike(kind, f"n{number:03d}")
                with pytest.raises(FaultError):
                    held.strike("slow", "nobody")
                if known.seconds[1]:
                    with pytest.raises(FaultError):
                        held.strike(kind, fault.target)
                    assert fault.target in held.active
                    held.mend(fault.target)
                assert fault.target not in held.active
            with pytest.raises(FaultError):
                held.mend("n000")

    play(scene)


def test_origin_faults() -> None:
    async def scene() -> None:
        async with fleet() as held:
            address = held.origin.peer.address
            asked = ("GET", "/k", "Request-Id: a", "Request-Info: c=fetch,t=public,d=900")
            held.strike("origin_full")
            assert (await (await Caller.to(address)).http(*asked))[0] == 503
            held.mend("origin")
            held.strike("origin_down")
            assert await fails_to_connect(address)
            held.mend("origin")
            assert (await (await Caller.to(address)).http(*asked))[0] == 200

    play(scene)


def listings(held: Fleet, server: str) -> list[str]:
    return [r["state"] for r in held.ledger.records if r["kind"] == "listed" and r["server"] == server]


async def listed(address: Address, path: str) -> Any:
    status, body = await (await Caller.to(address)).http("GET", path)
    assert status == 200
    return orjson.loads(body)


def test_registry_lists_watches_and_tells_the_ledger_whom() -> None:
    async def scene() -> None:
        async with fleet() as held:
            address = held.registry.peers["r1"].address
            whole = await listed(address, "/registry/instances")
            assert whole["reset"]
            assert {entry["instanceId"] for entry in whole["instances"]} == {"origin", "n000", "n001", "n002"}
            watch = f"/registry/instances?index={whole['generation']}&wait="
            assert (await listed(address, watch + "10"))["instances"] == []
            waiting = asyncio.ensure_future(listed(address, watch + "20000"))
            await asyncio.sleep(0.05)
            held.strike("drain", "n001")
            news = await waiting
            assert [(e["instanceId"], e["lifecycle"]) for e in news["instances"]] == [("n001", "draining")]
            told = [record for record in held.ledger.records if record["kind"] == "told"]
            assert told[-1]["router"] == "r1"
            assert told[-1]["states"]["n001"][0] == "draining"
            assert (await (await Caller.to(address)).http("GET", "/nothing"))[0] == 404

    play(scene)


def test_registry_faults_hold_news_back_and_keep_their_order() -> None:
    async def scene() -> None:
        async with fleet() as held:
            held.strike("list_stale")
            held.strike("drain", "n000")
            assert held.registry.published["n000"]["lifecycle"] == "up"
            held.mend("registry")
            assert held.registry.published["n000"]["lifecycle"] == "draining"
            held.strike("list_late", figures={"delay": 0.3})
            held.mend("n000")
            held.mend("registry")
            held.strike("drain", "n000")  # this news has no delay, and must not overtake
            assert held.registry.published["n000"]["lifecycle"] == "draining"
            seen = listings(held, "n000")
            assert seen == ["up", "draining"]
            while held.registry._queue:
                await asyncio.sleep(0.01)
            seen = listings(held, "n000")
            assert seen == ["up", "draining", "up", "draining"]
            held.strike("list_down")
            assert await fails_to_connect(held.registry.peers["r1"].address)
            held.mend("registry")
            await listed(held.registry.peers["r1"].address, "/registry/instances")

    play(scene)


def test_a_cold_node_that_gets_too_much_falls_and_stays_down() -> None:
    async def scene() -> None:
        async with fleet(profile=Profile(cold_from=0.1, fall_ms=200, queue=500)) as held:
            held.strike("kill", "n000")
            held.mend("n000")
            node = held.nodes["n000"]
            caller = await Caller.to(node.peer.address)
            with contextlib.suppress(ConnectionError, RuntimeError):  # it falls while it is written to
                for number in range(40):
                    caller.writer.write(command(*get(f"a{number}")))
                    await asyncio.sleep(0)
                await caller.answer()
            while not node.fallen:
                await asyncio.sleep(0.01)
            assert await fails_to_connect(node.peer.address)
            assert any(record["kind"] == "fell" for record in held.ledger.records)

    play(scene)


def test_control_socket_carries_commands_and_answers_bad_ones_in_plain_words() -> None:
    async def scene() -> None:
        async with fleet() as held:
            server = ControlServer(held)
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
                assert await raw.reader.read() == b""  # closed, and not gathered without end
            await client.close()
            server.close()

    play(scene)


def test_schedule_is_played_and_mended() -> None:
    async def scene() -> None:
        async with fleet() as held:
            held.play(
                [Fault(0.01, 0.05, "slow", "n000", {"factor": 2.0}), Fault(0.02, 0.0, "slow", "n000", {})]
            )
            while not any(record["kind"] == "mended" for record in held.ledger.records):
                await asyncio.sleep(0.01)
            kinds = [
                r["kind"] for r in held.ledger.records if r["kind"] in ("fault", "fault_skipped", "mended")
            ]
            assert kinds == ["fault", "fault_skipped", "mended"]

    play(scene)


def test_spoilt_answers_differ_from_good_ones_and_come_from_the_seed() -> None:
    value = make_value("a", "k", Kept(1, 300))
    for how in ("noise", "bad_line", "endless_line", "wrong_length", "copy", "tail_noise", "bad_report"):
        first, again = (spoil_resp(how, value, random.Random(1)) for _ in range(2))
        assert first == again
        assert isinstance(first, bytes)
        assert first != spoil_resp("", value, random.Random(1))
    huge = spoil_resp("huge", value, random.Random(1))
    assert huge is not None
    assert not isinstance(huge, bytes)
    assert sum(map(len, huge)) > 1 << 19
    assert spoil_resp("cut", value, random.Random(1)) is None
