"""A voter's part: as coordinator it orders submissions and pushes what is committed; all answer fetches.

Whoever replicates (the owners' log) is the caller: `take_proposals` hands out what to commit, and
`committed` is called at every voter for each committed proposal, in the log's order. Nothing is pushed
before it is committed, so that no record of a coordinator that lost its majority ever reaches a router.
"""

from __future__ import annotations

from collections import OrderedDict
from dataclasses import dataclass, field

from saltport.dissemination.acknowledgements import Collector, RejectionKey
from saltport.dissemination.archive import Archive, States
from saltport.dissemination.budget import Budget, TokenBucket, Work
from saltport.dissemination.messages import (
    Acknowledgement,
    Decision,
    Entry,
    Fetch,
    FetchParts,
    Level,
    Message,
    Origin,
    Poll,
    Proposal,
    Push,
    Refusal,
    Submission,
    Submit,
)
from saltport.dissemination.outbox import Outgoing, SendQueue
from saltport.dissemination.placement import Placement
from saltport.dissemination.relay import turn_of
from saltport.dissemination.settings import DisseminationSettings
from saltport.dissemination.submissions import MOST_BODY

ENTRY = 176  # bytes of an encoded entry: with its push and heads it must fit a datagram
ENTRY_HEAD = 21  # bytes of it around the records, and two more for each of them
MOST_HEADS = 4  # topics told of in one push, in turn if there are more
MOST_WAITING = 4_096  # submissions of all routers that wait for the next batch
MOST_REFUSALS = 4_096  # remembered, so that a refused submission that comes again stays refused
MOST_REJECTIONS = 256
BYTES_PER_S = 4_000_000  # a voter isn't a router: its sending is bounded against storms of fetches only
BURST_BYTES = 8_000_000
MESSAGES_PER_S = 50_000

NO_MAJORITY = "no majority of voters"
OVERLOADED = "too many submissions"
TOO_LARGE = "record too large"

Stream = tuple[int, int]
"""A router and a topic: submissions of one stream are committed in their order."""


@dataclass(slots=True)
class _Term:
    """What a coordinator knows besides what is committed."""

    epoch: int
    began: int
    next_batch: int
    waiting: list[tuple[Origin, Submission]] = field(default_factory=list)
    proposed: dict[Stream, int] = field(default_factory=dict)
    """The last sequence that was proposed or refused."""
    numbers: dict[int, tuple[int, int]] = field(default_factory=dict)
    """Number and epoch of each topic's last proposed entry."""
    confirmed: int = 0
    """When the last question left that a majority of voters answered."""
    last_push: int = 0


