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
from saltport.failover.settings import LEASE_NAME, FailoverSettings
from saltport.owners.link import OwnersLink, boot_clock
from saltport.peers.link import PeerLink

MESSAGE_PREFIX = 0xC1  # the one byte that begins nothing else: what follows is of this part
TICK_INTERVAL_S = 0.1

log = logging.getLogger("saltport")


class ReadRouting(Protocol):
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
        warm_up_ns: int,
        peers: PeerLink,
        owners: OwnersLink,
        read_routing: ReadRouting,
        seed: int,
    ) -> None:
        """`warm`: nanoseconds in which a cold server gets warm."""
        self._loop, self._peers, self._owners, self._read_routing = loop, peers, owners, read_routing
        self.agent = Agent(
            peers.agent.name, topology, FailoverSettings(), random.Random(seed ^ 0xFA11), boot_clock(),
            self._current_epoch, warm_up_ns, self._admit,
        )  # fmt: skip
        owners.wanted.append(LEASE_NAME)
        peers.marked[MESSAGE_PREFIX] = self._on_datagram
        self._last_zone_plan: ZonePlan | None = None
        self._last_logged: tuple[object, ...] = ()
        self._timer: asyncio.TimerHandle | None = None
        self._tick()

    def _current_epoch(self, now: int) -> int | None:
        member = self._owners.member
        return member.tenure.may(LEASE_NAME, now) if member is not None else None

    def _admit(self, epoch: int) -> bool:
        member = self._owners.member
        return member is None or member.fence.admit(LEASE_NAME, epoch)

    def _tick(self) -> None:
        try:
            now, agent = boot_clock(), self.agent
            agent.tick([record.name for record in self._peers.agent.members.live()], now)
            if agent.report_due(now):
                evidence = self._read_routing.take_evidence()
                if evidence is not None:
                    agent.report(evidence, now)
            self._flush(now)
        finally:
            self._timer = self._loop.call_later(TICK_INTERVAL_S, self._tick)

    def _on_datagram(self, sender: str, data: bytes) -> None:
        try:
            message = decode(data)
        except ValueError:
            return
        now = boot_clock()
        self.agent.receive(sender, message, now)
        self._flush(now)

    def _flush(self, now: int) -> None:
        for to, message in self.agent.take_messages():
            self._peers.send_to(to, bytes([MESSAGE_PREFIX]) + encode(message))
        zone_plan = self.agent.zone_plan(now)
        if zone_plan is not None and zone_plan != self._last_zone_plan:
            self._last_zone_plan = zone_plan
            self._read_routing.tell(zone_plan)
        self._log_plan_change(now)

    def _log_plan_change(self, now: int) -> None:
        """One line for each new plan, and for its end."""
        follower = self.agent.follower
        plan, binding = follower.plan, follower.is_binding(now)
        state = () if plan is None else (plan.version, binding)
        if plan is None or state == self._last_logged:
            return
        self._last_logged = state
        if not binding:
            log.warning(
                "failover: the owner has been silent for %d s: near first",
                follower.owner_silence_ns(now) // NS_PER_S,
            )
            return
        shares = ", ".join(
            f"{zone} {share:.0%}" for zone, share in self._shares(follower.final_matrix()) if share
        )
        log.info(
            "failover: plan %d.%d of %s (%s): reads go to %s within %.1f s", *plan.version, plan.owner,
            plan.reason, shares, plan.transition_ms / 1e3,
        )  # fmt: skip

    def _shares(self, matrix: tuple[tuple[float, ...], ...]) -> list[tuple[str, float]]:
        topology = self.agent.topology
        return list(zip(topology.zones, matrix[topology.mine], strict=True))

    # What operators ask

    def view(self) -> dict[str, Any]:
        """What holds, why, and what the owner sees, where this router is the owner."""
        view = self.agent.view(boot_clock())
        orders = {str(result.id): result.text or "done" for result in self.agent.order_results.values()}
        return {**view, "orders": orders}

    def order(self, action: str, zone: str, transition_ms: int, force: bool) -> int | None:
        """Have an operator's order carried out by the owner; its number, None: there is no such zone."""
        topology = self.agent.topology
        if zone and zone not in topology.places:
            return None
        log.info("failover: by hand: %s %s%s", action, zone, ", forced" if force else "")
        index = topology.places[zone] if zone else 0
        now = boot_clock()
        number = self.agent.order(action, index, transition_ms, force, now)
        self._flush(now)
        return number

    def close(self) -> None:
        """Decide nothing more."""
        if self._timer is not None:
            self._timer.cancel()
