"""Scale measurements: the cost of each component at fleet size."""
