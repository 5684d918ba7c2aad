"""The load driver: planned arrivals, clients that retry, and a report of what they met."""
