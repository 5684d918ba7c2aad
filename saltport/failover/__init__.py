"""Failover between zones and regions, decided in common by one owner."""
