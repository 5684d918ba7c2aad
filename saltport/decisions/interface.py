"""The public interface of saltport.decisions: settings, events and actions. No decisions are made here.

All times are whole nanoseconds on the caller's own monotonic clock.
"""

from __future__ import annotations

from dataclasses import dataclass, field
from enum import Enum
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from saltport.decisions.topology import Topology

NS_PER_S = 1_000_000_000
DEFAULT_SLOTS = 8192


class Effect(Enum):
    """What repeating a request does: nothing, dropped as a duplicate for a while, or harm."""

    SAFE = "safe"
    KEYED = "keyed"
    UNSAFE = "unsafe"


class Group(Enum):
    """The servers that drop repeats of a keyed request, seen from the one that may have run it."""

    ALL = "all"
    ZONE = "zone"
    CELL = "cell"


class Outcome(Enum):
    """How an attempt or a probe ended."""

    OK = "ok"
    MISS = "miss"
    ERROR = "error"
    FULL = "full"
    TIMEOUT = "timeout"
    CONNECT_FAILED = "connect_failed"
    RESET = "reset"
    CANCELLED = "cancelled"
    MOOT = "moot"

    @property
    def never_ran(self) -> bool:
        """Whether this end proves that the request had no effect there."""
        return self in (Outcome.MISS, Outcome.FULL, Outcome.CONNECT_FAILED, Outcome.MOOT)


class ListKind(Enum):
    """What a membership event holds."""

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
    """Why a request goes to no server now; figures, logs and refusals share these words."""

    TRIES_SPENT = "tries spent"
    DEADLINE = "deadline"
    TOO_LATE = "too little time left"
    """Less than a server's answers take."""
    NO_SERVER = "no server"
    """None that would hold the key is in use: it is a miss."""
    SERVERS_FULL = "servers overrun"
    NO_ORIGIN = "no origin"
    ORIGIN_BUSY = "origin busy"
    """A write waits until another call to the origin has ended."""
    ORIGIN_FAILED = "origin failed"
    FETCH_SUPPRESSED = "fetch suppressed"
    """By its tenant's rate limit."""
    FETCH_PAUSED = "its key's fetch failed just now"
    OUTSIDE_PLAN = "no room by plan"
    """The plan of zones has no place for it."""
    ROUTER_OVERLOADED = "router overloaded"


class CacheNote(Enum):
    """A cache's remark on an outcome; FETCH_OUT: a miss whose fetch another request was told to do."""

    HIT = 1
    MISS = 2
    FETCH_OUT = 3


class Fill(Enum):
    """How a further node of a hot key comes to hold it."""

    READS = "reads"
    """By a read that visits nodes that lack it, where the origin's answer is then stored: PROTOCOL's rule."""
    WRITES = "writes"
    """By a plain write of an answer that passes by, on nodes that take one."""


def _require(ok: bool, key: str, rule: str) -> None:
    if not ok:
        raise ValueError(f"settings: {key} {rule}")


@dataclass(frozen=True, slots=True)
class RequestClass:
    """A class of requests; an answer within `aim` is worth the most."""

    name: str
    aim: int
    deadline: int
    effect: Effect = Effect.SAFE
    group: Group = Group.ALL
    dedup_window: int = 0
    streamed: bool = False

    def __post_init__(self) -> None:
        _require(bool(self.name), "classes.name", "must not be empty")
        _require(self.aim > 0, "classes.aim", "must be above 0")
        _require(self.deadline > 0, "classes.deadline", "must be above 0")
        _require(self.dedup_window >= 0, "classes.dedup_window", "must not be negative")


@dataclass(frozen=True, slots=True)
class Tenant:
    """A tenant, its portion of the service, and its requests a second over all routers together."""

    name: str
    portion: float
    quota_per_s: float = 0.0

    def __post_init__(self) -> None:
        _require(0 <= self.portion <= 1, "tenants.portion", "must lie between 0 and 1")
        _require(self.quota_per_s >= 0, "tenants.quota_per_s", "must not be negative")


