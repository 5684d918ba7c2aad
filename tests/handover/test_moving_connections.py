"""Connections that stayed in a process that was told to end, and ended with it, with all they were owed."""

from __future__ import annotations

import os
import select
import signal
import socket
import time
from pathlib import Path

import pytest

from benchmarks.platform import Process, platform
from saltport.admin.client import ask
from saltport.handover.exchange import MAX_IN_FLIGHT, NO_DESCRIPTORS, RECORD_LAST, REJECTED
from saltport.handover.record import MAX_VALUES_IN_ONE_MESSAGE, ConnectionRecord, decode
from tests.handover.test_processes import (
    LONG,
    PausingNode,
    connect_as_successor,
    upgrade,
    value_in_progress,
    wait_for_values,
)
from tests.sockets import TIMEOUT_S, Client, Peer, bulk, echo_cache, eventually, get, hit, put


@pytest.mark.parametrize("count", [64, 65, 140])
def test_connection_with_many_values_in_progress_moves(tmp_path: Path, count: int) -> None:
    # Guards against: a connection with over 64 values in progress stayed, and ended unanswered at SIGKILL.
    nodes = {f"s{number}": PausingNode(10 << 10) for number in range(24)}
    caches = {name: node.peer for name, node in nodes.items()}
    with platform(tmp_path, caches, sockets=1024) as cluster:
        old = cluster.start().wait_until_healthy()
        client = cluster.client()
        client.send(b"".join(get(f"c{number}", f"long{number}", 20_000) for number in range(count)))
        eventually(lambda: sum(len(node.peer.seen) for node in nodes.values()) == count, "all are sent")
        wait_for_values(old, count)
        new = upgrade(cluster, old)
        wait_for_values(new, count)
        assert ask(new.admin, "/state")["taken_over"] == 1
        for node in nodes.values():
            node.released.set()
        assert [client.answer() == LONG for _ in range(count)] == [True] * count
        assert ask(new.admin, "/stats")["errored"]["get"] == 0


