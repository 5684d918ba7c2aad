"""Hand-over between real processes: partly sent replies continue in the next process, byte for byte."""

from __future__ import annotations

import os
import random
import signal
import socket
import struct
import threading
import time
from collections.abc import Callable, Iterator
from contextlib import contextmanager
from pathlib import Path
from typing import Any

import pytest

from benchmarks.platform import Platform, Process, platform
from benchmarks.upgrades import measure
from saltport.admin.client import ask
from saltport.router.relay import VALUE_STALL_TIMEOUT_S
from saltport.wire.memcached import REQUEST_MAGIC, Opcode, Packet, encode
from tests.binary import MEMCACHED_FEATURE, MemcachedClient
from tests.sockets import (
    MISS,
    TIMEOUT_S,
    Client,
    Peer,
    bulk,
    entry,
    eventually,
    free_port,
    get,
    hit,
    http_answer,
    put,
)

LONG = random.Random(7).randbytes(1 << 20)
NOTE = b"\r\n$3\r\nhit\r\n$-1\r\n"


def send_until(
    released: threading.Event, connection: socket.socket, answer: bytes, sent: int, step: int = 1
) -> int:
    """Go on with an answer slowly until it is released; return how many of its bytes are sent.

    Danger: the router treats a server that is silent for VALUE_STALL_TIMEOUT_S as failed, and on a busy
    machine a process takes longer than that to start.
    """
    end = time.monotonic() + TIMEOUT_S
    while not released.wait(VALUE_STALL_TIMEOUT_S / 8):
        assert time.monotonic() < end
        connection.sendall(answer[sent : sent + step])
        sent += step
    return sent


