"""What client connections ask of the router core that handles their requests."""

from __future__ import annotations

from typing import Any, Protocol

from saltport.deadline import Received
from saltport.decisions.ordering import KeyOrder
from saltport.downstream.outcomes import CloseReason
from saltport.downstream.replies import Reply, StreamedValue
from saltport.handover.record import PartialValue
from saltport.messages import Request


class Host(Protocol):
    """The router core that handles the requests of all client connections."""

    ready: bool

    def begin_loop_iteration(self) -> None:
        """Record that the event loop handles data or an event of a client connection, for the lag meter."""

    def unread_since(self, now_ns: int) -> int:
        """Return the earliest time at which data read at `now_ns` can have arrived in the kernel."""

    def request_arrived(
        self,
        request: Request,
        reply: Reply,
        order: KeyOrder[Any],
        received: Received,
        began_ns: int | None,
    ) -> None:
        """Handle a complete request; `order` serializes commands on the same key of its connection.

        `began_ns`: a time before which its first byte did not arrive; None: it arrived with the last one.
        """

    def request_refused(self, request: Request) -> None:
        """Record that a request is refused because there are too many clients."""

    def client_gone(self, reply: Reply) -> None:
        """Handle that the client waiting for this reply has disconnected."""

    def closed_unanswered(self, reason: CloseReason, requests: int) -> None:
        """Record that the router closed a connection on which so many requests had no whole answer."""

    def resume_value(self, value: PartialValue, descriptor: int, reply: Reply) -> StreamedValue:
        """Continue a value that another process began to stream for this reply.

        The host takes ownership of `descriptor`, the server connection on which the value arrives.
        """
