"""Ejection and return of failing servers, observed through the real router and its administration calls."""

from __future__ import annotations

import json
import os
import socket
from pathlib import Path
from typing import Any

from click.testing import CliRunner

from saltport.admin.client import ask
from saltport.cli import cli
from tests.sockets import Peer, RunningRouter, eventually, free_port, get, hit, reset, run_router


def outliers(router: RunningRouter) -> dict[str, Any]:
    state: Any = ask(router.admin, "/state")["outliers"]
    return dict(state)


def read_all(router: RunningRouter, name: str, count: int = 40) -> None:
    client = router.client()
    for i in range(count):
        assert client.ask(get(f"{name}{i}", f"k{i}", d=15_000)) == f"{name}{i}".encode()
    client.close()


def test_dead_server_is_ejected_with_its_reason_and_comes_back_by_a_trial(tmp_path: Path) -> None:
    # Its port stays reserved while it is down: it could come back at one that another test has reserved.
    dying = Peer(lambda _, words: hit(words[2]), port=free_port())
    good = Peer(lambda _, words: hit(words[2]))
    other = Peer(lambda _, words: hit(words[2]))
    with run_router(tmp_path, {"s1": dying, "s2": good, "s3": other}) as router:
        read_all(router, "a", 5)
        assert outliers(router)["ejected"] == 0
        dying.close()  # idle connections stay open and are served; new ones are refused
        dying.handler = lambda connection, _: reset(connection)

        def ejected() -> bool:
            read_all(router, f"b{os.urandom(4).hex()}")
            return bool(outliers(router)["servers"].get("s1", {}).get("state") == "ejected")

        eventually(ejected, "s1 is ejected")
        state = outliers(router)
        assert (state["ejected"], state["panic"]) == (1, False)
        assert "in a row" in (reason := state["servers"]["s1"]["reason"]) or "trial" in reason
        back = Peer(lambda _, words: hit(words[2]), port=dying.port)
        try:

            def returned() -> bool:
                read_all(router, f"c{os.urandom(4).hex()}")
                return bool(outliers(router)["ejected"] == 0 and back.seen)

            eventually(returned, "s1 is back")
            shown = CliRunner().invoke(cli, ["status", "{}:{}".format(*router.admin)])
            assert shown.exit_code == 0, shown.output
            assert "ejected: 0 of 3" in shown.output
            as_json = CliRunner().invoke(cli, ["status", "{}:{}".format(*router.admin), "--json"])
            assert json.loads(as_json.output)["name"] == "n1"
        finally:
            back.close()
    assert not (tmp_path / "n1.sock").exists()


def test_lone_failures_between_answers_eject_nobody(tmp_path: Path) -> None:
    seen = 0

    def flaky(connection: socket.socket, words: list[bytes]) -> bytes:
        nonlocal seen
        seen += 1
        return hit(words[2]) if seen % 4 else reset(connection)

    bad, good = Peer(flaky), Peer(lambda _, words: hit(words[2]))
    with run_router(tmp_path, {"s1": bad, "s2": good}) as router:
        read_all(router, "a", 120)
        assert outliers(router)["ejected"] == 0
        assert len(bad.seen) > 30


def test_routers_own_network_out_leaves_all_servers_in_use(tmp_path: Path) -> None:
    peers = {f"s{i}": Peer(lambda _, words: hit(words[2]), port=free_port()) for i in range(4)}
    origin = Peer(lambda *_: b"HTTP/1.1 500 X\r\nContent-Length: 0\r\n\r\n", is_http=True)
    with run_router(tmp_path, peers, origin) as router:
        read_all(router, "a")
        for peer in peers.values():
            peer.handler = lambda connection, _: reset(connection)
        for peer in peers.values():
            peer.close()
        client = router.client()

        def panics() -> bool:
            for i in range(20):
                client.ask(get(f"b{os.urandom(4).hex()}{i}", f"k{i}"))
            return bool(outliers(router)["panic"])

        eventually(panics, "the router panics")
        assert outliers(router)["ejected"] <= 2
        again = [Peer(lambda _, words: hit(words[2]), port=peer.port) for peer in peers.values()]

        def served() -> bool:
            name = os.urandom(4).hex()
            answers = [client.ask(get(f"{name}{i}", f"k{i}")) for i in range(40)]
            return answers == [f"{name}{i}".encode() for i in range(40)] and not outliers(router)["ejected"]

        eventually(served, "everything is served again")
        for peer in again:
            peer.close()
