"""The sessions that a leading voter knows, by owner's name as well: no renewal looks through all. No I/O."""

from __future__ import annotations

from collections.abc import Iterator

from saltport.owners.record import Session


class Sessions:
    """When each session last asked for its lease (nanoseconds on the voter's clock)."""

    def __init__(self) -> None:
        self._renewed_at: dict[Session, int] = {}
        self._of_name: dict[str, dict[Session, None]] = {}
        """The sessions of each router: one, and for a while those of its processes before."""

    def __contains__(self, session: Session) -> bool:
        return session in self._renewed_at

    def __iter__(self) -> Iterator[Session]:
        return iter(self._renewed_at)

    def items(self) -> Iterator[tuple[Session, int]]:
        """Each session and when it last asked, in the order in which they first did."""
        return iter(self._renewed_at.items())

    def renewed_at(self, session: Session, default: int) -> int:
        """When a session last asked; `default`: it is unknown."""
        return self._renewed_at.get(session, default)

    def latest(self, name: str) -> Session | None:
        """The newest session of a router, whether its lease goes on or not."""
        return max(self._of_name.get(name, ()), default=None)

    def renew(self, session: Session, at: int) -> None:
        """A session asked for its lease at this time, or ended then by itself."""
        self._renewed_at[session] = at
        self._of_name.setdefault(session.name, {})[session] = None

    def forget(self, session: Session) -> None:
        """A session is over and holds nothing."""
        del self._renewed_at[session]
        same_name = self._of_name[session.name]
        del same_name[session]
        if not same_name:
            del self._of_name[session.name]
