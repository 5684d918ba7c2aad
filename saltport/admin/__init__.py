"""The operators' HTTP interface of a router: the table of calls, the counters, the listener, and a client."""
