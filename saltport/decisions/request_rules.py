"""The settings that were in force when a request arrived, for the rules that it keeps to its end.

A request that has been sent to this router may be read later than it arrived: behind others of its
connection, while memory is short, or by the process that replaces this one. It goes by the settings that were
in force when it arrived. Where its arrival is known only as an interval in which the settings changed, the
stricter rules apply. No I/O; all times are nanoseconds on the monotonic clock.
"""

from __future__ import annotations

from collections import deque
from collections.abc import Iterable
from dataclasses import dataclass

from saltport.decisions.interface import DedupScope, Effect, RequestClass, Settings

MAX_VERSIONS = 16  # of the settings, the current one not among them
_EFFECTS = (Effect.SAFE, Effect.KEYED, Effect.UNSAFE)
_SCOPES = (DedupScope.ALL, DedupScope.ZONE, DedupScope.CELL)


@dataclass(frozen=True, slots=True)
class ClassRules:
    """What the settings say of the requests of one class."""

    request_class: RequestClass
    max_attempts: int


@dataclass(frozen=True, slots=True)
class _Version:
    """The classes of settings that are no longer in force."""

    classes: dict[str, RequestClass]
    max_attempts: int
    ended_at: int


class RulesHistory:
    """The classes of the current settings and of earlier ones."""

    def __init__(self, settings: Settings) -> None:
        self._use(settings)
        self._ended: deque[_Version] = deque(maxlen=MAX_VERSIONS)
        self.changed_at = 0
        """When the current settings came into force; 0 if they have been since the start."""

    def _use(self, settings: Settings) -> None:
        self._classes = {known.name: known for known in settings.classes}
        self._max_attempts = settings.max_attempts

    def replace(self, settings: Settings, now: int) -> None:
        """Put new settings into force."""
        self._ended.append(_Version(self._classes, self._max_attempts, now))
        self.changed_at = now
        self._use(settings)

    def add_predecessor(self, classes: Iterable[RequestClass], max_attempts: int, now: int) -> None:
        """Add the settings of the process that this one replaces, whose requests it may still receive."""
        self._ended.appendleft(_Version({known.name: known for known in classes}, max_attempts, now))
        self.changed_at = max(self.changed_at, now)

    def current(self) -> tuple[tuple[RequestClass, ...], int]:
        """Return the classes and the number of attempts now in force."""
        return tuple(self._classes.values()), self._max_attempts

    def find(self, name: str, earliest: int) -> ClassRules | None:
        """Return the rules of a request of this class that arrived at `earliest` or later; None: no class.

        If several settings have been in force since then, the rules are the strictest of them.
        """
        current = self._classes.get(name)
        found = [] if current is None else [ClassRules(current, self._max_attempts)]
        for version in reversed(self._ended):
            if version.ended_at <= earliest:
                break
            if (earlier := version.classes.get(name)) is not None:
                found.append(ClassRules(earlier, version.max_attempts))
        if len(found) <= 1:
            return found[0] if found else None
        strictest = max(found, key=lambda rules: _strictness(rules.request_class))
        return ClassRules(strictest.request_class, min(rules.max_attempts for rules in found))


def _strictness(request_class: RequestClass) -> tuple[int, int, int]:
    """Return a key by which stricter rules for repeats compare greater."""
    scope = _SCOPES.index(request_class.dedup_scope)
    return _EFFECTS.index(request_class.effect), scope, -request_class.dedup_window
