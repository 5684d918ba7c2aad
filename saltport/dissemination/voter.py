"""The voter's side: the coordinator orders submissions and pushes committed entries; all answer fetches.

Replication (by the log of the owners) is done by the caller: `take_proposals` returns entries to commit, and
`on_committed` is called at every voter for each committed proposal, in log order. Nothing is pushed before it
is committed, so that no record of a coordinator that lost its majority ever reaches a router.
"""

from __future__ import annotations

from collections import OrderedDict

from saltport.dissemination.acknowledgements import Collector, RejectionKey
from saltport.dissemination.budget import Budget, WorkKind
from saltport.dissemination.ledger import OutcomeLedger
from saltport.dissemination.messages import (
    MAX_HEADS,
    Acknowledgement,
    Decision,
    Entry,
    Fetch,
    FetchSnapshotParts,
    Level,
    Message,
    Origin,
    Poll,
    Proposal,
    Push,
    Refusal,
    Submit,
)
from saltport.dissemination.outbox import Outgoing, SendQueue
from saltport.dissemination.placement import Placement
from saltport.dissemination.relay import push_rotation
from saltport.dissemination.settings import DisseminationSettings
from saltport.dissemination.term import Term
from saltport.dissemination.topic_store import StateFactory, TopicStore

HEADS_ROTATION_MS = 250  # interval after which pushes carry the heads of other topics, if there are too many
MAX_REJECTIONS = 256  # limit of the rejections that a voter remembers
BYTES_PER_S = 4_000_000  # limit of what is sent; far above a router's, it only matters in a storm of fetches
BURST_BYTES = 8_000_000
MESSAGES_PER_S = 50_000  # limit of the messages received


