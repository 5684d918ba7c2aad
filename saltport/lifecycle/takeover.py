"""The link between a router process and the new process that replaces it: its sockets and its peer check.

The old process listens on a Unix socket in a folder that both share; the new process connects when it starts.
While the link is open, each process knows that the other runs. The link preserves message boundaries
(SOCK_SEQPACKET), and messages carry descriptors (SCM_RIGHTS); handover/exchange.py defines the messages.
"""

from __future__ import annotations

import asyncio
import errno
import logging
import os
import socket
import time
from collections.abc import Callable, Sequence
from contextlib import suppress
from functools import partial
from pathlib import Path

from saltport.decisions.used_ids import DIGEST_BYTES, UsedIds
from saltport.handover.exchange import (
    ACCEPTED,
    EXTENDED,
    FREE_IDS,
    HELLO,
    IDLE_CONNECTION,
    LEARNED_LAST,
    LEARNED_PART,
    MAX_DESCRIPTORS_PER_MESSAGE,
    NO_DESCRIPTORS,
    RECORD_LAST,
    RECORD_PART,
    REJECTED,
    USED_IDS,
    ConnectionTransfer,
    TransferReceiver,
    TransferSender,
)
from saltport.handover.record import RECORD_VERSION, ConnectionRecord, RecordError
from saltport.lifecycle.private_folder import private_folder
from saltport.transport.acceptor import Acceptor
from saltport.transport.packets import Packet, PacketLink, peer_credentials
from saltport.transport.shortage import DIAL_ERRORS, retry_on_shortage

SOCKET_NAME = "saltport.takeover"
MAX_SOCKET_PATH_BYTES = 107  # limit of the kernel
MAX_MESSAGE_BYTES = 96 << 10  # of a message to the successor
MAX_REPLY_BYTES = 256  # of a message to the predecessor
OPEN_TIMEOUT_S = 5.0  # for retries while the machine lacks the resources to open a socket
RETRY_S = 0.01  # delay before a full link is tried again; the other process frees it by receiving
LISTEN_RETRY_S = 0.1  # delay before a socket that could not be opened is tried again

log = logging.getLogger("saltport")


