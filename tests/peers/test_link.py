"""Peers on real sockets: configuration, disabled peers, replacement of the process, keys, invalid
datagrams, admin calls.
"""

from __future__ import annotations

import asyncio
import json
import socket
import subprocess
import sys
from collections.abc import Awaitable, Callable
from pathlib import Path
from typing import Any

import pytest
from click.testing import CliRunner

from saltport.address import Address
from saltport.admin.client import call
from saltport.cli import cli
from saltport.peers.agent import MembershipEvent
from saltport.peers.formatting import format_report
from saltport.peers.link import PeerLink, PeerPlan
from saltport.router.check import check_file
from saltport.router.config import ConfigError, load_config
from saltport.standins.profile import Profile
from saltport.transport.loop import run_on_router_loop
from tests.sockets import ROOT, Peer, hit, run_router

KEY = b"k" * 32
AGREEMENT_TIMEOUT_S = 30.0


def udp_address() -> Address:
    with socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as bound:
        bound.bind(("127.0.0.1", 0))
        address: Address = bound.getsockname()
        return address


class Trio:
    """Three links on one event loop."""

    def __init__(self) -> None:
        self.addresses = tuple(udp_address() for _ in range(3))
        self.events: dict[str, list[MembershipEvent]] = {}
        self.links: dict[str, PeerLink] = {}

    def link(self, number: int, keys: tuple[bytes, ...] = (KEY,)) -> PeerLink:
        plan = PeerPlan(self.addresses[number], self.addresses, "z", keys)
        name = f"r{number}"
        events = self.events.setdefault(name, [])
        link = PeerLink(asyncio.get_running_loop(), name, plan, number, lambda: 0, events.append)
        self.links[name] = link
        return link

    async def wait_agreed(self, count: int = 3) -> None:
        async with asyncio.timeout(AGREEMENT_TIMEOUT_S):
            while len({link.agent.members.digest for link in self.links.values()}) > 1 or any(
                len(link.agent.members) != count for link in self.links.values()
            ):
                await asyncio.sleep(0.02)


def play(scenario: Callable[[Trio], Awaitable[None]]) -> None:
    async def run() -> None:
        trio = Trio()
        for number in range(3):
            await trio.link(number).open()
        try:
            await trio.wait_agreed()
            await scenario(trio)
        finally:
            for link in trio.links.values():
                await link.close(replaced=True)

    run_on_router_loop(run())


def test_the_next_process_waits_for_the_address_and_takes_the_name() -> None:
    async def scenario(trio: Trio) -> None:
        old = trio.links["r2"]
        new = trio.link(2)
        opening = asyncio.get_running_loop().create_task(new.open())
        await asyncio.sleep(0.3)
        assert not opening.done()  # of two processes of one router side by side, only one is a peer
        await old.close(replaced=True)
        await opening
        async with asyncio.timeout(AGREEMENT_TIMEOUT_S):
            while not any(event.kind == "restarted" for event in trio.events["r0"]):
                await asyncio.sleep(0.02)
        await trio.wait_agreed()
        assert {event.kind for event in trio.events["r0"] if event.name == "r2"} == {"joined", "restarted"}
        assert new.agent.me.start > old.agent.me.start

    play(scenario)


def test_a_drained_router_leaves_and_is_no_death() -> None:
    async def scenario(trio: Trio) -> None:
        await trio.links.pop("r1").close(replaced=False)
        await trio.wait_agreed(2)
        assert [event.kind for event in trio.events["r0"] if event.name == "r1"] == ["joined", "left"]

    play(scenario)


def test_invalid_datagrams_change_nothing_and_are_counted() -> None:
    async def scenario(trio: Trio) -> None:
        with socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as stranger:
            for number in range(3_000):
                stranger.sendto(bytes([1, number % 256]) + bytes(number % 400), trio.addresses[0])
                if not number % 100:
                    await asyncio.sleep(0.01)
        await asyncio.sleep(0.1)
        report = trio.links["r0"].view()
        assert sum(report["dropped"].values()) > 1_000
        assert report["view"]["members"] == 3
        assert report["datagrams"]["sent"] < 1_000  # invalid datagrams are not answered

    play(scenario)


def test_keys_are_changed_while_all_hear_each_other() -> None:
    async def scenario(trio: Trio) -> None:
        new = b"n" * 32
        for keys in ((KEY, new), (new, KEY), (new,)):
            for link in trio.links.values():
                link.use_keys(keys)
                await asyncio.sleep(0.2)
        await trio.wait_agreed()
        assert not any(event.kind == "died" for events in trio.events.values() for event in events)

    play(scenario)


