"""The state of an open request and its attempts."""

from __future__ import annotations

from collections.abc import Sequence
from typing import TYPE_CHECKING, Any

from saltport.decisions import interface as api
from saltport.decisions.health import Node

if TYPE_CHECKING:
    from saltport.decisions.suppression import Suppressor


class Request:
    """An open request; it exists until it has its final answer and its last attempt has ended."""

    # Class attributes serve as defaults, so that values that most requests never change take no memory.
    slot = sends = sent_at = 0
    """The key's slot, the number of attempts sent so far, and when the latest was sent."""
    lost_after = 0
    """The time after which the answer of the current attempt counts as lost."""
    slot_share = 0.0
    """The slot's share of the recent requests."""
    replication_state: Any = None
    """The replication's own state for this request."""
    failed: Sequence[Node] = ()
    """Servers that are not tried again for this request."""
    node: Node | None = None
    """The server of the current or latest attempt."""
    possible_effect_node: Node | None = None
    """The server of the first attempt that may have had an effect."""
    counts_as_load = False
    """Whether the current attempt is counted in its server's load."""
    fetching = refetching = in_flight = leader = waiting = done = False
    """In this order, whether: the current attempt goes to the origin; a lost fetch was repeated already; an
    attempt is in flight; reads of the same key may wait for this one's fetch; the request waits (for such a
    fetch, or for the origin); it has its final answer."""

    def __init__(
        self, event: api.RequestArrived, cls: api.RequestClass, rate_limiter: Suppressor, attempts: int
    ) -> None:
        """Create a request that may have at most `attempts` attempts."""
        self.id, self.key, self.deadline, self.write = event.request, event.key, event.deadline, event.write
        self.not_after = event.deadline  # no attempt may be sent from then on
        self.cls, self.rate_limiter, self.retry, self.attempts = cls, rate_limiter, event.retry, attempts
