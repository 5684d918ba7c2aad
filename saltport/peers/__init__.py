"""Membership among routers: SWIM gossip, failure detection, reachability by zone, and numbered views."""
