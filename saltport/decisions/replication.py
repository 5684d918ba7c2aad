"""The interface of replication, which sends the reads of hot keys or slots to more than one node.

replication_factory.py creates the implementation that the settings select.
"""

from __future__ import annotations

from typing import TYPE_CHECKING, Any

from saltport.decisions import interface as api
from saltport.decisions.health import Node
from saltport.decisions.request import Request

if TYPE_CHECKING:
    from saltport.decisions.topology import Evidence


class Replication:
    """The nodes that serve a key's reads and that its writes invalidate; the defaults replicate nothing."""

    def arrived(self, request: Request, tenant: str, now: int) -> None:
        """Record an admitted request."""

    def candidates(self, request: Request, now: int) -> list[Node]:
        """Return the nodes that may serve a request, best first."""
        raise NotImplementedError

    def sent(self, request: Request, node: Node) -> None:
        """Record that an attempt was sent to a cache node."""

    def missed(self, request: Request, node: Node, now: int) -> bool:
        """Record that a node lacks the key; return whether to try another node before the origin."""
        return False

    def bypasses_coalescing(self, request: Request) -> bool:
        """Whether a read fetches from the origin even while another fetch of its key is in flight."""
        return False

    def refusal_reason(self, request: Request, now: int) -> api.Reason | None:
        """Return why a read without a usable node may not be fetched from the origin; None: it may."""
        return None

    def origins(self, ranked: list[Node], request: Request) -> list[Node]:
        """Return the origins in the order in which this request tries them."""
        return ranked

    def ended(self, request: Request, node: Node, event: api.AttemptEnded, fetched: bool, now: int) -> None:
        """Record the end of an attempt; `fetched` says whether it went to the origin."""

    def done(self, request: Request, stored: bool, now: int) -> None:
        """Record the final answer of a request; `stored` says whether its fetch has filled the cache."""

    def defers_answer(self, request: Request) -> bool:
        """Whether a write's answer is withheld until the copies of its key are invalidated."""
        return False

    def on_event(self, event: api.CopyEnded | api.InvalidationEnded | api.ZonePlan, now: int) -> None:
        """Process the end of a copy or an invalidation, or a new zone plan."""

    def on_timer(self, token: str, now: int) -> None:
        """Process the expiry of a timer; tokens of other owners are ignored."""

    def take_actions(self) -> list[api.Action]:
        """Return the actions that have accumulated since the last call."""
        return []

    def apply_settings(self, settings: api.Settings) -> None:
        """Apply new settings; counts are preserved."""

    def take_evidence(self) -> Evidence | None:
        """Return the evidence on zones since the last call; None where zones are not distinguished."""
        return None

    def view(self, now: int) -> dict[str, Any]:
        """Return the state as shown to operators."""
        return {"on": False}
