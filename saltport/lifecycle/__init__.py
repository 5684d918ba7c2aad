"""The life of a router's process: start, signals, drain, reload, replacement, and what outlives it."""
