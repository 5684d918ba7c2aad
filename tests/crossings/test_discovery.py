"""Changes of the server list take effect in time, whatever failures of discovery came before.

Discovery is a scripted stand-in over real sockets; the clock is virtual (virtual_time.py).
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
from tests.crossings.virtual_time import advance_time, run_scenario

ASK_WITHIN_S = 10.0
SLOW_S = 3.0
ROUND_S = 0.01  # the loop's own rounding
FAILURES = ("hangs", "is reset", "is refused", "can't be read", "is cut off")


def entry(name: str, lifecycle: str = "up") -> dict[str, object]:
    fields = {"instanceId": name, "hostPort": "127.0.0.1:1", "lifecycle": lifecycle}
    return {**fields, "weight": 1.0, "startedAtMs": 0}


class ScriptedDiscovery:
    """Discovery whose first calls go as the script says and whose later calls succeed."""

    def __init__(self, script: Sequence[str]) -> None:
        self._script = list(script)
        self.generation = 1
        self.instances = [entry("old")]
        self.changed = asyncio.Event()
        self.calls: list[tuple[float, str]] = []
        """The start time and the target of each call."""
        self.failed_at = 0.0
        """Start time of the last call that failed."""
        self.wait_ended_at = 0.0
        """End of the wait time of the last watch that got no answer."""
        self.indented = False
        self.answer_first = False
        """Whether the answer precedes the time-out of its call if both come in one loop iteration."""
        self.full_list_s = 0.0
        """Time-out of a call for the full list."""
        self.connections: set[asyncio.StreamWriter] = set()
        self.outage = ""
        """How all calls go for now, instead of the script; empty: as the script says."""

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
                    self.failed_at = loop.time()
                    self.wait_ended_at = loop.time() + wait_s
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
        """Answer in the loop iteration in which the call times out."""
        loop = asyncio.get_running_loop()
        call_s = wait_s + registry.ROUND_TRIP_S if wait_s else self.full_list_s
        due = loop.time() + call_s
        if self.answer_first:
            await asyncio.sleep(call_s - ROUND_S)
            body = await self._answer(target, 0.0)
            writer.write(b"HTTP/1.1 200 X\r\nContent-Length: %d\r\n\r\n%b" % (len(body), body))
            advance_time(2 * ROUND_S)  # before the loop polls the sockets again
        else:
            await asyncio.sleep(call_s - 2 * ROUND_S)
            body = await self._answer(target, 0.0)
            answer = b"HTTP/1.1 200 X\r\nContent-Length: %d\r\n\r\n%b" % (len(body), body)
            loop.call_at(due + ROUND_S, writer.write, answer)
            advance_time(4 * ROUND_S)  # both are due in the next iteration, the time-out first

    async def _answer(self, target: str, wait_s: float) -> bytes:
        is_full = "index=" not in target
        index = -1 if is_full else int(target.split("index=")[1].split("&")[0])
        if not is_full and self.generation <= index:
            self.changed.clear()
            with suppress(TimeoutError):
                await asyncio.wait_for(self.changed.wait(), wait_s)
        entries = self.instances if self.generation > index else []
        body = {"generation": self.generation, "reset": is_full, "instances": entries, "unknown": [1]}
        return json.dumps(body, indent=2 if self.indented else None).encode()


class Follower:
    """A router's view of discovery: when it received each server first."""

    def __init__(self, port: int, asked: bool, seed: int) -> None:
        self.loop = asyncio.get_running_loop()
        self.received_at: dict[str, float] = {}
        self.new = asyncio.Event()
        self.failures = 0
        self.rng = random.Random(seed)
        self.discovery = Discovery(
            ("127.0.0.1", port), asked, StartTimes(), self._take, self._failed, ASK_WITHIN_S, self.rng
        )

    def _take(self, listing: Listing) -> None:
        for server in listing.change.servers:
            self.received_at.setdefault(server.id, self.loop.time())
            if server.id == "new":
                self.new.set()

    def _failed(self) -> None:
        """Subscribe again after half of the allowed time; the decision module waits no longer than that."""
        self.failures += 1
        self.loop.call_later(ASK_WITHIN_S / 2, self.discovery.subscribe)


