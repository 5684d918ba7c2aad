"""Plugins of the whole suite, and the order of its files."""

from __future__ import annotations

import pytest

pytest_plugins = ["pytester", "tests.known_red"]

LONGEST_FIRST = (
    "tests/nemesis/test_zone_processes.py",
    "tests/router/test_routing.py",
    "tests/handover/test_processes.py",
    "tests/nemesis/",
    "tests/test_soak.py",
)
"""A worker takes a file whole: begun last, each of these would make the run longer by all it takes."""


def pytest_collection_modifyitems(items: list[pytest.Item]) -> None:
    """Begin with the longest files. The sort is stable: no file's tests change their order."""
    items.sort(key=_rank)


def _rank(item: pytest.Item) -> int:
    places = (place for place, prefix in enumerate(LONGEST_FIRST) if item.nodeid.startswith(prefix))
    return next(places, len(LONGEST_FIRST))
