"""Stand-ins, processes and clients for the cases of the second review.

Everything is on 127.0.0.1 and in one event loop; only routers are processes of their own, started with the
line `run` of the deploy file. Nothing here imports the project's code.
"""

from __future__ import annotations

import asyncio
import contextlib
import json
import os
import shutil
import signal
import socket
import sys
import tempfile
import time
import tomllib
from collections.abc import Awaitable, Callable, Sequence
from pathlib import Path
from typing import Any
from urllib.parse import parse_qs, unquote, urlsplit

ROOT = Path(__file__).resolve().parent.parent
TROUBLE = os.environ.get("TROUBLE", "1") != "0"
MS, S = 1_000_000, 1_000_000_000
AS_DESCRIPTOR_4 = """
import os, sys
if sys.argv[1] != "4":
    os.dup2(int(sys.argv[1]), 4)
    os.close(int(sys.argv[1]))
os.set_inheritable(4, True)
os.execv(sys.argv[2], sys.argv[2:])
"""


class CouldNotRunError(Exception):
    """The case could not be played; says nothing about the rule."""


class Record:
    """Writes record.txt: one JSON object a line, with seconds since the start."""

    def __init__(self, folder: Path) -> None:
        self._file = (folder / "record.txt").open("w")
        self._start = time.monotonic()

    def write(self, event: str, **fields: Any) -> None:
        """Write one event."""
        line = {"at": round(time.monotonic() - self._start, 4), "event": event, **fields}
        self._file.write(json.dumps(line) + "\n")
        self._file.flush()


