"""When a router that receives no newer push polls others for one. No I/O.

Without polling, a router that loses several pushes in a row would notice its gap only at the next push.
"""

from __future__ import annotations

from saltport.dissemination.messages import Level
from saltport.dissemination.settings import DisseminationSettings

BACKOFF_FACTOR = 1.5  # factor by which the time between polls grows
SITE_ONLY_TRIES = 4
"""Number of polls that all go to the site; later, each second one goes to the region or the voters."""


class SilenceDetector:
    """Tracks the latest push, and when to poll for a newer one."""

    def __init__(self, settings: DisseminationSettings, now: int) -> None:
        self._settings = settings
        self.latest = (0, 0)
        """Epoch and send time of the latest push."""
        self.due = now
        self._tries = 0

    def on_push(self, epoch: int, sent_ms: int, now: int) -> bool:
        """Record a push by its epoch and send time; return whether it is newer than all earlier ones."""
        if (epoch, sent_ms) <= self.latest:
            return False
        self.latest = (epoch, sent_ms)
        self.due = now + self._settings.silence_timeout
        self._tries = 0
        return True

    def next_poll(self, now: int) -> Level:
        """Return the level to poll now, and schedule the next poll."""
        settings = self._settings
        wait = settings.poll_retry * BACKOFF_FACTOR ** min(self._tries, 16)
        self.due = now + min(int(wait), settings.max_poll_retry)
        self._tries += 1
        if self._tries <= SITE_ONLY_TRIES or self._tries % 2:
            return Level.SITE
        return Level.VOTERS if not self._tries % 4 else Level.REGION
