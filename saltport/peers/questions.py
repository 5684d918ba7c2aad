"""Questions under way, also for others: tries, helpers, answers (SWIM, section 3.1). No I/O."""

from __future__ import annotations

import random
from collections.abc import Callable
from dataclasses import dataclass, field

from saltport.peers.members import Members, Record
from saltport.peers.messages import Ping, Relay, Relayed
from saltport.peers.outbox import Outbox
from saltport.peers.patience import Patience
from saltport.peers.reach import Reach
from saltport.peers.settings import PeerSettings

MOST_RELAYS = 256  # questions under way for others


@dataclass(slots=True)
class _Question:
    target: str
    seq: int
    begun: int
    again_at: int
    fails_at: int
    tries: int = 1
    asked: set[str] = field(default_factory=set)
    said: bool = False
    """Whether any helper said anything."""


@dataclass(frozen=True, slots=True)
class _ForAnother:
    asker: str
    seq: int
    target: str
    until: int


class Questions:
    """Who is asked whether it is there, and what came of it."""

    def __init__(
        self,
        me: str,
        members: Members,
        outbox: Outbox,
        reach: Reach,
        patience: Patience,
        settings: PeerSettings,
        rng: random.Random,
        failed: Callable[[Record, int, int], None],
    ) -> None:
        self._me, self._members, self._outbox = me, members, outbox
        self._reach, self._patience, self._settings, self._rng = reach, patience, settings, rng
        self._failed = failed
        """Told of a live router that did not answer, when the question began, and the time."""
        self._open: dict[str, _Question] = {}
        self._relays: dict[int, _ForAnother] = {}

    def clear(self) -> None:
        """Nothing that was asked counts any more."""
        self._open.clear()
        self._relays.clear()

    def drop(self, name: str) -> None:
        """Whether this router is there is known by other means."""
        self._open.pop(name, None)

    def ask(self, name: str, now: int) -> None:
        """Begin a question, unless one is under way."""
        record = self._members.records.get(name)
        if record is None or record.place is None or name in self._open or name == self._me:
            return
        seq, stretch = self._outbox.next_seq(), self._patience.stretch
        again, fails = now + stretch(self._settings.retry), now + stretch(self._settings.patience)
        self._open[name] = _Question(name, seq, now, again, fails)
        self._outbox.send_to(name, Ping(seq), now)

    def turn(self, now: int) -> None:
        """Ask again, ask helpers, give up."""
        for question in list(self._open.values()):
            if now >= question.fails_at:
                del self._open[question.target]
                self._give_up(question, now)
            elif now >= question.again_at:
                question.again_at = now + self._patience.stretch(self._settings.retry)
                question.tries += 1
                self._reach.asked[question.target] = question.begun
                self._outbox.send_to(question.target, Ping(question.seq, bare=True), now)
                if question.tries > self._settings.direct_tries:
                    self._ask_helpers(question, now)
        for seq, held in list(self._relays.items()):
            if now >= held.until:
                # The asker learns that it is heard itself (Lifeguard's nack).
                del self._relays[seq]
                self._outbox.send_to(held.asker, Relayed(held.seq, held.target, False), now)

    def _ask_helpers(self, question: _Question, now: int) -> None:
        helpers = self._settings.helpers
        known = [name for name in self._reach.helpers(question.target) if self._members.is_live(name)]
        some = self._members.some(helpers + 1, self._rng, (self._me, question.target))
        for name in list(dict.fromkeys([*known[:1], *some]))[:helpers]:
            question.asked.add(name)
            self._outbox.send_to(name, Relay(question.seq, question.target), now)

    def _give_up(self, question: _Question, now: int) -> None:
        self._reach.asked[question.target] = question.begun
        if question.asked and not question.said:
            self._patience.went_badly()
        record = self._members.records.get(question.target)
        if record is not None and record.live:
            self._failed(record, question.begun, now)

    def answered(self, name: str, now: int) -> None:
        """A router answered, for this one or for whoever had it asked."""
        if self._open.pop(name, None) is not None:
            self._patience.went_well()
        for seq, held in list(self._relays.items()):
            if held.target == name:
                del self._relays[seq]
                self._outbox.send_to(held.asker, Relayed(held.seq, name, True), now)

    def relay(self, asker: str, seq: int, name: str, now: int) -> None:
        """Ask a router for another one."""
        if len(self._relays) < MOST_RELAYS and name in self._members.records:
            mine = self._outbox.next_seq()
            self._relays[mine] = _ForAnother(asker, seq, name, now + 3 * self._settings.retry)
            self._outbox.send_to(name, Ping(mine), now)

    def helper_said(self, name: str, seq: int) -> None:
        """A helper said something of a question, good or bad: this router is heard."""
        question = self._open.get(name)
        if question is not None and question.seq == seq:
            question.said = True
