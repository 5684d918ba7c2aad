"""The state of the decisions as shown to operators; nothing is decided by it."""

from __future__ import annotations

import math
from collections.abc import Iterable
from heapq import nsmallest
from typing import TYPE_CHECKING

from saltport.decisions.health import Node
from saltport.decisions.interface import NS_PER_S
from saltport.decisions.outliers import OutlierDetector
from saltport.decisions.overload import OverloadControl

if TYPE_CHECKING:
    from saltport.decisions.logic import Router
    from saltport.decisions.placement import Placement
    from saltport.decisions.suppression import Suppressor

MAX_SERVERS_SHOWN = 20  # fleets may be large


def summary(router: Router, now: int) -> dict[str, object]:
    """Return the complete state of a router's decisions."""
    return {
        "caches": len(router.caches.nodes),
        "origins": len(router.origins.nodes),
        "out": sorted(router.registry.excluded),
        "open": len(router.requests),
        "given_up": router.given_up.view(now),
        "tenants": tenants(router.fetches.rate_limiters.values(), now),
        "outliers": outliers(router.outliers, now),
        "overload": overload(router.overload),
        "hot_keys": router.replication.view(now),
        "limits": limits(router.caches.nodes.values(), router.placement),
    }


def cluster(router: Router) -> tuple[int, int]:
    """Return the number of listed cache servers, and of those that are excluded by an operator or ejected."""
    origin = router.settings.origin_kind
    caches = {server for server, entry in router.registry.listed.items() if entry.kind != origin}
    panic = router.outliers.panicking  # ejections are ignored in panic
    avoided = router.registry.excluded if panic else router.registry.excluded | router.outliers.ejected
    return len(caches), len(caches & avoided)


def tenants(limiters: Iterable[Suppressor], now: int) -> dict[str, object]:
    """Return each tenant's rate limit at the origin, in calls per second."""
    return {
        limiter.name: {
            "rate_limit_per_s": round(limiter.limit, 3),
            "cap_per_s": round(limiter.cap, 3),
            "fetches_per_s": round(limiter.call_rate(now), 3),
            "declined": limiter.calls.declined,
        }
        for limiter in limiters
    }


def limits(nodes: Iterable[Node], placement: Placement) -> dict[str, object]:
    """Return the servers with the lowest limits, and the fleet's crowding."""
    least = nsmallest(MAX_SERVERS_SHOWN, nodes, key=lambda node: (node.weight_factor, node.limit.limit))
    return {
        "crowded_share": round(placement.crowded_share, 3),
        "overflowed": placement.overflowed,
        "moved": placement.moved,
        "servers": {node.entry.id: limit(node) for node in least},
    }


def limit(node: Node) -> dict[str, float | None]:
    """Return one server's limit and weight factor, with times in milliseconds."""
    estimate = node.limit
    return {
        "limit": None if math.isinf(estimate.limit) else round(estimate.limit, 1),
        "out": node.load,
        "work_ms": round(estimate.base_response_time / 1e6, 1),
        "waiting_ms": round(max(estimate.response_time - estimate.base_response_time, 0.0) / 1e6, 1),
        "weight_factor": round(node.weight_factor, 3),
        "portion": round(node.weight_factor, 3),  # the name until the next version
        "least_ms": node.timeliness.min_time / 1e6,
    }


def outliers(detector: OutlierDetector, now: int) -> dict[str, object]:
    """Return the servers with evidence of failures, with their state and its reason."""
    servers = {
        server: {
            "state": detector.state(server, now).value,
            "standing": detector.state(server, now).value,  # the name until the next version
            "reason": record.reason,
            "failures_in_a_row": record.consecutive_failures,
            "attempts": record.attempts.totals()[0],
            "failures": record.attempts.totals()[1],
            "ejections": record.ejections if record.ejected_until else record.recent_ejections(now),
            "ejected_for_s": round(max(record.ejected_until - now, 0) / NS_PER_S, 3),
            "kept_in": server in detector.suspects,
        }
        for server, record in detector.records.items()
        if record.left_at is None
    }
    return {
        "listed": detector.listed,
        "ejected": len(detector.ejected),
        "panic": detector.panicking,
        "servers": servers,
    }


def overload(control: OverloadControl) -> dict[str, object]:
    """Return the state of the router's load shedding."""
    return {
        "on": control.target > 0,
        "overloaded": control.admitted < 1.0,
        "admitted_share": round(control.admitted, 3),
        "loop_busy_share": round(control.last_report.busy, 3),
        "loop_delay_ms": round(control.last_report.delay / 1e6, 3),
        "shed": {tenant or "(none)": count for tenant, count in control.shed.items()},
    }