class Voter:
    """A node that stores the committed logs; one voter at a time is the coordinator."""

    def __init__(
        self, node: int, placement: Placement, settings: DisseminationSettings, states: StateFactory, now: int
    ) -> None:
        self.node, self.placement, self.settings = node, placement, settings
        self.topic_store = TopicStore(settings, states)
        self.rejections: OrderedDict[RejectionKey, int] = OrderedDict()
        """Highest number of routers reported to have refused a record, by rejection."""
        self._collector = Collector(0, 0)
        self._queue = SendQueue(BYTES_PER_S, BURST_BYTES, now)
        self._incoming_budget = Budget(MESSAGES_PER_S, MESSAGES_PER_S, now)
        self._outcomes = OutcomeLedger()
        self._term: Term | None = None
        self._origins: OrderedDict[tuple[int, int], tuple[Origin, ...]] = OrderedDict()
        """Origins of the records of recent entries, by topic and number."""
        self._proposals: list[Proposal] = []

    # Coordination

    @property
    def epoch(self) -> int | None:
        """Epoch of this voter's term as coordinator, or None if it is not the coordinator."""
        return None if self._term is None else self._term.epoch

    def become_coordinator(self, epoch: int, now: int) -> None:
        """Start a term as coordinator; all entries committed in earlier terms must have been passed in."""
        self._term = Term(epoch, self.topic_store, self._outcomes, self.settings, now)

    def on_majority_confirmed(self, sent_at: int) -> None:
        """Renew the lease from `sent_at`, when the request that a majority of voters answered was sent."""
        if self._term is not None:
            self._term.lease_confirmed_at = max(sent_at, self._term.lease_confirmed_at)

    def step_down(self) -> None:
        """End the term as coordinator, and discard submissions and proposals that are not committed."""
        self._term = None
        self._proposals.clear()

    def take_proposals(self) -> list[Proposal]:
        """Return the proposals to commit, in order, and clear them."""
        proposals, self._proposals = self._proposals, []
        return proposals

    @property
    def due(self) -> int | None:
        """Time of the next call of `tick`, or None if this voter is not the coordinator."""
        return None if self._term is None else self._term.next_batch

    def take_datagrams(self) -> list[Outgoing]:
        """Return the datagrams to send, and clear the queue."""
        return self._queue.take_datagrams()

    def tick(self, now: int) -> None:
        """Propose the batch that is due; send a heartbeat if nothing was pushed for a batch interval."""
        term = self._term
        if term is None or now < term.next_batch:
            return
        self._proposals += term.propose_batch(now)
        if now - term.last_push >= self.settings.batch_interval and term.has_lease(now):
            self._push(term, None, now)

    def on_committed(self, proposal: Proposal, now: int) -> None:
        """Apply a proposal committed by a majority; called at each voter in log order.

        The coordinator also pushes the entry and reports the decision to the submitting routers.

        Danger: a deposed coordinator may receive its successor's entries one by one before it learns that
        it is deposed. Its pushes would then present old heads as current.
        """
        entry = proposal.entry
        self.topic_store.offer(entry)
        for origin in proposal.origins:
            self._outcomes.record_committed(origin, entry.topic)
        self._origins[entry.topic, entry.number] = proposal.origins
        if len(self._origins) > self.settings.retained_entries:
            self._origins.popitem(last=False)
        if self._term is not None and entry.epoch > self._term.epoch:
            self.step_down()
        term = self._term
        if term is None or not term.has_lease(now):
            return
        self._push(term, entry, now)
        by_process: dict[tuple[int, int], list[int]] = {}
        for origin in proposal.origins:
            by_process.setdefault((origin.router, origin.process_start), []).append(origin.sequence)
        for (router, process_start), sequences in by_process.items():
            self._queue.enqueue(WorkKind.PUSH, (router,), Decision(process_start, tuple(sequences)), now)

    def _push(self, term: Term, entry: Entry | None, now: int) -> None:
        """Send an entry, or a heartbeat if it is None, to the relays of all regions."""
        term.last_push = now
        push = self._heartbeat(term, Level.VOTERS, now, entry)
        rotation = push_rotation(self.placement, push)
        for region in self.placement.regions:
            relays = self.placement.region_relays(region, rotation)
            self._queue.enqueue(WorkKind.PUSH, relays, push, now)

    def _heartbeat(
        self, term: Term, level: Level, now: int, entry: Entry | None = None, poll_number: int = 0
    ) -> Push:
        """A push with the heads of the topics, rotating over them if there are more than `MAX_HEADS`."""
        sent_ms = term.elapsed_ms(now)
        heads = self.topic_store.heads()
        if len(heads) > MAX_HEADS:
            first = sent_ms // HEADS_ROTATION_MS % len(heads)
            heads = (heads[first:] + heads[:first])[:MAX_HEADS]
        return Push(term.epoch, self.node, sent_ms, level, heads, entry, poll_number)

    # Datagrams

    def receive(self, source: int, message: Message, now: int) -> None:
        """Process a datagram; drop it if the budget of incoming messages is exhausted."""
        if not self._incoming_budget.admit(WorkKind.PUSH, 1.0, now):
            return
        if isinstance(message, Fetch):
            for answer in self.topic_store.answer(message).messages:
                self._queue.enqueue(WorkKind.REPAIR, (source,), answer, now)
        elif isinstance(message, FetchSnapshotParts):
            for part in self.topic_store.parts(message):
                self._queue.enqueue(WorkKind.REPAIR, (source,), part, now)
        elif isinstance(message, Poll):
            if self._term is not None and self._term.has_lease(now):
                heartbeat = self._heartbeat(self._term, Level.SITE, now, poll_number=message.number)
                self._queue.enqueue(WorkKind.REPAIR, (source,), heartbeat, now)
        elif isinstance(message, Submit):
            self._on_submit(source, message, now)
        elif isinstance(message, Acknowledgement):
            self._on_acknowledgement(source, message, now)

    def _on_submit(self, router: int, submit: Submit, now: int) -> None:
        """Pass new submissions to the term, and answer those whose outcome is known."""
        term = self._term
        if term is None:
            return
        committed: list[int] = []
        refusals: list[Refusal] = []
        for submission in submit.submissions:
            origin = Origin(router, submit.process_start, submission.sequence)
            if self._outcomes.outcome(origin) is None:
                term.submit(origin, submission, now)
            outcome = self._outcomes.outcome(origin)
            if outcome:
                refusals.append(Refusal(submission.sequence, outcome))
            elif outcome is not None:
                committed.append(submission.sequence)
        if committed or refusals:
            answer = Decision(submit.process_start, tuple(committed), tuple(refusals))
            self._queue.enqueue(WorkKind.PUSH, (router,), answer, now)

    def _on_acknowledgement(self, source: int, acknowledgement: Acknowledgement, now: int) -> None:
        """Store a region's acknowledgement, and report new rejections to the submitting routers."""
        site = self.placement.site(source)
        if site is None:
            return
        self._collector.add(site.region, acknowledgement, now)
        for rejection in self.acknowledgement_summary.rejections:
            key = (rejection.topic, rejection.number, rejection.index, rejection.reason)
            if key not in self.rejections:
                self._notify_origin(key, now)
            self.rejections[key] = max(self.rejections.get(key, 0), rejection.count)
            if len(self.rejections) > MAX_REJECTIONS:
                self.rejections.popitem(last=False)

    @property
    def acknowledgement_summary(self) -> Acknowledgement:
        """The recent acknowledgements of all regions, combined into one.

        It has the number of routers counted, and for each topic the progress of the slowest of them.
        """
        return self._collector.combine(Level.VOTERS)

    def _notify_origin(self, key: RejectionKey, now: int) -> None:
        """Report a rejection to the router that submitted the record."""
        topic, number, index, reason = key
        origins = self._origins.get((topic, number), ())
        if index < len(origins):
            origin = origins[index]
            decision = Decision(origin.process_start, (), (), (Refusal(origin.sequence, reason),))
            self._queue.enqueue(WorkKind.PUSH, (origin.router,), decision, now)
