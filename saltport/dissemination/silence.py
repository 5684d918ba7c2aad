"""When a router that hears no new push polls others for one. No I/O.

Without it, a router that loses several pushes in a row would see its gap only with the next one that arrives.
"""

from __future__ import annotations

from saltport.dissemination.messages import Level
from saltport.dissemination.settings import DisseminationSettings

BACKOFF_FACTOR = 1.5
SITE_ONLY_TRIES = 4
"""Polls before each second one goes to the region, and each fourth one to the voters."""


class SilenceDetector:
    """The latest push, and when to ask for a later one."""

    def __init__(self, settings: DisseminationSettings, now: int) -> None:
        self._settings = settings
        self.latest = (0, 0)
        """Epoch, and when it was sent."""
        self.due = now
        self._tries = 0

    def on_push(self, epoch: int, sent_ms: int, now: int) -> bool:
        """A push came; returns whether it is later than all before."""
        if (epoch, sent_ms) <= self.latest:
            return False
        self.latest = (epoch, sent_ms)
        self.due = now + self._settings.silence_timeout
        self._tries = 0
        return True

    def next_poll(self, now: int) -> Level:
        """Whom to poll now; the next poll is put off."""
        settings = self._settings
        wait = settings.poll_retry * BACKOFF_FACTOR ** min(self._tries, 16)
        self.due = now + min(int(wait), settings.max_poll_retry)
        self._tries += 1
        if self._tries <= SITE_ONLY_TRIES or self._tries % 2:
            return Level.SITE
        return Level.VOTERS if not self._tries % 4 else Level.REGION
