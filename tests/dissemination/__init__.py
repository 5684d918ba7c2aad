"""Tests of hierarchical dissemination."""