class Takeover:
    """The links of this process to the predecessor that it replaces and the successor that replaces it."""

    def __init__(
        self,
        loop: asyncio.AbstractEventLoop,
        folder: Path,
        adopt: Callable[[ConnectionRecord, Sequence[int]], None],
        links_changed: Callable[[], None],
        learned_state: Callable[[], bytes],
        used_ids: UsedIds,
    ) -> None:
        """`adopt` takes over a received connection or raises RecordError; `links_changed` is called when a
        link opens or closes; `learned_state` returns the serialized state for the successor; `used_ids` gets
        the ids that the other process uses.
        """
        self._used_ids = used_ids
        self._loop, self._folder, self._adopt, self._links_changed = loop, folder, adopt, links_changed
        self._learned_state = learned_state
        self.inherited_state = b""
        """The learned state of the predecessor, once completely received; empty before."""
        self._has_inherited = False
        self._predecessor: PacketLink | None = None
        self._successor: PacketLink | None = None
        self._acceptor: Acceptor | None = None
        self._path: Path | None = None
        """Where this process has listened for its successor."""
        self._listen_retry: asyncio.TimerHandle | None = None
        self.sender = TransferSender(_close_all)
        self._receiver = TransferReceiver()
        self._record_descriptors: list[int] = []
        """The descriptors that came with the parts of the record that is being received."""
        self._record_is_cut = False
        """Whether descriptors of that record are missing."""
        self._retry: asyncio.TimerHandle | None = None
        self.adopted = 0
        """Number of connections adopted with requests or a partial command in progress."""

    @property
    def has_other_process(self) -> bool:
        """Whether another process of this router runs, as far as the links show."""
        return self._predecessor is not None or self._successor is not None

    @property
    def other_process_id(self) -> int | None:
        """Id of the other process of this router, 0 if the kernel does not tell it; None if there is none."""
        link = self._successor or self._predecessor
        return link.peer_process_id if link is not None else None

    @property
    def awaits_learned_state(self) -> bool:
        """Whether the predecessor runs and has not completely sent its learned state."""
        return self._predecessor is not None and not self._has_inherited

    @property
    def has_successor(self) -> bool:
        """Whether a successor is linked."""
        return self._successor is not None

    async def open(self) -> None:
        """Connect to the predecessor, if one runs, and listen for the successor."""
        try:
            path = private_folder(self._folder) / SOCKET_NAME
        except OSError as error:
            log.warning("%s: %s; client connections will close when this process ends", self._folder, error)
            return
        if len(os.fsencode(path)) > MAX_SOCKET_PATH_BYTES - len(f".{os.getpid()}"):
            log.warning(
                "%s: the path is too long for a socket; client connections will close when this process ends",
                path,
            )
            return
        # Danger: a process that gives up on a temporary error would start as if alone, and all connections of
        # the predecessor would end with the predecessor. Its own socket, bound below at the same path, would
        # also be mistaken for that of the predecessor.
        with suppress(OSError):  # no process listens, it has died, or it belongs to another user
            link = await retry_on_shortage(partial(_connect, path), OPEN_TIMEOUT_S, DIAL_ERRORS)
            self._predecessor = PacketLink(
                self._loop,
                link,
                self._receive_from_predecessor,
                MAX_MESSAGE_BYTES,
                MAX_DESCRIPTORS_PER_MESSAGE,
            )
            self._links_changed()
        try:
            listener = await retry_on_shortage(partial(_listen, path), OPEN_TIMEOUT_S)
        except OSError as error:
            log.warning(
                "%s: %s; client connections will close when this process ends", path, error.strerror or error
            )
            return
        self._path = path
        self._acceptor = Acceptor(self._loop, listener, self._accepted)

    def _listen_again(self) -> None:
        """Listen at the path again after the successor has ended, unless another process listens there.

        Danger: each process puts its own socket in the place of its predecessor's. If it dies, the next one
        would find nobody there, and all connections of this process would end with this process.
        """
        self._listen_retry = None
        if self._path is None or self._acceptor is None or self._successor is not None:
            return
        if _is_in_use(self._path):
            return
        try:
            listener = _listen(self._path)
        except OSError as error:
            log.warning("%s: %s; trying again", self._path, error.strerror or error)
            self._listen_retry = self._loop.call_later(LISTEN_RETRY_S, self._listen_again)
            return
        self._acceptor.close()
        self._acceptor = Acceptor(self._loop, listener, self._accepted)

    # The ids of requests that may have taken effect

    def receive(self) -> None:
        """Process the messages that the other process has sent so far."""
        if self._acceptor is not None and not self._successor:
            self._acceptor.accept_pending()
        for link in (self._predecessor, self._successor):
            if link is not None:
                link.receive_pending()

    def used(self, digest: bytes) -> None:
        """Tell the other process that a request with this id may take effect."""
        self._tell_ids(USED_IDS + digest)

    def released(self, digest: bytes) -> None:
        """Tell the other process that a request with this id surely never ran."""
        self._tell_ids(FREE_IDS + digest)

    def _tell_ids(self, message: bytes) -> None:
        for link in (self._predecessor, self._successor):
            if link is not None:
                link.answer(message)

    def _receive_ids(self, message: bytes) -> bool:
        """Process a message with ids; return False if it is another one."""
        kind, digests = message[:1], message[1:]
        if kind not in (USED_IDS, FREE_IDS):
            return False
        now = time.monotonic_ns()
        for at in range(0, len(digests) - DIGEST_BYTES + 1, DIGEST_BYTES):
            digest = digests[at : at + DIGEST_BYTES]
            if kind == USED_IDS:
                self._used_ids.add(digest, now)
            else:
                self._used_ids.discard(digest)
        return True

    def accept_rest(self) -> None:
        """Accept a successor that has connected but has not been accepted yet."""
        if self._acceptor is not None:
            self._acceptor.accept_pending()

    # Link to the successor

    def _accepted(self, link: socket.socket) -> None:
        """Accept the link of a successor process, if it runs as the same user; it replaces an earlier one."""
        try:
            is_same = _same_user(link)
        except OSError:
            self._loop.call_later(RETRY_S, self._accepted, link)
            return
        if not is_same:
            log.warning("rejected a takeover link from a process of another user")
            link.close()
            return
        if self._successor is not None:
            # Danger: a successor that died before it took over must not block the next one.
            self._close_successor()
        self._successor = PacketLink(self._loop, link, self._receive_from_successor, MAX_REPLY_BYTES)
        self.sender.send_used_ids(list(self._used_ids))
        self.sender.send_learned(self._learned_state())
        self._send_queued()
        self._links_changed()

    def _receive_from_successor(self, packet: Packet) -> None:
        """Receive the successor's version, its replies to records, or the end of its link.

        An older version of the program sends only the end.
        """
        if not packet.data:
            self._close_successor()
            self._links_changed()
            self._listen_again()
            return
        if self._receive_ids(packet.data):
            return
        if reason := self.sender.receive(packet.data):
            log.warning("the next process rejected a connection: %s", reason)
        self._send_queued()

    def _close_successor(self) -> None:
        """Close the link to the successor; connections that were not sent completely resume here."""
        assert self._successor is not None
        self._successor.close()
        self._successor = None
        self.sender.link_closed()

    @property
    def takes_records(self) -> bool:
        """Whether the successor accepts connections with outstanding replies as well as idle ones."""
        return self._successor is not None and self.sender.receiver_version == RECORD_VERSION

    @property
    def takes_extended_records(self) -> bool:
        """Whether the successor accepts connections that close, or discard a command."""
        return self.sender.takes_extended_records

    @property
    def max_values(self) -> int:
        """The most values in progress that the successor accepts with one connection."""
        return self.sender.max_values

    @property
    def max_values_in_progress(self) -> int | None:
        """The most values that may be in progress on one connection now, as it may have to be handed over."""
        return self.sender.max_values if self.takes_records else None

    @property
    def free_capacity(self) -> int:
        """How many more connections may be frozen for the successor now."""
        return self.sender.free_capacity

    def send_idle_connection(self, descriptor: int, partial_command: bytes) -> bool:
        """Send an idle connection and its partial command; return False if that is not possible now."""
        return self._successor is not None and self._successor.send(
            IDLE_CONNECTION + partial_command, [descriptor]
        )

    def offer(self, transfer: ConnectionTransfer) -> None:
        """Queue a frozen connection for the successor; without a successor, resume the connection here."""
        if self._successor is None:
            transfer.resume()
            return
        self.sender.enqueue(transfer)
        self._send_queued()

    def _send_queued(self) -> None:
        """Send queued messages to the successor; retry after a pause if the link does not take one."""
        while self._successor is not None and (message := self.sender.next_message()) is not None:
            if not self._successor.send_or_wait(message.data, message.descriptors, self._send_queued):
                # Danger: waiting only until the link has room would never end if the kernel's limit of
                # descriptors in flight is reached.
                if self._retry is None:
                    self._retry = self._loop.call_later(RETRY_S, self._retry_send)
                return
            self.sender.message_sent()

    def _retry_send(self) -> None:
        self._retry = None
        self._send_queued()

    # Link to the predecessor

    def _receive_from_predecessor(self, packet: Packet) -> None:
        """Handle one message from the predecessor, or the end of its link."""
        assert self._predecessor is not None
        message, descriptors = packet.data, packet.descriptors
        if not message:
            _close_all([*descriptors, *self._take_record_descriptors()])
            self._predecessor.close()
            self._predecessor = None
            self._receiver = TransferReceiver()
            self._links_changed()
            return
        kind = message[:1]
        if self._receive_ids(message):
            _close_all(descriptors)
            return
        if kind in (LEARNED_PART, LEARNED_LAST):
            self.inherited_state = self._receiver.receive_learned(message) or self.inherited_state
            self._has_inherited = kind == LEARNED_LAST
        elif kind in (RECORD_PART, RECORD_LAST):
            self._receive_record(message, descriptors, packet.is_truncated)
            return
        elif kind == IDLE_CONNECTION and len(descriptors) == 1:
            with suppress(RecordError):
                self._adopt(ConnectionRecord("", False, message[1:]), descriptors)
                return
        _close_all(descriptors)

    def _receive_record(self, message: bytes, descriptors: Sequence[int], is_cut: bool) -> None:
        """Receive a part of a connection record and adopt the connection once the record is complete.

        An invalid record is discarded with its descriptors, and the reason is sent to the predecessor.
        """
        reply = ACCEPTED
        self._record_descriptors += descriptors
        self._record_is_cut = self._record_is_cut or is_cut
        count = -1 if self._record_is_cut else len(self._record_descriptors)
        try:
            record = self._receiver.receive_record(message, count)
            if record is None:
                return
            _check_sockets(self._record_descriptors)
            self._adopt(record, self._record_descriptors)
            self._take_record_descriptors()
            self.adopted += 1
        except RecordError as error:
            reason = NO_DESCRIPTORS if self._record_is_cut else str(error)
            _close_all(self._take_record_descriptors())
            reply = REJECTED + reason.encode()[: MAX_REPLY_BYTES - 1]
        assert self._predecessor is not None
        self._predecessor.answer(reply)

    def _take_record_descriptors(self) -> list[int]:
        """Return the descriptors of the record that was received, and begin with the next record."""
        descriptors, self._record_descriptors, self._record_is_cut = self._record_descriptors, [], False
        return descriptors

    def close(self) -> None:
        """Close all links and the listener; the socket file stays, as it may be the successor's by now."""
        for timer in (self._retry, self._listen_retry):
            if timer is not None:
                timer.cancel()
        for link in (self._predecessor, self._successor):
            if link is not None:
                link.close()
        self._predecessor = self._successor = None
        if self._acceptor is not None:
            self._acceptor.close()
            self._acceptor = None


