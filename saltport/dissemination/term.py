"""One coordinator's term: accepts submissions and batches them into numbered entries. No I/O."""

from __future__ import annotations

from saltport.dissemination.budget import TokenBucket
from saltport.dissemination.ledger import OutcomeLedger, stream_of
from saltport.dissemination.messages import Entry, Origin, Proposal, Submission
from saltport.dissemination.settings import NS_PER_MS, DisseminationSettings
from saltport.dissemination.submissions import MAX_RECORD_BYTES
from saltport.dissemination.topic_store import TopicStore

MAX_ENTRY_BYTES = 176  # limit of an encoded entry; a push with it and the heads must fit a datagram
ENTRY_OVERHEAD_BYTES = 21  # size of an encoded entry without its records, each of which adds two bytes
MAX_WAITING_SUBMISSIONS = 4_096  # limit of the submissions of all routers that wait for the next batch

NO_MAJORITY = "no majority of voters"
OVERLOADED = "too many submissions"
TOO_LARGE = "record too large"


class Term:
    """State of a coordinator from its election until it steps down; uncommitted submissions are then lost."""

    def __init__(
        self,
        epoch: int,
        topic_store: TopicStore,
        outcomes: OutcomeLedger,
        settings: DisseminationSettings,
        now: int,
    ) -> None:
        self.epoch, self.started_at = epoch, now
        self.next_batch = self.lease_confirmed_at = now
        self.last_push = 0
        self._outcomes, self._settings = outcomes, settings
        self._bucket = TokenBucket(settings.submissions_per_s, 2 * settings.submissions_per_s, now)
        self._waiting: list[tuple[Origin, Submission]] = []
        self._last_sequences = outcomes.last_committed()
        """Sequence of the last submission of each stream that was accepted or refused."""
        self._last_proposed = {topic: (log.last, log.last_epoch) for topic, log in topic_store.logs.items()}
        """Number and epoch of each topic's last proposed entry."""

    def has_lease(self, now: int) -> bool:
        """Whether no other coordinator can have committed entries.

        Without the lease, the heads must not be presented as current.
        """
        return now - self.lease_confirmed_at <= self._settings.lease

    def elapsed_ms(self, now: int) -> int:
        """Milliseconds since the term began."""
        return (now - self.started_at) // NS_PER_MS

    def submit(self, origin: Origin, submission: Submission, now: int) -> None:
        """Accept or refuse a submission without known outcome; ignore one that is already waiting."""
        stream = stream_of(origin, submission.topic)
        if submission.sequence <= self._last_sequences.get(stream, 0):
            return
        self._last_sequences[stream] = submission.sequence
        if reason := self._refusal(submission, now):
            self._outcomes.record_refused(origin, reason)
        else:
            self._waiting.append((origin, submission))

    def _refusal(self, submission: Submission, now: int) -> str:
        """Return why a submission is refused, or an empty string."""
        if not self.has_lease(now):
            return NO_MAJORITY
        if len(submission.body) > MAX_RECORD_BYTES:
            return TOO_LARGE
        if len(self._waiting) >= MAX_WAITING_SUBMISSIONS or not self._bucket.spend(1, now):
            return OVERLOADED
        return ""

    def propose_batch(self, now: int) -> list[Proposal]:
        """Return all waiting submissions as entries that fit a datagram, by topic and in order."""
        interval = self._settings.batch_interval
        self.next_batch += interval * ((now - self.next_batch) // interval + 1)
        by_topic: dict[int, list[tuple[Origin, Submission]]] = {}
        for origin, submission in self._waiting:
            by_topic.setdefault(submission.topic, []).append((origin, submission))
        self._waiting.clear()
        proposals: list[Proposal] = []
        for topic, submissions in by_topic.items():
            proposals += self._entries(topic, submissions)
        return proposals

    def _entries(self, topic: int, submissions: list[tuple[Origin, Submission]]) -> list[Proposal]:
        """Split a topic's submissions into entries of at most `MAX_ENTRY_BYTES`."""
        proposals: list[Proposal] = []
        chosen: list[tuple[Origin, Submission]] = []
        room = MAX_ENTRY_BYTES - ENTRY_OVERHEAD_BYTES
        for origin, submission in submissions:
            size = len(submission.body) + 2
            if size > room:
                proposals.append(self._entry(topic, chosen))
                chosen, room = [], MAX_ENTRY_BYTES - ENTRY_OVERHEAD_BYTES
            chosen.append((origin, submission))
            room -= size
        proposals.append(self._entry(topic, chosen))
        return proposals

    def _entry(self, topic: int, chosen: list[tuple[Origin, Submission]]) -> Proposal:
        """Return a topic's next entry with these submissions as its records, and their origins."""
        number, previous_epoch = self._last_proposed.get(topic, (0, 0))
        records = tuple(submission.body for _, submission in chosen)
        self._last_proposed[topic] = (number + 1, self.epoch)
        entry = Entry(topic, self.epoch, number + 1, previous_epoch, records)
        return Proposal(entry, tuple(origin for origin, _ in chosen))
