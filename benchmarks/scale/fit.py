"""What the scale measurements share: fits over sizes, bytes as on the wire, fresh processes, tables."""

from __future__ import annotations

import math
import multiprocessing
import os
from collections.abc import Callable, Sequence
from concurrent.futures import ProcessPoolExecutor
from dataclasses import dataclass, fields
from pathlib import Path
from typing import Any, TypeVar

FLEET = 1_600
"""Routers at the size that the design is held to."""
SIZES = (25, 100, 400, FLEET)
IP_UDP_HEAD = 28  # bytes: 20 of IPv4 without options, 8 of UDP
IP_TCP_HEAD = 40  # 20 of IPv4, 20 of TCP without options
TCP_SEGMENT = 1_460  # bytes of payload, by Ethernet's 1,500
MIB = 1 << 20

T = TypeVar("T")


@dataclass(frozen=True, slots=True)
class Fit:
    """A least-squares line over sizes."""

    slope: float
    """By which a figure grows for each unit of size."""
    baseline: float
    """At size 0."""
    residual: float
    """The root mean square of the distances from the line, in the figure's unit."""

    def at(self, size: float) -> float:
        """The line's value."""
        return self.baseline + self.slope * size

    def largest_distance(self, points: Sequence[tuple[float, float]]) -> float:
        """From the line to the figure that lies furthest from it."""
        return max(abs(self.at(size) - value) for size, value in points)

    def __str__(self) -> str:
        return f"{self.baseline:.4g} + {self.slope:.4g} N, residual {self.residual:.2g}"


def fit(points: Sequence[tuple[float, float]]) -> Fit:
    """The line through pairs of size and figure; raises ValueError for fewer than two sizes."""
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
    """The same in logarithms: `slope` is the exponent, 0 flat, 1 linear, 2 quadratic."""
    return fit([(math.log(size), math.log(value)) for size, value in points])


def udp_bytes(payloads: int, datagrams: int) -> int:
    """On the wire, of so many bytes in so many datagrams."""
    return payloads + IP_UDP_HEAD * datagrams


def tcp_segments(payload: int) -> int:
    """That a payload written at once takes, without acknowledgements."""
    return max(-(-payload // TCP_SEGMENT), 1)


def tcp_bytes(payload: int, acknowledged: bool = True) -> int:
    """On the wire, of a payload written at once; `acknowledged`: with one pure ACK for two segments."""
    segments = tcp_segments(payload)
    acks = -(-segments // 2) if acknowledged else 0
    return payload + IP_TCP_HEAD * (segments + acks)


def share_of(values: Sequence[float], share: float) -> float:
    """The time by which this share is done; infinite where too few are."""
    ordered = sorted(values)
    return ordered[max(math.ceil(share * len(ordered)), 1) - 1] if ordered else math.inf


def resident_bytes() -> int:
    """Of this process, now."""
    pages = int(Path("/proc/self/statm").read_text().split()[1])
    return pages * os.sysconf("SC_PAGE_SIZE")


def apart(work: Callable[..., T], *arguments: Any) -> T:
    """Run in a fresh process, so that no size inherits another's memory."""
    with ProcessPoolExecutor(1, multiprocessing.get_context("spawn")) as pool:
        return pool.submit(work, *arguments).result()


def table(rows: Sequence[Any]) -> str:
    """Rows of one dataclass, a column for each field; their names say the units."""
    names = [field.name for field in fields(rows[0])]
    cells = [[name.replace("_", " ") for name in names]]
    cells += [[_cell(getattr(row, name)) for name in names] for row in rows]
    widths = [max(map(len, column)) for column in zip(*cells, strict=True)]
    return "\n".join(
        "  ".join(cell.rjust(width) for cell, width in zip(row, widths, strict=True)) for row in cells
    )


def _cell(value: Any) -> str:
    return f"{value:.4g}" if isinstance(value, float) else str(value)


def fits(rows: Sequence[Any], size: str, names: Sequence[str], at: int = FLEET) -> str:
    """A line for each named figure: its fit, its exponent, and what it says at fleet size."""
    if len({getattr(row, size) for row in rows}) < 2:
        return "one size gives no slope"
    told = []
    for name in names:
        points = [(float(getattr(row, size)), float(getattr(row, name))) for row in rows]
        line = fit(points)
        exponent = f", exponent {fit_power(points).slope:.2f}" if all(y > 0 for _, y in points) else ""
        told.append(f"{name.replace('_', ' ')}: {line}{exponent}; at {at}: {line.at(at):.4g}")
    return "\n".join(told)
