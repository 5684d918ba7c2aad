"""Fair turns: a backlog is handled in small parts, one connection after another, beside other events."""

from __future__ import annotations

import asyncio

import pytest

from saltport.downstream.command_input import CommandInput
from saltport.downstream.resp import RespDialect
from saltport.downstream.turns import MAX_RUN_S, TURN_BYTES, TurnScheduler
from tests.sockets import bulk, get, put


class Connection:
    """A connection with a backlog of some turns."""

    def __init__(self, name: str, turns: int, scheduler: TurnScheduler, taken: list[str]) -> None:
        self._name, self._left, self._scheduler, self._taken = name, turns, scheduler, taken

    def take_turn(self) -> None:
        self._taken.append(self._name)
        self._left -= 1
        if self._left:
            self._scheduler.add(self)


def test_connections_take_turns_one_after_another() -> None:
    async def play() -> list[str]:
        taken: list[str] = []
        scheduler = TurnScheduler(asyncio.get_running_loop())
        for name, turns in (("a", 3), ("b", 1), ("c", 2)):
            connection = Connection(name, turns, scheduler, taken)
            scheduler.add(connection)
            scheduler.add(connection)
        dropped = Connection("d", 1, scheduler, taken)
        scheduler.add(dropped)
        scheduler.discard(dropped)
        await asyncio.sleep(0.01)
        return taken

    assert asyncio.run(play()) == ["a", "b", "c", "a", "c", "a"]


def test_a_backlog_without_end_leaves_the_loop_to_others() -> None:
    class Endless:
        def __init__(self, scheduler: TurnScheduler) -> None:
            self._scheduler = scheduler

        def take_turn(self) -> None:
            self._scheduler.add(self)

    async def play() -> None:
        scheduler = TurnScheduler(asyncio.get_running_loop())
        scheduler.add(Endless(scheduler))
        for _ in range(5):
            await asyncio.sleep(MAX_RUN_S)

    async def main() -> None:
        await asyncio.wait_for(play(), 10)

    asyncio.run(main())


@pytest.mark.parametrize("read_bytes", [1, 100, 16 << 10])
def test_turns_return_each_command_once_and_in_order(read_bytes: int) -> None:
    ids = [f"r{number}" for number in range(60)]
    stream = b"".join(get(name) for name in ids[:30]) + put("w", b"v" * 70_000)
    stream += b"".join(get(name) for name in ids[30:]) + bulk(b"PING")[:5]
    commands = CommandInput(RespDialect())
    found: list[str] = []
    for at in range(0, len(stream), read_bytes):
        commands.add(stream[at : at + read_bytes], None)
        while commands.backlog_bytes:
            missing = commands.missing_bytes
            size, _, messages = commands.parse_turn()
            assert size <= max(TURN_BYTES, missing)
            found += [message.id.decode() for message, _ in messages]  # type: ignore[union-attr]
    assert found == [*ids[:30], "w", *ids[30:]]
    assert commands.unhandled == bulk(b"PING")[:5]
    assert commands.is_partial


def test_nothing_is_parsed_behind_the_end_of_a_stream() -> None:
    commands = CommandInput(RespDialect())
    commands.add(get("r1") + b"?" + get("r2") * 100, None)
    _, _, messages = commands.parse_turn()
    assert len(messages) == 1
    assert commands.backlog_bytes == 0


def test_nothing_of_a_discarded_command_waits_for_a_turn() -> None:
    """Guards against the ends of many discarded commands, which are read however little memory is free."""
    write = put("w", b"v" * 300_000)
    commands = CommandInput(RespDialect())
    commands.add(write[:1000], None)
    commands.parse_turn()
    assert commands.dialect.discard()
    commands.add(write[1000:], None)
    assert commands.is_small
    commands.parse_turn()
    assert commands.held_bytes == 0
