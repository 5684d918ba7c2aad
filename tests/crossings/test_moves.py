"""A client disconnects, or the receiving process dies, while a connection is transferred.

The test acts as the other process, so that it can pause between a record and its acknowledgement.
"""

from __future__ import annotations

import os
import signal
import socket
import struct
import threading
from collections.abc import Callable, Iterator
from contextlib import contextmanager, suppress
from pathlib import Path

import pytest

from benchmarks.platform import Platform, Process, platform
from saltport.admin.client import ask
from saltport.handover.exchange import ACCEPTED, RECORD_LAST, RECORD_PART, REJECTED
from saltport.handover.record import ConnectionRecord, PartialValue, ReadPosition, Segment, decode, encode
from tests.sockets import TIMEOUT_S, Client, Peer, eventually, get, hit

VALUE = bytes(range(256)) * (4 << 10)
ANSWER = hit(VALUE)
FIRST = 300 << 10


class SlowNode:
    """A node that is slow within a long value until it is released, and notices a closed connection.

    It sends byte by byte, so that the router does not treat it as failed.
    """

    def __init__(self) -> None:
        self.released, self.closed = threading.Event(), threading.Event()
        """`closed`: all processes have closed the connection of the value."""
        self.peer = Peer(self._serve)

    def _serve(self, connection: socket.socket, words: list[bytes]) -> bytes | None:
        if words[1] == b"held":
            assert self.released.wait(TIMEOUT_S)
        if words[1] != b"long":
            return hit(words[2])
        sent = FIRST
        connection.sendall(ANSWER[:sent])
        connection.settimeout(0.02)
        try:
            while not self.released.is_set():
                with suppress(TimeoutError):
                    if connection.recv(1) == b"":
                        break
                connection.sendall(ANSWER[sent : sent + 1])
                sent += 1
        except OSError:
            pass
        if not self.released.is_set():
            self.closed.set()
            raise OSError("the connection has ended")
        connection.settimeout(TIMEOUT_S)
        return ANSWER[sent:]


class ReceiverLink:
    """Acts as the receiving process towards the one that exits; the test sends its answers."""

    def __init__(self, folder: Path) -> None:
        self.socket = socket.socket(socket.AF_UNIX, socket.SOCK_SEQPACKET)
        self.socket.settimeout(TIMEOUT_S)
        self.socket.connect(str(folder / "saltport.takeover"))
        self.socket.send(b"H1")
        assert self.socket.recv(1 << 20)[:1] == b"L"

    def record(self) -> tuple[ConnectionRecord, list[int]]:
        """Return the next complete record and its descriptors."""
        data = b""
        while True:
            message, descriptors, _, _ = socket.recv_fds(self.socket, 1 << 20, 8)
            data += message[1:]
            if message[:1] == RECORD_LAST:
                return decode(data, len(descriptors)), descriptors
            assert message[:1] == RECORD_PART


def reset_connection(client: Client) -> None:
    client.socket.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
    client.close()


def close(client: Client) -> None:
    client.close()


def half_close(client: Client) -> None:
    client.socket.shutdown(socket.SHUT_WR)


DISCONNECTS = pytest.mark.parametrize("disconnect", [close, half_close, reset_connection])


@contextmanager
def unacknowledged_transfer(
    folder: Path,
) -> Iterator[tuple[SlowNode, Platform, Process, Client, ReceiverLink, ConnectionRecord, list[int]]]:
    """A process that has sent the record of a connection within a long value, without an acknowledgement."""
    node = SlowNode()
    with platform(folder, {"s1": node.peer}) as cluster:
        old, client = cluster.start().wait_until_healthy(), cluster.client()
        client.send(get("c1", "long", 60_000))
        eventually(lambda: ask(old.admin, "/stats")["current"] == 1, "the value is being sent")
        link = ReceiverLink(folder)
        old.terminate()
        record, descriptors = link.record()
        try:
            yield node, cluster, old, client, link, record, descriptors
        finally:
            node.released.set()
            link.socket.close()


def close_all(descriptors: list[int]) -> None:
    for descriptor in descriptors:
        os.close(descriptor)


@DISCONNECTS
@pytest.mark.parametrize(
    "acknowledgement", [ACCEPTED, REJECTED + b"no room", b""], ids=["taken", "turned down", "none"]
)
def test_value_is_not_read_further_if_its_client_disconnects_during_the_transfer(
    tmp_path: Path, disconnect: Callable[[Client], None], acknowledgement: bytes
) -> None:
    with unacknowledged_transfer(tmp_path) as (node, _, old, client, link, _, descriptors):
        assert not node.closed.is_set()
        disconnect(client)
        close_all(descriptors)  # the receiver's copies
        if acknowledgement:
            link.socket.send(acknowledgement)
        else:
            link.socket.close()
        assert node.closed.wait(TIMEOUT_S), "the connection of the value is closed, and the rest is not read"
        eventually(lambda: old.has_exited, "the old process exits")
        assert old.process.returncode == 0


