"""Recorded event streams for the replay test, and the simulation that produced them."""
