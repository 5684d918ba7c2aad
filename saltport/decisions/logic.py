"""Every decision, without I/O; the settings, events and actions are in interface.py.

Ordinary path: key -> slot -> the ready cache server with the highest weighted hash of (slot, server id);
a read that misses there -> the origin, if its tenant's Suppressor admits the fetch; a write -> the origin.
The slot table stands in table.py, servers' health in health.py.
"""

from __future__ import annotations

import math
import random
from collections import deque
from collections.abc import Sequence
from itertools import takewhile
from typing import Any
from zlib import crc32

from saltport.decisions import interface as api
from saltport.decisions.health import ANSWERED, UNANSWERED, Node
from saltport.decisions.interface import NS_PER_S, Effect, Group, ListKind, Outcome
from saltport.decisions.limits import Limit
from saltport.decisions.outliers import OutlierDetector, Standing
from saltport.decisions.overload import FIRST, HOPELESS, RETRY, OverloadControl
from saltport.decisions.portions import Portions, keeps
from saltport.decisions.promptness import Promptness
from saltport.decisions.roster import Roster
from saltport.decisions.spreading import make_spreading
from saltport.decisions.table import SlotTable
from saltport.structures.pace import Pace
from saltport.structures.recent import RecentCounts

HARD_LIMIT_FACTOR = 1.5
CHANCE_CACHED = NS_PER_S // 10
WINDOW_CALLS = 8  # calls that a window should be able to hold at the generous limit
WINDOW_MIN_S, WINDOW_MAX_S = 5.0, 20.0
UNSTATED_LIMIT = 1000.0  # generous start for all routers together where no quota is stated
CUT, RISE_S, IN_USE = 0.7, 15.0, 0.5  # IN_USE: the part of the allowance that counts as its use
BAD_SAMPLES, BAD_SHARE = 8, 0.2
SPREADS = 6  # deviations beyond the usual that an answer may take before it counts as lost
LOST_SAMPLES = 32  # attempts over which the share that is lost is smoothed
OVERFLOW = 2  # servers after the key's own that are asked for room
CROWDED = 0.125  # share of reads that find their server full, past which it is the load and no server
YIELDS = 0.5  # busy part of a server from which marked retries keep away while reads find no room
TELLING = (*ANSWERED, Outcome.TIMEOUT)
PATIENCE_SHARE, SLOW_SHARE = 0.95, 0.8


class Suppressor:
    """One tenant's guard of the origin: sliding-window counts, three regimes, AIMD rate limit."""

    def __init__(self, tenant: api.Tenant, routers: int, rng: random.Random) -> None:
        self.limit = math.inf
        self.retune(tenant, routers)
        self.calls: deque[tuple[int, bool]] = deque()
        self.declined = 0
        self._rng = rng
        self._chance, self._chance_until = 1.0, 0
        self._last_rise = 0

    def retune(self, tenant: api.Tenant, routers: int) -> None:
        """Take the tenant's portion and quota; what was counted and learnt before stays."""
        self.name, self.portion = tenant.name or "(none)", tenant.portion
        self.cap = (tenant.quota_per_s or UNSTATED_LIMIT) / routers
        self.limit = min(self.limit, self.cap)
        self.window_s = min(max(WINDOW_CALLS / self.cap, WINDOW_MIN_S), WINDOW_MAX_S)
        self.floor = min(1 / self.window_s, self.cap)  # one call a window: with none counted a fetch goes

    def count(self, now: int, declined: bool = False) -> None:
        """Count one call to the origin."""
        self.calls.append((now, declined))
        self.declined += declined

    def accepted(self, now: int) -> int:
        """Calls of the window that went to the origin."""
        while self.calls and self.calls[0][0] <= now - self.window_s * NS_PER_S:
            self.declined -= self.calls.popleft()[1]
        return len(self.calls) - self.declined

    def admit(self, now: int) -> bool:
        """Decide on one fetch, and count it."""
        accepted, soft = self.accepted(now), self.window_s * self.limit
        over = len(self.calls) >= soft * HARD_LIMIT_FACTOR
        allowed = not (over and accepted >= soft)
        if allowed and self.calls and (over or accepted >= soft):
            # Departure: refusals alone that hold total at the hard limit would pin a tenant there, as
            # every retry counts anew; while accepted is under the soft limit the chance holds instead.
            allowed = self._rng.random() < self.chance(now)
        self.count(now, declined=not allowed)
        return allowed

    def chance(self, now: int) -> float:
        """The chance of a fetch between the limits: rate limit / perceived rate, cached, at most 1."""
        if now >= self._chance_until:
            self._chance_until = now + CHANCE_CACHED
            last = sum(1 for _ in takewhile(lambda call: call[0] > now - NS_PER_S, reversed(self.calls)))
            self._chance = min(1.0, self.limit / max(len(self.calls) / self.window_s, last))
        return self._chance

    def rise(self, now: int) -> None:
        """Additive rise after a good fetch, up to the cap, and only while the limit is in use."""
        if self.in_use(now) >= IN_USE:
            idle = min((now - self._last_rise) / NS_PER_S, self.window_s)
            self.limit = min(self.cap, self.limit + self.cap / RISE_S * idle)
        self._last_rise = now

    def in_use(self, now: int) -> float:
        """The part of what is allowed that is used, at most 1."""
        return min(self.accepted(now) / (self.limit * self.window_s), 1.0)

    def used(self, now: int) -> float:
        """Calls a second that went to the origin."""
        return self.accepted(now) / self.window_s

    def cut(self, now: int, all_used: float) -> None:
        """Multiplicative cut from what was really used, harder for a tenant over its portion."""
        self._last_rise = now
        used = self.used(now)
        factor = CUT * CUT if used > self.portion * all_used else CUT
        # Danger: straight to the floor, one spell of errors would end the fetches of every tenant.
        self.limit = max(self.floor, min(self.limit, used) * factor)


