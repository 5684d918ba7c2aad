"""Dissemination of numbered per-topic logs, from the voters through relays to all routers. No I/O."""
