"""Replication of single hot keys: finds them, fills further nodes, invalidates copies, and releases them."""

from __future__ import annotations

import random
from collections import Counter, defaultdict
from collections.abc import Callable, Iterable
from itertools import islice
from typing import Any

from saltport.decisions import interface as api
from saltport.decisions.health import Node
from saltport.decisions.hotkeys.invalidation import Invalidations
from saltport.decisions.hotkeys.meter import KeyMeter, Watched
from saltport.decisions.hotkeys.need import copies_needed, over_zones, room, threshold
from saltport.decisions.hotkeys.replicated_key import FILL_PAUSE, FOR_GOOD, ReplicatedKey
from saltport.decisions.interface import NS_PER_S, Fill, Outcome
from saltport.decisions.replication import Replication
from saltport.decisions.request import Request
from saltport.decisions.table import RANKING_DEPTH, SlotTable

TICK = NS_PER_S // 4
TOKEN = "hot keys"  # of its timer; no request's id has a space
LOOK = NS_PER_S // 5  # between two looks at what a key needs
VISITED = 2  # nodes that one fetch fills: the platform stores at the first two that missed
MAX_FILLERS = 4  # reads that fill nodes of one key at a time
COPIES_AT_ONCE = 8  # set from one answer that passes by
MAX_FILLING = 256  # plain writes under way, of all keys together
FETCH_PAUSE, LONGEST_FETCH_PAUSE = NS_PER_S // 10, 5 * NS_PER_S
SHARE_MOVED = 0.05  # part of its share that a key may gain or lose before its nodes' room is counted anew
COUNTED, LONGEST_COUNTED = NS_PER_S // 2, 5 * NS_PER_S  # for which what was sent to nodes is counted, twice
COUNTED_READS = 16  # of a node on average, that a count waits for as long as it may: by fewer nothing is told
LEAST_HEADROOM = 0.05
LATE_SHARE = 8  # part of a write's time, as 1 / this, that is kept for its answer
SHOWN, SHOWN_KEY = 20, 80  # keys in a view, characters of a key in a log line
TURNED_DOWN = 60 * NS_PER_S  # for which a node that takes no plain writes gets none
AT_LIMIT = 60 * NS_PER_S  # between two log lines about one key that had to stay on its node

OLD_COUNTS = {"spread": "replicated", "writes voided": "writes invalidated"}
"""Old names of counts, shown for one version beside the present ones."""

Usable = Callable[[str, int], bool]