def test_sum_of_call_times_is_within_the_allowed_delay() -> None:
    r = registry
    calls = 2 * (r.RETRY_DELAY_S + r.CALL_TIMEOUT_S)
    assert r.PUSHED_WAIT_S + r.ROUND_TRIP_S + calls + r.LOOP_DELAY_S <= r.MAX_CHANGE_DELAY_S
    assert r.ROUND_TRIP_S + r.CALL_TIMEOUT_S + r.LOOP_DELAY_S <= r.SILENT_WATCH_MARGIN_S + 1e-9
    assert r.RETRY_INTERVAL_S + r.SUBSCRIBED_CALL_TIMEOUT_S + r.LOOP_DELAY_S <= r.MAX_CHANGE_DELAY_S
    assert r.RETRY_DELAY_S < 0.2, "otherwise a watch would not continue"


@pytest.mark.parametrize("asked", [False, True], ids=["pushed", "asked"])
@pytest.mark.parametrize(
    "before",
    [*product(FAILURES), *product(FAILURES, FAILURES), *product(FAILURES, FAILURES, FAILURES)],
    ids="+".join,
)
def test_change_takes_effect_in_time_after_any_failed_calls(before: tuple[str, ...], asked: bool) -> None:
    async def scenario() -> None:
        peer = ScriptedDiscovery(["goes well", *before])
        follower = Follower(await peer.listen(), asked, seed=len(peer.calls))
        if asked:
            follower.discovery.subscribe()
        else:
            follower.discovery.start()
        while len(peer.calls) < 1 + len(before):
            await asyncio.sleep(0.05)
        # From the start of the last failing call, any other call would succeed.
        peer.change()
        await asyncio.wait_for(follower.new.wait(), 100)
        allowed = peer.failed_at + registry.MAX_CHANGE_DELAY_S
        if before[-1] == "hangs":
            allowed = max(allowed, peer.wait_ended_at + registry.SILENT_WATCH_MARGIN_S if asked else 0.0)
        assert follower.received_at["new"] <= allowed + ROUND_S
        follower.discovery.close()

    run_scenario(scenario())


@pytest.mark.parametrize("asked", [False, True], ids=["pushed", "asked"])
@pytest.mark.parametrize("after_s", [0.0, 0.5, 1.05, 2.0, 3.3, 5.0, 12.0, 31.0])
def test_discovery_that_answers_each_call_after_three_seconds_is_followed(
    after_s: float, asked: bool
) -> None:
    async def scenario() -> None:
        peer = ScriptedDiscovery(["is slow"] * 1000)
        follower = Follower(await peer.listen(), asked, seed=int(after_s * 10))
        if asked:
            follower.discovery.subscribe()
        else:
            follower.discovery.start()
        await asyncio.sleep(after_s)
        peer.change()
        changed_at = follower.loop.time()
        await asyncio.wait_for(follower.new.wait(), 100)
        assert follower.received_at["new"] <= changed_at + registry.MAX_CHANGE_DELAY_S
        follower.discovery.close()

    run_scenario(scenario())


@pytest.mark.parametrize("asked", [False, True], ids=["pushed", "asked"])
@pytest.mark.parametrize("how", ["hangs", "is reset", "is refused"])
@pytest.mark.parametrize("down_s", [0.5, 8.0, 120.0, 600.0])
def test_change_after_an_outage_takes_effect_in_time(down_s: float, how: str, asked: bool) -> None:
    async def scenario() -> None:
        peer = ScriptedDiscovery([])
        follower = Follower(await peer.listen(), asked, seed=int(down_s))
        (follower.discovery.subscribe if asked else follower.discovery.start)()
        await asyncio.sleep(600.0)
        for _ in range(2):  # a second outage follows soon after the first
            peer.outage = how
            for connection in list(peer.connections):
                if how != "hangs":
                    connection.transport.abort()
            await asyncio.sleep(down_s)
            peer.outage = ""
            recovered_at = follower.loop.time()
            follower.new.clear()
            follower.received_at.clear()
            peer.change()
            await asyncio.wait_for(follower.new.wait(), 100)
            allowed = recovered_at + registry.MAX_CHANGE_DELAY_S
            if how == "hangs" and asked:
                allowed = max(allowed, peer.wait_ended_at + registry.SILENT_WATCH_MARGIN_S)
            assert follower.received_at["new"] <= allowed + ROUND_S
            await asyncio.sleep(3.0)
        follower.discovery.close()

    run_scenario(scenario())


