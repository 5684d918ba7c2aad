"""The router's side: receives and relays pushes, repairs gaps, acknowledges and submits changes. No I/O.

Time is passed in as an argument. The host calls `tick` at `due` and `receive` for each datagram, and after
either sends what `take_datagrams` returns.
"""

from __future__ import annotations

import random

from saltport.dissemination.acknowledger import Acknowledger
from saltport.dissemination.budget import Budget, WorkKind
from saltport.dissemination.freshness import Freshness, Verdict
from saltport.dissemination.log import OfferResult
from saltport.dissemination.messages import (
    Acknowledgement,
    Decision,
    Entry,
    Fetch,
    FetchSnapshotParts,
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
from saltport.dissemination.relay import ForwardHistory, plan_forwards, plan_site_forwards
from saltport.dissemination.repair import GapRepair
from saltport.dissemination.settings import DisseminationSettings
from saltport.dissemination.silence import SilenceDetector
from saltport.dissemination.snapshot import SnapshotTransfer
from saltport.dissemination.submissions import Submissions
from saltport.dissemination.topic_store import AppliedRecord, StateFactory, TopicStore
from saltport.owners.fence import Fence

TASK = "dissemination"
"""Name of the owned task whose owner is the coordinator."""


class Router:
    """One router's protocol state machine.

    `process_start` identifies the router's process: each process has a different value.
    """

    def __init__(
        self,
        node: int,
        placement: Placement,
        settings: DisseminationSettings,
        states: StateFactory,
        rng: random.Random,
        process_start: int,
        now: int,
    ) -> None:
        self.node, self.placement, self.settings = node, placement, settings
        self.topic_store = TopicStore(settings, states)
        self.freshness = Freshness(settings, rng)
        self.fence = Fence()
        self.submissions = Submissions(process_start, placement.voters, settings)
        self.applied: list[AppliedRecord] = []
        """Records given to their states since the host last cleared the list."""
        self.loaded: list[tuple[int, int]] = []
        """(topic, entry number) of each snapshot loaded since the host last cleared the list."""
        self.incoming_budget = Budget(settings.messages_per_s, settings.burst_messages, now)
        self.unreadable_snapshots = 0
        self._rng = rng
        self._silence_detector = SilenceDetector(settings, now)
        self._latest_push: Push | None = None
        self._queue = SendQueue(settings.bytes_per_s, settings.burst_bytes, now)
        self._repairs: dict[int, GapRepair] = {}
        self._transfers: dict[int, SnapshotTransfer] = {}
        self._acknowledger = Acknowledger(node, settings, rng)
        self._coordinator = placement.voters[0]
        self._forward_history = ForwardHistory()

    # Called by the data path

    def verdict(self, topic: int, now: int) -> Verdict:
        """Whether data that depends on this topic may be served."""
        return self.freshness.verdict(topic, now)

    def submit(self, topic: int, body: bytes, now: int) -> int:
        """Queue a change for the coordinator; return its sequence number, or raise SubmissionError."""
        return self.submissions.submit(topic, body, now)

    # Called by the host

    @property
    def due(self) -> int | None:
        """Time of the next call of `tick`, or None if no work is scheduled."""
        times = [repair.due for topic, repair in self._repairs.items() if topic not in self._transfers]
        times += [transfer.due for transfer in self._transfers.values()]
        times += [
            self._silence_detector.due,
            self.freshness.due,
            self.submissions.due,
            self._acknowledger.due,
        ]
        return min((time for time in times if time is not None), default=None)

    def take_datagrams(self) -> list[Outgoing]:
        """Return the datagrams to send, and clear the queue."""
        return self._queue.take_datagrams()

    @property
    def dropped(self) -> dict[WorkKind, int]:
        """Number of outgoing datagrams dropped by the byte budget, by kind of work."""
        return dict(self._queue.budget.dropped)

    def receive(self, source: int, message: Message, now: int) -> None:
        """Process a datagram; drop it if the budget of incoming messages is exhausted."""
        if not self.incoming_budget.admit(_work_kind(message), 1.0, now):
            return
        if isinstance(message, Push):
            self._on_push(message, now)
        elif isinstance(message, Repair):
            self._on_repair(message, now)
        elif isinstance(message, Fetch):
            self._on_fetch(source, message, now)
        elif isinstance(message, FetchSnapshotParts):
            for part in self.topic_store.parts(message):
                self._queue.enqueue(WorkKind.REPAIR, (source,), part, now)
        elif isinstance(message, SnapshotPart):
            self._on_snapshot_part(source, message, now)
        elif isinstance(message, Poll):
            self._on_poll(source, now)
        elif isinstance(message, Acknowledgement):
            self._acknowledger.collect(source, message, self.placement, now)
        elif isinstance(message, Decision):
            self.submissions.on_decision(message)

    def tick(self, now: int) -> None:
        """Do all scheduled work whose time has come."""
        for topic, repair in list(self._repairs.items()):
            if topic not in self._transfers and repair.due is not None and repair.due <= now:
                self._send_fetches(topic, repair, now)
        for topic, transfer in list(self._transfers.items()):
            if transfer.failed:
                del self._transfers[topic]
            elif transfer.due <= now:
                self._queue.enqueue(WorkKind.FETCH, (transfer.source,), transfer.next_fetch(now), now)
        if self._silence_detector.due <= now:
            self._send_poll(now)
        if self.freshness.due is not None and self.freshness.due <= now:
            poll = Poll(self.freshness.start_poll(now))
            self._queue.enqueue(WorkKind.FETCH, (self._coordinator,), poll, now)
        self._send_acknowledgements(now)
        if self.submissions.due is not None and self.submissions.due <= now:
            for target, submit in self.submissions.tick(now):
                self._queue.enqueue(WorkKind.PUSH, (target,), submit, now)

    def _send_acknowledgements(self, now: int) -> None:
        """Send the acknowledgements that are due."""
        due = self._acknowledger.due
        if due is None or due > now:
            return
        for target, message in self._acknowledger.tick(
            self.topic_store.logs, self.placement, self._coordinator, now
        ):
            self._queue.enqueue(WorkKind.ACKNOWLEDGE, (target,), message, now)

    # Pushes

    def _on_push(self, push: Push, now: int) -> None:
        """Process a push: apply and forward it, and note its heads; one of an older epoch is ignored."""
        if not self.fence.admit(TASK, push.epoch):
            return
        self._coordinator = self.submissions.coordinator = push.coordinator
        if self._silence_detector.on_push(push.epoch, push.sent_ms, now):
            self._latest_push = push
            self._acknowledger.on_push(push.epoch, push.sent_ms, now)
        self.freshness.on_push(push, now)
        if push.entry is None or self._offer(push.entry, now) is not OfferResult.DIVERGED:
            self._forward(push, now)
        for head in push.heads:
            self._on_head(head, now)

    def _send_poll(self, now: int) -> None:
        """Poll another node for a newer push, after a time without one."""
        level = self._silence_detector.next_poll(now)
        target = self._target(self._rng.getrandbits(16), level, 0)
        self._queue.enqueue(WorkKind.FETCH, (target,), Poll(), now)

    def _on_poll(self, source: int, now: int) -> None:
        """Answer with the latest push and its own heads: its send time proves freshness for those only."""
        latest = self._latest_push
        if latest is not None:
            message = Push(latest.epoch, latest.coordinator, latest.sent_ms, Level.SITE, latest.heads)
            self._queue.enqueue(WorkKind.REPAIR, (source,), message, now)

    def _forward(self, push: Push, now: int) -> None:
        """Forward a push to the nodes that this router relays it to, if any."""
        site = self.placement.site(self.node)
        if site is None or push.level is Level.SITE:
            return
        forwarded_levels = self._forward_history.levels(push)
        for forward in plan_forwards(self.node, site, push, self.placement, forwarded_levels):
            if forward.targets:
                message = Push(
                    push.epoch, push.coordinator, push.sent_ms, forward.level, push.heads, push.entry
                )
                self._queue.enqueue(WorkKind.PUSH, forward.targets, message, now)

    def _on_repair(self, repair: Repair, now: int) -> None:
        """Apply a fetched entry, and forward it if this router is a relay of its site for that entry.

        A relay that missed an entry could not forward it, so its share of the site still lacks the entry.
        """
        entry = repair.entry
        new = self._offer(entry, now) in (OfferResult.APPENDED, OfferResult.PENDING)
        log = self.topic_store.logs.get(entry.topic)
        if not new or log is None or entry.number <= log.head - self.settings.forward_repaired_entries:
            return
        site, rotation = self.placement.site(self.node), self.placement.rotation(entry.topic, entry.number)
        if site is None or self.node not in self.placement.site_relays(site, rotation):
            return
        for forward in plan_site_forwards(self.node, site, rotation, self.placement):
            self._queue.enqueue(WorkKind.PUSH, forward.targets, repair, now)

    def _offer(self, entry: Entry, now: int) -> OfferResult:
        """Add an entry to its log, and record and acknowledge the records applied by it."""
        offer, applied = self.topic_store.offer(entry)
        self._record(applied)
        self._on_log_changed(entry.topic, entry.number, now)
        return offer

    def _record(self, applied: list[AppliedRecord]) -> None:
        """Add records to `applied` for the host, and queue the refused ones for acknowledgement."""
        self.applied += applied
        self._acknowledger.on_applied(applied)

    def _on_log_changed(self, topic: int, number: int, now: int) -> None:
        """Update repair and freshness after a topic's log advanced or a gap in it was found."""
        log = self.topic_store.logs.get(topic)
        if log is None:
            return
        repair = self._repairs.get(topic)
        if repair is None:
            repair = self._repairs[topic] = GapRepair(log, self.settings)
        repair.on_entry(number, now)
        repair.check_for_gap(now)
        self.freshness.on_applied(topic, log.last)

    def _on_head(self, head: Head, now: int) -> None:
        """Note the last committed entry of a topic, and schedule repair if entries are missing."""
        log = self.topic_store.log(head.topic)
        if log is not None and (log.learn_head(head.number) or head.topic not in self._repairs):
            self._on_log_changed(head.topic, 0, now)
        elif log is not None:
            self.freshness.on_applied(head.topic, log.last)

    # Gaps

    def _send_fetches(self, topic: int, repair: GapRepair, now: int) -> None:
        """Send the fetches that are due for a topic's missing entries."""
        log = self.topic_store.logs[topic]
        if log.head <= log.last and not log.diverged:
            repair.due = None
            return
        for planned in repair.plan_fetches(now, lambda first: self._lowest_fetch_level(topic, first)):
            rotation = self.placement.rotation(topic, planned.first)
            target = self._target(rotation, planned.level, planned.target_index)
            fetch = Fetch(topic, planned.level, planned.numbers)
            self._queue.enqueue(WorkKind.FETCH, (target,), fetch, now)

    def _lowest_fetch_level(self, topic: int, number: int) -> Level:
        """Lowest level to ask for an entry: its relays ask the level above them instead of one another."""
        site, rotation = self.placement.site(self.node), self.placement.rotation(topic, number)
        if site is None or self.node in self.placement.region_relays(site.region, rotation):
            return Level.VOTERS
        return Level.REGION if self.node in self.placement.site_relays(site, rotation) else Level.SITE

    def _target(self, rotation: int, level: Level, tries: int) -> int:
        """Return the node of a level to ask in the given try; a voter if the level has no other router."""
        site = self.placement.site(self.node)
        order: tuple[int, ...] = ()
        if site is not None and level is Level.SITE:
            order = self.placement.site_order(site, rotation)
        elif site is not None and level is Level.REGION:
            order = self.placement.region_order(site.region, rotation)
        others = [node for node in order[: len(self.placement.voters) + 1] if node != self.node]
        if others:
            return others[tries % len(others)]
        voters = self.placement.voters
        return voters[(voters.index(self._coordinator) + tries) % len(voters)]

    def _on_fetch(self, source: int, fetch: Fetch, now: int) -> None:
        """Send the requested entries, and schedule a fetch of those that this router lacks too."""
        answer = self.topic_store.answer(fetch)
        for message in answer.messages:
            self._queue.enqueue(WorkKind.REPAIR, (source,), message, now)
        log = self.topic_store.log(fetch.topic)
        if log is None or (fetch.numbers and not answer.missing_numbers):
            return
        for number in answer.missing_numbers:
            if number <= log.last + self.settings.pending_entries:
                log.learn_head(number)
        self._on_log_changed(fetch.topic, 0, now)
        if not answer.messages:
            self._repairs[fetch.topic].on_unanswered_fetch(fetch.level, now)

    # Snapshots

    def _on_snapshot_part(self, source: int, part: SnapshotPart, now: int) -> None:
        """Add a part to the transfer of its snapshot, and load the snapshot once it is complete."""
        log = self.topic_store.log(part.topic)
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
            self._load_snapshot(transfer, now)

    def _load_snapshot(self, transfer: SnapshotTransfer, now: int) -> None:
        """Replace a topic's state by a transferred snapshot; an unreadable one is counted and dropped."""
        try:
            applied = self.topic_store.load(transfer.topic, transfer.number, transfer.epoch, transfer.data)
        except ValueError:
            self.unreadable_snapshots += 1
            return
        self.loaded.append((transfer.topic, transfer.number))
        self._record(applied)
        self._on_log_changed(transfer.topic, transfer.number, now)


def _work_kind(message: Message) -> WorkKind:
    """Kind of work that processing a received message counts as."""
    if isinstance(message, Acknowledgement):
        return WorkKind.ACKNOWLEDGE
    if isinstance(message, Fetch | FetchSnapshotParts | Poll):
        return WorkKind.REPAIR
    return WorkKind.PUSH
