"""What requests need of the host that runs them: settings, a timer, and where to tell their end."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from typing import Protocol

from saltport.decisions import Event, Settings


class EventHost(Protocol):
    """Feeds the decisions with events."""

    settings: Settings

    def call_at(self, due: int, callback: Callable[[], None]) -> asyncio.TimerHandle:
        """Call back once the monotonic clock shows `due` nanoseconds, and never before."""

    def tell(self, event: Event, value: bytes | None = None) -> None:
        """Give the decisions an event; the value that came with it can be copied while it is handled."""
