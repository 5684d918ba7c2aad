"""Plugins of the whole suite."""

pytest_plugins = ["pytester", "tests.known_red"]
