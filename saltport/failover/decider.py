"""The owner's side: evidence into plans, and operators' orders. No I/O.

Danger: it decides only while it is called with an epoch, which is asked for anew at each turn.
"""

from __future__ import annotations

from collections.abc import Sequence
from dataclasses import dataclass

from saltport.decisions.topology import Topology
from saltport.failover.board import Board, Window
from saltport.failover.change import Vector, worth_changing
from saltport.failover.follower import Follower
from saltport.failover.health import Claim, PathHealth
from saltport.failover.messages import PARTS, Order, Ordered, Plan
from saltport.failover.plans import MS, Matrix, bits, mask_of, nearest_open, parts_of
from saltport.failover.room import Room
from saltport.failover.settings import FailoverSettings
from saltport.failover.waterfall import UNLIMITED, Poured, pour

STILL = ("new owner", "trials end")  # why plans are made that leave all shares as they are
MOST_REFUSED = 0.95
OVERFLOW_MS = 1_000  # the way of a plan that only follows demand
DEFAULT_WAY_MS = 10_000  # of an order
FORGOTTEN = 600_000 * MS  # after which a zone without routers is one that has none
TRIALS_A_SECOND, LEAST_TRIAL, MOST_TRIAL = 5.0, 0.01, 0.1  # of a zone's reads
SETTLES = 2_000 * MS  # after reads were moved, before late answers count against a zone's room
FAINT = 0.005  # less of a share than that needs no plan of its own to end it
LATELY = 20_000 * MS  # for which a zone that is well again counts with all its servers
REMEMBERED = 64  # orders whose answers are given again


@dataclass(frozen=True, slots=True)
class _Aim:
    """What the next plan should lead to."""

    poured: Poured
    refused: tuple[float, ...]
    bad: tuple[int, ...]
    """By source zone: a bit for each zone whose path is held bad, by evidence or for want of servers."""
    doubted: tuple[int, ...]
    """Source zones that find everything bad."""
    out: int
    demand: tuple[float, ...]
    room: tuple[float, ...]

    def shut(self, source: int) -> int:
        """A bit for each zone that gets nothing from this one."""
        return self.bad[source] | self.out


