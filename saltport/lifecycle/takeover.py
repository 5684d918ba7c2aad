"""The link between a process and the one that takes its place: its sockets, and whom each end trusts.

The old process listens at a Unix socket in the folder that both share; the new one connects when it starts.
As long as the link stands both run, and each knows it. Messages keep their bounds (SOCK_SEQPACKET),
descriptors come with them (SCM_RIGHTS); what they mean is in handover/exchange.py.
"""

from __future__ import annotations

import asyncio
import logging
import os
import socket
import stat
import struct
from collections.abc import Callable, Sequence
from contextlib import suppress
from functools import partial
from pathlib import Path

from saltport.handover.exchange import (
    ACCEPTED,
    HELLO,
    IDLE_CONNECTION,
    LEARNED_LAST,
    LEARNED_PART,
    RECORD_LAST,
    RECORD_PART,
    REJECTED,
    ConnectionTransfer,
    TransferReceiver,
    TransferSender,
)
from saltport.handover.record import MAX_VALUES_IN_PROGRESS, RECORD_VERSION, ConnectionRecord, RecordError
from saltport.transport.acceptor import Acceptor
from saltport.transport.packets import Packet, PacketLink
from saltport.transport.shortage import DIAL_ERRORS, retry_on_shortage

NAME = "saltport.takeover"
MAX_PATH = 107  # bytes that the kernel takes
MAX_MESSAGE = 96 << 10
MAX_HEARD = 256
PATIENCE_S = 5.0  # with a machine that is short of what joining takes
AGAIN_S = 0.01  # after which a full link is tried again: its own end is what makes room
CREDENTIALS = struct.Struct("3i")

log = logging.getLogger("saltport")


class Takeover:
    """Both ends: towards the process before this one, and towards the one after it."""

    def __init__(
        self,
        loop: asyncio.AbstractEventLoop,
        folder: Path,
        adopt: Callable[[ConnectionRecord, Sequence[int]], None],
        changed: Callable[[], None],
        learnt: Callable[[], bytes],
    ) -> None:
        """`adopt` takes a connection that comes, or raises RecordError; `changed`: a link begins or ends.

        `learnt` words what the next process should know.
        """
        self._loop, self._folder, self._adopt, self._changed = loop, folder, adopt, changed
        self._learnt = learnt
        self.inherited = b""
        """What the process before this one had learnt, once that is told."""
        self._has_learnt = False
        self._before: PacketLink | None = None
        self._after: PacketLink | None = None
        self._acceptor: Acceptor | None = None
        self.giver = TransferSender(_close_all)
        self._taker = TransferReceiver()
        self._again: asyncio.TimerHandle | None = None
        self.taken = 0
        """Connections that came with what was under way on them."""

    @property
    def shared(self) -> bool:
        """Whether another process of this router runs, as far as known."""
        return self._before is not None or self._after is not None

    @property
    def learning(self) -> bool:
        """Whether the process before this one has not told yet, or not all, of what it has learnt."""
        return self._before is not None and not self._has_learnt

    @property
    def replaced(self) -> bool:
        """Whether another process is there to take this one's place."""
        return self._after is not None

    async def open(self) -> None:
        """Join the process that runs, if there is one, and stand where the next one will look."""
        try:
            path = own_folder(self._folder) / NAME
        except OSError as error:
            log.warning("%s: %s; connections will not outlive this process", self._folder, error)
            return
        if len(os.fsencode(path)) > MAX_PATH - len(f".{os.getpid()}"):
            log.warning("%s: too long a path; connections will not outlive this process", path)
            return
        # Danger: a process that can't join for a moment would start as if it were alone, and the other one's
        # connections would all end with it. And its own place would then be taken for the other's.
        with suppress(OSError):  # nobody is there, or has died, or is a stranger
            link = await retry_on_shortage(partial(_join, path), PATIENCE_S, DIAL_ERRORS)
            self._before = PacketLink(
                self._loop, link, self._receive, MAX_MESSAGE, 1 + MAX_VALUES_IN_PROGRESS
            )
            self._changed()
        try:
            listener = await retry_on_shortage(partial(_listen, path), PATIENCE_S)
        except OSError as error:
            log.warning("%s: %s; connections will not outlive this process", path, error.strerror or error)
            return
        self._acceptor = Acceptor(self._loop, listener, self._accepted)

    def accept_rest(self) -> None:
        """Take the next process that has joined by now, be it that nobody has looked yet."""
        if self._acceptor is not None:
            self._acceptor.accept_pending()

    # Towards the process after this one

    def _accepted(self, link: socket.socket) -> None:
        try:
            is_same = _same_user(link)
        except OSError:
            self._loop.call_later(AGAIN_S, self._accepted, link)
            return
        if not is_same:
            log.warning("another user's process asked to take this one's place")
            link.close()
            return
        if self._after is not None:
            # Danger: a process that died before it took over must not keep the next one out.
            self._end_after()
        self._after = PacketLink(self._loop, link, self._hear, MAX_HEARD)
        self.giver.send_learned(self._learnt())
        self._give_more()
        self._changed()

    def _hear(self, packet: Packet) -> None:
        """Take its version, its answers, or its end, which is all that an older program lets hear."""
        if not packet.data:
            self._end_after()
            self._changed()
            return
        if why := self.giver.receive(packet.data):
            log.warning("the next process can't go on with a connection: %s", why)
        self._give_more()

    def _end_after(self) -> None:
        assert self._after is not None
        self._after.close()
        self._after = None
        self.giver.link_closed()

    @property
    def takes_records(self) -> bool:
        """See Successor."""
        return self._after is not None and self.giver.receiver_version == RECORD_VERSION

    @property
    def room(self) -> int:
        """See Successor."""
        return self.giver.free_capacity

    def give(self, descriptor: int, pending: bytes) -> bool:
        """See Successor."""
        return self._after is not None and self._after.send(IDLE_CONNECTION + pending, [descriptor])

    def offer(self, parcel: ConnectionTransfer) -> None:
        """See Successor."""
        if self._after is None:
            parcel.resume()
            return
        self.giver.enqueue(parcel)
        self._give_more()

    def _give_more(self) -> None:
        while self._after is not None and (message := self.giver.next_message()) is not None:
            if not self._after.send(message.data, message.descriptors):
                # Danger: waiting for the link alone would wait for ever where the kernel's count of
                # descriptors under way is what is full.
                if self._again is None:
                    self._again = self._loop.call_later(AGAIN_S, self._try_again)
                return
            self.giver.message_sent()

    def _try_again(self) -> None:
        self._again = None
        self._give_more()

    # Towards the process before this one

    def _receive(self, packet: Packet) -> None:
        assert self._before is not None
        message, descriptors = packet.data, packet.descriptors
        if not message:
            _close_all(descriptors)
            self._before.close()
            self._before = None
            self._taker = TransferReceiver()
            self._changed()
            return
        kind = message[:1]
        if kind in (LEARNED_PART, LEARNED_LAST):
            self.inherited = self._taker.receive_learned(message) or self.inherited
            self._has_learnt = kind == LEARNED_LAST
        elif kind in (RECORD_PART, RECORD_LAST):
            self._take(message, descriptors, packet.is_truncated)
            return
        elif kind == IDLE_CONNECTION and len(descriptors) == 1:
            with suppress(RecordError):
                self._adopt(ConnectionRecord("", False, message[1:]), descriptors)
                return
        _close_all(descriptors)

    def _take(self, message: bytes, descriptors: Sequence[int], cut: bool) -> None:
        """Take a piece of a record; what is no record is dropped whole, and the other process told why."""
        answer = ACCEPTED
        try:
            record = self._taker.receive_record(message, -1 if cut else len(descriptors))
            if record is None:
                _close_all(descriptors)
                return
            _check_sockets(descriptors)
            self._adopt(record, descriptors)
            self.taken += 1
        except RecordError as error:
            _close_all(descriptors)
            answer = REJECTED + str(error).encode()[: MAX_HEARD - 1]
        assert self._before is not None
        self._before.answer(answer)

    def close(self) -> None:
        """Leave; the place in the folder stays with whoever holds it now."""
        if self._again is not None:
            self._again.cancel()
        for link in (self._before, self._after):
            if link is not None:
                link.close()
        self._before = self._after = None
        if self._acceptor is not None:
            self._acceptor.close()
            self._acceptor = None


