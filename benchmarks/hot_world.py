"""Simulates routers' decision modules with nodes and an origin in virtual time, reproducible by seed.

It runs in one process without sockets, and shows which nodes receive reads and store values. Each node has
one core and a queue. Times are in nanoseconds.
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

MS = 1_000_000  # nanoseconds
S = 1_000 * MS
HOT = "hot"
QUEUE_LENGTH = 24
ORIGIN = "origin"
KeySource = Callable[[], tuple[Any, ...]]
"""Returns the arguments of `World.ask`: a key, whether it is a write, and optionally more."""


@dataclass(slots=True)
class WorldNode:
    """A simulated node with one core: its stored keys (version and expiry time) and its faults."""

    stored: dict[str, tuple[int, int]] = field(default_factory=dict)
    free_at: int = 0
    slow: float = 1.0
    """Factor by which its work takes longer."""
    down: bool = False
    """Whether its process is dead: connections are refused."""
    cut: bool = False
    """Whether it is cut off: requests sent to it are lost."""
    reported_ms: float = 0.0
    """The smoothed response time that it reports, in milliseconds."""


@dataclass(slots=True)
class Read:
    """A request as its client sees it."""

    key: str
    write: bool
    router: int
    asked_at: int
    attempts: int = 0
    missed: list[str] = field(default_factory=list)
    version: int = 0
    """The version that it was served with."""
    written_version: int = 0
    """The version that a write created at the origin, while the router may still delay its answer."""
    attempt_number: int = 1
    first_asked_at: int = 0
    tenant: str = ""
    timeout: int = S
    """Time that its client waits."""
    min_version: int = 0
    """The version of the last write that was answered before this request was sent."""


class World:
    """Routers and nodes in virtual time, with clients that send reads and writes."""

    def __init__(
        self, nodes: int, hot_keys: HotKeySettings | None, seed: int = 1, routers: int = 1, zones: int = 3,
        work: int = 10 * MS, size: int = 2_000, vectors: bool = False, origin_drops: bool = True,
        sizes: dict[str, int] | None = None, retries: int = 0, spread_work: float = 0.0,
        stored_prefix: str = "", reports: bool = False, queue_length: int = QUEUE_LENGTH,
    ) -> None:  # fmt: skip
        self.queue_length = queue_length
        """Requests that may wait at a node; more are refused."""
        self.stored_prefix = stored_prefix
        """Prefix of keys that every node always stores; empty for none."""
        self.retries, self.spread_work = retries, spread_work
        self.in_time = self.first_attempts = 0
        """Reads served within their aim, counted from the first attempt, and the number of first attempts."""
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
        self._sequence = 0
        self.reads: dict[str, Read] = {}
        self.sent: Counter[str] = Counter()
        """Requests sent to each node since the last `clear`."""
        self.sent_by_key: dict[str, Counter[str]] = defaultdict(Counter)
        """Requests sent to each node, by key."""
        self.fetches: Counter[str] = Counter()
        self.failing_keys: set[str] = set()
        self.outcomes: Counter[str] = Counter()
        self.choose_router: Callable[[], int] = lambda: self.rng.randrange(len(self.routers))
        self.counts: defaultdict[int | str, Counter[str]] = defaultdict(Counter)
        """Counts of requests and of their outcomes, by router and by tenant."""
        self.on_refusal: Callable[[Read], object] = lambda read: None
        """Called with each refused or failed request."""
        self.stale_reads = 0
        self.max_staleness = 0
        """Longest time from the answer of a write to the start of a read that got an older version."""
        self.copies_made = 0
        self.logs: list[str] = []
        self.round_trip: Callable[[int, str], int] = lambda router, server: MS
        """Returns the round-trip time between a router and a node."""
        self.is_partitioned: Callable[[int, str], bool] = lambda router, server: False
        """Returns whether requests from a router to a node are lost."""
        self.invalidation_arrives: Callable[[str, str], bool] = lambda key, server: True
        """Returns whether an invalidation arrives; a test may drop some."""
        self.publish_servers()

    # Time

    def schedule(self, delay: int, action: Callable[[], object]) -> None:
        """Schedule an action after a delay."""
        self._sequence += 1
        heapq.heappush(self.queue, (self.now + delay, self._sequence, action))

    def run(self, until: int) -> None:
        """Run until this time."""
        while self.queue and self.queue[0][0] <= until:
            self.now, _, action = heapq.heappop(self.queue)
            action()
        self.now = until

    def start_load(self, rate: float, keys: KeySource, seconds: float) -> None:
        """Schedule requests at this rate with exponential gaps, for this many seconds from now."""
        end = self.now + int(seconds * S)

        def arrive() -> None:
            if self.now < end:
                self.ask(*keys())
                self.schedule(int(self.rng.expovariate(rate) * S), arrive)

        arrive()

    def run_load(self, rate: float, keys: KeySource, seconds: float) -> None:
        """Send requests at this rate and run for this many seconds."""
        self.start_load(rate, keys, seconds)
        self.run(self.now + int(seconds * S))

    # Clients

    def ask(
        self, key: str, write: bool = False, tenant: str | None = None, retry_of: Read | None = None,
        timeout: int = S,
    ) -> str:  # fmt: skip
        """Send a request to a router and return its id.

        `retry_of` is the previous attempt, `timeout` the time that the client waits.
        """
        self._sequence += 1
        request_id = f"{self._sequence:x}"
        router = self.choose_router()
        tenant = tenant or ("a" if self.rng.random() < 0.7 else "b")
        read = self.reads[request_id] = Read(key, write, router, self.now, min_version=self.answered[key])
        read.tenant, read.timeout, read.first_asked_at = (
            tenant,
            timeout,
            retry_of.first_asked_at if retry_of else self.now,
        )
        read.attempt_number = retry_of.attempt_number + 1 if retry_of else 1
        self._count(read, "asked again" if retry_of else "asked")
        self.first_attempts += retry_of is None
        kind = "edit" if write else "read"
        self.deliver(
            router,
            RequestArrived(
                request_id, kind, self.now + timeout, tenant, key, write, retry=retry_of is not None
            ),
        )
        return request_id

    def leave(self, request_id: str) -> None:
        """Let the client of a request disconnect."""
        self.deliver(self.reads[request_id].router, ClientGone(request_id))

    def deliver(self, router: int, event: Event) -> None:
        """Pass an event to a router and execute the actions that it returns."""
        for action in self.routers[router].handle(event, self.now):
            match action:
                case Send():
                    self._send(router, action)
                case SetTimer():
                    token = action.token
                    self.schedule(action.delay, lambda token=token: self.deliver(router, TimerFired(token)))  # type: ignore[misc]
                case Refuse() | Fail():
                    read = self.reads[action.request]
                    self._record_outcome(read, "refused" if isinstance(action, Refuse) else "failed")
                    self.on_refusal(read)
                    if read.attempt_number <= self.retries and not read.write:
                        retry_after = action.retry_after if isinstance(action, Refuse) else 0
                        pause = max(retry_after, 40 * MS << read.attempt_number) * self.rng.uniform(0.7, 1.3)
                        self.schedule(int(pause), partial(self.ask, read.key, False, read.tenant, read))
                case Answer():
                    self._answer_write(action.request)
                case Copy():
                    self._copy(router, action)
                case Invalidate():
                    self._invalidate(router, action)
                case Log():
                    self.logs.append(action.message)

    def _count(self, read: Read, name: str) -> None:
        self.counts[read.router][name] += 1
        self.counts[read.tenant][name] += 1

    def _record_outcome(self, read: Read, name: str) -> None:
        self.outcomes[name] += 1
        self._count(read, name)

    def _answer_write(self, request_id: str) -> None:
        read = self.reads[request_id]
        self.outcomes["written"] += 1
        self.answered[read.key] = max(self.answered[read.key], read.written_version)
        self.answered_at.setdefault((read.key, read.written_version), self.now)

    # Nodes and the origin

    def _send(self, router: int, send: Send) -> None:
        read = self.reads[send.request]
        attempt, read.attempts = read.attempts, read.attempts + 1
        started_at = self.now

        def end(
            outcome: Outcome, closed: bool = False, size: int = 0, load: tuple[float, ...] | None = None
        ) -> None:
            elapsed = self.now - started_at
            event = AttemptEnded(
                send.request, attempt, send.server, outcome, closed, elapsed, load=load, size=size
            )
            self.deliver(router, event)

        if send.server == ORIGIN:
            self.schedule(50 * MS, lambda: self._at_origin(read, send, end))
            return
        node = self.nodes[send.server]
        self.sent[send.server] += 1
        self.sent_by_key[read.key][send.server] += 1
        round_trip = self.round_trip(router, send.server)
        if node.down:
            self.schedule(round_trip, lambda: end(Outcome.CONNECT_FAILED))
            return
        if node.cut or self.is_partitioned(router, send.server):
            self.schedule(send.timeout or S, lambda: end(Outcome.TIMEOUT))
            return
        work_ns = int(self.work * node.slow * self.rng.uniform(1 - self.spread_work, 1 + self.spread_work))
        if node.free_at - self.now > self.queue_length * self.work * node.slow:
            self.schedule(round_trip, lambda: end(Outcome.FULL))
            return
        node.free_at = max(node.free_at, self.now) + work_ns
        gives_up_at = min(self.now + (send.timeout or S), read.asked_at + read.timeout)
        if node.free_at + round_trip > gives_up_at:
            # A time-out does not stop the node: it still completes the work.
            self.schedule(max(gives_up_at - self.now, 0), lambda: end(Outcome.TIMEOUT))
            return

        def answer() -> None:
            if node.down:
                end(Outcome.RESET)
                return
            node.reported_ms += ((self.now - started_at) / MS - node.reported_ms) / 8
            load = (node.reported_ms,)
            stored = node.stored.get(read.key)
            if stored is None and self.stored_prefix and read.key.startswith(self.stored_prefix):
                stored = 0, 0
            if stored is None or 0 < stored[1] <= self.now:
                read.missed.append(send.server)
                end(Outcome.MISS, load=load)
                return
            self._served(read, stored[0])
            end(Outcome.OK, True, self.size_of(read.key), load)

        self.schedule(node.free_at - self.now + round_trip, answer)

    def size_of(self, key: str) -> int:
        """Return the length of a key's value in bytes."""
        return self.sizes.get(key, self.size)

    def _served(self, read: Read, version: int) -> None:
        read.version = version
        self.in_time += self.now - read.first_asked_at <= 300 * MS
        self._record_outcome(read, "served")
        if version < read.min_version:
            self.stale_reads += 1
            since = self.answered_at[read.key, version + 1]
            self.max_staleness = max(self.max_staleness, read.asked_at - since)

    def _at_origin(self, read: Read, send: Send, end: Callable[..., None]) -> None:
        if read.write:
            self.versions[read.key] += 1
            read.written_version = self.versions[read.key]
            if self.origin_drops:
                for node in self.nodes.values():
                    node.stored.pop(read.key, None)
            if send.defer_answer:
                end(Outcome.OK)
            else:
                self._answer_write(send.request)
                end(Outcome.OK, True)
            return
        self.fetches[read.key] += 1
        if read.key in self.failing_keys:
            end(Outcome.ERROR)
            return
        version = self.versions[read.key]
        for server in read.missed[:2]:
            if server in self.nodes and not self.nodes[server].down:
                self.nodes[server].stored[read.key] = version, 0
        self._served(read, version)
        end(Outcome.OK, True, self.size_of(read.key))

    def _copy(self, router: int, copy: Copy) -> None:
        version = self.reads[copy.request].version

        def arrive(node: WorldNode) -> None:
            self.copies_made += 1
            node.stored[copy.key] = version, self.now + copy.lease

        self._send_plain_command(router, copy.server, arrive, partial(CopyEnded, copy.key, copy.server))

    def _invalidate(self, router: int, invalidate: Invalidate) -> None:
        def arrive(node: WorldNode) -> None:
            node.stored.pop(invalidate.key, None)

        def create_event(outcome: Outcome) -> Event:
            return InvalidationEnded(invalidate.key, invalidate.server, outcome, invalidate.sequence)

        self._send_plain_command(
            router,
            invalidate.server,
            arrive,
            create_event,
            lambda: self.invalidation_arrives(invalidate.key, invalidate.server),
        )

    def _send_plain_command(
        self, router: int, server: str, arrive: Callable[[WorldNode], None],
        create_event: Callable[[Outcome], Event], arrives: Callable[[], bool] = lambda: True,
    ) -> None:  # fmt: skip
        """Execute a plain command at a node if it arrives, and report the outcome to the router."""

        def complete() -> None:
            node, outcome = self.nodes[server], Outcome.OK
            if node.down:
                outcome = Outcome.CONNECT_FAILED
            elif node.cut or not arrives():
                outcome = Outcome.TIMEOUT
            else:
                arrive(node)
            self.deliver(router, create_event(outcome))

        self.schedule(2 * MS, complete)

    # The server list

    def server_entry(self, name: str, state: ServerState = ServerState.READY, started: int = 0) -> Server:
        """Return a node's entry in the server list."""
        zone = f"z{int(name[2:], 16) % self.zones}"
        return Server(name, kind="std", zone=zone, state=state, started=started)

    def publish_servers(self) -> None:
        """Deliver the full server list to every router."""
        entries = (*(self.server_entry(name) for name in self.nodes), Server(ORIGIN, kind=ORIGIN))
        for router in range(len(self.routers)):
            self.deliver(router, ServersChanged(ListKind.FULL, entries))

    def publish_change(self, entry: Server) -> None:
        """Deliver one change of the server list to every router."""
        for router in range(len(self.routers)):
            self.deliver(router, ServersChanged(ListKind.DELTA, (entry,)))

    # Observations

    def hot_keys_view(self, router: int = 0) -> dict[str, Any]:
        """Return a router's report on its hot keys."""
        view: Any = views.summary(self.routers[router], self.now)["hot_keys"]
        return dict(view)

    def copies(self, key: str = HOT, router: int = 0) -> int:
        """Return the number of nodes on which a router wants a key."""
        for entry in self.hot_keys_view(router).get("top", ()):
            if entry["key"] == key:
                return int(entry["copies"])
        return 1

    def busiest(self) -> float:
        """Return the load of the busiest node as a multiple of the fair share, since the last `clear`."""
        return max(self.sent.values()) * len(self.nodes) / max(self.sent.total(), 1)

    def clear(self) -> None:
        """Reset the counts of sent requests and fetches."""
        self.sent.clear()
        self.sent_by_key.clear()
        self.fetches.clear()


def mixed_keys(rng: random.Random, hot_share: float, others: int) -> Callable[[], tuple[str, bool]]:
    """Return a source of reads: `HOT` has this share, and `others` other keys are equally likely."""

    def draw() -> tuple[str, bool]:
        return (HOT if rng.random() < hot_share else f"k{rng.randrange(others)}"), False

    return draw
