"""The times of trials of ejected servers, for a caller that coordinates them between routers.

A trial is one request of this router; the outlier detector decides by its outcome as usual.
"""

from __future__ import annotations

from saltport.decisions.outliers import OutlierDetector


def due(detector: OutlierDetector) -> dict[str, int]:
    """Return the ejected servers, each with the time from which a trial is permitted."""
    return {server: detector.records[server].ejected_until for server in detector.ejected}


def postpone(detector: OutlierDetector, server: str, until: int) -> None:
    """Postpone the next trial of an ejected server to `until` at the earliest; a running trial continues."""
    if server in detector.ejected:
        record = detector.records[server]
        record.ejected_until = max(record.ejected_until, until)


def allow(detector: OutlierDetector, server: str, now: int) -> None:
    """Permit a trial of an ejected server from now on."""
    if server in detector.ejected:
        record = detector.records[server]
        record.ejected_until = min(record.ejected_until, now)
