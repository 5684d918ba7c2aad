"""A client is served the value of another request: a second answer meets a connection in use again."""

from __future__ import annotations

import asyncio
import contextlib
import random
import sys
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parent.parent))

import rig

# The classes of `saltport config example`.
CLASSES = [
    {"name": "fetch", "aim": 300, "deadline": 1200, "effect": "retryable"},
    {"name": "yank", "aim": 500, "deadline": 1000, "effect": "dedup", "group": "all", "window": 5000},
    {"name": "publish", "aim": 500, "deadline": 1200, "effect": "dedup", "group": "all", "window": 2500},
]
ONE_WAY_S = 0.004
"""Between two data centres it is 2.8 to 5.2 ms."""
SECOND_AFTER_S, SECOND_SHARE = 0.005, 0.05
"""So much later such a share of the answers comes a second time, if nothing waits on the connection then."""
WORK_S = (0.035, 0.064)
NODES, RATE, SECONDS = 4, 40, 30


class Node(rig.Server):
    """A cache node with one core that holds every key; a value names the request that it was made for."""

    def __init__(self, name: str, record: rig.Record, rng: random.Random) -> None:
        super().__init__()
        self.name, self._record, self._rng = name, record, rng
        self._core = asyncio.Lock()

    async def serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        """Answer the reads of one connection in order."""
        second: asyncio.TimerHandle | None = None
        while (words := await rig.read_command(reader)) is not None:
            if second is not None:
                second.cancel()  # a request waits on the connection: no second answer
            key, name = words[1].decode(), words[2].decode()
            async with self._core:
                await asyncio.sleep(self._rng.uniform(*WORK_S))
            value = f"id={name} key={key} ".encode().ljust(400, b".")
            answer = b"*3\r\n" + rig.bulk(value) + rig.bulk(b"hit") + b"$-1\r\n"
            writer.write(answer)
            if rig.TROUBLE and self._rng.random() < SECOND_SHARE:
                loop = asyncio.get_running_loop()
                second = loop.call_later(SECOND_AFTER_S, self._answer_again, writer, answer, name)

    def _answer_again(self, writer: asyncio.StreamWriter, answer: bytes, name: str) -> None:
        if not writer.is_closing():
            self._record.write("node: second answer, nothing waits", node=self.name, id=name)
            writer.write(answer)


class Origin(rig.Server):
    """The origin; its answers name the request too."""

    async def serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        """Answer the requests of one connection."""
        while (head := await rig.read_head(reader)) is not None:
            _, target, headers = head
            await reader.readexactly(int(headers.get("content-length", "0")))
            await asyncio.sleep(0.05)
            value = f"id={headers['request-id']} key={target[1:]} ".encode()
            writer.write(rig.http_answer(200, value.ljust(400, b".")))


async def play(case: rig.Case) -> int:
    """Read keys at a steady rate, and look for whom each value was made."""
    record, rng = case.record, random.Random(7)
    registry, origin = await case.open(rig.Registry()), await case.open(Origin())
    registry.put("origin-1", origin.address, "origin")
    for number in range(NODES):
        node = await case.open(Node(f"n{number}", record, rng))
        registry.put(
            node.name, (await case.open(rig.DelayProxy(node, ONE_WAY_S))).address, "std-1c", zone="b"
        )
    router = case.router("r1")
    await router.start(registry.address, rig.settings(CLASSES))
    served = 0
    foreign: list[str] = []

    async def read(number: int) -> None:
        nonlocal served
        name, key = f"q{number}", f"item/{rng.randrange(200)}"
        reader, writer = await asyncio.open_connection("127.0.0.1", router.port)
        writer.write(rig.command(b"KV.GET", key.encode(), name.encode(), b"c=fetch,t=public,d=1200"))
        with contextlib.suppress(OSError, asyncio.IncompleteReadError):
            reply = await rig.read_reply(reader)
            made_for = reply[1:40].decode().rstrip(".")
            record.write("client: answer", id=name, key=key, reply=made_for)
            if reply.startswith(b"$"):
                served += 1
                if not made_for.startswith(f"id={name} key={key}"):
                    foreign.append(name)
                    record.write(
                        "client: SERVED A VALUE OF ANOTHER REQUEST", id=name, key=key, reply=made_for
                    )
        writer.close()

    tasks = []
    for number in range(RATE * SECONDS):
        tasks.append(asyncio.ensure_future(read(number)))
        await asyncio.sleep(1 / RATE)
    await asyncio.gather(*tasks)
    record.write("verdict", requests=len(tasks), served=served, foreign=len(foreign), first=foreign[:20])
    return rig.BROKEN if foreign else rig.HELD


if __name__ == "__main__":
    rig.run_case(play, __file__)
