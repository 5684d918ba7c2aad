"""The public interface of saltport.decisions: settings, events and actions.

The module defines data types only. All times and durations are integer nanoseconds on the caller's monotonic
clock.
"""

from __future__ import annotations

from dataclasses import dataclass, field
from enum import Enum
from typing import TYPE_CHECKING

from saltport.structures.slot_rankings import MAX_ROWS

if TYPE_CHECKING:
    from saltport.decisions.topology import Topology

NS_PER_S = 1_000_000_000
DEFAULT_SLOTS = 8192


class Effect(Enum):
    """Whether a request may be repeated: safely, within a deduplication window, or not at all."""

    SAFE = "safe"
    KEYED = "keyed"
    UNSAFE = "unsafe"


class DedupScope(Enum):
    """The servers that recognise repeats of a keyed request, relative to the server that may have run it."""

    ALL = "all"
    ZONE = "zone"
    CELL = "cell"


class Outcome(Enum):
    """How an attempt or a probe ended; NOT_SENT means that it was abandoned before it was sent."""

    OK = "ok"
    MISS = "miss"
    ERROR = "error"
    FULL = "full"
    TIMEOUT = "timeout"
    CONNECT_FAILED = "connect_failed"
    RESET = "reset"
    CANCELLED = "cancelled"
    NOT_SENT = "moot"

    @property
    def never_ran(self) -> bool:
        """Whether this outcome proves that the request had no effect at the server."""
        return self in (Outcome.MISS, Outcome.FULL, Outcome.CONNECT_FAILED, Outcome.NOT_SENT)


class ListKind(Enum):
    """The kind of a membership event: a change, the full list, a list from the cache, or a failed call."""

    DELTA = "delta"
    FULL = "full"
    CACHED = "cached"
    FAILED = "failed"


class ServerState(Enum):
    """The state of a listed server."""

    GONE = "gone"
    READY = "ready"
    DRAINING = "draining"


class Reason(Enum):
    """Why a request is given up; metrics, logs and refusals use these values."""

    TRIES_SPENT = "tries spent"
    DEADLINE = "deadline"
    TOO_LATE = "too little time left"
    """The time left is shorter than a server's usual response time."""
    NO_SERVER = "no server"
    """No server that may store the key is usable, so that the request counts as a miss."""
    SERVERS_FULL = "servers overrun"
    NO_ORIGIN = "no origin"
    ORIGIN_BUSY = "origin busy"
    """The concurrency limit is reached: a write waits until another call to the origin has ended."""
    ORIGIN_FAILED = "origin failed"
    FETCH_SUPPRESSED = "fetch suppressed"
    """The tenant's rate limit allows no fetch now."""
    FETCH_PAUSED = "its key's fetch failed just now"
    OUTSIDE_PLAN = "no room by plan"
    """The zone plan has no capacity for the request."""
    ROUTER_OVERLOADED = "router overloaded"


class CacheStatus(Enum):
    """How a cache server handled a read; FETCH_PENDING: a miss for which another request already fetches."""

    HIT = 1
    MISS = 2
    FETCH_PENDING = 3


class Fill(Enum):
    """How a value is copied to the additional nodes of a hot key."""

    READS = "reads"
    """A read visits the nodes without the value, and the origin's answer is stored there."""
    WRITES = "writes"
    """The router writes the value of an answer that it forwards to nodes that accept such writes."""


def _require(ok: bool, key: str, rule: str) -> None:
    if not ok:
        raise ValueError(f"settings: {key} {rule}")


@dataclass(frozen=True, slots=True)
class RequestClass:
    """A class of requests with its target response time `aim`, deadline and rules for repeats.

    Repeats of a keyed request are dropped for `dedup_window` by the servers in `dedup_scope`. Answers of a
    `streamed` class occupy their server until the last byte.
    """

    name: str
    aim: int
    deadline: int
    effect: Effect = Effect.SAFE
    dedup_scope: DedupScope = DedupScope.ALL
    dedup_window: int = 0
    streamed: bool = False

    def __post_init__(self) -> None:
        _require(bool(self.name), "classes.name", "must not be empty")
        _require(self.aim > 0, "classes.aim", "must be above 0")
        _require(self.deadline > 0, "classes.deadline", "must be above 0")
        _require(self.dedup_window >= 0, "classes.dedup_window", "must not be negative")


