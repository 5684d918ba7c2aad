"""What is admitted for one client, by what it keeps and by what is free."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from typing import cast

import pytest

from saltport.deadline import NS_PER_MS
from saltport.downstream.budget import RESERVE_BYTES, MemoryBudget
from saltport.downstream.client_memory import SPARSE_CLIENT_BYTES, ClientMemory
from saltport.downstream.command_input import CommandInput
from saltport.downstream.resp import RespDialect
from saltport.messages import Request
from tests.sockets import put

READ = Request(b"r1", b"key", "get", "acme", 900, None, False, b"c=get,t=acme,d=900")
TOTAL = 1 << 20


def client_of(budget: MemoryBudget) -> ClientMemory:
    commands = CommandInput(RespDialect())
    return ClientMemory(budget, cast(asyncio.AbstractEventLoop, None), commands, lambda: None)


def test_client_that_keeps_little_is_admitted_beside_those_that_keep_all() -> None:
    """Guards against usual reads refused because hostile clients have used up the memory."""
    budget = MemoryBudget(TOTAL)
    hostile, usual = client_of(budget), client_of(budget)
    hostile.count(TOTAL)
    assert hostile.admit(READ) == 0
    size = usual.admit(READ)
    assert size > 0
    usual.release(size)
    usual.count(SPARSE_CLIENT_BYTES)
    assert usual.admit(READ) == 0


def test_reserve_for_clients_that_keep_little_is_bounded() -> None:
    budget = MemoryBudget(TOTAL)
    client_of(budget).count(TOTAL)
    admitted = 0
    while size := client_of(budget).admit(READ):
        admitted += size
    assert RESERVE_BYTES - SPARSE_CLIENT_BYTES < admitted <= RESERVE_BYTES


class RecordingLoop:
    """An event loop that records the delay of the latest timer."""

    delay_s = -1.0

    def call_later(self, delay_s: float, _: Callable[[], None]) -> object:
        self.delay_s = delay_s
        return object()


@pytest.mark.parametrize(("waited_ms", "left_s"), [(0, 0.5), (300, 0.2), (700, 0.0)])
def test_command_that_has_waited_in_another_process_waits_only_for_the_rest(
    waited_ms: int, left_s: float
) -> None:
    # Guards against: each process of an upgrade let a command wait for memory for half of its client's time.
    budget, loop, commands = MemoryBudget(TOTAL), RecordingLoop(), CommandInput(RespDialect())
    client_of(budget).count(TOTAL)
    memory = ClientMemory(budget, cast(asyncio.AbstractEventLoop, loop), commands, lambda: None)
    memory.waited_ns = waited_ms * NS_PER_MS
    commands.parse_read(put("w1", bytes(100_000), d=1000)[:200])
    memory.count_input()
    assert memory.awaits_memory
    assert loop.delay_s == pytest.approx(left_s)
    assert memory.waited_so_far_ns >= waited_ms * NS_PER_MS
