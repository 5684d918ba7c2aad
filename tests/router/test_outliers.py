"""Servers that die, break and come back, seen through the real router and its admin socket."""

from __future__ import annotations

import json
import os
import socket
import stat
from contextlib import suppress
from pathlib import Path
from typing import Any

import pytest
from click.testing import CliRunner

from saltport.cli import cli
from saltport.router import admin
from tests.sockets import PATIENCE_S, Peer, Routed, eventually, get, hit, reset, routed, start_router


def with_admin(folder: Path) -> list[str]:
    path = folder / "admin.toml"
    path.write_text(f'[admin]\nsocket = "{folder}/{{name}}.sock"\n')
    return ["--with", str(path)]


def outliers(folder: Path) -> dict[str, Any]:
    told: Any = admin.ask(folder / "n1.sock", "state")["outliers"]
    return dict(told)


def read_all(router: Routed, name: str, count: int = 40) -> None:
    client = router.client()
    for i in range(count):
        assert client.ask(get(f"{name}{i}", f"k{i}", d=15_000)) == f"{name}{i}".encode()
    client.close()


def test_dead_server_is_ejected_with_its_reason_and_comes_back_by_a_trial(tmp_path: Path) -> None:
    dying, good = Peer(lambda _, words: hit(words[2])), Peer(lambda _, words: hit(words[2]))
    other = Peer(lambda _, words: hit(words[2]))
    with routed(tmp_path, {"s1": dying, "s2": good, "s3": other}, more=with_admin(tmp_path)) as router:
        read_all(router, "a", 5)
        assert outliers(tmp_path)["ejected"] == 0
        dying.close()  # idle connections stay and are served; new ones are refused
        dying.handler = lambda connection, _: reset(connection)

        def ejected() -> bool:
            read_all(router, f"b{os.urandom(4).hex()}")
            return bool(outliers(tmp_path)["servers"].get("s1", {}).get("standing") == "ejected")

        eventually(ejected, "s1 is ejected")
        told = outliers(tmp_path)
        assert (told["ejected"], told["panic"]) == (1, False)
        assert "in a row" in (reason := told["servers"]["s1"]["reason"]) or "trial" in reason
        back = Peer(lambda _, words: hit(words[2]), port=dying.port)
        try:

            def returned() -> bool:
                read_all(router, f"c{os.urandom(4).hex()}")
                return bool(outliers(tmp_path)["ejected"] == 0 and back.seen)

            eventually(returned, "s1 is back")
            shown = CliRunner().invoke(cli, ["status", str(tmp_path / "n1.sock")])
            assert shown.exit_code == 0, shown.output
            assert "ejected: 0 of 3" in shown.output
            as_json = CliRunner().invoke(cli, ["status", str(tmp_path / "n1.sock"), "--json"])
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
    with routed(tmp_path, {"s1": bad, "s2": good}, more=with_admin(tmp_path)) as router:
        read_all(router, "a", 120)
        assert outliers(tmp_path)["ejected"] == 0
        assert len(bad.seen) > 30


def test_routers_own_network_out_leaves_all_servers_in_use(tmp_path: Path) -> None:
    peers = {f"s{i}": Peer(lambda _, words: hit(words[2])) for i in range(4)}
    origin = Peer(lambda *_: b"HTTP/1.1 500 X\r\nContent-Length: 0\r\n\r\n", is_http=True)
    with routed(tmp_path, peers, origin, more=with_admin(tmp_path)) as router:
        read_all(router, "a")
        for peer in peers.values():
            peer.handler = lambda connection, _: reset(connection)
        for peer in peers.values():
            peer.close()
        client = router.client()

        def panics() -> bool:
            for i in range(20):
                client.ask(get(f"b{os.urandom(4).hex()}{i}", f"k{i}"))
            return bool(outliers(tmp_path)["panic"])

        eventually(panics, "the router panics")
        assert outliers(tmp_path)["ejected"] <= 2
        again = [Peer(lambda _, words: hit(words[2]), port=peer.port) for peer in peers.values()]

        def served() -> bool:
            name = os.urandom(4).hex()
            answers = [client.ask(get(f"{name}{i}", f"k{i}")) for i in range(40)]
            return answers == [f"{name}{i}".encode() for i in range(40)] and not outliers(tmp_path)["ejected"]

        eventually(served, "everything is served again")
        for peer in again:
            peer.close()


def test_admin_socket_answers_bad_questions_and_is_the_owners_alone(tmp_path: Path) -> None:
    cache = Peer(lambda _, words: hit(words[2]))
    with routed(tmp_path, {"s1": cache}, more=with_admin(tmp_path)) as router:
        path = tmp_path / "n1.sock"
        assert stat.S_IMODE(path.stat().st_mode) == 0o600
        with socket.socket(socket.AF_UNIX) as caller:
            caller.settimeout(PATIENCE_S)
            caller.connect(str(path))
            stream = caller.makefile("rwb")
            for question in (b"what?\n", b"3\n", b'{"ask": "nothing"}\n', b'{"ask": ["state"]}\n'):
                stream.write(question)
                stream.flush()
                assert "there are state" in json.loads(stream.readline())["error"]
        with socket.socket(socket.AF_UNIX) as caller:
            caller.settimeout(PATIENCE_S)
            caller.connect(str(path))
            with suppress(BrokenPipeError, ConnectionResetError):
                caller.sendall(b"x" * 100_000)
                assert caller.recv(1) == b""
        crowd = [socket.socket(socket.AF_UNIX) for _ in range(admin.MAX_ASKING + 3)]
        for caller in crowd:
            caller.settimeout(PATIENCE_S)
            caller.connect(str(path))
        with suppress(ConnectionResetError):
            assert crowd[-1].recv(1) == b""  # one too many
        assert router.client().ask(get("r1")) == b"r1"
        for caller in crowd:
            caller.close()
        eventually(lambda: reachable(path), "room for one again")


def reachable(path: Path) -> bool:
    try:
        return bool(admin.ask(path, "state")["ready"])
    except (OSError, ValueError):
        return False


def test_socket_left_by_a_dead_router_is_replaced_and_another_file_is_not(tmp_path: Path) -> None:
    path = tmp_path / "n1.sock"
    with socket.socket(socket.AF_UNIX) as old:
        old.bind(str(path))
    cache = Peer(lambda _, words: hit(words[2]))
    with routed(tmp_path, {"s1": cache}, more=with_admin(tmp_path)) as router:
        assert reachable(path)
        told = router.told()
        second = start_router(tmp_path, {**told, "listen": "127.0.0.1:1"}, with_admin(tmp_path))
        _, log = second.communicate(timeout=PATIENCE_S)
        assert (second.returncode, "belongs to another router" in log) == (1, True)
        assert reachable(path)
    path.write_text("mine")
    third = start_router(tmp_path, told, with_admin(tmp_path))
    _, log = third.communicate(timeout=PATIENCE_S)
    assert third.returncode == 1
    assert log.splitlines()[-1].startswith("saltport: admin.socket")
    assert "Traceback" not in log
    assert path.read_text() == "mine"


@pytest.mark.parametrize("path", ["relative.sock", "/" + "x" * 108])
def test_status_of_nobody_is_told_plainly(path: str, tmp_path: Path) -> None:
    shown = CliRunner().invoke(cli, ["status", path])
    assert shown.exit_code == 1
    assert "Traceback" not in shown.output
