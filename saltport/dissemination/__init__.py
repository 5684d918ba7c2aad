"""Dissemination in levels: a numbered log by topic, from the voters through relays to each router. No I/O."""
