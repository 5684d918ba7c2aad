"""A connection that is being moved to the next process, whose client leaves or whose taker dies just then.

The other process is played by the test, so that it stands still between a record and its receipt.
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
from saltport.handover.exchange import LAST, PART, TAKEN, TURNED_DOWN
from saltport.handover.record import ConnectionRecord, Flow, Segment, Value, decode, encode
from tests.sockets import TIMEOUT_S, Client, Peer, eventually, get, hit

VALUE = bytes(range(256)) * (4 << 10)
ANSWER = hit(VALUE)
FIRST = 300 << 10


class HalfServed:
    """A node that is slow within a long value until it is let go, and tells what became of its connection.

    It goes on byte by byte, so that nobody takes it for one that has vanished.
    """

    def __init__(self) -> None:
        self.goes, self.left = threading.Event(), threading.Event()
        """`left`: the router, or whoever holds its end, has closed the value's connection."""
        self.peer = Peer(self._serve)

    def _serve(self, connection: socket.socket, words: list[bytes]) -> bytes | None:
        if words[1] == b"held":
            assert self.goes.wait(TIMEOUT_S)
        if words[1] != b"long":
            return hit(words[2])
        sent = FIRST
        connection.sendall(ANSWER[:sent])
        connection.settimeout(0.02)
        try:
            while not self.goes.is_set():
                with suppress(TimeoutError):
                    if connection.recv(1) == b"":
                        break
                connection.sendall(ANSWER[sent : sent + 1])
                sent += 1
        except OSError:
            pass
        if not self.goes.is_set():
            self.left.set()
            raise OSError("the connection has ended")
        connection.settimeout(TIMEOUT_S)
        return ANSWER[sent:]


class Link:
    """The process that takes over, as far as the one that goes can tell; it answers when it is told."""

    def __init__(self, folder: Path) -> None:
        self.socket = socket.socket(socket.AF_UNIX, socket.SOCK_SEQPACKET)
        self.socket.settimeout(TIMEOUT_S)
        self.socket.connect(str(folder / "saltport.takeover"))
        self.socket.send(b"H1")
        assert self.socket.recv(1 << 20)[:1] == b"L"

    def record(self) -> tuple[ConnectionRecord, list[int]]:
        """The next record, whole, and its descriptors."""
        data = b""
        while True:
            message, descriptors, _, _ = socket.recv_fds(self.socket, 1 << 20, 8)
            data += message[1:]
            if message[:1] == LAST:
                return decode(data, len(descriptors)), descriptors
            assert message[:1] == PART


def reset(client: Client) -> None:
    client.socket.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
    client.close()


def close(client: Client) -> None:
    client.close()


def half_close(client: Client) -> None:
    client.socket.shutdown(socket.SHUT_WR)


LEAVES = pytest.mark.parametrize("leave", [close, half_close, reset])


@contextmanager
def recorded(
    folder: Path,
) -> Iterator[tuple[HalfServed, Platform, Process, Client, Link, ConnectionRecord, list[int]]]:
    """A process that has sent a record of a connection within a long value, and has no receipt for it."""
    node = HalfServed()
    with platform(folder, {"s1": node.peer}) as held:
        old, client = held.start().ready(), held.client()
        client.send(get("c1", "long", 60_000))
        eventually(lambda: ask(old.admin, "/stats")["current"] == 1, "the value is under way")
        link = Link(folder)
        old.terminate()
        record, descriptors = link.record()
        try:
            yield node, held, old, client, link, record, descriptors
        finally:
            node.goes.set()
            link.socket.close()


def close_all(descriptors: list[int]) -> None:
    for descriptor in descriptors:
        os.close(descriptor)


@LEAVES
@pytest.mark.parametrize(
    "receipt", [TAKEN, TURNED_DOWN + b"no room", b""], ids=["taken", "turned down", "none"]
)
def test_nothing_more_is_read_for_a_client_that_leaves_while_it_is_moved(
    tmp_path: Path, leave: Callable[[Client], None], receipt: bytes
) -> None:
    with recorded(tmp_path) as (node, _, old, client, link, _, descriptors):
        assert not node.left.is_set()
        leave(client)
        close_all(descriptors)  # the taker's copies
        if receipt:
            link.socket.send(receipt)
        else:
            link.socket.close()
        assert node.left.wait(TIMEOUT_S), "the value's connection is closed, and its rest never read"
        eventually(lambda: old.gone, "nothing holds the old process up")
        assert old.process.returncode == 0


