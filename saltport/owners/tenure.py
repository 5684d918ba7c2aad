"""The owner's own side: what it holds, for how long, and what it must do before each effect. No I/O.

Danger: a lease counts from when its question left, never from when the answer came: the answer may have been
under way, or this process may have stood still, for longer than the lease.
"""

from __future__ import annotations

from collections.abc import Iterable

from saltport.owners.messages import Renew, Renewed, Rows
from saltport.owners.record import Session, mark
from saltport.owners.settings import OwnerSettings


class Tenure:
    """One process's pieces of work."""

    def __init__(self, name: str, start: int, settings: OwnerSettings, now: int) -> None:
        self.session = Session(name, start)
        self.settings = settings
        self.pieces: dict[str, int] = {}
        """With their epochs."""
        self.lease_until = 0
        self.lapses = 0
        self.resigned = False
        self._digest = 0
        self._leaving: set[str] = set()
        """Given back, and not yet said so with an answer."""
        self._gone: dict[str, int] = {}
        """What this session gave back, with its epochs."""
        self._wants: dict[str, None] = {}
        self._fresh: dict[str, None] = {}
        """Wanted pieces that nobody was told of."""
        self._renew_at = now
        self._asked_at = 0

    def may(self, piece: str, now: int, spare: int = 0) -> int | None:
        """The epoch for an effect of this piece, if it may begin now and take so long; None: it must not.

        Asked after each wait and before each effect, with a clock read for just this question.
        """
        if now + spare >= self.lease_until or piece in self._leaving:
            return None
        return self.pieces.get(piece)

    def want(self, pieces: Iterable[str]) -> None:
        """Say which pieces of work there should be, all of them."""
        wanted = dict.fromkeys(pieces)
        self._fresh = {piece: None for piece in wanted if piece not in self._wants or piece in self._fresh}
        self._wants = wanted

    def tick(self, now: int) -> Renew | None:
        """Time has passed; returns the renewal that is due."""
        if self.lease_until and now >= self.lease_until:
            self.lapse(now)
        if now < self._renew_at or self.resigned:
            return None
        self._renew_at = now + self.settings.renew
        self._asked_at = now
        told = self._told()
        return Renew(self.session, now, self._digest, tuple(sorted(self._leaving))[:4], told)

    def _told(self) -> tuple[str, ...]:
        """Some wanted pieces, the new ones first, the others in turn."""
        told: list[str] = []
        room = self.settings.room
        for piece in [*self._fresh, *self._wants]:
            room -= len(piece) + 2
            if room < 0:
                break
            if piece not in told:
                told.append(piece)
        for piece in told:
            self._fresh.pop(piece, None)
            if piece in self._wants:
                del self._wants[piece]
                self._wants[piece] = None  # behind the others
        return tuple(told)

    def renewed(self, told: Renewed, now: int) -> None:
        """The steward has answered."""
        if told.session != self.session or told.sent > now or self.resigned:
            return
        if self.lease_until and now >= self.lease_until:
            # Danger: meanwhile another may have got what this session held: it can't be taken up again.
            self.lapse(now)
            return
        until = told.sent + self.settings.own_lease
        if until <= now:
            return  # it has ended on its way
        self.lease_until = max(self.lease_until, until)
        for piece in told.done:
            self._leaving.discard(piece)
        for piece in told.back:
            self.give_back(piece)

    def given(self, told: Rows) -> None:
        """Pieces that the record says are this session's."""
        if told.session != self.session or self.resigned:
            return
        for piece, epoch in told.rows:
            if epoch <= self._gone.get(piece, 0):
                # Danger: a row that was under way must not bring back what was given back. A new steward may
                # have sent it, and hears of it again.
                self._leaving.add(piece)
                continue
            held = self.pieces.get(piece, 0)
            if epoch > held:
                self._digest ^= (mark(piece, held) if held else 0) ^ mark(piece, epoch)
                self.pieces[piece] = epoch
                self._leaving.discard(piece)

    def give_back(self, piece: str) -> None:
        """Work on this piece no more; the steward hears of it with the next renewal."""
        epoch = self.pieces.pop(piece, None)
        if epoch is not None:
            self._digest ^= mark(piece, epoch)
            self._leaving.add(piece)
            self._gone[piece] = epoch

    def lapse(self, now: int) -> None:
        """The lease is lost, or nobody can tell how long this process stood still: it holds nothing more."""
        if self.lease_until or self.pieces:
            self.lapses += 1
            session = self.session
            self.session = Session(session.name, session.start, session.lapse + 1)
        self.pieces.clear()
        self._leaving.clear()
        self._gone.clear()
        self._digest = self.lease_until = 0
        self._renew_at = now

    def resign(self) -> Session:
        """Give all back for good, before the process ends; the steward is to be told of this session."""
        session = self.session
        self.resigned = True
        self.pieces.clear()
        self._leaving.clear()
        self._digest = self.lease_until = 0
        return session