class Request:
    """An open request; it lives on after its final answer until its attempt has ended."""

    # What most requests never change costs nothing here.
    slot = sends = sent_at = 0
    lost_after = 0
    """The time after which the answer under way counts as lost."""
    share = 0.0
    spread: Any = None
    """What Spreading keeps of it."""
    failed: Sequence[Node] = ()
    node: Node | None = None
    ran: Node | None = None
    """Where the first attempt was sent that may have run."""
    holds = False
    """Whether its attempt counts as out at its server."""
    fetching = refetching = out = leads = waiting = done = False

    def __init__(
        self, event: api.RequestArrived, cls: api.RequestClass, guard: Suppressor, attempts: int
    ) -> None:
        self.id, self.key, self.deadline, self.write = event.request, event.key, event.deadline, event.write
        self.not_after = event.deadline  # no attempt leaves from then on
        self.cls, self.guard, self.retry, self.attempts = cls, guard, event.retry, attempts

    def may_send(self, node: Node, now: int) -> bool:
        """Rule 2: what may have run goes out again only where and while its repeat is dropped."""
        if self.ran is None or self.cls.effect is Effect.SAFE:
            return True
        here, there = node.entry, self.ran.entry
        if self.cls.effect is Effect.UNSAFE or now >= self.not_after:
            return False
        group, same_zone = self.cls.group, here.zone == there.zone
        return group is Group.ALL or (same_zone and (group is Group.ZONE or here.cell == there.cell))

    def may_repeat(self) -> bool:
        """Whether it does no harm to try again, whatever became of the attempts before."""
        keyed_anywhere = self.cls.effect is Effect.KEYED and self.cls.group is Group.ALL
        return self.cls.effect is Effect.SAFE or keyed_anywhere

    def may_refuse(self) -> bool:
        """Rule 2: a refusal says that a further try is harmless."""
        return self.ran is None or self.may_repeat()


