"""A log of few lines on standard error: a fault that repeats must not cost the CPU that it lacks."""

from __future__ import annotations

import logging
import time

LINES_A_SECOND = 5


class _Limit(logging.Filter):
    """Lets a few lines through each second and counts the rest."""

    def __init__(self) -> None:
        super().__init__()
        self._second, self._lines, self._dropped = 0, 0, 0

    def filter(self, record: logging.LogRecord) -> bool:
        second = int(time.monotonic())
        if second != self._second:
            if self._dropped:
                record.msg = f"({self._dropped} lines left out) {record.msg}"
            self._second, self._lines, self._dropped = second, 0, 0
        self._lines += 1
        kept = self._lines <= LINES_A_SECOND
        self._dropped += not kept
        return kept


def make_logger(name: str) -> logging.Logger:
    """The router's logger."""
    handler = logging.StreamHandler()
    handler.setFormatter(logging.Formatter(f"%(asctime)s {name} %(levelname)s %(message)s"))
    handler.addFilter(_Limit())
    logger = logging.getLogger("saltport")
    logger.addHandler(handler)
    logger.setLevel(logging.INFO)
    logger.propagate = False
    return logger
