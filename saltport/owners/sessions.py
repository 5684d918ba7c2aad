"""The sessions known to the leading voter, indexed by router to find the latest one quickly. No I/O."""

from __future__ import annotations

from collections.abc import Iterator

from saltport.owners.assignments import Session


class Sessions:
    """The time of each session's latest renewal (nanoseconds on the voter's clock)."""

    def __init__(self) -> None:
        self._renewed_at: dict[Session, int] = {}
        self._by_router: dict[str, dict[Session, None]] = {}
        """Sessions by router: usually one, for a while also those of its earlier processes."""

    def __contains__(self, session: Session) -> bool:
        return session in self._renewed_at

    def __iter__(self) -> Iterator[Session]:
        return iter(self._renewed_at)

    def items(self) -> Iterator[tuple[Session, int]]:
        """Iterate over pairs of a session and the time of its latest renewal, by order of first renewal."""
        return iter(self._renewed_at.items())

    def renewed_at(self, session: Session, default: int) -> int:
        """Return the time of a session's latest renewal, or `default` if it is unknown."""
        return self._renewed_at.get(session, default)

    def latest(self, name: str) -> Session | None:
        """Return the newest session of a router, with or without a valid lease; None if there is none."""
        return max(self._by_router.get(name, ()), default=None)

    def renew(self, session: Session, at: int) -> None:
        """Set the time of a session's latest renewal."""
        self._renewed_at[session] = at
        self._by_router.setdefault(session.name, {})[session] = None

    def forget(self, session: Session) -> None:
        """Remove a session."""
        del self._renewed_at[session]
        same_name = self._by_router[session.name]
        del same_name[session]
        if not same_name:
            del self._by_router[session.name]
