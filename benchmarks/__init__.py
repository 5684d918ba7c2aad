"""Benchmarks: each module is run as a command."""
