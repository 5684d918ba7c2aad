"""One router among its peers: takes datagrams and the time, and gives datagrams, changes and views. No I/O.

Whoever drives it calls `receive` for what comes, `turn` by `due` at the latest, and sends what `take` gives.
Times are nanoseconds on a clock that never goes back; randomness is an argument.
"""

from __future__ import annotations

import random
from collections.abc import Iterable
from dataclasses import dataclass
from enum import StrEnum
from heapq import nsmallest

from saltport.peers.local_health import LocalHealth
from saltport.peers.members import PARTS, Change, Members, Record, order_of
from saltport.peers.messages import (
    Ack,
    Alive,
    Dead,
    Gossip,
    Heard,
    Left,
    Packet,
    Ping,
    Place,
    Relay,
    Relayed,
    Row,
    State,
    Suspect,
    Sync,
    Update,
)
from saltport.peers.probes import Probes
from saltport.peers.reach import Reach
from saltport.peers.send_queue import Identity, SendQueue
from saltport.peers.settings import NS_PER_MS, NS_PER_S, PeerSettings
from saltport.peers.suspicion import Suspicion
from saltport.peers.suspicions import Suspicions
from saltport.peers.views import QuorumState, Views

JOIN_RETRY = 250 * NS_PER_MS
JOIN_SEEDS = 3
JOIN_ALONE = 3 * NS_PER_S  # after which a router that nobody answers begins by itself
SYNC_EVERY = 500 * NS_PER_MS  # between two probes for what differs
SYNC_PACKETS = 12  # the most that one probe is answered with
SYNC_REPLIES = 40  # datagrams of such answers a second
REFUTE = 750 * NS_PER_MS  # for which a router says at each turn that it lives
REFUTE_TO = 12
BURST = 6  # datagrams at each turn while there is much to tell
SWEEP = 4  # probes at each turn while many are suspected
MUCH = 8  # updates never sent yet
ROWS_EVERY = 2 * NS_PER_S
LEAVE_TO = 16


class MemberState(StrEnum):
    """What this router is to the others."""

    JOINING = "joining"
    MEMBER = "member"
    DISPLACED = "displaced"
    """Another router has its name, and joined later: it says nothing any more."""
    GONE = "gone"


@dataclass(frozen=True, slots=True)
class MembershipEvent:
    """Something that changed, for the log and for whoever stands on membership."""

    what: str
    """joined, returned, restarted, died, left, forgotten, view, quorum, paused, displaced."""
    name: str
    detail: str = ""


