"""Who applies an effect refuses older epochs than it has seen (Chubby's sequencers, section 2.4). No I/O."""

from __future__ import annotations

from collections import OrderedDict

from saltport.owners.record import Record

MOST = 16_384  # pieces remembered; the oldest ones fall under the floor, which only rises


class Fence:
    """The highest epoch seen for each piece."""

    def __init__(self) -> None:
        self._seen: OrderedDict[str, int] = OrderedDict()
        self._floor = 0
        """Below this, a piece that is not remembered is refused."""
        self.refused = 0

    def admit(self, piece: str, epoch: int) -> bool:
        """Whether an effect of this epoch may be applied; if so, no older one will be."""
        if epoch < self._seen.get(piece, self._floor):
            self.refused += 1
            return False
        self._seen[piece] = epoch
        self._seen.move_to_end(piece)
        if len(self._seen) > MOST:
            self._floor = max(self._floor, self._seen.popitem(last=False)[1])
        return True

    def learn(self, record: Record) -> None:
        """Take over what the agreed record says: after a restart nothing else is known."""
        for piece, held in record.pieces.items():
            if held.epoch > self._seen.get(piece, self._floor):
                self.admit(piece, held.epoch)
