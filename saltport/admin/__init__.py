"""Where operators call: the table of calls, the figures, and the listener."""
