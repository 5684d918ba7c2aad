"""Tests of dissemination in levels."""
