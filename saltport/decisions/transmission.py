"""The moment until which the last byte of a request may leave this machine, without I/O.

A server begins a request when its last byte has come (protocol page, "Routers to cache servers"). So an
attempt that is still being sent once its request may no longer begin is given up, by a reset of its
connection, and can't be completed by what the kernel holds. All times are nanoseconds on the monotonic clock.
"""

from __future__ import annotations

from saltport.decisions.interface import NS_PER_S

LONG_VALUE_BYTES = 64 << 10
"""Size above which a value may take long to be sent, as its server does not read it."""
MIN_TRANSFER_BYTES_PER_S = 8 << 20
"""Rate at which a long value is expected to be sent at the least."""
STATED_TIME_SLACK_MS = 100
"""How much later than expected the last byte may leave; the terms allow the stated time 0.15 s of slack."""
CLIENT_GONE_GRACE_NS = NS_PER_S // 20
"""Time after a client's disconnect in which an attempt may still be completed; the terms allow 0.1 s."""


def send_limit(not_after: int, deadline: int) -> int:
    """Return when the last byte of an attempt must have left: the end of its dedup window or its deadline.

    `not_after`: the time from which the attempt may no longer be sent; 0 if only the deadline applies.
    """
    return min(not_after, deadline) if not_after else deadline


def send_limit_after_disconnect(limit: int, now: int) -> int:
    """Return the new limit of an attempt whose client was found at `now` to have left."""
    return min(limit, now + CLIENT_GONE_GRACE_NS)


def transfer_allowance_ms(size: int, remaining_ms: int) -> int:
    """Return the time to set aside for sending a value of `size` bytes, at most half of the time left.

    A server counts the time that it is told from the request's last byte, but the time is written ahead of
    the value.
    """
    if size <= LONG_VALUE_BYTES:
        return 0
    return min(size * 1000 // MIN_TRANSFER_BYTES_PER_S, remaining_ms // 2)
