"""Smoothed mean and deviation of response times: Jacobson, "Congestion Avoidance and Control" (1988)."""

from __future__ import annotations

SAMPLES = 16  # over which both are smoothed


class ResponseTimeEstimate:
    """How long answers take, nanoseconds."""

    def __init__(self, initial: float = 0.0) -> None:
        """`initial`: mean and deviation before the first answer."""
        self.mean = self.deviation = initial

    def learn(self, latency: int) -> None:
        """Take one answer's time."""
        error = latency - self.mean
        self.mean += error / SAMPLES
        self.deviation += (abs(error) - self.deviation) / SAMPLES
