"""The kinds of final answers and the reasons why client connections close, as the access log records them."""

from __future__ import annotations

from enum import Enum


class FinalAnswer(Enum):
    """The kind of a request's final answer."""

    SERVED = "served"
    REFUSED = "refused"
    FAILED = "failed"
    REJECTED = "rejected"


class CloseReason(Enum):
    """The reason why a client connection closed, which also says who closed it."""

    CLIENT_ENDED = "the client ended it"
    CLIENT_RESET = "the client reset it"
    ALL_ANSWERED = "the router, nothing was owed"
    STALLED = "the router, the client took nothing of its answer"
    VALUE_CUT = "the router, a value that had begun can't be finished"
    FAULT = "the router, a fault in reading a command"
    EVICTED = "the router, to make room for another"
    SHUTDOWN = "the router, the process ends"
    MOVED = "the router, another process goes on with it"

    @property
    def by_router(self) -> bool:
        """Whether the router closed the connection and did not hand it over to another process."""
        return self not in (CloseReason.CLIENT_ENDED, CloseReason.CLIENT_RESET, CloseReason.MOVED)