@dataclass(frozen=True, slots=True)
class Tenant:
    """A tenant, its portion of the service, and its quota in requests per second over all routers."""

    name: str
    portion: float
    quota_per_s: float = 0.0

    def __post_init__(self) -> None:
        _require(0 <= self.portion <= 1, "tenants.portion", "must lie between 0 and 1")
        _require(self.quota_per_s >= 0, "tenants.quota_per_s", "must not be negative")


@dataclass(frozen=True, slots=True)
class HotKeySettings:
    """The settings of hot-key replication; times are in nanoseconds, sizes in bytes."""

    fill: Fill = Fill.READS
    max_keys: int = 64
    """Keys that are replicated at a time; a tenant may have its portion of them, and at least one."""
    max_copies: int = 16
    """Copies of one key, including that on its own node; with `Fill.WRITES` each write invalidates them."""
    max_bytes: int = 64 << 20
    """The total size of all additional copies whose sizes are known."""
    max_value: int = 64 << 10
    """The longest value that `Fill.WRITES` copies."""
    lease: int = 30 * NS_PER_S
    """The time after which a copy that the router wrote expires."""
    capacity: int = 1024
    """Keys whose reads are counted, over all tenants."""
    fair_shares: float = 2.0
    """The greatest multiple of its fair share of all reads that a node may receive."""

    def __post_init__(self) -> None:
        _require(self.max_keys >= 1, "hot_keys.max_keys", "must be at least 1")
        _require(2 <= self.max_copies <= 1 << 16, "hot_keys.max_copies", "must be from 2 to 65,536")
        _require(self.max_bytes >= 1, "hot_keys.max_bytes", "must be above 0")
        _require(0 < self.max_value <= 64 << 10, "hot_keys.max_value", "must be from 1 to 65,536")
        _require(self.lease >= NS_PER_S, "hot_keys.lease", "must be at least a second")
        _require(16 <= self.capacity <= 1 << 16, "hot_keys.capacity", "must be from 16 to 65,536")
        _require(1.05 <= self.fair_shares <= 100, "hot_keys.fair_shares", "must be from 1.05 to 100")


@dataclass(frozen=True, slots=True)
class Settings:
    """The settings of a router's decisions."""

    classes: tuple[RequestClass, ...]
    tenants: tuple[Tenant, ...] = ()
    routers: int = 1
    origin_kind: str | None = None
    """The machine kind of the origin's entries in the server list; None: the caches fetch by themselves."""
    weighted: bool = False
    """Whether the weights in the server list state the servers' sizes."""
    must_subscribe: bool = False
    """Whether the router must subscribe to the server list."""
    ask_within: int = 10 * NS_PER_S
    cold_share: float = 1.0
    cold_time: int = 0
    max_attempts: int = 4
    retry_after: bool = False
    max_retry_after: int = NS_PER_S
    may_probe: bool = False
    load_fields: tuple[str, ...] = ()
    """The names of the values in a load report, in their order."""
    slots: int = DEFAULT_SLOTS
    """The number of slots, equal at every router; far more than servers, so that a slot's load is small."""
    stored_rankings: int = MAX_ROWS
    """The number of slots whose rankings are stored, each in some 700 bytes."""
    vectors: bool = False
    """Whether large fleets are ranked with numpy, which takes about 17 MB of memory."""
    overload_target: int = 0
    """The time that received data may lie unread before the router sheds load; 0: it never sheds."""
    hot_keys: HotKeySettings | None = None
    """None: slots are replicated by their estimated load, without distinguishing keys."""
    topology: Topology | None = None
    """The zones and regions; None: all servers are equally near."""

    def __post_init__(self) -> None:
        _require(bool(self.classes), "classes", "must name at least one class")
        _require(self.routers >= 1, "routers", "must be at least 1")
        _require(self.ask_within > 0, "ask_within", "must be above 0")
        _require(0 < self.cold_share <= 1, "cold_share", "must lie above 0 and not over 1")
        _require(self.cold_time >= 0, "cold_time", "must not be negative")
        _require(self.max_attempts >= 1, "max_attempts", "must be at least 1")
        _require(1 <= self.slots <= 1 << 20, "slots", "must be from 1 to 1,048,576")
        _require(self.overload_target >= 0, "overload_target", "must not be negative")
        _require(self.max_retry_after >= 0, "max_retry_after", "must not be negative")
        _require(not (self.hot_keys and self.topology), "topology", "and hot_keys can't both be on yet")