def config(folder: Path, **overrides: Any) -> Path:
    document = Profile().config("r1", "127.0.0.1:1", "127.0.0.1:2", 3)
    document["settings"]["ceilings"]["peers"] = True
    document |= {"peer_listen": "127.0.0.1:7946", "peers": ["127.0.0.1:7946", "127.0.0.1:7947"]} | overrides
    path = folder / "config.json"
    path.write_text(json.dumps(document))
    return path


def features(folder: Path, text: str = "") -> Path:
    (folder / "keys").write_text(KEY.hex())
    path = folder / "peers.toml"
    path.write_text(text or f'[peers]\non = true\nzone = "z"\nkey_file = "{folder}/keys"\n')
    return path


def test_the_plan_comes_from_the_configuration(tmp_path: Path) -> None:
    path, file = config(tmp_path), features(tmp_path)
    plan = load_config({"LB_CONFIG": str(path)}, [file]).peers
    assert plan == PeerPlan(("127.0.0.1", 7946), (("127.0.0.1", 7946), ("127.0.0.1", 7947)), "z", (KEY,))
    assert plan.place == 0
    assert check_file(path, [file]) == []
    assert load_config({"LB_CONFIG": str(path)}).peers is None


@pytest.mark.parametrize(
    ("text", "overrides", "message"),
    [
        ("", {"settings": {**Profile().settings(3)}}, "the settings do not allow routers to talk"),
        ("[peers]\non = true\n", {}, "peers.key_file: must be set"),
        ("[peers]\non = true\nkey_file = '/nowhere/keys'\n", {}, "can't be read"),
        ("", {"peer_listen": None}, "peers.listen: must be set"),
        ("", {"peer_listen": "here"}, "expected HOST:PORT"),
        ("", {"peers": ["nowhere:1"]}, "IPv4 only"),
        ("", {"name": "x" * 33}, "at most 32 characters"),
        ("[peers]\non = 1\n", {}, "expected true or false"),
        ("[peers]\npeers = [1]\n", {}, "expected a list of host:port"),
    ],
)
def test_invalid_configuration_is_reported_in_one_line(
    tmp_path: Path, text: str, overrides: dict[str, Any], message: str
) -> None:
    path, file = config(tmp_path, **overrides), features(tmp_path, text)
    with pytest.raises(ConfigError, match=message) as error:
        load_config({"LB_CONFIG": str(path)}, [file])
    assert "\n" not in str(error.value)
    assert any(message in fault.reason for fault in check_file(path, [file]))


def test_where_it_is_off_nothing_of_it_is_imported() -> None:
    program = (
        "import sys, saltport.lifecycle.process, saltport.simulator.adapter\n"
        "sys.exit(any(name.startswith(('msgspec', 'saltport.peers')) for name in sys.modules))"
    )
    assert subprocess.run([sys.executable, "-c", program], cwd=ROOT, check=False).returncode == 0


def test_a_router_without_peers_says_so(tmp_path: Path) -> None:
    with run_router(tmp_path, {"s1": Peer(lambda _, words: hit(words[1]))}) as router:
        assert call(router.admin, "GET", "/peers") == (200, {"on": False})
        assert call(router.admin, "PUT", "/peers/settle")[0] == 404
        assert call(router.admin, "PUT", "/owners/step-down") == (500, {"error": "owners are off"})
        address = "{}:{}".format(*router.admin)
        for words, status, said in [
            (["peers", address], 0, "peers: off"),
            (["peers", address, "--settle"], 1, "peers are off"),
            (["owners", address], 0, "owners: off"),
            (["owners", address, "--may", "rollout"], 1, "no"),
            (["owners", address, "--transfer", "r2"], 1, "owners are off"),
        ]:
            result = CliRunner().invoke(cli, words)
            assert (result.exit_code, said in result.output) == (status, True), words


def test_the_report_is_shown_as_lines() -> None:
    async def scenario(trio: Trio) -> None:
        await trio.links.pop("r1").close(replaced=False)
        await trio.wait_agreed(2)
        text = "\n".join(format_report({"on": True, **trio.links["r0"].view()}))
        assert "r0 (" in text
        assert "r1: left for" in text
        assert "r2: alive for" in text
        assert "zone z: " in text

    play(scenario)
