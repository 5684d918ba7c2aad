"""Formats the output of `saltport owners` from the JSON report of a router."""

from __future__ import annotations

from collections.abc import Iterator
from typing import Any

_MAX_TASK_LINES = 60  # limit of the tasks that are listed


def format_report(report: dict[str, Any]) -> Iterator[str]:
    """Yield the lines of text that show a router's session, tasks and voter state.

    `report` is the JSON object that `OwnersLink.view` returns.
    """
    if "session" not in report:
        yield f"owners: {report['state']}"
        return
    name, start, lapse = report["session"]
    yield (
        f"{name} (start {start}, {lapse} lapses): {report['state']}; lease {report['lease_left_ms']} ms, "
        f"{len(report['holds'])} tasks, {report['refused_by_fence']} refused by fence"
    )
    if report["trouble"]:
        yield f"TROUBLE: {report['trouble']}"
    voter = report.get("voter")
    if voter is None:
        for task, epoch in list(report["holds"].items())[:_MAX_TASK_LINES]:
            yield f"  {task}: owned here, epoch {epoch}"
        return
    yield (
        f"voter: {voter['role']} in term {voter['term']}, leader {voter['leader'] or 'none'}, "
        f"committed {voter['commit']} of {voter['last']}, lead certain for {voter['lease_left_ms']} ms; "
        f"voters {', '.join(voter['voters'])}"
    )
    for task, assignment in list(report["pieces"].items())[:_MAX_TASK_LINES]:
        reason = f", assigned as {assignment['given']}" if assignment["given"] else ""
        yield f"  {task}: {assignment['owner']}, epoch {assignment['epoch']}{reason}"
    if len(report["pieces"]) > _MAX_TASK_LINES:
        yield f"  and {len(report['pieces']) - _MAX_TASK_LINES} more; --json shows all"
