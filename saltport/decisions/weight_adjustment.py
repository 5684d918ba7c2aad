"""The weight factor of a server: the share of its slots' reads that it keeps, by its own load reports.

In a large fleet a router rarely has two requests in flight at one server, so that limits on them (limits.py)
have no effect, whereas a load report reflects the load from all routers. A server that reports a longer time
than the fleet's average keeps fewer slots; a hash makes them the same at every router. The adjustment follows
the gradient algorithm of Netflix's concurrency-limits.
"""

from __future__ import annotations

from saltport.decisions.health import Node
from saltport.decisions.interface import NS_PER_S, Settings
from saltport.decisions.limits import PROMPT_AIM_SHARE
from saltport.structures.rendezvous import MAX_UINT64, slot_hash

TIME_FIELDS = ("latency_ms", "recent_ms")  # names of the recent service time in load reports
# A weight factor is multiplied by (average service time of all servers / service time of this server) to this
# power. A report of twice the average time so reduces it by about a sixth. The ratio itself would overshoot,
# because queues grow faster than load.
ADJUSTMENT_EXPONENT = 1 / 4
MIN_WEIGHT_FACTOR = 1 / 16  # the remaining reads show when the server recovers
# Reports are smoothed and some tenths of a second old, so that a change shows only after this time.
SETTLING_TIME_NS = NS_PER_S
SLOT_HASH_OFFSET = 1 << 32  # above all slots, to make the hash independent of the one that ranks servers


class WeightAdjustment:
    """Adjusts the servers' weight factors by the load reports in answers."""

    def __init__(self, settings: Settings) -> None:
        fields = settings.load_fields
        self._time_index = next((index for index, name in enumerate(fields) if name in TIME_FIELDS), -1)
        self._usual_time = 0.0
        """The reported time in nanoseconds, smoothed over the answers of all servers."""

    def learn(self, node: Node, load: tuple[float, ...], aim: int, sent_at: int, now: int) -> None:
        """Adjust a server's weight factor by a load report.

        Reports of attempts that began before the last adjustment has settled are ignored.
        """
        if not 0 <= self._time_index < len(load):
            return
        reported = max(load[self._time_index] * 1e6, 1.0)
        self._usual_time += (reported - self._usual_time) / 32 if self._usual_time else reported
        if sent_at >= node.weight_factor_at:
            node.weight_factor_at = now + SETTLING_TIME_NS
            # If all servers are slow at once, the load is the cause, and no server keeps fewer slots.
            fair = max(PROMPT_AIM_SHARE * aim, self._usual_time)
            node.weight_factor = min(
                max(node.weight_factor * (fair / reported) ** ADJUSTMENT_EXPONENT, MIN_WEIGHT_FACTOR), 1.0
            )


def keeps_slot(node: Node, slot: int) -> bool:
    """Whether a server keeps the reads of this slot, given its weight factor."""
    return (
        node.weight_factor >= 1.0
        or slot_hash(slot + SLOT_HASH_OFFSET, node.seed) < node.weight_factor * MAX_UINT64
    )
