"""What may come before a change of the list, and that it is acted on in time whatever came.

Discovery is a stand-in over real sockets, call by call as the test says; the clock jumps (jumping.py).
"""

from __future__ import annotations

import asyncio
import gc
import json
import random
from collections.abc import Sequence
from contextlib import suppress
from itertools import product

import pytest

from saltport.membership import registry
from saltport.membership.listing import Listing
from saltport.membership.registry import Discovery
from saltport.membership.start_times import StartTimes
from tests.crossings.jumping import pass_time, play

ASK_WITHIN_S = 10.0
SLOW_S = 3.0
ROUND_S = 0.01  # the loop's own rounding
BAD = ("hangs", "is reset", "is refused", "can't be read", "is cut off")


def entry(name: str, lifecycle: str = "up") -> dict[str, object]:
    told = {"instanceId": name, "hostPort": "127.0.0.1:1", "lifecycle": lifecycle}
    return {**told, "weight": 1.0, "startedAtMs": 0}


class Scripted:
    """Discovery, whose first calls go as told and whose later ones go well."""

    def __init__(self, script: Sequence[str]) -> None:
        self._script = list(script)
        self.generation = 1
        self.instances = [entry("old")]
        self.changed = asyncio.Event()
        self.calls: list[tuple[float, str]] = []
        """When each began, and its target."""
        self.bad_at = 0.0
        """When the last call that went badly began."""
        self.waits_end = 0.0
        """When the wait of the last silent watch was over."""
        self.indented = False
        self.answer_first = False
        """Of the answer and the call's time-out, that come in one turn."""
        self.whole_s = 0.0
        """In which a call for the whole list has to be answered."""
        self.connections: set[asyncio.StreamWriter] = set()
        self.outage = ""
        """How all calls go for now, whatever was told; empty: as told."""

    async def listen(self) -> int:
        server = await asyncio.start_server(self._serve, "127.0.0.1", 0)
        return int(server.sockets[0].getsockname()[1])

    def change(self) -> None:
        self.generation += 1
        self.instances = [entry("new")]
        self.changed.set()

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self.connections.add(writer)
        loop = asyncio.get_running_loop()
        try:
            while head := await reader.readuntil(b"\r\n\r\n"):
                target = head.split(b" ")[1].decode()
                wait_s = int(target.split("wait=")[1]) / 1000 if "wait=" in target else 0.0
                self.calls.append((loop.time(), target))
                how = self.outage or (self._script.pop(0) if self._script else "goes well")
                if how != "goes well":
                    self.bad_at = loop.time()
                    self.waits_end = loop.time() + wait_s
                if how == "hangs":
                    await asyncio.sleep(10_000)
                elif how == "is slow":
                    body = await self._answer(target, wait_s)
                    await asyncio.sleep(SLOW_S)
                    writer.write(b"HTTP/1.1 200 X\r\nContent-Length: %d\r\n\r\n%b" % (len(body), body))
                elif how == "comes with the time-out":
                    await self._with_the_time_out(target, wait_s, writer)
                elif how == "is reset":
                    writer.transport.abort()
                elif how == "is cut off":
                    writer.write(b"HTTP/1.1 200 X\r\nContent-Length: 9000\r\n\r\n{")
                    await writer.drain()
                    writer.transport.abort()
                elif how == "is refused":
                    writer.write(b"HTTP/1.1 503 X\r\nContent-Length: 0\r\n\r\n")
                elif how == "can't be read":
                    writer.write(b'HTTP/1.1 200 X\r\nContent-Length: 17\r\n\r\n{"generation": 3}')
                else:
                    body = await self._answer(target, wait_s)
                    writer.write(b"HTTP/1.1 200 X\r\nContent-Length: %d\r\n\r\n%b" % (len(body), body))
        except (asyncio.IncompleteReadError, ConnectionError):
            pass
        finally:
            writer.close()

    async def _with_the_time_out(self, target: str, wait_s: float, writer: asyncio.StreamWriter) -> None:
        """Answer in the turn of the loop in which the call's time is over."""
        loop = asyncio.get_running_loop()
        call_s = wait_s + registry.ROUND_TRIP_S if wait_s else self.whole_s
        due = loop.time() + call_s
        if self.answer_first:
            await asyncio.sleep(call_s - ROUND_S)
            body = await self._answer(target, 0.0)
            writer.write(b"HTTP/1.1 200 X\r\nContent-Length: %d\r\n\r\n%b" % (len(body), body))
            pass_time(2 * ROUND_S)  # before the loop has looked at the kernel again
        else:
            await asyncio.sleep(call_s - 2 * ROUND_S)
            body = await self._answer(target, 0.0)
            answer = b"HTTP/1.1 200 X\r\nContent-Length: %d\r\n\r\n%b" % (len(body), body)
            loop.call_at(due + ROUND_S, writer.write, answer)
            pass_time(4 * ROUND_S)  # so that both are due in the next turn, the time-out ahead

    async def _answer(self, target: str, wait_s: float) -> bytes:
        whole = "index=" not in target
        index = -1 if whole else int(target.split("index=")[1].split("&")[0])
        if not whole and self.generation <= index:
            self.changed.clear()
            with suppress(TimeoutError):
                await asyncio.wait_for(self.changed.wait(), wait_s)
        entries = self.instances if self.generation > index else []
        body = {"generation": self.generation, "reset": whole, "instances": entries, "unknown": [1]}
        return json.dumps(body, indent=2 if self.indented else None).encode()