class Decider:
    """One reign over the fleet's zones."""

    def __init__(
        self, name: str, topology: Topology, settings: FailoverSettings, follower: Follower, epoch: int,
        now: int, warm: int,
    ) -> None:  # fmt: skip
        """`warm`: in how many nanoseconds a cold server gets warm."""
        self.name, self.topology, self._settings, self.epoch = name, topology, settings, epoch
        self._follower, self._now = follower, now
        self.board = Board(topology, settings, now)
        self._back_ms = max(settings.back, int(settings.warm * warm)) // MS
        zones, areas = range(len(topology.zones)), range(len(topology.distinct_regions))
        plan = follower.plan
        bad = plan.bad if plan else bytes(len(zones))
        self.paths = {
            (a, b): PathHealth(settings, bool(bad[a] >> b & 1)) for a in zones for b in zones
        }  # fmt: skip
        lost = plan.lost if plan else 0
        self.sources = {
            (a, b): PathHealth(settings, a == b and bool(lost >> a & 1)) for a in areas for b in areas
        }  # fmt: skip
        self.rooms = [Room(settings, topology.server_capacity(zone)) for zone in zones]
        self.out = plan.out if plan else 0
        self.frozen = plan.frozen if plan else False
        self.doubted: tuple[int, ...] = ()
        self.plans = 0
        self._number = 0
        self._began = self._closed_at = self._made = now
        self._moved = now - SETTLES
        self._well_at: dict[int, int] = {}
        """By zone: when it was found well again."""
        self._staffed = dict.fromkeys(bits(plan.staffed, len(zones)) if plan else (), now)
        """Zones that have routers of their own, and when one of them was heard last."""
        self._gone: set[int] = set()
        self._answers: dict[tuple[str, int], Ordered] = {}

    # Evidence

    def turn(self, now: int) -> Plan | None:
        """Close a window if one is over; returns a new plan if one is needed."""
        self._now = now
        if now - self._closed_at < self._settings.report:
            return None
        self._closed_at = now
        self._learn(self.board.close(now), now)
        return self._decide(now)

    def _learn(self, window: Window, now: int) -> None:
        self._learn_gone(now)
        for zone in range(len(self.topology.zones)):
            if self.board.tells(zone, now) and not self.board.servers(zone, now):
                # Who asks nobody any more, as no server is in use or on the list, finds nothing.
                few = self._settings.least_attempts
                window.claims.setdefault((zone, zone), []).append(Claim(few, few))
        for path, claims in window.claims.items():
            if self.paths[path].learn(claims, now) and not self.paths[path].bad:
                self._turned_well(path[1], now)
        for path, claims in window.origins.items():
            self.sources[path].learn(claims, now)
        for zone, room in enumerate(self.rooms):
            room.learn(window.in_time[zone], window.strained[zone], now, now - self._moved > SETTLES)

    def _learn_gone(self, now: int) -> None:
        """Zones that had routers of their own, of which none says anything."""
        for zone in range(len(self.topology.zones)):
            if self.board.tells(zone, now):
                self._staffed[zone] = now
                if zone in self._gone:
                    self._gone.discard(zone)
                    self._well_at[zone] = now
            elif zone in self._staffed and now - self._began > self._settings.fresh * 2:
                if now - self._staffed[zone] <= FORGOTTEN:
                    self._gone.add(zone)
                else:
                    self._gone.discard(zone)
                    del self._staffed[zone]

    def _turned_well(self, zone: int, now: int) -> None:
        """One zone finds another well: so do those that have seen it good lately, for less evidence."""
        self._well_at[zone] = now
        for (_, target), path in self.paths.items():
            if target == zone and path.bad and path.hopeful:
                path.turn_well(now)

    def _is_bad(self, source: int, target: int) -> bool:
        """By the own evidence of a zone; where it has none, by what the target's own routers find."""
        path, now = self.paths[source, target], self._now
        if path.bad or (source != target and path.vouched(now)):
            return path.bad
        # Routers that come back with their zone find caches cold: they follow the way back, as all others do.
        return target in self._gone or self.paths[target, target].bad

    def _servers(self, zone: int) -> float:
        """Those in use; just after a zone came back all that are listed, as routers take them back singly."""
        if zone in self._lately():
            return self.board.listed(zone, self._now)
        return self.board.servers(zone, self._now)

    # Plans

    def _aim(self, out: int) -> _Aim:
        topology, board = self.topology, self.board
        zones = range(len(topology.zones))
        servers = [self._servers(zone) for zone in zones]
        bad = [mask_of([t for t in zones if self._is_bad(s, t)]) for s in zones]
        doubted = tuple(s for s in zones if all((bad[s] | out) >> t & 1 for t in zones))

        def usable(source: int, target: int) -> bool:
            return source not in doubted and not (bad[source] | out) >> target & 1

        demand = [max(pair) for pair in zip(board.quick, board.slow, strict=True)]
        placed = [0.0 if zone in doubted else held for zone, held in enumerate(demand)]
        room = [held.most(servers[zone]) for zone, held in enumerate(self.rooms)]
        proven = [held.proven(servers[zone]) for zone, held in enumerate(self.rooms)]
        poured = pour(
            placed,
            room,
            proven,
            usable,
            topology.zones_by_distance,
            (self._settings.near, self._settings.spill),
        )
        # Danger: were all refused, nothing would ever tell that a zone is well again.
        refused = tuple(0.0 if s in doubted else min(poured.refused[s], MOST_REFUSED) for s in zones)
        return _Aim(poured, refused, tuple(bad), doubted, out, tuple(demand), tuple(room))

    def _decide(self, now: int) -> Plan | None:
        plan = self._follower.plan
        if plan is None or plan.epoch != self.epoch:
            return self._adopt(plan, now)
        if self.frozen or now - self._began < self._settings.fresh:
            return None  # routers tell their owner only once they have heard of it
        aim = self._aim(self.out)
        self.doubted = aim.doubted
        end = self._rows(aim)
        was = plan.bad
        matrix = self._follower.matrix(now)
        worse = any(
            max(matrix[s][t], self._follower.end()[s][t]) > FAINT
            for s in range(len(was))
            if s not in aim.doubted
            for t in bits(aim.bad[s] & ~was[s], len(was))
        )
        better = any(was[s] & ~aim.bad[s] for s in range(len(was)) if s not in aim.doubted)
        if self._served() != plan.origins or self._lost() != plan.lost:
            return self._make(aim, end, self._rest(plan, now), "origin")
        held = Vector(self._follower.end(), tuple(part / PARTS for part in plan.refused))
        moves = worth_changing(held, Vector(end, aim.refused), aim.demand, aim.room, self._settings)
        back = any(end[s][t] - matrix[s][t] > FAINT for t in self._lately() for s in range(len(was)))
        if self._leads_to_evacuated(aim.out):
            return self._make(aim, end, DEFAULT_WAY_MS, "evacuate")
        if worse or (back and moves):
            return self._make(aim, end, self._back_ms if back else 0, "better" if back else "worse")
        squeezed = any(room.cut_at >= self._made for room in self.rooms)
        calm = self._settings.squeeze if squeezed else max(plan.way_ms * MS, self._settings.calm)
        if now - self._made < calm or not (moves or better):
            return None
        way = self._back_ms if any(room.tried for room in self.rooms) else OVERFLOW_MS
        return self._make(aim, end, way if moves else 0, "demand" if moves else "trials end")

    def _leads_to_evacuated(self, out: int) -> bool:
        """Whether the plan that holds sends reads to an evacuated zone, as one of an earlier release may."""
        zones = bits(out, len(self.topology.zones))
        return any(row[zone] > FAINT for row in self._follower.end() for zone in zones)

    def _lately(self) -> list[int]:
        """Zones that came back not long ago."""
        return [zone for zone, at in self._well_at.items() if self._now - at < LATELY]

    def _adopt(self, plan: Plan | None, now: int) -> Plan:
        """Go on with the plan that there was; with none, near first."""
        none = bytes(len(self.topology.zones))
        refused, bad, way = (plan.refused, plan.bad, self._rest(plan, now)) if plan else (none, none, 0)
        begin, end = self._follower.matrix(now), self._follower.end()
        return self._plan(begin, end, refused, bad, way, "new owner")

    def _rest(self, plan: Plan, now: int) -> int:
        """What is left of a plan's way, in milliseconds."""
        return max(plan.way_ms - (now - self._follower.made_at) // MS, 0)

    def _rows(self, aim: _Aim) -> Matrix:
        """Rows that make one each; a zone that doubts all goes on as it did."""
        held = self._follower.end()
        rows = []
        for source, shares in enumerate(aim.poured.shares):
            total = sum(shares)
            shut = any(share and aim.shut(source) >> target & 1 for target, share in enumerate(held[source]))
            idle = self.board.quick[source] < self._settings.idle * sum(self.board.quick)
            stays = source in aim.doubted or not total or (idle and not shut)
            kept = self._without_evacuated(source, held[source], aim)
            rows.append(kept if stays else tuple(share / total for share in shares))
        return tuple(rows)

    def _without_evacuated(self, source: int, row: tuple[float, ...], aim: _Aim) -> tuple[float, ...]:
        """A row that is kept for want of evidence or room, but for the zones evacuated by hand.

        Danger: an order doesn't hang on evidence. Were the row kept as it is, a zone evacuated while all
        looked bad would get its reads for ever: once all is well again, nothing asks for another plan.
        """
        remaining = [0.0 if aim.out >> target & 1 else share for target, share in enumerate(row)]
        total = sum(remaining)
        if total > FAINT:
            return tuple(share / total for share in remaining)
        near = self.topology.zones_by_distance(source)
        closed = aim.out if source in aim.doubted else aim.shut(source)
        target = next((zone for zone in near if not closed >> zone & 1), None)
        if target is None:
            return nearest_open(self.topology, aim.out)[source]
        return tuple(float(zone == target) for zone in range(len(row)))

    def _make(self, aim: _Aim, end: Matrix, way_ms: int, why: str) -> Plan:
        now, zones = self._now, range(len(self.topology.zones))
        begin = [list(row) for row in self._follower.matrix(now)]
        for source in zones:
            # Danger: what goes to a zone that is bad now must not wait for the way of one that comes back.
            shut = [t for t in zones if aim.bad[source] >> t & 1 and source not in aim.doubted]
            loose = sum(begin[source][target] for target in shut)
            for target in zones:
                begin[source][target] = 0.0 if target in shut else begin[source][target]
                begin[source][target] += loose * end[source][target]
        refused = bytes(round(part * PARTS) for part in aim.refused)
        return self._plan(begin, end, refused, self._bad_of(aim), way_ms, why)

    def _plan(
        self, begin: Sequence[Sequence[float]], end: Matrix, refused: bytes, bad: bytes, way_ms: int, why: str
    ) -> Plan:
        if why not in STILL:
            self._moved = self._now
        self._number += 1
        self.plans += 1
        self._made = self._now
        return Plan(
            self.topology.digest, self.epoch, self._number, self.name, 0, 0, min(way_ms, 3_600_000),
            parts_of(begin), parts_of(end), refused, bad, self._trial(), self.out, self.frozen,
            self._served(), self._lost(), mask_of(list(self._staffed)), why[:16],
        )  # fmt: skip

    def _trial(self) -> bytes:
        """So many of each zone's reads that some a second find out about a zone that is held bad."""
        wanted = (TRIALS_A_SECOND / max(demand, 1.0) for demand in self.board.slow)
        return bytes(round(1_000 * min(max(share, LEAST_TRIAL), MOST_TRIAL)) for share in wanted)

    def _bad_of(self, aim: _Aim) -> bytes:
        plan = self._follower.plan
        return bytes((plan.bad[s] if plan and s in aim.doubted else mask) for s, mask in enumerate(aim.bad))

    def _served(self) -> bytes:
        """By region: the nearest region whose origin answers; its own where none does."""
        areas = range(len(self.topology.distinct_regions))
        return bytes(
            next((o for o in self.topology.regions_by_distance(area) if not self.sources[area, o].bad), area)
            for area in areas
        )

    def _lost(self) -> int:
        return mask_of(
            [area for area in range(len(self.topology.distinct_regions)) if self.sources[area, area].bad]
        )

    # Orders

    def forecast(self, out: int) -> tuple[float, Poured]:
        """The part of all reads that would find no room with these zones out, and where the others go."""
        aim = self._aim(out)
        demand = self.board.slow
        total = sum(demand) or 1.0
        return sum(r * d for r, d in zip(aim.refused, demand, strict=True)) / total, aim.poured

    def order(self, by: str, asked: Order, now: int) -> tuple[Ordered, Plan | None]:
        """Carry an operator's order out; the same one again gets the same answer."""
        self._now = now
        known = self._answers.get((by, asked.id))
        if known is not None:
            return known, None
        text, plan = self._carry_out(asked)
        answer = self._answers[by, asked.id] = Ordered(asked.id, text)
        if len(self._answers) > REMEMBERED:
            del self._answers[next(iter(self._answers))]
        return answer, plan

    def _carry_out(self, asked: Order) -> tuple[str, Plan | None]:
        zones, out = range(len(self.topology.zones)), self.out
        if asked.what in ("evacuate", "return") and asked.zone not in zones:
            return "no such zone", None
        way = asked.way_ms or DEFAULT_WAY_MS
        if asked.what == "evacuate":
            if out >> asked.zone & 1:
                return "it is evacuated already", None
            after = out | 1 << asked.zone
            if after == mask_of(zones):
                return "no zone would be left", None
            refused, _ = self.forecast(after)
            if refused > self._settings.refusable and not asked.force:
                return (
                    f"no room: {refused:.0%} of all reads would be refused; --force does it all the same",
                    None,
                )
            self.out = after
        elif asked.what == "return":
            if not out >> asked.zone & 1:
                return "it is not evacuated", None
            self.out, way = out & ~(1 << asked.zone), max(way, self._back_ms)
        elif asked.what in ("freeze", "thaw"):
            self.frozen, way = asked.what == "freeze", 0
        else:
            return "no such order", None
        aim = self._aim(self.out)
        plan = self._follower.plan
        if asked.what in ("freeze", "thaw") and plan is not None:
            return "", self._make(aim, self._follower.end(), self._rest(plan, self._now), asked.what)
        return "", self._make(aim, self._rows(aim), way, asked.what)

    def view(self, now: int) -> dict[str, object]:
        """For operators."""
        zones = self.topology.zones
        after = {}
        for place, zone in enumerate(zones):
            refused, poured = self.forecast(self.out | 1 << place)
            after[zone] = {
                "refused": round(refused, 3),
                "load": {name: round(load, 1) for name, load in zip(zones, poured.load, strict=True)},
            }
        return {
            "epoch": self.epoch,
            "plans": self.plans,
            "reporting": len(self.board.fresh(now)),
            "following": self.board.followers(self.epoch, self._number, now),
            "doubted": [zones[place] for place in self.doubted],
            "zones": {
                zone: {
                    "demand": round(self.board.slow[place], 1),
                    "in_time": round(self.rooms[place].rate, 1),
                    "room": _figure(self.rooms[place].most(self.board.servers(place, now))),
                    "proven": _figure(self.rooms[place].proven(self.board.servers(place, now))),
                    "servers": self.board.servers(place, now),
                    "missed": round(self.board.missed(place, now), 3),
                }
                for place, zone in enumerate(zones)
            },
            "without": after,
        }


def _figure(rate: float) -> float | None:
    return None if rate == UNLIMITED else round(rate, 1)


def bad_paths(plan: Plan, topology: Topology) -> list[tuple[str, str]]:
    """The paths that a plan holds bad, by names."""
    zones = topology.zones
    return [(zones[s], zones[t]) for s in range(len(zones)) for t in bits(plan.bad[s], len(zones))]
