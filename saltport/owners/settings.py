"""Settings of ownership; times are nanoseconds."""

from __future__ import annotations

from dataclasses import dataclass, field

from saltport.owners.raft import NS_PER_MS, RaftSettings


@dataclass(frozen=True, slots=True)
class OwnerSettings:
    """Settings of ownership, equal at every router of a fleet."""

    lease: int = 3_000 * NS_PER_MS
    """After this time without a renewal the tasks of a session are reassigned."""
    clock_drift: float = 0.02
    """Largest relative error of a clock's rate."""
    renew_interval: int = 500 * NS_PER_MS
    moves_per_s: int = 10
    """Most tasks recalled per second for rebalancing."""
    unwanted_timeout: int = 60_000 * NS_PER_MS
    """A task that no router has wanted for this long is removed."""
    max_wanted_bytes: int = 120
    """Size limit of the wanted tasks in a renewal."""
    max_assignment_messages: int = 12
    """Most AssignedTasks messages in reply to one renewal."""
    raft: RaftSettings = field(default_factory=RaftSettings)
    max_log_entries: int = 512
    """Number of log entries above which the log is replaced by a snapshot."""

    @property
    def owner_lease_duration(self) -> int:
        """Duration of the lease as the owner counts it, from the sending of the renewal."""
        return int(self.lease * (1 - self.clock_drift) / (1 + self.clock_drift))
