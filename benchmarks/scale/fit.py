"""Helpers of the scale measurements: line fits, bytes on the wire, fresh processes and tables."""

from __future__ import annotations

import math
import multiprocessing
import os
from collections.abc import Callable, Sequence
from concurrent.futures import ProcessPoolExecutor
from dataclasses import dataclass, fields
from pathlib import Path
from typing import Any, TypeVar

FLEET_ROUTERS = 1_600
"""Routers of the largest fleet that the design must support."""
FLEET_SIZES = (25, 100, 400, FLEET_ROUTERS)
IP_UDP_HEADER_BYTES = 28  # bytes: 20 of IPv4 without options, 8 of UDP
IP_TCP_HEADER_BYTES = 40  # 20 of IPv4, 20 of TCP without options
TCP_SEGMENT_BYTES = 1_460  # bytes of payload, by Ethernet's 1,500
MIB = 1 << 20

T = TypeVar("T")


@dataclass(frozen=True, slots=True)
class Fit:
    """A least-squares line over sizes."""

    slope: float
    """Growth of the figure per unit of size."""
    baseline: float
    """Value at size 0."""
    residual: float
    """Root mean square of the distances from the line, in the figure's unit."""

    def value_at(self, size: float) -> float:
        """Return the value of the line at this size."""
        return self.baseline + self.slope * size

    def largest_distance(self, points: Sequence[tuple[float, float]]) -> float:
        """Return the largest vertical distance of a point from the line."""
        return max(abs(self.value_at(size) - value) for size, value in points)

    def __str__(self) -> str:
        return f"{self.baseline:.4g} + {self.slope:.4g} N, residual {self.residual:.2g}"


def fit_line(points: Sequence[tuple[float, float]]) -> Fit:
    """Return the least-squares line through (size, figure) pairs; raise ValueError for under two sizes."""
    sizes = [size for size, _ in points]
    if len(set(sizes)) < 2:
        raise ValueError("a line needs two sizes")
    mean_size = sum(sizes) / len(points)
    mean = sum(value for _, value in points) / len(points)
    spread = sum((size - mean_size) ** 2 for size in sizes)
    slope = sum((size - mean_size) * (value - mean) for size, value in points) / spread
    baseline = mean - slope * mean_size
    squares = sum((value - baseline - slope * size) ** 2 for size, value in points)
    return Fit(slope, baseline, math.sqrt(squares / len(points)))


def fit_power(points: Sequence[tuple[float, float]]) -> Fit:
    """Return the fit of the logarithms: `slope` is the exponent (0 flat, 1 linear, 2 quadratic)."""
    return fit_line([(math.log(size), math.log(value)) for size, value in points])


def udp_bytes(payload_bytes: int, datagrams: int) -> int:
    """Return the bytes on the wire of UDP payloads, with IP and UDP headers."""
    return payload_bytes + IP_UDP_HEADER_BYTES * datagrams


def tcp_segments(payload_bytes: int) -> int:
    """Return the number of TCP segments of a payload that is written at once, without acknowledgements."""
    return max(-(-payload_bytes // TCP_SEGMENT_BYTES), 1)


def tcp_bytes(payload_bytes: int, acknowledged: bool = True) -> int:
    """Return the bytes on the wire of a payload that is written at once, with IP and TCP headers.

    `acknowledged` adds one pure ACK for every two segments.
    """
    segments = tcp_segments(payload_bytes)
    acks = -(-segments // 2) if acknowledged else 0
    return payload_bytes + IP_TCP_HEADER_BYTES * (segments + acks)


def quantile(values: Sequence[float], share: float) -> float:
    """Return the smallest value that at least this share of the values does not exceed.

    Without values it is infinite. Missing observations are passed as infinite values.
    """
    ordered = sorted(values)
    return ordered[max(math.ceil(share * len(ordered)), 1) - 1] if ordered else math.inf


def resident_bytes() -> int:
    """Return the resident memory of this process."""
    pages = int(Path("/proc/self/statm").read_text().split()[1])
    return pages * os.sysconf("SC_PAGE_SIZE")


def run_isolated(function: Callable[..., T], *arguments: Any) -> T:
    """Call a function in a fresh process, so that no measurement inherits another's memory."""
    with ProcessPoolExecutor(1, multiprocessing.get_context("spawn")) as pool:
        return pool.submit(function, *arguments).result()


def format_table(rows: Sequence[Any]) -> str:
    """Return a text table of instances of one dataclass, with a column for each field."""
    names = [field.name for field in fields(rows[0])]
    cells = [[name.replace("_", " ") for name in names]]
    cells += [[_format_cell(getattr(row, name)) for name in names] for row in rows]
    widths = [max(map(len, column)) for column in zip(*cells, strict=True)]
    return "\n".join(
        "  ".join(cell.rjust(width) for cell, width in zip(row, widths, strict=True)) for row in cells
    )


def _format_cell(value: Any) -> str:
    return f"{value:.4g}" if isinstance(value, float) else str(value)


def format_fits(rows: Sequence[Any], size: str, names: Sequence[str], fleet_size: int = FLEET_ROUTERS) -> str:
    """Return a line of text for each named figure: its fit, its exponent and its value at fleet size."""
    if len({getattr(row, size) for row in rows}) < 2:
        return "one size gives no slope"
    lines = []
    for name in names:
        points = [(float(getattr(row, size)), float(getattr(row, name))) for row in rows]
        line = fit_line(points)
        exponent = f", exponent {fit_power(points).slope:.2f}" if all(y > 0 for _, y in points) else ""
        lines.append(
            f"{name.replace('_', ' ')}: {line}{exponent}; at {fleet_size}: {line.value_at(fleet_size):.4g}"
        )
    return "\n".join(lines)