@LEAVES
def test_nothing_is_read_for_a_client_that_left_before_its_record_came(
    tmp_path: Path, leave: Callable[[Client], None]
) -> None:
    node = HalfServed()
    listener = socket.socket(socket.AF_UNIX, socket.SOCK_SEQPACKET)
    listener.bind(str(tmp_path / "saltport.takeover"))
    listener.listen(1)
    listener.settimeout(TIMEOUT_S)
    with platform(tmp_path, {"s1": node.peer}) as held, socket.create_server(("127.0.0.1", 0)) as door:
        process = held.start()
        link, _ = listener.accept()
        link.settimeout(TIMEOUT_S)
        process.ready()
        assert link.recv(64) == b"H1"
        client = Client(door.getsockname()[1])
        ours, _ = door.accept()
        upstream = socket.create_connection(("127.0.0.1", node.peer.port))
        upstream.sendall(get("c1", "long"))
        begun = b""
        while len(begun) < FIRST:
            begun += upstream.recv(FIRST - len(begun))
        leave(client)
        head = ANSWER.index(VALUE[:256])
        left = len(VALUE) - (FIRST - head)
        flow = Flow("cache", "s1", ("127.0.0.1", node.peer.port), len(VALUE), left + 2, "3")
        record = ConnectionRecord("resp", True, b"", (Segment(b"", Value(flow, "get", b"\r\n")),))
        socket.send_fds(link, [LAST + encode(record)], [ours.fileno(), upstream.fileno()])
        assert link.recv(256) == TAKEN
        ours.close()
        upstream.close()
        assert node.left.wait(TIMEOUT_S)
        eventually(lambda: ask(process.admin, "/stats")["current"] == 0, "it is owed to nobody")
        assert ask(process.admin, "/stats")["errored"]["get"] == 0
        assert held.client().ask(get("c2")) == b"c2"
        link.close()
    listener.close()


def test_taker_that_dies_before_its_receipt_leaves_the_client_a_value_that_is_cut(tmp_path: Path) -> None:
    with recorded(tmp_path) as (node, _, old, client, link, record, descriptors):
        # It may have written to the client by now, which nobody can know: so nobody else may.
        with socket.socket(fileno=os.dup(descriptors[0])) as theirs:
            theirs.sendall(record.segments[0].data)
        close_all(descriptors)
        link.socket.close()
        node.goes.set()  # whoever went on with it would give the client all the rest
        told = client.stream.read()
        assert (b"$%d\r\n%b" % (len(VALUE), VALUE)).startswith(told), "nothing twice, nothing out of place"
        assert len(told) < 2 * FIRST, "cut, so that the client sees it"
        eventually(lambda: old.gone, "the old one ends")
        assert old.process.returncode == 0


def test_taker_that_is_killed_with_the_record_unread_takes_only_that_connection_with_it(
    tmp_path: Path,
) -> None:
    node = HalfServed()
    with platform(tmp_path, {"s1": node.peer}) as held:
        old, moving, staying = held.start().ready(), held.client(), held.client()
        moving.send(get("c1", "long", 60_000))
        staying.send(get("c2", "held", 60_000))
        eventually(lambda: ask(old.admin, "/stats")["current"] == 2, "both are under way")
        taker = held.start().ready()
        eventually(lambda: ask(old.admin, "/state")["shared"], "they know each other")
        os.kill(taker.process.pid, signal.SIGSTOP)
        old.terminate()
        # It is counted out in the step that sends its record; as a request it ends before that.
        eventually(lambda: ask(old.admin, "/state")["connected"] == 1, "the record is sent")
        os.kill(taker.process.pid, signal.SIGKILL)
        taker.process.communicate(timeout=TIMEOUT_S)
        node.goes.set()
        answer = staying.answer()
        assert answer == b"c2" or answer.startswith(b"-"), "its final answer, from the process that it is at"
        assert moving.answer().startswith(b"cut off")
        eventually(lambda: old.gone, "the old one ends")
        assert old.process.returncode == 0
