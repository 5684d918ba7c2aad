"""Cache servers and the origin: the pool, its connections, and one dialect for each kind."""
