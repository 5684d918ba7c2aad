"""`saltport owners` in lines for people; from what a router answers, without its code."""

from __future__ import annotations

from collections.abc import Iterator
from typing import Any

_MOST = 60


def lines(told: dict[str, Any]) -> Iterator[str]:
    """The report of one router."""
    if "session" not in told:
        yield f"owners: {told['state']}"
        return
    name, start, lapse = told["session"]
    yield (
        f"{name} (start {start}, {lapse} lapses): {told['state']}; lease {told['lease_left_ms']} ms, "
        f"{len(told['holds'])} pieces, {told['refused_by_fence']} refused by fence"
    )
    if told["trouble"]:
        yield f"TROUBLE: {told['trouble']}"
    voter = told.get("voter")
    if voter is None:
        for piece, epoch in list(told["holds"].items())[:_MOST]:
            yield f"  {piece}: held here, epoch {epoch}"
        return
    yield (
        f"voter: {voter['role']} in term {voter['term']}, leader {voter['leader'] or 'none'}, "
        f"committed {voter['commit']} of {voter['last']}, lead certain for {voter['lease_left_ms']} ms; "
        f"voters {', '.join(voter['voters'])}"
    )
    for piece, held in list(told["pieces"].items())[:_MOST]:
        why = f", given as {held['given']}" if held["given"] else ""
        yield f"  {piece}: {held['owner']}, epoch {held['epoch']}{why}"
    if len(told["pieces"]) > _MOST:
        yield f"  and {len(told['pieces']) - _MOST} more; --json shows all"