def own_folder(folder: Path) -> Path:
    """Where nobody else can take a name before this user: the folder itself or one in it; raises OSError."""
    if _is_own(folder):
        return folder
    inner = folder / f"saltport-{os.getuid()}"
    with suppress(FileExistsError):
        inner.mkdir(0o700)
    if not _is_own(inner):
        raise OSError(f"{inner} is not this user's alone")
    return inner


def _is_own(folder: Path) -> bool:
    facts = os.lstat(folder)
    private = not facts.st_mode & (stat.S_IWGRP | stat.S_IWOTH)
    return stat.S_ISDIR(facts.st_mode) and facts.st_uid == os.getuid() and private


def _same_user(link: socket.socket) -> bool:
    told = link.getsockopt(socket.SOL_SOCKET, socket.SO_PEERCRED, CREDENTIALS.size)
    return int(CREDENTIALS.unpack(told)[1]) == os.getuid()


def _check_sockets(descriptors: Sequence[int]) -> None:
    """Raises RecordError where one is no connection of TCP over IPv4."""
    for descriptor in descriptors:
        try:
            with socket.socket(fileno=os.dup(descriptor)) as end:
                if end.family != socket.AF_INET or end.type != socket.SOCK_STREAM:
                    raise RecordError("a descriptor is no TCP connection")
        except OSError:
            raise RecordError("a descriptor is no socket") from None


def _close_all(descriptors: Sequence[int]) -> None:
    for descriptor in descriptors:
        os.close(descriptor)


def _join(path: Path) -> socket.socket:
    """Connect to the process that stands there, and say hello; raises OSError."""
    link = _seqpacket()
    try:
        link.connect(str(path))
        if not _same_user(link):
            raise PermissionError("another user's process is there")
        link.send(HELLO + b"%d" % RECORD_VERSION)
    except OSError:
        link.close()
        raise
    return link


def _listen(path: Path) -> socket.socket:
    """Take the place where the next process looks, in one step; raises OSError."""
    listener = _seqpacket()
    name = f"{path}.{os.getpid()}"
    try:
        with suppress(FileNotFoundError):
            os.unlink(name)
        listener.bind(name)
        os.chmod(name, 0o600)
        listener.listen(1)
        os.replace(name, path)
    except OSError:
        listener.close()
        raise
    return listener


def _seqpacket() -> socket.socket:
    end = socket.socket(socket.AF_UNIX, socket.SOCK_SEQPACKET)
    end.setblocking(False)
    return end
