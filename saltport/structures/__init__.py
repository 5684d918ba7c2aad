"""Data structures made for the job; they know nothing of requests."""
