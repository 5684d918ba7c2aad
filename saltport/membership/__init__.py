"""Sources of the server list; each yields the same event for the decision module."""
