"""The figures of failover; times are nanoseconds."""

from __future__ import annotations

from dataclasses import dataclass

from saltport.decisions.interface import NS_PER_S

LEASE_NAME = "failover"
"""The piece of work whose owner makes the plans."""


@dataclass(frozen=True, slots=True)
class FailoverSettings:
    """The same at every router of a fleet."""

    report_interval_ns: int = NS_PER_S // 2
    """Between two reports of a router."""
    decision_interval_ns: int = NS_PER_S // 4
    plan_interval_ns: int = NS_PER_S
    """Between two tellings of the same plan."""
    plan_validity_ns: int = 10 * NS_PER_S
    """For so long a plan holds after the owner's last word."""
    fallback_transition_ns: int = 10 * NS_PER_S
    """Within which a router that is on its own goes over to near first."""
    plan_query_ns: int = 2 * NS_PER_S
    """For which a new owner asks at the most what the last plan was."""
    report_max_age_ns: int = 3 * NS_PER_S // 2
    """After which a report counts no more."""
    min_attempts: int = 5
    """Of a path's evidence in a window; with fewer it says nothing against it."""
    bad_share: float = 0.5
    good_share: float = 0.1
    bad_windows: int = 2
    good_answers: int = 10
    """In a row of good windows, after which a path counts as well; doubled by each relapse."""
    good_windows: int = 4
    """And so many of them; doubled likewise."""
    relapse_window_ns: int = 60 * NS_PER_S
    max_relapses: int = 5
    own_demand_limit: float = 0.8
    """Of a zone's room that its own demand fills before it goes elsewhere, while there is room elsewhere."""
    spillover_limit: float = 0.75
    """Of a zone's room that is filled with others' demand, while there is room elsewhere."""
    max_strained_share: float = 0.15
    """The share of late and turned away at which a zone has no more room than it uses."""
    capacity_retry_ns: int = 15 * NS_PER_S
    """After a cut of room, before all of it is tried again, in steps; doubled by each cut that follows."""
    max_capacity_retry_ns: int = 240 * NS_PER_S
    min_share_change: float = 0.08
    """Less of a change of any share makes no new plan."""
    min_plan_interval_ns: int = 3 * NS_PER_S
    """Between two plans that no change of health asks for."""
    min_plan_interval_after_cut_ns: int = NS_PER_S
    """And where a zone's room was cut."""
    idle_demand_share: float = 0.02
    """Of all demand: a zone with less keeps its row, as long as that leads anywhere."""
    min_recovery_ns: int = 8 * NS_PER_S
    """The least time in which a zone gets its share back."""
    warm_up_factor: float = 2.0
    """Times the time in which servers get warm, if that is longer."""
    max_refused_share: float = 0.02
    """The part of reads that an evacuation may turn away without being forced."""
