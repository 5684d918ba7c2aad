"""Assigns tasks to live sessions while this voter is the leader. No I/O.

Its state is not replicated. A new leader does not know the renewals before its term, so it waits for a
full lease before it reassigns any task.
"""

from __future__ import annotations

from functools import lru_cache
from hashlib import blake2b

from saltport.owners.assignments import (
    MAX_TASK_NAME_BYTES,
    MAX_TASKS,
    Assignments,
    AssignTasks,
    Command,
    RemoveTasks,
    Session,
)
from saltport.owners.messages import AssignedTasks, Renew, RenewReply, Resign
from saltport.owners.raft import NS_PER_S
from saltport.owners.sessions import Sessions
from saltport.owners.settings import OwnerSettings

COMMAND_ROWS_BYTES = 110  # size limit of the rows in a command, so that it fits a log entry
MESSAGE_ROWS_BYTES = 150  # size limit of the rows in an AssignedTasks message


@lru_cache(maxsize=65_536)
def weight(task: str, name: str) -> int:
    """Return the rendezvous-hashing weight; the live router with the greatest weight should own the task."""
    return int.from_bytes(blake2b(f"{task}/{name}".encode(), digest_size=8).digest())


_RowsByOwner = dict[Session, list[tuple[str, int]]]


class Coordinator:
    """Decides on assignments while this voter leads."""

    def __init__(self, assignments: Assignments, settings: OwnerSettings, now: int) -> None:
        self.assignments, self.settings = assignments, settings
        self._leader_since = now
        self._sessions = Sessions()
        self._renewal_sent_at: dict[Session, int] = {}
        """By session: when its latest renewal was sent, by its own clock."""
        self._wanted: dict[str, int] = {}
        self._recalled: dict[str, None] = {}
        """Tasks that owners should return, in order of recall; a set's order differs between processes."""
        self._returned: dict[str, int] = {}
        """Tasks whose owner has stopped working on them, with the epoch of that assignment."""
        self._pending: dict[str, int] = {}
        """Tasks in a proposed command, with the epoch that the command names."""
        self._move_tokens, self._move_tokens_at = 0.0, now
        self._rotation = 0
        self._names: list[str] = []
        self._preferred_owners: dict[str, str] = {}
        """By task: the router of greatest weight among `_names`."""
        self.assignment_reasons: dict[str, tuple[str, int]] = {}
        """By task: the reason of its latest assignment, and when that was proposed."""

    def live_sessions(self, now: int) -> dict[str, Session]:
        """Return the sessions that may be assigned tasks, the latest of each router."""
        live: dict[str, Session] = {}
        for session, renewed in self._sessions.items():
            if now - renewed < self.settings.lease and live.get(session.name, session) <= session:
                live[session.name] = session
        return live

    def has_expired(self, session: Session, now: int) -> bool:
        """Whether a session's lease has certainly expired, by this clock."""
        return now - self._sessions.renewed_at(session, self._leader_since) > self.settings.lease

    def renew(self, request: Renew, now: int) -> list[RenewReply | AssignedTasks]:
        """Process a lease renewal and return the replies.

        Danger: call it only at a moment at which this voter certainly leads.
        """
        session = request.session
        latest = self._sessions.latest(session.name)
        if latest is not None and session < latest:
            return []  # an earlier process, or a session whose lease has lapsed
        if request.sent_at < self._renewal_sent_at.get(session, request.sent_at):
            # Danger: the tasks that a delayed renewal returns may have come back to the session since.
            return []
        self._renewal_sent_at[session] = request.sent_at
        self._sessions.renew(session, now)
        for task in request.wanted:
            if 0 < len(task) <= MAX_TASK_NAME_BYTES and (
                task in self._wanted or len(self._wanted) < MAX_TASKS
            ):
                self._wanted[task] = now
        for task in request.returned:
            assignment = self.assignments.tasks.get(task)
            if assignment is not None and assignment.owner == session:
                self._returned[task] = assignment.epoch
        owned = self.assignments.owned_by(session)
        recalled = [task for task in self._recalled if task in owned and task not in request.returned]
        confirmed = tuple(
            task for task in request.returned if task not in owned or owned[task] == self._returned.get(task)
        )
        replies: list[RenewReply | AssignedTasks] = [
            RenewReply(session, request.sent_at, tuple(recalled[:2]), confirmed)
        ]
        if request.digest != self.assignments.digests.get(session, 0):
            rows = [row for row in owned.items() if self._returned.get(row[0]) != row[1]]
            # Danger: if the rows always started at the first, those beyond one reply would never be sent.
            self._rotation = (self._rotation + 101) % max(len(rows), 1)
            replies += self._assignment_messages(session, rows[self._rotation :] + rows[: self._rotation])
        return replies

    def _assignment_messages(self, session: Session, rows: list[tuple[str, int]]) -> list[AssignedTasks]:
        """Return messages that list the rows (task, epoch) as assigned to a session.

        Rows beyond `max_assignment_messages` messages are left out.
        """
        pages: list[AssignedTasks] = []
        while rows and len(pages) < self.settings.max_assignment_messages:
            page, room = [], MESSAGE_ROWS_BYTES
            while rows and room >= len(rows[0][0]) + 6:
                room -= len(rows[0][0]) + 6
                page.append(rows.pop(0))
            pages.append(AssignedTasks(session, tuple(page)))
        return pages

    def resign(self, message: Resign) -> None:
        """End a session: its lease counts as expired from now on."""
        if message.session in self._sessions or self.assignments.owned_by(message.session):
            self._sessions.renew(message.session, -self.settings.lease - 1)

    def on_applied(self, changed: list[str]) -> None:
        """Drop the pending commands, recalls and returns of tasks that a committed command has changed."""
        for task in changed:
            self._pending.pop(task, None)
            self._recalled.pop(task, None)
            self._returned.pop(task, None)

    def on_proposal_failed(self, tasks: list[str]) -> None:
        """Mark tasks as no longer pending after Raft refused to propose their command.

        The next call of `decide` returns commands for them again.
        """
        for task in tasks:
            self._pending.pop(task, None)

    def decide(self, now: int) -> list[Command]:
        """Return the commands to propose: tasks of expired sessions, new, returned and unwanted tasks."""
        live = self.live_sessions(now)
        for session in [
            s for s in self._sessions if self.has_expired(s, now) and not self.assignments.owned_by(s)
        ]:
            self._sessions.forget(session)
            self._renewal_sent_at.pop(session, None)
        rows_by_owner: _RowsByOwner = {}
        removed_rows: list[tuple[str, int]] = []
        names = sorted(live)
        if names != self._names or len(self._preferred_owners) > MAX_TASKS:
            self._names, self._preferred_owners = names, {}
        wanted_since = now - self.settings.unwanted_timeout
        for task, assignment in self.assignments.tasks.items():
            if self._pending.get(task) == assignment.epoch:
                continue
            is_free = self.has_expired(assignment.owner, now) or self._returned.get(task) == assignment.epoch
            is_wanted = max(self._wanted.get(task, 0), self._leader_since) > wanted_since
            if is_free and not is_wanted:
                removed_rows.append((task, assignment.epoch))
            elif is_free and names:
                reason = "returned" if task in self._returned else "lost"
                self._assign(
                    rows_by_owner, live[self._preferred_owner(task)], task, assignment.epoch, reason, now
                )
            elif not is_wanted or (names and self._preferred_owner(task) != assignment.owner.name):
                self._recall(task, now, at_once=not is_wanted)
        for task, requested_at in list(self._wanted.items()):
            if requested_at <= wanted_since:
                del self._wanted[task]
            elif task not in self.assignments.tasks and names and task not in self._pending:
                self._assign(rows_by_owner, live[self._preferred_owner(task)], task, 0, "new", now)
        commands: list[Command] = []
        for to, rows in rows_by_owner.items():
            commands += [AssignTasks(to, page) for page in _split_rows(rows)]
        commands += [RemoveTasks(page) for page in _split_rows(removed_rows)]
        for command in commands:
            for task, epoch in command.rows:
                self._pending[task] = epoch
        return commands

    def _preferred_owner(self, task: str) -> str:
        """Return the live router of greatest weight for a task, cached for each set of live routers.

        Without the cache each round of decisions would weigh each task for each router.
        """
        preferred = self._preferred_owners.get(task)
        if preferred is None:
            preferred = self._preferred_owners[task] = max(
                self._names, key=lambda name: (weight(task, name), name)
            )
        return preferred

    def _assign(
        self,
        rows_by_owner: _RowsByOwner,
        to: Session,
        task: str,
        epoch: int,
        reason: str,
        now: int,
    ) -> None:
        """Add a task to the rows to assign to a session, and record the reason of the assignment."""
        rows_by_owner.setdefault(to, []).append((task, epoch))
        self.assignment_reasons[task] = (reason, now)

    def _recall(self, task: str, now: int, at_once: bool) -> None:
        """Ask the owner to return a task.

        `moves_per_s` limits the recalls for rebalancing, so that a join does not move all tasks at once.
        """
        if task in self._recalled:
            return
        burst = float(self.settings.moves_per_s)
        self._move_tokens = min(self._move_tokens + (now - self._move_tokens_at) * burst / NS_PER_S, burst)
        self._move_tokens_at = now
        if at_once or self._move_tokens >= 1:
            self._move_tokens -= not at_once
            self._recalled[task] = None


def _split_rows(rows: list[tuple[str, int]]) -> list[tuple[tuple[str, int], ...]]:
    """Split rows (task, epoch) into groups, each of which fits one command."""
    pages: list[list[tuple[str, int]]] = []
    room = 0
    for row in rows:
        size = len(row[0].encode()) + 7
        if room < size:
            pages.append([])
            room = COMMAND_ROWS_BYTES
        pages[-1].append(row)
        room -= size
    return [tuple(page) for page in pages]