class Follower:
    """What a router knows: the servers told of last, and when it was told of the new one."""

    def __init__(self, port: int, asked: bool, seed: int) -> None:
        self.loop = asyncio.get_running_loop()
        self.told_at: dict[str, float] = {}
        self.new = asyncio.Event()
        self.failures = 0
        self.rng = random.Random(seed)
        self.discovery = Discovery(
            ("127.0.0.1", port), asked, StartTimes(), self._take, self._failed, ASK_WITHIN_S, self.rng
        )

    def _take(self, listing: Listing) -> None:
        for server in listing.change.servers:
            self.told_at.setdefault(server.id, self.loop.time())
            if server.id == "new":
                self.new.set()

    def _failed(self) -> None:
        """As the decision module does: it asks again after up to half of what the settings allow."""
        self.failures += 1
        self.loop.call_later(ASK_WITHIN_S / 2, self.discovery.subscribe)


def test_the_budget_is_within_the_terms() -> None:
    r = registry
    calls = 2 * (r.RETRY_DELAY_S + r.CALL_TIMEOUT_S)
    assert r.PUSHED_WAIT_S + r.ROUND_TRIP_S + calls + r.LOOP_DELAY_S <= r.MAX_CHANGE_DELAY_S
    assert r.ROUND_TRIP_S + r.CALL_TIMEOUT_S + r.LOOP_DELAY_S <= r.SILENT_WATCH_MARGIN_S + 1e-9
    assert r.RETRY_INTERVAL_S + r.SUBSCRIBED_CALL_TIMEOUT_S + r.LOOP_DELAY_S <= r.MAX_CHANGE_DELAY_S
    assert r.RETRY_DELAY_S < 0.2, "or a watch does not go on"


@pytest.mark.parametrize("asked", [False, True], ids=["pushed", "asked"])
@pytest.mark.parametrize("before", [*product(BAD), *product(BAD, BAD), *product(BAD, BAD, BAD)], ids="+".join)
def test_change_is_acted_on_in_time_whatever_calls_came_before(before: tuple[str, ...], asked: bool) -> None:
    async def scene() -> None:
        peer = Scripted(["goes well", *before])
        follower = Follower(await peer.listen(), asked, seed=len(peer.calls))
        if asked:
            follower.discovery.subscribe()
        else:
            follower.discovery.start()
        while len(peer.calls) < 1 + len(before):
            await asyncio.sleep(0.05)
        # From the beginning of the last call that goes badly on, any other would go well.
        peer.change()
        await asyncio.wait_for(follower.new.wait(), 100)
        allowed = peer.bad_at + registry.MAX_CHANGE_DELAY_S
        if before[-1] == "hangs":
            allowed = max(allowed, peer.waits_end + registry.SILENT_WATCH_MARGIN_S if asked else 0.0)
        assert follower.told_at["new"] <= allowed + ROUND_S
        follower.discovery.close()

    play(scene())


@pytest.mark.parametrize("asked", [False, True], ids=["pushed", "asked"])
@pytest.mark.parametrize("after_s", [0.0, 0.5, 1.05, 2.0, 3.3, 5.0, 12.0, 31.0])
def test_discovery_that_answers_each_call_after_three_seconds_is_followed(
    after_s: float, asked: bool
) -> None:
    async def scene() -> None:
        peer = Scripted(["is slow"] * 1000)
        follower = Follower(await peer.listen(), asked, seed=int(after_s * 10))
        if asked:
            follower.discovery.subscribe()
        else:
            follower.discovery.start()
        await asyncio.sleep(after_s)
        peer.change()
        changed_at = follower.loop.time()
        await asyncio.wait_for(follower.new.wait(), 100)
        assert follower.told_at["new"] <= changed_at + registry.MAX_CHANGE_DELAY_S
        follower.discovery.close()

    play(scene())


