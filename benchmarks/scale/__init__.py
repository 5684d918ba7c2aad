"""Scale measurements: what each part costs at fleet size."""
