"""Export and restore of the learned state, for the hand-over to the process that replaces this one.

Times are transferred as ages, as clocks may differ. A message is validated completely before any of it is
applied; entries of unknown servers and tenants are ignored.
"""

from __future__ import annotations

import math
from typing import TYPE_CHECKING, Any

from saltport.decisions.health import Node
from saltport.decisions.interface import DedupScope, Effect, RequestClass
from saltport.decisions.outliers import FAILURE_WINDOW_NS, MAX_EJECTION_NS, Record
from saltport.decisions.settings import WireError, number
from saltport.structures.windowed_counter import WindowedCounter

if TYPE_CHECKING:
    from saltport.decisions.logic import Router
    from saltport.decisions.suppression import Suppressor

FORMAT_VERSION = 1  # records of other versions are rejected
STEP_NS = 100_000_000  # calls within one step are transferred as one count


def export(router: Router, now: int) -> dict[str, Any]:
    """Return the state that this router has learned, as values for JSON."""
    return {
        "form": FORMAT_VERSION,
        "tenants": {
            name: _export_limiter(limiter, now) for name, limiter in router.fetches.rate_limiters.items()
        },
        "servers": {
            name: _export_node(node) for name, node in router.caches.nodes.items() if node.limit.response_time
        },
        "ejected": {
            name: [max(record.ejected_until - now, 0), record.ejections, record.reason]
            for name, record in router.outliers.records.items()
            if name in router.outliers.ejected
        },
        "rules": _export_rules(router),
    }


def _export_rules(router: Router) -> dict[str, Any]:
    """Return the classes and the number of attempts in force, for requests that the next process reads."""
    classes, max_attempts = router.rules_history.current()
    return {
        "attempts": max_attempts,
        "classes": [
            [
                known.name,
                known.aim,
                known.deadline,
                known.effect.value,
                known.dedup_scope.value,
                known.dedup_window,
                known.streamed,
            ]
            for known in classes
        ],
    }


def _read_class(entry: Any) -> RequestClass:
    """Return the validated class; raises ValueError."""
    name, aim, deadline, effect, scope, window, streamed = entry
    if not isinstance(name, str):
        raise ValueError("the name of a class must be a string")
    aim, deadline, window = (int(_checked_number(value)) for value in (aim, deadline, window))
    return RequestClass(name, aim, deadline, Effect(effect), DedupScope(scope), window, streamed is True)


def _export_limiter(limiter: Suppressor, now: int) -> dict[str, Any]:
    """Return a tenant's limit, and its calls as triples of age in steps, accepted and declined calls."""
    limiter.accepted(now)  # removes calls that have left the window
    steps: dict[int, list[int]] = {}
    for at, declined in limiter.calls:
        steps.setdefault((now - at) // STEP_NS, [0, 0])[declined] += 1
    return {"limit": limiter.limit, "calls": [[age, *counts] for age, counts in steps.items()]}


def _export_node(node: Node) -> list[float]:
    """Return the state of one server as the numbers that `_read_node` describes."""
    limit = -1.0 if math.isinf(node.limit.limit) else node.limit.limit
    times = node.response_time
    return [
        limit,
        node.limit.response_time,
        node.limit.base_response_time,
        times.mean,
        times.deviation,
        node.weight_factor,
    ]


def _checked_number(value: Any, least: float = 0.0) -> Any:
    """Return `value` if it is a number of at least `least`, else raise WireError."""
    return number("learned state", value, least)


def restore(router: Router, message: Any, now: int) -> None:
    """Apply the state exported by another process; raises ValueError without applying any of it."""
    try:
        if message["form"] != FORMAT_VERSION:
            raise ValueError(f"form {message['form']!r} is unknown")
        limiters = {name: _read_limiter(entry) for name, entry in message["tenants"].items()}
        nodes = {name: _read_node(entry) for name, entry in message["servers"].items()}
        ejected = {name: _read_ejection(entry) for name, entry in message["ejected"].items()}
        # Processes of earlier versions do not send the rules.
        rules = message.get("rules") or {"attempts": 1, "classes": []}
        classes = [_read_class(entry) for entry in rules["classes"]]
        max_attempts = int(_checked_number(rules["attempts"], 1))
    except (KeyError, TypeError, AttributeError, WireError) as error:
        raise ValueError(f"{type(error).__name__}: {error}") from None
    if classes:
        router.rules_history.add_predecessor(classes, max_attempts, now)
    for name, (limit, steps) in limiters.items():
        limiter = router.fetches.rate_limiters.get(name)
        if limiter is not None:
            limiter.limit = min(max(limit, limiter.floor), limiter.cap)
            for age, accepted, declined in sorted(steps, reverse=True):
                for is_declined in [False] * accepted + [True] * declined:
                    limiter.count(now - age * STEP_NS, is_declined)
    for name, values in nodes.items():
        node = router.caches.nodes.get(name)
        if node is not None:
            times = node.response_time
            (
                limit,
                node.limit.response_time,
                node.limit.base_response_time,
                times.mean,
                times.deviation,
                node.weight_factor,
            ) = values
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


def _read_limiter(entry: Any) -> tuple[float, list[tuple[int, int, int]]]:
    """Return the validated state of one tenant's rate limiter: the limit in calls per second, and its calls.

    The calls are triples: the age in steps of `STEP_NS`, and the numbers of accepted and declined calls.
    """
    steps = [
        (int(_checked_number(a)), int(_checked_number(b)), int(_checked_number(c)))
        for a, b, c in entry["calls"]
    ]
    if sum(accepted + declined for _, accepted, declined in steps) > 1_000_000:
        raise ValueError("more calls than any window contains")
    return _checked_number(entry["limit"]), steps


def _read_node(entry: Any) -> tuple[float, float, float, float, float, float]:
    """Return the validated state of one server.

    The numbers are the concurrency limit (-1: infinite), its smoothed response time and its response time
    without queueing, the mean and the deviation of the response time, and the weight factor.
    """
    limit, took, work, mean, deviation, weight_factor = entry
    if not _checked_number(weight_factor, 1e-6) <= 1.0:
        raise ValueError("a weight factor must not exceed 1")
    return (
        _checked_number(limit, -1.0),
        _checked_number(took),
        _checked_number(work),
        _checked_number(mean),
        _checked_number(deviation),
        weight_factor,
    )


def _read_ejection(entry: Any) -> tuple[int, int, str]:
    """Return the validated state of one ejection: the time left, the number of ejections, and the reason."""
    left, ejections, reason = entry
    if not isinstance(reason, str):
        raise ValueError("the reason of an ejection must be a string")
    return int(_checked_number(left)), int(_checked_number(ejections, 1)), reason
