"""Connects failover to the event loop, the peers' socket, the owned tasks and the routing decisions."""

from __future__ import annotations

import asyncio
import logging
import random
from typing import Any, Protocol

from saltport.decisions.interface import NS_PER_S, ZonePlan
from saltport.decisions.topology import Evidence, Topology
from saltport.failover.agent import Agent
from saltport.failover.messages import decode, encode
from saltport.failover.settings import TASK_NAME, FailoverSettings
from saltport.owners.link import OwnersLink, boot_clock
from saltport.peers.link import PeerLink

MESSAGE_PREFIX = (
    0xC1  # first byte of a failover message in a datagram of the peers; no other message begins with it
)
TICK_INTERVAL_S = 0.1  # time between two calls of the agent's periodic work

log = logging.getLogger("saltport")


class ReadRouting(Protocol):
    """The part of the routing decisions that failover needs."""

    def dispatch(self, event: ZonePlan) -> None:
        """Distribute reads by this plan from now on."""

    def take_evidence(self) -> Evidence | None:
        """Return the evidence collected since the last call, if there is any."""


class FailoverLink:
    """Runs the failover agent of this process."""

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
        """Start the agent; `warm_up_ns` is how long a cold server takes to warm up."""
        self._loop, self._peers, self._owners, self._read_routing = loop, peers, owners, read_routing
        self.agent = Agent(
            peers.agent.name, topology, FailoverSettings(), random.Random(seed ^ 0xFA11), boot_clock(),
            self._current_epoch, warm_up_ns, self._admit,
        )  # fmt: skip
        owners.wanted.append(TASK_NAME)
        peers.prefix_handlers[MESSAGE_PREFIX] = self._on_datagram
        self._last_zone_plan: ZonePlan | None = None
        self._last_logged: tuple[object, ...] = ()
        self._timer: asyncio.TimerHandle | None = None
        self._tick()

    def _current_epoch(self, now: int) -> int | None:
        """Return the epoch under which this router owns the failover task, or None if it does not."""
        member = self._owners.member
        return member.owner_lease.effect_epoch(TASK_NAME, now) if member is not None else None

    def _admit(self, epoch: int) -> bool:
        """Whether plans of this epoch may be applied: the fence has seen no later one of this task."""
        member = self._owners.member
        return member is None or member.fence.admit(TASK_NAME, epoch)

    def _tick(self) -> None:
        """Run the agent's periodic work and schedule the next call."""
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
        """Handle a failover message from a peer; invalid ones are ignored."""
        try:
            message = decode(data)
        except ValueError:
            return
        now = boot_clock()
        self.agent.receive(sender, message, now)
        self._flush(now)

    def _flush(self, now: int) -> None:
        """Send queued messages and pass a changed plan on to the routing decisions."""
        for to, message in self.agent.take_messages():
            self._peers.send_to(to, bytes([MESSAGE_PREFIX]) + encode(message))
        zone_plan = self.agent.zone_plan(now)
        if zone_plan is not None and zone_plan != self._last_zone_plan:
            self._last_zone_plan = zone_plan
            self._read_routing.dispatch(zone_plan)
        self._log_plan_change(now)

    def _log_plan_change(self, now: int) -> None:
        """Log a line for each new plan and for each time a plan stops being valid."""
        follower = self.agent.follower
        plan, binding = follower.plan, follower.is_binding(now)
        state = () if plan is None else (plan.version, binding)
        if plan is None or state == self._last_logged:
            return
        self._last_logged = state
        if not binding:
            log.warning(
                "failover: the plan's owner has been silent for %d s; moving reads to the nearest zones",
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
        """Return pairs of a zone name and the share of this router's zone's reads that go there."""
        topology = self.agent.topology
        return list(zip(topology.zones, matrix[topology.own_zone], strict=True))

    # Operators' commands

    def view(self) -> dict[str, Any]:
        """Return the current plan, order results and, at the owner, its evidence as a JSON object."""
        view = self.agent.view(boot_clock())
        orders = {str(result.id): result.text or "done" for result in self.agent.order_results.values()}
        return {**view, "orders": orders}

    def order(self, action: str, zone: str, transition_ms: int, force: bool) -> int | None:
        """Submit an operator's order to the owner of the failover task.

        Return the order's id, under which `view` shows the result, or None for an unknown zone. `action` is
        `evacuate` or `return`, which move the reads of `zone` within `transition_ms` (0: the default), or
        `freeze` or `thaw`, which stop and resume the making of plans for all zones. `force` evacuates a zone
        also where too many reads would be refused.
        """
        topology = self.agent.topology
        if zone and zone not in topology.zone_index:
            return None
        log.info("failover: operator's order: %s %s%s", action, zone, ", forced" if force else "")
        index = topology.zone_index[zone] if zone else 0
        now = boot_clock()
        number = self.agent.order(action, index, transition_ms, force, now)
        self._flush(now)
        return number

    def close(self) -> None:
        """Stop the periodic work of the agent."""
        if self._timer is not None:
            self._timer.cancel()
