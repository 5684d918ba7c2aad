"""Routers that know one another: membership, failure detection, reach, views (docs/design/peers.md)."""
