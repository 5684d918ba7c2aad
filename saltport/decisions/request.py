"""An open request: what is known of it and of its attempts. No decisions are made here."""

from __future__ import annotations

from collections.abc import Sequence
from typing import TYPE_CHECKING, Any

from saltport.decisions import interface as api
from saltport.decisions.health import Node

if TYPE_CHECKING:
    from saltport.decisions.suppression import Suppressor


class Request:
    """An open request; it lives on after its final answer until its attempt has ended."""

    # What most requests never change costs nothing here.
    slot = sends = sent_at = 0
    lost_after = 0
    """The time after which the answer under way counts as lost."""
    share = 0.0
    replication: Any = None
    """What hot-key replication keeps of it."""
    failed: Sequence[Node] = ()
    node: Node | None = None
    ran: Node | None = None
    """Where the first attempt was sent that may have run."""
    holds = False
    """Whether its attempt counts as out at its server."""
    # `leader`: of a coalesced fetch.
    fetching = refetching = out = leader = waiting = done = False

    def __init__(
        self, event: api.RequestArrived, cls: api.RequestClass, rate_limiter: Suppressor, attempts: int
    ) -> None:
        """`attempts`: as many as it may have at the most."""
        self.id, self.key, self.deadline, self.write = event.request, event.key, event.deadline, event.write
        self.not_after = event.deadline  # no attempt leaves from then on
        self.cls, self.rate_limiter, self.retry, self.attempts = cls, rate_limiter, event.retry, attempts
