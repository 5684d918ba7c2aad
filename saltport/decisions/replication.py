"""Hot-key replication: the interface through which reads of hot keys get further nodes.

replication_factory.py makes the form that the settings ask for. No decisions are made here.
"""

from __future__ import annotations

from typing import TYPE_CHECKING, Any

from saltport.decisions import interface as api
from saltport.decisions.health import Node
from saltport.decisions.request import Request

if TYPE_CHECKING:
    from saltport.decisions.topology import Evidence


class Replication:
    """Which nodes a key's reads may go to, and what its writes have to reach. Defaults replicate nothing."""

    def arrived(self, request: Request, tenant: str, now: int) -> None:
        """Count a request that was admitted."""

    def candidates(self, request: Request, now: int) -> list[Node]:
        """The nodes that a read may go to, the best first."""
        raise NotImplementedError

    def sent(self, request: Request, node: Node) -> None:
        """A read goes to a cache node."""

    def missed(self, request: Request, node: Node, now: int) -> bool:
        """A node lacks the key; whether another one is to be asked before the origin."""
        return False

    def fetches_itself(self, request: Request) -> bool:
        """Whether a read is to ask the origin though another one asks for its key already."""
        return False

    def turns_away(self, request: Request, now: int) -> api.Reason | None:
        """Why a read that found no node is not worth a fetch; None: it is."""
        return None

    def origins(self, ranked: list[Node], request: Request) -> list[Node]:
        """The origins in the order in which this request may go to them."""
        return ranked

    def ended(self, request: Request, node: Node, event: api.AttemptEnded, fetched: bool, now: int) -> None:
        """An attempt has ended."""

    def done(self, request: Request, stored: bool, now: int) -> None:
        """A request is over."""

    def holds(self, request: Request) -> bool:
        """Whether a write's answer has to wait until its copies are invalidated."""
        return False

    def on_event(self, event: api.CopyEnded | api.InvalidationEnded | api.ZonePlan, now: int) -> None:
        """A copy or an invalidation has ended, or a plan of zones is to be followed."""

    def on_timer(self, token: str, now: int) -> None:
        """A timer that this set is due."""

    def take_actions(self) -> list[api.Action]:
        """What there is to do since last asked."""
        return []

    def follow_settings(self, settings: api.Settings) -> None:
        """Take new settings; what was counted stays."""

    def take_evidence(self) -> Evidence | None:
        """What attempts showed of the zones since the last call; None: zones are not distinguished."""
        return None

    def view(self, now: int) -> dict[str, Any]:
        """Its state, for people."""
        return {"on": False}
