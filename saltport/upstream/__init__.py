"""Connections to cache servers and the origin: the pool, and one dialect for each kind of server."""
