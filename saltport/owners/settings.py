"""The figures of ownership; times are nanoseconds."""

from __future__ import annotations

from dataclasses import dataclass, field

from saltport.owners.raft import NS_PER_MS, RaftSettings


@dataclass(frozen=True, slots=True)
class OwnerSettings:
    """The same at every router of a fleet."""

    lease: int = 3_000 * NS_PER_MS
    """After so long without a word of a session its pieces are given to others."""
    drift: float = 0.02
    """By so much of it a clock may run faster or slower."""
    renew: int = 500 * NS_PER_MS
    moves_per_s: int = 10
    """Pieces asked back for the sake of an even spread."""
    forget: int = 60_000 * NS_PER_MS
    """A piece that nobody has wanted for so long is dropped."""
    room: int = 120
    """Bytes of wanted pieces in a renewal."""
    rows: int = 12
    """Datagrams of rows that one renewal is answered with, at the most."""
    raft: RaftSettings = field(default_factory=RaftSettings)
    keep: int = 512
    """Entries after which the log is put into a snapshot."""

    @property
    def own_lease(self) -> int:
        """What an owner counts on, from when its question left."""
        return int(self.lease * (1 - self.drift) / (1 + self.drift))
