"""How many nodes a key needs, and which they are: plain functions of shares, weights and zones."""

from __future__ import annotations

from collections import deque
from collections.abc import Iterable, Sequence

from saltport.decisions.health import Node

RESERVE = 1.4
"""Times the least weight that the promise takes (`promise`: the times its fair share of all reads that a node
may get): for the estimate's error, for what other hot keys bring to
the same nodes, and for the ups and downs of chance. With 1.5 it would be more copies than they are worth."""


def room(fair: float, hot: float, others: float, promise: float = 2.0) -> float:
    """The share of all reads that a node has left for one more hot key under the promise.

    `fair`: the node's fair share, by weight; `hot`: the share of all hot keys together; `others`: what other
    hot keys bring to this node. Of the reads that are not hot it gets its fair share.
    """
    return max(fair * (promise - 1 + hot) - others, 0.0)


def threshold(fair: float, promise: float = 2.0) -> float:
    """The share of all reads past which a key needs more than one node of this fair share."""
    part = fair / RESERVE
    return min((promise - 1) * part / (1 - part), 1.0) if part < 1 else 1.0


def copies_needed(share: float, rooms: Iterable[float]) -> int:
    """The least number of nodes, in this order, with room for the share; all, where all do not suffice."""
    wanted, count, held = RESERVE * share * (1 - 1e-9), 0, 0.0
    for left in rooms:
        if held >= wanted:
            break
        count += 1
        held += left
    return max(count, 1)


def over_zones(ranking: Sequence[Node]) -> list[Node]:
    """The ranking with its zones taken in turn: first the slot's holder, then always the best-ranked node of
    the zone that has had fewest so far. Every router that holds the same list gets the same order."""
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
