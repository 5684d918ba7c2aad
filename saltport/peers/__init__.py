"""Membership among routers: SWIM gossip, failure detection, reachability and views (docs/design/peers.md)."""