@dataclass(frozen=True, slots=True)
class HotKeySettings:
    """Hot keys on several nodes; times are nanoseconds, sizes bytes."""

    fill: Fill = Fill.READS
    max_keys: int = 64
    """ReplicatedKey at a time; a tenant may have its portion of them, one at least."""
    max_copies: int = 16
    """Of one key, its own node among them; with plain writes also the nodes where each write invalidates."""
    max_bytes: int = 64 << 20
    """Of all further copies together, as far as sizes are known."""
    max_value: int = 64 << 10
    """The longest value that is copied by a plain write."""
    lease: int = 30 * NS_PER_S
    """After which a copy that was set by a plain write expires."""
    capacity: int = 1024
    """Keys that are counted, of all tenants together."""
    promise: float = 2.0
    """Times its fair share of all reads that a node may get; what nodes can bear at their usual load."""

    def __post_init__(self) -> None:
        _require(self.max_keys >= 1, "hot_keys.max_keys", "must be at least 1")
        _require(2 <= self.max_copies <= 1 << 16, "hot_keys.max_copies", "must be from 2 to 65,536")
        _require(self.max_bytes >= 1, "hot_keys.max_bytes", "must be above 0")
        _require(0 < self.max_value <= 64 << 10, "hot_keys.max_value", "must be from 1 to 65,536")
        _require(self.lease >= NS_PER_S, "hot_keys.lease", "must be at least a second")
        _require(16 <= self.capacity <= 1 << 16, "hot_keys.capacity", "must be from 16 to 65,536")
        _require(1.05 <= self.promise <= 100, "hot_keys.fair_shares", "must be from 1.05 to 100")


@dataclass(frozen=True, slots=True)
class Settings:
    """What a router is told at its start."""

    classes: tuple[RequestClass, ...]
    tenants: tuple[Tenant, ...] = ()
    routers: int = 1
    origin_kind: str | None = None
    """The machine kind of the origin's list entries; None: the caches fetch for themselves."""
    weighted: bool = False
    """Whether list weights state the servers' sizes."""
    must_subscribe: bool = False
    """Whether the server list has to be asked for."""
    ask_within: int = 10 * NS_PER_S
    cold_share: float = 1.0
    cold_time: int = 0
    max_attempts: int = 4
    retry_after: bool = False
    max_retry_after: int = NS_PER_S
    may_probe: bool = False
    load_fields: tuple[str, ...] = ()
    """The names of the values in a load report, in order."""
    slots: int = DEFAULT_SLOTS
    """Far more than servers, so that a slot's load is small beside a server's; the same at every router."""
    vectors: bool = False
    """Whether large fleets are ranked with numpy, which takes some 17 MB."""
    overload_target: int = 0
    """For so long, in nanoseconds, what comes may lie unread before the router sheds; 0: it never does."""
    hot_keys: HotKeySettings | None = None
    """None: slots are replicated by their estimated load, keys are not told apart."""
    topology: Topology | None = None
    """None: all servers are equally near."""

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
    """One entry of the server list; `started` 0: long ago."""

    id: str
    kind: str = ""
    state: ServerState = ServerState.READY
    weight: float = 1.0
    started: int = 0
    zone: str = ""
    cell: int = 0


@dataclass(frozen=True, slots=True)
class ServersChanged:
    """News of the server list. FAILED has no entries, and the list held stays valid."""

    kind: ListKind
    servers: tuple[Server, ...] = ()


@dataclass(frozen=True, slots=True)
class ServerOut:
    """An operator takes a server out: it gets nothing more, whatever the list says, until ServerBack."""

    server: str


@dataclass(frozen=True, slots=True)
class ServerBack:
    """An operator lets a server be used again."""

    server: str


@dataclass(frozen=True, slots=True)
class SettingsChanged:
    """New settings are in force; requests that are open keep the class and the attempts they came with."""

    settings: Settings


@dataclass(slots=True)  # not frozen: four times as dear to make
class RequestArrived:
    """A client's request; one final answer is owed by `deadline` (clock time)."""

    request: str
    request_class: str
    deadline: int
    tenant: str | None = None
    key: str | None = None
    write: bool = False
    retry: bool = False


@dataclass(frozen=True, slots=True)
class StreamStarted:
    """A streamed answer has begun: the attempt belongs to the client from here on."""

    request: str
    attempt: int


