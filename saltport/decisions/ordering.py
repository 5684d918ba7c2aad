"""The order in which the commands of one client connection take effect, per key; without I/O or a clock.

A write begins when all earlier commands for its key have ended, a read when all earlier writes have; commands
for different keys run concurrently. After a write with an unknown result, which may still take effect, the
order of the writes behind it can't be guaranteed: they are rejected without an effect. Reads proceed and see
the value before or after it.
"""

from __future__ import annotations

from collections import deque
from dataclasses import dataclass, field
from typing import Any, Generic, TypeVar

Command = TypeVar("Command")


@dataclass(slots=True)
class KeyQueue(Generic[Command]):
    """The running and the waiting commands for one key."""

    reads: int = 0
    writing: bool = False
    waiting: deque[tuple[Command, bool]] = field(default_factory=deque)
    """The waiting commands in order, each with whether it is a write."""


@dataclass(frozen=True, slots=True)
class Released(Generic[Command]):
    """Waiting commands that may now begin, and those that are rejected."""

    begin: tuple[Command, ...] = ()
    rejected: tuple[Command, ...] = ()


NONE_RELEASED: Released[Any] = Released()


class KeyOrder(Generic[Command]):
    """Orders the commands of one connection per key; the caller bounds their number."""

    def __init__(self) -> None:
        self._queues: dict[bytes, KeyQueue[Command] | bool] = {}
        """By key; a key with a single command has only a flag for whether it is a write, to save memory."""

    def __len__(self) -> int:
        return len(self._queues)

    def enqueue(self, command: Command, key: bytes, write: bool) -> bool:
        """Add a command; return whether it may begin now. If not, `ended` or `cancel` releases it later."""
        queue = self._queues.get(key)
        if queue is None:
            self._queues[key] = write
            return True
        if isinstance(queue, bool):
            queue = self._queues[key] = KeyQueue(reads=not queue, writing=queue)
        if queue.waiting or queue.writing or (write and queue.reads):
            queue.waiting.append((command, write))
            return False
        self._begin(queue, write)
        return True

    @staticmethod
    def _begin(queue: KeyQueue[Command], write: bool) -> None:
        """Count a command that runs now."""
        if write:
            queue.writing = True
        else:
            queue.reads += 1

    def ended(self, key: bytes, write: bool, may_have_run: bool = False) -> Released[Command]:
        """End a running command; return the commands released by it.

        `may_have_run` says that it is unknown whether the command has taken or will take effect.
        """
        queue = self._queues[key]
        if isinstance(queue, bool):
            del self._queues[key]
            return NONE_RELEASED
        rejected: tuple[Command, ...] = ()
        if write:
            queue.writing = False
            if may_have_run:
                rejected = tuple(command for command, is_write in queue.waiting if is_write)
                queue.waiting = deque(item for item in queue.waiting if not item[1])
        else:
            queue.reads -= 1
        return Released(self._next(key, queue), rejected)

    def cancel(self, command: Command, key: bytes) -> Released[Command]:
        """Remove a waiting command; return the commands released by it."""
        queue = self._queues[key]
        assert isinstance(queue, KeyQueue), "a waiting command is behind another one"
        queue.waiting = deque(item for item in queue.waiting if item[0] is not command)
        return Released(self._next(key, queue))

    def _next(self, key: bytes, queue: KeyQueue[Command]) -> tuple[Command, ...]:
        """Begin the waiting commands of a key that may run now, and return them in their order."""
        begun: list[Command] = []
        while queue.waiting and not queue.writing:
            command, write = queue.waiting[0]
            if write and queue.reads:
                break
            queue.waiting.popleft()
            self._begin(queue, write)
            begun.append(command)
        if not (queue.reads or queue.writing):
            del self._queues[key]
        return tuple(begun)
