"""Routers' decisions alone against nodes and an origin in virtual time: one process, seeded, no sockets.

What it measures is where reads go and what is kept; queues are one core a node. Times are nanoseconds.
"""

from __future__ import annotations

import heapq
import random
from collections import Counter, defaultdict
from collections.abc import Callable
from dataclasses import dataclass, field
from functools import partial
from typing import Any

from saltport.decisions import (
    Answer,
    AttemptEnded,
    ClientGone,
    Copy,
    CopyEnded,
    Effect,
    Event,
    Fail,
    HotKeySettings,
    Invalidate,
    InvalidationEnded,
    ListKind,
    Log,
    Outcome,
    Refuse,
    RequestArrived,
    RequestClass,
    Router,
    Send,
    Server,
    ServersChanged,
    ServerState,
    SetTimer,
    Settings,
    Tenant,
    TimerFired,
    views,
)

MS = 1_000_000
S = 1_000 * MS
HOT = "hot"
QUEUE = 24
ORIGIN = "origin"
Keys = Callable[[], tuple[Any, ...]]  # what `World.ask` is told: a key, whether it is a write, and more


@dataclass(slots=True)
class WorldNode:
    """A node: what it keeps (version, and until when), its one core, and whether it answers."""

    kept: dict[str, tuple[int, int]] = field(default_factory=dict)
    free_at: int = 0
    slow: float = 1.0
    """Times by which its work takes longer."""
    down: bool = False
    """Its process is dead: connections are refused."""
    cut: bool = False
    """Nothing comes of what is sent there."""
    told: float = 0.0
    """What it reports: the smoothed time of its answers, milliseconds."""


@dataclass(slots=True)
class Read:
    """A request under way, as its client sees it."""

    key: str
    write: bool
    router: int
    asked_at: int
    attempts: int = 0
    missed: list[str] = field(default_factory=list)
    version: int = 0
    """What it was served with."""
    held: int = 0
    """The version that a write made, whose answer the router holds."""
    tried: int = 1
    begun_at: int = 0
    tenant: str = ""
    within: int = S
    """For how long its client waits."""
    least: int = 0
    """The version that the last write answered before it was asked for has made."""