class Agent:
    """The rules of membership for one router."""

    def __init__(
        self, me: Identity, seeds: Iterable[Place], settings: PeerSettings, rng: random.Random, now: int
    ) -> None:
        self.me, self.settings, self._rng = me, settings, rng
        self.name = me.name
        self.seeds = [seed for seed in seeds if seed != me.place]
        self.state = MemberState.JOINING
        self.members = Members(settings.rings, settings.most_members)
        self.local_health = LocalHealth(settings.gap)
        self.reach = Reach(settings.heard_window)
        self.views = Views(settings, me.name, len(self.seeds) + 1, now)
        suspicions: dict[str, Suspicion] = {}
        self.send_queue = SendQueue(me, self.members, suspicions, self.views, settings, now)
        self.suspicions = Suspicions(me.name, suspicions, self.members, self.send_queue, self.reach, settings)
        self.probes = Probes(
            me.name,
            self.members,
            self.send_queue,
            self.reach,
            self.local_health,
            settings,
            rng,
            self._unanswered,
        )
        self.received = self.false_alarms = 0
        """`false_alarms`: how often this router had to say that it lives."""
        self.due = now
        self._events: list[MembershipEvent] = []
        self._began = now
        self._corrections: list[Update] = []
        self._refuting: dict[str, int] = {}
        self._watched: list[str] = []
        self._watch_step = settings.period
        self._order: list[str] = []
        self._turn_length = settings.period // settings.rings
        self._next_watch = self._next_explore = self._next_sync = self._next_rows = self._next_join = now
        self._answered_at = 0
        """When anyone last answered a probe: a path that is open both ways."""
        self._sync_replies = self._sync_second = 0
        self._tried_dead: dict[str, int] = {}
        self._explored = 0
        self._swept: dict[str, int] = {}
        """Who was asked in a sweep and not heard since, and when."""
        self._announce(now)

    def take(self) -> list[tuple[Place, Packet]]:
        """What is to be sent now."""
        out, self.send_queue.waiting = self.send_queue.waiting, []
        return out

    def take_events(self) -> list[MembershipEvent]:
        """What has changed since the last call."""
        events, self._events = self._events, []
        return events

    def _tell(self, what: str, name: str, detail: str = "") -> None:
        self._events.append(MembershipEvent(what, name, detail))

    def leave(self, now: int) -> None:
        """Go in good order; `take` then gives what tells the others. Call it twice: some may not hear."""
        if self.state is MemberState.DISPLACED:
            return
        self.state = MemberState.GONE
        left = Left(self.name, self.me.start)
        far = self.members.some(LEAVE_TO, self._rng, (self.name,))
        for name in dict.fromkeys([*self.members.watchers(self.name), *far]):
            self.send_queue.send_to(name, Gossip(), now, [left])

    # Time

    def turn(self, now: int) -> None:
        """Do what is due."""
        self._awake(now)
        if self.state in (MemberState.DISPLACED, MemberState.GONE):
            self.due = now + NS_PER_S
            return
        if self.state is MemberState.JOINING:
            self._join(now)
        self._watch(now)
        self.probes.turn(now)
        if now >= self._next_explore:
            self._next_explore = now + self.settings.explore
            self._explore(now)
        for dead in self.suspicions.judge(self._answered_at, now):
            self._take(dead, now, self.name)
        if self.suspicions.crowded:
            self._sweep(now)
        self._refute_again(now)
        if self.send_queue.gossip.fresh > MUCH:
            for name in self.members.some(BURST, self._rng, (self.name,)):
                self.send_queue.send_to(name, Gossip(), now, spare=True)
        self._look(now)
        if now >= self._next_rows:
            self._next_rows = now + ROWS_EVERY
            row = self.reach.news(self.members, self.name, self.me.start, now)
            if row is not None:
                self.send_queue.gossip.tell(row, now)
            for name in self.members.forget(now - self.settings.forget):
                self.reach.forget(name)
                self._tried_dead.pop(name, None)
                self._tell("forgotten", name)
        self.due = now + self._turn_length

    def _awake(self, now: int) -> None:
        """Notice a pause of this router's own, before anything else is done or believed."""
        pause = self.local_health.turn(now)
        if not pause:
            return
        self._tell("paused", self.name, f"{pause / NS_PER_S:.1f} s")
        # Its probes are void, and what it was about to say of others is old news.
        self.probes.clear()
        self._swept.clear()
        self.send_queue.gossip.drop_judgements()
        self.suspicions.pardon_all(now)
        if self.state is MemberState.MEMBER:
            self._say_alive(self.me.incarnation + 1, now)
            for name in self.members.watchers(self.name):
                self._refuting[name] = now + REFUTE
            self._next_sync = now
            for name in self.members.some(2, self._rng, (self.name,)):
                self.send_queue.send_to(name, Sync(tuple(self.members.parts)), now)

    def _join(self, now: int) -> None:
        if now < self._next_join:
            return
        if now - self._began >= JOIN_ALONE or not self.seeds:
            self._become_member()
            return
        self._next_join = now + JOIN_RETRY
        for seed in self._rng.sample(self.seeds, min(JOIN_SEEDS, len(self.seeds))):
            self.send_queue.send(seed, Ping(self.send_queue.next_seq()), now, [self.me.alive()])

    def _become_member(self) -> None:
        self.state = MemberState.MEMBER
        self._tell("joined", self.name, f"start {self.me.start}")

    # Asking

    def _watch(self, now: int) -> None:
        """Begin the probes to who is watched, spread over the period."""
        if now < self._next_watch:
            return
        if not self._watched:
            self._next_watch = max(self._next_watch, now - self.settings.period)
            self._watched = list(dict.fromkeys([*self.members.watched(self.name), *self.suspicions.mine()]))
            self._rng.shuffle(self._watched)
            self._watch_step = self.settings.period // max(len(self._watched), 1)
        while self._watched and self._next_watch <= now:
            self.probes.ask(self._watched.pop(), now)
            self._next_watch += self._watch_step
        if self._next_watch <= now:
            self._next_watch = now + self._watch_step

    def _explore(self, now: int) -> None:
        """Ask one more, in a round over all; every other time somebody who is dead, or a seed nobody has."""
        self._explored += 1
        if self._explored % 2 and self._try_dead(now):
            return
        if not self._order:
            self._order = [record.name for record in self.members.live() if record.name != self.name]
            self._rng.shuffle(self._order)
        if self._order:
            self.probes.ask(self._order.pop(), now)

    def _sweep(self, now: int) -> None:
        """Many are suspected at once: ask all others too, who were not heard for longest first.

        Danger: the few on the small side of a cut watch some of the others only. Without this the rest would
        look well to them, and make them a majority, until deaths have moved the rings round to everybody. Who
        does not answer is suspected here, and suspected by those who watch it.
        """
        suspected = self.suspicions.held
        late = now - 2 * self.settings.period
        unheard = [
            (max(self.reach.heard_at(record.name), self.reach.asked.get(record.name, 0)), record.name)
            for record in self.members.live()
            if record.name not in suspected and self.reach.heard_at(record.name) < late
        ]
        for _, name in nsmallest(SWEEP, unheard):
            self._swept.setdefault(name, now)
            self.probes.ask(name, now)

    def _try_dead(self, now: int) -> bool:
        dead = [
            r.name for r in self.members.records.values() if r.state is State.DEAD and r.place is not None
        ]
        if dead:
            name = min(dead, key=lambda name: (self._tried_dead.get(name, 0), self._rng.random()))
            self._tried_dead[name] = now
            self.send_queue.send_to(name, Ping(self.send_queue.next_seq()), now)
            return True
        places = {record.place for record in self.members.live()}
        strange = [seed for seed in self.seeds if seed not in places]
        if strange:
            ping = Ping(self.send_queue.next_seq())
            self.send_queue.send(self._rng.choice(strange), ping, now, [self.me.alive()])
        return bool(strange)

    def _answered(self, name: str, now: int) -> None:
        if now - self._answered_at > self.settings.least_silence // 2:
            # Danger: whom it could not reach while it was cut off itself would be dead at the first answer.
            self.suspicions.pardon_all(now)
        self._answered_at = now
        self.probes.answered(name, now)

    def _unanswered(self, record: Record, begun: int, now: int) -> None:
        only_swept = (
            record.name in self._swept
            and record.name not in self.members.watched(self.name)
            and not self.suspicions.is_indirect_prober(record.name)
        )
        if self.state is MemberState.MEMBER and not only_swept:
            self.suspicions.suspect(record, begun, now)

    def _deaf(self, now: int) -> bool:
        """Whether nobody answered for about as long as a death takes: it is this router that is cut off."""
        awake = max(self._answered_at, self.local_health.awake_since)
        return len(self.members) > 1 and now - awake > self.settings.least_silence - self.settings.period

    # Being suspected

    def _announce(self, now: int) -> None:
        alive = self.me.alive()
        self.members.merge(alive, now)
        self.send_queue.gossip.tell(alive, now)

    def _say_alive(self, incarnation: int, now: int) -> None:
        self.me.incarnation = max(self.me.incarnation, incarnation)
        self._announce(now)

    def _suspected(self, update: Suspect | Dead, sender: str, now: int) -> None:
        """Somebody doubts that this router lives: it says so, to accusers and watchers first."""
        if update.incarnation >= self.me.incarnation:
            self.false_alarms += 1
            self.local_health.went_badly()
            self._say_alive(update.incarnation + 1, now)
        accuser = update.accuser if isinstance(update, Suspect) else update.by
        for name in dict.fromkeys([accuser, sender, *self.members.watchers(self.name)]):
            if name != self.name:
                self._refuting[name] = now + REFUTE

    def _refute_again(self, now: int) -> None:
        if not self.settings.refutes:
            self._refuting.clear()
        if not self._refuting:
            return
        some = self.members.some(2, self._rng, (self.name,))
        for name in [*list(self._refuting)[:REFUTE_TO], *some]:
            self.send_queue.send_to(name, Gossip(), now, [self.me.alive()])
        for name in [name for name, until in self._refuting.items() if now >= until]:
            del self._refuting[name]

    def _my_name_taken(self, update: Alive | Dead | Left, now: int) -> None:
        """A record of this name has a later start: an earlier life of its own, or another router."""
        same_place = isinstance(update, Alive) and update.place == self.me.place
        if self.state is MemberState.JOINING or same_place or not isinstance(update, Alive):
            self.me.start, self.me.incarnation = update.start + 1, 0
            self._announce(now)
            return
        self.state = MemberState.DISPLACED
        where = update.place if isinstance(update.place, int) else update.place.hex()
        self._tell("displaced", self.name, f"by start {update.start} at place {where}")
        self.probes.clear()

    # What comes

    def receive(self, packet: Packet, source: Place, now: int) -> None:
        """Take a datagram's content, whose envelope was found good."""
        self._awake(now)
        self.received += 1
        if self.state in (MemberState.GONE, MemberState.DISPLACED):
            return
        if packet.sender == self.name:
            if packet.start != self.me.start:
                self._same_name(packet, source, now)
            return
        self._corrections = []
        for update in packet.said:
            self._take(update, now, packet.sender)
        record = self.members.records.get(packet.sender)
        if record is not None and record.start == packet.start:
            self.reach.hear(record.name, now)
            self.suspicions.heard(record, now)
        if packet.digest == self.members.digest:
            self.views.agree(packet.view, packet.digest)
        self._reply(packet, source, record, now)
        # Of an unknown sender too: to know one is to be told of all.
        if (
            (record is None or record.live)
            and packet.digest != self.members.digest
            and now >= self._next_sync
        ):
            self._next_sync = now + SYNC_EVERY
            self.send_queue.send(source, Sync(tuple(self.members.parts)), now)

    def _same_name(self, packet: Packet, source: Place, now: int) -> None:
        """A datagram of another router with this name: who joined first learns of it."""
        if packet.start < self.me.start:
            if isinstance(packet.body, Ping):
                self.send_queue.send(source, Ack(packet.body.seq), now, [self.me.alive()])
            return
        for update in packet.said:
            if isinstance(update, Alive) and update.name == self.name and update.start > self.me.start:
                self._my_name_taken(update, now)
                return

    def _reply(self, packet: Packet, source: Place, record: Record | None, now: int) -> None:
        first: list[Update] = self._corrections
        if record is not None and record.start == packet.start and not record.live:
            first = [record.update(self.name), *first]
        match packet.body:
            case Ping(seq, bare):
                if record is None:
                    first = [self.me.alive(), *first]
                self.send_queue.send(source, Ack(seq), now, first, bare=bare)
            case Ack():
                if self.state is MemberState.JOINING and now - self._began >= JOIN_RETRY:
                    self._become_member()
                if record is not None and record.start == packet.start:
                    self._answered(record.name, now)
            case Relay(seq, name):
                self.probes.relay(packet.sender, seq, name, now)
            case Relayed(seq, name, answered):
                self._relayed(packet.sender, seq, name, answered, now)
            case Sync(digests):
                self._send_differences(source, digests, now)
            case Gossip():
                if first:
                    self.send_queue.send(source, Gossip(), now, first)

    def _relayed(self, helper: str, seq: int, name: str, answered: bool, now: int) -> None:
        self.probes.helper_said(name, seq)
        record = self.members.records.get(name)
        if answered and record is not None:
            self.reach.hear_of(name, helper, now)
            self.suspicions.vouched(name, record.start, self.name, now)
            self._answered(name, now)

    def _take(self, update: Update, now: int, sender: str) -> None:
        """Take one update, from outside or made here."""
        match update:
            case Row():
                if update.name != self.name and self.reach.take_row(update):
                    self.send_queue.gossip.tell(update, now)
            case Heard():
                heard = now - update.ago_ms * NS_PER_MS
                self.reach.hear_of(update.name, sender, heard)
                self.suspicions.vouched(update.name, update.start, sender, heard)
            case Suspect():
                self._take_suspect(update, sender, now)
            case Alive() | Dead() | Left():
                if update.name == self.name:
                    self._about_me(update, sender, now)
                elif (change := self.members.merge(update, now)) is not None:
                    self.send_queue.gossip.tell(update, now)
                    self._changed(change)
                else:
                    self._correct(update)

    def _about_me(self, update: Alive | Dead | Left, sender: str, now: int) -> None:
        me = self.me
        if update.start > me.start:
            self._my_name_taken(update, now)
        elif update.start < me.start:
            self._corrections.append(me.alive())
        elif isinstance(update, Dead):
            self._suspected(update, sender, now)
        elif isinstance(update, Left):
            me.start += 1  # somebody took an earlier end for this life's
            self._announce(now)
        elif (
            update.place != me.place
            and self.state is not MemberState.JOINING
            and str(update.place) > str(me.place)
        ):
            # Both started in one moment: the order of their places decides.
            self._my_name_taken(update, now)
        elif update.incarnation > me.incarnation or update.place != me.place:
            self._say_alive(update.incarnation + 1, now)

    def _correct(self, update: Alive | Dead | Left) -> None:
        """The sender holds something older: it hears what came after."""
        record = self.members.records.get(update.name)
        if record is not None and order_of(update) < record.order and record.state is not State.SUSPECT:
            self._corrections.append(record.update(self.name))

    def _take_suspect(self, update: Suspect, sender: str, now: int) -> None:
        if update.name == self.name:
            if update.start == self.me.start:
                self._suspected(update, sender, now)
            return
        record = self.members.records.get(update.name)
        if record is None or update.start != record.start or not record.live:
            return
        if update.incarnation < record.incarnation:
            self._corrections.append(record.update(self.name))
        else:
            self.suspicions.take(update, record, now)
            held = self.suspicions.held.get(update.name)
            few = held is not None and len(held.accusers) <= self.settings.confirmations
            if few and self.settings.refutes and self.suspicions.is_indirect_prober(update.name):
                self.probes.ask(update.name, now)

    def _changed(self, change: Change) -> None:
        record, name = change.record, change.record.name
        self.suspicions.drop(record)
        if not record.live:
            self.probes.drop(name)
            self._refuting.pop(name, None)
        was_live = change.before is not None and change.before <= State.SUSPECT
        if change.restarted and record.live:
            self._tell("restarted", name, f"start {record.start}")
            self.reach.forget(name)
        elif record.live and not was_live:
            back = change.before is State.DEAD
            self._tell("returned" if back else "joined", name, f"incarnation {record.incarnation}")
        elif was_live and record.state is State.DEAD:
            self._tell("died", name, f"incarnation {record.incarnation}")
        elif was_live and record.state is State.LEFT:
            self.views.left(name)
            self._tell("left", name)

    def _send_differences(self, source: Place, digests: tuple[int, ...], now: int) -> None:
        """Answer with the records of all parts in which two routers differ, as far as is allowed."""
        if len(digests) != PARTS:
            return
        if now // NS_PER_S != self._sync_second:
            self._sync_second, self._sync_replies = now // NS_PER_S, 0
        parts = [part for part in range(PARTS) if digests[part] != self.members.parts[part]]
        self._rng.shuffle(parts)
        updates: list[Update] = []
        for part in parts:
            # Danger: told from the first on each time, what lies beyond one answer would never be told.
            records = list(self.members.part(part))
            self._rng.shuffle(records)
            for record in records:
                updates.append(record.update(self.name))
                # Danger: without the suspicion, those on the other side of a cut look well to who just came.
                updates += self.suspicions.told_of(record.name, now)
        for _ in range(SYNC_PACKETS):
            if not updates or self._sync_replies >= SYNC_REPLIES:
                break
            self._sync_replies += 1
            self.send_queue.send(source, Gossip(), now, updates, spare=True)

    # Views

    def _look(self, now: int) -> None:
        """See whether a new view begins, and where this router stands."""
        digest = self.members.digest
        changed = digest != self.views.view.digest
        live = frozenset(record.name for record in self.members.live()) if changed else None
        if self.views.look(digest, live, self.suspicions.unsettled, now):
            view = self.views.view
            self._tell("view", self.name, f"{view.number}: {len(view.members)} routers")
        # Danger: who just came, or stood still, has asked nobody yet, and knows the others from hearsay only.
        fresh = now - self.local_health.awake_since < self.settings.least_silence
        self._swept = {name: at for name, at in self._swept.items() if self.reach.heard_at(name) < at}
        silent = now - self.settings.patience
        suspected = self.suspicions.held.keys() | {name for name, at in self._swept.items() if at < silent}
        if live is not None:
            # Danger: between their deaths and the view without them, the dead are not suspected any more.
            suspected |= self.views.view.members - live
        if self.views.stand(self._deaf(now), fresh, suspected, now):
            views = self.views
            among = f"{len(views.yardstick & views.view.members)} of {len(views.yardstick)}"
            self._tell("quorum", self.name, f"{views.quorum} ({among})")
        if self.views.quorum is QuorumState.ISOLATED:
            self.local_health.score = max(self.local_health.score, 1)
