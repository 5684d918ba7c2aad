"""Trials of ejected servers as owners of them see it: when they are due, held back, or begun at once.

The detector goes on deciding: a trial is one request of this router, and its outcome is judged as ever.
"""

from __future__ import annotations

from saltport.decisions.outliers import OutlierDetector


def due(detector: OutlierDetector) -> dict[str, int]:
    """The ejected servers, and from when on a request may try each."""
    return {server: detector.records[server].ejected_until for server in detector.ejected}


def hold(detector: OutlierDetector, server: str, until: int) -> None:
    """Try an ejected server here no sooner than this; a trial under way goes on."""
    if server in detector.ejected:
        record = detector.records[server]
        record.ejected_until = max(record.ejected_until, until)


def begin(detector: OutlierDetector, server: str, now: int) -> None:
    """Let the next request try an ejected server."""
    if server in detector.ejected:
        record = detector.records[server]
        record.ejected_until = min(record.ejected_until, now)