class World:
    """So many routers and nodes; `loads` gives each arrival's gap, key and whether it is a write."""

    def __init__(
        self, nodes: int, hot_keys: HotKeySettings | None, seed: int = 1, routers: int = 1, zones: int = 3,
        work: int = 10 * MS, size: int = 2_000, vectors: bool = False, origin_drops: bool = True,
        sizes: dict[str, int] | None = None, retries: int = 0, spread_work: float = 0.0,
        kept: str = "", reports: bool = False, queue: int = QUEUE,
    ) -> None:  # fmt: skip
        self.queue_length = queue
        """Requests that wait at a node; more are turned away."""
        self.kept = kept
        """Keys that begin so are kept by every node for good."""
        self.retries, self.spread_work = retries, spread_work
        self.in_time = self.first_tries = 0
        """Reads served within their aim, counted from the first try; and how many first tries there were."""
        self.rng, self.now = random.Random(seed), S
        self.work, self.size, self.sizes = work, size, sizes or {}
        self.origin_drops = origin_drops
        self.nodes = {f"s-{number:05x}": WorldNode() for number in range(nodes)}
        self.zones = zones
        self.versions: Counter[str] = Counter()
        self.answered: Counter[str] = Counter()
        self.answered_at: dict[tuple[str, int], int] = {}
        settings = Settings(
            classes=(
                RequestClass("read", aim=300 * MS, deadline=S),
                RequestClass("edit", aim=500 * MS, deadline=S, effect=Effect.KEYED, dedup_window=2 * S),
            ),
            tenants=(Tenant("a", 0.7), Tenant("b", 0.3)),
            routers=routers, origin_kind=ORIGIN, hot_keys=hot_keys, vectors=vectors, retry_after=True,
            slots=1 << 16 if nodes <= 1_000 else 1 << 20, load_fields=("latency_ms",) if reports else (),
        )  # fmt: skip
        self.routers = [Router(settings, seed + number) for number in range(routers)]
        self.queue: list[tuple[int, int, Callable[[], object]]] = []
        self._number = 0
        self.reads: dict[str, Read] = {}
        self.sent: Counter[str] = Counter()
        """Reads by node, since it was last cleared."""
        self.sent_of: dict[str, Counter[str]] = defaultdict(Counter)
        """The same by key."""
        self.fetches: Counter[str] = Counter()
        self.origin_fails: set[str] = set()
        self.ends: Counter[str] = Counter()
        self.choose_router: Callable[[], int] = lambda: self.rng.randrange(len(self.routers))
        self.by: defaultdict[int | str, Counter[str]] = defaultdict(Counter)
        """Requests, and what came of them, by router and by tenant."""
        self.on_refusal: Callable[[Read], object] = lambda read: None
        """What a client that is turned away does besides."""
        self.stale = 0
        self.stalest = 0
        """The longest time from a write's answer to a read that was asked for since and served with what was
        before."""
        self.copied = 0
        self.logs: list[str] = []
        self.trip: Callable[[int, str], int] = lambda router, server: MS
        """Between a router and a node, there and back."""
        self.parted: Callable[[int, str], bool] = lambda router, server: False
        """Whether nothing comes of what a router sends to a node."""
        self.on_invalidate: Callable[[str, str], bool] = lambda key, server: True
        """Whether an invalidation arrives; a test may lose some."""
        self.list_all()

    # Time

    def at(self, delay: int, what: Callable[[], object]) -> None:
        """Do something later."""
        self._number += 1
        heapq.heappush(self.queue, (self.now + delay, self._number, what))

    def run(self, until: int) -> None:
        """Let time go by."""
        while self.queue and self.queue[0][0] <= until:
            self.now, _, what = heapq.heappop(self.queue)
            what()
        self.now = until

    def load(self, rate: float, keys: Keys, seconds: float) -> None:
        """Ask for keys at this rate, evenly drawn gaps, from now on."""
        end = self.now + int(seconds * S)

        def arrive() -> None:
            if self.now < end:
                self.ask(*keys())
                self.at(int(self.rng.expovariate(rate) * S), arrive)

        arrive()

    def play(self, rate: float, keys: Keys, seconds: float) -> None:
        """Ask at this rate, and let that time go by."""
        self.load(rate, keys, seconds)
        self.run(self.now + int(seconds * S))

    # Clients

    def ask(
        self, key: str, write: bool = False, tenant: str | None = None, again: Read | None = None,
        within: int = S,
    ) -> str:  # fmt: skip
        """One request, at any router; returns its id. `again`: the try before it; `within`: its time."""
        self._number += 1
        name = f"{self._number:x}"
        router = self.choose_router()
        tenant = tenant or ("a" if self.rng.random() < 0.7 else "b")
        read = self.reads[name] = Read(key, write, router, self.now, least=self.answered[key])
        read.tenant, read.within, read.begun_at = tenant, within, again.begun_at if again else self.now
        read.tried = again.tried + 1 if again else 1
        self._count(read, "asked again" if again else "asked")
        self.first_tries += again is None
        kind = "edit" if write else "read"
        self.tell(
            router,
            RequestArrived(name, kind, self.now + within, tenant, key, write, retry=again is not None),
        )
        return name

    def leave(self, name: str) -> None:
        """A client goes."""
        self.tell(self.reads[name].router, ClientGone(name))

    def tell(self, router: int, event: Event) -> None:
        """Give a router an event, and do what it says."""
        for action in self.routers[router].handle(event, self.now):
            match action:
                case Send():
                    self._send(router, action)
                case SetTimer():
                    token = action.token
                    self.at(action.delay, lambda token=token: self.tell(router, TimerFired(token)))  # type: ignore[misc]
                case Refuse() | Fail():
                    read = self.reads[action.request]
                    self._end(read, "refused" if isinstance(action, Refuse) else "failed")
                    self.on_refusal(read)
                    if read.tried <= self.retries and not read.write:
                        told = action.retry_after if isinstance(action, Refuse) else 0
                        pause = max(told, 40 * MS << read.tried) * self.rng.uniform(0.7, 1.3)
                        self.at(int(pause), partial(self.ask, read.key, False, read.tenant, read))
                case Answer():
                    self._written(action.request)
                case Copy():
                    self._copy(router, action)
                case Invalidate():
                    self._invalidate(router, action)
                case Log():
                    self.logs.append(action.message)

    def _count(self, read: Read, what: str) -> None:
        self.by[read.router][what] += 1
        self.by[read.tenant][what] += 1

    def _end(self, read: Read, what: str) -> None:
        self.ends[what] += 1
        self._count(read, what)

    def _written(self, name: str) -> None:
        read = self.reads[name]
        self.ends["written"] += 1
        self.answered[read.key] = max(self.answered[read.key], read.held)
        self.answered_at.setdefault((read.key, read.held), self.now)

    # Nodes and the origin

    def _send(self, router: int, send: Send) -> None:
        read = self.reads[send.request]
        number, read.attempts = read.attempts, read.attempts + 1
        begun = self.now

        def end(
            outcome: Outcome, closed: bool = False, size: int = 0, load: tuple[float, ...] | None = None
        ) -> None:
            took = self.now - begun
            event = AttemptEnded(
                send.request, number, send.server, outcome, closed, took, load=load, size=size
            )
            self.tell(router, event)

        if send.server == ORIGIN:
            self.at(50 * MS, lambda: self._at_origin(read, send, end))
            return
        node = self.nodes[send.server]
        self.sent[send.server] += 1
        self.sent_of[read.key][send.server] += 1
        trip = self.trip(router, send.server)
        if node.down:
            self.at(trip, lambda: end(Outcome.CONNECT_FAILED))
            return
        if node.cut or self.parted(router, send.server):
            self.at(send.timeout or S, lambda: end(Outcome.TIMEOUT))
            return
        work = int(self.work * node.slow * self.rng.uniform(1 - self.spread_work, 1 + self.spread_work))
        if node.free_at - self.now > self.queue_length * self.work * node.slow:
            self.at(trip, lambda: end(Outcome.FULL))
            return
        node.free_at = max(node.free_at, self.now) + work
        given_up = min(self.now + (send.timeout or S), read.asked_at + read.within)
        if node.free_at + trip > given_up:
            # A time-out stops nothing: the work goes on.
            self.at(max(given_up - self.now, 0), lambda: end(Outcome.TIMEOUT))
            return

        def answer() -> None:
            if node.down:
                end(Outcome.RESET)
                return
            node.told += ((self.now - begun) / MS - node.told) / 8
            load = (node.told,)
            held = node.kept.get(read.key)
            if held is None and self.kept and read.key.startswith(self.kept):
                held = 0, 0
            if held is None or 0 < held[1] <= self.now:
                read.missed.append(send.server)
                end(Outcome.MISS, load=load)
                return
            self._served(read, held[0])
            end(Outcome.OK, True, self.size_of(read.key), load)

        self.at(node.free_at - self.now + trip, answer)

    def size_of(self, key: str) -> int:
        """Bytes of a key's value."""
        return self.sizes.get(key, self.size)

    def _served(self, read: Read, version: int) -> None:
        read.version = version
        self.in_time += self.now - read.begun_at <= 300 * MS
        self._end(read, "served")
        if version < read.least:
            self.stale += 1
            since = self.answered_at[read.key, version + 1]
            self.stalest = max(self.stalest, read.asked_at - since)

    def _at_origin(self, read: Read, send: Send, end: Callable[..., None]) -> None:
        if read.write:
            self.versions[read.key] += 1
            read.held = self.versions[read.key]
            if self.origin_drops:
                for node in self.nodes.values():
                    node.kept.pop(read.key, None)
            if send.defer_answer:
                end(Outcome.OK)
            else:
                self._written(send.request)
                end(Outcome.OK, True)
            return
        self.fetches[read.key] += 1
        if read.key in self.origin_fails:
            end(Outcome.ERROR)
            return
        version = self.versions[read.key]
        for server in read.missed[:2]:
            if server in self.nodes and not self.nodes[server].down:
                self.nodes[server].kept[read.key] = version, 0
        self._served(read, version)
        end(Outcome.OK, True, self.size_of(read.key))

    def _copy(self, router: int, copy: Copy) -> None:
        version = self.reads[copy.request].version

        def arrive(node: WorldNode) -> None:
            self.copied += 1
            node.kept[copy.key] = version, self.now + copy.lease

        self._plain(router, copy.server, arrive, partial(CopyEnded, copy.key, copy.server))

    def _invalidate(self, router: int, invalidate: Invalidate) -> None:
        def arrive(node: WorldNode) -> None:
            node.kept.pop(invalidate.key, None)

        def told(outcome: Outcome) -> Event:
            return InvalidationEnded(invalidate.key, invalidate.server, outcome, invalidate.sequence)

        self._plain(
            router,
            invalidate.server,
            arrive,
            told,
            lambda: self.on_invalidate(invalidate.key, invalidate.server),
        )

    def _plain(
        self, router: int, server: str, arrive: Callable[[WorldNode], None],
        told: Callable[[Outcome], Event], gets_there: Callable[[], bool] = lambda: True,
    ) -> None:  # fmt: skip
        """Carry a plain command out at a node, if it gets there."""

        def land() -> None:
            node, outcome = self.nodes[server], Outcome.OK
            if node.down:
                outcome = Outcome.CONNECT_FAILED
            elif node.cut or not gets_there():
                outcome = Outcome.TIMEOUT
            else:
                arrive(node)
            self.tell(router, told(outcome))

        self.at(2 * MS, land)

    # The list

    def entry(self, name: str, state: ServerState = ServerState.READY, started: int = 0) -> Server:
        """A node's entry in the list."""
        zone = f"z{int(name[2:], 16) % self.zones}"
        return Server(name, kind="std", zone=zone, state=state, started=started)

    def list_all(self) -> None:
        """Tell every router the whole list."""
        entries = (*(self.entry(name) for name in self.nodes), Server(ORIGIN, kind=ORIGIN))
        for router in range(len(self.routers)):
            self.tell(router, ServersChanged(ListKind.FULL, entries))

    def change(self, entry: Server) -> None:
        """Tell every router one change."""
        for router in range(len(self.routers)):
            self.tell(router, ServersChanged(ListKind.DELTA, (entry,)))

    # To look at

    def hot_view(self, router: int = 0) -> dict[str, Any]:
        """What a router tells of its hot keys."""
        told: Any = views.summary(self.routers[router], self.now)["hot_keys"]
        return dict(told)

    def copies(self, key: str = HOT, router: int = 0) -> int:
        """On how many nodes a router wants a key."""
        for entry in self.hot_view(router).get("top", ()):
            if entry["key"] == key:
                return int(entry["copies"])
        return 1

    def busiest(self) -> float:
        """What the busiest node got, in fair shares, since `sent` was cleared."""
        return max(self.sent.values()) * len(self.nodes) / max(self.sent.total(), 1)

    def clear(self) -> None:
        """Count from now on."""
        self.sent.clear()
        self.sent_of.clear()
        self.fetches.clear()


def mixed(rng: random.Random, hot_share: float, others: int) -> Callable[[], tuple[str, bool]]:
    """Keys of which one has this share and the others are asked for alike."""

    def draw() -> tuple[str, bool]:
        return (HOT if rng.random() < hot_share else f"k{rng.randrange(others)}"), False

    return draw
