"""Tests of races between two events; each forces the critical order over real connections, every time."""
