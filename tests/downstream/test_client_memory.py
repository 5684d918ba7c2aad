"""What is admitted for one client, by what it keeps and by what is free."""

from __future__ import annotations

import asyncio
from typing import cast

from saltport.downstream.budget import RESERVE_BYTES, MemoryBudget
from saltport.downstream.client_memory import SPARSE_CLIENT_BYTES, ClientMemory
from saltport.downstream.command_input import CommandInput
from saltport.downstream.resp import RespDialect
from saltport.messages import Request

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
