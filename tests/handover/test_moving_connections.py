"""Connections that stayed in a process that was told to end, and ended with it, with all they were owed."""

from __future__ import annotations

from pathlib import Path

import pytest

from benchmarks.platform import platform
from saltport.admin.client import ask
from tests.handover.test_processes import LONG, PausingNode, upgrade, wait_for_values
from tests.sockets import eventually, get


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
