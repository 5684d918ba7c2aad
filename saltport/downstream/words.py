"""What a request's words must be, whatever wire they came on."""

from __future__ import annotations


def check_key(key: bytes) -> None:
    """Raise ValueError, in words for the client, unless this can be a key.

    Danger: it becomes part of an HTTP line at the origin, where a line break would forge a header.
    """
    try:
        good = bool(key) and key.decode().isprintable() and b" " not in key
    except UnicodeDecodeError:
        good = False
    if not good:
        raise ValueError("key must be text without spaces")
