"""The membership protocol of one router. No I/O.

The caller passes in received datagrams (`receive`) and the time (`tick`, at the latest at `due`), sends
what `take_packets` returns, and reads changes from `take_events`. Times are nanoseconds on a monotonic
clock; the random generator is an argument.
"""

from __future__ import annotations

import random
from collections.abc import Iterable
from dataclasses import dataclass
from enum import StrEnum
from heapq import nsmallest

from saltport.peers.local_health import LocalHealth
from saltport.peers.members import DIGEST_PARTS, Change, Members, Record, order_of
from saltport.peers.messages import (
    Ack,
    Alive,
    Dead,
    Gossip,
    IndirectPing,
    IndirectResult,
    Left,
    Packet,
    Ping,
    Place,
    State,
    Suspect,
    Sync,
    Update,
    Witness,
    ZoneCut,
)
from saltport.peers.probes import Probes
from saltport.peers.reach import Reach
from saltport.peers.send_queue import Identity, SendQueue
from saltport.peers.settings import NS_PER_MS, NS_PER_S, PeerSettings
from saltport.peers.suspicion import Suspicion
from saltport.peers.suspicions import Suspicions
from saltport.peers.views import QuorumState, Views

JOIN_RETRY_NS = 250 * NS_PER_MS  # time between two rounds of pings to seeds while joining
JOIN_SEEDS = 3  # seeds pinged in each round
JOIN_TIMEOUT_NS = 3 * NS_PER_S  # time after which a router that no seed has answered becomes a member alone
SYNC_INTERVAL_NS = 500 * NS_PER_MS  # minimum time between two sync requests
MAX_SYNC_PACKETS = 12  # datagrams in the answer to one sync request
MAX_SYNC_REPLIES_PER_S = 40  # datagrams in answers to all sync requests
REFUTATION_NS = 750 * NS_PER_MS  # time for which a refutation is sent again at each tick
MAX_REFUTATION_TARGETS = 12  # routers that get a refutation at each tick
GOSSIP_BURST_TARGETS = 6  # extra gossip datagrams per tick while many updates are unsent
# While many members are suspected at once, the number of further members probed at each tick: those that this
# router itself has not heard within two probe periods.
UNHEARD_PROBES_PER_TICK = 4
GOSSIP_BURST_THRESHOLD = 8  # number of unsent updates above which extra gossip is sent
ZONE_CUT_INTERVAL_NS = 2 * NS_PER_S  # time between two checks for zones cut off and for records to forget
LEAVE_TARGETS = 16  # random members that get the announcement of a departure, besides the observers


class MemberState(StrEnum):
    """The membership state of this router itself."""

    JOINING = "joining"
    MEMBER = "member"
    DISPLACED = "displaced"
    """Another router joined later under the same name; this one takes no further part."""
    GONE = "gone"


@dataclass(frozen=True, slots=True)
class MembershipEvent:
    """A change in membership, for the log and for components that depend on membership."""

    kind: str
    """One of joined, returned, restarted, died, left, forgotten, view, quorum, paused, displaced."""
    name: str
    detail: str = ""


