"""One owner at a time for each fleet task, by a Raft log, leases and epochs (docs/design/owners.md)."""
