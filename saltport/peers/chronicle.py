"""Changes among peers as few log lines: what comes together is told together. No I/O."""

from __future__ import annotations

from collections.abc import Iterator

from saltport.peers.agent import Told

_AT_ONCE = ("paused", "displaced", "standing")
_MOST_NAMES = 5


class Chronicle:
    """Holds what happened until the view that it makes."""

    def __init__(self) -> None:
        self._held: dict[str, list[str]] = {}

    def take(self, told: Told) -> Iterator[tuple[bool, str]]:
        """Take a change; yields lines, and whether each is a warning."""
        if told.what in _AT_ONCE:
            yield True, f"{told.what}: {told.detail}"
        elif told.what == "view":
            yield False, "; ".join([f"view {told.detail}", *map(self._words, self._held)])
            self._held.clear()
        else:
            self._held.setdefault(told.what, []).append(told.name)

    def _words(self, what: str) -> str:
        names = self._held[what]
        more = f" and {len(names) - _MOST_NAMES} more" if len(names) > _MOST_NAMES else ""
        return f"{what} {', '.join(names[:_MOST_NAMES])}{more}"
