"""The suspicions known to this router, and the rules for declaring a death. No I/O."""

from __future__ import annotations

import zlib

from saltport.peers.members import Members, Record
from saltport.peers.messages import Dead, Gossip, State, Suspect, Witness
from saltport.peers.reach import Reach
from saltport.peers.send_queue import SendQueue
from saltport.peers.settings import NS_PER_MS, PeerSettings, ceil_ms
from saltport.peers.suspicion import Suspicion

WITNESS_INTERVAL_NS = 250 * NS_PER_MS  # minimum time between two notifications of a suspect's accusers
INDIRECT_PROBERS = 5  # number of members that probe a suspected router besides its observers
MANY_SUSPECTED_SHARE = 0.1  # share of all members from which many count as suspected
MIN_MASS_SUSPICION = 3  # smallest number of routers suspected at once that may have one common cause


class Suspicions:
    """All suspicions known to this router, by the name of the suspected router."""

    def __init__(
        self,
        me: str,
        suspicions: dict[str, Suspicion],
        members: Members,
        send_queue: SendQueue,
        reach: Reach,
        settings: PeerSettings,
    ) -> None:
        self._me, self.by_name, self._members = me, suspicions, members
        self._send_queue, self._reach, self._settings = send_queue, reach, settings
        self._mass_suspicion_until = 0

    @property
    def deaths_pending(self) -> bool:
        """Whether any suspected router has more than one accuser, so that it may be declared dead soon."""
        return any(len(suspicion.accusers) > 1 for suspicion in self.by_name.values())

    @property
    def many_suspected(self) -> bool:
        """Whether so many are suspected that a partition or a pause is likelier than that many deaths."""
        return len(self.by_name) >= max(MIN_MASS_SUSPICION, MANY_SUSPECTED_SHARE * len(self._members))

    def own_suspects(self) -> list[str]:
        """Return the routers that this router itself accuses, and therefore continues to probe."""
        return [name for name, suspicion in self.by_name.items() if self._me in suspicion.accusers]

    def withdraw_own(self, now: int) -> None:
        """Withdraw all accusations by this router, after it was cut off or paused itself."""
        for suspicion in self.by_name.values():
            suspicion.withdraw_accuser(self._me, now)

    def on_change(self, record: Record) -> None:
        """Remove a suspicion that a change of the record has superseded."""
        suspicion = self.by_name.get(record.name)
        if suspicion is not None and (
            not record.live or (record.start, record.incarnation) > (suspicion.start, suspicion.incarnation)
        ):
            del self.by_name[record.name]
            self._send_queue.gossip.drop_suspicions(record.name)

    def _get_or_create(self, record: Record, last_heard_at: int, now: int) -> Suspicion:
        """Return the suspicion against a record's present incarnation, created where missing."""
        suspicion = self.by_name.get(record.name)
        if suspicion is None or not suspicion.matches(record):
            suspicion = self.by_name[record.name] = Suspicion(
                record.start, record.incarnation, now, last_heard_at
            )
        return suspicion

    def add_own(self, record: Record, probe_started_at: int, now: int) -> None:
        """Accuse a router after a failed probe that started at `probe_started_at`."""
        last_heard_at = self._reach.heard_at(record.name)
        known = self.by_name.get(record.name)
        if known is None or not known.matches(record):
            # Danger: a router not probed for long must not count as silent since it was last heard.
            last_heard_at = max(last_heard_at, probe_started_at - self._settings.probe_period_ns)
        suspicion = self._get_or_create(record, last_heard_at, now)
        if suspicion.add_accuser(self._me, last_heard_at) or record.state is State.ALIVE:
            # The update carries the latest time that anyone heard it, not the prober's own.
            update = suspicion.to_update(record.name, self._me, now)
            self._members.merge(update, now)
            self._send_queue.gossip.enqueue(update, now)

    def add_received(self, update: Suspect, record: Record, now: int) -> None:
        """Add a received suspicion, which is about the record's incarnation or a later one."""
        last_heard_at = now - update.silent_ms * NS_PER_MS
        self._members.merge(update, now)
        suspicion = self._get_or_create(record, last_heard_at, now)
        is_new = suspicion.add_accuser(update.accuser, last_heard_at)
        heard_here_at = self._reach.direct_at.get(update.name, 0)
        if heard_here_at > last_heard_at and self._settings.refutation:
            suspicion.add_witness(self._me, heard_here_at)
            if heard_here_at > now - self._settings.min_silence_ns:
                self._notify_accuser(suspicion, update.name, update.accuser, now)
        if is_new and len(suspicion.accusers) <= self._settings.confirmations + 1:
            self._send_queue.gossip.enqueue(update, now)

    def updates_about(self, name: str, now: int) -> list[Suspect]:
        """Return the suspicion of a router as a list of at most one update."""
        suspicion = self.by_name.get(name)
        return (
            [suspicion.to_update(name, next(iter(suspicion.accusers)), now)]
            if suspicion is not None and suspicion.accusers
            else []
        )

    def is_indirect_prober(self, name: str) -> bool:
        """Whether this router is one of the few that also probe a suspected router.

        They are chosen by hash among the members not suspected, so that each side of a partition has some:
        otherwise a side with a single observer would need the long silence of a lone accuser.
        """
        own_hash = zlib.crc32(f"{name}/{self._me}".encode())
        higher_hashes = 0
        for record in self._members.live():
            if record.state is State.ALIVE and record.name not in (name, self._me):
                higher_hashes += zlib.crc32(f"{name}/{record.name}".encode()) > own_hash
                if higher_hashes >= INDIRECT_PROBERS:
                    return False
        return True

    def on_datagram(self, record: Record, now: int) -> None:
        """Record that a suspected router sent a datagram, and notify its accusers at a limited rate."""
        suspicion = self.by_name.get(record.name)
        if suspicion is None or suspicion.start != record.start:
            return
        accusers = list(suspicion.accusers)
        suspicion.add_witness(self._me, now)
        if self._settings.refutation and now - suspicion.notified_at >= WITNESS_INTERVAL_NS:
            suspicion.notified_at = now
            for accuser in accusers:
                self._notify_accuser(suspicion, record.name, accuser, now)

    def add_witness(self, name: str, start: int, witness: str, heard_at: int) -> None:
        """Record another router's statement that it heard a suspected one."""
        suspicion = self.by_name.get(name)
        if suspicion is not None and suspicion.start == start:
            suspicion.add_witness(witness, heard_at)

    def _notify_accuser(self, suspicion: Suspicion, name: str, accuser: str, now: int) -> None:
        """Inform an accuser when its subject was last heard directly.

        Danger: forwarding second-hand statements would let them circulate endlessly.
        """
        if accuser != self._me:
            ago_ms = ceil_ms(now - self._reach.direct_at.get(name, 0))
            statement = Witness(name, suspicion.start, suspicion.incarnation, ago_ms)
            self._send_queue.send_to(accuser, Gossip(), now, [statement])

    def take_deaths(self, last_answer_at: int, now: int) -> list[Dead]:
        """Remove outdated suspicions, and return the deaths to declare.

        A suspect is dead when this router itself accuses it and it has been silent for long enough.
        `last_answer_at`: when any router last answered this one; without a recent answer it declares no
        deaths.
        """
        settings, count = self._settings, len(self._members)
        corroborated = sum(len(entry.accusers) > 1 for entry in self.by_name.values())
        if corroborated >= MIN_MASS_SUSPICION and corroborated >= settings.mass_suspicion_share * count:
            self._mass_suspicion_until = now + settings.min_silence_ns
        # Danger: as paused routers resume, the last ones still suspected would be too few for a mass
        # suspicion and be declared dead.
        mass_suspicion = now < self._mass_suspicion_until
        deaths = []
        for name, suspicion in list(self.by_name.items()):
            record = self._members.records.get(name)
            if record is None or record.state is not State.SUSPECT or not suspicion.matches(record):
                del self.by_name[name]
            elif now >= suspicion.death_due_at(
                settings, count, self._credible_accusers(suspicion), mass_suspicion
            ) and (not settings.refutation or self._may_declare_dead(name, suspicion, last_answer_at, now)):
                deaths.append(Dead(name, record.start, record.incarnation, self._me))
        return deaths

    def _may_declare_dead(self, name: str, suspicion: Suspicion, last_answer_at: int, now: int) -> bool:
        """Whether this router itself accuses the subject, has not heard it for long enough, and was
        answered recently itself.
        """
        min_silence_ns = self._settings.min_silence_ns
        return (
            self._me in suspicion.accusers
            and self._reach.heard_at(name) <= now - min_silence_ns + self._settings.probe_period_ns
            and last_answer_at > now - min_silence_ns // 2
        )

    def _credible_accusers(self, suspicion: Suspicion) -> int:
        """Return the number of accusers that are not suspected themselves."""
        records = (self._members.records.get(name) for name in suspicion.accusers)
        return sum(record is not None and record.state is State.ALIVE for record in records)
