"""Suspicions and witnesses among routers, and who may declare a death. No I/O."""

from __future__ import annotations

import zlib

from saltport.peers.members import Members, Record
from saltport.peers.messages import Dead, Gossip, Heard, State, Suspect
from saltport.peers.reach import Reach
from saltport.peers.send_queue import SendQueue
from saltport.peers.settings import NS_PER_MS, PeerSettings, in_ms
from saltport.peers.suspicion import Suspicion

WITNESS_EVERY = 250 * NS_PER_MS
INDIRECT_PROBERS = 5
CROWDED_SHARE = 0.1  # of all members, suspected at once
LEAST_CROWD = 3  # suspects at a time that may be one matter


class Suspicions:
    """All suspicions that this router knows of."""

    def __init__(
        self,
        me: str,
        suspicions: dict[str, Suspicion],
        members: Members,
        send_queue: SendQueue,
        reach: Reach,
        settings: PeerSettings,
    ) -> None:
        self._me, self.held, self._members = me, suspicions, members
        self._send_queue, self._reach, self._settings = send_queue, reach, settings
        self._crowd_until = 0

    @property
    def unsettled(self) -> bool:
        """Whether deaths may follow at once."""
        return any(len(held.accusers) > 1 for held in self.held.values())

    @property
    def crowded(self) -> bool:
        """Whether so many are suspected that it is likelier a cut or a host's pause than so many deaths."""
        return len(self.held) >= max(LEAST_CROWD, CROWDED_SHARE * len(self._members))

    def mine(self) -> list[str]:
        """Whom this router suspects: it goes on probing them."""
        return [name for name, held in self.held.items() if self._me in held.accusers]

    def pardon_all(self, now: int) -> None:
        """What this router held against others counts no more: it was cut off or stood still itself."""
        for suspicion in self.held.values():
            suspicion.pardon(self._me, now)

    def drop(self, record: Record) -> None:
        """A record went on: what was held against an earlier state of it is over."""
        held = self.held.get(record.name)
        if held is not None and (
            not record.live or (record.start, record.incarnation) > (held.start, held.incarnation)
        ):
            del self.held[record.name]
            self._send_queue.gossip.drop_suspicions(record.name)

    def _of(self, record: Record, heard: int, now: int) -> Suspicion:
        held = self.held.get(record.name)
        if held is None or not held.is_of(record):
            held = self.held[record.name] = Suspicion(record.start, record.incarnation, now, heard)
        return held

    def suspect(self, record: Record, begun: int, now: int) -> None:
        """A probe of this router's own, begun at this time, had no answer."""
        heard = self._reach.heard_at(record.name)
        held = self.held.get(record.name)
        if held is None or not held.is_of(record):
            # Danger: who was not asked for long must not count as silent from its last word on.
            heard = max(heard, begun - self._settings.period)
        suspicion = self._of(record, heard, now)
        if suspicion.suspect(self._me, heard) or record.state is State.ALIVE:
            # Nor is it to be told by a prober's own last word, but by the latest that is known of anybody's.
            update = suspicion.told(record.name, self._me, now)
            self._members.merge(update, now)
            self._send_queue.gossip.tell(update, now)

    def take(self, update: Suspect, record: Record, now: int) -> None:
        """Another router suspects one of the same start and incarnation as is held, or a later one."""
        heard = now - update.silent_ms * NS_PER_MS
        self._members.merge(update, now)
        suspicion = self._of(record, heard, now)
        new = suspicion.suspect(update.accuser, heard)
        direct = self._reach.direct.get(update.name, 0)
        if direct > heard and self._settings.refutes:
            suspicion.vouch(self._me, direct)
            if direct > now - self._settings.least_silence:
                self._witness(suspicion, update.name, update.accuser, now)
        if new and len(suspicion.accusers) <= self._settings.confirmations + 1:
            self._send_queue.gossip.tell(update, now)

    def told_of(self, name: str, now: int) -> list[Suspect]:
        """What is held against a router, for whoever is told of it; empty: nothing."""
        held = self.held.get(name)
        return [held.told(name, next(iter(held.accusers)), now)] if held is not None and held.accusers else []

    def is_indirect_prober(self, name: str) -> bool:
        """Whether this router is one of the few that ask too, once somebody is suspected.

        They are drawn by hash from those not suspected, so that each side of a cut has some: a side with
        one watcher would otherwise wait for as long as a lone accuser must.
        """
        mine = zlib.crc32(f"{name}/{self._me}".encode())
        before = 0
        for record in self._members.live():
            if record.state is State.ALIVE and record.name not in (name, self._me):
                before += zlib.crc32(f"{name}/{record.name}".encode()) > mine
                if before >= INDIRECT_PROBERS:
                    return False
        return True

    def heard(self, record: Record, now: int) -> None:
        """A datagram of this router came: its accusers are told, now and then."""
        held = self.held.get(record.name)
        if held is None or held.start != record.start:
            return
        accusers = list(held.accusers)
        held.vouch(self._me, now)
        if self._settings.refutes and now - held.witnessed >= WITNESS_EVERY:
            held.witnessed = now
            for accuser in accusers:
                self._witness(held, record.name, accuser, now)

    def vouched(self, name: str, start: int, witness: str, heard: int) -> None:
        """Somebody says that it heard this router."""
        held = self.held.get(name)
        if held is not None and held.start == start:
            held.vouch(witness, heard)

    def _witness(self, held: Suspicion, name: str, accuser: str, now: int) -> None:
        """Tell an accuser when its subject was last heard here. Danger: hearsay told on would go round."""
        if accuser != self._me:
            ago = in_ms(now - self._reach.direct.get(name, 0))
            heard = Heard(name, held.start, held.incarnation, ago)
            self._send_queue.send_to(accuser, Gossip(), now, [heard])

    def judge(self, answered_at: int, now: int) -> list[Dead]:
        """Who is dead: silent for long enough, by the word of who asked in vain itself.

        `answered_at`: when anyone last answered this router; without that nobody is declared dead by it.
        """
        settings, count = self._settings, len(self._members)
        many = sum(len(held.accusers) > 1 for held in self.held.values())
        if many >= LEAST_CROWD and many >= settings.crowd_share * count:
            self._crowd_until = now + settings.least_silence
        # Danger: as those of a pause come back, the last of them would be dead for being no crowd any more.
        crowd = now < self._crowd_until
        dead = []
        for name, suspicion in list(self.held.items()):
            record = self._members.records.get(name)
            if record is None or record.state is not State.SUSPECT or not suspicion.is_of(record):
                del self.held[name]
            elif now >= suspicion.due(settings, count, self._sound(suspicion), crowd) and (
                not settings.refutes or self._may_declare(name, suspicion, answered_at, now)
            ):
                dead.append(Dead(name, record.start, record.incarnation, self._me))
        return dead

    def _may_declare(self, name: str, suspicion: Suspicion, answered_at: int, now: int) -> bool:
        least = self._settings.least_silence
        return (
            self._me in suspicion.accusers
            and self._reach.heard_at(name) <= now - least + self._settings.period
            and answered_at > now - least // 2
        )

    def _sound(self, suspicion: Suspicion) -> int:
        """How many accusers count: who is suspected itself is no witness."""
        records = (self._members.records.get(name) for name in suspicion.accusers)
        return sum(record is not None and record.state is State.ALIVE for record in records)
