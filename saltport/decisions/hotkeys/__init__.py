"""Hot keys: found by measurement, held at several nodes where that pays, let go when they cool. No I/O.

Asked through decisions/replication.py. meter.py finds, need.py and replicated_key.py decide how many nodes
and which, invalidation.py what a write has to reach, control.py joins them. Times are nanoseconds on the
caller's clock.
"""

from saltport.decisions.hotkeys.control import HotKeys

__all__ = ["HotKeys"]
