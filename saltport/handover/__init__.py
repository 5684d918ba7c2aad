"""What a process of a router passes to the next: records of connections, who moves when, the exchange."""