class Agent:
    """The membership protocol of one router: probing, suspicion, gossip and views."""

    def __init__(
        self, me: Identity, seeds: Iterable[Place], settings: PeerSettings, rng: random.Random, now: int
    ) -> None:
        self.me, self.settings, self._rng = me, settings, rng
        self.name = me.name
        self.seeds = [seed for seed in seeds if seed != me.place]
        self.state = MemberState.JOINING
        self.members = Members(settings.rings, settings.max_members)
        self.local_health = LocalHealth(settings.pause_threshold_ns)
        self.reach = Reach(settings.heard_window_ns)
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
            self._on_probe_failure,
        )
        self.received = self.false_alarms = 0
        """`false_alarms` counts the suspicions of this router that it had to refute."""
        self.due = now
        self._events: list[MembershipEvent] = []
        self._started_at = now
        self._corrections: list[Update] = []
        self._refute_until: dict[str, int] = {}
        self._probe_targets: list[str] = []
        self._probe_interval_ns = settings.probe_period_ns
        self._exploration_order: list[str] = []
        self._tick_interval_ns = settings.probe_period_ns // settings.rings
        self._next_probe_at = self._next_exploration_at = self._next_sync_at = self._next_zone_cut_at = (
            self._next_join_at
        ) = now
        self._last_answer_at = 0
        """When any probe was last answered, which shows that a path works in both directions."""
        self._sync_replies = self._sync_replies_second = 0
        self._dead_probed_at: dict[str, int] = {}
        self._exploration_count = 0
        self._sweep_probed_at: dict[str, int] = {}
        """The routers probed by `_probe_unheard` and not heard since, with the time of the first such
        probe.
        """
        self._announce(now)

    def take_packets(self) -> list[tuple[Place, Packet]]:
        """Return the packets to send now, with their destinations."""
        packets, self.send_queue.waiting = self.send_queue.waiting, []
        return packets

    def take_events(self) -> list[MembershipEvent]:
        """Return the events since the last call."""
        events, self._events = self._events, []
        return events

    def _emit(self, kind: str, name: str, detail: str = "") -> None:
        """Record an event for `take_events`."""
        self._events.append(MembershipEvent(kind, name, detail))

    def leave(self, now: int) -> None:
        """Leave the fleet and queue the announcement; called twice, as some routers may miss the first."""
        if self.state is MemberState.DISPLACED:
            return
        self.state = MemberState.GONE
        left = Left(self.name, self.me.start)
        others = self.members.sample(LEAVE_TARGETS, self._rng, (self.name,))
        for name in dict.fromkeys([*self.members.observers(self.name), *others]):
            self.send_queue.send_to(name, Gossip(), now, [left])

    # Time

    def tick(self, now: int) -> None:
        """Do everything that is due, and set `due` to the time of the next tick."""
        self._detect_pause(now)
        if self.state in (MemberState.DISPLACED, MemberState.GONE):
            self.due = now + NS_PER_S
            return
        if self.state is MemberState.JOINING:
            self._join(now)
        self._probe_subjects(now)
        self.probes.tick(now)
        if now >= self._next_exploration_at:
            self._next_exploration_at = now + self.settings.exploration_interval_ns
            self._probe_round_robin(now)
        for dead in self.suspicions.take_deaths(self._last_answer_at, now):
            self._apply_update(dead, now, self.name)
        if self.suspicions.many_suspected:
            self._probe_unheard(now)
        self._repeat_refutations(now)
        if self.send_queue.gossip.unsent > GOSSIP_BURST_THRESHOLD:
            for name in self.members.sample(GOSSIP_BURST_TARGETS, self._rng, (self.name,)):
                self.send_queue.send_to(name, Gossip(), now, optional=True)
        self._update_view(now)
        if now >= self._next_zone_cut_at:
            self._next_zone_cut_at = now + ZONE_CUT_INTERVAL_NS
            zone_cut = self.reach.next_zone_cut(self.members, self.name, self.me.start, now)
            if zone_cut is not None:
                self.send_queue.gossip.enqueue(zone_cut, now)
            for name in self.members.forget(now - self.settings.forget_after_ns):
                self.reach.forget(name)
                self._dead_probed_at.pop(name, None)
                self._emit("forgotten", name)
        self.due = now + self._tick_interval_ns

    def _detect_pause(self, now: int) -> None:
        """Detect a pause of this router before anything else is processed."""
        pause = self.local_health.tick(now)
        if not pause:
            return
        self._emit("paused", self.name, f"{pause / NS_PER_S:.1f} s")
        # Its probes are void, and its queued suspicions and deaths are out of date.
        self.probes.clear()
        self._sweep_probed_at.clear()
        self.send_queue.gossip.drop_suspicions_and_deaths()
        self.suspicions.withdraw_own(now)
        if self.state is MemberState.MEMBER:
            self._raise_incarnation(self.me.incarnation + 1, now)
            for name in self.members.observers(self.name):
                self._refute_until[name] = now + REFUTATION_NS
            self._next_sync_at = now
            for name in self.members.sample(2, self._rng, (self.name,)):
                self.send_queue.send_to(name, Sync(tuple(self.members.part_digests)), now)

    def _join(self, now: int) -> None:
        """Ping some seeds, or become a member alone when no seed has answered in time."""
        if now < self._next_join_at:
            return
        if now - self._started_at >= JOIN_TIMEOUT_NS or not self.seeds:
            self._become_member()
            return
        self._next_join_at = now + JOIN_RETRY_NS
        for seed in self._rng.sample(self.seeds, min(JOIN_SEEDS, len(self.seeds))):
            self.send_queue.send(seed, Ping(self.send_queue.next_seq()), now, [self.me.alive()])

    def _become_member(self) -> None:
        """End the join: this router counts as a member from now on."""
        self.state = MemberState.MEMBER
        self._emit("joined", self.name, f"start {self.me.start}")

    # Probing

    def _probe_subjects(self, now: int) -> None:
        """Start the probes of this router's subjects, spread evenly over the probe period."""
        if now < self._next_probe_at:
            return
        if not self._probe_targets:
            self._next_probe_at = max(self._next_probe_at, now - self.settings.probe_period_ns)
            self._probe_targets = list(
                dict.fromkeys([*self.members.subjects(self.name), *self.suspicions.own_suspects()])
            )
            self._rng.shuffle(self._probe_targets)
            self._probe_interval_ns = self.settings.probe_period_ns // max(len(self._probe_targets), 1)
        while self._probe_targets and self._next_probe_at <= now:
            self.probes.start(self._probe_targets.pop(), now)
            self._next_probe_at += self._probe_interval_ns
        if self._next_probe_at <= now:
            self._next_probe_at = now + self._probe_interval_ns

    def _probe_round_robin(self, now: int) -> None:
        """Probe one more live member in shuffled order, or every other time a dead one or an unknown seed."""
        self._exploration_count += 1
        if self._exploration_count % 2 and self._probe_dead(now):
            return
        if not self._exploration_order:
            self._exploration_order = [
                record.name for record in self.members.live() if record.name != self.name
            ]
            self._rng.shuffle(self._exploration_order)
        if self._exploration_order:
            self.probes.start(self._exploration_order.pop(), now)

    def _probe_unheard(self, now: int) -> None:
        """While many members are suspected, probe further members that this router has not heard lately.

        Those neither heard nor probed for longest come first.

        Danger: the few routers on the small side of a partition probe only some of the others. Without this
        the rest would look alive to them and make them a majority, until deaths have changed the rings.
        Members that do not answer count as suspected here for the quorum; only their observers accuse them.
        """
        suspected = self.suspicions.by_name
        unheard_since = now - 2 * self.settings.probe_period_ns
        unheard = [
            (max(self.reach.heard_at(record.name), self.reach.probed_at.get(record.name, 0)), record.name)
            for record in self.members.live()
            if record.name not in suspected and self.reach.heard_at(record.name) < unheard_since
        ]
        for _, name in nsmallest(UNHEARD_PROBES_PER_TICK, unheard):
            self._sweep_probed_at.setdefault(name, now)
            self.probes.start(name, now)

    def _probe_dead(self, now: int) -> bool:
        """Probe a dead member, or a seed whose address no live member has; returns whether there was one."""
        dead = [
            r.name for r in self.members.records.values() if r.state is State.DEAD and r.place is not None
        ]
        if dead:
            name = min(dead, key=lambda name: (self._dead_probed_at.get(name, 0), self._rng.random()))
            self._dead_probed_at[name] = now
            self.send_queue.send_to(name, Ping(self.send_queue.next_seq()), now)
            return True
        places = {record.place for record in self.members.live()}
        unknown_seeds = [seed for seed in self.seeds if seed not in places]
        if unknown_seeds:
            ping = Ping(self.send_queue.next_seq())
            self.send_queue.send(self._rng.choice(unknown_seeds), ping, now, [self.me.alive()])
        return bool(unknown_seeds)

    def _on_answer(self, name: str, now: int) -> None:
        """Process an answer of a router to a direct or indirect probe."""
        if now - self._last_answer_at > self.settings.min_silence_ns // 2:
            # Danger: members that were out of reach while this router was cut off would be declared dead at
            # the first answer.
            self.suspicions.withdraw_own(now)
        self._last_answer_at = now
        self.probes.on_answer(name, now)

    def _on_probe_failure(self, record: Record, probe_started_at: int, now: int) -> None:
        """Accuse a router whose probe failed, unless it was probed by `_probe_unheard` only."""
        only_for_quorum = (
            record.name in self._sweep_probed_at
            and record.name not in self.members.subjects(self.name)
            and not self.suspicions.is_indirect_prober(record.name)
        )
        if self.state is MemberState.MEMBER and not only_for_quorum:
            self.suspicions.add_own(record, probe_started_at, now)

    def _is_isolated(self, now: int) -> bool:
        """Whether no probe was answered for about as long as a death takes: this router is then cut off
        itself.
        """
        last_contact = max(self._last_answer_at, self.local_health.awake_since)
        return (
            len(self.members) > 1
            and now - last_contact > self.settings.min_silence_ns - self.settings.probe_period_ns
        )

    # Suspicions of this router

    def _announce(self, now: int) -> None:
        """Merge this router's own record and queue it for dissemination."""
        alive = self.me.alive()
        self.members.merge(alive, now)
        self.send_queue.gossip.enqueue(alive, now)

    def _raise_incarnation(self, incarnation: int, now: int) -> None:
        """Raise the incarnation to at least this one, and announce it."""
        self.me.incarnation = max(self.me.incarnation, incarnation)
        self._announce(now)

    def _on_own_suspicion(self, update: Suspect | Dead, sender: str, now: int) -> None:
        """Refute a suspicion or death of this router, to the accuser, the sender and the observers first."""
        if update.incarnation >= self.me.incarnation:
            self.false_alarms += 1
            self.local_health.record_failure()
            self._raise_incarnation(update.incarnation + 1, now)
        accuser = update.accuser if isinstance(update, Suspect) else update.declared_by
        for name in dict.fromkeys([accuser, sender, *self.members.observers(self.name)]):
            if name != self.name:
                self._refute_until[name] = now + REFUTATION_NS

    def _repeat_refutations(self, now: int) -> None:
        """Send the refutation again at each tick until its time is over."""
        if not self.settings.refutation:
            self._refute_until.clear()
        if not self._refute_until:
            return
        others = self.members.sample(2, self._rng, (self.name,))
        for name in [*list(self._refute_until)[:MAX_REFUTATION_TARGETS], *others]:
            self.send_queue.send_to(name, Gossip(), now, [self.me.alive()])
        for name in [name for name, until in self._refute_until.items() if now >= until]:
            del self._refute_until[name]

    def _on_name_conflict(self, update: Alive | Dead | Left, now: int) -> None:
        """Resolve a record of this name with a later start, from an earlier process or from another router.

        While joining, at the same place, or after a death or departure, take a greater start number;
        otherwise this router is displaced.
        """
        same_place = isinstance(update, Alive) and update.place == self.me.place
        if self.state is MemberState.JOINING or same_place or not isinstance(update, Alive):
            self.me.start, self.me.incarnation = update.start + 1, 0
            self._announce(now)
            return
        self.state = MemberState.DISPLACED
        place = update.place if isinstance(update.place, int) else update.place.hex()
        self._emit("displaced", self.name, f"by start {update.start} at place {place}")
        self.probes.clear()

    # Received datagrams

    def receive(self, packet: Packet, source: Place, now: int) -> None:
        """Process the packet of a datagram whose envelope is valid."""
        self._detect_pause(now)
        self.received += 1
        if self.state in (MemberState.GONE, MemberState.DISPLACED):
            return
        if packet.sender == self.name:
            if packet.start != self.me.start:
                self._on_same_name(packet, source, now)
            return
        self._corrections = []
        for update in packet.updates:
            self._apply_update(update, now, packet.sender)
        record = self.members.records.get(packet.sender)
        if record is not None and record.start == packet.start:
            self.reach.record_direct(record.name, now)
            self.suspicions.on_datagram(record, now)
        if packet.digest == self.members.digest:
            self.views.adopt_number(packet.view, packet.digest)
        self._reply(packet, source, record, now)
        # Also with an unknown sender: it can then send all records.
        if (
            (record is None or record.live)
            and packet.digest != self.members.digest
            and now >= self._next_sync_at
        ):
            self._next_sync_at = now + SYNC_INTERVAL_NS
            self.send_queue.send(source, Sync(tuple(self.members.part_digests)), now)

    def _on_same_name(self, packet: Packet, source: Place, now: int) -> None:
        """Process a packet of another router with this name; the one that joined first is displaced."""
        if packet.start < self.me.start:
            if isinstance(packet.body, Ping):
                self.send_queue.send(source, Ack(packet.body.seq), now, [self.me.alive()])
            return
        for update in packet.updates:
            if isinstance(update, Alive) and update.name == self.name and update.start > self.me.start:
                self._on_name_conflict(update, now)
                return

    def _reply(self, packet: Packet, source: Place, record: Record | None, now: int) -> None:
        """Process the body of a packet and send the answer."""
        urgent: list[Update] = self._corrections
        if record is not None and record.start == packet.start and not record.live:
            urgent = [record.update(self.name), *urgent]
        match packet.body:
            case Ping(seq, bare):
                if record is None:
                    urgent = [self.me.alive(), *urgent]
                self.send_queue.send(source, Ack(seq), now, urgent, bare=bare)
            case Ack():
                if self.state is MemberState.JOINING and now - self._started_at >= JOIN_RETRY_NS:
                    self._become_member()
                if record is not None and record.start == packet.start:
                    self._on_answer(record.name, now)
            case IndirectPing(seq, name):
                self.probes.probe_for(packet.sender, seq, name, now)
            case IndirectResult(seq, name, answered):
                self._on_indirect_result(packet.sender, seq, name, answered, now)
            case Sync(digests):
                self._send_sync_reply(source, digests, now)
            case Gossip():
                if urgent:
                    self.send_queue.send(source, Gossip(), now, urgent)

    def _on_indirect_result(self, helper: str, seq: int, name: str, answered: bool, now: int) -> None:
        """Process a helper's result of an indirect probe."""
        self.probes.on_helper_reply(name, seq)
        record = self.members.records.get(name)
        if answered and record is not None:
            self.reach.record_relayed(name, helper, now)
            self.suspicions.add_witness(name, record.start, self.name, now)
            self._on_answer(name, now)

    def _apply_update(self, update: Update, now: int, sender: str) -> None:
        """Apply an update, either received or created here."""
        match update:
            case ZoneCut():
                if update.name != self.name and self.reach.merge_zone_cut(update):
                    self.send_queue.gossip.enqueue(update, now)
            case Witness():
                heard_at = now - update.ago_ms * NS_PER_MS
                self.reach.record_relayed(update.name, sender, heard_at)
                self.suspicions.add_witness(update.name, update.start, sender, heard_at)
            case Suspect():
                self._apply_suspicion(update, sender, now)
            case Alive() | Dead() | Left():
                if update.name == self.name:
                    self._apply_own_update(update, sender, now)
                elif (change := self.members.merge(update, now)) is not None:
                    self.send_queue.gossip.enqueue(update, now)
                    self._on_change(change)
                else:
                    self._queue_correction(update)

    def _apply_own_update(self, update: Alive | Dead | Left, sender: str, now: int) -> None:
        """Process an update about this router itself."""
        me = self.me
        if update.start > me.start:
            self._on_name_conflict(update, now)
        elif update.start < me.start:
            self._corrections.append(me.alive())
        elif isinstance(update, Dead):
            self._on_own_suspicion(update, sender, now)
        elif isinstance(update, Left):
            me.start += 1  # a departure of an earlier process was taken as one of this process
            self._announce(now)
        elif (
            update.place != me.place
            and self.state is not MemberState.JOINING
            and str(update.place) > str(me.place)
        ):
            # Both started with the same number: the order of their places decides.
            self._on_name_conflict(update, now)
        elif update.incarnation > me.incarnation or update.place != me.place:
            self._raise_incarnation(update.incarnation + 1, now)

    def _queue_correction(self, update: Alive | Dead | Left) -> None:
        """Queue this router's newer record as a correction for the sender of an older one."""
        record = self.members.records.get(update.name)
        if record is not None and order_of(update) < record.order and record.state is not State.SUSPECT:
            self._corrections.append(record.update(self.name))

    def _apply_suspicion(self, update: Suspect, sender: str, now: int) -> None:
        """Process a suspicion: refute one of this router, correct an outdated one, and add any other."""
        if update.name == self.name:
            if update.start == self.me.start:
                self._on_own_suspicion(update, sender, now)
            return
        record = self.members.records.get(update.name)
        if record is None or update.start != record.start or not record.live:
            return
        if update.incarnation < record.incarnation:
            self._corrections.append(record.update(self.name))
        else:
            self.suspicions.add_received(update, record, now)
            suspicion = self.suspicions.by_name.get(update.name)
            unconfirmed = suspicion is not None and len(suspicion.accusers) <= self.settings.confirmations
            if unconfirmed and self.settings.refutation and self.suspicions.is_indirect_prober(update.name):
                self.probes.start(update.name, now)

    def _on_change(self, change: Change) -> None:
        """Process a change of another router's record.

        Removes suspicions and probes that the change makes obsolete, removes a departed router from the view,
        and emits a MembershipEvent if the router joined, returned, restarted, died or left.
        """
        record, name = change.record, change.record.name
        self.suspicions.on_change(record)
        if not record.live:
            self.probes.cancel(name)
            self._refute_until.pop(name, None)
        was_live = change.previous_state is not None and change.previous_state <= State.SUSPECT
        if change.restarted and record.live:
            self._emit("restarted", name, f"start {record.start}")
            self.reach.forget(name)
        elif record.live and not was_live:
            was_dead = change.previous_state is State.DEAD
            self._emit("returned" if was_dead else "joined", name, f"incarnation {record.incarnation}")
        elif was_live and record.state is State.DEAD:
            self._emit("died", name, f"incarnation {record.incarnation}")
        elif was_live and record.state is State.LEFT:
            self.views.remove(name)
            self._emit("left", name)

    def _send_sync_reply(self, source: Place, digests: tuple[int, ...], now: int) -> None:
        """Send the records of all parts whose digests differ, within the limits on answers."""
        if len(digests) != DIGEST_PARTS:
            return
        if now // NS_PER_S != self._sync_replies_second:
            self._sync_replies_second, self._sync_replies = now // NS_PER_S, 0
        parts = [part for part in range(DIGEST_PARTS) if digests[part] != self.members.part_digests[part]]
        self._rng.shuffle(parts)
        updates: list[Update] = []
        for part in parts:
            # Danger: in a fixed order, records beyond the size of one answer would never be sent.
            records = list(self.members.records_in_part(part))
            self._rng.shuffle(records)
            for record in records:
                updates.append(record.update(self.name))
                # Danger: without the suspicions, members across a partition would look alive to a router
                # that just started.
                updates += self.suspicions.updates_about(record.name, now)
        for _ in range(MAX_SYNC_PACKETS):
            if not updates or self._sync_replies >= MAX_SYNC_REPLIES_PER_S:
                break
            self._sync_replies += 1
            self.send_queue.send(source, Gossip(), now, updates, optional=True)

    # Views

    def _update_view(self, now: int) -> None:
        """Start a new view where the live members changed, and update the quorum state."""
        digest = self.members.digest
        changed = digest != self.views.view.digest
        live = frozenset(record.name for record in self.members.live()) if changed else None
        if self.views.update(digest, live, self.suspicions.deaths_pending, now):
            view = self.views.view
            self._emit("view", self.name, f"{view.number}: {len(view.members)} routers")
        # Danger: a router that just started or resumed has probed no member yet, and knows the others from
        # gossip only.
        just_started = now - self.local_health.awake_since < self.settings.min_silence_ns
        self._sweep_probed_at = {
            name: at for name, at in self._sweep_probed_at.items() if self.reach.heard_at(name) < at
        }
        timed_out_since = now - self.settings.probe_timeout_ns
        suspected = self.suspicions.by_name.keys() | {
            name for name, at in self._sweep_probed_at.items() if at < timed_out_since
        }
        if live is not None:
            # Danger: between the deaths and the view without the dead members, these are no longer
            # suspected.
            suspected |= self.views.view.members - live
        if self.views.update_quorum(self._is_isolated(now), just_started, suspected, now):
            views = self.views
            counts = f"{len(views.reference & views.view.members)} of {len(views.reference)}"
            self._emit("quorum", self.name, f"{views.quorum} ({counts})")
        if self.views.quorum is QuorumState.ISOLATED:
            self.local_health.score = max(self.local_health.score, 1)
