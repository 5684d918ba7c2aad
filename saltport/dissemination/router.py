"""One router's part: takes pushes, relays in turn, repairs gaps, acknowledges, submits. No I/O.

Time is an argument; call `turn` at `due`, `receive` for each datagram, and send what `take` hands out after
both.
"""

from __future__ import annotations

import random

from saltport.dissemination.acknowledger import Acknowledger
from saltport.dissemination.archive import Applied, Archive, States
from saltport.dissemination.budget import Budget, Work
from saltport.dissemination.freshness import Freshness, Verdict
from saltport.dissemination.log import Offer
from saltport.dissemination.messages import (
    Acknowledgement,
    Decision,
    Entry,
    Fetch,
    FetchParts,
    Head,
    Level,
    Message,
    Poll,
    Push,
    Repair,
    SnapshotPart,
)
from saltport.dissemination.outbox import Outgoing, SendQueue
from saltport.dissemination.placement import Placement
from saltport.dissemination.relay import Forwarded, forwards, within_site
from saltport.dissemination.repair import GapRepair
from saltport.dissemination.settings import DisseminationSettings
from saltport.dissemination.silence import Silence
from saltport.dissemination.snapshot import SnapshotTransfer
from saltport.dissemination.submissions import Submissions
from saltport.owners.fence import Fence

TASK = "dissemination"
"""The task whose owner is the coordinator."""


