"""Plugins of the test suite, and the order in which its files run."""

from __future__ import annotations

import pytest

pytest_plugins = ["pytester", "tests.known_red", "tests.machine_report"]

LONGEST_FIRST = (
    "tests/faults/test_memory_of_clients.py",
    "tests/test_soak_shutdown.py",
    "tests/nemesis/test_zone_processes.py",
    "tests/router/test_routing.py",
    "tests/faults/test_matrix_reload.py",
    "tests/failover/test_world.py",
    "tests/hotkeys/test_world.py",
    "tests/faults/test_slow_peers.py",
    "tests/handover/test_processes.py",
    "tests/nemesis/",
    "tests/test_soak.py",
    "tests/faults/test_crowds.py",
    "tests/faults/test_returning_crowds.py",
    "tests/faults/test_flooding_clients.py",
)
"""One worker runs all tests of a file, so a long file that starts last would prolong the whole run.

Files whose crowds take a core each do not all start at once."""


def pytest_collection_modifyitems(items: list[pytest.Item]) -> None:
    """Run the longest files first; the sort is stable, so tests keep their order within a file."""
    items.sort(key=_rank)


def _rank(item: pytest.Item) -> int:
    places = (place for place, prefix in enumerate(LONGEST_FIRST) if item.nodeid.startswith(prefix))
    return next(places, len(LONGEST_FIRST))