@dataclass(frozen=True, slots=True)
class Server:
    """An entry of the server list; `started` is the start time, 0 where it lies long ago."""

    id: str
    kind: str = ""
    state: ServerState = ServerState.READY
    weight: float = 1.0
    started: int = 0
    zone: str = ""
    cell: int = 0


@dataclass(frozen=True, slots=True)
class ServersChanged:
    """A change of the server list; after FAILED, which has no entries, the previous list stays valid."""

    kind: ListKind
    servers: tuple[Server, ...] = ()


@dataclass(frozen=True, slots=True)
class ServerExcluded:
    """An operator excludes a server: no requests go to it, whatever the list says, until ServerReadmitted."""

    server: str


@dataclass(frozen=True, slots=True)
class ServerReadmitted:
    """An operator ends the exclusion of a server."""

    server: str


@dataclass(frozen=True, slots=True)
class SettingsChanged:
    """New settings apply; open requests keep their class and their number of attempts."""

    settings: Settings


@dataclass(slots=True)  # not frozen: a frozen instance takes four times as long to create
class RequestRules:
    """The rules that a request keeps from its arrival to its end, whatever settings are loaded meanwhile."""

    request_class: RequestClass
    max_attempts: int
    tenant: str
    """Its tenant; empty if it names none, or one that the settings did not have."""


@dataclass(slots=True)  # not frozen: a frozen instance takes four times as long to create
class RequestArrived:
    """A client's request, which needs one final answer by the clock time `deadline`."""

    request: str
    request_class: str
    deadline: int
    tenant: str | None = None
    key: str | None = None
    write: bool = False
    retry: bool = False
    rules: RequestRules | None = None
    """The rules that it has kept since it was received; None: it was received only now."""


@dataclass(frozen=True, slots=True)
class StreamStarted:
    """The first byte of an answer was forwarded; the rest of the attempt depends on the client's reading."""

    request: str
    attempt: int


@dataclass(slots=True)  # not frozen: a frozen instance takes four times as long to create
class AttemptEnded:
    """The end of one attempt; `closed` says whether the request already has its final answer."""

    request: str
    attempt: int
    server: str
    outcome: Outcome
    closed: bool
    latency: int
    cache_status: CacheStatus | None = None
    load: tuple[float, ...] | None = None
    lag: int = 0
    """The part of `latency` that this router caused: waiting to send, sending late or reading late."""
    connection_reused: bool = False
    """Whether the connection had carried other requests: the reset of such a one is no sign of a failure."""
    size: int = 0
    """The size of the value in bytes, 0 where unknown."""
    unsent: bool = False
    """Whether no byte of the request was sent, so that it had no effect whatever the outcome."""
    broke_off: bool = False
    """Whether the client has a part of the value, which only a further attempt can make whole."""
    resume_until: int = 0
    """If it broke off: until when another attempt may continue the value. The request's deadline was for the
    first bytes."""

    @property
    def never_ran(self) -> bool:
        """Whether the attempt certainly had no effect at the server."""
        return self.unsent or self.outcome.never_ran


@dataclass(frozen=True, slots=True)
class ClientGone:
    """The client has disconnected or cancelled, so that its request needs no answer."""

    request: str


@dataclass(frozen=True, slots=True)
class TimerFired:
    """A timer that was set with SetTimer has expired."""

    token: str


