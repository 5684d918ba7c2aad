"""Weighted rendezvous hashing (highest random weight): ranks nodes for a slot, many nodes at once.

Scores are exact without numpy. With numpy, which the caller passes in where its cost is acceptable, large
numbers of nodes are scored in arrays; rounding may then reorder scores close to the last place, so those
nodes are all returned, for the caller to rank by exact scores. `benchmarks.lists` measures both.
"""

from __future__ import annotations

import math
from array import array
from collections import Counter
from heapq import nlargest
from operator import itemgetter
from typing import Any, Generic, Protocol, TypeVar

MIN_NODES_FOR_NUMPY = 256  # below it numpy's overhead for each call exceeds what it saves
MAX_UINT64 = (1 << 64) - 1
SLOT_MULTIPLIER, MIX_MULTIPLIER = 0x9E3779B97F4A7C15, 0xD6E8FEB86659FD93


class WeightedNode(Protocol):
    """A node that slots can be assigned to."""

    seed: int
    """A 64-bit number that differs between nodes."""
    weight: float

    def __hash__(self) -> int: ...


NodeT = TypeVar("NodeT", bound=WeightedNode)


def slot_hash(slot: int, seed: int) -> int:
    """Return the 64-bit hash of a slot and a node's seed."""
    value = (seed ^ (slot + 1) * SLOT_MULTIPLIER) * MIX_MULTIPLIER & MAX_UINT64
    value = (value ^ value >> 32) * MIX_MULTIPLIER & MAX_UINT64
    return value ^ value >> 32


def rendezvous_score(slot: int, node: WeightedNode) -> float:
    """Return a node's weighted score for a slot; the node with the highest score is the slot's own."""
    return -node.weight / math.log((slot_hash(slot, node.seed) + 1) / (MAX_UINT64 + 2))


class RendezvousHash(Generic[NodeT]):
    """A set of nodes with their seeds and weights in arrays, to score all of them for a slot at once."""

    def __init__(self) -> None:
        self.nodes: list[NodeT] = []
        self.seeds, self.weights = array("Q"), array("d")
        self._indexes: dict[NodeT, int] = {}
        self._weight_counts: Counter[float] = Counter()

    def add(self, node: NodeT) -> None:
        """Append a node."""
        self._indexes[node] = len(self.nodes)
        self.nodes.append(node)
        self.seeds.append(node.seed)
        self.weights.append(node.weight)
        self._weight_counts[node.weight] += 1

    def remove(self, node: NodeT) -> None:
        """Remove a node; the last node moves to its index."""
        index, last = self._indexes.pop(node), self.nodes[-1]
        if last is not node:
            self._indexes[last] = index
            self.nodes[index], self.seeds[index], self.weights[index] = last, last.seed, last.weight
        self.nodes.pop()
        self.seeds.pop()
        self.weights.pop()
        self._weight_counts[node.weight] -= 1
        if not self._weight_counts[node.weight]:
            del self._weight_counts[node.weight]

    def best(self, slot: int, count: int, numpy: Any) -> list[NodeT]:
        """Return at least the `count` nodes with the highest scores for a slot, unordered.

        If there are no more than `count` nodes, the result is `nodes` itself. `numpy`: the module, or None.
        """
        if count >= len(self.nodes):
            return self.nodes
        if numpy is not None and len(self.nodes) >= MIN_NODES_FOR_NUMPY:
            return self._best_by_numpy(slot, count, numpy)
        if len(self._weight_counts) > 1:
            scored = [(rendezvous_score(slot, node), node) for node in self.nodes]
            return [node for _, node in nlargest(count, scored, key=itemgetter(0))]
        # With equal weights the higher hash wins. The last step of the hash, an xor with the value shifted by
        # 32 bits, does not change the upper half: the step is omitted, and only upper halves are compared.
        word, multiplier = (slot + 1) * SLOT_MULTIPLIER & MAX_UINT64, MIX_MULTIPLIER
        products = [
            ((half := (seed ^ word) * multiplier & MAX_UINT64) ^ half >> 32) * multiplier & MAX_UINT64
            for seed in self.seeds
        ]
        lowest = nlargest(count, products)[-1] >> 32 << 32
        return [self.nodes[index] for index, product in enumerate(products) if product >= lowest]

    def _best_by_numpy(self, slot: int, count: int, numpy: Any) -> list[NodeT]:
        """Return the same as `best`, computed over arrays."""
        word, multiplier, half = (
            numpy.uint64((slot + 1) * SLOT_MULTIPLIER & MAX_UINT64),
            numpy.uint64(MIX_MULTIPLIER),
            numpy.uint64(32),
        )
        values = (numpy.frombuffer(self.seeds, dtype=numpy.uint64) ^ word) * multiplier
        values = (values ^ values >> half) * multiplier
        if len(self._weight_counts) > 1:
            weights = numpy.frombuffer(self.weights, dtype=numpy.float64)
            shares = ((values ^ values >> half).astype(numpy.float64) + 1) / (MAX_UINT64 + 2)
            # These scores are rounded, unlike the exact ones: nodes close to the last place are included, and
            # the caller ranks them by exact scores.
            values = -weights / numpy.log(numpy.minimum(shares, 1 - 2**-53))
            lowest = numpy.partition(values, -count)[-count] * (1 - 1e-9)
        else:
            lowest = numpy.partition(values, -count)[-count] >> half << half
        return [self.nodes[index] for index in numpy.flatnonzero(values >= lowest)]
