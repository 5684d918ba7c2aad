"""The owner's side of a lease: its tasks, and until when effects of them are allowed. No I/O.

Danger: a lease counts from the sending of the renewal, never from the arrival of the reply: the reply may
have been in flight, or this process may have been stopped, for longer than the lease.
"""

from __future__ import annotations

from collections.abc import Iterable

from saltport.owners.assignments import Session, assignment_hash
from saltport.owners.messages import AssignedTasks, Renew, RenewReply
from saltport.owners.settings import OwnerSettings


class OwnerLease:
    """The lease and the tasks of one process."""

    def __init__(self, name: str, start: int, settings: OwnerSettings, now: int) -> None:
        self.session = Session(name, start)
        self.settings = settings
        self.tasks: dict[str, int] = {}
        """The tasks of this session with their epochs."""
        self.lease_until = 0
        self.lapses = 0
        self.resigned = False
        self._digest = 0
        self._returning: set[str] = set()
        """Tasks that were returned, until a reply confirms the return."""
        self._returned_epochs: dict[str, int] = {}
        """Epochs of the tasks that this session has returned."""
        self._wanted: dict[str, None] = {}
        self._unreported: dict[str, None] = {}
        """Wanted tasks that no renewal has contained yet."""
        self._renew_at = now
        self._renewal_sent_at = 0

    def effect_epoch(self, task: str, now: int, duration: int = 0) -> int | None:
        """Return the epoch for an effect of `task` that starts now and takes `duration`; None if not allowed.

        Must be called after each wait and before each effect, with a freshly read clock.
        """
        if now + duration >= self.lease_until or task in self._returning:
            return None
        return self.tasks.get(task)

    def set_wanted(self, tasks: Iterable[str]) -> None:
        """Set all tasks that this router wants to be done; those wanted before keep their turn."""
        wanted = dict.fromkeys(tasks)
        added = {task: None for task in wanted if task not in self._wanted}
        kept = {task: None for task in self._wanted if task in wanted}
        self._unreported = {task: None for task in self._unreported if task in kept} | added
        self._wanted = kept | added

    def tick(self, now: int) -> Renew | None:
        """Expire the lease if it has ended, and return the renewal to send, if one is due."""
        if self.lease_until and now >= self.lease_until:
            self.lapse(now)
        if now < self._renew_at or self.resigned:
            return None
        self._renew_at = now + self.settings.renew_interval
        self._renewal_sent_at = now
        reported = self._next_wanted()
        return Renew(self.session, now, self._digest, tuple(sorted(self._returning))[:4], reported)

    def _next_wanted(self) -> tuple[str, ...]:
        """Return some wanted tasks for a renewal: unreported ones first, the others in rotation."""
        selected: list[str] = []
        room = self.settings.max_wanted_bytes
        for task in [*self._unreported, *self._wanted]:
            room -= len(task) + 2
            if room < 0:
                break
            if task not in selected:
                selected.append(task)
        for task in selected:
            self._unreported.pop(task, None)
            if task in self._wanted:
                del self._wanted[task]
                self._wanted[task] = None  # moved to the end of the rotation
        return tuple(selected)

    def on_renew_reply(self, message: RenewReply, now: int) -> None:
        """Extend the lease by a reply of the coordinator, and return the recalled tasks."""
        if message.session != self.session or message.sent_at > now or self.resigned:
            return
        if self.lease_until and now >= self.lease_until:
            # Danger: the tasks may have been reassigned meanwhile, so this session must not resume them.
            self.lapse(now)
            return
        until = message.sent_at + self.settings.owner_lease_duration
        if until <= now:
            return  # expired in flight
        self.lease_until = max(self.lease_until, until)
        for task in message.confirmed_returns:
            self._returning.discard(task)
        for task in message.recalled:
            self.return_task(task)

    def add_assigned(self, message: AssignedTasks) -> None:
        """Add tasks that the coordinator reports as assigned to this session."""
        if message.session != self.session or self.resigned:
            return
        for task, epoch in message.rows:
            if epoch <= self._returned_epochs.get(task, 0):
                # Danger: a delayed message must not restore a returned task. A new coordinator may have sent
                # it, so the return is reported again; but not of a task that has come back by a later epoch,
                # which would be given to another router while this one goes on with it.
                if task not in self.tasks:
                    self._returning.add(task)
                continue
            known_epoch = self.tasks.get(task, 0)
            if epoch > known_epoch:
                self._digest ^= (assignment_hash(task, known_epoch) if known_epoch else 0) ^ assignment_hash(
                    task, epoch
                )
                self.tasks[task] = epoch
                self._returning.discard(task)

    def return_task(self, task: str) -> None:
        """Stop working on a task; the next renewal reports its return."""
        epoch = self.tasks.pop(task, None)
        if epoch is not None:
            self._digest ^= assignment_hash(task, epoch)
            self._returning.add(task)
            self._returned_epochs[task] = epoch

    def lapse(self, now: int) -> None:
        """Drop all tasks and begin a new session, after the lease expired or may have expired unnoticed."""
        if self.lease_until or self.tasks:
            self.lapses += 1
            session = self.session
            self.session = Session(session.name, session.start, session.lapse + 1)
        self.tasks.clear()
        self._returning.clear()
        self._returned_epochs.clear()
        self._digest = self.lease_until = 0
        self._renew_at = now

    def resign(self) -> Session:
        """Return all tasks for good before the process ends; return the session for the Resign message."""
        session = self.session
        self.resigned = True
        self.tasks.clear()
        self._returning.clear()
        self._digest = self.lease_until = 0
        return session