@dataclass(frozen=True, slots=True)
class ProbeEnded:
    """The result of a probe."""

    server: str
    outcome: Outcome
    latency: int
    load: tuple[float, ...] | None = None


@dataclass(frozen=True, slots=True)
class LoopReport:
    """The event loop's recent load: the share of time it was `busy`, the `delay` before received data is read
    and the `span` of time that the report covers."""

    busy: float
    delay: int
    span: int = NS_PER_S // 10


@dataclass(frozen=True, slots=True)
class CopyEnded:
    """The result of a Copy action."""

    key: str
    server: str
    outcome: Outcome


@dataclass(frozen=True, slots=True)
class InvalidationEnded:
    """The result of the Invalidate action with the same `sequence` number."""

    key: str
    server: str
    outcome: Outcome
    sequence: int


@dataclass(frozen=True, slots=True)
class ZonePlan:
    """The distribution of the reads of this router's zone; zones and regions are given by their indices."""

    shares: tuple[float, ...]
    """The share of the slots that each zone serves."""
    refused: float = 0.0
    """The share of the reads for which no zone has capacity."""
    trials: tuple[int, ...] = ()
    """Zones that are considered unhealthy and receive trial reads only."""
    trial: float = 0.02
    """The share of the first attempts of reads that are sent to the zones in `trials`."""
    closed: tuple[int, ...] = ()
    """Zones that an operator evacuated: they receive no requests."""
    origins: tuple[int, ...] = ()
    """The regions whose origins may serve this region, in order of preference; empty: nearest first."""
    lost: bool = False
    """Whether the origin of this region is considered unresponsive and receives trial reads only."""
    binding: bool = True
    """Whether reads leave their planned zone only after failures; False: routers may overflow to others."""


Event = (
    ServersChanged
    | RequestArrived
    | StreamStarted
    | AttemptEnded
    | ClientGone
    | TimerFired
    | ProbeEnded
    | LoopReport
    | CopyEnded
    | InvalidationEnded
    | ServerExcluded
    | ServerReadmitted
    | SettingsChanged
    | ZonePlan
)


@dataclass(slots=True)  # not frozen: a frozen instance takes four times as long to create
class Send:
    """Start an attempt at a server; with `timeout` 0 it lasts until the request's deadline."""

    request: str
    server: str
    timeout: int = 0
    defer_answer: bool = False
    """Whether a successful answer is withheld from the client until an Answer action."""
    not_after: int = 0
    """The clock time from which the attempt may no longer be sent; 0: the request's deadline."""


@dataclass(frozen=True, slots=True)
class Answer:
    """Forward the answer of an attempt that was sent with `defer_answer`."""

    request: str


@dataclass(frozen=True, slots=True)
class Copy:
    """Write the value just returned for this request to another node, where it expires after `lease`."""

    request: str
    key: str
    server: str
    lease: int


@dataclass(frozen=True, slots=True)
class Invalidate:
    """Delete a key at a node; `sequence` distinguishes the invalidations of one key."""

    key: str
    server: str
    sequence: int


@dataclass(frozen=True, slots=True)
class Refuse:
    """Final answer: the request was not served, and the client may safely retry it."""

    request: str
    retry_after: int = 0
    reason: Reason | None = field(default=None, compare=False)


@dataclass(frozen=True, slots=True)
class Fail:
    """Final answer: the request failed and may have had an effect."""

    request: str
    reason: Reason | None = field(default=None, compare=False)


@dataclass(frozen=True, slots=True)
class SetTimer:
    """Request a TimerFired event with this `token` after `delay`."""

    delay: int
    token: str


@dataclass(frozen=True, slots=True)
class Subscribe:
    """Subscribe to the changes of the server list."""


@dataclass(frozen=True, slots=True)
class Probe:
    """Check whether a server answers; the result is a ProbeEnded event."""

    server: str


@dataclass(frozen=True, slots=True)
class Log:
    """A log line for the operator; there are at most a few for each ejection of a server."""

    message: str


Action = Send | Refuse | Fail | SetTimer | Subscribe | Probe | Log | Answer | Copy | Invalidate
