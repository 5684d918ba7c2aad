"""Failover between zones and regions, by a plan that one router computes for the whole fleet."""
