"""A voter stops voting while its disk fails, and resumes once the disk works."""

from __future__ import annotations

import asyncio
import errno
import os
from collections.abc import Mapping
from dataclasses import dataclass
from pathlib import Path
from types import SimpleNamespace
from typing import Any, cast

import pytest
import uvloop

from saltport.owners.link import OwnersLink, OwnersPlan
from saltport.owners.settings import OwnerSettings
from saltport.peers.agent import MemberState
from saltport.peers.link import PeerLink
from tests.sockets import TIMEOUT_S

VOTERS = ("a", "b", "c")
FAILS_S = 0.5


class NoServers:
    def trials_due(self) -> Mapping[str, int]:
        return {}

    def hold_trial(self, server: str, until: int) -> None: ...

    def begin_trial(self, server: str) -> None: ...


@dataclass
class Network:
    """Delivers the voters' messages within one event loop."""

    links: dict[str, Any]

    def peers_of(self, name: str) -> PeerLink:
        def send_to(to: str, data: bytes) -> None:
            if to in self.links:
                asyncio.get_running_loop().call_soon(self.links[to]._on_datagram, name, data)

        live = [SimpleNamespace(name=other) for other in VOTERS]
        agent = SimpleNamespace(
            name=name, me=SimpleNamespace(start=1), state=MemberState.MEMBER,
            members=SimpleNamespace(live=lambda: live),
        )  # fmt: skip
        return cast(PeerLink, SimpleNamespace(agent=agent, on_payload=None, send_to=send_to))


async def until(what: str, holds: Any) -> None:
    try:
        async with asyncio.timeout(TIMEOUT_S):
            while not holds():
                await asyncio.sleep(0.01)
    except TimeoutError:
        raise AssertionError(f"never came: {what}") from None


def votes(link: OwnersLink) -> bool:
    return link.member is not None and link.member.raft is not None and not link.trouble


def owned(task: str, links: dict[str, Any]) -> bool:
    return any(link.member is not None and task in link.member.owner_lease.tasks for link in links.values())


@pytest.mark.parametrize("number", [errno.ENOSPC, errno.EIO])
@pytest.mark.parametrize("call", ["write", "fsync"])
@pytest.mark.parametrize("whose", ["the leader's", "a follower's"])
def test_voter_votes_again_once_its_disk_works(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch, whose: str, call: str, number: int
) -> None:
    failing: set[str] = set()
    real: Any = getattr(os, call)

    def fail_if_selected(file: int, *more: Any) -> Any:
        path = os.readlink(f"/proc/self/fd/{file}")
        if any(f"/{name}.voter" in path for name in failing):
            if call == "write":
                real(file, more[0][: len(more[0]) // 2])  # a partial write, as after a kill
            raise OSError(number, os.strerror(number))
        return real(file, *more)

    monkeypatch.setattr(os, call, fail_if_selected)

    async def scenario() -> None:
        network = Network({})
        plan = OwnersPlan(VOTERS, tmp_path, True, ("work",), False, OwnerSettings())
        loop = asyncio.get_running_loop()
        for seed, name in enumerate(VOTERS):
            network.links[name] = OwnersLink(loop, plan, network.peers_of(name), NoServers(), seed)
        links = network.links
        await until("the work has an owner", lambda: owned("work", links))
        leader = next(name for name in VOTERS if links[name].member.coordinator is not None)
        failed = leader if whose == "the leader's" else next(name for name in VOTERS if name != leader)
        failing.add(failed)
        other = next(name for name in VOTERS if name != failed)
        links[other].member.owner_lease.set_wanted(["work", "more"])
        await until("its disk fails", lambda: links[failed].trouble)
        await asyncio.sleep(FAILS_S)
        assert not votes(links[failed])
        failing.clear()
        await until("it votes again", lambda: all(votes(link) for link in links.values()))
        await until("more has an owner", lambda: owned("more", links))
        for link in links.values():
            await link.close()

    uvloop.run(scenario())