def test_late_answer_does_not_replace_a_newer_one() -> None:
    async def scenario() -> None:
        peer = ScriptedDiscovery(["is slow"])
        follower = Follower(await peer.listen(), False, seed=1)
        follower.discovery.start()
        await asyncio.sleep(0.5)
        peer.change()
        await asyncio.sleep(registry.MAX_CHANGE_DELAY_S)
        assert "new" in follower.received_at
        assert "old" not in follower.received_at, (
            "the answer of the slow call is older than that of a later call"
        )
        follower.discovery.close()

    run_scenario(scenario())


@pytest.mark.parametrize("seed", range(5))
def test_unanswered_watch_of_an_asked_discovery_is_reopened_two_seconds_after_its_wait(seed: int) -> None:
    async def scenario() -> None:
        peer = ScriptedDiscovery(["goes well", "hangs"])
        follower = Follower(await peer.listen(), True, seed)
        follower.discovery.subscribe()
        while len(peer.calls) < 2:
            await asyncio.sleep(0.05)
        peer.change()
        await asyncio.wait_for(follower.new.wait(), 100)
        assert (
            follower.received_at["new"]
            <= peer.wait_ended_at + registry.SILENT_WATCH_MARGIN_S - registry.LOOP_DELAY_S + ROUND_S
        )
        assert follower.failures == 0, (
            "the next call starts at once; the decision module's pause is only for failures"
        )
        follower.discovery.close()

    run_scenario(scenario())


@pytest.mark.parametrize("asked", [False, True], ids=["pushed", "asked"])
def test_discovery_with_a_reset_generation_is_followed_from_its_full_list(asked: bool) -> None:
    async def scenario() -> None:
        peer = ScriptedDiscovery([])
        peer.generation = 41
        follower = Follower(await peer.listen(), asked, 1)
        (follower.discovery.subscribe if asked else follower.discovery.start)()
        while len(peer.calls) < 2:
            await asyncio.sleep(0.05)
        peer.generation = 3  # restarted: a watch from generation 41 gets no newer one
        peer.change()
        for writer in peer.connections:
            writer.transport.abort()
        await asyncio.wait_for(follower.new.wait(), 100)
        assert follower.discovery.generation == 4
        follower.discovery.close()

    run_scenario(scenario())


@pytest.mark.parametrize("asked", [False, True], ids=["pushed", "asked"])
@pytest.mark.parametrize("watching", [False, True])
def test_new_address_is_asked_at_once_for_the_full_list(asked: bool, watching: bool) -> None:
    async def scenario() -> None:
        first, second = (
            ScriptedDiscovery(["goes well"] + ([] if watching else ["is refused"] * 99)),
            ScriptedDiscovery([]),
        )
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
        assert follower.received_at["new"] - moved <= ROUND_S
        assert second.calls[0][1] == registry.LIST_PATH
        follower.discovery.close()

    run_scenario(scenario())


def test_change_of_address_while_a_long_list_is_applied_ends_with_the_new_list() -> None:
    async def scenario() -> None:
        first, second = ScriptedDiscovery([]), ScriptedDiscovery([])
        first.instances = [entry(f"s{i}") for i in range(2000)]
        second.instances = [entry(f"s{i}") for i in range(1000, 3000)] + [entry("new")]
        port = await second.listen()
        follower = Follower(await first.listen(), False, 1)
        follower.discovery.start()
        while not follower.received_at:
            await asyncio.sleep(0)
        assert len(follower.received_at) < 2000, "the list is only partly applied"
        follower.discovery.change_address(("127.0.0.1", port))
        await asyncio.wait_for(follower.new.wait(), 100)
        applied = follower.discovery._steps._known_entries
        assert sorted(applied) == sorted(["new", *(f"s{i}" for i in range(1000, 3000))])
        follower.discovery.close()

    run_scenario(scenario())


