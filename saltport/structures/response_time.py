"""Smoothed mean and deviation of response times: Jacobson, "Congestion Avoidance and Control" (1988)."""

from __future__ import annotations

SMOOTHING_SAMPLES = 16  # each new sample has a weight of 1 / this


class ResponseTimeEstimate:
    """Exponentially weighted mean and mean deviation of response times, nanoseconds."""

    def __init__(self, initial: float = 0.0) -> None:
        """`initial`: mean and deviation before the first sample."""
        self.mean = self.deviation = initial

    def add_sample(self, latency: int) -> None:
        """Update mean and deviation with the time of one response."""
        error = latency - self.mean
        self.mean += error / SMOOTHING_SAMPLES
        self.deviation += (abs(error) - self.deviation) / SMOOTHING_SAMPLES
