"""One owner at a time for the fleet's work: an agreed record, leases, epochs (docs/design/owners.md)."""
