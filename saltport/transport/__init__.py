"""The router's own sockets: which are watched, what is read and written, and what a call that fails means."""