class Router:
    """What one router knows and does; `start` differs for each process."""

    def __init__(
        self,
        node: int,
        placement: Placement,
        settings: DisseminationSettings,
        states: States,
        rng: random.Random,
        start: int,
        now: int,
    ) -> None:
        self.node, self.placement, self.settings = node, placement, settings
        self.archive = Archive(settings, states)
        self.freshness = Freshness(settings, rng)
        self.fence = Fence()
        self.submissions = Submissions(start, placement.voters, settings)
        self.applied: list[Applied] = []
        """Since the last look; the host takes them."""
        self.loaded: list[tuple[int, int]] = []
        """Topics and entry numbers of snapshots since the last look."""
        self.incoming = Budget(settings.messages_per_s, settings.burst_messages, now)
        self.unreadable = 0
        self._rng = rng
        self._silence = Silence(settings, now)
        self._latest: Push | None = None
        self._queue = SendQueue(settings.bytes_per_s, settings.burst_bytes, now)
        self._repairs: dict[int, GapRepair] = {}
        self._transfers: dict[int, SnapshotTransfer] = {}
        self._acknowledger = Acknowledger(node, settings, rng)
        self._coordinator = placement.voters[0]
        self._forwarded = Forwarded()

    # Asked by the data path

    def verdict(self, topic: int, now: int) -> Verdict:
        """Whether what depends on this topic may be served."""
        return self.freshness.verdict(topic, now)

    def submit(self, topic: int, body: bytes, now: int) -> int:
        """Ask for a change; raises SubmissionError."""
        return self.submissions.submit(topic, body, now)

    # Driven by the host

    @property
    def due(self) -> int | None:
        """When `turn` has something to do; None: nothing waits."""
        times = [repair.due for topic, repair in self._repairs.items() if topic not in self._transfers]
        times += [transfer.due for transfer in self._transfers.values()]
        times += [self._silence.due, self.freshness.due, self.submissions.due, self._acknowledger.due]
        return min((time for time in times if time is not None), default=None)

    def take(self) -> list[Outgoing]:
        """Datagrams to be sent."""
        return self._queue.take()

    @property
    def refused(self) -> dict[Work, int]:
        """Datagrams that the budget of bytes dropped, by kind."""
        return dict(self._queue.budget.refused)

    def receive(self, source: int, message: Message, now: int) -> None:
        """Take a datagram."""
        if not self.incoming.admit(_work(message), 1.0, now):
            return
        if isinstance(message, Push):
            self._pushed(message, now)
        elif isinstance(message, Repair):
            self._repaired(message, now)
        elif isinstance(message, Fetch):
            self._asked(source, message, now)
        elif isinstance(message, FetchParts):
            for part in self.archive.parts(message):
                self._queue.send(Work.REPAIR, (source,), part, now)
        elif isinstance(message, SnapshotPart):
            self._part(source, message, now)
        elif isinstance(message, Poll):
            self._polled(source, now)
        elif isinstance(message, Acknowledgement):
            self._acknowledger.collect(source, message, self.placement, now)
        elif isinstance(message, Decision):
            self.submissions.decided(message)

    def turn(self, now: int) -> None:
        """Do what is due."""
        for topic, repair in list(self._repairs.items()):
            if topic not in self._transfers and repair.due is not None and repair.due <= now:
                self._fetch(topic, repair, now)
        for topic, transfer in list(self._transfers.items()):
            if transfer.failed:
                del self._transfers[topic]
            elif transfer.due <= now:
                self._queue.send(Work.FETCH, (transfer.source,), transfer.ask(now), now)
        if self._silence.due <= now:
            self._poll(now)
        if self.freshness.due is not None and self.freshness.due <= now:
            poll = Poll(self.freshness.poll(now))
            self._queue.send(Work.FETCH, (self._coordinator,), poll, now)
        self._acknowledge(now)
        if self.submissions.due is not None and self.submissions.due <= now:
            for target, submit in self.submissions.turn(now):
                self._queue.send(Work.PUSH, (target,), submit, now)

    def _acknowledge(self, now: int) -> None:
        due = self._acknowledger.due
        if due is None or due > now:
            return
        for target, told in self._acknowledger.turn(
            self.archive.logs, self.placement, self._coordinator, now
        ):
            self._queue.send(Work.ACKNOWLEDGE, (target,), told, now)

    # Pushes

    def _pushed(self, push: Push, now: int) -> None:
        if not self.fence.admit(TASK, push.epoch):
            return
        self._coordinator = self.submissions.coordinator = push.by
        if self._silence.heard(push.epoch, push.sent, now):
            self._latest = push
            self._acknowledger.heard(push.epoch, push.sent, now)
        self.freshness.heard(push, now)
        if push.entry is None or self._offer(push.entry, now) is not Offer.DIVERGED:
            self._forward(push, now)
        for head in push.heads:
            self._learn(head, now)

    def _poll(self, now: int) -> None:
        level = self._silence.poll(now)
        target = self._target(self._rng.getrandbits(16), level, 0)
        self._queue.send(Work.FETCH, (target,), Poll(), now)

    def _polled(self, source: int, now: int) -> None:
        """Tell the latest push again, with its own heads: they are what it vouches for."""
        latest = self._latest
        if latest is not None:
            told = Push(latest.epoch, latest.by, latest.sent, Level.SITE, latest.heads)
            self._queue.send(Work.REPAIR, (source,), told, now)

    def _forward(self, push: Push, now: int) -> None:
        site = self.placement.site(self.node)
        if site is None or push.level is Level.SITE:
            return
        done = self._forwarded.levels(push)
        for forward in forwards(self.node, site, push, self.placement, done):
            if forward.targets:
                told = Push(push.epoch, push.by, push.sent, forward.level, push.heads, push.entry)
                self._queue.send(Work.PUSH, forward.targets, told, now)

    def _repaired(self, repair: Repair, now: int) -> None:
        """A relay that lacked an entry couldn't pass it on either: its share of the site waits for it."""
        entry = repair.entry
        new = self._offer(entry, now) in (Offer.APPENDED, Offer.PENDING)
        log = self.archive.logs.get(entry.topic)
        if not new or log is None or entry.number <= log.head - self.settings.pass_on_repaired:
            return
        site, turn = self.placement.site(self.node), self.placement.turn(entry.topic, entry.number)
        if site is None or self.node not in self.placement.site_relays(site, turn):
            return
        for forward in within_site(self.node, site, turn, self.placement):
            self._queue.send(Work.PUSH, forward.targets, repair, now)

    def _offer(self, entry: Entry, now: int) -> Offer:
        offer, applied = self.archive.offer(entry)
        self._record(applied)
        self._after(entry.topic, entry.number, now)
        return offer

    def _record(self, applied: list[Applied]) -> None:
        self.applied += applied
        self._acknowledger.applied(applied)

    def _after(self, topic: int, number: int, now: int) -> None:
        """The log of a topic moved, or a gap in it was seen."""
        log = self.archive.logs.get(topic)
        if log is None:
            return
        repair = self._repairs.get(topic)
        if repair is None:
            repair = self._repairs[topic] = GapRepair(log, self.settings)
        repair.came(number, now)
        repair.notice(now)
        self.freshness.applied(topic, log.last)

    def _learn(self, head: Head, now: int) -> None:
        log = self.archive.log(head.topic)
        if log is not None and (log.learn(head.number) or head.topic not in self._repairs):
            self._after(head.topic, 0, now)
        elif log is not None:
            self.freshness.applied(head.topic, log.last)

    # Gaps

    def _fetch(self, topic: int, repair: GapRepair, now: int) -> None:
        log = self.archive.logs[topic]
        if log.head <= log.last and not log.diverged:
            repair.due = None
            return
        for question in repair.ask(now, lambda first: self._base_level(topic, first)):
            turn = self.placement.turn(topic, question.first)
            target = self._target(turn, question.level, question.turn)
            fetch = Fetch(topic, question.level, question.numbers)
            self._queue.send(Work.FETCH, (target,), fetch, now)

    def _base_level(self, topic: int, number: int) -> Level:
        """Relays of an entry don't ask one another, but the level above them."""
        site, turn = self.placement.site(self.node), self.placement.turn(topic, number)
        if site is None or self.node in self.placement.region_relays(site.region, turn):
            return Level.VOTERS
        return Level.REGION if self.node in self.placement.site_relays(site, turn) else Level.SITE

    def _target(self, turn: int, level: Level, tries: int) -> int:
        site = self.placement.site(self.node)
        order: tuple[int, ...] = ()
        if site is not None and level is Level.SITE:
            order = self.placement.site_order(site, turn)
        elif site is not None and level is Level.REGION:
            order = self.placement.region_order(site.region, turn)
        others = [node for node in order[: len(self.placement.voters) + 1] if node != self.node]
        if others:
            return others[tries % len(others)]
        voters = self.placement.voters
        return voters[(voters.index(self._coordinator) + tries) % len(voters)]

    def _asked(self, source: int, fetch: Fetch, now: int) -> None:
        answer = self.archive.answer(fetch)
        for message in answer.messages:
            self._queue.send(Work.REPAIR, (source,), message, now)
        log = self.archive.log(fetch.topic)
        if log is None or (fetch.numbers and not answer.lacking):
            return
        for number in answer.lacking:
            if number <= log.last + self.settings.pending_entries:
                log.learn(number)
        self._after(fetch.topic, 0, now)
        if not answer.messages:
            self._repairs[fetch.topic].asked(fetch.level, now)

    # Snapshots

    def _part(self, source: int, part: SnapshotPart, now: int) -> None:
        log = self.archive.log(part.topic)
        if log is None or not SnapshotTransfer.acceptable(part):
            return
        if part.number <= log.last and not log.diverged:
            return
        transfer = self._transfers.get(part.topic)
        if transfer is None:
            transfer = SnapshotTransfer(part, source, self.settings, now)
            self._transfers[part.topic] = transfer
        else:
            transfer.add(part, now)
        if transfer.complete:
            del self._transfers[part.topic]
            self._load(transfer, now)

    def _load(self, transfer: SnapshotTransfer, now: int) -> None:
        try:
            applied = self.archive.load(transfer.topic, transfer.number, transfer.epoch, transfer.data)
        except ValueError:
            self.unreadable += 1
            return
        self.loaded.append((transfer.topic, transfer.number))
        self._record(applied)
        self._after(transfer.topic, transfer.number, now)


def _work(message: Message) -> Work:
    if isinstance(message, Acknowledgement):
        return Work.ACKNOWLEDGE
    if isinstance(message, Fetch | FetchParts | Poll):
        return Work.REPAIR
    return Work.PUSH