def _same_user(link: socket.socket) -> bool:
    return peer_credentials(link).user_id == os.getuid()


def _check_sockets(descriptors: Sequence[int]) -> None:
    """Raise RecordError if a descriptor is not a TCP socket over IPv4."""
    for descriptor in descriptors:
        try:
            with socket.socket(fileno=os.dup(descriptor)) as connection:
                if connection.family != socket.AF_INET or connection.type != socket.SOCK_STREAM:
                    raise RecordError("a descriptor is no TCP connection")
        except OSError:
            raise RecordError("a descriptor is no socket") from None


def _close_all(descriptors: Sequence[int]) -> None:
    for descriptor in descriptors:
        os.close(descriptor)


def _connect(path: Path) -> socket.socket:
    """Connect to the process that listens at `path` and send it the version of this one; raises OSError."""
    link = _seqpacket_socket()
    try:
        link.connect(str(path))
        if not _same_user(link):
            raise PermissionError("the listening process belongs to another user")
        link.send(EXTENDED)
        link.send(HELLO + b"%d" % RECORD_VERSION)
    except OSError:
        link.close()
        raise
    return link


def _listen(path: Path) -> socket.socket:
    """Listen at `path`, replacing the predecessor's socket file atomically; raises OSError."""
    listener = _seqpacket_socket()
    temporary_path = f"{path}.{os.getpid()}"
    try:
        with suppress(FileNotFoundError):
            os.unlink(temporary_path)
        listener.bind(temporary_path)
        os.chmod(temporary_path, 0o600)
        listener.listen(1)
        os.replace(temporary_path, path)
    except OSError:
        listener.close()
        raise
    return listener


def _is_in_use(path: Path) -> bool:
    """Whether a process has its socket at `path`; that process does not notice the question."""
    with socket.socket(socket.AF_UNIX, socket.SOCK_STREAM) as probe:
        probe.setblocking(False)
        # The kernel looks for the other socket first, and then refuses a connection of another type.
        return probe.connect_ex(str(path)) not in (errno.ECONNREFUSED, errno.ENOENT)


def _seqpacket_socket() -> socket.socket:
    """Return a new non-blocking Unix socket that preserves message boundaries."""
    sock = socket.socket(socket.AF_UNIX, socket.SOCK_SEQPACKET)
    sock.setblocking(False)
    return sock
