"""Constants of failover, the same at all routers of a fleet."""

from __future__ import annotations

from dataclasses import dataclass

from saltport.decisions.interface import NS_PER_S

TASK_NAME = "failover"
"""Name of the owned task whose owner computes the failover plans."""


@dataclass(frozen=True, slots=True)
class FailoverSettings:
    """Intervals and thresholds of failover; shares are from 0 to 1."""

    report_interval_ns: int = NS_PER_S // 2
    """Time between two reports of a router; also the length of a window of evidence."""
    decision_interval_ns: int = NS_PER_S // 4
    """Time between two checks by the owner whether a window is complete."""
    plan_interval_ns: int = NS_PER_S
    """Time between two confirmations of the same plan by its owner, and between two forwardings."""
    plan_validity_ns: int = 10 * NS_PER_S
    """Time for which a plan is valid after the owner's last confirmation."""
    fallback_transition_ns: int = 10 * NS_PER_S
    """Duration of the move to the nearest zones after a plan has expired."""
    plan_query_ns: int = 2 * NS_PER_S
    """Time for which a new owner asks all routers for the latest plan."""
    report_max_age_ns: int = 3 * NS_PER_S // 2
    """Age after which a report is ignored."""
    min_attempts: int = 5
    """Attempts on a path that a window needs to count as evidence against the path."""
    bad_share: float = 0.5
    """Share of unanswered attempts from which a window of a path is bad."""
    good_share: float = 0.1
    """Share of unanswered attempts up to which a window of a path is good."""
    bad_windows: int = 2
    """Consecutive bad windows after which a path is bad, or overloaded ones after which a capacity is cut."""
    good_answers: int = 10
    """Answers in consecutive good windows that a bad path needs to recover; doubled by each relapse."""
    good_windows: int = 4
    """Consecutive good windows that a bad path needs as well; doubled by each relapse."""
    relapse_window_ns: int = 60 * NS_PER_S
    """A path that becomes bad again within this time after a recovery has relapsed."""
    max_relapses: int = 5
    """Relapses after which the evidence needed to recover is not doubled any more."""
    own_demand_limit: float = 0.8
    """Share of a zone's capacity for its own demand; more goes to other zones while they have capacity."""
    spillover_limit: float = 0.75
    """Share of a zone's capacity up to which other zones' demand fills it, while others have capacity."""
    max_strained_share: float = 0.15
    """Share of late and rejected attempts above which a zone is overloaded at its current rate."""
    capacity_retry_ns: int = 15 * NS_PER_S
    """Time after a cut of capacity before the full capacity is tried again; doubled by each failed try."""
    max_capacity_retry_ns: int = 240 * NS_PER_S
    """Upper limit of that time."""
    min_share_change: float = 0.08
    """Smallest increase of a zone's share of its own reads that justifies a new plan."""
    min_plan_interval_ns: int = 3 * NS_PER_S
    """Minimum time between two plans that only follow demand."""
    min_plan_interval_after_cut_ns: int = NS_PER_S
    """The same after the capacity of a zone was cut."""
    idle_demand_share: float = 0.02
    """Share of all demand below which a zone counts as idle; it keeps its shares while they are usable."""
    min_recovery_ns: int = 8 * NS_PER_S
    """Minimum duration of the transition that gives a recovered zone its share back."""
    warm_up_factor: float = 2.0
    """The transition takes at least this multiple of the servers' warm-up time."""
    max_refused_share: float = 0.02
    """Share of all reads that an evacuation may cause to be refused unless it is forced."""
