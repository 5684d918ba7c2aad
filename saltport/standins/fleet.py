"""A simulated fleet in one process: cache nodes, origins and the registry, and fault injection for them."""

from __future__ import annotations

import asyncio
import random
import time
from collections import OrderedDict
from collections.abc import Iterable
from typing import Any

from saltport.standins.faults import KINDS, Fault, FaultError, validated_figures
from saltport.standins.ledger import Ledger
from saltport.standins.model import StoredObject
from saltport.standins.node import Node
from saltport.standins.origin import Origin, hash_of
from saltport.standins.profile import Profile
from saltport.standins.registry import Entry, Registry, instance_entry, unix_ms

ZONES = ("a", "b", "c")
CELL_COUNT = 6  # number of cells (groups of servers in the registry) that the nodes are spread over
NODE_KIND, ORIGIN_KIND = "std-1c", "origin"  # machine types of cache nodes and origins in the registry
MAX_FILLED_NODES = 2  # nodes that store the origin's reply to one request
MAX_TRACKED_MISSES = 20_000  # limit of the requests whose missed nodes are remembered
REMOVAL_DELAY_S, ADD_DELAY_S = 0.5, 0.3  # time until the registry publishes a removed or an added node
# The delay of the event loop is measured once per interval; one above the threshold is written to the ledger.
LAG_INTERVAL_S, LAG_THRESHOLD_S = 0.05, 0.02


def zone_of(server: str) -> str:
    """Return the zone of a server, derived from its id."""
    return ZONES[hash_of(server) % len(ZONES)]