class Router:
    """One router's decisions: feed it events with the time, carry out the actions it returns."""

    def __init__(self, settings: api.Settings, seed: int) -> None:
        self._rng = random.Random(seed)
        self.guards: dict[str, Suppressor] = {}
        self._follow(settings)
        self.roster = Roster()
        self.caches, self.origins = SlotTable(settings), SlotTable(settings)
        self.outliers = OutlierDetector(settings, self._rng)
        self.overload = OverloadControl(settings, self._rng)
        self.spreading = make_spreading(settings, self.caches, self.outliers, self._rng)
        self.requests: dict[str, Request] = {}
        self._flights: dict[str, list[Request]] = {}
        aim = min(cls.aim for cls in settings.classes)
        self._width, self._last_cut = math.inf, 0
        self._held: list[Request] = []  # writes waiting for one of them to end; the newest goes first
        self._origin_bad = 0.0  # smoothed share of bad fetches
        self._answers, self._fetches = Pace(aim), Pace(aim / 2)  # of the caches; good ones of the origin
        self.overflowed = self.moved = 0
        self._portions = Portions(settings)
        self._promptness, self._lost = Promptness(), 0.0  # of all caches; the smoothed share of time-outs
        self.crowded = 0.0  # smoothed share of reads that found their server full
        self._asking, self._failed_calls = False, 0
        self.given_up = RecentCounts()  # requests that got no answer of a server, by tenant and reason
        self._now = 0
        self._actions: list[api.Action] = []

    def _follow(self, settings: api.Settings) -> None:
        """Take the settings, at the start or anew; open requests keep what they came with."""
        self.settings, held = settings, self.guards
        self._classes = {cls.name: cls for cls in settings.classes}
        tenants = (*settings.tenants, api.Tenant("", 1.0))
        self.guards = {}
        for tenant in tenants:
            if guard := held.get(tenant.name):
                guard.retune(tenant, settings.routers)
            self.guards[tenant.name] = guard or Suppressor(tenant, settings.routers, self._rng)

    def handle(self, event: api.Event, now: int) -> list[api.Action]:
        """Take one event at clock time `now` and return the actions to carry out, in order."""
        self._now, self._actions = now, []
        match event:
            case api.AttemptEnded():
                self._attempt_ended(event)
            case api.RequestArrived():
                self._arrived(event)
            case api.ServersChanged():
                self._servers_changed(event)
            case api.SettingsChanged():
                self._follow(event.settings)
                for part in (self.caches, self.origins, self.outliers, self.overload, self.spreading):
                    part.follow_settings(event.settings)
            case api.ServerOut():
                self.roster.take_out(event.server)
                self._update([], [event.server])
            case api.ServerBack():
                entry = self.roster.put_back(event.server, now)
                self._update([entry] if entry else [], [])
            case api.TimerFired():
                self._timer(event.token)
            case api.StreamStarted() if event.request in self.requests:
                self._stream_started(self.requests[event.request])
            case api.LoopReport():
                news = self.overload.report(event)
                if news is not None:
                    self._actions.append(api.Log(news))
            case api.ClientGone() if event.request in self.requests:
                self._finish(self.requests[event.request])
            case api.CopyEnded() | api.VoidEnded() | api.ZonePlan():
                self.spreading.told(event, now)
        for action in self.spreading.take_actions():
            if isinstance(action, api.Answer):
                if action.request not in self.requests or self.requests[action.request].done:
                    continue
                self._finish(self.requests[action.request])
            self._actions.append(action)
        return self._actions

    def _servers_changed(self, event: api.ServersChanged) -> None:
        if self.settings.must_subscribe:
            self._keep_subscribed(event.kind)
        if event.kind is ListKind.FAILED:
            return
        self._update(*self.roster.follow(event))

    def _update(self, ready: list[api.Server], left: list[str]) -> None:
        for table, is_origin in ((self.caches, False), (self.origins, True)):
            mine = [entry for entry in ready if (entry.kind == self.settings.origin_kind) == is_origin]
            table.update(mine, left, self._now)
        self.outliers.follow(self.caches.nodes, self._now)

    def _keep_subscribed(self, kind: ListKind) -> None:
        """Subscribe at the start and after every failure; jitter and back-off spare discovery."""
        if kind not in (ListKind.CACHED, ListKind.FAILED):
            self._failed_calls = 0
        elif not self._asking:
            self._asking = True
            most = min(self.settings.ask_within // 2, NS_PER_S << min(self._failed_calls, 8))
            self._failed_calls += kind is ListKind.FAILED
            self._actions.append(api.SetTimer(self._rng.randint(most // 4, most), "subscribe"))

    def _timer(self, token: str) -> None:
        if token == "subscribe":
            self._asking = False
            self._actions.append(api.Subscribe())
            return
        self.spreading.due(token, self._now)
        request = self.requests.get(token)
        if request and request.waiting and self._now >= request.deadline:
            self._give_up(request, "deadline")
        elif request and request.waiting and request.write:
            self._fetch(request)

    def _arrived(self, event: api.RequestArrived) -> None:
        guard = self.guards.get(event.tenant or "", self.guards[""])
        request = Request(event, self._classes[event.request_class], guard, self.settings.max_attempts)
        slots = self.settings.slots
        request.slot = self._rng.randrange(slots) if event.key is None else crc32(event.key.encode()) % slots
        self.requests[request.id] = request
        late = event.deadline - self._now < self._answers.usual
        rank = HOPELESS if late else RETRY if event.retry else FIRST
        if not self.overload.admit(event.tenant or "", request.write, rank):
            self._give_up(request, "router overloaded")
            return
        self.spreading.arrived(request, event.tenant or "", self._now)
        if request.write and self.settings.origin_kind is not None:
            self._fetch(request)
        else:
            self._route(request)

    def _send(self, request: Request, node: Node, patience: int | None = None) -> None:
        request.sends += 1
        request.node, request.sent_at, request.out, request.holds = node, self._now, True, True
        node.load += 1
        usual = self._patience(request, node)
        held = request.write and request.fetching and self.spreading.holds(request)
        timeout = usual if patience is None else patience
        self._actions.append(api.Send(request.id, node.entry.id, timeout, held, request.not_after))
        if not request.fetching:
            self.spreading.sent(request, node)

    def _patience(self, request: Request, node: Node) -> int:
        known, aim = self._fetches if request.fetching else self._answers, request.cls.aim
        usual, spread = max(known.usual, node.pace.usual), max(known.spread, node.pace.spread)
        request.lost_after = int(min(usual + spread * SPREADS, aim * PATIENCE_SHARE))
        slow = usual + spread * SPREADS / 2 > aim * SLOW_SHARE
        first = not request.refetching if request.fetching else request.sends == 1
        return 0 if slow or not first or not request.may_repeat() else request.lost_after

    def _may_try(self, request: Request) -> bool:
        return request.sends < request.attempts and self._now < request.deadline

    def _route(self, request: Request) -> None:
        if not self._may_try(request):
            self._give_up(request, "tries spent")
            return
        full = moved = 0
        spare: Node | None = None  # the first that has room and keeps this slot from itself
        # One more server, none of the key's, would miss, with no attempt left for a fetch.
        last = 0 < request.sends == request.attempts - 1 and self.origins.nodes
        for node in () if last else self.spreading.candidates(request, self._now):
            if node in request.failed or not request.may_send(node, self._now):
                continue
            standing = self.outliers.standing(node.entry.id, self._now, first=not request.sends)
            if standing is not Standing.HEALTHY:
                if standing is Standing.EJECTED or not request.may_repeat():
                    continue
                if standing is Standing.TRIAL:
                    self.outliers.try_out(node.entry.id, request.id)
                self._send(request, node, int(request.cls.aim * PATIENCE_SHARE))
                return
            left = request.deadline - self._now
            # Many routers each hear too little of one server: what all servers tell counts until it is known.
            told = (node.promptness,) if node.promptness.sure else (node.promptness, self._promptness)
            if not (request.write or all(known.worth(left, self._now) for known in told)):
                self._give_up(request, "too little time left")
                return
            # A server that is none of the key's lacks it, which costs a fetch: only where there is much room.
            # A client's retry can't be in time any more: what is in time goes first.
            yields = request.retry and self.crowded > CROWDED and node.limit.busy >= YIELDS
            out = 2 * node.load if full or request.retry else node.load
            room = not yields and node.limit.room(out, self._now)
            moves = room and not full and moved < OVERFLOW and not keeps(node, request.slot)
            if moves and request.guard.in_use(self._now) < IN_USE:
                # No sign of crowding, as others have more room; elsewhere it may cost a fetch, as below.
                spare, moved = spare or node, moved + 1
                continue
            if room:
                self.moved += bool(moved)
                if full or self.crowded:
                    self._found_full(request, bool(full))
                    self.overflowed += bool(full)
                self._send(request, node)
                return
            full += 1
            if full > OVERFLOW or self.crowded > CROWDED or request.guard.in_use(self._now) >= IN_USE:
                break
        if spare is not None:
            self._send(request, spare)
        elif full:
            self._found_full(request, True)
            self._give_up(request, "servers overrun")
        else:
            self._missed(request)

    def _found_full(self, request: Request, full: bool) -> None:
        if not request.retry:  # the same demand once more is no more of it
            # Down to nothing in the end, as nothing costs a hit nothing.
            self.crowded = max(self.crowded + (full - self.crowded) / 64 - 1e-6, 0.0)

    def _missed(self, request: Request) -> None:
        if not request.write and (why := self.spreading.turns_away(request, self._now)):
            self._give_up(request, why)
            return
        flight = None if request.key is None else self._flights.get(request.key)
        if flight is None or request.write or self.spreading.fetches_itself(request):
            self._fetch(request)
        else:
            flight.append(request)
            self._wait(request, request.deadline - self._now)

    def _fetch(self, request: Request) -> None:
        request.waiting = False
        origins = self.spreading.origins(self.origins.rank(request.slot, self._now), request)
        if not origins or not self._may_try(request) or not request.may_send(origins[0], self._now):
            self._give_up(request, "tries spent" if origins else "no origin")
            return
        if request.write and origins[0].load >= self._width:
            self._held.append(request)
            self._wait(request, request.deadline - self._now)
            return
        if request.write:
            request.guard.count(self._now)
        elif not origins[0].promptness.worth(request.deadline - self._now, self._now):
            self._give_up(request, "too little time left")
            return
        elif not request.guard.admit(self._now):
            self._give_up(request, "fetch suppressed")
            return
        if request.key is not None and not request.write:
            self._flights.setdefault(request.key, [])
            request.leads = True
        request.fetching = True
        self._send(request, origins[0])

    def _stream_started(self, request: Request) -> None:
        """The server's work is done, and the rest is up to the client; but not where the class streams.

        Danger: counted until its end, slow readers' long values would fill the limits of idle servers.
        """
        if request.node is not None and request.holds and not request.cls.streamed:
            request.holds = False
            request.node.load -= 1

    def _attempt_ended(self, event: api.AttemptEnded) -> None:
        request = self.requests.get(event.request)
        if request is None or request.node is None:
            return
        node, fetched, outcome = request.node, request.fetching, event.outcome
        request.out = request.fetching = False
        node.load -= request.holds
        request.holds = False
        # Danger: with the router's own lag in it, every server is late whenever this router is.
        took = max(event.latency - max(event.lag, self.overload.lag), 0)
        late = took > request.cls.aim
        # Danger: servers may close what they keep at any time; counted, that would eject healthy ones.
        broke = event.kept and outcome is Outcome.RESET
        self.spreading.ended(request, node, event, fetched, self._now)
        if outcome in TELLING and not request.write:
            busy = request.guard.in_use(self._now) if fetched else node.limit.busy
            node.promptness.learn(took, outcome in ANSWERED, busy, self._now)
            if not fetched:
                # How busy servers are can't be told from an answer in some seconds; what is lost there can.
                self._lost += ((outcome is Outcome.TIMEOUT) - self._lost) / LOST_SAMPLES
                self._promptness.learn(took, outcome in ANSWERED, self._lost, self._now)
        if event.load and not fetched:
            self._portions.learn(node, event.load, request.cls.aim, request.sent_at, self._now)
        if fetched:
            self._judge_fetch(node, event, late)
        elif not broke:
            self._judge(request, node, event, late, took)
            if outcome in ANSWERED:
                node.pace.learn(event.latency)
                self._answers.learn(event.latency)
        if not outcome.never_ran and request.ran is None:
            request.ran = node
            if request.cls.effect is Effect.KEYED:
                request.not_after = min(request.deadline, request.sent_at + request.cls.dedup_window)
        if event.closed or request.done:
            self._finish(request, stored=fetched and outcome is Outcome.OK)
        elif outcome is Outcome.MISS and not fetched and self.settings.origin_kind is not None:
            if self.spreading.missed(request, node, self._now):
                request.failed = (*request.failed, node)
                self._route(request)
            else:
                self._missed(request)
        elif outcome is Outcome.OK:
            pass  # a write whose answer is held until its copies are void
        elif fetched:
            self._fetch_failed(request, outcome, late, broke)
        else:
            # One that did not answer, and was not late, is asked once more.
            if outcome not in UNANSWERED or late or node.unheard > 1:
                request.failed = (*request.failed, node)
            self._route(request)

    def _judge(self, request: Request, node: Node, event: api.AttemptEnded, late: bool, took: int) -> None:
        # Danger: counted, clients with little time left would make every server look silent, and a router
        # whose loop has no rest would take its own lateness for theirs.
        cut_short = event.outcome is Outcome.TIMEOUT and took < request.lost_after
        outcome = Outcome.CANCELLED if cut_short else event.outcome
        node.judge(outcome, took, request.cls.aim, request.sent_at, self._now)
        if self.caches.nodes.get(node.entry.id) is not node:
            return
        news = self.outliers.judge(node, request.id, outcome, request.sent_at, self._now)
        if news is not None:
            self._actions.append(api.Log(news.message))
            if news.is_back:
                node.limit = Limit(self._now)

    def _judge_fetch(self, node: Node, event: api.AttemptEnded, late: bool) -> None:
        """Rise while the origin answers well; on failures cut the tenants over their portion first."""
        if event.outcome is Outcome.TIMEOUT:
            self._fetches.learn(event.latency)
        if event.outcome is Outcome.OK and not late:
            self._origin_bad -= self._origin_bad / BAD_SAMPLES
            self._fetches.learn(event.latency)
            self._width += 1 / self._width
            for guard in self.guards.values():
                guard.rise(self._now)
        elif event.kept and event.outcome is Outcome.RESET:
            pass  # no sign of the origin's health
        elif late or event.outcome not in (Outcome.MOOT, Outcome.CANCELLED, Outcome.TIMEOUT):
            # A time-out that is not late had too little time left: not the origin's fault.
            self._origin_bad += (1 - self._origin_bad) / BAD_SAMPLES
            # A lone bad fetch is chance (a heavy tail), and one round-trip's bad fetches are one sign.
            if self._origin_bad >= BAD_SHARE and self._now - self._last_cut >= self._fetches.usual:
                self._last_cut = self._now
                self._width = max(1.0, min(self._width, node.load + 1) * CUT)
                all_used = sum(guard.used(self._now) for guard in self.guards.values())
                for guard in self.guards.values():  # the origin is shared: it speaks for all
                    guard.cut(self._now, all_used)
        while self._held and node.load < self._width:
            waiter = self._held.pop()
            if waiter.waiting:
                self._fetch(waiter)
            if self._held and self._held[-1] is waiter:
                # Danger: after a change of the origin's entry its new node, not this one, is full for good.
                break

    def _fetch_failed(self, request: Request, outcome: Outcome, late: bool, broke: bool) -> None:
        """A write is tried again after a pause; a read is the client's to retry, to spare the origin.

        An attempt that counts as lost is made once more at once: it was none of the origin's doing.
        """
        if (broke or (outcome is Outcome.TIMEOUT and not late)) and not request.refetching:
            request.refetching = True
            self._fetch(request)
            return
        pause = int(self._fetches.usual * self._rng.uniform(0.5, 1.5))
        if request.write and self._now + pause < request.deadline and outcome is not Outcome.TIMEOUT:
            self._wait(request, pause)
        else:
            self._give_up(request, "origin failed")

    def _land(self, request: Request, stored: bool) -> None:
        """End a flight: its waiters ask the cache again, or one of them fetches in the leader's place."""
        request.leads = False
        for waiter in self._flights.pop(request.key or "", ()):
            if not waiter.done:
                waiter.waiting = False
                (self._route if stored else self._missed)(waiter)

    def _wait(self, request: Request, delay: int) -> None:
        request.waiting = True
        self._actions.append(api.SetTimer(delay, request.id))

    def _give_up(self, request: Request, why: str) -> None:
        self.given_up.add((request.guard.name, why), self._now)
        if request.may_refuse():
            wait = int(self._rng.uniform(0.5, 1.0) * self.settings.max_retry_after)
            self._actions.append(api.Refuse(request.id, wait if self.settings.retry_after else 0))
        else:
            self._actions.append(api.Fail(request.id))
        self._finish(request)

    def _finish(self, request: Request, stored: bool = False) -> None:
        if not request.done:
            self.spreading.done(request, stored, self._now)
        request.done, request.waiting = True, False
        if not request.out:
            del self.requests[request.id]
        if request.leads and not request.out:  # a gone client's fetch goes on for those who wait for it
            self._land(request, stored)
