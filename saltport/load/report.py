"""The load report: outcomes by class and tenant, latency percentiles and a timeline."""

from __future__ import annotations

from collections import Counter, defaultdict
from collections.abc import Sequence
from typing import Any

from hdrh.histogram import HdrHistogram

from saltport.standins.profile import Profile

NS_PER_US = 1_000
MAX_LATENCY_US = 120_000_000  # longer latencies are recorded as this one
SIGNIFICANT_DIGITS = 3  # precision of the histogram
PERCENTILES = (50.0, 90.0, 99.0, 99.9)
OUTCOMES = ("served", "refused", "failed")


class Latencies:
    """A latency histogram (HDR), 1 us to 2 minutes with three significant digits."""

    def __init__(self) -> None:
        self._histogram = HdrHistogram(1, MAX_LATENCY_US, SIGNIFICANT_DIGITS)

    def add(self, ns: int) -> None:
        """Record one latency in nanoseconds."""
        self._histogram.record_value(min(max(ns // NS_PER_US, 1), MAX_LATENCY_US))

    def summary(self) -> dict[str, float]:
        """Return count, percentiles, mean and maximum; times in milliseconds."""
        histogram = self._histogram
        count = histogram.get_total_count()
        if not count:
            return {"count": 0}
        percentiles = {f"p{p:g}_ms": histogram.get_value_at_percentile(p) / 1000 for p in PERCENTILES}
        return {
            "count": count,
            **percentiles,
            "mean_ms": histogram.get_mean_value() / 1000,
            "max_ms": histogram.get_max_value() / 1000,
        }


class Report:
    """Collects the outcome of each request; latencies count from the planned start."""

    def __init__(self, profile: Profile) -> None:
        self._profile = profile
        self._all, self._fetches = Latencies(), Latencies()
        self._classes: dict[str, Latencies] = defaultdict(Latencies)
        self._outcomes: Counter[tuple[str, str, str]] = Counter()
        self._in_aim = 0
        self._seconds: dict[int, Counter[str]] = defaultdict(Counter)
        self._by_second: dict[int, Latencies] = defaultdict(Latencies)
        self.tries = 0
        self.marks: list[tuple[float, str]] = []
        """Faults: seconds from the start of the run, and a description."""

    @property
    def ended(self) -> int:
        """Number of requests that have ended."""
        return sum(self._outcomes.values())

    def record_outcome(self, request_class: str, tenant: str, outcome: str, at: int, latency_ns: int) -> None:
        """Record a request's outcome; `at` is its planned start within the run; times in nanoseconds."""
        self._outcomes[request_class, tenant, outcome] += 1
        second = at // 1_000_000_000
        self._seconds[second][outcome] += 1
        if outcome == "served":
            self._all.add(latency_ns)
            self._classes[request_class].add(latency_ns)
            self._by_second[second].add(latency_ns)
            self._in_aim += latency_ns <= self._profile.request_class(request_class).aim_ms * 1_000_000

    def _count(self, **wanted: str) -> dict[str, int]:
        """Return the number of requests by outcome, optionally of one class (`name`) or one `tenant` only."""
        positions = {"name": 0, "tenant": 1, "end": 2}
        return {
            outcome: sum(
                count
                for key, count in self._outcomes.items()
                if key[2] == outcome and all(key[positions[name]] == value for name, value in wanted.items())
            )
            for outcome in OUTCOMES
        }

    def summary(self) -> dict[str, Any]:
        """Return the full report as a JSON object."""
        return {
            "requests": self.ended,
            "tries": self.tries,
            **self._count(),
            "in_aim": self._in_aim,
            "latency": self._all.summary(),
            "classes": {
                request_class.name: {
                    **self._count(name=request_class.name),
                    "latency": self._classes[request_class.name].summary(),
                }
                for request_class in self._profile.classes
            },
            "tenants": {name: self._count(tenant=name) for name, _ in self._profile.tenants},
            "timeline": [
                {
                    "second": second,
                    **{outcome: self._seconds[second][outcome] for outcome in OUTCOMES},
                    **self._tail(second),
                }
                for second in range(max(self._seconds, default=-1) + 1)
            ],
            "marks": [{"second": round(second, 3), "what": what} for second, what in self.marks],
        }

    def _tail(self, second: int) -> dict[str, float]:
        """Return the median and 99th percentile of the latencies of requests planned for this second."""
        histogram = self._by_second[second].summary()
        return {"p50_ms": histogram.get("p50_ms", 0.0), "p99_ms": histogram.get("p99_ms", 0.0)}

    def progress(self) -> str:
        """Return one line of text with the counts by outcome and the p50 and p99 latencies so far."""
        ends = self._count()
        tail = self._all.summary()
        return (
            f"{ends['served']} served, {ends['refused']} refused, {ends['failed']} failed, "
            f"p50 {tail.get('p50_ms', 0):.0f} ms, p99 {tail.get('p99_ms', 0):.0f} ms"
        )


def table(summary: dict[str, Any]) -> str:
    """Format a report summary as a text table."""
    heads = ("served", "refused", "failed", *(f"p{p:g}" for p in PERCENTILES))
    rows = [" " * 12 + "".join(f" {head:>8}" for head in heads) + "  ms"]
    parts = [("all", summary), *summary["classes"].items(), *summary["tenants"].items()]
    for name, part in parts:
        latency = part.get("latency") or {}
        figures = " ".join(
            f"{latency[f'p{p:g}_ms']:8.1f}" if f"p{p:g}_ms" in latency else " " * 8 for p in PERCENTILES
        )
        rows.append(
            f"{name:12} {part['served']:8d} {part['refused']:8d} {part['failed']:8d} {figures}".rstrip()
        )
    return "\n".join(rows)


def plot(summary: dict[str, Any], width: int = 100, height: int = 24) -> str:
    """Return terminal plots of the run: outcomes per second, latencies, and faults as vertical lines."""
    import plotext  # optional dependency, slow to import

    seconds = [row["second"] for row in summary["timeline"]]
    if not seconds:
        return "nothing to plot"
    plots = []
    for title, names in (
        ("requests a second", OUTCOMES),
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
        plots.append(plotext.build())
    marks = [f"  {mark['second']:8.2f} s  {mark['what']}" for mark in summary["marks"]]
    return "\n".join([*plots, *(["faults:", *marks] if marks else [])])


def histogram(figures: Sequence[float], title: str, width: int = 80, height: int = 14) -> str:
    """Return a terminal histogram of at least one value."""
    import plotext

    plotext.clear_figure()
    plotext.theme("clear")
    plotext.plotsize(width, height)
    plotext.title(title)
    plotext.hist(list(figures), bins=min(20, len(figures)))
    return str(plotext.build())
