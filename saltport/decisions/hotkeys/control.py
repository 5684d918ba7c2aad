"""Replication of single hot keys: finds them, fills further nodes, invalidates copies, and releases them."""

from __future__ import annotations

import random
from collections import Counter, defaultdict
from collections.abc import Callable, Iterable
from itertools import islice
from typing import Any

from saltport.decisions import interface as api
from saltport.decisions import timer_tokens
from saltport.decisions.health import Node
from saltport.decisions.hotkeys.invalidation import Invalidations
from saltport.decisions.hotkeys.meter import KeyMeter, WatchedKey
from saltport.decisions.hotkeys.need import (
    copies_needed,
    interleave_zones,
    replication_threshold,
    spare_share,
)
from saltport.decisions.hotkeys.replicated_key import FILL_RETRY_PAUSE_NS, NO_EXPIRY_NS, ReplicatedKey
from saltport.decisions.interface import NS_PER_S, Fill, Outcome
from saltport.decisions.replication import Replication
from saltport.decisions.request import Request
from saltport.decisions.table import RANKING_DEPTH, SlotTable

SWEEP_INTERVAL_NS = NS_PER_S // 4  # between two removals of cooled keys and expired copies
REVIEW_INTERVAL_NS = NS_PER_S // 5  # between two reviews of how many nodes a key needs
NODES_PER_FETCH = 2  # the platform stores a fetched value at the first two nodes that missed
MAX_FILLING_READS = 4  # concurrent reads that fill nodes of one key
MAX_COPIES_PER_REPLY = 8  # nodes to which the value of one reply is written
MAX_COPIES_IN_FLIGHT = 256  # plain writes of all keys together
# Pauses between two fetches of a hot key for which the origin returned no value; doubled at each failure.
MIN_FETCH_PAUSE_NS, MAX_FETCH_PAUSE_NS = NS_PER_S // 10, 5 * NS_PER_S
SHARE_CHANGE_TOLERANCE = 0.05  # relative change of a key's share below which the nodes' load is not updated
MIN_SEND_WINDOW_NS, MAX_SEND_WINDOW_NS = NS_PER_S // 2, 5 * NS_PER_S  # two windows of sent reads are counted
MIN_READS_PER_NODE = 16  # on average, before a window may end early: fewer reads are mostly noise
MIN_HEADROOM = 0.05  # least unused share of a node's concurrency limit in the comparison of loads
REPLY_TIME_DIVISOR = 8  # 1 / this of a write's remaining time is reserved for sending its reply
MAX_VIEW_KEYS, MAX_KEY_CHARACTERS = 20, 80  # keys in a view; characters of a key in a view or log line
REFUSED_COPY_PAUSE_NS = 60 * NS_PER_S  # without copies to a node that refused a plain write
LIMIT_LOG_INTERVAL_NS = 60 * NS_PER_S  # between two log lines about a key that a limit keeps on its own node

DEPRECATED_COUNT_NAMES = {"spread": "replicated", "writes voided": "writes invalidated"}
"""Deprecated names of counts and their replacements; views show both for one version."""

Usable = Callable[[str, int], bool]