class Fleet:
    """Cache nodes, origins and a registry on loopback ports; the same seed gives the same workload."""

    def __init__(
        self, profile: Profile, nodes: int, routers: Iterable[str], ledger: Ledger, seed: int = 1
    ) -> None:
        self.profile, self.ledger = profile, ledger
        self._rng = random.Random(seed)
        self._missed_nodes: OrderedDict[str, list[Node]] = OrderedDict()
        self._replacements = 0
        self.nodes: dict[str, Node] = {}
        self._states: dict[str, str] = {}
        self._node_ids: dict[str, str] = {}
        """Maps a node's original id, its fault target, to the id of its present replacement."""
        self.registry = Registry(ledger)
        names = ("origin", "origin-2")[: profile.origins]
        self.origins = {
            name: Origin(name, profile, self, ledger, self._rng.getrandbits(32)) for name in names
        }
        self.origin = self.origins["origin"]
        for other in self.origins.values():
            other.versions = self.origin.versions
            if not profile.origins_apart:
                other.duplicates = self.origin.duplicates
        for number in range(nodes):
            node = self._new_node(f"n{number:03d}", cold=False)
            self._node_ids[node.id] = node.id
        self._routers = list(routers)
        self.active_faults: dict[str, Fault] = {}
        self._timers: set[asyncio.TimerHandle] = set()
        self._lag_timer: asyncio.TimerHandle | None = None

    # Lifecycle

    def open(self) -> dict[str, Any]:
        """Open all listeners and return their addresses."""
        for origin in self.origins.values():
            origin.peer.open()
            self._publish_state(origin.id, "up")
        for node in self.nodes.values():
            node.open()
            self._publish_state(node.id, "up")
        self._measure_lag(time.monotonic())
        return {
            "registries": {name: "{}:{}".format(*self.registry.listen(name)) for name in self._routers},
            "origin": "{}:{}".format(*self.origin.peer.address),
            "nodes": {node.id: "{}:{}".format(*node.peer.address) for node in self.nodes.values()},
        }

    def close(self) -> None:
        """Close all listeners and connections, and cancel scheduled faults."""
        for timer in self._timers:
            timer.cancel()
        if self._lag_timer is not None:
            self._lag_timer.cancel()
        for node in self.nodes.values():
            node.close()
        for origin in self.origins.values():
            origin.peer.close()
        self.registry.close()

    def _measure_lag(self, due: float) -> None:
        """Record delays of this process's event loop, which the audit must not attribute to a router."""
        lag = time.monotonic() - due
        if lag > LAG_THRESHOLD_S:
            self.ledger.write("lag", ns=int(lag * 1e9))
        self._lag_timer = asyncio.get_running_loop().call_later(
            LAG_INTERVAL_S, self._measure_lag, time.monotonic() + LAG_INTERVAL_S
        )

    def _new_node(self, node_id: str, cold: bool) -> Node:
        """Create a node with this id and add it to the fleet."""
        node = Node(node_id, self.profile, self, self.ledger, self._rng.getrandbits(32), cold)
        self.nodes[node_id] = node
        return node

    def _publish_state(self, server: str, state: str, delay: float = 0.0) -> None:
        """Set a server's lifecycle state, and have the registry publish it after `delay` seconds."""
        self._states[server] = state
        self.registry.change(self._entry(server, state), delay)

    def _entry(self, server: str, state: str) -> Entry:
        """Return the registry entry of a server in a lifecycle state."""
        number = hash_of(server)
        if server in self.origins:
            zone = ZONES[0] if server == self.origin.id else ZONES[2]
            return instance_entry(server, self.origins[server].peer.address, ORIGIN_KIND, state, zone, 0, 0)
        node = self.nodes[server]
        started = unix_ms(node.started) if node.started is not None else 0
        zone = zone_of(server)
        return instance_entry(server, node.peer.address, NODE_KIND, state, zone, number % CELL_COUNT, started)

    # State shared by the nodes and the origins

    def record_miss(self, request_id: str, node: Node) -> None:
        """Record that a node missed on this request, so that the origin's reply is stored there."""
        nodes = self._missed_nodes.setdefault(request_id, [])
        if len(nodes) < MAX_FILLED_NODES:
            nodes.append(node)
        while len(self._missed_nodes) > MAX_TRACKED_MISSES:
            self._missed_nodes.popitem(last=False)

    def fill(self, request_id: str, key: str, stored: StoredObject) -> None:
        """Store a value at the nodes that missed on this request, unless they are down or replaced."""
        for node in self._missed_nodes.pop(request_id, ()):
            if node.peer.listening and self.nodes.get(node.id) is node:
                node.store.put(key, stored)

    def invalidate(self, key: str) -> None:
        """Drop all cached copies of a written key, unless the profile's `origin_drops` is 0."""
        if not self.profile.origin_drops:
            return
        for node in self.nodes.values():
            node.store.remove(key)

    def warm(self, keys: Iterable[str]) -> None:
        """Store these keys at every node, as in a fleet that has served them before."""
        for key in keys:
            stored = StoredObject(self.origin.versions.get(key, 1), self.origin.size(key))
            for node in self.nodes.values():
                node.store.put(key, stored)

    # Faults

    def start_fault(self, kind: str, target: str = "", figures: dict[str, Any] | None = None) -> Fault:
        """Start a fault now and return it; raises FaultError if invalid or if the target has one already."""
        all_figures = validated_figures(kind, figures or {})
        fault_kind = KINDS[kind]
        if fault_kind.target != "node":
            target = fault_kind.target
        elif target not in self._node_ids:
            raise FaultError(f"{kind}: unknown node {target!r}")
        if target in self.active_faults:
            raise FaultError(f"{target} already has the fault {self.active_faults[target].kind}")
        fault = Fault(0.0, 0.0, kind, target, all_figures)
        self.ledger.write(
            "fault", fault=kind, target=target, server=self._node_ids.get(target, target), figures=all_figures
        )
        getattr(self, f"_start_{kind}")(target, all_figures)
        if fault_kind.seconds[1]:
            self.active_faults[target] = fault
        return fault

    def end_fault(self, target: str) -> None:
        """End the active fault of a target; raises FaultError if it has none."""
        fault = self.active_faults.pop(target, None)
        if fault is None:
            raise FaultError(f"{target!r} has no active fault")
        self.ledger.write("mended", fault=fault.kind, target=target)
        getattr(self, f"_end_{fault.kind}")(target)

    def schedule_faults(self, faults: Iterable[Fault]) -> None:
        """Start and end faults at their scheduled times, counted from now."""
        loop = asyncio.get_running_loop()
        for fault in faults:
            self._timers.add(loop.call_later(fault.at, self._start_scheduled, fault))
            if fault.until:
                self._timers.add(loop.call_later(fault.until, self._end_scheduled, fault))

    def _start_scheduled(self, fault: Fault) -> None:
        """Start a scheduled fault; record it as skipped if its target has another fault."""
        try:
            self.start_fault(fault.kind, fault.target, fault.figures)
        except FaultError as error:
            self.ledger.write("fault_skipped", fault=fault.kind, target=fault.target, why=str(error))

    def _end_scheduled(self, fault: Fault) -> None:
        """End a scheduled fault, if it is still active."""
        active = self.active_faults.get(fault.target)
        if active is not None and active.kind == fault.kind:
            self.end_fault(fault.target)

    def _node(self, target: str) -> Node:
        """Return the present node of a fault target, which is named by its original node's id."""
        return self.nodes[self._node_ids[target]]

    def _start_kill(self, target: str, figures: dict[str, Any]) -> None:
        """Crash a node; the registry lists it as removed after a delay."""
        node = self._node(target)
        node.crash()
        self._publish_state(node.id, "removed", REMOVAL_DELAY_S)

    def _end_kill(self, target: str) -> None:
        """Restart a crashed node, empty and cold, at its address."""
        node = self._node(target)
        node.restart()
        if not node.crashed_by_overload:
            # Delayed, as the removal may not have been published yet.
            self._publish_state(node.id, "up", REMOVAL_DELAY_S)

    def _start_freeze(self, target: str, figures: dict[str, Any]) -> None:
        """Suspend a node; its kernel still accepts connections and data."""
        self._node(target).peer.stop_responding(cut_off=False)

    def _start_cut_off(self, target: str, figures: dict[str, Any]) -> None:
        """Make a node unreachable: new connections to it time out."""
        self._node(target).peer.stop_responding(cut_off=True)

    def _end_freeze(self, target: str) -> None:
        """Let a node respond again."""
        self._node(target).peer.resume()

    _end_cut_off = _end_freeze

    def _start_refuse(self, target: str, figures: dict[str, Any]) -> None:
        """Let a node refuse new connections."""
        self._node(target).peer.refuse_connections()

    def _end_refuse(self, target: str) -> None:
        """Let a node accept connections again."""
        node = self._node(target)
        if not node.crashed_by_overload:
            node.peer.open()

    def _start_turn_away(self, target: str, figures: dict[str, Any]) -> None:
        """Let a node answer every request with -BUSY."""
        self._node(target).rejecting = True

    def _end_turn_away(self, target: str) -> None:
        """Let a node process requests again."""
        self._node(target).rejecting = False

    def _start_slow(self, target: str, figures: dict[str, Any]) -> None:
        """Lengthen all work of a node by the factor `figures["factor"]`."""
        self._node(target).cores.slowdown = figures["factor"]

    def _end_slow(self, target: str) -> None:
        """Let a node work at its normal speed again."""
        self._node(target).cores.slowdown = 1.0

    def _start_trickle(self, target: str, figures: dict[str, Any]) -> None:
        """Limit the speed of a node's replies to `figures["rate"]` bytes per second."""
        self._node(target).throttle_rate = figures["rate"]

    def _end_trickle(self, target: str) -> None:
        """Remove the limit on the speed of a node's replies."""
        self._node(target).throttle_rate = 0.0

    def _start_spoil(self, target: str, figures: dict[str, Any]) -> None:
        """Corrupt the share `figures["share"]` of a node's replies, by the corruption `figures["how"]`."""
        self._node(target).corruption = figures["how"], figures["share"]

    def _end_spoil(self, target: str) -> None:
        """Stop corrupting the replies of a node."""
        self._node(target).corruption = None

    def _start_drain(self, target: str, figures: dict[str, Any]) -> None:
        """Have the registry list a node as draining."""
        self._publish_state(self._node(target).id, "draining")

    def _end_drain(self, target: str) -> None:
        """Have the registry list a drained node as up again."""
        self._publish_state(self._node(target).id, "up")

    def _start_replace(self, target: str, figures: dict[str, Any], here: bool = False) -> None:
        """Replace a node by a cold one with a new id, at a new address or `here` at its address."""
        old = self._node(target)
        old.close()
        del self.nodes[old.id]
        # The removal entry is built before the address may be taken over by the new node.
        removed_entry = instance_entry(old.id, old.peer.address, NODE_KIND, "removed", ZONES[0], 0, 0)
        self._states.pop(old.id, None)
        self._replacements += 1
        new = self._new_node(f"{target}.{self._replacements}", cold=True)
        if here:
            new.peer.address = old.peer.address
        new.open()
        self._node_ids[target] = new.id
        self.registry.change(removed_entry, REMOVAL_DELAY_S)
        self._publish_state(new.id, "up", ADD_DELAY_S)

    def _start_replace_here(self, target: str, figures: dict[str, Any]) -> None:
        """Replace a node by a cold one with a new id at the same address."""
        self._start_replace(target, figures, here=True)

    def _start_flush(self, target: str, figures: dict[str, Any]) -> None:
        """Remove the share `figures["share"]` of the cached objects of all nodes."""
        for node in self.nodes.values():
            node.store.flush(figures["share"], self._rng)

    def _start_origin_slow(self, target: str, figures: dict[str, Any]) -> None:
        """Lengthen all work of the origin by the factor `figures["factor"]`."""
        self.origin.cores.slowdown = figures["factor"]

    def _end_origin_slow(self, target: str) -> None:
        """Let the origin work at its normal speed again."""
        self.origin.cores.slowdown = 1.0

    def _start_origin_down(self, target: str, figures: dict[str, Any]) -> None:
        """Crash the origin: it resets its connections and refuses new ones."""
        self.origin.crash()

    def _end_origin_down(self, target: str) -> None:
        """Restart the origin."""
        self.origin.restart()

    def _start_origin_full(self, target: str, figures: dict[str, Any]) -> None:
        """Let the origin answer every request with 503, as with a full queue."""
        self.origin.full = True

    def _end_origin_full(self, target: str) -> None:
        """Let the origin process requests again."""
        self.origin.full = False

    def _start_origin_spoil(self, target: str, figures: dict[str, Any]) -> None:
        """Corrupt the share `figures["share"]` of the origin's replies, as `figures["how"]` names."""
        self.origin.corruption = figures["how"], figures["share"]

    def _end_origin_spoil(self, target: str) -> None:
        """Stop corrupting the replies of the origin."""
        self.origin.corruption = None

    def _start_list_late(self, target: str, figures: dict[str, Any]) -> None:
        """Delay the publishing of all changes of the registry by `figures["delay"]` seconds."""
        self.registry.publish_delay_s = figures["delay"]

    def _end_list_late(self, target: str) -> None:
        """Let the registry publish changes without additional delay again."""
        self.registry.publish_delay_s = 0.0

    def _start_list_down(self, target: str, figures: dict[str, Any]) -> None:
        """Stop the registry: it resets its connections and refuses new ones."""
        self.registry.stop()

    def _end_list_down(self, target: str) -> None:
        """Let the registry accept connections again."""
        self.registry.start()

    def _start_list_stale(self, target: str, figures: dict[str, Any]) -> None:
        """Let the registry withhold all changes."""
        self.registry.publishing_paused = True

    def _end_list_stale(self, target: str) -> None:
        """Let the registry publish the withheld changes and all further ones."""
        self.registry.resume_publishing()

    # Inspection

    def state(self) -> dict[str, Any]:
        """Return the present state of the nodes, the faults of other targets and the registry version."""
        now = time.monotonic_ns()
        nodes = {
            place: {
                "id": node_id,
                "address": "{}:{}".format(*self.nodes[node_id].peer.address),
                "listed": self._states.get(node_id, ""),
                "connections": len(self.nodes[node_id].peer.connections),
                "kept": len(self.nodes[node_id].store),
                "waiting": self.nodes[node_id].cores.queue_length(now),
                "warmth": round(self.nodes[node_id].warm_up.capacity_share(now), 3),
                "fallen": self.nodes[node_id].crashed_by_overload,
                "fault": self.active_faults[place].kind if place in self.active_faults else None,
            }
            for place, node_id in self._node_ids.items()
        }
        others = {
            target: fault.kind for target, fault in self.active_faults.items() if target not in self._node_ids
        }
        return {"nodes": nodes, "faults": others, "generation": self.registry.version}
