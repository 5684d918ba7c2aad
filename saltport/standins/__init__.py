"""Stand-ins for the router's peers (cache nodes, origin, registry), with faults on command and a ledger."""