class HotKeys(Replication):
    """Replicates the keys whose load is too high for their own node to several nodes."""

    def __init__(
        self, settings: api.Settings, limits: api.HotKeySettings, caches: SlotTable, usable: Usable,
        rng: random.Random,
    ) -> None:  # fmt: skip
        self._limits, self._caches, self._usable, self._rng = limits, caches, usable, rng
        portions = {tenant.name: tenant.portion for tenant in settings.tenants}
        self._meter = KeyMeter({**portions, "": 0.0}, limits.capacity, 4 * limits.max_keys)
        total_portion = sum(portions.values()) or 1.0
        self._max_keys_by_tenant = {
            name: max(int(limits.max_keys * p / total_portion), 1) for name, p in portions.items()
        }
        self._max_keys_by_tenant[""] = max(limits.max_keys // 8, 1)
        self._replicated: dict[str, ReplicatedKey] = {}
        self._fills_by_write = limits.fill is Fill.WRITES
        self._invalidations = Invalidations(limits.lease, 0)
        self.apply_settings(settings)
        self._delayed_writes: dict[str, str] = {}
        """By request id, the keys of writes whose replies are delayed until invalidations have ended."""
        self._copies_in_flight: dict[str, dict[str, int]] = {}
        """By key and server, the start times of the plain writes under way."""
        self._released_copies: dict[str, dict[str, int]] = {}
        """By key and server, the expiry times of the copies of released keys."""
        self._replicated_share = 0.0  # of all replicated keys together
        self._share_by_node: defaultdict[Node, float] = defaultdict(float)
        """The share of all reads that replicated keys bring to each node."""
        self._sends: Counter[Node] = Counter()
        self._previous_sends: Counter[Node] = Counter()
        self._send_count = 0
        self._window_start = self._previous_window_ns = 0
        self._mean_latency = 0.0
        self._list_version = -1
        self._weight_updated_at, self._total_weight = -1, 0.0
        self._sweep_scheduled = False
        self._actions: list[api.Action] = []
        self._limit_logged_at: dict[str, int] = {}
        self._copies_paused_until: dict[str, int] = {}  # by server, after a copy to it failed
        self.counts: Counter[str] = Counter()

    # Detection

    def apply_settings(self, settings: api.Settings) -> None:
        """Apply the deadlines of new settings; the tenants' portions of the keys are fixed at the start."""
        # Danger: reads that began under earlier settings keep their deadlines, and copy their values as late.
        read_time = max(c.deadline for c in settings.classes) + min(c.aim for c in settings.classes)
        self._invalidations.max_read_time = max(self._invalidations.max_read_time, read_time)

    def arrived(self, request: Request, tenant: str, now: int) -> None:
        """Count a read and attach its key's record to it; for a write, stop copying the key's value."""
        key = request.key
        if key is None:
            return
        if request.write:
            if self._fills_by_write:
                self._invalidations.write_begins(key)
                self._schedule_sweep()
            return
        if self._list_version != self._caches.version:
            self._update_node_list(now)
        watched = self._meter.add(tenant, key, request.slot, now)
        if watched is None:
            return
        request.replication_state = watched
        if not self._sweep_scheduled:
            self._schedule_sweep()
        replicated = watched.replicated
        if isinstance(replicated, ReplicatedKey):
            if now >= replicated.review_at:
                self._review(watched, replicated, now)
        elif now >= watched.review_at:
            watched.review_at = now + REVIEW_INTERVAL_NS // 2
            if self._meter.share(watched) > self._meter.threshold:
                self._replicate_if_needed(watched, now)

    def _update_node_list(self, now: int) -> None:
        """Apply a changed list of cache nodes to the state that is derived from it.

        This recomputes the total weight and the share of reads above which a key is replicated, and stops
        waiting for invalidations at removed nodes. At its next read, each replicated key is reviewed: the
        number of its nodes is computed again, and nodes are assigned.
        """
        self._list_version = self._caches.version
        nodes = self._caches.nodes
        self._update_total_weight(now)
        min_weight = min((node.weight for node in nodes.values()), default=1.0)
        self._meter.threshold = replication_threshold(
            min_weight / (sum(node.weight for node in nodes.values()) or 1.0), self._limits.fair_shares
        )
        self._actions += self._invalidations.retain_servers(nodes, now)
        for key in list(self._replicated):
            self._replicated[key].review_at = 0

    def _update_total_weight(self, now: int) -> None:
        """Update the sum of the nodes' weights, reduced for nodes that are still cold."""
        self._weight_updated_at = now
        self._total_weight = sum(self._weight(node, now) for node in self._caches.nodes.values())

    def _weight(self, node: Node, now: int) -> float:
        """Return a node's weight, reduced while the node is cold."""
        return node.weight * self._caches.slow_start_factor(node, now)

    # Choice of nodes

    def _eligible_nodes(self, slot: int, now: int) -> list[Node]:
        """Return the nodes that may get a key of this slot, its own first: the same at every router."""
        ranking = self._caches.rank(slot, now, 2 * self._limits.max_copies)[: 2 * self._limits.max_copies]
        return interleave_zones(ranking)[: self._limits.max_copies]

    def _nodes_needed(self, watched: WatchedKey, candidates: list[Node], share: float, now: int) -> int:
        """Return how many of the candidates, in their order, a key with this share of all reads needs."""
        if now - self._weight_updated_at >= NS_PER_S:
            self._update_total_weight(now)
        # The unused part of a node's concurrency limit changes within seconds and says nothing of the node's
        # size, so it only affects the choice of a node for each read.
        total = self._total_weight or 1.0
        replicated = self._replicated.get(watched.key)
        own_shares = {}
        if replicated is not None:
            own_shares = dict.fromkeys(replicated.members, replicated.share / max(len(replicated.members), 1))
        hot_share = min(
            self._replicated_share + share - (replicated.share if replicated is not None else 0.0), 1.0
        )
        share_by_node = self._share_by_node
        spare_shares = (
            spare_share(
                self._weight(node, now) / total,
                hot_share,
                share_by_node.get(node, 0.0) - own_shares.get(node, 0.0),
                self._limits.fair_shares,
            )
            for node in candidates
        )
        return copies_needed(share, spare_shares)

    def _add_to_node_shares(self, replicated: ReplicatedKey, sign: int) -> None:
        """Add (sign 1) or subtract (sign -1) the share that a replicated key brings to each of its nodes."""
        self._replicated_share += sign * replicated.share
        part = sign * replicated.share / max(len(replicated.members), 1)
        for node in replicated.members:
            self._share_by_node[node] += part
            if sign < 0 and self._share_by_node[node] < 1e-9:
                del self._share_by_node[node]

    def _usable_nodes(self, nodes: Iterable[Node], now: int) -> list[Node]:
        """Return the nodes that may receive requests now, in the given order."""
        return [node for node in nodes if self._usable(node.entry.id, now)]

    def _replicate_if_needed(self, watched: WatchedKey, now: int) -> None:
        """Replicate a key above the threshold if it needs a second node and no limit forbids it."""
        candidates = self._usable_nodes(self._eligible_nodes(watched.slot, now), now)
        need = self._nodes_needed(watched, candidates, self._meter.share(watched), now)
        if need < 2:
            return
        limit = self._make_room(watched, now)
        if limit:
            self.counts["at limit"] += 1
            if now - self._limit_logged_at.get(watched.key, -LIMIT_LOG_INTERVAL_NS) >= LIMIT_LOG_INTERVAL_NS:
                self._limit_logged_at[watched.key] = now
                self._log(watched.key, f"needs {need} nodes but stays on one: {limit}")
            return
        replicated = ReplicatedKey(watched.key, watched.slot, watched.tenant, now)
        watched.replicated = self._replicated[watched.key] = replicated
        for server, until in self._released_copies.pop(watched.key, {}).items():
            replicated.copy_expiry[server] = until
        self.counts["replicated"] += 1
        self._review(watched, replicated, now)
        self._log(watched.key, f"replicated to {replicated.copies} nodes: {replicated.why}")

    def _make_room(self, watched: WatchedKey, now: int) -> str:
        """Return a description of the limit that forbids to replicate a further key, or "" if none does.

        At the limit on the number of keys, the replicated key with the lowest share is released if that share
        is less than half of the new key's.
        """
        if watched.size > self._limits.max_value and self._fills_by_write:
            return f"its value of {watched.size} bytes exceeds the longest value that is copied"
        of_tenant = [rival for rival in self._replicated.values() if rival.tenant == watched.tenant]
        max_keys = self._max_keys_by_tenant.get(watched.tenant, self._max_keys_by_tenant[""])
        if len(of_tenant) >= max_keys:
            rivals, limit = (
                of_tenant,
                f"tenant {watched.tenant or '(none)'} has {max_keys} replicated keys, its maximum",
            )
        elif len(self._replicated) >= self._limits.max_keys:
            rivals, limit = (
                list(self._replicated.values()),
                f"{self._limits.max_keys} keys are replicated, the configured maximum",
            )
        else:
            return ""
        coolest = min(rivals, key=lambda rival: self._meter.share(self._meter.watched[rival.key]))
        if 2 * self._meter.share(self._meter.watched[coolest.key]) >= self._meter.share(watched):
            return limit
        self._release(coolest, "a hotter key takes its place", now)
        return ""

    def _review(self, watched: WatchedKey, replicated: ReplicatedKey, now: int) -> None:
        """Recompute how many nodes a replicated key needs, and assign them."""
        replicated.review_at = now + REVIEW_INTERVAL_NS
        if replicated.list_version != self._caches.version or now - replicated.ranked_at >= NS_PER_S:
            # An unchanged list is ranked again each second too: cold nodes rise as they warm up.
            replicated.list_version, replicated.ranked_at = self._caches.version, now
            replicated.eligible = self._eligible_nodes(replicated.slot, now)
        candidates = self._usable_nodes(replicated.eligible, now)
        share = self._meter.share(watched)
        need, max_nodes = (
            self._nodes_needed(watched, candidates, share, now),
            self._max_nodes(watched, replicated),
        )
        before = replicated.copies
        replicated.update_copies(min(need, max_nodes), now)
        replicated.copies = min(replicated.copies, max_nodes)  # limits apply at once, without a release delay
        if replicated.copies != before or not replicated.why:
            replicated.why = f"{share:.1%} of all reads, {share * len(self._caches.nodes):.1f} fair shares"
        members = candidates[: replicated.copies]
        moved = members != replicated.members
        if moved or abs(share - replicated.share) > replicated.share * SHARE_CHANGE_TOLERANCE:
            self._add_to_node_shares(replicated, -1)
            replicated.share = share
            if moved:
                replicated.assign(members, now)
            self._add_to_node_shares(replicated, 1)
        elif now - replicated.assigned_at >= NS_PER_S:
            replicated.assign(members, now)  # moves members with an expired copy to `absent`

    def _max_nodes(self, watched: WatchedKey, replicated: ReplicatedKey) -> int:
        """Return how many nodes the limits on bytes allow this key."""
        if watched.size > self._limits.max_value and self._fills_by_write:
            return 1
        if not watched.size:
            return self._limits.max_copies
        others = self._copied_bytes() - self._copied_bytes(replicated)
        return max(int((self._limits.max_bytes - others) // watched.size) + 1, 1)

    def _copied_bytes(self, only: ReplicatedKey | None = None) -> int:
        """Return the bytes of the copies outside the slots' own nodes, of all replicated keys or of one."""
        keys = self._replicated.values() if only is None else (only,)
        return sum((key.copies - 1) * self._meter.watched[key.key].size for key in keys)

    # Routing

    def candidates(self, request: Request, now: int) -> list[Node]:
        """Return the nodes for a read: the less loaded of two random copies first, then the slot's ranking.

        A read that fills nodes visits a member without a copy before these.
        """
        replicated = request.replication_state.replicated if request.replication_state is not None else None
        doubtful = (
            self._invalidations.in_doubt(request.key)
            if self._fills_by_write and request.key is not None
            else None
        )
        if replicated is None:
            ranking = self._caches.rank(request.slot, now, RANKING_DEPTH)
            return [node for node in ranking if node.entry.id not in doubtful] if doubtful else ranking
        if replicated.list_version != self._caches.version:
            self._review(request.replication_state, replicated, now)
        chosen: list[Node] = []
        if not self._fills_by_write and replicated.absent:
            chosen = self._next_node_to_fill(request, replicated, now)
        ready = replicated.ready
        if ready:
            first, second = ready.sample_two(self._rng)
            if self._expected_load(second, now) < self._expected_load(first, now):
                first, second = second, first
            chosen += (first, second, replicated.members[0])
        chosen += self._caches.rank(replicated.slot, now, RANKING_DEPTH)[:RANKING_DEPTH]
        return [node for node in chosen if node.entry.id not in doubtful] if doubtful else chosen

    def _next_node_to_fill(self, request: Request, replicated: ReplicatedKey, now: int) -> list[Node]:
        """Return a list of the member without a copy that a read visits next; empty if it fills none."""
        assigned = replicated.filling_reads.get(request.id)
        if assigned is None:
            if (
                request.sends
                or now < replicated.fill_after
                or len(replicated.filling_reads) >= MAX_FILLING_READS
            ):
                return []
            taken = {node for nodes in replicated.filling_reads.values() for node in nodes}
            # In ranking order, so that the highest-ranked members get their copy first.
            free = (node for node in replicated.members if node in replicated.absent and node not in taken)
            assigned = list(islice(free, NODES_PER_FETCH))
            if assigned:
                replicated.filling_reads[request.id] = assigned
        return [node for node in assigned if node not in request.failed][:1]

    def _expected_load(self, node: Node, now: int) -> float:
        """Return this router's current and expected requests at a node, relative to its free capacity."""
        sends = self._sends[node] + self._previous_sends[node]
        span = max(now - self._window_start + self._previous_window_ns, 1)
        weight = self._weight(node, now) * max(1.0 - node.load / node.limit.limit, MIN_HEADROOM)
        return (node.load + sends * self._mean_latency / span) / weight

    def sent(self, request: Request, node: Node) -> None:
        """Count a read sent to a node; all keys count, so that new hot keys get idle nodes at once."""
        self._sends[node] += 1
        self._send_count += 1
        if request.sent_at - self._window_start >= MIN_SEND_WINDOW_NS:
            self._rotate_send_window(request.sent_at)

    def missed(self, request: Request, node: Node, now: int) -> bool:
        """Record that a node lacks the key of a read; return whether the read tries another node next.

        Otherwise it is fetched from the origin. A read that was chosen to fill nodes (`filling_reads`) visits
        all nodes that were assigned to it then, so that the fetched value is stored at each of them. Any
        other read tries at most one more node, if one of the key's other nodes has a copy.
        """
        watched = request.replication_state
        replicated = watched.replicated if watched is not None else None
        if replicated is None or not replicated.members:
            return False
        replicated.remove_copy(node)
        if request.sends + 2 > request.attempts:
            return False  # the last attempt is reserved for the origin
        if request.id in replicated.filling_reads:
            visited = (*request.failed, node)
            return any(target not in visited for target in replicated.filling_reads[request.id])
        # Only one more node: if all nodes have lost the key, trying each of them would delay the read.
        return not request.failed and any(other is not node for other in replicated.ready)

    def bypasses_coalescing(self, request: Request) -> bool:
        """Whether a read fills nodes, so that it asks the origin even while its key is being fetched."""
        replicated = request.replication_state.replicated if request.replication_state is not None else None
        return replicated is not None and request.id in replicated.filling_reads

    def refusal_reason(self, request: Request, now: int) -> api.Reason | None:
        """Return why a read that no node answered is not fetched from the origin, or None if it is."""
        paused = request.replication_state is not None and request.replication_state.fetch_after > now
        return api.Reason.FETCH_PAUSED if paused else None

    # Ends of attempts, requests and copies

    def ended(self, request: Request, node: Node, event: api.AttemptEnded, fetched: bool, now: int) -> None:
        """Record an attempt's result; copy the value of a read's reply, invalidate copies after a write."""
        if request.write:
            if fetched and self._fills_by_write and request.key is not None:
                self._write_ended(request, event, now)
            return
        watched = request.replication_state
        if watched is None:
            return
        if fetched:
            if event.outcome is Outcome.OK:
                watched.fetch_failures = watched.fetch_after = 0
            elif event.outcome not in (Outcome.CANCELLED, Outcome.NOT_SENT) and not event.connection_reused:
                # Danger: without a pause, each read of a hot key that has no value causes a fetch.
                pause = min(MIN_FETCH_PAUSE_NS << min(watched.fetch_failures, 8), MAX_FETCH_PAUSE_NS)
                watched.fetch_failures += 1
                watched.fetch_after = now + pause
                self.counts["fetch pauses"] += 1
        if event.outcome is not Outcome.OK:
            return
        watched.size = event.size or watched.size
        if not fetched:
            watched.mean_latency += (event.latency - watched.mean_latency) / 16
            self._mean_latency += (event.latency - self._mean_latency) / 64
        replicated = watched.replicated
        if not isinstance(replicated, ReplicatedKey):
            return
        if not fetched and node in replicated.absent:
            replicated.add_copy(node, now + self._limits.lease // 2 if self._fills_by_write else NO_EXPIRY_NS)
        if self._fills_by_write and event.size:
            self._copy_value(request, replicated, event.size, now)

    def _copy_value(self, request: Request, replicated: ReplicatedKey, size: int, now: int) -> None:
        """Write the value of a reply to members without a copy and to those whose copy expires soon."""
        if size > self._limits.max_value or not self._invalidations.may_copy(replicated.key, request.sent_at):
            return
        # Danger: if all copies expire together, all reads of the key go to the slot's own node.
        expiring = replicated.take_expiring(now + self._limits.lease // 2, MAX_COPIES_PER_REPLY)
        if not expiring and not replicated.absent:
            return
        in_flight = self._copies_in_flight.setdefault(replicated.key, {})
        doubtful = self._invalidations.in_doubt(replicated.key)
        budget = min(
            MAX_COPIES_PER_REPLY, MAX_COPIES_IN_FLIGHT - sum(map(len, self._copies_in_flight.values()))
        )
        for node in (*expiring, *islice(replicated.absent, len(in_flight) + MAX_COPIES_PER_REPLY)):
            if budget <= 0:
                break
            server = node.entry.id
            if server in in_flight or server in doubtful or server in self._copies_paused_until:
                continue
            if not self._usable(server, now):
                continue
            in_flight[server] = now
            budget -= 1
            self.counts["copies"] += 1
            self._actions.append(api.Copy(request.id, replicated.key, server, self._limits.lease))
        if not in_flight:
            del self._copies_in_flight[replicated.key]

    def done(self, request: Request, stored: bool, now: int) -> None:
        """Record the end of a request; the nodes that a read has filled have a copy from now on.

        `stored`: whether the value that was fetched for the read was stored at the nodes that missed.
        """
        if request.write:
            if self._fills_by_write and request.key is not None:
                if self._delayed_writes.pop(request.id, None) is not None:
                    self._invalidations.cancel_answer(request.key, request.id)
                self._invalidations.write_ends(request.key, now)
            return
        replicated = request.replication_state.replicated if request.replication_state is not None else None
        visited = replicated.filling_reads.pop(request.id, None) if replicated is not None else None
        if replicated is None or visited is None:
            return
        if not stored:
            replicated.fill_after = now + FILL_RETRY_PAUSE_NS
            return
        self.counts["fills"] += 1
        for node in visited:
            if node in replicated.absent:
                replicated.add_copy(node, NO_EXPIRY_NS)

    def on_event(self, event: api.CopyEnded | api.InvalidationEnded | api.ZonePlan, now: int) -> None:
        """Record the end of a copy or an invalidation."""
        if isinstance(event, api.InvalidationEnded):
            self._actions += self._invalidations.invalidation_ended(event, now)
        if not isinstance(event, api.CopyEnded):
            return
        key, server = event.key, event.server
        in_flight = self._copies_in_flight.get(key, {})
        started_at = in_flight.pop(server, now)
        if not in_flight:
            self._copies_in_flight.pop(key, None)
        self._actions += self._invalidations.copy_ended(key, server, event.outcome, now)
        if event.outcome is not Outcome.OK:
            self.counts["copies failed"] += 1
            self._pause_copies(server, event.outcome, now)
        if event.outcome not in (Outcome.OK, Outcome.TIMEOUT, Outcome.RESET):
            return
        until = started_at + self._limits.lease
        replicated, node = self._replicated.get(key), self._caches.nodes.get(server)
        if replicated is None:
            self._released_copies.setdefault(key, {})[server] = until
        elif (
            event.outcome is Outcome.OK and node is not None and self._invalidations.may_copy(key, started_at)
        ):
            # A quarter of the lease is subtracted, so that a copy is renewed before it expires at the node:
            # otherwise a burst of reads could meet nodes whose copies have all expired.
            replicated.add_copy(node, until - self._limits.lease // 4)
        else:
            replicated.copy_expiry[server] = 0

    def _pause_copies(self, server: str, outcome: Outcome, now: int) -> None:
        """Send no copies to a server for a while after one failed, for longer if the server refused it."""
        refused = outcome is Outcome.ERROR
        if refused and server not in self._copies_paused_until:
            self._actions.append(api.Log(f"{server}: takes no plain writes: it gets no copies of hot keys"))
        self._copies_paused_until[server] = now + (REFUSED_COPY_PAUSE_NS if refused else FILL_RETRY_PAUSE_NS)

    # Writes

    def defers_answer(self, request: Request) -> bool:
        """Whether the reply to a write is delayed until the copies of its key are invalidated."""
        return self._fills_by_write and request.key is not None

    def _write_ended(self, request: Request, event: api.AttemptEnded, now: int) -> None:
        """Invalidate a key at all nodes that may have a copy, after a write that may have been executed."""
        key = request.key
        if key is None or event.outcome.never_ran:
            return
        servers = {node.entry.id for node in self._eligible_nodes(request.slot, now)}
        servers |= self._servers_with_copies(key, now) & self._caches.nodes.keys()
        replicated = self._replicated.get(key)
        if replicated is not None:
            for node in list(replicated.ready):
                replicated.remove_copy(node)
            replicated.copy_expiry.clear()
        self._released_copies.pop(key, None)
        answer = None
        if event.outcome is Outcome.OK and not event.closed:
            answer = request.id
            self._delayed_writes[answer] = key
            left = request.deadline - now
            wait = max(left - left // REPLY_TIME_DIVISOR, 0)
            self._actions.append(api.SetTimer(wait, timer_tokens.delayed_answer(answer)))
        self.counts["writes invalidated"] += 1
        self._actions += self._invalidations.begin(
            key, servers, self._copies_in_flight.get(key, ()), answer, now
        )

    def _servers_with_copies(self, key: str, now: int) -> set[str]:
        """Return the servers known to have a copy, or to have had one that expired less than a lease ago."""
        replicated = self._replicated.get(key)
        copy_expiry = replicated.copy_expiry if replicated is not None else self._released_copies.get(key, {})
        return {server for server, until in copy_expiry.items() if until + self._limits.lease > now}

    def on_timer(self, token: str, now: int) -> None:
        """Handle the sweep timer, or the timer of a delayed write, whose reply can wait no longer."""
        if token == timer_tokens.HOT_KEY_SWEEP:
            self._sweep_scheduled = False
            self._sweep(now)
            return
        answer = timer_tokens.delayed_answer_id(token)
        if answer is not None and answer in self._delayed_writes:
            self._actions += self._invalidations.answer_now(self._delayed_writes[answer], answer, now)

    # Release and expiry

    def _schedule_sweep(self) -> None:
        """Set the timer of the next `_sweep`, unless it is set already."""
        if not self._sweep_scheduled:
            self._sweep_scheduled = True
            self._actions.append(api.SetTimer(SWEEP_INTERVAL_NS, timer_tokens.HOT_KEY_SWEEP))

    def _sweep(self, now: int) -> None:
        """Review all replicated keys, release the cooled ones, and drop what has expired."""
        self._meter.sweep(now)
        for key, replicated in list(self._replicated.items()):
            self._review(self._meter.watched[key], replicated, now)
            if replicated.copies < 2:
                lasted = (now - replicated.created_at) / NS_PER_S
                self._release(replicated, f"on one node again after {lasted:.0f} s", now)
        for key, copy_expiry in list(self._released_copies.items()):
            for server in [server for server, until in copy_expiry.items() if now >= until]:
                del copy_expiry[server]
            if not copy_expiry:
                del self._released_copies[key]
        for server in [server for server, until in self._copies_paused_until.items() if now >= until]:
            del self._copies_paused_until[server]
        for key in [key for key, at in self._limit_logged_at.items() if now - at >= LIMIT_LOG_INTERVAL_NS]:
            del self._limit_logged_at[key]
        self._actions += self._invalidations.sweep(self._caches.nodes, now)
        if self._replicated or self._meter.watched or self._released_copies or not self._invalidations.idle:
            self._schedule_sweep()

    def _rotate_send_window(self, now: int) -> None:
        """End the window of sent reads if it has enough reads or its maximum length, and begin the next."""
        # Danger: at two reads a second for each node, the counts of half a second are mostly noise: a node
        # with many slots of its own then gets as many reads of a hot key as one with few.
        age = now - self._window_start
        if age >= MAX_SEND_WINDOW_NS or self._send_count >= MIN_READS_PER_NODE * len(self._caches.nodes):
            self._previous_sends, self._sends, self._send_count = self._sends, Counter(), 0
            self._previous_window_ns, self._window_start = min(age, MAX_SEND_WINDOW_NS), now

    def _release(self, replicated: ReplicatedKey, why: str, now: int) -> None:
        """Stop replicating a key; its unexpired copies stay recorded, so that writes invalidate them."""
        del self._replicated[replicated.key]
        self._add_to_node_shares(replicated, -1)
        self._meter.watched[replicated.key].replicated = None
        unexpired = {server: until for server, until in replicated.copy_expiry.items() if until > now}
        if self._fills_by_write and unexpired:
            self._released_copies[replicated.key] = unexpired
        self.counts["released"] += 1
        self._log(replicated.key, why)

    # Actions and views

    def _log(self, key: str, what: str) -> None:
        """Write a log line about a key, whose name is shortened if it is long."""
        shortened = key if len(key) <= MAX_KEY_CHARACTERS else key[:MAX_KEY_CHARACTERS] + "..."
        self._actions.append(api.Log(f"hot key {shortened!r}: {what}"))

    def take_actions(self) -> list[api.Action]:
        """Return the actions that were decided since the last call."""
        actions, self._actions = self._actions, []
        return actions

    def digest(self, now: int, most: int = MAX_VIEW_KEYS) -> list[tuple[str, float, int]]:
        """Return the hottest replicated keys, hottest first, with their share of reads and number of nodes.

        Peers exchange this list.
        """
        entries = [
            (key, self._meter.share(self._meter.watched[key]), replicated.copies)
            for key, replicated in self._replicated.items()
        ]
        return sorted(entries, key=lambda entry: -entry[1])[:most]

    def _counts_view(self) -> dict[str, int]:
        """Return all counts, also under their deprecated names."""
        deprecated = {name: self.counts[new] for name, new in DEPRECATED_COUNT_NAMES.items()}
        return {**self.counts, **deprecated}

    def view(self, now: int) -> dict[str, Any]:
        """Return the state for `/stats`; `spread` and `voids` are deprecated names, shown for one version."""
        top = [self._view_of(tenant, key, count, error, now)
               for tenant, key, count, error in self._meter.top(MAX_VIEW_KEYS)]  # fmt: skip
        return {
            "on": True,
            "fill": self._limits.fill.value,
            "replicated": len(self._replicated),
            "spread": len(self._replicated),
            "watched": len(self._meter.watched),
            "counted": {tenant or "(none)": keys for tenant, keys in self._meter.key_counts().items()},
            "copied_bytes": self._copied_bytes(),
            "threshold_share": round(self._meter.threshold, 5),
            "counts": self._counts_view(),
            "invalidations": self._invalidations.view(),
            "voids": self._invalidations.view(),
            "top": top,
        }

    def _view_of(self, tenant: str, key: str, count: float, error: float, now: int) -> dict[str, object]:
        """Return the view of one key; `count` and `error` are decayed counts of its reads."""
        watched, replicated = self._meter.watched.get(key), self._replicated.get(key)
        rate = self._meter.rate(count, now)
        return {
            "key": key[:MAX_KEY_CHARACTERS],
            "tenant": tenant or "(none)",
            "reads_per_s": round(rate, 3),
            "error_per_s": round(self._meter.rate(error, now), 3),
            "share": round(self._meter.share(watched), 5) if watched else None,
            "size": watched.size if watched else 0,
            "bytes_per_s": round(rate * watched.size) if watched else None,
            "node_ms_per_s": round(rate * watched.mean_latency / 1e6, 3) if watched else None,
            "copies": replicated.copies if replicated else 1,
            "held": len(replicated.ready) if replicated else 1,
            "releasing": replicated.releasing if replicated else False,
            "why": replicated.why if replicated else "",
        }
