"""Detection of hot keys, their replication to several nodes, and their release after cooling. No I/O.

The logic calls this package through decisions/replication.py. meter.py measures keys, need.py computes how
many nodes a key needs and in which order, replicated_key.py stores the state of one replicated key,
invalidation.py invalidates copies after writes, and control.py joins them. Times are nanoseconds on the
caller's clock.
"""

from saltport.decisions.hotkeys.control import HotKeys

__all__ = ["HotKeys"]