def test_indented_lists_with_unknown_fields_are_read() -> None:
    async def scenario() -> None:
        peer = ScriptedDiscovery([])
        peer.indented = True
        peer.instances = [{**entry("new"), "colour": {"a": None}}]
        follower = Follower(await peer.listen(), False, 1)
        follower.discovery.start()
        await asyncio.wait_for(follower.new.wait(), 100)
        follower.discovery.close()

    run_scenario(scenario())


def test_invalid_entry_leaves_the_old_list_and_does_not_cause_a_busy_retry() -> None:
    async def scenario() -> None:
        peer = ScriptedDiscovery([])
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
        assert set(follower.received_at) == {"old"}
        peer.instances = [entry("new")]
        await asyncio.wait_for(follower.new.wait(), 100)
        follower.discovery.close()

    run_scenario(scenario())


@pytest.mark.parametrize("asked", [False, True], ids=["pushed", "asked"])
@pytest.mark.parametrize("watching", [False, True], ids=["first call", "watch"])
@pytest.mark.parametrize("answer_first", [False, True], ids=["time-out first", "answer first"])
def test_answer_in_the_loop_iteration_of_its_time_out_is_used(
    asked: bool, watching: bool, answer_first: bool
) -> None:
    async def scenario() -> None:
        peer = ScriptedDiscovery([*["goes well"] * watching, "comes with the time-out"])
        peer.answer_first = answer_first
        peer.full_list_s = registry.SUBSCRIBED_CALL_TIMEOUT_S if asked else registry.CALL_TIMEOUT_S
        follower = Follower(await peer.listen(), asked, 1)
        (follower.discovery.subscribe if asked else follower.discovery.start)()
        while len(peer.calls) < 1 + watching:
            await asyncio.sleep(0.05)
        peer.change()
        await asyncio.wait_for(follower.new.wait(), 100)
        call_s = registry.ROUND_TRIP_S if watching or asked else peer.full_list_s
        timed_out_at = peer.wait_ended_at + call_s
        assert follower.received_at["new"] <= timed_out_at + 10 * ROUND_S, "the late answer is used"
        assert follower.discovery.generation == peer.generation
        await asyncio.sleep(0.1)
        assert sum(not w.transport.is_closing() for w in peer.connections) <= 1, (
            "the abandoned connection is closed"
        )
        follower.discovery.close()

    run_scenario(scenario())


@pytest.mark.parametrize("asked", [False, True], ids=["pushed", "asked"])
def test_connection_established_in_the_loop_iteration_of_its_time_out_is_closed(
    asked: bool, monkeypatch: pytest.MonkeyPatch
) -> None:
    class LateCall(registry._Call):
        """A connection; the first one is established when its call has timed out."""

        count = 0

        def __init__(self) -> None:
            super().__init__()
            LateCall.count += 1
            if LateCall.count == 1:
                advance_time(
                    ASK_WITHIN_S + registry.SUBSCRIBED_CALL_TIMEOUT_S
                )  # longer than any call may take

    async def scenario() -> None:
        peer = ScriptedDiscovery([])
        peer.change()
        follower = Follower(await peer.listen(), asked, 1)
        monkeypatch.setattr(registry, "_Call", LateCall)
        (follower.discovery.subscribe if asked else follower.discovery.start)()
        await asyncio.wait_for(follower.new.wait(), 200)
        await asyncio.sleep(0.1)
        assert LateCall.count == 2
        assert len(peer.calls) <= 2, "no request was sent on the first connection"
        assert sum(not w.transport.is_closing() for w in peer.connections) == 1
        follower.discovery.close()

    run_scenario(scenario())


@pytest.mark.parametrize("how", ["hangs", "is slow", "goes well"])
def test_close_during_a_call_leaves_no_unretrieved_exception(
    how: str, caplog: pytest.LogCaptureFixture
) -> None:
    async def scenario() -> None:
        peer = ScriptedDiscovery([how] * 10)
        follower = Follower(await peer.listen(), False, seed=1)
        follower.discovery.start()
        await asyncio.sleep(2.5)
        follower.discovery.close()
        await asyncio.sleep(5.0)

    run_scenario(scenario())
    gc.collect()
    assert [record.message for record in caplog.records if "never retrieved" in record.message] == []
