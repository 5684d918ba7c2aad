"""What the clients met: counts by class and tenant, latencies by HDR histogram, and the run over time."""

from __future__ import annotations

from collections import Counter, defaultdict
from collections.abc import Sequence
from typing import Any

from hdrh.histogram import HdrHistogram

from saltport.standins.profile import Profile

US = 1_000
MOST_US = 120_000_000
DIGITS = 3
PERCENTILES = (50.0, 90.0, 99.0, 99.9)
ENDS = ("served", "refused", "failed")


class Latencies:
    """An HDR histogram of microseconds, 1 us to 2 minutes at three digits."""

    def __init__(self) -> None:
        self._histogram = HdrHistogram(1, MOST_US, DIGITS)

    def add(self, ns: int) -> None:
        """Count one latency."""
        self._histogram.record_value(min(max(ns // US, 1), MOST_US))

    def summary(self) -> dict[str, float]:
        """Count, percentiles, mean and maximum, in milliseconds."""
        held = self._histogram
        count = held.get_total_count()
        if not count:
            return {"count": 0}
        told = {f"p{p:g}_ms": held.get_value_at_percentile(p) / 1000 for p in PERCENTILES}
        return {
            "count": count,
            **told,
            "mean_ms": held.get_mean_value() / 1000,
            "max_ms": held.get_max_value() / 1000,
        }


class Report:
    """Collects the ends of requests, each told once; a latency counts from the intended start."""

    def __init__(self, profile: Profile) -> None:
        self._profile = profile
        self._all, self._fetches = Latencies(), Latencies()
        self._classes: dict[str, Latencies] = defaultdict(Latencies)
        self._ends: Counter[tuple[str, str, str]] = Counter()
        self._in_aim = 0
        self._seconds: dict[int, Counter[str]] = defaultdict(Counter)
        self._by_second: dict[int, Latencies] = defaultdict(Latencies)
        self.tries = 0
        self.marks: list[tuple[float, str]] = []
        """Faults: seconds from the start, and what happened."""

    @property
    def ended(self) -> int:
        """Requests that have ended."""
        return sum(self._ends.values())

    def end(self, name: str, tenant: str, end: str, at: int, latency: int) -> None:
        """One request has ended: served, refused or failed; `at` is its intended start in the run."""
        self._ends[name, tenant, end] += 1
        second = at // 1_000_000_000
        self._seconds[second][end] += 1
        if end == "served":
            self._all.add(latency)
            self._classes[name].add(latency)
            self._by_second[second].add(latency)
            self._in_aim += latency <= self._profile.request_class(name).aim_ms * 1_000_000

    def _count(self, **wanted: str) -> dict[str, int]:
        told = {"name": 0, "tenant": 1, "end": 2}
        return {
            end: sum(
                count
                for key, count in self._ends.items()
                if key[2] == end and all(key[told[name]] == value for name, value in wanted.items())
            )
            for end in ENDS
        }

    def summary(self) -> dict[str, Any]:
        """The whole report, for JSON."""
        return {
            "requests": self.ended,
            "tries": self.tries,
            **self._count(),
            "in_aim": self._in_aim,
            "latency": self._all.summary(),
            "classes": {
                known.name: {**self._count(name=known.name), "latency": self._classes[known.name].summary()}
                for known in self._profile.classes
            },
            "tenants": {name: self._count(tenant=name) for name, _ in self._profile.tenants},
            "timeline": [
                {"second": second, **{end: self._seconds[second][end] for end in ENDS}, **self._tail(second)}
                for second in range(max(self._seconds, default=-1) + 1)
            ],
            "marks": [{"second": round(second, 3), "what": what} for second, what in self.marks],
        }

    def _tail(self, second: int) -> dict[str, float]:
        held = self._by_second[second].summary()
        return {"p50_ms": held.get("p50_ms", 0.0), "p99_ms": held.get("p99_ms", 0.0)}

    def progress(self) -> str:
        """One line on how it goes."""
        ends = self._count()
        tail = self._all.summary()
        return (
            f"{ends['served']} served, {ends['refused']} refused, {ends['failed']} failed, "
            f"p50 {tail.get('p50_ms', 0):.0f} ms, p99 {tail.get('p99_ms', 0):.0f} ms"
        )


def table(summary: dict[str, Any]) -> str:
    """The report as text."""
    heads = ("served", "refused", "failed", *(f"p{p:g}" for p in PERCENTILES))
    rows = [" " * 12 + "".join(f" {head:>8}" for head in heads) + "  ms"]
    told = [("all", summary), *summary["classes"].items(), *summary["tenants"].items()]
    for name, part in told:
        latency = part.get("latency") or {}
        figures = " ".join(
            f"{latency[f'p{p:g}_ms']:8.1f}" if f"p{p:g}_ms" in latency else " " * 8 for p in PERCENTILES
        )
        rows.append(
            f"{name:12} {part['served']:8d} {part['refused']:8d} {part['failed']:8d} {figures}".rstrip()
        )
    return "\n".join(rows)


def plot(summary: dict[str, Any], width: int = 100, height: int = 24) -> str:
    """The run over time for a terminal: answers a second above, latencies below, faults as lines."""
    import plotext  # only whoever wants a picture pays for it

    seconds = [row["second"] for row in summary["timeline"]]
    if not seconds:
        return "nothing to plot"
    pictures = []
    for title, names in (
        ("requests a second", ENDS),
        ("latency of served requests, ms", ("p50_ms", "p99_ms")),
    ):
        plotext.clear_figure()
        plotext.theme("clear")
        plotext.plotsize(width, height // 2)
        plotext.title(title)
        for name in names:
            plotext.plot(seconds, [row[name] for row in summary["timeline"]], label=name)
        for mark in summary["marks"]:
            plotext.vline(mark["second"])
        pictures.append(plotext.build())
    marks = [f"  {mark['second']:8.2f} s  {mark['what']}" for mark in summary["marks"]]
    return "\n".join([*pictures, *(["faults:", *marks] if marks else [])])


def histogram(figures: Sequence[float], title: str, width: int = 80, height: int = 14) -> str:
    """A picture of how figures are spread; there must be at least one."""
    import plotext

    plotext.clear_figure()
    plotext.theme("clear")
    plotext.plotsize(width, height)
    plotext.title(title)
    plotext.hist(list(figures), bins=min(20, len(figures)))
    return str(plotext.build())
