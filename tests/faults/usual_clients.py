"""Usual clients beside a crowd, in a process of their own so that the crowd's own work does not delay them.

`python -m tests.faults.usual_clients PORT SECONDS` prints a line once each client has an answer or has tried
for one, and another line with what all reads ended in, as JSON.
"""

from __future__ import annotations

import asyncio
import json
import sys
import time
from collections import Counter
from collections.abc import AsyncIterator, Sequence
from contextlib import asynccontextmanager
from dataclasses import dataclass, field

import uvloop

from tests.sockets import ROOT, get

DEADLINE_MS = 1200
LATE_S = 0.55
"""After a deadline, from which an answer is lost: half a second (STANDING) and 50 ms of slack."""
USUAL_PAUSE_S = 0.05
USUAL_CLIENTS = 4


@dataclass
class UsualClients:
    """What the reads of usual clients ended in, and how long the answered ones took."""

    outcomes: Counter[str] = field(default_factory=Counter)
    took_s: list[float] = field(default_factory=list)
    lost: list[str] = field(default_factory=list)
    """For each lost read, what became of its attempts, and when."""

    def record(self, answer: bytes, took_s: float, attempts: Sequence[str] = ()) -> None:
        """Count one read by its answer; empty: its connection has ended. `attempts`: a line for each."""
        late = took_s > DEADLINE_MS / 1000 + LATE_S
        kind = {b"$": "served", b"-": "refused" if answer.startswith(b"-BUSY") else "failed"}.get(answer[:1])
        self.outcomes["lost" if late or kind is None else kind] += 1
        self.took_s.append(took_s)
        if late or kind is None:
            self.lost.append(f"{took_s:.3f} s, {answer[:30]!r}: {', '.join(attempts)}")

    @property
    def median_s(self) -> float:
        return sorted(self.took_s)[len(self.took_s) // 2]


Streams = tuple[asyncio.StreamReader, asyncio.StreamWriter]


async def read_answer(reader: asyncio.StreamReader) -> bytes:
    """Return the first line of an answer, and read all of it; empty at the end of the connection."""
    line = await reader.readline()
    if line.startswith(b"$") and not line.startswith(b"$-"):
        await reader.readexactly(int(line[1:]) + 2)
    return line


class UsualClient:
    """A client that keeps a connection, and opens another one if that is closed between two requests."""

    def __init__(self, port: int, name: str, usual: UsualClients) -> None:
        self._port, self._name, self._usual = port, name, usual
        self._streams: Streams | None = None
        self._attempts: list[str] = []
        """How the attempts of the current read ended."""

    async def run(self, seconds: float) -> None:
        """Read one key after another for some seconds."""
        end, number = time.monotonic() + seconds, 0
        while time.monotonic() < end:
            number += 1
            request = get(f"{self._name}-{number}", f"u{self._name}{number % 50}", DEADLINE_MS)
            began = time.monotonic()
            is_kept = self._streams is not None and not self._streams[0].at_eof()
            self._attempts.clear()
            answer = await self._ask(request)
            if not answer and is_kept:
                # The close has crossed a request that was not read (PROTOCOL, "Clients to routers").
                answer = await self._ask(request)
            self._usual.record(answer, time.monotonic() - began, self._attempts)
            await asyncio.sleep(USUAL_PAUSE_S)
        self._close()

    async def _ask(self, request: bytes) -> bytes:
        """Send a request; return the first line of its answer, empty if the connection ends or none comes."""
        began, is_new, end = time.time(), False, "end of the connection"
        try:
            async with asyncio.timeout(DEADLINE_MS / 1000 + LATE_S + 1):
                if self._streams is None or self._streams[0].at_eof():
                    self._close()
                    is_new = True
                    self._streams = await asyncio.open_connection("127.0.0.1", self._port)
                self._streams[1].write(request)
                if answer := await read_answer(self._streams[0]):
                    self._attempts.append(f"answered, sent at {began:.3f}")
                    return answer
        except (OSError, TimeoutError, asyncio.IncompleteReadError) as error:
            end = repr(error)
        which = "new" if is_new else "kept"
        self._attempts.append(f"{end} on a {which} connection at {time.time():.3f}, sent at {began:.3f}")
        self._close()
        return b""

    def _close(self) -> None:
        if self._streams is not None:
            self._streams[1].close()
            self._streams = None


class UsualProcess:
    """The process of the usual clients."""

    def __init__(self, process: asyncio.subprocess.Process) -> None:
        self._process = process

    async def outcome(self) -> UsualClients:
        """Wait for its end; return what the reads ended in."""
        line, _ = await self._process.communicate()
        fields = json.loads(line)
        return UsualClients(Counter(fields["outcomes"]), fields["took_s"], fields["lost"])


@asynccontextmanager
async def usual_clients(port: int, seconds: float) -> AsyncIterator[UsualProcess]:
    """Start usual clients of the router at a port, which read for some seconds; wait for first reads."""
    process = await asyncio.create_subprocess_exec(
        sys.executable,
        "-m",
        "tests.faults.usual_clients",
        str(port),
        str(seconds),
        cwd=ROOT,
        stdout=asyncio.subprocess.PIPE,
    )
    assert process.stdout is not None
    try:
        await process.stdout.readline()
        yield UsualProcess(process)
    finally:
        if process.returncode is None:
            process.kill()
            await process.wait()


async def main(port: int, seconds: float) -> None:
    """Run the usual clients, and print their outcome."""
    usual = UsualClients()
    clients = [UsualClient(port, f"n{number}", usual) for number in range(USUAL_CLIENTS)]
    tasks = [asyncio.create_task(client.run(seconds)) for client in clients]
    while len(usual.took_s) < USUAL_CLIENTS:
        await asyncio.sleep(USUAL_PAUSE_S)
    print(flush=True)
    await asyncio.gather(*tasks)
    print(json.dumps(vars(usual)), flush=True)


if __name__ == "__main__":
    uvloop.run(main(int(sys.argv[1]), float(sys.argv[2])))
