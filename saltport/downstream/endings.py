"""How requests and clients' connections end, in the terms of the access log."""

from __future__ import annotations

from enum import Enum


class FinalAnswer(Enum):
    """How a request was answered."""

    SERVED = "served"
    REFUSED = "refused"
    FAILED = "failed"
    REJECTED = "rejected"


class CloseReason(Enum):
    """Why a client's connection ended, and so by whom it was ended."""

    CLIENT_ENDED = "the client ended it"
    CLIENT_RESET = "the client reset it"
    NOTHING_OWED = "the router, nothing was owed"
    STALLED = "the router, the client took nothing of its answer"
    VALUE_CUT = "the router, a value that had begun can't be finished"
    FAULT = "the router, a fault in reading a command"
    EVICTED = "the router, to make room for another"
    SHUTDOWN = "the router, the process ends"
    MOVED = "the router, another process goes on with it"

    @property
    def by_router(self) -> bool:
        """Whether the router ended the connection, and no other process goes on with it."""
        return self not in (CloseReason.CLIENT_ENDED, CloseReason.CLIENT_RESET, CloseReason.MOVED)
