"""When a router that hears no new push polls others for one. No I/O.

Without it, a router that loses several pushes in a row would see its gap only with the next one that arrives.
"""

from __future__ import annotations

from saltport.dissemination.messages import Level
from saltport.dissemination.settings import DisseminationSettings

BACKOFF = 1.5
TRIES_IN_SITE = 4
"""Polls before each second one goes to the region, and each fourth one to the voters."""


class Silence:
    """The latest push, and when to ask for a later one."""

    def __init__(self, settings: DisseminationSettings, now: int) -> None:
        self._settings = settings
        self.latest = (0, 0)
        """Epoch, and when it was sent."""
        self.due = now
        self._tries = 0

    def heard(self, epoch: int, sent: int, now: int) -> bool:
        """A push came; returns whether it is later than all before."""
        if (epoch, sent) <= self.latest:
            return False
        self.latest = (epoch, sent)
        self.due = now + self._settings.silence
        self._tries = 0
        return True

    def poll(self, now: int) -> Level:
        """Whom to poll now; the next poll is put off."""
        settings = self._settings
        wait = settings.poll_retry * BACKOFF ** min(self._tries, 16)
        self.due = now + min(int(wait), settings.most_poll_retry)
        self._tries += 1
        if self._tries <= TRIES_IN_SITE or self._tries % 2:
            return Level.SITE
        return Level.VOTERS if not self._tries % 4 else Level.REGION
