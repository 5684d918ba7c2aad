"""Hot keys joined together: asked through the seam in seam.py, it finds, spreads, fills, voids, lets go."""

from __future__ import annotations

import random
from collections import Counter, defaultdict
from collections.abc import Callable, Iterable
from itertools import islice
from typing import Any

from saltport.decisions import interface as api
from saltport.decisions.health import Node
from saltport.decisions.hotkeys.meter import KeyMeter, Watched
from saltport.decisions.hotkeys.need import copies_needed, over_zones, room, threshold
from saltport.decisions.hotkeys.spread import FILL_PAUSE, FOR_GOOD, Spread
from saltport.decisions.hotkeys.voiding import Voids
from saltport.decisions.interface import NS_PER_S, Fill, Outcome
from saltport.decisions.request import Request
from saltport.decisions.seam import Spreading
from saltport.decisions.table import DEPTH, SlotTable

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

Usable = Callable[[str, int], bool]


class HotKeys(Spreading):
    """Keeps the keys that are too hot for their own node on several."""

    def __init__(
        self, settings: api.Settings, told: api.HotKeySettings, caches: SlotTable, usable: Usable,
        rng: random.Random,
    ) -> None:  # fmt: skip
        self._told, self._caches, self._usable, self._rng = told, caches, usable, rng
        portions = {tenant.name: tenant.portion for tenant in settings.tenants}
        self._meter = KeyMeter({**portions, "": 0.0}, told.capacity, 4 * told.max_keys)
        whole = sum(portions.values()) or 1.0
        self._most = {name: max(int(told.max_keys * p / whole), 1) for name, p in portions.items()}
        self._most[""] = max(told.max_keys // 8, 1)
        self._spreads: dict[str, Spread] = {}
        self._writes = told.fill is Fill.WRITES
        self._voids = Voids(told.lease, 0)
        self.follow_settings(settings)
        self._held_writes: dict[str, str] = {}  # writes whose answers wait, with their keys
        self._filling: dict[str, dict[str, int]] = {}  # plain writes under way, by key and server
        self._withdrawn: dict[str, dict[str, int]] = {}  # copies of keys that are spread no more, till when
        self._hot = 0.0  # the share of all spread keys together
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

    def follow_settings(self, settings: api.Settings) -> None:
        """Take new deadlines; tenants' portions of the keys stay as they were at the start."""
        self._voids.longest = max(c.deadline for c in settings.classes) + min(c.aim for c in settings.classes)

    def arrived(self, request: Request, tenant: str, now: int) -> None:
        """Count a read, and note what is known of its key; fence off a write."""
        key = request.key
        if key is None:
            return
        if request.write:
            if self._writes:
                self._voids.write_begins(key)
                self._tick_later()
            return
        if self._version != self._caches.version:
            self._list_changed(now)
        watched = self._meter.add(tenant, key, request.slot, now)
        if watched is None:
            return
        request.spread = watched
        if not self._ticking:
            self._tick_later()
        spread = watched.spread
        if isinstance(spread, Spread):
            if now >= spread.look_at:
                self._look(watched, spread, now)
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
            own / (sum(node.weight for node in nodes.values()) or 1.0), self._told.promise
        )
        self._actions += self._voids.gone(nodes, now)
        for key in list(self._spreads):
            self._spreads[key].look_at = 0

    def _weigh(self, now: int) -> None:
        """What all nodes can take together just now."""
        self._weight_at = now
        self._total_weight = sum(self._weight(node, now) for node in self._caches.nodes.values())

    def _weight(self, node: Node, now: int) -> float:
        return node.weight * self._caches.warmth(node, now)

    # Deciding

    def _order(self, slot: int, now: int) -> list[Node]:
        """The nodes that may get a key of this slot, the slot's own first: the same at every router."""
        ranking = self._caches.rank(slot, now, 2 * self._told.max_copies)[: 2 * self._told.max_copies]
        return over_zones(ranking)[: self._told.max_copies]

    def _need(self, watched: Watched, order: list[Node], share: float, now: int) -> int:
        if now - self._weight_at >= NS_PER_S:
            self._weigh(now)
        # What is left of a node's limit moves by the second and is no size: it counts in the choice alone.
        total = self._total_weight or 1.0
        mine = self._spreads.get(watched.key)
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
                self._told.promise,
            )
            for node in order
        )
        return copies_needed(share, rooms)

    def _bring(self, spread: Spread, sign: int) -> None:
        """Count what a spread key brings to each of its nodes, or take it back."""
        self._hot += sign * spread.share
        part = sign * spread.share / max(len(spread.members), 1)
        for node in spread.members:
            self._brought[node] += part
            if sign < 0 and self._brought[node] < 1e-9:
                del self._brought[node]

    def _healthy(self, order: Iterable[Node], now: int) -> list[Node]:
        return [node for node in order if self._usable(node.entry.id, now)]

    def _consider(self, watched: Watched, now: int) -> None:
        """A key looks too hot for its own node: spread it if that holds, and if the budget allows."""
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
        spread = Spread(watched.key, watched.slot, watched.tenant, now)
        watched.spread = self._spreads[watched.key] = spread
        for server, until in self._withdrawn.pop(watched.key, {}).items():
            spread.held[server] = until
        self.counts["spread"] += 1
        self._look(watched, spread, now)
        self._log(watched.key, f"spread to {spread.copies} nodes: {spread.why}")

    def _limit_for(self, watched: Watched, now: int) -> str:
        """Why a further key can't be spread; a key with less than half its share makes room for it."""
        if watched.size > self._told.max_value and self._writes:
            return f"its {watched.size} bytes are more than are copied"
        mine = [held for held in self._spreads.values() if held.tenant == watched.tenant]
        most = self._most.get(watched.tenant, self._most[""])
        if len(mine) >= most:
            rivals, limit = mine, f"tenant {watched.tenant or '(none)'} has {most} spread keys"
        elif len(self._spreads) >= self._told.max_keys:
            rivals, limit = list(self._spreads.values()), f"{self._told.max_keys} keys are spread"
        else:
            return ""
        least = min(rivals, key=lambda held: self._meter.share(self._meter.watched[held.key]))
        if 2 * self._meter.share(self._meter.watched[least.key]) >= self._meter.share(watched):
            return limit
        self._release(least, "a hotter key takes its place", now)
        return ""

    def _look(self, watched: Watched, spread: Spread, now: int) -> None:
        """Find what a spread key needs now, and place it."""
        spread.look_at = now + LOOK
        if spread.version != self._caches.version or now - spread.ordered_at >= NS_PER_S:
            # Also as time goes by: cold nodes rise in the ranking while they warm up.
            spread.version, spread.ordered_at = self._caches.version, now
            spread.order = self._order(spread.slot, now)
        order = self._healthy(spread.order, now)
        share = self._meter.share(watched)
        need, most = self._need(watched, order, share, now), self._room(watched, spread)
        before = spread.copies
        spread.follow(min(need, most), now)
        spread.copies = min(spread.copies, most)  # a limit is one at once
        if spread.copies != before or not spread.why:
            spread.why = f"{share:.1%} of all reads, {share * len(self._caches.nodes):.1f} fair shares"
        members = order[: spread.copies]
        moved = members != spread.members
        if moved or abs(share - spread.share) > spread.share * SHARE_MOVED:
            self._bring(spread, -1)
            spread.share = share
            if moved:
                spread.place(members, now)
            self._bring(spread, 1)
        elif now - spread.placed_at >= NS_PER_S:
            spread.place(members, now)  # copies whose time is over are absent now

    def _room(self, watched: Watched, spread: Spread) -> int:
        """How many nodes the budget of bytes allows this key."""
        if watched.size > self._told.max_value and self._writes:
            return 1
        if not watched.size:
            return self._told.max_copies
        others = self._copied() - self._copied(spread)
        return max(int((self._told.max_bytes - others) // watched.size) + 1, 1)

    def _copied(self, only: Spread | None = None) -> int:
        """Bytes of the further copies of all spread keys, or of one."""
        held = self._spreads.values() if only is None else (only,)
        return sum((one.copies - 1) * self._meter.watched[one.key].size for one in held)

    # Routing

    def candidates(self, request: Request, now: int) -> list[Node]:
        """Copies known to be there, the better of two first; then the others as the ranking has them."""
        spread = request.spread.spread if request.spread is not None else None
        doubts = self._voids.in_doubt(request.key) if self._writes and request.key is not None else None
        if spread is None:
            ranking = self._caches.rank(request.slot, now, DEPTH)
            return [node for node in ranking if node.entry.id not in doubts] if doubts else ranking
        if spread.version != self._caches.version:
            self._look(request.spread, spread, now)
        chosen: list[Node] = []
        if not self._writes and spread.absent:
            chosen = self._visits(request, spread, now)
        ready = spread.ready
        if ready:
            first, second = ready.two(self._rng)
            if self._burden(second, now) < self._burden(first, now):
                first, second = second, first
            chosen += (first, second, spread.members[0])
        chosen += self._caches.rank(spread.slot, now, DEPTH)[:DEPTH]
        return [node for node in chosen if node.entry.id not in doubts] if doubts else chosen

    def _visits(self, request: Request, spread: Spread, now: int) -> list[Node]:
        """The absent node that this read has to visit next, if it is one of those that fill them."""
        mine = spread.fillers.get(request.id)
        if mine is None:
            if request.sends or now < spread.fill_after or len(spread.fillers) >= MAX_FILLERS:
                return []
            taken = {node for nodes in spread.fillers.values() for node in nodes}
            # In their order: what is filled first is what the others are next to hold.
            free = (node for node in spread.members if node in spread.absent and node not in taken)
            mine = list(islice(free, VISITED))
            if mine:
                spread.fillers[request.id] = mine
        return [node for node in mine if node not in request.failed][:1]

    def _burden(self, node: Node, now: int) -> float:
        """What it has of this router's and what it will soon have, against what it can do."""
        seen = self._sent[node] + self._sent_before[node]
        span = max(now - self._counted_at + self._span_before, 1)
        weight = self._weight(node, now) * max(1.0 - node.load / node.limit.limit, LEAST_HEADROOM)
        return (node.load + seen * self._usual / span) / weight

    def sent(self, request: Request, node: Node) -> None:
        """Count what a node gets, also before a key is spread: a flash finds the nodes with room at once."""
        self._sent[node] += 1
        self._sent_total += 1
        if request.sent_at - self._counted_at >= COUNTED:
            self._count_anew(request.sent_at)

    def missed(self, request: Request, node: Node, now: int) -> bool:
        """Ask a further copy before the origin: whoever fills visits the next, others one that holds it."""
        watched = request.spread
        spread = watched.spread if watched is not None else None
        if spread is None or not spread.members:
            return False
        spread.lacks(node)
        if request.sends + 2 > request.attempts:
            return False  # one try is the origin's
        if request.id in spread.fillers:
            seen = (*request.failed, node)
            return any(left not in seen for left in spread.fillers[request.id])
        # One more, and not each in turn: what held it may have lost it everywhere.
        return not request.failed and any(held is not node for held in spread.ready)

    def fetches_itself(self, request: Request) -> bool:
        """Whether a read is to ask the origin though another one does: it fills other nodes."""
        spread = request.spread.spread if request.spread is not None else None
        return spread is not None and request.id in spread.fillers

    def turns_away(self, request: Request, now: int) -> api.Reason | None:
        """Why a read that found no node is not worth a fetch; None: it is."""
        waits = request.spread is not None and request.spread.fetch_after > now
        return api.Reason.FETCH_PAUSED if waits else None

    # What attempts tell

    def ended(self, request: Request, node: Node, event: api.AttemptEnded, fetched: bool, now: int) -> None:
        """Learn of copies, fetches, sizes and times; copy an answer that passes by, void after a write."""
        if request.write:
            if fetched and self._writes and request.key is not None:
                self._write_ended(request, event, now)
            return
        watched = request.spread
        if watched is None:
            return
        if fetched:
            if event.outcome is Outcome.OK:
                watched.failures = watched.fetch_after = 0
            elif event.outcome not in (Outcome.CANCELLED, Outcome.MOOT) and not event.kept:
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
        spread = watched.spread
        if not isinstance(spread, Spread):
            return
        if not fetched and node in spread.absent:
            spread.holds(node, now + self._told.lease // 2 if self._writes else FOR_GOOD)
        if self._writes and event.size:
            self._copy(request, spread, event.size, now)

    def _copy(self, request: Request, spread: Spread, size: int, now: int) -> None:
        if size > self._told.max_value or not self._voids.may_copy(spread.key, request.sent_at):
            return
        # Danger: copies that all run out together leave their readers to the slot's own node.
        due = spread.renewable(now + self._told.lease // 2, COPIES_AT_ONCE)
        if not due and not spread.absent:
            return
        filling = self._filling.setdefault(spread.key, {})
        doubts = self._voids.in_doubt(spread.key)
        room = min(COPIES_AT_ONCE, MAX_FILLING - sum(map(len, self._filling.values())))
        for node in (*due, *islice(spread.absent, len(filling) + COPIES_AT_ONCE)):
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
            self._actions.append(api.Copy(request.id, spread.key, server, self._told.lease))
        if not filling:
            del self._filling[spread.key]

    def done(self, request: Request, stored: bool, now: int) -> None:
        """A request is over: if it filled nodes, they hold the key now."""
        if request.write:
            if self._writes and request.key is not None:
                if self._held_writes.pop(request.id, None) is not None:
                    self._voids.leave(request.key, request.id)
                self._voids.write_ends(request.key, now)
            return
        spread = request.spread.spread if request.spread is not None else None
        visited = spread.fillers.pop(request.id, None) if spread is not None else None
        if spread is None or visited is None:
            return
        if not stored:
            spread.fill_after = now + FILL_PAUSE
            return
        self.counts["fills"] += 1
        for node in visited:
            if node in spread.absent:
                spread.holds(node, FOR_GOOD)

    def told(self, event: api.CopyEnded | api.VoidEnded | api.ZonePlan, now: int) -> None:
        """A copy or a void has ended."""
        if isinstance(event, api.VoidEnded):
            self._actions += self._voids.void_ended(event, now)
        if not isinstance(event, api.CopyEnded):
            return
        key, server = event.key, event.server
        filling = self._filling.get(key, {})
        began = filling.pop(server, now)
        if not filling:
            self._filling.pop(key, None)
        self._actions += self._voids.copy_ended(key, server, event.outcome, now)
        if event.outcome is not Outcome.OK:
            self.counts["copies failed"] += 1
            self._copy_failed(server, event.outcome, now)
        if event.outcome not in (Outcome.OK, Outcome.TIMEOUT, Outcome.RESET):
            return
        until = began + self._told.lease
        spread, node = self._spreads.get(key), self._caches.nodes.get(server)
        if spread is None:
            self._withdrawn.setdefault(key, {})[server] = until
        elif event.outcome is Outcome.OK and node is not None and self._voids.may_copy(key, began):
            # Renewed while it still holds, so that a wave of reads never meets nodes that all ran out.
            spread.holds(node, until - self._told.lease // 4)
        else:
            spread.held[server] = 0

    def _copy_failed(self, server: str, outcome: Outcome, now: int) -> None:
        """Copy nothing there for a while; a node that turns plain writes down is told of."""
        turned_down = outcome is Outcome.ERROR
        if turned_down and server not in self._no_copies:
            self._actions.append(api.Log(f"{server}: takes no plain writes: it gets no copies of hot keys"))
        self._no_copies[server] = now + (TURNED_DOWN if turned_down else FILL_PAUSE)

    # Writes

    def holds(self, request: Request) -> bool:
        """Whether a write's answer has to wait until its copies are void."""
        return self._writes and request.key is not None

    def _write_ended(self, request: Request, event: api.AttemptEnded, now: int) -> None:
        """Void the key wherever it may be, once a write was carried out or may have been."""
        key = request.key
        if key is None or event.outcome.never_ran:
            return
        servers = {node.entry.id for node in self._order(request.slot, now)}
        servers |= self._known(key, now) & self._caches.nodes.keys()
        spread = self._spreads.get(key)
        if spread is not None:
            for node in list(spread.ready):
                spread.lacks(node)
            spread.held.clear()
        self._withdrawn.pop(key, None)
        answer = None
        if event.outcome is Outcome.OK and not event.closed:
            answer = request.id
            self._held_writes[answer] = key
            left = request.deadline - now
            self._actions.append(api.SetTimer(max(left - left // LATE_SHARE, 0), answer))
        self.counts["writes voided"] += 1
        self._actions += self._voids.begin(key, servers, self._filling.get(key, ()), answer, now)

    def _known(self, key: str, now: int) -> set[str]:
        """The servers that this router knows to hold a key, or to have held it while its lease lasts."""
        spread = self._spreads.get(key)
        held = spread.held if spread is not None else self._withdrawn.get(key, {})
        return {server for server, until in held.items() if until + self._told.lease > now}

    def due(self, token: str, now: int) -> None:
        """The clock of all this, or a held write whose time is nearly over."""
        if token == TOKEN:
            self._ticking = False
            self._tick(now)
        elif token in self._held_writes:
            self._actions += self._voids.late(self._held_writes[token], token, now)

    # Letting go

    def _tick_later(self) -> None:
        if not self._ticking:
            self._ticking = True
            self._actions.append(api.SetTimer(TICK, TOKEN))

    def _tick(self, now: int) -> None:
        self._meter.sweep(now)
        for key, spread in list(self._spreads.items()):
            self._look(self._meter.watched[key], spread, now)
            if spread.copies < 2:
                lasted = (now - spread.began) / NS_PER_S
                self._release(spread, f"on one node again after {lasted:.0f} s", now)
        for key, held in list(self._withdrawn.items()):
            for server in [server for server, until in held.items() if now >= until]:
                del held[server]
            if not held:
                del self._withdrawn[key]
        for server in [server for server, until in self._no_copies.items() if now >= until]:
            del self._no_copies[server]
        for key in [key for key, at in self._told_limit.items() if now - at >= AT_LIMIT]:
            del self._told_limit[key]
        self._actions += self._voids.sweep(self._caches.nodes, now)
        if self._spreads or self._meter.watched or self._withdrawn or not self._voids.idle:
            self._tick_later()

    def _count_anew(self, now: int) -> None:
        """End a count of what was sent to nodes once it tells something."""
        # Danger: with two reads a second to a node, half a second's count is chance: a node with many slots
        # of its own then gets as much of a hot key as one with few.
        age = now - self._counted_at
        if age >= LONGEST_COUNTED or self._sent_total >= COUNTED_READS * len(self._caches.nodes):
            self._sent_before, self._sent, self._sent_total = self._sent, Counter(), 0
            self._span_before, self._counted_at = min(age, LONGEST_COUNTED), now

    def _release(self, spread: Spread, why: str, now: int) -> None:
        del self._spreads[spread.key]
        self._bring(spread, -1)
        self._meter.watched[spread.key].spread = None
        held = {server: until for server, until in spread.held.items() if until > now}
        if self._writes and held:
            self._withdrawn[spread.key] = held
        self.counts["released"] += 1
        self._log(spread.key, why)

    # To look at

    def _log(self, key: str, what: str) -> None:
        shown = key if len(key) <= SHOWN_KEY else key[:SHOWN_KEY] + "..."
        self._actions.append(api.Log(f"hot key {shown!r}: {what}"))

    def take_actions(self) -> list[api.Action]:
        """What there is to do since last asked."""
        actions, self._actions = self._actions, []
        return actions

    def digest(self, now: int, most: int = SHOWN) -> list[tuple[str, float, int]]:
        """Key, share of this router's reads and nodes of its spread keys, hottest first: for its peers."""
        held = [
            (key, self._meter.share(self._meter.watched[key]), spread.copies)
            for key, spread in self._spreads.items()
        ]
        return sorted(held, key=lambda entry: -entry[1])[:most]

    def view(self, now: int) -> dict[str, Any]:
        """Its state, for people."""
        top = [self._view_of(tenant, key, count, error, now)
               for tenant, key, count, error in self._meter.top(SHOWN)]  # fmt: skip
        return {
            "on": True,
            "fill": self._told.fill.value,
            "spread": len(self._spreads),
            "watched": len(self._meter.watched),
            "counted": {tenant or "(none)": held for tenant, held in self._meter.held().items()},
            "copied_bytes": self._copied(),
            "threshold_share": round(self._meter.threshold, 5),
            "counts": dict(self.counts),
            "voids": self._voids.view(),
            "top": top,
        }

    def _view_of(self, tenant: str, key: str, count: float, error: float, now: int) -> dict[str, object]:
        watched, spread = self._meter.watched.get(key), self._spreads.get(key)
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
            "copies": spread.copies if spread else 1,
            "held": len(spread.ready) if spread else 1,
            "releasing": spread.releasing if spread else False,
            "why": spread.why if spread else "",
        }
