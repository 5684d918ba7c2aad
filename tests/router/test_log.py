"""The log's limit on lines."""

from __future__ import annotations

import logging

from saltport.router.log import MAX_LINES_PER_S, _RateLimitFilter


def record(level: int) -> logging.LogRecord:
    return logging.LogRecord("saltport", level, __file__, 1, "line", None, None)


def test_information_does_not_take_the_place_of_warnings() -> None:
    """Guards against a warning that is lost because a process has just told of its start."""
    limit = _RateLimitFilter()
    information = [limit.filter(record(logging.INFO)) for _ in range(10 * MAX_LINES_PER_S)]
    assert not all(information)
    assert all(limit.filter(record(logging.WARNING)) for _ in range(MAX_LINES_PER_S))
