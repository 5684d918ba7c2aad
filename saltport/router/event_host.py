"""The interface of the host that runs requests: settings, timers and the delivery of events."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from typing import Protocol

from saltport.decisions import Event, Settings


class EventHost(Protocol):
    """Delivers events to the decision module and provides timers and settings."""

    settings: Settings

    def call_at(self, due: int, callback: Callable[[], None]) -> asyncio.TimerHandle:
        """Call `callback` when the monotonic clock reaches `due` nanoseconds, never earlier."""

    def dispatch(self, event: Event, value: bytes | None = None) -> None:
        """Pass an event to the decision module.

        `value`: the value that arrived with the event, which can be copied only while the event is handled.
        """
