"""The load generator: planned arrivals, retrying clients and a report of the results."""
