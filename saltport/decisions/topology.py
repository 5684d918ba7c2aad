"""Zones and regions as the configuration tells them: what is near to what, and which origin is whose."""

from __future__ import annotations

from dataclasses import dataclass, field
from functools import cached_property
from hashlib import blake2b

MOST_ZONES = 6  # a plan for all of them must fit one datagram


@dataclass(frozen=True)
class Topology:
    """The same at every router of a fleet, but for `here`; zones go by their place in `zones`."""

    zones: tuple[str, ...]
    here: str
    """The zone of this router."""
    regions: tuple[str, ...]
    """Of each zone."""
    costs: dict[tuple[int, int], float] = field(default_factory=dict)
    """Of a round trip between two zones, milliseconds; not told: 1 in a region, 50 between two."""
    origins: tuple[tuple[str, str], ...] = ()
    """A region and the id of its origin; empty: all are served by any."""
    capacity: tuple[float, ...] = ()
    """Requests a second that a server of each zone can do; 0 or not told: it is learnt."""

    def __post_init__(self) -> None:
        if not 1 <= len(self.zones) <= MOST_ZONES or len(set(self.zones)) != len(self.zones):
            raise ValueError(f"topology.zones: one to {MOST_ZONES} names, each once")
        if self.here not in self.zones:
            raise ValueError(f"topology.here: {self.here!r} is none of {', '.join(self.zones)}")
        for region, _ in self.origins:
            if region not in self.regions:
                raise ValueError(f"topology.origins: {region!r} is no region of any zone")

    @cached_property
    def places(self) -> dict[str, int]:
        """Of each zone by its name."""
        return {zone: place for place, zone in enumerate(self.zones)}

    @property
    def mine(self) -> int:
        """The place of this router's zone."""
        return self.places[self.here]

    @cached_property
    def areas(self) -> tuple[str, ...]:
        """The regions, in the order of their first zones."""
        return tuple(dict.fromkeys(self.regions))

    def area_of(self, zone: int) -> int:
        """The place of a zone's region in `areas`."""
        return self.areas.index(self.regions[zone])

    def cost(self, here: int, there: int) -> float:
        """Milliseconds of a round trip."""
        if here == there:
            return 0.0
        told = self.costs.get((here, there), self.costs.get((there, here)))
        return told if told is not None else 1.0 if self.regions[here] == self.regions[there] else 50.0

    @cached_property
    def _nearest(self) -> tuple[tuple[int, ...], ...]:
        places = range(len(self.zones))
        return tuple(tuple(sorted(places, key=lambda to: (self.cost(at, to), to))) for at in places)

    def near(self, zone: int) -> tuple[int, ...]:
        """All zones as seen from one, itself first."""
        return self._nearest[zone]

    @cached_property
    def _nearest_areas(self) -> tuple[tuple[int, ...], ...]:
        places, areas = range(len(self.zones)), range(len(self.areas))

        def cost(one: int, other: int) -> float:
            pairs = ((a, b) for a in places if self.area_of(a) == one for b in places)
            return min(self.cost(a, b) for a, b in pairs if self.area_of(b) == other)

        return tuple(tuple(sorted(areas, key=lambda to: (to != at, cost(at, to), to))) for at in areas)

    def near_areas(self, area: int) -> tuple[int, ...]:
        """All regions as seen from one, itself first."""
        return self._nearest_areas[area]

    @cached_property
    def _origins(self) -> tuple[str, ...]:
        told = dict(self.origins)
        return tuple(told.get(region, "") for region in self.areas)

    def origin(self, area: int) -> str:
        """The id of a region's origin; empty: any."""
        return self._origins[area]

    def room_of(self, zone: int) -> float:
        """Requests a second of one server; 0: not told."""
        return self.capacity[zone] if zone < len(self.capacity) else 0.0

    @cached_property
    def digest(self) -> int:
        """32 bits: two routers with other zones must not read each other's plans."""
        told = repr((self.zones, self.regions, self.origins))
        return int.from_bytes(blake2b(told.encode(), digest_size=4).digest())


@dataclass(slots=True)
class ZoneCount:
    """What a router's own attempts found in one zone, since it was last taken."""

    listed: int = 0
    usable: int = 0
    """Of them: servers that are not ejected here."""
    answered: int = 0
    silent: int = 0
    full: int = 0
    late: int = 0
    """Of the answered: after the class's aim."""
    missed: int = 0

    @property
    def attempts(self) -> int:
        """All that tell something."""
        return self.answered + self.silent + self.full


@dataclass(slots=True)
class Evidence:
    """Of all zones, and of the regions' origins."""

    zones: list[ZoneCount]
    origins: list[list[int]]
    """By region: fetches and writes that its origin answered, and those it was silent on."""
    demand: int = 0
    """Reads that came, without those that clients mark as tried again."""
    refused: int = 0
    """Reads turned away by the plan."""
