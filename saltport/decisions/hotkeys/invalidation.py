"""Invalidation of copies after writes, where the router itself writes copies of hot keys to nodes. No I/O.

A write invalidates its key, hot or not, at the nodes where any router may have put a copy according to the
ranking, and at those where this router knows of one. The reply to the write is delayed until each node has
confirmed the invalidation or failed to. A node that failed is in doubt: this router sends it no reads of the
key until it has confirmed.
"""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass, field

from saltport.decisions import interface as api
from saltport.decisions.interface import NS_PER_S, Outcome

# Pauses between two attempts to invalidate a key at a server; doubled at each failure.
MIN_RETRY_PAUSE_NS, MAX_RETRY_PAUSE_NS = NS_PER_S // 4, 4 * NS_PER_S
DOUBT_LIFETIME_NS = 600 * NS_PER_S  # after which a node that never confirms is no longer in doubt
MAX_DOUBTFUL_KEYS = (
    4096  # past that the oldest are dropped, and only the lease bounds how long their old values are read
)


@dataclass(slots=True)
class PendingInvalidation:
    """The invalidation of one key at several servers, while some have not confirmed it."""

    number: int
    """The number of the latest write's invalidations; they grow with each write."""
    unconfirmed: set[str]
    """Servers that have not confirmed yet."""
    servers: set[str] = field(default_factory=set)
    """All servers, including those that have confirmed."""
    answers: list[str] = field(default_factory=list)
    """Request ids of the writes whose replies are delayed until all servers have confirmed."""
    behind_copy: set[str] = field(default_factory=set)
    """Servers with a copy in flight: the invalidation is sent when the copy has ended."""


@dataclass(slots=True)
class Doubt:
    """The state of a server that may have an old value of a key."""

    number: int
    """The doubt ends when the server confirms the invalidation with this number or a later one."""
    expires_at: int
    retry_at: int
    retry_pause: int = MIN_RETRY_PAUSE_NS
    in_flight: bool = False
    """Whether an invalidation is under way."""
    copy_possible_until: int = 0
    """Until then a copy of an old value may still arrive at the server, so no confirmation ends the doubt."""


