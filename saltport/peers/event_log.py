"""Membership events as log lines; events before the same view share a line. No I/O."""

from __future__ import annotations

from collections.abc import Iterator

from saltport.peers.agent import MembershipEvent

_IMMEDIATE = ("paused", "displaced", "quorum")  # kinds of events that are logged at once, as warnings
_MAX_NAMES = 5  # limit of the router names in a line for each kind of event


class EventLog:
    """Collects membership events until the view that results from them."""

    def __init__(self) -> None:
        self._pending: dict[str, list[str]] = {}

    def add(self, event: MembershipEvent) -> Iterator[tuple[bool, str]]:
        """Add an event; yields pairs of whether the line is a warning, and the line."""
        if event.kind in _IMMEDIATE:
            yield True, f"{event.kind}: {event.detail}"
        elif event.kind == "view":
            yield False, "; ".join([f"view {event.detail}", *map(self._summary, self._pending)])
            self._pending.clear()
        else:
            self._pending.setdefault(event.kind, []).append(event.name)

    def _summary(self, kind: str) -> str:
        """Return the pending events of one kind as text, with a limited number of names."""
        names = self._pending[kind]
        more = f" and {len(names) - _MAX_NAMES} more" if len(names) > _MAX_NAMES else ""
        return f"{kind} {', '.join(names[:_MAX_NAMES])}{more}"
