"""Validation of keys, common to all client dialects."""

from __future__ import annotations


def check_key(key: bytes) -> None:
    """Raise ValueError, with a message for the client, unless this is a valid key.

    Danger: the key becomes part of an HTTP request line to the origin, where a line break would inject a
    header.
    """
    try:
        good = bool(key) and key.decode().isprintable() and b" " not in key
    except UnicodeDecodeError:
        good = False
    if not good:
        raise ValueError("key must be text without spaces")
