"""Recorded event streams for the replay check, and the world that they were recorded in."""
