"""The host that joins clients, decisions and servers: requests, attempts, timers, configuration."""
