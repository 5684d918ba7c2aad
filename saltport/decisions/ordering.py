"""In which order the commands of one client's connection take effect, key by key. No I/O and no clock.

A write begins when all that came before it for its key has ended, a read when the writes before it have;
other keys go on side by side. A write whose end is unknown (failed: it may have run, or may run yet) leaves
no order for the writes that wait behind it to keep: they are turned down, as nothing of them was done. Reads
go on: they see the value before or after it.
"""

from __future__ import annotations

from collections import deque
from dataclasses import dataclass, field
from typing import Any, Generic, TypeVar

Command = TypeVar("Command")


@dataclass(slots=True)
class Line(Generic[Command]):
    """What is under way for one key, and what waits behind it."""

    reads: int = 0
    writing: bool = False
    waiting: deque[tuple[Command, bool]] = field(default_factory=deque)
    """Commands in their order, and whether each is a write."""


@dataclass(frozen=True, slots=True)
class Released(Generic[Command]):
    """What becomes of commands that waited."""

    begin: tuple[Command, ...] = ()
    turn_down: tuple[Command, ...] = ()


NOTHING: Released[Any] = Released()


class KeyOrder(Generic[Command]):
    """The commands of one connection; who uses it bounds how many there are."""

    def __init__(self) -> None:
        self._lines: dict[bytes, Line[Command] | bool] = {}
        """By key; most have one command, of which is kept only whether it is a write."""

    def __len__(self) -> int:
        return len(self._lines)

    def arrives(self, command: Command, key: bytes, write: bool) -> bool:
        """Take a command; whether it may begin at once. If not, `ended` or `left` says when."""
        line = self._lines.get(key)
        if line is None:
            self._lines[key] = write
            return True
        if isinstance(line, bool):
            line = self._lines[key] = Line(reads=not line, writing=line)
        if line.waiting or line.writing or (write and line.reads):
            line.waiting.append((command, write))
            return False
        self._begin(line, write)
        return True

    @staticmethod
    def _begin(line: Line[Command], write: bool) -> None:
        if write:
            line.writing = True
        else:
            line.reads += 1

    def ended(self, key: bytes, write: bool, may_have_run: bool = False) -> Released[Command]:
        """A command that had begun has taken effect, or will not; `may_have_run`: nobody knows."""
        line = self._lines[key]
        if isinstance(line, bool):
            del self._lines[key]
            return NOTHING
        turned_down: tuple[Command, ...] = ()
        if write:
            line.writing = False
            if may_have_run:
                turned_down = tuple(command for command, is_write in line.waiting if is_write)
                line.waiting = deque(item for item in line.waiting if not item[1])
        else:
            line.reads -= 1
        return Released(self._next(key, line), turned_down)

    def left(self, command: Command, key: bytes) -> Released[Command]:
        """A command that waited is wanted no more."""
        line = self._lines[key]
        assert isinstance(line, Line), "a command that waits has one ahead"
        line.waiting = deque(item for item in line.waiting if item[0] is not command)
        return Released(self._next(key, line))

    def _next(self, key: bytes, line: Line[Command]) -> tuple[Command, ...]:
        begun: list[Command] = []
        while line.waiting and not line.writing:
            command, write = line.waiting[0]
            if write and line.reads:
                break
            line.waiting.popleft()
            self._begin(line, write)
            begun.append(command)
        if not (line.reads or line.writing):
            del self._lines[key]
        return tuple(begun)
