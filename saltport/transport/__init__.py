"""Sockets of the router: polling, reading and writing, and the handling of failed system calls."""
