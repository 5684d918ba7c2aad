"""Which session owns each task, and since which epoch: the state machine of the replicated log. No I/O.

The epoch of an assignment is the index of its log entry, so epochs rise across leaders, restarts and tasks.
"""

from __future__ import annotations

from dataclasses import dataclass
from hashlib import blake2b

import msgspec
from msgspec import Struct

from saltport.owners.log import Entry, EntryKind

MAX_TASK_NAME_BYTES = 64  # so that a row fits a log entry, and an entry a datagram
MAX_TASKS = 4_096  # limit of the tasks that have an owner, and of the tasks that routers want done


class Session(Struct, frozen=True, array_like=True, order=True):
    """An owner's session: its router, start number of its process, and how many of its leases lapsed."""

    name: str
    start: int
    lapse: int = 0


class AssignTasks(Struct, frozen=True, array_like=True, tag=0):
    """Command: assign tasks to a session; each row has the task and the epoch known when it was proposed."""

    owner: Session
    rows: tuple[tuple[str, int], ...]


class RemoveTasks(Struct, frozen=True, array_like=True, tag=1):
    """Command: remove tasks that no router wants done any more.

    Each row has a task and its epoch; a task that has another epoch by now is not removed.
    """

    rows: tuple[tuple[str, int], ...]


Command = AssignTasks | RemoveTasks
_decoder: msgspec.msgpack.Decoder[Command] = msgspec.msgpack.Decoder(Command)


def encode_command(command: Command) -> bytes:
    """Return the data of a log entry for a command."""
    return msgspec.msgpack.encode(command)


class Assignment(Struct, frozen=True, array_like=True):
    """The owner of a task, and the epoch of its assignment."""

    owner: Session
    epoch: int


def assignment_hash(task: str, epoch: int) -> int:
    """Return a 32-bit hash of a task and its epoch; a session's digest is the XOR of its tasks' hashes."""
    return int.from_bytes(blake2b(f"{task}/{epoch}".encode(), digest_size=4).digest())


@dataclass(slots=True)
class Assignments:
    """The assignments of all tasks, and a digest of them for each session."""

    tasks: dict[str, Assignment]
    digests: dict[Session, int]

    @classmethod
    def empty(cls) -> Assignments:
        """Return a state without assignments."""
        return cls({}, {})

    def apply(self, entry: Entry) -> list[tuple[str, Assignment | None]]:
        """Apply a committed entry; return the changed tasks with their new assignment, None if removed.

        A row whose epoch differs from the task's current one was proposed on outdated state and is ignored.
        """
        if entry.kind != EntryKind.COMMAND:
            return []
        command = _decoder.decode(entry.data)
        changed: list[tuple[str, Assignment | None]] = []
        for task, known_epoch in command.rows:
            current = self.tasks.get(task)
            if (current.epoch if current else 0) != known_epoch or (
                current is None and len(self.tasks) >= MAX_TASKS
            ):
                continue
            if current is not None:
                self.digests[current.owner] ^= assignment_hash(task, current.epoch)
            if isinstance(command, RemoveTasks):
                self.tasks.pop(task, None)
                changed.append((task, None))
                continue
            assignment = Assignment(command.owner, entry.index)
            self.tasks[task] = assignment
            self.digests[command.owner] = self.digests.get(command.owner, 0) ^ assignment_hash(
                task, entry.index
            )
            changed.append((task, assignment))
        self.digests = {session: digest for session, digest in self.digests.items() if digest}
        return changed

    def owned_by(self, session: Session) -> dict[str, int]:
        """Return the tasks of a session with their epochs."""
        return {task: current.epoch for task, current in self.tasks.items() if current.owner == session}

    def save(self) -> bytes:
        """Return the state as the data of a snapshot."""
        return msgspec.msgpack.encode(self.tasks)

    @classmethod
    def load(cls, data: bytes) -> Assignments:
        """Return the state in the data of a snapshot; raises ValueError if the data is invalid."""
        if not data:
            return cls.empty()
        tasks = msgspec.msgpack.decode(data, type=dict[str, Assignment])
        digests: dict[Session, int] = {}
        for task, current in tasks.items():
            digests[current.owner] = digests.get(current.owner, 0) ^ assignment_hash(task, current.epoch)
        return cls(tasks, digests)
