"""What the leader does with the record: who lives, who gets what, what is asked back. No I/O.

It is soft state beside the record. A new leader knows of no renewal before it led: it lets a whole lease pass
before it gives anything to another.
"""

from __future__ import annotations

from functools import lru_cache
from hashlib import blake2b

from saltport.owners.messages import Renew, Renewed, Resign, Rows
from saltport.owners.raft import NS_PER_S
from saltport.owners.record import MOST_NAME, MOST_PIECES, Command, Drop, Give, Record, Session
from saltport.owners.sessions import Sessions
from saltport.owners.settings import OwnerSettings

COMMAND_ROOM = 110  # bytes of rows in a command
ROWS_ROOM = 150  # and in a datagram to an owner


@lru_cache(maxsize=65_536)
def weight(piece: str, name: str) -> int:
    """Rendezvous hashing: the live router with the greatest weight has the piece."""
    return int.from_bytes(blake2b(f"{piece}/{name}".encode(), digest_size=8).digest())


_Gives = dict[Session, list[tuple[str, int]]]


class Steward:
    """Decides while this voter leads."""

    def __init__(self, record: Record, settings: OwnerSettings, now: int) -> None:
        self.record, self.settings = record, settings
        self._since = now
        self._sessions = Sessions()
        self._wanted: dict[str, int] = {}
        self._asked_back: dict[str, None] = {}
        """In the order in which they were asked back: a set's order would differ from process to process."""
        self._returned: dict[str, int] = {}
        """Pieces whose owner works on them no more, with the epoch that it had."""
        self._pending: dict[str, int] = {}
        """Proposed, with the epoch that they have until then."""
        self._moves, self._moves_at = 0.0, now
        self._turn = 0
        self._names: list[str] = []
        self._best_of: dict[str, str] = {}
        """By piece, who has the greatest weight among `_names`."""
        self.takeovers: dict[str, tuple[str, int]] = {}
        """By piece: why it was given last, and when it was proposed."""

    def live(self, now: int) -> dict[str, Session]:
        """The sessions that may be given work, one a router: the latest."""
        found: dict[str, Session] = {}
        for session, renewed in self._sessions.items():
            if now - renewed < self.settings.lease and found.get(session.name, session) <= session:
                found[session.name] = session
        return found

    def over(self, session: Session, now: int) -> bool:
        """Whether a session's lease has ended for certain, by this clock."""
        return now - self._sessions.renewed_at(session, self._since) > self.settings.lease

    def renew(self, asked: Renew, now: int) -> list[Renewed | Rows]:
        """Take a renewal; the answers. Danger: only while the lead is certain, at this very moment."""
        session = asked.session
        latest = self._sessions.latest(session.name)
        if latest is not None and session < latest:
            return []  # a process before this one, or a session that it let lapse
        self._sessions.renew(session, now)
        for piece in asked.wants:
            if 0 < len(piece) <= MOST_NAME and (piece in self._wanted or len(self._wanted) < MOST_PIECES):
                self._wanted[piece] = now
        for piece in asked.back:
            held = self.record.pieces.get(piece)
            if held is not None and held.owner == session:
                self._returned[piece] = held.epoch
        mine = self.record.of(session)
        back = [piece for piece in self._asked_back if piece in mine and piece not in asked.back]
        done = tuple(
            piece for piece in asked.back if piece not in mine or mine[piece] == self._returned.get(piece)
        )
        answers: list[Renewed | Rows] = [Renewed(session, asked.sent, tuple(back[:2]), done)]
        if asked.digest != self.record.digests.get(session, 0):
            rows = [row for row in mine.items() if self._returned.get(row[0]) != row[1]]
            # Danger: more than fits one answer would never be told, were it always told from the first.
            self._turn = (self._turn + 101) % max(len(rows), 1)
            answers += self._pages(session, rows[self._turn :] + rows[: self._turn])
        return answers

    def _pages(self, session: Session, rows: list[tuple[str, int]]) -> list[Rows]:
        pages: list[Rows] = []
        while rows and len(pages) < self.settings.rows:
            page, room = [], ROWS_ROOM
            while rows and room >= len(rows[0][0]) + 6:
                room -= len(rows[0][0]) + 6
                page.append(rows.pop(0))
            pages.append(Rows(session, tuple(page)))
        return pages

    def resign(self, told: Resign) -> None:
        """A session has ended by itself: its lease is over now."""
        if told.session in self._sessions or self.record.of(told.session):
            self._sessions.renew(told.session, -self.settings.lease - 1)

    def applied(self, changed: list[str]) -> None:
        """The record went on: what was proposed for these is decided."""
        for piece in changed:
            self._pending.pop(piece, None)
            self._asked_back.pop(piece, None)
            self._returned.pop(piece, None)

    def failed(self, pieces: list[str]) -> None:
        """What was proposed for these was not taken."""
        for piece in pieces:
            self._pending.pop(piece, None)

    def decide(self, now: int) -> list[Command]:
        """The commands that are due: deaths, new pieces, those given back, those nobody wants."""
        live = self.live(now)
        for session in [s for s in self._sessions if self.over(s, now) and not self.record.of(s)]:
            self._sessions.forget(session)
        gives: _Gives = {}
        drops: list[tuple[str, int]] = []
        names = sorted(live)
        if names != self._names or len(self._best_of) > MOST_PIECES:
            self._names, self._best_of = names, {}
        unwanted = now - self.settings.forget
        for piece, held in self.record.pieces.items():
            if self._pending.get(piece) == held.epoch:
                continue
            free = self.over(held.owner, now) or self._returned.get(piece) == held.epoch
            wanted = max(self._wanted.get(piece, 0), self._since) > unwanted
            if free and not wanted:
                drops.append((piece, held.epoch))
            elif free and names:
                why = "returned" if piece in self._returned else "lost"
                self._give(gives, live[self._best(piece)], piece, held.epoch, why, now)
            elif not wanted or (names and self._best(piece) != held.owner.name):
                self._ask_back(piece, now, at_once=not wanted)
        for piece, at in list(self._wanted.items()):
            if at <= unwanted:
                del self._wanted[piece]
            elif piece not in self.record.pieces and names and piece not in self._pending:
                self._give(gives, live[self._best(piece)], piece, 0, "new", now)
        commands: list[Command] = []
        for to, rows in gives.items():
            commands += [Give(to, page) for page in _split(rows)]
        commands += [Drop(page) for page in _split(drops)]
        for command in commands:
            for piece, epoch in command.rows:
                self._pending[piece] = epoch
        return commands

    def _best(self, piece: str) -> str:
        """Weighed once for each set of live routers: at each turn, pieces times routers would be too many."""
        best = self._best_of.get(piece)
        if best is None:
            best = self._best_of[piece] = max(self._names, key=lambda name: (weight(piece, name), name))
        return best

    def _give(
        self,
        gives: _Gives,
        to: Session,
        piece: str,
        was: int,
        why: str,
        now: int,
    ) -> None:
        gives.setdefault(to, []).append((piece, was))
        self.takeovers[piece] = (why, now)

    def _ask_back(self, piece: str, now: int, at_once: bool) -> None:
        """For an even spread some pieces a second, so that a join does not move all at once."""
        if piece in self._asked_back:
            return
        most = float(self.settings.moves_per_s)
        self._moves = min(self._moves + (now - self._moves_at) * most / NS_PER_S, most)
        self._moves_at = now
        if at_once or self._moves >= 1:
            self._moves -= not at_once
            self._asked_back[piece] = None


def _split(rows: list[tuple[str, int]]) -> list[tuple[tuple[str, int], ...]]:
    """Rows by commands that fit an entry."""
    pages: list[list[tuple[str, int]]] = []
    room = 0
    for row in rows:
        size = len(row[0].encode()) + 7
        if room < size:
            pages.append([])
            room = COMMAND_ROOM
        pages[-1].append(row)
        room -= size
    return [tuple(page) for page in pages]
