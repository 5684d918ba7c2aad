"""Pytest plugin: a failure tells what the machine's network, processors and disks went through meanwhile."""

from __future__ import annotations

import time
from collections.abc import Generator
from dataclasses import dataclass
from pathlib import Path

import pytest

TCP_COUNTERS = (
    "TCPTimeouts",
    "TCPLostRetransmit",
    "TCPMemoryPressures",
    "TCPMemoryPressuresChrono",
    "TCPRcvQDrop",
    "RcvPruned",
    "PruneCalled",
    "TCPAbortOnMemory",
    "TCPBacklogDrop",
    "ListenOverflows",
    "ListenDrops",
    "TWRecycled",
)
"""Counters of the kernel that rise when it drops or delays what the sockets of loopback carry."""


@dataclass(frozen=True, slots=True)
class MachineState:
    """The kernel's counters at a moment; those of TCP are of all processes in this network namespace."""

    at_s: float
    tcp: dict[str, int]
    cpu_stall_s: float
    """Time in which some process waited for a processor."""
    disk_stall_s: float
    """Time in which some process waited for a disk."""

    @classmethod
    def read(cls) -> MachineState:
        """Read the counters; those that this kernel does not have are left out."""
        return cls(time.monotonic(), _tcp_counters(), _stall_s("cpu"), _stall_s("io"))

    def changes_until(self, later: MachineState) -> str:
        """Describe in a line for each what changed until a later moment, with what is open then."""
        seconds = later.at_s - self.at_s
        rises = {name: later.tcp[name] - self.tcp[name] for name in self.tcp if name in later.tcp}
        counters = ", ".join(f"{name} {rise}" for name, rise in rises.items() if rise) or "none rose"
        cpu_s, disk_s = later.cpu_stall_s - self.cpu_stall_s, later.disk_stall_s - self.disk_stall_s
        return (
            f"in {seconds:.1f} s: some process waited for a processor for {cpu_s:.1f} s, "
            f"for a disk {disk_s:.1f} s\n"
            f"TCP counters of the kernel: {counters}\n{_sockets()}"
        )


def _tcp_counters() -> dict[str, int]:
    lines = _lines(Path("/proc/net/netstat"))
    names, values = (line.split()[1:] for line in lines[:2]) if len(lines) > 1 else ([], [])
    known = dict(zip(names, map(int, values), strict=True))
    return {name: known[name] for name in TCP_COUNTERS if name in known}


def _stall_s(resource: str) -> float:
    lines = _lines(Path("/proc/pressure", resource))
    return int(lines[0].rpartition("total=")[2]) / 1e6 if lines else 0.0


def _sockets() -> str:
    return next((line for line in _lines(Path("/proc/net/sockstat")) if line.startswith("TCP:")), "")


def _lines(path: Path) -> list[str]:
    try:
        return path.read_text().splitlines()
    except OSError:
        return []


_state_at_start = pytest.StashKey[MachineState]()


@pytest.hookimpl(wrapper=True)
def pytest_runtest_setup(item: pytest.Item) -> Generator[None, None, None]:
    """Read the counters before the test and its fixtures."""
    item.stash[_state_at_start] = MachineState.read()
    return (yield)


@pytest.hookimpl(wrapper=True)
def pytest_runtest_makereport(item: pytest.Item) -> Generator[None, pytest.TestReport, pytest.TestReport]:
    """Add to the report of a failed test how the counters changed."""
    report = yield
    if report.failed or hasattr(report, "wasxfail"):
        report.sections.append(("machine", item.stash[_state_at_start].changes_until(MachineState.read())))
    return report
