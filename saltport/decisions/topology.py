"""The configured zones and regions: their distances and the origin of each region."""

from __future__ import annotations

from dataclasses import dataclass, field
from functools import cached_property
from hashlib import blake2b

MAX_ZONES = 6  # a plan for all zones must fit into one datagram


@dataclass(frozen=True)
class Topology:
    """The zones, regions and origins of a fleet; all routers have the same values except for `here`.

    Zones are identified by their index in `zones`, regions by their index in `distinct_regions`.
    """

    zones: tuple[str, ...]
    here: str
    """The name of this router's zone."""
    regions: tuple[str, ...]
    """The region of each zone."""
    costs: dict[tuple[int, int], float] = field(default_factory=dict)
    """The round-trip times between two zones in ms; by default 1 within a region and 50 between regions."""
    origins: tuple[tuple[str, str], ...] = ()
    """Pairs of a region and the id of its origin; empty: any origin serves all regions."""
    capacity: tuple[float, ...] = ()
    """Requests per second that a server of each zone can serve; 0 or absent: the capacity is learned."""

    def __post_init__(self) -> None:
        if not 1 <= len(self.zones) <= MAX_ZONES or len(set(self.zones)) != len(self.zones):
            raise ValueError(f"topology.zones: one to {MAX_ZONES} names, each once")
        if self.here not in self.zones:
            raise ValueError(f"topology.here: {self.here!r} is none of {', '.join(self.zones)}")
        for region, _ in self.origins:
            if region not in self.regions:
                raise ValueError(f"topology.origins: {region!r} is no region of any zone")

    @cached_property
    def zone_index(self) -> dict[str, int]:
        """The index of each zone by its name."""
        return {zone: place for place, zone in enumerate(self.zones)}

    @property
    def own_zone(self) -> int:
        """The index of this router's zone."""
        return self.zone_index[self.here]

    @cached_property
    def distinct_regions(self) -> tuple[str, ...]:
        """The names of the regions without repetition, in the order of their first zones."""
        return tuple(dict.fromkeys(self.regions))

    def region_index(self, zone: int) -> int:
        """Return the index of a zone's region in `distinct_regions`."""
        return self.distinct_regions.index(self.regions[zone])

    def round_trip_ms(self, here: int, there: int) -> float:
        """Return the round-trip time between two zones in milliseconds."""
        if here == there:
            return 0.0
        configured = self.costs.get((here, there), self.costs.get((there, here)))
        return (
            configured
            if configured is not None
            else 1.0
            if self.regions[here] == self.regions[there]
            else 50.0
        )

    @cached_property
    def _nearest(self) -> tuple[tuple[int, ...], ...]:
        """For each zone, by its index: all zones ordered by round-trip time, the zone itself first."""
        places = range(len(self.zones))
        return tuple(tuple(sorted(places, key=lambda to: (self.round_trip_ms(at, to), to))) for at in places)

    def zones_by_distance(self, zone: int) -> tuple[int, ...]:
        """Return all zones ordered by their distance from `zone`, which is the first."""
        return self._nearest[zone]

    @cached_property
    def _nearest_regions(self) -> tuple[tuple[int, ...], ...]:
        """For each region, by its index: all regions ordered by their distance, the region itself first.

        The distance of two regions is the shortest round-trip time between two of their zones.
        """
        places, areas = range(len(self.zones)), range(len(self.distinct_regions))

        def cost(one: int, other: int) -> float:
            pairs = ((a, b) for a in places if self.region_index(a) == one for b in places)
            return min(self.round_trip_ms(a, b) for a, b in pairs if self.region_index(b) == other)

        return tuple(tuple(sorted(areas, key=lambda to: (to != at, cost(at, to), to))) for at in areas)

    def regions_by_distance(self, region: int) -> tuple[int, ...]:
        """Return all regions ordered by their distance from `region`, which is the first."""
        return self._nearest_regions[region]

    @cached_property
    def _origins(self) -> tuple[str, ...]:
        """For each region, by its index: the id of its origin, or "" if any origin may serve the region."""
        origins = dict(self.origins)
        return tuple(origins.get(region, "") for region in self.distinct_regions)

    def region_origin(self, region: int) -> str:
        """Return the id of a region's origin, or an empty string if any origin may serve it."""
        return self._origins[region]

    def server_capacity(self, zone: int) -> float:
        """Return the requests per second that one server of a zone can serve, or 0 if not configured."""
        return self.capacity[zone] if zone < len(self.capacity) else 0.0

    @cached_property
    def digest(self) -> int:
        """A 32-bit digest, by which routers with a different topology ignore each other's plans."""
        identity = repr((self.zones, self.regions, self.origins))
        return int.from_bytes(blake2b(identity.encode(), digest_size=4).digest())


@dataclass(slots=True)
class ZoneCount:
    """Counts of the results of a router's attempts in one zone since the last report."""

    listed: int = 0
    usable: int = 0
    """Listed servers that this router has not ejected."""
    answered: int = 0
    silent: int = 0
    full: int = 0
    late: int = 0
    """Answered attempts that took longer than the target time of their class."""
    missed: int = 0

    @property
    def attempts(self) -> int:
        """All attempts that count as evidence."""
        return self.answered + self.silent + self.full


@dataclass(slots=True)
class Evidence:
    """The results of a router's attempts in all zones and at the regions' origins."""

    zones: list[ZoneCount]
    origins: list[list[int]]
    """For each region: the calls that its origin answered, and those that it did not."""
    demand: int = 0
    """Reads that arrived, without those that clients mark as retries."""
    refused: int = 0
    """Reads that were refused by the plan."""
