"""The lifecycle of a router process: start, signals, drain, reload, replacement, and stored bans."""