@DISCONNECTS
def test_value_is_not_read_if_its_client_disconnected_before_the_record_arrived(
    tmp_path: Path, disconnect: Callable[[Client], None]
) -> None:
    node = SlowNode()
    listener = socket.socket(socket.AF_UNIX, socket.SOCK_SEQPACKET)
    listener.bind(str(tmp_path / "saltport.takeover"))
    listener.listen(1)
    listener.settimeout(TIMEOUT_S)
    with (
        platform(tmp_path, {"s1": node.peer}) as cluster,
        socket.create_server(("127.0.0.1", 0)) as listening,
    ):
        process = cluster.start()
        link, _ = listener.accept()
        link.settimeout(TIMEOUT_S)
        process.wait_until_healthy()
        assert [link.recv(64), link.recv(64)] == [b"E", b"H1"]
        client = Client(listening.getsockname()[1])
        client_connection, _ = listening.accept()
        upstream = socket.create_connection(("127.0.0.1", node.peer.port))
        upstream.sendall(get("c1", "long"))
        received = b""
        while len(received) < FIRST:
            received += upstream.recv(FIRST - len(received))
        disconnect(client)
        head = ANSWER.index(VALUE[:256])
        left = len(VALUE) - (FIRST - head)
        position = ReadPosition("cache", "s1", ("127.0.0.1", node.peer.port), len(VALUE), left + 2, "3")
        record = ConnectionRecord("resp", True, b"", (Segment(b"", PartialValue(position, "get", b"\r\n")),))
        socket.send_fds(link, [RECORD_LAST + encode(record)], [client_connection.fileno(), upstream.fileno()])
        assert link.recv(256) == ACCEPTED
        client_connection.close()
        upstream.close()
        assert node.closed.wait(TIMEOUT_S)
        eventually(lambda: ask(process.admin, "/stats")["current"] == 0, "the request has ended")
        assert ask(process.admin, "/stats")["errored"]["get"] == 0
        assert cluster.client().ask(get("c2")) == b"c2"
        link.close()
    listener.close()


def test_value_is_cut_off_if_the_receiver_dies_before_its_acknowledgement(tmp_path: Path) -> None:
    with unacknowledged_transfer(tmp_path) as (node, _, old, client, link, record, descriptors):
        # The receiver may have written to the client, which the sender cannot know, so the sender must not.
        with socket.socket(fileno=os.dup(descriptors[0])) as theirs:
            theirs.sendall(record.segments[0].data)
        close_all(descriptors)
        link.socket.close()
        node.released.set()  # a process that continued would send the client the rest
        received = client.stream.read()
        assert (b"$%d\r\n%b" % (len(VALUE), VALUE)).startswith(received), "only a prefix of the value"
        assert len(received) < 2 * FIRST, "the value is cut off"
        eventually(lambda: old.has_exited, "the old process exits")
        assert old.process.returncode == 0


def test_receiver_killed_with_an_unread_record_loses_only_that_connection(
    tmp_path: Path,
) -> None:
    node = SlowNode()
    with platform(tmp_path, {"s1": node.peer}) as cluster:
        old, moving, staying = cluster.start().wait_until_healthy(), cluster.client(), cluster.client()
        moving.send(get("c1", "long", 60_000))
        staying.send(get("c2", "held", 60_000))
        eventually(lambda: ask(old.admin, "/stats")["current"] == 2, "both requests are in progress")
        receiver = cluster.start().wait_until_healthy()
        eventually(lambda: ask(old.admin, "/state")["shared"], "the processes are linked")
        os.kill(receiver.process.pid, signal.SIGSTOP)
        old.terminate()
        # `connected` falls in the step that sends the record; the request ends earlier.
        eventually(lambda: ask(old.admin, "/state")["connected"] == 1, "the record is sent")
        os.kill(receiver.process.pid, signal.SIGKILL)
        receiver.process.communicate(timeout=TIMEOUT_S)
        node.released.set()
        answer = staying.answer()
        assert answer == b"c2" or answer.startswith(b"-"), (
            "a final answer from the process that has the connection"
        )
        assert moving.answer().startswith(b"cut off")
        eventually(lambda: old.has_exited, "the old process exits")
        assert old.process.returncode == 0