class PausingNode:
    """A node that pauses within each long value after `first` bytes of its answer, until it is released."""

    def __init__(self, first: int = 300 << 10, head: bytes = b"*3\r\n$%d\r\n", tail: bytes = NOTE) -> None:
        self.first, self.released, self.fails = first, threading.Event(), False
        self.peer = Peer(self.serve)
        self._head, self._tail = head, tail

    def serve(self, connection: socket.socket, words: list[bytes]) -> bytes | None:
        if not words[1].startswith(b"long"):
            return hit(words[2])
        answer = self._head % len(LONG) + LONG + self._tail
        sent = self.first
        connection.sendall(answer[:sent])
        # Tests of the last bytes need those that are left.
        step = int(len(answer) - sent > len(LONG) // 2)
        sent = send_until(self.released, connection, answer, sent, step)
        if self.fails:
            raise OSError
        return answer[sent:]


def wait_for_values(process: Process, count: int = 1) -> None:
    eventually(lambda: ask(process.admin, "/stats")["current"] == count, "values are being sent")


def upgrade(cluster: Platform, old: Process) -> Process:
    """Replace a process while a value is being sent; wait until the old one exits, and return the new one."""
    new = cluster.upgrade(old)
    eventually(lambda: old.has_exited, "the old process has exited")
    assert old.process.returncode == 0
    return new


@contextmanager
def value_in_progress(folder: Path) -> Iterator[tuple[PausingNode, Platform, Process, Client]]:
    """A process within a long value: yield its node, the platform, the process and the waiting client."""
    node = PausingNode()
    with platform(folder, {"s1": node.peer}) as cluster:
        old, client = cluster.start().wait_until_healthy(), cluster.client()
        client.send(get("c1", "long"))
        wait_for_values(old)
        yield node, cluster, old, client


def test_value_and_the_pipelined_requests_after_it_continue(tmp_path: Path) -> None:
    node = PausingNode()
    with platform(tmp_path, {"s1": node.peer}) as cluster:
        old = cluster.start().wait_until_healthy()
        client = cluster.client()
        half = get("c3")
        client.send(get("c1", "long") + get("c2", "k2") + half[:20])
        eventually(lambda: len(node.peer.seen) == 2, "both requests reached the node")
        wait_for_values(old)
        new = upgrade(cluster, old)
        wait_for_values(new)
        assert ask(new.admin, "/state")["taken_over"] == 1
        node.released.set()
        client.send(half[20:] + get("c4"))
        answers = [client.answer() for _ in range(4)]
        assert answers == [LONG, b"c2", b"c3", b"c4"]
        assert [words[2] for words in node.peer.seen].count(b"c1") == 1, "no request is sent twice"
        stats = ask(new.admin, "/stats")
        assert (stats["answered"]["get"], stats["errored"]["get"], stats["current"]) == (3, 0, 0)


@pytest.mark.parametrize("lacking", [len(NOTE), len(NOTE) - 1, len(NOTE) - 2, len(NOTE) - 5, 1])
def test_value_at_its_last_bytes(tmp_path: Path, lacking: int) -> None:
    node = PausingNode(first=len(b"*3\r\n$1048576\r\n") + len(LONG) + len(NOTE) - lacking)
    with platform(tmp_path, {"s1": node.peer}) as cluster:
        old = cluster.start().wait_until_healthy()
        client = cluster.client()
        client.send(get("c1", "long") + get("c2"))
        wait_for_values(old)
        new = upgrade(cluster, old)
        node.released.set()
        assert [client.answer(), client.answer()] == [LONG, b"c2"]
        assert ask(new.admin, "/stats")["errored"]["get"] == 0
        accepted = node.peer.accepted
        assert client.ask(get("c3")) == b"c3"
        assert node.peer.accepted == accepted, "the transferred connection is reused for the next request"


def test_value_from_the_origin_continues_on_its_connection(tmp_path: Path) -> None:
    cache, released = Peer(lambda _, words: MISS), threading.Event()

    def serve(connection: socket.socket, message: list[bytes]) -> bytes:
        if b"long" not in message[1]:
            return http_answer(200, b"short")
        answer = http_answer(200, LONG)
        connection.sendall(answer[: 200 << 10])
        return answer[send_until(released, connection, answer, 200 << 10) :]

    origin = Peer(serve, is_http=True)
    with platform(tmp_path, {"s1": cache}) as cluster:
        cluster.discovery.change(entry(cache, "s1"), entry(origin, "origin", "origin"))
        old = cluster.start().wait_until_healthy()
        client = cluster.client()
        client.send(get("c1", "long"))
        wait_for_values(old)
        upgrade(cluster, old)
        released.set()
        assert client.answer() == LONG
        accepted = origin.accepted
        assert client.ask(get("c2")) == b"short"
        assert origin.accepted == accepted
        origin.close()


def test_memcached_value_and_an_incomplete_packet_continue(tmp_path: Path) -> None:
    node, file = PausingNode(), tmp_path / "memcached.toml"
    file.write_text(MEMCACHED_FEATURE.format(port=free_port()).replace("listen", "# listen"))
    with platform(tmp_path, {"s1": node.peer}, arguments=["--with", str(file)]) as cluster:
        old = cluster.start().wait_until_healthy()
        client = MemcachedClient(cluster.port)
        last = encode(Packet(Opcode.GETK, b"k3", opaque=3), REQUEST_MAGIC)
        client.send(Packet(Opcode.GET, b"long", opaque=1), Packet(Opcode.GETQ, b"k2", opaque=2))
        client.socket.sendall(last[:20])
        eventually(lambda: len(node.peer.seen) == 2, "both requests reached the node")
        wait_for_values(old)
        upgrade(cluster, old)
        node.released.set()
        client.socket.sendall(last[20:])
        first, second, third = client.answers(3)
        assert (first.opaque, first.value) == (1, LONG)
        assert (second.opaque, third.opaque, third.key) == (2, 3, b"k3")


def test_several_values_on_one_connection_and_two_upgrades(tmp_path: Path) -> None:
    node = PausingNode()
    with platform(tmp_path, {"s1": node.peer}) as cluster:
        first = cluster.start().wait_until_healthy()
        client = cluster.client()
        client.send(get("c1", "long1") + get("c2", "k") + get("c3", "long2"))
        wait_for_values(first, 2)
        second = upgrade(cluster, first)
        wait_for_values(second, 2)
        third = upgrade(cluster, second)
        wait_for_values(third, 2)
        node.released.set()
        assert [client.answer() for _ in range(3)] == [LONG, b"c2", LONG]


def test_client_that_reads_nothing_receives_all_its_replies_later(tmp_path: Path) -> None:
    node = PausingNode()
    with platform(tmp_path, {"s1": node.peer}) as cluster:
        old = cluster.start().wait_until_healthy()
        client = cluster.client()
        names = [f"long{i}" for i in range(8)]
        client.send(b"".join(get(name, name) for name in names))
        wait_for_values(old, 8)
        node.released.set()
        # The values are buffered in the router: the client's kernel takes far less than eight of them.
        new = upgrade(cluster, old)
        time.sleep(VALUE_STALL_TIMEOUT_S + 1)
        assert [client.answer() for _ in names] == [LONG] * len(names)
        eventually(lambda: ask(new.admin, "/stats")["current"] == 0, "all replies have been sent")


@pytest.mark.parametrize("who", ["server", "client"])
def test_death_of_either_side_after_the_move(tmp_path: Path, who: str) -> None:
    with value_in_progress(tmp_path) as (node, cluster, old, client):
        new = upgrade(cluster, old)
        if who == "client":
            client.socket.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
            client.close()
        else:
            node.fails = True
            node.released.set()
            assert client.answer().startswith(b"cut off")
        wait_for_values(new, 0)
        node.released.set()
        assert ask(new.admin, "/stats")["errored"]["get"] == (who == "server")
        assert cluster.client().ask(get("c2")) == b"c2"


def test_partly_received_write_is_transferred_and_executed_once(tmp_path: Path) -> None:
    value = b"w" * (3 << 20)
    cache = Peer(lambda _, words: hit(b"%d" % len(words[4])))
    with platform(tmp_path, {"s1": cache}, facts={"familyInfo": {}}) as cluster:
        old = cluster.start().wait_until_healthy()
        client = cluster.client()
        command = put("w1", value)
        client.send(command[: 2 << 20])
        eventually(lambda: ask(old.admin, "/state")["connected"] == 1, "the client is connected")
        upgrade(cluster, old)
        client.send(command[2 << 20 :])
        assert client.answer() == b"%d" % len(value)
        assert [words[2] for words in cache.seen].count(b"w1") == 1


def test_connection_stays_in_the_old_process_if_the_successor_dies_before_the_transfer(
    tmp_path: Path,
) -> None:
    with value_in_progress(tmp_path) as (node, cluster, old, client):
        new = cluster.start().wait_until_healthy()
        os.kill(new.process.pid, signal.SIGKILL)
        new.process.communicate(timeout=TIMEOUT_S)
        node.released.set()
        assert client.answer() == LONG
        assert old.is_healthy()


def connect_as_successor(folder: Path, hello: bytes) -> socket.socket:
    """Connect to the running process as a successor of any program version would."""
    link = socket.socket(socket.AF_UNIX, socket.SOCK_SEQPACKET)
    link.settimeout(TIMEOUT_S)
    link.connect(str(folder / "saltport.takeover"))
    if hello:
        link.send(hello)
    return link


@pytest.mark.parametrize("hello", [b"", b"H0", b"H9999", b"Hx"])
def test_successor_of_another_version_receives_only_idle_connections(tmp_path: Path, hello: bytes) -> None:
    node = PausingNode()
    with platform(tmp_path, {"s1": node.peer}) as cluster:
        old = cluster.start().wait_until_healthy()
        busy, idle = cluster.client(), cluster.client()
        busy.send(get("c1", "long"))
        assert idle.ask(get("c2")) == b"c2"
        wait_for_values(old)
        with connect_as_successor(tmp_path, hello) as link:
            assert link.recv(1 << 20)[:1] == b"L"
            old.terminate()
            message, descriptors, _, _ = socket.recv_fds(link, 1 << 20, 8)
            assert (message, len(descriptors)) == (b"C", 1)
            with socket.socket(fileno=descriptors[0]) as given:
                assert given.getpeername() == idle.socket.getsockname()
            node.released.set()
            assert busy.answer() == LONG


def test_rejected_connection_continues_in_the_old_process(tmp_path: Path) -> None:
    with value_in_progress(tmp_path) as (node, _cluster, old, client):
        with connect_as_successor(tmp_path, b"H1") as link:
            assert link.recv(1 << 20)[:1] == b"L"
            old.terminate()
            pieces = b""
            while pieces[-1:] != b"M":
                message, descriptors, _, _ = socket.recv_fds(link, 1 << 20, 8)
                pieces += message[:1]
            for descriptor in descriptors:
                os.close(descriptor)
            assert len(descriptors) == 2
            link.send(b"Nno room")
            node.released.set()
            assert client.answer() == LONG
        assert "rejected a connection: no room" in old.wait_for_exit()


def invalid_messages() -> list[tuple[str, Callable[[socket.socket], Any]]]:
    def send(data: bytes, *, ends: int = 1, plain: bool = False) -> Callable[[socket.socket], Any]:
        def send_message(link: socket.socket) -> None:
            file = os.open(os.devnull, os.O_RDONLY) if plain else -1
            sockets = [socket.socket() for _ in range(ends)]
            given = [file] if plain else [end.fileno() for end in sockets]
            socket.send_fds(link, [data], given)
            for end in sockets:
                end.close()
            if plain:
                os.close(file)

        return send_message

    head = b'{"version":1,"dialect":"resp","carried":true,"command":0,"segments":[]}\n'
    return [
        ("no head", send(b"Mxxxx")),
        ("bytes too many", send(b"M" + head + b"more")),
        ("bytes missing", send(b"M" + head.replace(b'"command":0', b'"command":9'))),
        ("too many descriptors", send(b"M" + head, ends=3)),
        ("no descriptor", send(b"M" + head, ends=0)),
        ("a file", send(b"M" + head, plain=True)),
        ("a dialect nobody speaks", send(b"M" + head.replace(b"resp", b"quic"))),
        ("another version", send(b"M" + head.replace(b":1,", b":2,"))),
    ]


def test_invalid_messages_are_rejected_and_their_descriptors_closed(tmp_path: Path) -> None:
    listener = socket.socket(socket.AF_UNIX, socket.SOCK_SEQPACKET)
    listener.bind(str(tmp_path / "saltport.takeover"))
    listener.listen(1)
    listener.settimeout(TIMEOUT_S)
    peer = Peer(lambda _, words: hit(words[2]))
    with platform(tmp_path, {"s1": peer}) as cluster:
        process = cluster.start()
        link, _ = listener.accept()
        link.settimeout(TIMEOUT_S)
        process.wait_until_healthy()
        assert [link.recv(64), link.recv(64)] == [b"E", b"H1"]
        before = process.descriptors()
        for name, send_message in invalid_messages():
            send_message(link)
            assert link.recv(256)[:1] == b"N", name
        rng = random.Random(11)
        for _ in range(200):
            link.send(b"M" + rng.randbytes(rng.randrange(200)))
            assert link.recv(256)[:1] == b"N"
        socket.send_fds(link, [b"P" + bytes(1000)], [link.fileno()] * 5)
        socket.send_fds(link, [b"?"], [link.fileno()] * 5)
        link.send(b"Mx")
        assert link.recv(256)[:1] == b"N"
        assert process.descriptors() <= before + 1
        assert cluster.client().ask(bulk(b"PING")) == b"+PONG"
        link.close()
    listener.close()


def test_world_writable_folder_is_not_used(tmp_path: Path) -> None:
    tmp_path.chmod(0o777)
    with value_in_progress(tmp_path) as (node, cluster, old, client):
        assert not (tmp_path / "saltport.takeover").exists()
        inner = tmp_path / f"saltport-{os.getuid()}"
        assert inner.stat().st_mode & 0o777 == 0o700
        upgrade(cluster, old)
        node.released.set()
        assert client.answer() == LONG


def test_values_at_mixed_speeds_survive_upgrades_in_a_row() -> None:
    """A short run of `benchmarks.upgrades`."""
    figures = measure(count=2, clients=4, nodes=4, long=24, seed=3)
    assert (figures["cut"], figures["wrong"], figures["doors"]) == (0, 0, 0)
    assert int(str(figures["whole"])) >= 24
