"""Weighted rendezvous hashing of slots against many holders at once, and the best few of them.

`benchmarks.lists` measures it. Exact by itself; with numpy, handed in by whoever may afford it, it ranks
large numbers in steps over arrays, and what lies near the last place is left to exact scores.
"""

from __future__ import annotations

import math
from array import array
from collections import Counter
from heapq import nlargest
from operator import itemgetter
from typing import Any, Generic, Protocol, TypeVar

VECTORS_FROM = 256  # holders; below that numpy's own cost is more than it saves
WORD = (1 << 64) - 1
MIX_SLOT, MIX = 0x9E3779B97F4A7C15, 0xD6E8FEB86659FD93


class Hashed(Protocol):
    """What can hold slots."""

    seed: int
    """64 bits."""
    weight: float

    def __hash__(self) -> int: ...


Holder = TypeVar("Holder", bound=Hashed)


def mixed(slot: int, seed: int) -> int:
    """The hash of (slot, holder), 64 bits."""
    value = (seed ^ (slot + 1) * MIX_SLOT) * MIX & WORD
    value = (value ^ value >> 32) * MIX & WORD
    return value ^ value >> 32


def score_of(slot: int, node: Hashed) -> float:
    """The weighted hash by which holders are ranked; the highest holds the slot."""
    return -node.weight / math.log((mixed(slot, node.seed) + 1) / (WORD + 2))


class RendezvousHash(Generic[Holder]):
    """The holders' seeds and weights side by side, to hash a slot against all of them at once."""

    def __init__(self) -> None:
        self.nodes: list[Holder] = []
        self.seeds, self.weights = array("Q"), array("d")
        self._places: dict[Holder, int] = {}
        self._weights: Counter[float] = Counter()

    def add(self, node: Holder) -> None:
        """Take a holder in, at the end."""
        self._places[node] = len(self.nodes)
        self.nodes.append(node)
        self.seeds.append(node.seed)
        self.weights.append(node.weight)
        self._weights[node.weight] += 1

    def remove(self, node: Holder) -> None:
        """Take a holder out; the last one gets its place."""
        place, last = self._places.pop(node), self.nodes[-1]
        if last is not node:
            self._places[last] = place
            self.nodes[place], self.seeds[place], self.weights[place] = last, last.seed, last.weight
        self.nodes.pop()
        self.seeds.pop()
        self.weights.pop()
        self._weights[node.weight] -= 1
        if not self._weights[node.weight]:
            del self._weights[node.weight]

    def best(self, slot: int, count: int, numpy: Any) -> list[Holder]:
        """At least the `count` best holders of a slot, in no order; all of them where there are no more."""
        if count >= len(self.nodes):
            return self.nodes
        if numpy is not None and len(self.nodes) >= VECTORS_FROM:
            return self._best_by_vectors(slot, count, numpy)
        if len(self._weights) > 1:
            held = [(score_of(slot, node), node) for node in self.nodes]
            return [node for _, node in nlargest(count, held, key=itemgetter(0))]
        # Of equal weights the higher hash wins, and its upper half is that of the last product already.
        word, mix = (slot + 1) * MIX_SLOT & WORD, MIX
        products = [((half := (seed ^ word) * mix & WORD) ^ half >> 32) * mix & WORD for seed in self.seeds]
        least = nlargest(count, products)[-1] >> 32 << 32
        return [self.nodes[place] for place, product in enumerate(products) if product >= least]

    def _best_by_vectors(self, slot: int, count: int, numpy: Any) -> list[Holder]:
        word, mix, half = numpy.uint64((slot + 1) * MIX_SLOT & WORD), numpy.uint64(MIX), numpy.uint64(32)
        values = (numpy.frombuffer(self.seeds, dtype=numpy.uint64) ^ word) * mix
        values = (values ^ values >> half) * mix
        if len(self._weights) > 1:
            weights = numpy.frombuffer(self.weights, dtype=numpy.float64)
            shares = ((values ^ values >> half).astype(numpy.float64) + 1) / (WORD + 2)
            # Rounded where exact ones are not: what lies near the last place stays in, to be ranked exactly.
            values = -weights / numpy.log(numpy.minimum(shares, 1 - 2**-53))
            least = numpy.partition(values, -count)[-count] * (1 - 1e-9)
        else:
            least = numpy.partition(values, -count)[-count] >> half << half
        return [self.nodes[place] for place in numpy.flatnonzero(values >= least)]
