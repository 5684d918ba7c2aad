"""Codecs without sockets: bytes in, typed messages out, and back."""
