"""How many nodes a hot key needs, and in which order: pure functions of shares, weights and zones.

All shares are parts of all reads, from 0 to 1. A node's fair share is its part of the total weight. The limit
that replication enforces is `max_fair_shares`: no node may get more than this many times its fair share of
all reads.
"""

from __future__ import annotations

from collections import deque
from collections.abc import Iterable, Sequence

from saltport.decisions.health import Node

SAFETY_FACTOR = 1.4
"""How much more capacity a key's nodes have than the limit requires: for the estimate's error, for the reads
of other hot keys at the same nodes, and for random variation. 1.5 would cost more copies than it is worth."""


def spare_share(
    fair_share: float, hot_share: float, other_hot_share: float, max_fair_shares: float = 2.0
) -> float:
    """Return the share of all reads that a node can take of one more hot key within the limit.

    `fair_share`: the node's part of the total weight; `hot_share`: the share of all hot keys together;
    `other_hot_share`: the share that other hot keys bring to this node. Of the reads of keys that are not hot
    the node gets its fair share.
    """
    return max(fair_share * (max_fair_shares - 1 + hot_share) - other_hot_share, 0.0)


def replication_threshold(fair_share: float, max_fair_shares: float = 2.0) -> float:
    """Return the share of all reads above which a key needs more than one node of this fair share."""
    part = fair_share / SAFETY_FACTOR
    return min((max_fair_shares - 1) * part / (1 - part), 1.0) if part < 1 else 1.0


def copies_needed(share: float, spare_shares: Iterable[float]) -> int:
    """Return the smallest number of nodes, taken in this order, that together can take a key's share.

    The result is the number of all nodes if they do not suffice, and at least 1. `share` is multiplied by
    `SAFETY_FACTOR` first.
    """
    required, count, available = SAFETY_FACTOR * share * (1 - 1e-9), 0, 0.0
    for spare in spare_shares:
        if available >= required:
            break
        count += 1
        available += spare
    return max(count, 1)


def interleave_zones(ranking: Sequence[Node]) -> list[Node]:
    """Return the ranking reordered so that zones alternate.

    The first node stays first; each next one is the best-ranked node of the zone with the fewest nodes so
    far. Routers with the same server list compute the same order.
    """
    queues: dict[str, deque[tuple[int, Node]]] = {}
    for place, node in enumerate(ranking):
        queues.setdefault(node.entry.zone, deque()).append((place, node))
    if len(queues) < 2:
        return list(ranking)
    taken = dict.fromkeys(queues, 0)
    order: list[Node] = []
    while queues:
        zone = min(queues, key=lambda name: (taken[name], queues[name][0][0]))
        order.append(queues[zone].popleft()[1])
        taken[zone] += 1
        if not queues[zone]:
            del queues[zone]
    return order