@pytest.mark.parametrize("asked", [False, True], ids=["pushed", "asked"])
@pytest.mark.parametrize("how", ["hangs", "is reset", "is refused"])
@pytest.mark.parametrize("down_s", [0.5, 8.0, 120.0, 600.0])
def test_outage_after_ten_quiet_minutes_is_followed_by_a_change_in_time(
    down_s: float, how: str, asked: bool
) -> None:
    async def scene() -> None:
        peer = Scripted([])
        follower = Follower(await peer.listen(), asked, seed=int(down_s))
        (follower.discovery.subscribe if asked else follower.discovery.start)()
        await asyncio.sleep(600.0)
        for _ in range(2):  # and once more, soon after
            peer.outage = how
            for connection in list(peer.connections):
                if how != "hangs":
                    connection.transport.abort()
            await asyncio.sleep(down_s)
            peer.outage = ""
            back_at = follower.loop.time()
            follower.new.clear()
            follower.told_at.clear()
            peer.change()
            await asyncio.wait_for(follower.new.wait(), 100)
            allowed = back_at + registry.MAX_CHANGE_DELAY_S
            if how == "hangs" and asked:
                allowed = max(allowed, peer.waits_end + registry.SILENT_WATCH_MARGIN_S)
            assert follower.told_at["new"] <= allowed + ROUND_S
            await asyncio.sleep(3.0)
        follower.discovery.close()

    play(scene())


def test_late_answer_is_not_taken_over_a_later_one() -> None:
    async def scene() -> None:
        peer = Scripted(["is slow"])
        follower = Follower(await peer.listen(), False, seed=1)
        follower.discovery.start()
        await asyncio.sleep(0.5)
        peer.change()
        await asyncio.sleep(registry.MAX_CHANGE_DELAY_S)
        assert "new" in follower.told_at
        assert "old" not in follower.told_at, "what the slow call had is older than what a later one brought"
        follower.discovery.close()

    play(scene())


@pytest.mark.parametrize("seed", range(5))
def test_silent_watch_of_an_asked_discovery_is_opened_anew_two_seconds_after_its_wait(seed: int) -> None:
    async def scene() -> None:
        peer = Scripted(["goes well", "hangs"])
        follower = Follower(await peer.listen(), True, seed)
        follower.discovery.subscribe()
        while len(peer.calls) < 2:
            await asyncio.sleep(0.05)
        peer.change()
        await asyncio.wait_for(follower.new.wait(), 100)
        assert (
            follower.told_at["new"]
            <= peer.waits_end + registry.SILENT_WATCH_MARGIN_S - registry.LOOP_DELAY_S + ROUND_S
        )
        assert follower.failures == 0, "one call at once: the module's pause is for a discovery that fails"
        follower.discovery.close()

    play(scene())


@pytest.mark.parametrize("asked", [False, True], ids=["pushed", "asked"])
def test_discovery_that_counts_anew_is_followed_from_its_whole_list(asked: bool) -> None:
    async def scene() -> None:
        peer = Scripted([])
        peer.generation = 41
        follower = Follower(await peer.listen(), asked, 1)
        (follower.discovery.subscribe if asked else follower.discovery.start)()
        while len(peer.calls) < 2:
            await asyncio.sleep(0.05)
        peer.generation = 3  # restarted: a watch from 41 hears of nothing newer
        peer.change()
        for writer in peer.connections:
            writer.transport.abort()
        await asyncio.wait_for(follower.new.wait(), 100)
        assert follower.discovery.generation == 4
        follower.discovery.close()

    play(scene())


@pytest.mark.parametrize("asked", [False, True], ids=["pushed", "asked"])
@pytest.mark.parametrize("watching", [False, True])
def test_another_address_is_asked_at_once_and_for_the_whole_list(asked: bool, watching: bool) -> None:
    async def scene() -> None:
        first, second = Scripted(["goes well"] + ([] if watching else ["is refused"] * 99)), Scripted([])
        first.generation, second.generation = 41, 2
        second.instances = [entry("new")]
        port = await second.listen()
        follower = Follower(await first.listen(), asked, 1)
        (follower.discovery.subscribe if asked else follower.discovery.start)()
        while len(first.calls) < 2 + (not watching) * (not asked):
            await asyncio.sleep(0.05)
        moved = follower.loop.time()
        follower.discovery.change_address(("127.0.0.1", port))
        await asyncio.wait_for(follower.new.wait(), 100)
        assert follower.told_at["new"] - moved <= ROUND_S
        assert second.calls[0][1] == registry.LIST_PATH
        follower.discovery.close()

    play(scene())


def test_moved_while_a_long_list_is_being_taken_ends_with_the_new_one() -> None:
    async def scene() -> None:
        first, second = Scripted([]), Scripted([])
        first.instances = [entry(f"s{i}") for i in range(2000)]
        second.instances = [entry(f"s{i}") for i in range(1000, 3000)] + [entry("new")]
        port = await second.listen()
        follower = Follower(await first.listen(), False, 1)
        follower.discovery.start()
        while not follower.told_at:
            await asyncio.sleep(0)
        assert len(follower.told_at) < 2000, "it is within the list"
        follower.discovery.change_address(("127.0.0.1", port))
        await asyncio.wait_for(follower.new.wait(), 100)
        held = follower.discovery._steps._known_entries
        assert sorted(held) == sorted(["new", *(f"s{i}" for i in range(1000, 3000))])
        follower.discovery.close()

    play(scene())