@dataclass(slots=True)  # not frozen: four times as dear to make
class AttemptEnded:
    """The end of one attempt. `closed`: the request has its final answer already."""

    request: str
    attempt: int
    server: str
    outcome: Outcome
    closed: bool
    latency: int
    note: CacheNote | None = None
    load: tuple[float, ...] | None = None
    lag: int = 0
    """The part of `latency` that this router took itself: waiting to send, sending late, reading late."""
    kept: bool = False
    """Whether its connection had carried others before: a break of such a one tells nothing of a server."""
    size: int = 0
    """Bytes of the value, as far as known."""
    unsent: bool = False
    """Whether nothing of it left: it never ran, whatever the outcome says of its server."""

    @property
    def never_ran(self) -> bool:
        """Whether it surely had no effect there."""
        return self.unsent or self.outcome.never_ran


@dataclass(frozen=True, slots=True)
class ClientGone:
    """The client has left; nothing is owed any more."""

    request: str


@dataclass(frozen=True, slots=True)
class TimerFired:
    """A timer that the router set is due."""

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
    """How the host's loop fared lately: the share of the time that it was busy, for how long what comes lies
    unread, and the time that this tells of; both in nanoseconds."""

    busy: float
    delay: int
    span: int = NS_PER_S // 10


@dataclass(frozen=True, slots=True)
class CopyEnded:
    """The end of a copy that was asked for."""

    key: str
    server: str
    outcome: Outcome


@dataclass(frozen=True, slots=True)
class InvalidationEnded:
    """The end of an invalidation that was asked for."""

    key: str
    server: str
    outcome: Outcome
    turn: int


@dataclass(frozen=True, slots=True)
class ZonePlan:
    """Where the reads of this router's zone go from now on; zones and regions by their places."""

    shares: tuple[float, ...]
    """Of the slots, by zone."""
    refused: float = 0.0
    """The part of the reads that finds room nowhere."""
    trials: tuple[int, ...] = ()
    """Zones that are held bad, and asked now and then."""
    trial: float = 0.02
    """By so many of the first tries of reads."""
    closed: tuple[int, ...] = ()
    """Zones that were evacuated by hand: they get nothing."""
    origins: tuple[int, ...] = ()
    """Regions by whose origins this one is served, the first that is listed; empty: the nearest."""
    lost: bool = False
    """Whether the own region's origin is held silent, and asked now and then by reads."""
    binding: bool = True
    """Whether other zones are for failures only; False: nobody decides, and overflow is each router's own."""


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
    | ServerOut
    | ServerBack
    | SettingsChanged
    | ZonePlan
)


@dataclass(slots=True)  # not frozen: four times as dear to make
class Send:
    """Start an attempt at a server; `timeout` 0: until the client gives up."""

    request: str
    server: str
    timeout: int = 0
    hold: bool = False
    """Whether a good answer is not given yet, but only with Answer."""
    not_after: int = 0
    """The clock time from which on it may not leave, whatever it waited for; 0: its deadline only."""


@dataclass(frozen=True, slots=True)
class Answer:
    """Give the answer that was held."""

    request: str


@dataclass(frozen=True, slots=True)
class Copy:
    """Write the value that has just been served to this request to one more node, for so long."""

    request: str
    key: str
    server: str
    lease: int


@dataclass(frozen=True, slots=True)
class Invalidate:
    """Drop a key at a node; `turn` tells the invalidations of one key apart."""

    key: str
    server: str
    turn: int


@dataclass(frozen=True, slots=True)
class Refuse:
    """Final answer: not done, and trying again does no harm."""

    request: str
    retry_after: int = 0
    reason: Reason | None = field(default=None, compare=False)


@dataclass(frozen=True, slots=True)
class Fail:
    """Final answer: failed. It promises nothing about the effect."""

    request: str
    reason: Reason | None = field(default=None, compare=False)


@dataclass(frozen=True, slots=True)
class SetTimer:
    """Ask for a TimerFired after `delay`."""

    delay: int
    token: str


@dataclass(frozen=True, slots=True)
class Subscribe:
    """Ask for the changes of the server list from now on."""


@dataclass(frozen=True, slots=True)
class Probe:
    """Examine a server."""

    server: str


@dataclass(frozen=True, slots=True)
class Log:
    """A line for the operator; never more than a few for a server and ejection."""

    message: str


Action = Send | Refuse | Fail | SetTimer | Subscribe | Probe | Log | Answer | Copy | Invalidate