class Registry:
    """Discovery with pushed lists: the whole list, and watches that answer at a change or in time."""

    def __init__(self, record: Record) -> None:
        self.record, self.generation = record, 1
        self.entries: dict[str, dict[str, Any]] = {}
        self._changed = asyncio.Event()
        self.address = ""

    async def open(self) -> None:
        """Listen on a free port."""
        server = await asyncio.start_server(self._serve, "127.0.0.1", 0)
        self.address = f"127.0.0.1:{server.sockets[0].getsockname()[1]}"

    def put(self, name: str, host_port: str, kind: str = "std-1c", **fields: Any) -> None:
        """List a server, or change its entry."""
        entry = {"zone": "lozenets", "cell": 0, "lifecycle": "up", "weight": 1.0, "startedAtMs": 0}
        entry |= {"instanceId": name, "hostPort": host_port, "machineType": kind, **fields}
        if self.entries.get(name) != entry:
            self.entries[name] = entry
            self.generation += 1
            self.record.write("listed", **entry)
            self._changed.set()
            self._changed = asyncio.Event()

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        with contextlib.suppress(OSError, asyncio.IncompleteReadError):
            while True:
                head = await reader.readuntil(b"\r\n\r\n")
                query = parse_qs(urlsplit(head.split()[1].decode()).query)
                index = int(query.get("index", ["-1"])[0])
                wait = int(query.get("wait", ["0"])[0]) / 1000
                instances = list(self.entries.values())
                reset = index != self.generation
                if not reset:
                    with contextlib.suppress(TimeoutError):
                        await asyncio.wait_for(self._changed.wait(), wait)
                    reset = index != self.generation
                    instances = list(self.entries.values()) if reset else []
                body = json.dumps({"generation": self.generation, "reset": reset, "instances": instances})
                writer.write(b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%b" % (len(body), body.encode()))
                await writer.drain()
        writer.close()


def fields_of(info: bytes) -> dict[str, str]:
    """Return the names and values of a request's list."""
    return dict(pair.split("=", 1) for pair in info.decode().split(","))


async def read_command(reader: asyncio.StreamReader) -> list[bytes]:
    """Return the words of one RESP command."""
    count = int((await reader.readuntil(b"\r\n"))[1:])
    words = []
    for _ in range(count):
        size = int((await reader.readuntil(b"\r\n"))[1:])
        words.append((await reader.readexactly(size + 2))[:-2])
    return words


def answer_of(value: bytes | None, note: bytes = b"hit") -> bytes:
    """Return a cache server's answer; None is a miss."""
    shown = b"$-1\r\n" if value is None else b"$%d\r\n%b\r\n" % (len(value), value)
    return b"*3\r\n%b$%d\r\n%b\r\n$-1\r\n" % (shown, len(note), note)


class CacheServer:
    """A cache server; `handle` returns the bytes of the answer to one command, or None for no answer.

    With `rate` it sends so many bytes a second, in pieces of a twentieth of a second.
    """

    def __init__(
        self,
        name: str,
        record: Record,
        handle: Callable[[list[bytes]], Awaitable[bytes | None]],
        rate: int = 0,
    ) -> None:
        self.name, self.record, self._handle, self._piece = name, record, handle, rate // 20
        self.address = ""
        self._answering: set[asyncio.StreamWriter] = set()

    async def open(self) -> None:
        """Listen on a free port."""
        server = await asyncio.start_server(self._serve, "127.0.0.1", 0, limit=8 << 20)
        self.address = f"127.0.0.1:{server.sockets[0].getsockname()[1]}"

    def reset(self) -> None:
        """Reset the connections with an answer under way; the server goes on."""
        for writer in list(self._answering):
            self.record.write("reset", server=self.name)
            writer.transport.abort()

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        with contextlib.suppress(OSError, asyncio.IncompleteReadError):
            while True:
                words = await read_command(reader)
                self.record.write("server got", server=self.name, words=[str(w[:80]) for w in words[:4]])
                answer = await self._handle(words)
                self._answering.add(writer)
                while answer:
                    size = self._piece or len(answer)
                    writer.write(answer[:size])
                    await writer.drain()
                    if answer := answer[size:]:
                        await asyncio.sleep(0.05)
                self._answering.discard(writer)
        self._answering.discard(writer)
        writer.close()


class Origin:
    """The origin over HTTP/1.1; `handle` takes method, key, headers, body and returns status and body."""

    def __init__(
        self,
        record: Record,
        handle: Callable[[str, str, dict[str, str], bytes], Awaitable[tuple[int, bytes] | None]],
    ) -> None:
        self.record, self._handle, self.address = record, handle, ""

    async def open(self) -> None:
        """Listen on a free port."""
        server = await asyncio.start_server(self._serve, "127.0.0.1", 0, limit=8 << 20)
        self.address = f"127.0.0.1:{server.sockets[0].getsockname()[1]}"

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        with contextlib.suppress(OSError, asyncio.IncompleteReadError):
            while True:
                lines = (await reader.readuntil(b"\r\n\r\n")).decode().split("\r\n")
                method, target, _ = lines[0].split()
                pairs = (line.split(":", 1) for line in lines[1:] if ":" in line)
                headers = {name.strip().lower(): value.strip() for name, value in pairs}
                body = await reader.readexactly(int(headers.get("content-length", "0")))
                self.record.write("origin got", method=method, target=target, id=headers.get("request-id"),
                                  info=headers.get("request-info"))  # fmt: skip
                answer = await self._handle(method, unquote(target[1:]), headers, body)
                if answer is None:
                    writer.transport.abort()
                    return
                status, value = answer
                writer.write(b"HTTP/1.1 %d X\r\nContent-Length: %d\r\n\r\n%b" % (status, len(value), value))
                await writer.drain()
        writer.close()


def example_settings(**changes: Any) -> dict[str, Any]:
    """Return settings like those of the site file, under the names of the wire page."""
    settings: dict[str, Any] = {
        "balancers": 3, "me": 0, "membershipMode": "automatic", "weightKind": "none",
        "kinds": ["std-1c", "origin"], "familyInfo": {"mode": "aside", "originKind": 1},
        "feedback": {"how": "none", "fields": []},
        "ceilings": {
            "cancel": True, "dialTimeoutNs": 120 * MS, "idleCloseNs": 10 * S, "maxOpen": 20000,
            "maxRetryAfterNs": 1200 * MS, "mayProbe": True, "mostTries": 4, "peers": False,
            "retryAfter": False, "secondCopies": True, "streamsPerConn": 32,
        },
        "classes": [
            {"name": "fetch", "aimNs": 300 * MS, "giveUpNs": 1200 * MS, "semantics": "retryable"},
            {"name": "yank", "aimNs": 500 * MS, "giveUpNs": 1000 * MS, "semantics": "dedup", "group": "all",
             "dedupWindowNs": 5 * S},
            {"name": "publish", "aimNs": 500 * MS, "giveUpNs": 1200 * MS, "semantics": "dedup",
             "group": "all", "dedupWindowNs": 2500 * MS},
        ],
        "rules": {"coldNs": 8900 * MS, "coldShare": 0.32, "drainGraceNs": 500 * MS, "fallMultiple": 4.0,
                  "fallNs": 2 * S, "graceToAnswerNs": 20 * MS, "askWithinNs": 10 * S},
        "tenants": [{"name": "public", "portion": 0.63, "quotaPerS": 0},
                    {"name": "municipal", "portion": 0.37, "quotaPerS": 0}],
        "failureDomains": ["lozenets", "mladost", "druzhba"], "zone": "lozenets",
    }  # fmt: skip
    return settings | changes


def free_port(kind: int = socket.SOCK_STREAM) -> int:
    """Return a port that was free a moment ago."""
    with socket.socket(socket.AF_INET, kind) as sock:
        sock.bind(("127.0.0.1", 0))
        return int(sock.getsockname()[1])


class Platform:
    """Starts routers as the deploy file says, and ends what it started."""

    def __init__(self, record: Record) -> None:
        self.record = record
        self.folder = Path(tempfile.mkdtemp(prefix="review-"))
        self.run_line = tomllib.loads((ROOT / "deploy/balancer.toml").read_text())["run"]
        self.processes: list[asyncio.subprocess.Process] = []
        self.log = (self.folder / "routers.log").open("w")

    async def start(
        self, config: Path, temporary: Path, listener: socket.socket | None = None, options: str = "",
        **environ: str,
    ) -> asyncio.subprocess.Process:  # fmt: skip
        """Start one router process; `listener` is the platform's socket, inherited as descriptor 4."""
        env = {**os.environ, "LB_CONFIG": str(config), "TMPDIR": str(temporary), **environ}
        words: list[str] = ["/bin/sh", "-c", self.run_line + options]
        passed: tuple[int, ...] = ()
        if listener is not None:
            env["LB_SOCKET_FD"], passed = "4", (listener.fileno(),)
            words = [sys.executable, "-c", AS_DESCRIPTOR_4, str(listener.fileno()), *words]
        process = await asyncio.create_subprocess_exec(
            *words, cwd=ROOT, env=env, pass_fds=passed, stdin=asyncio.subprocess.DEVNULL,
            stdout=self.log, stderr=self.log,
        )  # fmt: skip
        self.processes.append(process)
        self.record.write("router started", pid=process.pid)
        return process

    def signal(self, process: asyncio.subprocess.Process, number: signal.Signals) -> None:
        """Send a signal to a process that this object started."""
        self.record.write("signal", pid=process.pid, signal=number.name)
        if process.returncode is None:
            process.send_signal(number)

    async def close(self) -> None:
        """End all routers, and remove the temporary folder."""
        for process in self.processes:
            if process.returncode is None:
                with contextlib.suppress(ProcessLookupError):
                    process.send_signal(signal.SIGCONT)
                    process.kill()
            await process.wait()
        self.log.close()
        for line in (self.folder / "routers.log").read_text(errors="replace").splitlines()[:400]:
            self.record.write("log", text=line[:300])
        shutil.rmtree(self.folder, ignore_errors=True)


async def call(address: str, method: str, path: str, timeout_s: float = 2.0) -> tuple[int, bytes]:
    """Make one call to a router's second address; status 0: no answer."""
    try:
        async with asyncio.timeout(timeout_s):
            reader, writer = await asyncio.open_connection(*split(address))
            writer.write(f"{method} {path} HTTP/1.1\r\nHost: {address}\r\nContent-Length: 0\r\n\r\n".encode())
            data = await reader.read()
            writer.close()
        head, _, body = data.partition(b"\r\n\r\n")
        return int(head.split()[1]), body
    except (OSError, TimeoutError, IndexError, ValueError):
        return 0, b""


async def until_yes(address: str, timeout_s: float = 20.0) -> None:
    """Wait until a router says yes."""
    end = time.monotonic() + timeout_s
    while (await call(address, "GET", "/healthcheck"))[0] // 100 != 2:
        if time.monotonic() >= end:
            raise CouldNotRunError(f"the router at {address} does not get ready")
        await asyncio.sleep(0.02)


def split(address: str) -> tuple[str, int]:
    """Return host and port."""
    host, port = address.rsplit(":", 1)
    return host, int(port)


def get_command(key: str, name: str, info: str) -> bytes:
    """Return a read."""
    words = ["KV.GET", key, name, info]
    return b"*4\r\n" + b"".join(b"$%d\r\n%b\r\n" % (len(w), w.encode()) for w in words)


def set_command(key: str, name: str, info: str, value: bytes) -> bytes:
    """Return a write."""
    words = [b"KV.SET", key.encode(), name.encode(), info.encode(), value]
    return b"*5\r\n" + b"".join(b"$%d\r\n%b\r\n" % (len(w), w) for w in words)


async def read_answer(reader: asyncio.StreamReader) -> tuple[str, bytes]:
    """Return how a request was answered: served, refused or failed, and the value."""
    line = (await reader.readuntil(b"\r\n"))[:-2]
    if line.startswith(b"$") and not line.startswith(b"$-"):
        value = await reader.readexactly(int(line[1:]) + 2)
        return "served", value[:-2]
    return ("refused" if line.startswith(b"-BUSY") else "failed"), line


def play(case: Callable[[Record], Awaitable[Sequence[str]]], folder: Path) -> None:
    """Play a case that returns what broke the rule, and exit as the review wants it."""
    record = Record(folder)
    try:
        broken = asyncio.run(_within(case, record))
    except (CouldNotRunError, TimeoutError, OSError) as error:
        record.write("could not run", why=repr(error))
        print(f"could not run: {error!r}")
        _exit(2)
    record.write("verdict", trouble=TROUBLE, broken=list(broken))
    for line in broken:
        print(f"BROKEN: {line}")
    print(f"trouble={int(TROUBLE)}: {'broken' if broken else 'held'}")
    _exit(1 if broken else 0)


def _exit(status: int) -> None:
    """Exit at once: the connections of the stand-ins need no orderly end."""
    sys.stdout.flush()
    os._exit(status)


async def _within(case: Callable[[Record], Awaitable[Sequence[str]]], record: Record) -> Sequence[str]:
    async with asyncio.timeout(110):
        return await case(record)
