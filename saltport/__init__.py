"""saltport: a router between build machines and package caches."""

__version__ = "0.2.0"