class Invalidations:
    """Open writes, pending invalidations and doubts, and from which time on values may be copied again."""

    def __init__(self, lease: int, max_read_time: int) -> None:
        """`max_read_time`: the longest that a read and the copy of its value can take at any router."""
        self._lease, self.max_read_time = lease, max_read_time
        self._repeats: dict[str, tuple[int, set[str]]] = {}
        """By key, the time and the servers of a second invalidation."""
        self._last_number = 0
        self._open_writes: dict[str, int] = {}
        self._last_write_at: dict[str, int] = {}
        self._pending: dict[str, PendingInvalidation] = {}
        self._doubts: dict[str, dict[str, Doubt]] = {}
        self.forgotten = 0
        """Keys whose doubts were dropped because there were too many."""
        self.invalidated = 0
        """Confirmed invalidations."""
        self.answered_in_doubt = 0
        """Writes that were answered while a server was in doubt."""

    @property
    def idle(self) -> bool:
        """Whether there is no open or recent write, no pending invalidation and no doubt."""
        return not (
            self._open_writes or self._pending or self._doubts or self._last_write_at or self._repeats
        )

    def write_begins(self, key: str) -> None:
        """Stop copying values of the key until the write has ended."""
        self._open_writes[key] = self._open_writes.get(key, 0) + 1

    def write_ends(self, key: str, now: int) -> None:
        """Record the end of a write; values that were requested before now are never copied."""
        left = self._open_writes.get(key, 0) - 1
        if left > 0:
            self._open_writes[key] = left
        else:
            self._open_writes.pop(key, None)
        self._last_write_at[key] = now

    def may_copy(self, key: str, requested_at: int) -> bool:
        """Whether a value that was requested at this time is certainly not older than a write of the key."""
        return (
            key not in self._open_writes
            and key not in self._pending
            and requested_at > self._last_write_at.get(key, -1)
        )

    def begin(
        self, key: str, servers: Iterable[str], in_flight: Iterable[str], answer: str | None, now: int
    ) -> list[api.Action]:
        """Invalidate a key at these servers; return the invalidations to send now.

        `in_flight`: servers to which a copy is under way; `answer`: the write whose reply is delayed until
        the end, if any.
        """
        behind_copy = set(in_flight)
        self._last_number += 1
        pending = self._pending.setdefault(key, PendingInvalidation(self._last_number, set()))
        # Danger: an invalidation already sent may have run before this write, so its confirmation does not
        # count.
        pending.number = self._last_number
        pending.unconfirmed |= set(servers) | behind_copy
        pending.servers |= pending.unconfirmed
        pending.behind_copy |= behind_copy
        if answer is not None:
            pending.answers.append(answer)
        self._last_write_at[key] = now
        if not pending.unconfirmed:
            return self._finish(key, now)
        return [
            api.Invalidate(key, server, pending.number)
            for server in sorted(pending.unconfirmed - pending.behind_copy)
        ]

    def copy_ended(self, key: str, server: str, outcome: Outcome, now: int) -> list[api.Action]:
        """Record the end of a copy; return the invalidation that was delayed until then, if any."""
        pending = self._pending.get(key)
        if pending is None or server not in pending.behind_copy:
            return []
        pending.behind_copy.discard(server)
        if outcome in (Outcome.TIMEOUT, Outcome.RESET):
            # Danger: the node may still carry the copy out after the invalidation.
            self._doubt(key, server, now).copy_possible_until = now + self._lease
        return [api.Invalidate(key, server, pending.number)]

    def invalidation_ended(self, event: api.InvalidationEnded, now: int) -> list[api.Action]:
        """Record the result of the invalidation of one key at one server.

        If no other server has yet to confirm the invalidation of this key, return the actions that send the
        delayed replies to its writes; otherwise return no actions.
        """
        key, server, confirmed = event.key, event.server, event.outcome is Outcome.OK
        self.invalidated += confirmed
        pending = self._pending.get(key)
        awaited = pending is not None and server in pending.unconfirmed and server not in pending.behind_copy
        if awaited and pending is not None and event.sequence < pending.number:
            return []  # only the result of the later invalidation counts
        doubt = self._doubts.get(key, {}).get(server)
        if doubt is not None:
            doubt.in_flight = False
        if not confirmed:
            doubt = self._doubt(key, server, now, event.sequence)
            doubt.retry_at, doubt.retry_pause = (
                now + doubt.retry_pause,
                min(2 * doubt.retry_pause, MAX_RETRY_PAUSE_NS),
            )
        elif doubt is not None and now < doubt.copy_possible_until:
            doubt.retry_at = now + doubt.retry_pause
        elif doubt is not None and event.sequence >= doubt.number:
            self._remove_doubt(key, server)
        if pending is None or not awaited:
            return []
        pending.unconfirmed.discard(server)
        return [] if pending.unconfirmed else self._finish(key, now)

    def _doubt(self, key: str, server: str, now: int, number: int = 0) -> Doubt:
        """Return the doubt of a server for a key, with its lifetime extended; create it if there is none."""
        doubts = self._doubts.setdefault(key, {})
        if len(self._doubts) > MAX_DOUBTFUL_KEYS:
            del self._doubts[next(iter(self._doubts))]
            self.forgotten += 1
        doubt = doubts.get(server)
        if doubt is None:
            doubt = doubts[server] = Doubt(number, 0, now + MIN_RETRY_PAUSE_NS)
        doubt.number, doubt.expires_at = max(doubt.number, number), now + DOUBT_LIFETIME_NS
        return doubt

    def _remove_doubt(self, key: str, server: str) -> None:
        """Let this router send reads of a key to a server again."""
        doubts = self._doubts[key]
        del doubts[server]
        if not doubts:
            del self._doubts[key]

    def _finish(self, key: str, now: int) -> list[api.Action]:
        """End a key's pending invalidation and schedule its repetition; return the replies to its writes."""
        pending = self._pending.pop(key)
        self._last_write_at[key] = now
        # Danger: another router may copy a value that it read before the write after the node was
        # invalidated.
        self._repeats.pop(key, None)
        self._repeats[key] = now + self.max_read_time, pending.servers
        if len(self._repeats) > MAX_DOUBTFUL_KEYS:
            del self._repeats[next(iter(self._repeats))]
        if key in self._doubts:
            self.answered_in_doubt += len(pending.answers)
        return [api.Answer(request) for request in pending.answers]

    def answer_now(self, key: str, answer: str, now: int) -> list[api.Action]:
        """Return the reply to a write whose deadline is near; unconfirmed servers become doubtful."""
        pending = self._pending.get(key)
        if pending is None or answer not in pending.answers:
            return []
        for server in pending.unconfirmed:
            self._doubt(key, server, now, pending.number)
        pending.answers.remove(answer)
        self.answered_in_doubt += 1
        actions: list[api.Action] = [api.Answer(answer)]
        return actions if pending.answers else actions + self._finish(key, now)

    def cancel_answer(self, key: str, answer: str) -> None:
        """Drop the delayed reply to a write that needs none any more: its request id may be reused."""
        pending = self._pending.get(key)
        if pending is not None and answer in pending.answers:
            pending.answers.remove(answer)

    def retain_servers(self, listed: Iterable[str], now: int) -> list[api.Action]:
        """Stop waiting for unlisted servers; return the replies to writes that only those servers delayed."""
        known = set(listed)
        actions: list[api.Action] = []
        for key, pending in list(self._pending.items()):
            pending.unconfirmed &= known
            pending.behind_copy &= known
            if not pending.unconfirmed:
                actions += self._finish(key, now)
        return actions

    def in_doubt(self, key: str) -> frozenset[str]:
        """Return the servers that must not be asked for this key."""
        return frozenset(self._doubts[key]) if key in self._doubts else frozenset()

    def sweep(self, listed: Iterable[str], now: int) -> list[api.Action]:
        """Drop what has expired; return the invalidations to retry and those to repeat."""
        known = set(listed)
        actions: list[api.Action] = []
        for key, doubts in list(self._doubts.items()):
            for server, doubt in list(doubts.items()):
                if now >= doubt.expires_at:
                    self._remove_doubt(key, server)
                elif server in known and not doubt.in_flight and now >= doubt.retry_at:
                    doubt.in_flight = True
                    actions.append(api.Invalidate(key, server, doubt.number))
        for key, (at, servers) in list(self._repeats.items()):
            if now < at:
                break  # ordered by time
            del self._repeats[key]
            self._last_number += 1
            servers = (servers & known) - self._doubts.get(key, {}).keys()
            actions += [api.Invalidate(key, server, self._last_number) for server in sorted(servers)]
        for key, at in list(self._last_write_at.items()):
            if now - at > self.max_read_time and key not in self._pending:
                del self._last_write_at[key]
        return actions

    def view(self) -> dict[str, object]:
        """Return the state for `/stats`."""
        return {
            "under_way": len(self._pending),
            "in_doubt": sum(len(doubts) for doubts in self._doubts.values()),
            "invalidated": self.invalidated,
            "voided": self.invalidated,  # deprecated name, shown for one version
            "answered_in_doubt": self.answered_in_doubt,
            "forgotten": self.forgotten,
        }
