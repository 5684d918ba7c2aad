"""Simulated cache servers, origin and registry for tests, with fault injection and an event ledger."""