def test_indented_lists_with_unknown_fields_are_read() -> None:
    async def scene() -> None:
        peer = Scripted([])
        peer.indented = True
        peer.instances = [{**entry("new"), "colour": {"a": None}}]
        follower = Follower(await peer.listen(), False, 1)
        follower.discovery.start()
        await asyncio.wait_for(follower.new.wait(), 100)
        follower.discovery.close()

    play(scene())


def test_one_bad_entry_leaves_the_old_list_and_is_not_asked_for_without_rest() -> None:
    async def scene() -> None:
        peer = Scripted([])
        follower = Follower(await peer.listen(), False, 1)
        follower.discovery.start()
        while len(peer.calls) < 2:
            await asyncio.sleep(0.05)
        peer.change()
        peer.instances = [entry("new"), entry("worse", "nowhere")]
        begun, known = follower.loop.time(), len(peer.calls)
        while follower.loop.time() < begun + 20:
            await asyncio.sleep(0.05)
        assert len(peer.calls) - known <= 21
        assert set(follower.told_at) == {"old"}
        peer.instances = [entry("new")]
        await asyncio.wait_for(follower.new.wait(), 100)
        follower.discovery.close()

    play(scene())


@pytest.mark.parametrize("asked", [False, True], ids=["pushed", "asked"])
@pytest.mark.parametrize("watching", [False, True], ids=["first call", "watch"])
@pytest.mark.parametrize("answer_first", [False, True], ids=["time-out first", "answer first"])
def test_answer_in_the_turn_of_its_call_s_time_out_is_taken(
    asked: bool, watching: bool, answer_first: bool
) -> None:
    async def scene() -> None:
        peer = Scripted([*["goes well"] * watching, "comes with the time-out"])
        peer.answer_first = answer_first
        peer.whole_s = registry.SUBSCRIBED_CALL_TIMEOUT_S if asked else registry.CALL_TIMEOUT_S
        follower = Follower(await peer.listen(), asked, 1)
        (follower.discovery.subscribe if asked else follower.discovery.start)()
        while len(peer.calls) < 1 + watching:
            await asyncio.sleep(0.05)
        peer.change()
        await asyncio.wait_for(follower.new.wait(), 100)
        call_s = registry.ROUND_TRIP_S if watching or asked else peer.whole_s
        given_up_at = peer.waits_end + call_s
        assert follower.told_at["new"] <= given_up_at + 10 * ROUND_S, "its answer counts, late as it is"
        assert follower.discovery.generation == peer.generation
        await asyncio.sleep(0.1)
        assert sum(not w.transport.is_closing() for w in peer.connections) <= 1, "the given-up one is closed"
        follower.discovery.close()

    play(scene())


@pytest.mark.parametrize("asked", [False, True], ids=["pushed", "asked"])
def test_connection_that_comes_up_in_the_turn_of_its_time_out_is_not_left_open(
    asked: bool, monkeypatch: pytest.MonkeyPatch
) -> None:
    class LateCall(registry._Call):
        """A connection that comes up as its call's time is over, the first one only."""

        count = 0

        def __init__(self) -> None:
            super().__init__()
            LateCall.count += 1
            if LateCall.count == 1:
                pass_time(ASK_WITHIN_S + registry.SUBSCRIBED_CALL_TIMEOUT_S)  # longer than any call may take

    async def scene() -> None:
        peer = Scripted([])
        peer.change()
        follower = Follower(await peer.listen(), asked, 1)
        monkeypatch.setattr(registry, "_Call", LateCall)
        (follower.discovery.subscribe if asked else follower.discovery.start)()
        await asyncio.wait_for(follower.new.wait(), 200)
        await asyncio.sleep(0.1)
        assert LateCall.count == 2
        assert len(peer.calls) <= 2, "nothing was asked on the first"
        assert sum(not w.transport.is_closing() for w in peer.connections) == 1
        follower.discovery.close()

    play(scene())


@pytest.mark.parametrize("how", ["hangs", "is slow", "goes well"])
def test_end_within_a_call_leaves_nothing_that_the_loop_complains_of(
    how: str, caplog: pytest.LogCaptureFixture
) -> None:
    async def scene() -> None:
        peer = Scripted([how] * 10)
        follower = Follower(await peer.listen(), False, seed=1)
        follower.discovery.start()
        await asyncio.sleep(2.5)
        follower.discovery.close()
        await asyncio.sleep(5.0)

    play(scene())
    gc.collect()
    assert [record.message for record in caplog.records if "never retrieved" in record.message] == []