@pytest.mark.parametrize("limit_mb", [64, 96])
def test_write_that_is_turned_away_as_it_comes_gets_its_answer_in_the_next_process(
    tmp_path: Path, limit_mb: int
) -> None:
    # Guards against: a connection whose command was being discarded stayed, unread, and got no answer.
    size, first = 3 << 20, 100 << 10
    with platform(tmp_path, {"s1": echo_cache()}) as cluster:
        cluster.configuration["limits"]["memory_mb"] = limit_mb
        old = cluster.start().wait_until_healthy()
        clients = [cluster.client() for _ in range(2 * limit_mb // 10)]
        for number, client in enumerate(clients):
            client.send(put(f"w{number}", bytes(size), d=1500)[:first])
        eventually(lambda: ask(old.admin, "/state")["held_bytes"] > size, "some have reserved memory")
        time.sleep(0.8)  # half of the clients' time: the others are being discarded
        upgrade(cluster, old)
        answers = []
        for number, client in enumerate(clients):
            client.send(put(f"w{number}", bytes(size), d=1500)[first:] + bulk(b"PING"))
            answers.append(client.answer())
            assert client.answer() == b"+PONG", "the stream goes on behind the discarded command"
        assert all(answer.startswith((b"-BUSY", b"-ERR")) for answer in answers), answers
        assert sum(answer.startswith(b"-BUSY") for answer in answers) > 0


def test_value_ahead_of_the_end_of_a_stream_moves(tmp_path: Path) -> None:
    # Guards against: a connection that closes behind its answers stayed, and its values were cut off.
    node = PausingNode()
    with platform(tmp_path, {"s1": node.peer}) as cluster:
        old = cluster.start().wait_until_healthy()
        client = cluster.client()
        client.send(get("c1", "long") + get("c2") + b"*no command\r\n" + get("c3"))
        eventually(lambda: len(node.peer.seen) == 2, "both requests reached the node")
        wait_for_values(old)
        new = upgrade(cluster, old)
        wait_for_values(new)
        node.released.set()
        assert [client.answer(), client.answer()] == [LONG, b"c2"]
        assert client.answer().startswith(b"-ERR Protocol error")
        assert client.at_end()
        assert sorted(words[2] for words in node.peer.seen) == [b"c1", b"c2"], "nothing behind the end"


@pytest.mark.parametrize("resumes", [True, False])
def test_value_of_a_drained_process_moves(tmp_path: Path, resumes: bool) -> None:
    # Guards against: a drain marked busy connections to close, and those stayed at the upgrade after it.
    node = PausingNode()
    with platform(tmp_path, {"s1": node.peer}) as cluster:
        old = cluster.start().wait_until_healthy()
        client, idle = cluster.client(), cluster.client()
        assert idle.ask(get("c0")) == b"c0"
        client.send(get("c1", "long") + get("c2"))
        wait_for_values(old)
        assert old.put("/healthcheck/fail") == 200
        assert idle.at_end()
        if resumes:
            assert old.put("/healthcheck/ok") == 200
        new = upgrade(cluster, old)
        wait_for_values(new)
        node.released.set()
        assert [client.answer(), client.answer()] == [LONG, b"c2"]
        assert client.at_end()


def test_answers_that_a_slow_client_has_not_taken_outlive_the_end_of_the_plan(tmp_path: Path) -> None:
    # Guards against: a process that was told to end left once no request was open, with answers unsent.
    value, count = b"v" * 60_000, 100
    with platform(tmp_path, {"s1": Peer(lambda _, words: hit(value))}, sockets=1024) as cluster:
        old, client = cluster.start().wait_until_healthy(), cluster.client()
        client.socket.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 64 << 10)
        client.send(b"".join(get(f"c{number}", f"k{number}") for number in range(count)))
        eventually(lambda: ask(old.admin, "/stats")["answered"]["get"] == count, "all are answered")
        old.terminate()
        time.sleep(3.0)  # over the longest deadline and what the plan adds
        assert [client.answer() == value for _ in range(count)] == [True] * count
        eventually(lambda: old.has_exited, "the process has exited")


def receive_record(link: socket.socket) -> tuple[ConnectionRecord, list[int]]:
    """Receive a record as a process of an earlier version does."""
    data = b""
    while True:
        message, descriptors, _, _ = socket.recv_fds(link, 1 << 20, 65)
        data += message[1:]
        if message[:1] == RECORD_LAST:
            return decode(data, len(descriptors)), descriptors


def close_all(descriptors: list[int]) -> None:
    for descriptor in descriptors:
        os.close(descriptor)


def test_connection_for_which_the_receiver_had_no_descriptors_is_offered_again(tmp_path: Path) -> None:
    # Guards against: one rejection kept a connection in the old process, whatever it was for.
    with (
        value_in_progress(tmp_path) as (node, _cluster, old, client),
        connect_as_successor(tmp_path, b"H1") as link,
    ):
        assert link.recv(1 << 20)[:1] == b"L"
        old.terminate()
        first, descriptors = receive_record(link)
        close_all(descriptors)
        link.send(REJECTED + NO_DESCRIPTORS.encode())
        second, descriptors = receive_record(link)
        assert second.values[0].position.length == first.values[0].position.length
        close_all(descriptors)
        link.send(REJECTED + b"no room")
        node.released.set()
        assert client.answer() == LONG, "it goes on in the old process"


def test_clients_that_find_no_room_at_the_next_process_are_served_by_the_old_one(tmp_path: Path) -> None:
    """Guards against requests that lay unread behind a next process that takes no more connections."""
    beyond = 8
    with platform(tmp_path, {"s1": echo_cache()}) as cluster:
        old = cluster.start().wait_until_healthy()
        clients = [cluster.client() for _ in range(MAX_IN_FLIGHT + beyond)]
        for number, client in enumerate(clients):
            assert client.ask(get(f"a{number}")) == b"a%d" % number
        with connect_as_successor(tmp_path, b"H1") as link:
            assert link.recv(1 << 20)[:1] == b"L"
            old.terminate()
            for _ in range(MAX_IN_FLIGHT):  # none of them is confirmed
                _, descriptors = receive_record(link)
                close_all(descriptors)
            for number, client in enumerate(clients):
                client.send(get(f"b{number}"))
            eventually(lambda: len(readable(clients)) == beyond, "the others are served")
            for client in readable(clients):
                assert client.answer() == b"b%d" % clients.index(client)


def readable(clients: list[Client]) -> list[Client]:
    """Return the clients for which an answer, or the end of the connection, has arrived."""
    sockets, _, _ = select.select([client.socket for client in clients], [], [], 0)
    return [client for client in clients if client.socket in sockets]


def test_no_more_values_begin_than_a_process_of_an_earlier_version_takes_over(tmp_path: Path) -> None:
    # Guards against: a router that knew that its successor takes 64 values let more begin on one connection.
    count = 80
    nodes = {f"s{number}": PausingNode(10 << 10) for number in range(24)}
    with platform(tmp_path, {name: node.peer for name, node in nodes.items()}, sockets=1024) as cluster:
        cluster.configuration["limits"]["memory_mb"] = 1024  # the test counts as a process of the router
        old = cluster.start().wait_until_healthy()
        client = cluster.client()
        with connect_as_successor(tmp_path, b"H1") as link:
            assert link.recv(1 << 20)[:1] == b"L"
            client.send(b"".join(get(f"c{number}", f"long{number}", 20_000) for number in range(count)))
            old.until("current", MAX_VALUES_IN_ONE_MESSAGE)
            assert old.status_value("deferred")["get"] == count - MAX_VALUES_IN_ONE_MESSAGE
            old.terminate()
            record, descriptors = receive_record(link)
            assert len(record.values) == MAX_VALUES_IN_ONE_MESSAGE
            close_all(descriptors)


def kill(process: Process) -> None:
    process.process.send_signal(signal.SIGKILL)
    process.process.communicate(timeout=TIMEOUT_S)


@pytest.mark.parametrize("killed", [1, 2])
def test_value_moves_to_the_process_after_such_that_were_killed(tmp_path: Path, killed: int) -> None:
    # Guards against: the socket of a killed process hid the old one, and nothing moved at the next upgrade.
    with value_in_progress(tmp_path) as (node, cluster, old, client):
        for _ in range(killed):
            kill(cluster.start().wait_until_healthy())
            eventually(lambda: not ask(old.admin, "/state")["shared"], "the old process is alone")
        new = upgrade(cluster, old)
        wait_for_values(new)
        node.released.set()
        assert client.answer() == LONG


def test_process_does_not_listen_in_the_place_of_a_later_one(tmp_path: Path) -> None:
    # Guards against: the first of three processes would hide the third when the second is killed.
    node = PausingNode()
    with platform(tmp_path, {"s1": node.peer}) as cluster:
        first = cluster.start().wait_until_healthy()
        second = cluster.start().wait_until_healthy()
        third = cluster.start().wait_until_healthy()
        eventually(lambda: ask(second.admin, "/state")["shared"], "the processes are linked")
        kill(second)
        eventually(lambda: not ask(first.admin, "/state")["shared"], "the first process is alone")
        first.terminate()
        eventually(lambda: first.has_exited, "the first process has exited")
        client = cluster.client()
        client.send(get("c1", "long"))
        wait_for_values(third)
        fourth = upgrade(cluster, third)
        wait_for_values(fourth)
        node.released.set()
        assert client.answer() == LONG
