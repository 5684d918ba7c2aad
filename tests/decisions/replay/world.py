"""A small seeded simulation that drives one router over the extended protocol, to record event streams.

Servers answer after a random service time and store the keys that were written to them; faults affect some of
them for a while. This generates varied input that reaches every rule, and does not model real machines. Times
are in nanoseconds of the simulated clock.
"""

from __future__ import annotations

import heapq
import random
from collections.abc import Callable
from dataclasses import dataclass, field
from typing import Any

MS = 1_000_000
S = 1_000 * MS
START = 100 * S
TICK = 5 * MS

Fields = dict[str, Any]
Due = Callable[[], Fields | None]
"""A callback at a given time, which may return an event for the router."""


@dataclass(frozen=True)
class Fault:
    """A fault of some servers between two times, in seconds after the start."""

    kind: str
    """One of slow, silent, refusing, resetting, full, erring, flush, burst, hot and busy_loop."""
    begin: float
    end: float
    part: float = 0.25
    """The share of the servers affected; for `burst` and `hot` the size."""
    origin: bool = False
    """Whether the origin is affected instead of cache servers."""


@dataclass(frozen=True)
class Class:
    """A class of requests, its share of all requests, and whether it writes."""

    facts: Fields
    share: float
    write: bool


@dataclass(frozen=True)
class Scenario:
    """The parameters of one recording."""

    name: str
    seed: int
    seconds: float
    rate: float
    """Requests per second."""
    classes: tuple[Class, ...]
    facts: Fields
    faults: tuple[Fault, ...] = ()
    scripted: tuple[tuple[float, Fields], ...] = ()
    """Events by the operator, each with its time in seconds after the start."""
    servers: int = 8
    keys: int = 120
    work: int = 15 * MS
    """The mean service time."""
    slots: int = 6
    """Requests that a server processes concurrently."""
    retries: float = 0.6
    """The probability that a client retries after a refusal."""
    leaves: float = 0.01
    churn: float = 4.0
    """Seconds between changes of the list."""
    zones: tuple[str, ...] = ("a", "b", "c")


@dataclass
class _Server:
    line: Fields
    origin: bool = False
    out: int = 0
    keys: set[str] = field(default_factory=set)


@dataclass
class _Request:
    event: Fields
    cls: Class
    attempts: int = 0
    over: bool = False
    missed: list[str] = field(default_factory=list)


