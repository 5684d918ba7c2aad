"""saltport: a router between build machines and package caches."""
