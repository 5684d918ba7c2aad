"""A rate-limited log on standard error: a repeated fault must not use up the CPU by logging."""

from __future__ import annotations

import logging
import time

MAX_LINES_PER_S = 5  # of warnings, and of information; further lines are dropped and counted


class _RateLimitFilter(logging.Filter):
    """Passes up to `MAX_LINES_PER_S` warnings in each second, as much information, and counts the others."""

    def __init__(self) -> None:
        super().__init__()
        self._warnings, self._information = _RateLimit(), _RateLimit()

    def filter(self, record: logging.LogRecord) -> bool:
        # Danger: information must not take the place of a warning.
        limit = self._warnings if record.levelno >= logging.WARNING else self._information
        return limit.passes(record)


class _RateLimit:
    """The lines of one kind in the present second."""

    def __init__(self) -> None:
        self._second, self._lines, self._dropped = 0, 0, 0

    def passes(self, record: logging.LogRecord) -> bool:
        """Whether the line is within the limit; the first one of a second tells how many were dropped."""
        second = int(time.monotonic())
        if second != self._second:
            if self._dropped:
                record.msg = f"({self._dropped} lines suppressed) {record.msg}"
            self._second, self._lines, self._dropped = second, 0, 0
        self._lines += 1
        is_within_limit = self._lines <= MAX_LINES_PER_S
        self._dropped += not is_within_limit
        return is_within_limit


def configure_logger(name: str) -> logging.Logger:
    """Set up and return the logger "saltport", which writes rate-limited lines that include `name`."""
    handler = logging.StreamHandler()
    handler.setFormatter(logging.Formatter(f"%(asctime)s {name} %(levelname)s %(message)s"))
    handler.addFilter(_RateLimitFilter())
    logger = logging.getLogger("saltport")
    logger.addHandler(handler)
    logger.setLevel(logging.INFO)
    logger.propagate = False
    return logger
