"""A value whose length is not known before its end: its parts, counted in the memory budget. No I/O."""

from __future__ import annotations

from collections import deque

from saltport.downstream.budget import MemoryBudget
from saltport.wire.http import HttpError
from saltport.wire.resp import MAX_VALUE_BYTES

BLOCK_BYTES = 64 << 10  # to which small parts are joined: each object has some overhead


class UnknownLengthValue:
    """The parts of one value, counted until they are taken or dropped."""

    def __init__(self, memory: MemoryBudget) -> None:
        self._memory = memory
        self._blocks: deque[bytearray] = deque()
        self.size = 0
        """Number of bytes that are kept."""

    def add(self, data: bytes) -> None:
        """Keep the next part; raises HttpError if the value becomes too long."""
        if self.size + len(data) > MAX_VALUE_BYTES:
            raise HttpError("value too long")
        self.size += len(data)
        self._memory.count(len(data))
        if self._blocks and len(self._blocks[-1]) + len(data) <= BLOCK_BYTES:
            self._blocks[-1] += data
        else:
            self._blocks.append(bytearray(data))

    def take(self) -> deque[bytearray]:
        """Return the parts of the value in order; from now on their owner counts them."""
        blocks, self._blocks = self._blocks, deque()
        size, self.size = self.size, 0
        self._memory.release_memory(size)
        return blocks
