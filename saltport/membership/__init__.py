"""Sources of the server list; all end in one event."""
