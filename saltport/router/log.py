"""A rate-limited log on standard error: a repeated fault must not use up the CPU by logging."""

from __future__ import annotations

import logging
import time

MAX_LINES_PER_S = 5  # of the log; further lines are dropped and counted


class _RateLimitFilter(logging.Filter):
    """Passes up to `MAX_LINES_PER_S` log records in each second, and counts the others."""

    def __init__(self) -> None:
        super().__init__()
        self._second, self._lines, self._dropped = 0, 0, 0

    def filter(self, record: logging.LogRecord) -> bool:
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
