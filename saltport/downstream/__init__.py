"""The client-facing side of the router: client connections, dialects, replies and the access log."""