class Voter:
    """One of those that hold the committed logs; one of them coordinates at a time."""

    def __init__(
        self, node: int, placement: Placement, settings: DisseminationSettings, states: States, now: int
    ) -> None:
        self.node, self.placement, self.settings = node, placement, settings
        self.archive = Archive(settings, states)
        self.rejections: OrderedDict[RejectionKey, int] = OrderedDict()
        """How many routers refused a record, at the most told at a time."""
        self._collector = Collector(0, 0)
        self._queue = SendQueue(BYTES_PER_S, BURST_BYTES, now)
        self._incoming = Budget(MESSAGES_PER_S, MESSAGES_PER_S, now)
        self._submissions = TokenBucket(settings.submissions_per_s, 2 * settings.submissions_per_s, now)
        self._term: _Term | None = None
        self._committed: dict[Stream, int] = {}
        self._origins: OrderedDict[tuple[int, int], tuple[Origin, ...]] = OrderedDict()
        self._refused: OrderedDict[Origin, str] = OrderedDict()
        self._proposals: list[Proposal] = []

    # Leading

    @property
    def epoch(self) -> int | None:
        """Of its own term as coordinator; None: another one leads."""
        return None if self._term is None else self._term.epoch

    def lead(self, epoch: int, now: int) -> None:
        """It is coordinator from now on, and knows all that was committed before."""
        term = self._term = _Term(epoch, now, now, confirmed=now)
        term.proposed = dict(self._committed)
        term.numbers = {topic: (log.last, log.last_epoch) for topic, log in self.archive.logs.items()}

    def confirmed(self, asked: int) -> None:
        """A majority of voters answered a question that left at this time: the lease counts from then."""
        if self._term is not None:
            self._term.confirmed = max(asked, self._term.confirmed)

    def step_down(self) -> None:
        """It isn't coordinator any more: what wasn't committed is forgotten."""
        self._term = None
        self._proposals.clear()

    def take_proposals(self) -> list[Proposal]:
        """What to commit, in this order."""
        proposals, self._proposals = self._proposals, []
        return proposals

    @property
    def due(self) -> int | None:
        """When `turn` has something to do."""
        return None if self._term is None else self._term.next_batch

    def take(self) -> list[Outgoing]:
        """Datagrams to be sent."""
        return self._queue.take()

    def turn(self, now: int) -> None:
        """Propose the batch that is due, or send a heartbeat."""
        term = self._term
        if term is None or now < term.next_batch:
            return
        term.next_batch += self.settings.batch * ((now - term.next_batch) // self.settings.batch + 1)
        self._propose(term, now)
        if now - term.last_push >= self.settings.batch and self._leased(term, now):
            self._push(term, None, now)

    def _leased(self, term: _Term, now: int) -> bool:
        """Whether no other coordinator can have committed anything; else no beat may vouch for the heads."""
        return now - term.confirmed <= self.settings.lease

    def _propose(self, term: _Term, now: int) -> None:
        by_topic: dict[int, list[tuple[Origin, Submission]]] = {}
        for origin, submission in term.waiting:
            by_topic.setdefault(submission.topic, []).append((origin, submission))
        term.waiting.clear()
        for topic, submissions in by_topic.items():
            records: list[bytes] = []
            origins: list[Origin] = []
            room = ENTRY - ENTRY_HEAD
            for origin, submission in submissions:
                size = len(submission.body) + 2
                if size > room:
                    self._propose_entry(term, topic, records, origins, now)
                    records, origins, room = [], [], ENTRY - ENTRY_HEAD
                records.append(submission.body)
                origins.append(origin)
                room -= size
            self._propose_entry(term, topic, records, origins, now)

    def _propose_entry(
        self, term: _Term, topic: int, records: list[bytes], origins: list[Origin], now: int
    ) -> None:
        number, prior = term.numbers.get(topic, (0, 0))
        entry = Entry(topic, term.epoch, number + 1, prior, tuple(records))
        term.numbers[topic] = (entry.number, entry.epoch)
        self._proposals.append(Proposal(entry, tuple(origins)))

    def committed(self, proposal: Proposal, now: int) -> None:
        """A majority holds this; called at each voter, in the order of the log."""
        entry = proposal.entry
        self.archive.offer(entry)
        for origin in proposal.origins:
            self._committed[origin.router, entry.topic] = origin.sequence
        self._origins[entry.topic, entry.number] = proposal.origins
        if len(self._origins) > self.settings.retained_entries:
            self._origins.popitem(last=False)
        term = self._term
        if term is None:
            return
        self._push(term, entry, now)
        by_router: dict[int, list[int]] = {}
        for origin in proposal.origins:
            by_router.setdefault(origin.router, []).append(origin.sequence)
        for router, sequences in by_router.items():
            self._queue.send(Work.PUSH, (router,), Decision(tuple(sequences)), now)

    def _push(self, term: _Term, entry: Entry | None, now: int) -> None:
        term.last_push = now
        push = self._beat(term, entry, Level.VOTERS, now)
        turn = turn_of(self.placement, push)
        for region in self.placement.regions:
            relays = self.placement.region_relays(region, turn)
            self._queue.send(Work.PUSH, relays, push, now)

    def _beat(self, term: _Term, entry: Entry | None, level: Level, now: int) -> Push:
        """The heads of topics, of some in turn if there are many."""
        beat = (now - term.began) // self.settings.batch
        heads = self.archive.heads()
        if len(heads) > MOST_HEADS:
            first = beat % len(heads)
            heads = (heads[first:] + heads[:first])[:MOST_HEADS]
        return Push(term.epoch, self.node, beat, level, heads, entry)

    # Datagrams

    def receive(self, source: int, message: Message, now: int) -> None:
        """Take a datagram."""
        if not self._incoming.admit(Work.PUSH, 1.0, now):
            return
        if isinstance(message, Fetch):
            for answer in self.archive.answer(message).messages:
                self._queue.send(Work.REPAIR, (source,), answer, now)
        elif isinstance(message, FetchParts):
            for part in self.archive.parts(message):
                self._queue.send(Work.REPAIR, (source,), part, now)
        elif isinstance(message, Poll):
            if self._term is not None and self._leased(self._term, now):
                self._queue.send(Work.REPAIR, (source,), self._beat(self._term, None, Level.SITE, now), now)
        elif isinstance(message, Submit):
            self._submitted(source, message, now)
        elif isinstance(message, Acknowledgement):
            self._acknowledged(source, message, now)

    def _submitted(self, router: int, submit: Submit, now: int) -> None:
        term = self._term
        if term is None:
            return
        committed: list[int] = []
        refusals: list[Refusal] = []
        for submission in submit.submissions:
            origin, stream = Origin(router, submission.sequence), (router, submission.topic)
            if origin in self._refused:
                refusals.append(Refusal(submission.sequence, self._refused[origin]))
            elif submission.sequence <= self._committed.get(stream, -1):
                committed.append(submission.sequence)
            elif submission.sequence > term.proposed.get(stream, -1):
                reason = self._refusal(term, submission, now)
                term.proposed[stream] = submission.sequence
                if reason:
                    self._remember_refusal(origin, reason)
                    refusals.append(Refusal(submission.sequence, reason))
                else:
                    term.waiting.append((origin, submission))
        if committed or refusals:
            answer = Decision(tuple(committed), tuple(refusals))
            self._queue.send(Work.PUSH, (router,), answer, now)

    def _refusal(self, term: _Term, submission: Submission, now: int) -> str:
        if not self._leased(term, now):
            return NO_MAJORITY
        if len(submission.body) > MOST_BODY:
            return TOO_LARGE
        if len(term.waiting) >= MOST_WAITING or not self._submissions.spend(1, now):
            return OVERLOADED
        return ""

    def _remember_refusal(self, origin: Origin, reason: str) -> None:
        self._refused[origin] = reason
        if len(self._refused) > MOST_REFUSALS:
            self._refused.popitem(last=False)

    def _acknowledged(self, source: int, told: Acknowledgement, now: int) -> None:
        site = self.placement.site(source)
        if site is None:
            return
        self._collector.add(site.region, told, now)
        for rejection in self.progress.rejections:
            key = (rejection.topic, rejection.number, rejection.index, rejection.reason)
            if key not in self.rejections:
                self._tell_origin(key, now)
            self.rejections[key] = max(self.rejections.get(key, 0), rejection.count)
            if len(self.rejections) > MOST_REJECTIONS:
                self.rejections.popitem(last=False)

    @property
    def progress(self) -> Acknowledgement:
        """How many routers were heard in the last rounds, and how far the last of them is with each topic."""
        return self._collector.sum(Level.VOTERS)

    def _tell_origin(self, key: RejectionKey, now: int) -> None:
        topic, number, index, reason = key
        origins = self._origins.get((topic, number), ())
        if index < len(origins):
            told = Refusal(origins[index].sequence, reason)
            self._queue.send(Work.PUSH, (origins[index].router,), Decision((), (), (told,)), now)