class World:
    """Simulates one scenario; `play` returns the batches and their replies."""

    def __init__(self, scenario: Scenario, answer: Callable[[Fields], Fields]) -> None:
        self.scenario, self._answer = scenario, answer
        self.rng = random.Random(scenario.seed)
        self.now = START
        self._heap: list[tuple[int, int, Fields | Due]] = []
        self._count = self._asked = self._born = 0
        self.servers: dict[str, _Server] = {}
        self._requests: dict[str, _Request] = {}

    # The clock

    def _at(self, time: int, what: Fields | Due) -> None:
        self._count += 1
        heapq.heappush(self._heap, (max(time, self.now), self._count, what))

    def play(self) -> list[tuple[Fields, Fields]]:
        """Run the scenario to its end."""
        scenario, recorded = self.scenario, []
        first = [self._new_server() for _ in range(scenario.servers)]
        if scenario.facts["familyInfo"]["mode"] == "aside":
            first += [self._new_server(origin=True)]
        created = {"create": {"salt": scenario.seed, "facts": scenario.facts}}
        listed = {"backendsChanged": {"scope": 2, "lines": [dict(line) for line in first]}}
        events: list[Fields] = [created, listed]
        self._at(START + S // 10, self._arrive)
        self._at(START + int(scenario.churn * S), self._change_list)
        for seconds, event in scenario.scripted:
            self._at(START + int(seconds * S), event)
        if any(fault.kind == "busy_loop" for fault in scenario.faults):
            self._at(START, self._report_loop)
        while True:
            if events:
                batch = {"nowNs": self.now, "groups": [{"router": 0, "in": events}]}
                reply = self._answer(batch)
                recorded.append((batch, reply))
                for group in reply["groups"]:
                    for order in group["orders"]:
                        ((name, fields),) = order.items()
                        getattr(self, f"_do_{name}")(fields)
            if not self._heap:
                return recorded
            due = self._heap[0][0]
            self.now = max(self.now, -(-due // TICK) * TICK)
            events = []
            while self._heap and self._heap[0][0] <= self.now:
                what = heapq.heappop(self._heap)[2]
                due_event = what() if callable(what) else what
                if due_event is not None:
                    events.append(due_event)

    def _seconds(self) -> float:
        return (self.now - START) / S

    def _active_fault(self, kind: str, server: _Server | None = None) -> Fault | None:
        for fault in self.scenario.faults:
            if fault.kind != kind or not fault.begin <= self._seconds() < fault.end:
                continue
            if server is None:
                return fault
            place = int(server.line["server"].rsplit(":")[-1]) % self.scenario.servers
            if fault.origin == server.origin and (fault.origin or place < fault.part * self.scenario.servers):
                return fault
        return None

    # Server list

    def _new_server(self, origin: bool = False, born: int | None = None) -> Fields:
        number, self._born = self._born, self._born + 1
        scenario = self.scenario
        line: Fields = {
            "server": f"o:{number}" if origin else f"s:{number}",
            "type": "origin" if origin else "std",
            "mode": 1,
            "weight": 1.0,
            "bornNs": born,
            "campus": scenario.zones[number % len(scenario.zones)],
            "stripe": number // 3 % 2,
        }
        self.servers[line["server"]] = _Server(line, origin)
        return line

    def _change_list(self) -> Fields | None:
        scenario = self.scenario
        if self._seconds() > scenario.seconds:
            return None
        self._at(self.now + int(self.rng.uniform(0.5, 1.5) * scenario.churn * S), self._change_list)
        if self.rng.random() < 0.1:
            return {"backendsChanged": {"scope": 3, "lines": None}}
        caches = [server.line for server in self.servers.values() if not server.origin]
        ready = [line for line in caches if line["mode"] == 1]
        draining = [line for line in caches if line["mode"] == 2]
        lines = []
        for line in draining[:2]:
            line["mode"] = 0 if self.rng.random() < 0.7 else 1
            lines.append(dict(line))
        if len(ready) > scenario.servers // 2:
            line = self.rng.choice(ready)
            line["mode"] = self.rng.choice((0, 2, 2))
            lines.append(dict(line))
        lines.append(dict(self._new_server(born=self.now)))
        if self.rng.random() < 0.2:  # the full list, with one restarted server
            restarted = self.rng.choice([line for line in caches if line["mode"] == 1])
            restarted["bornNs"] = self.now
            lines = [dict(server.line) for server in self.servers.values() if server.line["mode"]]
            return {"backendsChanged": {"scope": 1, "lines": lines}}
        return {"backendsChanged": {"scope": 0, "lines": lines}}

    def _do_listen(self, fields: Fields) -> None:
        lines = [dict(server.line) for server in self.servers.values() if server.line["mode"]]
        self._at(self.now + 20 * MS, {"backendsChanged": {"scope": 1, "lines": lines}})

    def _report_loop(self) -> Fields | None:
        if self._seconds() > self.scenario.seconds:
            return None
        self._at(self.now + S // 10, self._report_loop)
        busy = self._active_fault("busy_loop")
        delay = self.rng.randrange(60, 90) if busy else self.rng.randrange(0, 3)
        return {"loop": {"busy": 1.0 if busy else 0.5, "delay": delay * MS, "span": S // 10}}

    # Clients

    def _arrive(self) -> Fields | None:
        scenario = self.scenario
        if self._seconds() > scenario.seconds:
            return None
        burst = self._active_fault("burst")
        rate = scenario.rate * (1 + burst.part if burst else 1)
        self._at(self.now + int(self.rng.expovariate(rate) * S), self._arrive)
        if self._active_fault("flush"):
            for server in self.servers.values():
                server.keys.clear()
        cls = self.rng.choices(scenario.classes, [each.share for each in scenario.classes])[0]
        tenant = self.rng.choice(("a", "a", "a", "b", "b", "c", None))
        hot = self._active_fault("hot")
        key: str | None = f"k{int(self.rng.paretovariate(0.9)) % scenario.keys}"
        if hot and self.rng.random() < hot.part:
            key = "h0"
        if self.rng.random() < 0.01:
            key = None
        return self._ask(cls, tenant, key, repeat=False)

    def _ask(self, cls: Class, tenant: str | None, key: str | None, repeat: bool) -> Fields:
        self._asked += 1
        corr = f"r{self._asked}"
        left = cls.facts["giveUpNs"] - self.rng.choice((0, 0, 0, 300 * MS, cls.facts["giveUpNs"] - 25 * MS))
        fields = {
            "corr": corr, "category": cls.facts["name"], "clientGroup": tenant, "pathKey": key,
            "giveUpAtNs": self.now + left, "mutates": cls.write,
        }  # fmt: skip
        if repeat:
            fields["repeat"] = True
        request = self._requests[corr] = _Request(fields, cls)
        if self.rng.random() < self.scenario.leaves:
            self._at(self.now + self.rng.randrange(5, 200) * MS, lambda: self._leave(request))
        return {"request": fields}

    def _leave(self, request: _Request) -> Fields | None:
        if request.over:
            return None
        request.over = True
        return {"clientLeft": {"corr": request.event["corr"]}}

    def _end(self, corr: str, again_in: int) -> None:
        request = self._requests[corr]
        if request.over:
            return
        request.over = True
        if self.rng.random() < self.scenario.retries and self._seconds() < self.scenario.seconds:
            event = request.event
            self._at(
                self.now + again_in,
                lambda: self._ask(request.cls, event["clientGroup"], event["pathKey"], repeat=True),
            )

    def _do_sayNo(self, fields: Fields) -> None:  # noqa: N802
        self._end(fields["corr"], max(fields["backoffNs"], 50 * MS))

    def _do_finishError(self, fields: Fields) -> None:  # noqa: N802
        self._end(fields["corr"], 100 * MS)

    def _do_answer(self, fields: Fields) -> None:
        self._requests[fields["corr"]].over = True

    # Attempts

    def _do_transmit(self, fields: Fields) -> None:
        request, server = self._requests[fields["corr"]], self.servers[fields["server"]]
        number, request.attempts = request.attempts, request.attempts + 1
        server.out += 1
        verdict, took = self._outcome(request, server)
        left = max(request.event["giveUpAtNs"] - self.now, 1 * MS)
        limit = min(fields["patienceNs"] or left, left)
        if took > limit or verdict == "overdue":
            verdict, took = "overdue", limit
        took = max(took // MS, 1) * MS
        streamed = request.cls.facts.get("streamed") or self.rng.random() < 0.02
        if streamed and verdict == "completed":
            self._at(self.now + took // 2, {"opened": {"corr": fields["corr"], "copy": number}})
        sent_at = self.now
        self._at(sent_at + took, lambda: self._ended(request, server, number, verdict, took, fields["hold"]))

    def _outcome(self, request: _Request, server: _Server) -> tuple[str, int]:
        rng, scenario = self.rng, self.scenario
        took = int(rng.expovariate(1.0) * scenario.work * (2 if server.origin else 1)) + 2 * MS
        took = took * max(server.out, scenario.slots) // scenario.slots
        if server.line["mode"] == 0 or self._active_fault("refusing", server):
            return "refused_conn", 2 * MS
        if self._active_fault("silent", server):
            return "overdue", took
        if self._active_fault("resetting", server) and rng.random() < 0.8:
            return "severed", took
        if self._active_fault("erring", server) and rng.random() < 0.7:
            return "errored", took
        if self._active_fault("full", server) and rng.random() < 0.6:
            return "saturated", 2 * MS
        if self._active_fault("slow", server):
            took *= 12
        if rng.random() < 0.004:
            return rng.choice(("severed", "errored", "superseded", "recalled", "saturated")), took
        key = request.event["pathKey"]
        stores = scenario.facts["familyInfo"]["mode"] == "aside"
        if stores and not server.origin and (request.cls.write or key is None or key not in server.keys):
            return "lookup_miss", took // 3 + MS
        return "completed", took

    def _ended(
        self, request: _Request, server: _Server, number: int, verdict: str, took: int, hold: bool
    ) -> Fields:
        server.out -= 1
        key, name = request.event["pathKey"], server.line["server"]
        gone = request.over
        if verdict == "lookup_miss":
            request.missed.append(name)
        if verdict == "completed" and server.origin:
            for held in self.servers.values() if request.cls.write else ():
                held.keys.discard(key)
            for missed in request.missed[:2] if not (request.cls.write or gone) else ():
                self.servers[missed].keys.add(key)
        closed = gone or (verdict == "completed" and not hold)
        request.over = request.over or closed
        fields: Fields = {
            "corr": request.event["corr"], "copy": number, "server": name, "verdict": verdict,
            "terminal": closed, "timeTakenNs": took,
        }  # fmt: skip
        if self.scenario.facts.get("feedback") and verdict in ("completed", "lookup_miss"):
            fields["feedback"] = [round(took / MS, 1), server.out]
        if verdict == "severed" and self.rng.random() < 0.5:
            fields["kept"] = True
        if "widened" in self.scenario.facts and verdict == "completed" and not request.cls.write:
            fields["size"] = 1000 + len(key or "") * 100
        if self._active_fault("busy_loop"):
            fields["lag"] = min(took, 10 * MS)
        return {"reply": fields}

    # Copies, timers, log lines

    def _do_copy(self, fields: Fields) -> None:
        verdict = self.rng.choices(("completed", "errored", "overdue", "refused_conn"), (40, 1, 1, 1))[0]
        done = {"key": fields["key"], "server": fields["server"], "verdict": verdict}
        if verdict == "completed":
            self.servers[fields["server"]].keys.add(fields["key"])
        self._at(self.now + self.rng.randrange(2, 30) * MS, {"copied": done})

    def _do_drop(self, fields: Fields) -> None:
        verdict = self.rng.choices(("completed", "overdue", "severed", "refused_conn"), (20, 1, 1, 1))[0]
        self.servers[fields["server"]].keys.discard(fields["key"])
        self._at(self.now + self.rng.randrange(2, 30) * MS, {"dropped": {**fields, "verdict": verdict}})

    def _do_setAlarm(self, fields: Fields) -> None:  # noqa: N802
        if self._seconds() < self.scenario.seconds + 10:
            self._at(self.now + fields["fromNowNs"], {"fired": {"handle": fields["handle"]}})

    def _do_debug(self, fields: Fields) -> None:
        """Ignore a log line."""
