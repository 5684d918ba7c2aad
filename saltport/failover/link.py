"""Failover on the loop: messages by the peers' socket, the clock of leases, plans into the decisions."""

from __future__ import annotations

import asyncio
import logging
import random
from typing import Any, Protocol

from saltport.decisions.interface import NS_PER_S, ZonePlan
from saltport.decisions.topology import Evidence, Topology
from saltport.failover.agent import Agent
from saltport.failover.messages import decode, encode
from saltport.failover.settings import PIECE, FailoverSettings
from saltport.owners.link import OwnersLink, boot_clock
from saltport.peers.link import PeerLink

MARK = 0xC1  # the one byte that begins nothing else: what follows is of this part
TURN_S = 0.1

log = logging.getLogger("saltport")


class Reads(Protocol):
    """What failover needs of the decisions."""

    def tell(self, event: ZonePlan) -> None:
        """Follow this from now on."""

    def take_evidence(self) -> Evidence | None:
        """What was found since the last call."""


class FailoverLink:
    """One process's part in failover."""

    def __init__(
        self,
        loop: asyncio.AbstractEventLoop,
        topology: Topology,
        warm: int,
        peers: PeerLink,
        owners: OwnersLink,
        reads: Reads,
        seed: int,
    ) -> None:
        """`warm`: nanoseconds in which a cold server gets warm."""
        self._loop, self._peers, self._owners, self._reads = loop, peers, owners, reads
        self.agent = Agent(
            peers.agent.name, topology, FailoverSettings(), random.Random(seed ^ 0xFA11), boot_clock(),
            self._may, warm, self._admit,
        )  # fmt: skip
        owners.wanted.append(PIECE)
        peers.marked[MARK] = self._arrived
        self._told: ZonePlan | None = None
        self._said: tuple[object, ...] = ()
        self._timer: asyncio.TimerHandle | None = None
        self._turn()

    def _may(self, now: int) -> int | None:
        member = self._owners.member
        return member.owner_lease.effect_epoch(PIECE, now) if member is not None else None

    def _admit(self, epoch: int) -> bool:
        member = self._owners.member
        return member is None or member.fence.admit(PIECE, epoch)

    def _turn(self) -> None:
        try:
            now, agent = boot_clock(), self.agent
            agent.turn([record.name for record in self._peers.agent.members.live()], now)
            if agent.report_due(now):
                found = self._reads.take_evidence()
                if found is not None:
                    agent.report(found, now)
            self._carry(now)
        finally:
            self._timer = self._loop.call_later(TURN_S, self._turn)

    def _arrived(self, sender: str, data: bytes) -> None:
        try:
            message = decode(data)
        except ValueError:
            return
        now = boot_clock()
        self.agent.receive(sender, message, now)
        self._carry(now)

    def _carry(self, now: int) -> None:
        for to, message in self.agent.take():
            self._peers.send_to(to, bytes([MARK]) + encode(message))
        told = self.agent.told(now)
        if told is not None and told != self._told:
            self._told = told
            self._reads.tell(told)
        self._say(now)

    def _say(self, now: int) -> None:
        """One line for each new plan, and for its end."""
        follower = self.agent.follower
        plan, holds = follower.plan, follower.holds(now)
        said = () if plan is None else (plan.age, holds)
        if plan is None or said == self._said:
            return
        self._said = said
        if not holds:
            log.warning(
                "failover: the owner has been silent for %d s: near first",
                follower.silent_for(now) // NS_PER_S,
            )
            return
        shares = ", ".join(f"{zone} {share:.0%}" for zone, share in self._shares(follower.end()) if share)
        log.info(
            "failover: plan %d.%d of %s (%s): reads go to %s within %.1f s", *plan.age, plan.by, plan.why,
            shares, plan.way_ms / 1e3,
        )  # fmt: skip

    def _shares(self, matrix: tuple[tuple[float, ...], ...]) -> list[tuple[str, float]]:
        topology = self.agent.topology
        return list(zip(topology.zones, matrix[topology.mine], strict=True))

    # What operators ask

    def view(self) -> dict[str, Any]:
        """What holds, why, and what the owner sees, where this router is the owner."""
        told = self.agent.view(boot_clock())
        orders = {str(order.id): order.text or "done" for order in self.agent.ordered.values()}
        return {**told, "orders": orders}

    def order(self, what: str, zone: str, way_ms: int, force: bool) -> int | None:
        """Have an operator's order carried out by the owner; its number, None: there is no such zone."""
        topology = self.agent.topology
        if zone and zone not in topology.places:
            return None
        log.info("failover: by hand: %s %s%s", what, zone, ", forced" if force else "")
        place = topology.places[zone] if zone else 0
        now = boot_clock()
        number = self.agent.order(what, place, way_ms, force, now)
        self._carry(now)
        return number

    def close(self) -> None:
        """Decide nothing more."""
        if self._timer is not None:
            self._timer.cancel()