class HotKeys(Replication):
    """Keeps the keys that are too hot for their own node on several."""

    def __init__(
        self, settings: api.Settings, limits: api.HotKeySettings, caches: SlotTable, usable: Usable,
        rng: random.Random,
    ) -> None:  # fmt: skip
        self._limits, self._caches, self._usable, self._rng = limits, caches, usable, rng
        portions = {tenant.name: tenant.portion for tenant in settings.tenants}
        self._meter = KeyMeter({**portions, "": 0.0}, limits.capacity, 4 * limits.max_keys)
        whole = sum(portions.values()) or 1.0
        self._most = {name: max(int(limits.max_keys * p / whole), 1) for name, p in portions.items()}
        self._most[""] = max(limits.max_keys // 8, 1)
        self._replicated: dict[str, ReplicatedKey] = {}
        self._writes = limits.fill is Fill.WRITES
        self._invalidations = Invalidations(limits.lease, 0)
        self.apply_settings(settings)
        self._held_writes: dict[str, str] = {}  # writes whose answers wait, with their keys
        self._filling: dict[str, dict[str, int]] = {}  # plain writes under way, by key and server
        self._withdrawn: dict[str, dict[str, int]] = {}  # copies of keys released, till when
        self._hot = 0.0  # the share of all replicated keys together
        self._brought: defaultdict[Node, float] = defaultdict(float)  # by node, as a share of all reads
        self._sent: Counter[Node] = Counter()
        self._sent_before: Counter[Node] = Counter()
        self._sent_total = 0
        self._counted_at = self._span_before = 0
        self._usual = 0.0
        self._version = -1
        self._weight_at, self._total_weight = -1, 0.0
        self._ticking = False
        self._actions: list[api.Action] = []
        self._told_limit: dict[str, int] = {}
        self._no_copies: dict[str, int] = {}  # servers that failed to take a copy, till when none is sent
        self.counts: Counter[str] = Counter()

    # Finding

    def apply_settings(self, settings: api.Settings) -> None:
        """Take new deadlines; tenants' portions of the keys stay as they were at the start."""
        self._invalidations.longest = max(c.deadline for c in settings.classes) + min(
            c.aim for c in settings.classes
        )

    def arrived(self, request: Request, tenant: str, now: int) -> None:
        """Count a read, and note what is known of its key; fence off a write."""
        key = request.key
        if key is None:
            return
        if request.write:
            if self._writes:
                self._invalidations.write_begins(key)
                self._tick_later()
            return
        if self._version != self._caches.version:
            self._list_changed(now)
        watched = self._meter.add(tenant, key, request.slot, now)
        if watched is None:
            return
        request.replication_state = watched
        if not self._ticking:
            self._tick_later()
        replicated = watched.replicated
        if isinstance(replicated, ReplicatedKey):
            if now >= replicated.look_at:
                self._look(watched, replicated, now)
        elif now >= watched.look_at:
            watched.look_at = now + LOOK // 2
            if self._meter.share(watched) > self._meter.threshold:
                self._consider(watched, now)

    def _list_changed(self, now: int) -> None:
        self._version = self._caches.version
        nodes = self._caches.nodes
        self._weigh(now)
        own = min((node.weight for node in nodes.values()), default=1.0)
        self._meter.threshold = threshold(
            own / (sum(node.weight for node in nodes.values()) or 1.0), self._limits.fair_shares
        )
        self._actions += self._invalidations.gone(nodes, now)
        for key in list(self._replicated):
            self._replicated[key].look_at = 0

    def _weigh(self, now: int) -> None:
        """What all nodes can take together just now."""
        self._weight_at = now
        self._total_weight = sum(self._weight(node, now) for node in self._caches.nodes.values())

    def _weight(self, node: Node, now: int) -> float:
        return node.weight * self._caches.slow_start_factor(node, now)

    # Deciding

    def _order(self, slot: int, now: int) -> list[Node]:
        """The nodes that may get a key of this slot, the slot's own first: the same at every router."""
        ranking = self._caches.rank(slot, now, 2 * self._limits.max_copies)[: 2 * self._limits.max_copies]
        return over_zones(ranking)[: self._limits.max_copies]

    def _need(self, watched: Watched, order: list[Node], share: float, now: int) -> int:
        if now - self._weight_at >= NS_PER_S:
            self._weigh(now)
        # What is left of a node's limit moves by the second and is no size: it counts in the choice alone.
        total = self._total_weight or 1.0
        mine = self._replicated.get(watched.key)
        own = {}
        if mine is not None:
            own = dict.fromkeys(mine.members, mine.share / max(len(mine.members), 1))
        hot = min(self._hot + share - (mine.share if mine is not None else 0.0), 1.0)
        brought = self._brought
        rooms = (
            room(
                self._weight(node, now) / total,
                hot,
                brought.get(node, 0.0) - own.get(node, 0.0),
                self._limits.fair_shares,
            )
            for node in order
        )
        return copies_needed(share, rooms)

    def _bring(self, replicated: ReplicatedKey, sign: int) -> None:
        """Count what a replicated key brings to each of its nodes, or take it back."""
        self._hot += sign * replicated.share
        part = sign * replicated.share / max(len(replicated.members), 1)
        for node in replicated.members:
            self._brought[node] += part
            if sign < 0 and self._brought[node] < 1e-9:
                del self._brought[node]

    def _healthy(self, order: Iterable[Node], now: int) -> list[Node]:
        return [node for node in order if self._usable(node.entry.id, now)]

    def _consider(self, watched: Watched, now: int) -> None:
        """A key looks too hot for its own node: replicate it if that holds, and if the budget allows."""
        order = self._healthy(self._order(watched.slot, now), now)
        need = self._need(watched, order, self._meter.share(watched), now)
        if need < 2:
            return
        limit = self._limit_for(watched, now)
        if limit:
            self.counts["at limit"] += 1
            if now - self._told_limit.get(watched.key, -AT_LIMIT) >= AT_LIMIT:
                self._told_limit[watched.key] = now
                self._log(watched.key, f"needs {need} nodes and stays on one: {limit}")
            return
        replicated = ReplicatedKey(watched.key, watched.slot, watched.tenant, now)
        watched.replicated = self._replicated[watched.key] = replicated
        for server, until in self._withdrawn.pop(watched.key, {}).items():
            replicated.held[server] = until
        self.counts["replicated"] += 1
        self._look(watched, replicated, now)
        self._log(watched.key, f"replicated to {replicated.copies} nodes: {replicated.why}")

    def _limit_for(self, watched: Watched, now: int) -> str:
        """Why a further key can't be replicated; a key with less than half its share makes room for it."""
        if watched.size > self._limits.max_value and self._writes:
            return f"its {watched.size} bytes are more than are copied"
        mine = [held for held in self._replicated.values() if held.tenant == watched.tenant]
        most = self._most.get(watched.tenant, self._most[""])
        if len(mine) >= most:
            rivals, limit = mine, f"tenant {watched.tenant or '(none)'} has {most} replicated keys"
        elif len(self._replicated) >= self._limits.max_keys:
            rivals, limit = list(self._replicated.values()), f"{self._limits.max_keys} keys are replicated"
        else:
            return ""
        least = min(rivals, key=lambda held: self._meter.share(self._meter.watched[held.key]))
        if 2 * self._meter.share(self._meter.watched[least.key]) >= self._meter.share(watched):
            return limit
        self._release(least, "a hotter key takes its place", now)
        return ""

    def _look(self, watched: Watched, replicated: ReplicatedKey, now: int) -> None:
        """Find what a replicated key needs now, and place it."""
        replicated.look_at = now + LOOK
        if replicated.version != self._caches.version or now - replicated.ordered_at >= NS_PER_S:
            # Also as time goes by: cold nodes rise in the ranking while they warm up.
            replicated.version, replicated.ordered_at = self._caches.version, now
            replicated.order = self._order(replicated.slot, now)
        order = self._healthy(replicated.order, now)
        share = self._meter.share(watched)
        need, most = self._need(watched, order, share, now), self._room(watched, replicated)
        before = replicated.copies
        replicated.follow(min(need, most), now)
        replicated.copies = min(replicated.copies, most)  # a limit is one at once
        if replicated.copies != before or not replicated.why:
            replicated.why = f"{share:.1%} of all reads, {share * len(self._caches.nodes):.1f} fair shares"
        members = order[: replicated.copies]
        moved = members != replicated.members
        if moved or abs(share - replicated.share) > replicated.share * SHARE_MOVED:
            self._bring(replicated, -1)
            replicated.share = share
            if moved:
                replicated.place(members, now)
            self._bring(replicated, 1)
        elif now - replicated.placed_at >= NS_PER_S:
            replicated.place(members, now)  # copies whose time is over are absent now

    def _room(self, watched: Watched, replicated: ReplicatedKey) -> int:
        """How many nodes the budget of bytes allows this key."""
        if watched.size > self._limits.max_value and self._writes:
            return 1
        if not watched.size:
            return self._limits.max_copies
        others = self._copied() - self._copied(replicated)
        return max(int((self._limits.max_bytes - others) // watched.size) + 1, 1)

    def _copied(self, only: ReplicatedKey | None = None) -> int:
        """Bytes of the further copies of all replicated keys, or of one."""
        held = self._replicated.values() if only is None else (only,)
        return sum((one.copies - 1) * self._meter.watched[one.key].size for one in held)

    # Routing

    def candidates(self, request: Request, now: int) -> list[Node]:
        """Copies known to be there, the better of two first; then the others as the ranking has them."""
        replicated = request.replication_state.replicated if request.replication_state is not None else None
        doubts = (
            self._invalidations.in_doubt(request.key) if self._writes and request.key is not None else None
        )
        if replicated is None:
            ranking = self._caches.rank(request.slot, now, RANKING_DEPTH)
            return [node for node in ranking if node.entry.id not in doubts] if doubts else ranking
        if replicated.version != self._caches.version:
            self._look(request.replication_state, replicated, now)
        chosen: list[Node] = []
        if not self._writes and replicated.absent:
            chosen = self._visits(request, replicated, now)
        ready = replicated.ready
        if ready:
            first, second = ready.two(self._rng)
            if self._burden(second, now) < self._burden(first, now):
                first, second = second, first
            chosen += (first, second, replicated.members[0])
        chosen += self._caches.rank(replicated.slot, now, RANKING_DEPTH)[:RANKING_DEPTH]
        return [node for node in chosen if node.entry.id not in doubts] if doubts else chosen

    def _visits(self, request: Request, replicated: ReplicatedKey, now: int) -> list[Node]:
        """The absent node that this read has to visit next, if it is one of those that fill them."""
        mine = replicated.fillers.get(request.id)
        if mine is None:
            if request.sends or now < replicated.fill_after or len(replicated.fillers) >= MAX_FILLERS:
                return []
            taken = {node for nodes in replicated.fillers.values() for node in nodes}
            # In their order: what is filled first is what the others are next to hold.
            free = (node for node in replicated.members if node in replicated.absent and node not in taken)
            mine = list(islice(free, VISITED))
            if mine:
                replicated.fillers[request.id] = mine
        return [node for node in mine if node not in request.failed][:1]

    def _burden(self, node: Node, now: int) -> float:
        """What it has of this router's and what it will soon have, against what it can do."""
        seen = self._sent[node] + self._sent_before[node]
        span = max(now - self._counted_at + self._span_before, 1)
        weight = self._weight(node, now) * max(1.0 - node.load / node.limit.limit, LEAST_HEADROOM)
        return (node.load + seen * self._usual / span) / weight

    def sent(self, request: Request, node: Node) -> None:
        """Count what a node gets, also before a key is replicated: a flash finds nodes with room at once."""
        self._sent[node] += 1
        self._sent_total += 1
        if request.sent_at - self._counted_at >= COUNTED:
            self._count_anew(request.sent_at)

    def missed(self, request: Request, node: Node, now: int) -> bool:
        """Ask a further copy before the origin: whoever fills visits the next, others one that holds it."""
        watched = request.replication_state
        replicated = watched.replicated if watched is not None else None
        if replicated is None or not replicated.members:
            return False
        replicated.lacks(node)
        if request.sends + 2 > request.attempts:
            return False  # one try is the origin's
        if request.id in replicated.fillers:
            seen = (*request.failed, node)
            return any(left not in seen for left in replicated.fillers[request.id])
        # One more, and not each in turn: what held it may have lost it everywhere.
        return not request.failed and any(held is not node for held in replicated.ready)

    def bypasses_coalescing(self, request: Request) -> bool:
        """Whether a read is to ask the origin though another one does: it fills other nodes."""
        replicated = request.replication_state.replicated if request.replication_state is not None else None
        return replicated is not None and request.id in replicated.fillers

    def refusal_reason(self, request: Request, now: int) -> api.Reason | None:
        """Why a read that found no node is not worth a fetch; None: it is."""
        waits = request.replication_state is not None and request.replication_state.fetch_after > now
        return api.Reason.FETCH_PAUSED if waits else None

    # What attempts tell

    def ended(self, request: Request, node: Node, event: api.AttemptEnded, fetched: bool, now: int) -> None:
        """Learn of copies, fetches, sizes and times; copy a passing answer, invalidate after a write."""
        if request.write:
            if fetched and self._writes and request.key is not None:
                self._write_ended(request, event, now)
            return
        watched = request.replication_state
        if watched is None:
            return
        if fetched:
            if event.outcome is Outcome.OK:
                watched.failures = watched.fetch_after = 0
            elif event.outcome not in (Outcome.CANCELLED, Outcome.NOT_SENT) and not event.connection_reused:
                # Danger: without a pause each read of a hot key that has no value is fetched in its turn.
                pause = min(FETCH_PAUSE << min(watched.failures, 8), LONGEST_FETCH_PAUSE)
                watched.failures += 1
                watched.fetch_after = now + pause
                self.counts["fetch pauses"] += 1
        if event.outcome is not Outcome.OK:
            return
        watched.size = event.size or watched.size
        if not fetched:
            watched.took += (event.latency - watched.took) / 16
            self._usual += (event.latency - self._usual) / 64
        replicated = watched.replicated
        if not isinstance(replicated, ReplicatedKey):
            return
        if not fetched and node in replicated.absent:
            replicated.holds(node, now + self._limits.lease // 2 if self._writes else FOR_GOOD)
        if self._writes and event.size:
            self._copy(request, replicated, event.size, now)

    def _copy(self, request: Request, replicated: ReplicatedKey, size: int, now: int) -> None:
        if size > self._limits.max_value or not self._invalidations.may_copy(replicated.key, request.sent_at):
            return
        # Danger: copies that all run out together leave their readers to the slot's own node.
        due = replicated.renewable(now + self._limits.lease // 2, COPIES_AT_ONCE)
        if not due and not replicated.absent:
            return
        filling = self._filling.setdefault(replicated.key, {})
        doubts = self._invalidations.in_doubt(replicated.key)
        room = min(COPIES_AT_ONCE, MAX_FILLING - sum(map(len, self._filling.values())))
        for node in (*due, *islice(replicated.absent, len(filling) + COPIES_AT_ONCE)):
            if room <= 0:
                break
            server = node.entry.id
            if server in filling or server in doubts or server in self._no_copies:
                continue
            if not self._usable(server, now):
                continue
            filling[server] = now
            room -= 1
            self.counts["copies"] += 1
            self._actions.append(api.Copy(request.id, replicated.key, server, self._limits.lease))
        if not filling:
            del self._filling[replicated.key]

    def done(self, request: Request, stored: bool, now: int) -> None:
        """A request is over: if it filled nodes, they hold the key now."""
        if request.write:
            if self._writes and request.key is not None:
                if self._held_writes.pop(request.id, None) is not None:
                    self._invalidations.leave(request.key, request.id)
                self._invalidations.write_ends(request.key, now)
            return
        replicated = request.replication_state.replicated if request.replication_state is not None else None
        visited = replicated.fillers.pop(request.id, None) if replicated is not None else None
        if replicated is None or visited is None:
            return
        if not stored:
            replicated.fill_after = now + FILL_PAUSE
            return
        self.counts["fills"] += 1
        for node in visited:
            if node in replicated.absent:
                replicated.holds(node, FOR_GOOD)

    def on_event(self, event: api.CopyEnded | api.InvalidationEnded | api.ZonePlan, now: int) -> None:
        """A copy or an invalidation has ended."""
        if isinstance(event, api.InvalidationEnded):
            self._actions += self._invalidations.invalidation_ended(event, now)
        if not isinstance(event, api.CopyEnded):
            return
        key, server = event.key, event.server
        filling = self._filling.get(key, {})
        began = filling.pop(server, now)
        if not filling:
            self._filling.pop(key, None)
        self._actions += self._invalidations.copy_ended(key, server, event.outcome, now)
        if event.outcome is not Outcome.OK:
            self.counts["copies failed"] += 1
            self._copy_failed(server, event.outcome, now)
        if event.outcome not in (Outcome.OK, Outcome.TIMEOUT, Outcome.RESET):
            return
        until = began + self._limits.lease
        replicated, node = self._replicated.get(key), self._caches.nodes.get(server)
        if replicated is None:
            self._withdrawn.setdefault(key, {})[server] = until
        elif event.outcome is Outcome.OK and node is not None and self._invalidations.may_copy(key, began):
            # Renewed while it still holds, so that a wave of reads never meets nodes that all ran out.
            replicated.holds(node, until - self._limits.lease // 4)
        else:
            replicated.held[server] = 0

    def _copy_failed(self, server: str, outcome: Outcome, now: int) -> None:
        """Copy nothing there for a while; a node that turns plain writes down is told of."""
        turned_down = outcome is Outcome.ERROR
        if turned_down and server not in self._no_copies:
            self._actions.append(api.Log(f"{server}: takes no plain writes: it gets no copies of hot keys"))
        self._no_copies[server] = now + (TURNED_DOWN if turned_down else FILL_PAUSE)

    # Writes

    def defers_answer(self, request: Request) -> bool:
        """Whether a write's answer has to wait until its copies are invalidated."""
        return self._writes and request.key is not None

    def _write_ended(self, request: Request, event: api.AttemptEnded, now: int) -> None:
        """Invalidate the key wherever it may be, once a write was carried out or may have been."""
        key = request.key
        if key is None or event.outcome.never_ran:
            return
        servers = {node.entry.id for node in self._order(request.slot, now)}
        servers |= self._known(key, now) & self._caches.nodes.keys()
        replicated = self._replicated.get(key)
        if replicated is not None:
            for node in list(replicated.ready):
                replicated.lacks(node)
            replicated.held.clear()
        self._withdrawn.pop(key, None)
        answer = None
        if event.outcome is Outcome.OK and not event.closed:
            answer = request.id
            self._held_writes[answer] = key
            left = request.deadline - now
            self._actions.append(api.SetTimer(max(left - left // LATE_SHARE, 0), answer))
        self.counts["writes invalidated"] += 1
        self._actions += self._invalidations.begin(key, servers, self._filling.get(key, ()), answer, now)

    def _known(self, key: str, now: int) -> set[str]:
        """The servers that this router knows to hold a key, or to have held it while its lease lasts."""
        replicated = self._replicated.get(key)
        held = replicated.held if replicated is not None else self._withdrawn.get(key, {})
        return {server for server, until in held.items() if until + self._limits.lease > now}

    def on_timer(self, token: str, now: int) -> None:
        """The clock of all this, or a held write whose time is nearly over."""
        if token == TOKEN:
            self._ticking = False
            self._tick(now)
        elif token in self._held_writes:
            self._actions += self._invalidations.late(self._held_writes[token], token, now)

    # Letting go

    def _tick_later(self) -> None:
        if not self._ticking:
            self._ticking = True
            self._actions.append(api.SetTimer(TICK, TOKEN))

    def _tick(self, now: int) -> None:
        self._meter.sweep(now)
        for key, replicated in list(self._replicated.items()):
            self._look(self._meter.watched[key], replicated, now)
            if replicated.copies < 2:
                lasted = (now - replicated.began) / NS_PER_S
                self._release(replicated, f"on one node again after {lasted:.0f} s", now)
        for key, held in list(self._withdrawn.items()):
            for server in [server for server, until in held.items() if now >= until]:
                del held[server]
            if not held:
                del self._withdrawn[key]
        for server in [server for server, until in self._no_copies.items() if now >= until]:
            del self._no_copies[server]
        for key in [key for key, at in self._told_limit.items() if now - at >= AT_LIMIT]:
            del self._told_limit[key]
        self._actions += self._invalidations.sweep(self._caches.nodes, now)
        if self._replicated or self._meter.watched or self._withdrawn or not self._invalidations.idle:
            self._tick_later()

    def _count_anew(self, now: int) -> None:
        """End a count of what was sent to nodes once it tells something."""
        # Danger: with two reads a second to a node, half a second's count is chance: a node with many slots
        # of its own then gets as much of a hot key as one with few.
        age = now - self._counted_at
        if age >= LONGEST_COUNTED or self._sent_total >= COUNTED_READS * len(self._caches.nodes):
            self._sent_before, self._sent, self._sent_total = self._sent, Counter(), 0
            self._span_before, self._counted_at = min(age, LONGEST_COUNTED), now

    def _release(self, replicated: ReplicatedKey, why: str, now: int) -> None:
        del self._replicated[replicated.key]
        self._bring(replicated, -1)
        self._meter.watched[replicated.key].replicated = None
        held = {server: until for server, until in replicated.held.items() if until > now}
        if self._writes and held:
            self._withdrawn[replicated.key] = held
        self.counts["released"] += 1
        self._log(replicated.key, why)

    # To look at

    def _log(self, key: str, what: str) -> None:
        shown = key if len(key) <= SHOWN_KEY else key[:SHOWN_KEY] + "..."
        self._actions.append(api.Log(f"hot key {shown!r}: {what}"))

    def take_actions(self) -> list[api.Action]:
        """What there is to do since last asked."""
        actions, self._actions = self._actions, []
        return actions

    def digest(self, now: int, most: int = SHOWN) -> list[tuple[str, float, int]]:
        """Key, share of this router's reads and nodes of its replicated keys, hottest first, for peers."""
        held = [
            (key, self._meter.share(self._meter.watched[key]), replicated.copies)
            for key, replicated in self._replicated.items()
        ]
        return sorted(held, key=lambda entry: -entry[1])[:most]

    def _counts_view(self) -> dict[str, int]:
        old = {name: self.counts[now] for name, now in OLD_COUNTS.items()}
        return {**self.counts, **old}

    def view(self, now: int) -> dict[str, Any]:
        """Its state, for people; `spread` and `voids` are the old names of figures, for one version."""
        top = [self._view_of(tenant, key, count, error, now)
               for tenant, key, count, error in self._meter.top(SHOWN)]  # fmt: skip
        return {
            "on": True,
            "fill": self._limits.fill.value,
            "replicated": len(self._replicated),
            "spread": len(self._replicated),
            "watched": len(self._meter.watched),
            "counted": {tenant or "(none)": held for tenant, held in self._meter.held().items()},
            "copied_bytes": self._copied(),
            "threshold_share": round(self._meter.threshold, 5),
            "counts": self._counts_view(),
            "invalidations": self._invalidations.view(),
            "voids": self._invalidations.view(),
            "top": top,
        }

    def _view_of(self, tenant: str, key: str, count: float, error: float, now: int) -> dict[str, object]:
        watched, replicated = self._meter.watched.get(key), self._replicated.get(key)
        rate = self._meter.rate(count, now)
        return {
            "key": key[:SHOWN_KEY],
            "tenant": tenant or "(none)",
            "reads_per_s": round(rate, 3),
            "error_per_s": round(self._meter.rate(error, now), 3),
            "share": round(self._meter.share(watched), 5) if watched else None,
            "size": watched.size if watched else 0,
            "bytes_per_s": round(rate * watched.size) if watched else None,
            "node_ms_per_s": round(rate * watched.took / 1e6, 3) if watched else None,
            "copies": replicated.copies if replicated else 1,
            "held": len(replicated.ready) if replicated else 1,
            "releasing": replicated.releasing if replicated else False,
            "why": replicated.why if replicated else "",
        }
