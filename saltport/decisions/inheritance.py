"""What a process has learnt, for the process that replaces it: no decisions, and no I/O.

Times go as ages, as clocks may differ. A message is read whole before anything of it counts, and what it
holds of servers and tenants that this process does not know is passed over.
"""

from __future__ import annotations

import math
from typing import TYPE_CHECKING, Any

from saltport.decisions.health import Node
from saltport.decisions.outliers import FAILURE_WINDOW_NS, MAX_EJECTION_NS, Record
from saltport.decisions.settings import WireError, number
from saltport.structures.windowed_counter import WindowedCounter

if TYPE_CHECKING:
    from saltport.decisions.logic import Router
    from saltport.decisions.suppression import Suppressor

FORM = 1  # version of the record; another one is not read
STEP = 100_000_000  # nanoseconds: calls of one step are told as one count


def export(router: Router, now: int) -> dict[str, Any]:
    """What this router has learnt, as JSON can hold it."""
    return {
        "form": FORM,
        "tenants": {name: _guard(limiter, now) for name, limiter in router.fetches.rate_limiters.items()},
        "servers": {
            name: _node(node) for name, node in router.caches.nodes.items() if node.limit.response_time
        },
        "ejected": {
            name: [max(record.ejected_until - now, 0), record.ejections, record.reason]
            for name, record in router.outliers.records.items()
            if name in router.outliers.ejected
        },
    }


def _guard(limiter: Suppressor, now: int) -> dict[str, Any]:
    limiter.accepted(now)  # drops what the window has passed
    steps: dict[int, list[int]] = {}
    for at, declined in limiter.calls:
        steps.setdefault((now - at) // STEP, [0, 0])[declined] += 1
    return {"limit": limiter.limit, "calls": [[age, *counts] for age, counts in steps.items()]}


def _node(node: Node) -> list[float]:
    limit = -1.0 if math.isinf(node.limit.limit) else node.limit.limit
    times = node.response_time
    return [
        limit,
        node.limit.response_time,
        node.limit.service_time,
        times.mean,
        times.deviation,
        node.weight_factor,
    ]


def _number(value: Any, least: float = 0.0) -> Any:
    return number("what was learnt", value, least)


def restore(router: Router, message: Any, now: int) -> None:
    """Go on from what another process has learnt; raises ValueError, and then nothing of it counts."""
    try:
        if message["form"] != FORM:
            raise ValueError(f"form {message['form']!r} is unknown")
        limiters = {name: _read_guard(entry) for name, entry in message["tenants"].items()}
        nodes = {name: _read_node(entry) for name, entry in message["servers"].items()}
        ejected = {name: _read_ejection(entry) for name, entry in message["ejected"].items()}
    except (KeyError, TypeError, AttributeError, WireError) as error:
        raise ValueError(f"{type(error).__name__}: {error}") from None
    for name, (limit, steps) in limiters.items():
        limiter = router.fetches.rate_limiters.get(name)
        if limiter is not None:
            limiter.limit = min(max(limit, limiter.floor), limiter.cap)
            for age, accepted, declined in sorted(steps, reverse=True):
                for is_declined in [False] * accepted + [True] * declined:
                    limiter.count(now - age * STEP, is_declined)
    for name, figures in nodes.items():
        node = router.caches.nodes.get(name)
        if node is not None:
            times = node.response_time
            (
                limit,
                node.limit.response_time,
                node.limit.service_time,
                times.mean,
                times.deviation,
                node.weight_factor,
            ) = figures
            node.limit.limit = math.inf if limit < 0 else max(limit, 1.0)
            node.limit.mark_current(now)
    for name, (left, ejections, reason) in ejected.items():
        node = router.caches.nodes.get(name)
        if node is not None:
            record = Record(
                node.entry.started,
                WindowedCounter(FAILURE_WINDOW_NS, now),
                ejections=ejections,
                reason=reason,
            )
            record.ejected_at, record.ejected_until = now, now + min(left, 2 * MAX_EJECTION_NS)
            router.outliers.adopt(name, record)


def _read_guard(entry: Any) -> tuple[float, list[tuple[int, int, int]]]:
    steps = [(int(_number(a)), int(_number(b)), int(_number(c))) for a, b, c in entry["calls"]]
    if sum(accepted + declined for _, accepted, declined in steps) > 1_000_000:
        raise ValueError("more calls than any window holds")
    return _number(entry["limit"]), steps


def _read_node(entry: Any) -> tuple[float, float, float, float, float, float]:
    limit, took, work, mean, deviation, weight_factor = entry
    if not _number(weight_factor, 1e-6) <= 1.0:
        raise ValueError("a weight factor is at most 1")
    return (
        _number(limit, -1.0),
        _number(took),
        _number(work),
        _number(mean),
        _number(deviation),
        weight_factor,
    )


def _read_ejection(entry: Any) -> tuple[int, int, str]:
    left, ejections, reason = entry
    if not isinstance(reason, str):
        raise ValueError("a reason is text")
    return int(_number(left)), int(_number(ejections, 1)), reason
