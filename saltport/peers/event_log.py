"""Changes among peers as few log lines: what comes together is told together. No I/O."""

from __future__ import annotations

from collections.abc import Iterator

from saltport.peers.agent import MembershipEvent

_AT_ONCE = ("paused", "displaced", "quorum")
_MOST_NAMES = 5


class EventLog:
    """Holds what happened until the view that it makes."""

    def __init__(self) -> None:
        self._held: dict[str, list[str]] = {}

    def take(self, event: MembershipEvent) -> Iterator[tuple[bool, str]]:
        """Take a change; yields lines, and whether each is a warning."""
        if event.what in _AT_ONCE:
            yield True, f"{event.what}: {event.detail}"
        elif event.what == "view":
            yield False, "; ".join([f"view {event.detail}", *map(self._words, self._held)])
            self._held.clear()
        else:
            self._held.setdefault(event.what, []).append(event.name)

    def _words(self, what: str) -> str:
        names = self._held[what]
        more = f" and {len(names) - _MOST_NAMES} more" if len(names) > _MOST_NAMES else ""
        return f"{what} {', '.join(names[:_MOST_NAMES])}{more}"
