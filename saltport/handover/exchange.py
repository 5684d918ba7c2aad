"""Records over a link between two processes: pieces, answers, and who holds what at each moment. No I/O.

The giver's first byte of a message says what it is: `l` a piece of what was learnt, `L` its last or only one,
`C` a connection that owes nothing (for a taker that says no version), `P` a piece of a record, `M` its last
piece, which brings all descriptors.
The taker says `H` with the version of records that it takes, `A` when a record is its own, `N` and why not.

From the moment its last piece is sent a record is the taker's: what both could hold would be done twice. The
giver keeps its descriptors until the answer, as a record that is turned down goes on where it was.
"""

from __future__ import annotations

from collections import deque
from collections.abc import Callable, Sequence
from dataclasses import dataclass, field

from saltport.handover.record import MAX_ANSWERS, MAX_COMMAND, ConnectionRecord, RecordError, decode

PIECE = 64 << 10
WINDOW = 32  # connections frozen at a time, or under way: they bound bytes, descriptors and time stood still
MAX_RECORD = MAX_ANSWERS + MAX_COMMAND
LEARNT_PIECE = 95 << 10  # takers of earlier versions read one message of 96 KiB, and know no pieces
MAX_LEARNT = 8 << 20  # some 60,000 servers
LEARNT_PART, LEARNT, CONNECTION, PART, LAST = b"l", b"L", b"C", b"P", b"M"
HELLO, TAKEN, TURNED_DOWN = b"H", b"A", b"N"


@dataclass(slots=True)
class Parcel:
    """A frozen connection: its record in words, its descriptors, and how it goes on here."""

    record: bytes
    descriptors: Sequence[int]
    thaw: Callable[[], None]
    """Takes the connection up again in this process; the descriptors are the caller's then."""
    at: int = field(default=0)
    """How much of the record has been sent."""


@dataclass(frozen=True, slots=True)
class Message:
    """One message for the link."""

    data: bytes
    descriptors: Sequence[int] = ()


class Giver:
    """The end of the process that goes."""

    def __init__(self, release: Callable[[Sequence[int]], None]) -> None:
        """`release` closes descriptors that nobody here needs any more."""
        self._release = release
        self._learnt: deque[bytes] = deque()
        """Messages that tell what was learnt; they go before all connections."""
        self._queue: deque[Parcel] = deque()
        self._sent: deque[Parcel] = deque()
        self.version = 0
        """The version of records that the taker said it takes; 0: it said none."""
        self.moved = self.refused = 0
        """Connections that went over, and records that were turned down."""

    @property
    def room(self) -> int:
        """How many more connections may be frozen."""
        return WINDOW - len(self._queue) - len(self._sent)

    @property
    def busy(self) -> bool:
        """Whether something is frozen, or sent and not answered."""
        return bool(self._queue or self._sent)

    def tell(self, learnt: bytes) -> None:
        """Begin with what was learnt; beyond `MAX_LEARNT` bytes the taker starts without it."""
        if len(learnt) > MAX_LEARNT:
            return
        pieces = [learnt[at : at + LEARNT_PIECE] for at in range(0, len(learnt), LEARNT_PIECE)] or [b""]
        self._learnt.extend(LEARNT_PART + piece for piece in pieces[:-1])
        self._learnt.append(LEARNT + pieces[-1])

    def offer(self, parcel: Parcel) -> None:
        """Take a frozen connection, to be sent when the link has room."""
        self._queue.append(parcel)

    def outgoing(self) -> Message | None:
        """The next message; None: nothing now. `sent` has to follow before it is asked again."""
        if self._learnt:
            return Message(self._learnt[0])
        if not self._queue:
            return None
        parcel = self._queue[0]
        piece = parcel.record[parcel.at : parcel.at + PIECE]
        if parcel.at + len(piece) < len(parcel.record):
            return Message(PART + piece)
        return Message(LAST + piece, parcel.descriptors)

    def sent(self) -> None:
        """The link has taken that message, whole."""
        if self._learnt:
            self._learnt.popleft()
            return
        parcel = self._queue[0]
        parcel.at += PIECE
        if parcel.at >= len(parcel.record):
            self._sent.append(self._queue.popleft())

    def heard(self, data: bytes) -> str:
        """Take a message of the taker; returns what is to be logged of it, or nothing."""
        if data[:1] == HELLO:
            self.version = int(data[1:]) if data[1:].isdigit() and len(data) < 6 else 0
        elif data[:1] in (TAKEN, TURNED_DOWN) and self._sent:
            parcel = self._sent.popleft()
            if data[:1] == TAKEN:
                self.moved += 1
                self._release(parcel.descriptors)
            else:
                self.refused += 1
                parcel.thaw()
                return data[1:101].decode(errors="replace")
        return ""

    def ended(self) -> None:
        """The link is gone: what was sent whole went with it, and the rest goes on here."""
        self._learnt.clear()
        sent, self._sent = self._sent, deque()
        queue, self._queue = self._queue, deque()
        self.version = 0
        for parcel in sent:
            self._release(parcel.descriptors)
        for parcel in queue:
            parcel.at = 0
            parcel.thaw()


class Taker:
    """The end of the process that comes."""

    def __init__(self) -> None:
        self._pieces: list[bytes] = []
        self._size = 0
        self._learnt: list[bytes] = []
        self._learnt_size = 0

    @property
    def learning(self) -> bool:
        """Whether what was learnt has begun to come, and more of it is on its way."""
        return self._learnt_size > 0

    def learn(self, data: bytes) -> bytes:
        """Take a piece of what was learnt; returns it with its last piece, or nothing (yet, or too long)."""
        self._learnt_size += len(data) - 1
        if self._learnt_size <= MAX_LEARNT:
            self._learnt.append(data[1:])
        else:
            self._learnt.clear()
        if data[:1] != LEARNT:
            return b""
        pieces, self._learnt, self._learnt_size = self._learnt, [], 0
        return b"".join(pieces)

    def heard(self, data: bytes, descriptors: int) -> ConnectionRecord | None:
        """Take a piece; returns the record with its last one. Raises RecordError, once for a whole record.

        The caller closes what came with pieces that give no record, and answers each last piece.
        """
        self._size += len(data) - 1
        if self._size <= MAX_RECORD:
            self._pieces.append(data[1:])
        else:
            self._pieces.clear()
        if data[:1] != LAST:
            return None
        pieces, self._pieces = self._pieces, []
        size, self._size = self._size, 0
        if size > MAX_RECORD:
            raise RecordError("record too long")
        return decode(b"".join(pieces), descriptors)
