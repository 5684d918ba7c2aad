"""Stand-ins and helpers that the cases of the review share: standard library only, loopback addresses only.

The stand-ins follow the protocol page: a registry (discovery), an origin over HTTP/1.1, cache nodes and
clients over RESP2. The router is started by the `run` line of the deploy file, as a process of its own.
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
import traceback
from collections.abc import Awaitable, Callable, Coroutine
from pathlib import Path
from typing import Any

ROOT = Path(__file__).resolve().parent.parent
HELD, BROKEN, NOT_RUN = 0, 1, 2
MS = 1_000_000  # nanoseconds
TROUBLE = os.environ.get("TROUBLE", "1") != "0"


class NotRunError(Exception):
    """The case could not run; the text says why."""


class Record:
    """The record of one run: a JSON object a line, with the milliseconds since the start."""

    def __init__(self, path: Path) -> None:
        self._file = path.open("w", encoding="utf-8")
        self._start = time.monotonic()

    def write(self, event: str, **fields: Any) -> None:
        """Add a line."""
        line = {"ms": round((time.monotonic() - self._start) * 1000, 1), "event": event, **fields}
        self._file.write(json.dumps(line) + "\n")
        self._file.flush()

    def close(self) -> None:
        """Close the file."""
        self._file.close()


def reserve_port() -> tuple[socket.socket, int]:
    """Return a free port, and the socket that keeps it from other processes until it is closed."""
    sock = socket.socket()
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
    sock.bind(("127.0.0.1", 0))
    return sock, sock.getsockname()[1]


class Server:
    """A listening socket on loopback; the connections that it accepts are closed at the end."""

    receive_buffer = 0
    """SO_RCVBUF of the connections; 0: as the kernel has it."""
    segment_bytes = 0
    """The largest segment, as on a network between machines; 0: that of the loopback interface."""

    def __init__(self) -> None:
        self._listener: socket.socket | None = None
        self.awake = asyncio.Event()
        """While this is not set the server hangs: no connection is begun; subclasses read nothing."""
        self.awake.set()
        self._writers: set[asyncio.StreamWriter] = set()
        self._tasks: set[asyncio.Task[None]] = set()
        self.port = 0

    @property
    def address(self) -> str:
        """The address as HOST:PORT."""
        return f"127.0.0.1:{self.port}"

    async def open(self) -> None:
        """Start to listen."""
        self._listener = socket.socket()
        self._listener.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        if self.receive_buffer:
            self._listener.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, self.receive_buffer)
        if self.segment_bytes:
            self._listener.setsockopt(socket.IPPROTO_TCP, socket.TCP_MAXSEG, self.segment_bytes)
        self._listener.bind(("127.0.0.1", self.port))
        self._listener.listen(256)
        self._listener.setblocking(False)
        self.port = self._listener.getsockname()[1]
        self._start(self._accept(self._listener))

    def _start(self, work: Coroutine[Any, Any, None]) -> None:
        task = asyncio.get_running_loop().create_task(work)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    async def _accept(self, listener: socket.socket) -> None:
        loop = asyncio.get_running_loop()
        while True:
            sock, _ = await loop.sock_accept(listener)
            await self.awake.wait()
            reader, writer = await asyncio.open_connection(sock=sock)
            self._start(self._serve(reader, writer))

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self._writers.add(writer)
        try:
            await self.serve(reader, writer)
        except (OSError, asyncio.IncompleteReadError):
            pass
        finally:
            self._writers.discard(writer)
            writer.close()

    async def serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        """Serve one connection."""
        raise NotImplementedError

    async def close(self) -> None:
        """Stop listening and end all connections."""
        tasks = list(self._tasks)
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)
        if self._listener is not None:
            self._listener.close()
        for writer in list(self._writers):
            writer.transport.abort()


def reset(writer: asyncio.StreamWriter) -> None:
    """Reset a connection, as a process that dies does."""
    sock = writer.get_extra_info("socket")
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, b"\x01\x00\x00\x00\x00\x00\x00\x00")
    writer.transport.abort()


class DelayProxy(Server):
    """Passes bytes on to a server and back, each some time later, as between two data centres."""

    def __init__(self, target: Server, delay_s: float) -> None:
        super().__init__()
        self._target, self._delay_s = target, delay_s

    async def _pass_on(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        loop = asyncio.get_running_loop()
        while data := await reader.read(64 << 10):
            loop.call_later(self._delay_s, writer.write, data)
        await asyncio.sleep(self._delay_s)
        writer.close()

    async def serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        """Connect to the server, and pass on what comes on either side until both have ended."""
        there, back = await asyncio.open_connection("127.0.0.1", self._target.port)
        try:
            await asyncio.gather(self._pass_on(reader, back), self._pass_on(there, writer))
        finally:
            back.close()


async def read_head(reader: asyncio.StreamReader) -> tuple[str, str, dict[str, str]] | None:
    """Read the head of an HTTP request: method, target and headers; None at the end of the connection."""
    try:
        head = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1")
    except asyncio.IncompleteReadError:
        return None
    first, *lines = head[:-4].split("\r\n")
    method, target, _ = first.split(" ", 2)
    headers = {}
    for line in lines:
        name, _, value = line.partition(":")
        headers[name.strip().lower()] = value.strip()
    return method, target, headers


def http_answer(status: int, body: bytes, extra: str = "") -> bytes:
    """Return a whole HTTP answer."""
    return f"HTTP/1.1 {status} X\r\nContent-Length: {len(body)}\r\n{extra}\r\n".encode() + body


class Registry(Server):
    """Discovery with pushed lists, as one router's agent has them."""

    def __init__(self) -> None:
        super().__init__()
        self._generation = 0
        self._entries: dict[str, tuple[int, dict[str, Any]]] = {}
        self._changed = asyncio.Event()

    def put(self, name: str, address: str, kind: str, lifecycle: str = "up", zone: str = "a") -> None:
        """List a server, or change its entry; `removed` takes it from the list."""
        entry = {
            "instanceId": name, "hostPort": address, "zone": zone, "machineType": kind, "cell": 0,
            "lifecycle": lifecycle, "weight": 1.0, "startedAtMs": 0,
        }  # fmt: skip
        self._generation += 1
        self._entries[name] = self._generation, entry
        changed, self._changed = self._changed, asyncio.Event()
        changed.set()

    def _answer(self, since: int | None) -> bytes:
        full = since is None or since > self._generation
        entries = [
            entry
            for version, entry in self._entries.values()
            if (entry["lifecycle"] != "removed" if full else version > (since or 0))
        ]
        body = {"generation": self._generation, "reset": full, "instances": entries}
        return http_answer(200, json.dumps(body).encode(), "Content-Type: application/json\r\n")

    async def serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        """Answer calls for the whole list, and watches."""
        while (head := await read_head(reader)) is not None:
            _, _, query = head[1].partition("?")
            fields = dict(part.split("=", 1) for part in query.split("&") if part)
            since = int(fields["index"]) if "index" in fields else None
            wait_s = min(int(fields.get("wait", "0")), 60_000) / 1000
            if since is not None and since == self._generation and wait_s:
                with contextlib.suppress(TimeoutError):
                    await asyncio.wait_for(self._changed.wait(), wait_s)
            writer.write(self._answer(since))
            await writer.drain()


def parse_info(info: str) -> dict[str, str]:
    """Return the names and values of a request's list."""
    return dict(part.split("=", 1) for part in info.split(","))


async def read_command(reader: asyncio.StreamReader) -> list[bytes] | None:
    """Read a RESP command, an array of bulk strings; None at the end of the connection."""
    try:
        line = await reader.readuntil(b"\r\n")
    except asyncio.IncompleteReadError:
        return None
    words = []
    for _ in range(int(line[1:])):
        size = int((await reader.readuntil(b"\r\n"))[1:])
        words.append((await reader.readexactly(size + 2))[:-2])
    return words


def command(*words: bytes) -> bytes:
    """Return an encoded RESP command."""
    return b"*%d\r\n" % len(words) + b"".join(b"$%d\r\n%b\r\n" % (len(word), word) for word in words)


def bulk(value: bytes | None) -> bytes:
    """Return a RESP bulk string, null for None."""
    return b"$-1\r\n" if value is None else b"$%d\r\n%b\r\n" % (len(value), value)


async def read_reply(reader: asyncio.StreamReader) -> bytes:
    """Read one answer of a router: the bulk string's value, or the line with its type byte.

    Raises IncompleteReadError or OSError if the connection ends before the answer is whole.
    """
    line = await reader.readuntil(b"\r\n")
    if line[:1] == b"$" and not line.startswith(b"$-1"):
        return b"$" + (await reader.readexactly(int(line[1:]) + 2))[:-2]
    return line[:-2]


def settings(classes: list[dict[str, Any]], attempts: int = 4) -> dict[str, Any]:
    """Return the settings of a small deployment; each class has `name` and times in milliseconds."""
    return {
        "balancers": 1,
        "ceilings": {
            "mostTries": attempts, "retryAfter": False, "mayProbe": True, "secondCopies": True,
            "dialTimeoutNs": 250 * MS, "idleCloseNs": 10_000 * MS, "maxOpen": 20_000, "peers": False,
            "cancel": True,
        },
        "classes": [
            {
                "name": each["name"], "aimNs": each["aim"] * MS, "giveUpNs": each["deadline"] * MS,
                "semantics": each["effect"], "group": each.get("group", "all"),
                "dedupWindowNs": each.get("window", 0) * MS, "streamed": False, "worth": 1.0,
                "lateValue": 0.3,
            }
            for each in classes
        ],
        "familyInfo": {"mode": "aside", "originKind": 1},
        "feedback": {"fields": [], "how": "none"},
        "kinds": ["std-1c", "origin"],
        "membershipMode": "automatic",
        "rules": {
            "coldShare": 0.32, "coldNs": 8_900 * MS, "drainGraceNs": 500 * MS, "fallMultiple": 4.0,
            "fallNs": 2_000 * MS, "graceToAnswerNs": 20 * MS, "askWithinNs": 10_000 * MS,
        },
        "tenants": [{"name": "public", "portion": 1.0, "quotaPerS": 0.0}],
        "weightKind": "none", "zone": "a", "failureDomains": ["a"], "me": 0,
    }  # fmt: skip


class Router:
    """One router process, started by the `run` line of the deploy file."""

    def __init__(self, name: str, folder: Path, record: Record) -> None:
        self.name, self._record = name, record
        self.folder = folder / name
        (self.folder / "tmp").mkdir(parents=True)
        self._reserved, self.port = reserve_port()
        self._admin_reserved, self.admin_port = reserve_port()
        self.process: asyncio.subprocess.Process | None = None

    async def start(self, discovery: str, facts: dict[str, Any], features: str = "") -> None:
        """Start the process and wait until it answers PING with +PONG."""
        config = {
            "name": self.name, "listen": f"127.0.0.1:{self.port}", "discovery": discovery,
            "seed": "8c1f30d27a5be964", "limits": {"cores": 1.0, "memory_mb": 192, "sockets": 1024},
            "admin_addr": f"127.0.0.1:{self.admin_port}", "settings": facts,
        }  # fmt: skip
        path = self.folder / "config.json"
        path.write_text(json.dumps(config, indent=1))
        run = tomllib.loads((ROOT / "deploy" / "balancer.toml").read_text())["run"]
        if features:
            (self.folder / "features.toml").write_text(features)
            run += f" --with {self.folder / 'features.toml'}"
        environ = {name: value for name, value in os.environ.items() if not name.startswith("LB_")}
        environ |= {
            "LB_CONFIG": str(path), "LB_NAME": self.name, "LB_LISTEN": config["listen"],
            "LB_DISCOVERY": discovery, "LB_ADMIN_ADDR": config["admin_addr"],
            "TMPDIR": str(self.folder / "tmp"), "PYTHONDONTWRITEBYTECODE": "1",
        }  # fmt: skip
        with (self.folder / "log").open("wb") as log:
            self.process = await asyncio.create_subprocess_exec(
                "/bin/sh", "-c", run, cwd=ROOT, env=environ, stdin=asyncio.subprocess.DEVNULL, stdout=log,
                stderr=log,
            )  # fmt: skip
        self._record.write("router started", name=self.name, run=run, pid=self.process.pid)
        end = time.monotonic() + 30
        while time.monotonic() < end and self.process.returncode is None:
            with contextlib.suppress(OSError, asyncio.IncompleteReadError):
                reader, writer = await asyncio.open_connection("127.0.0.1", self.port)
                writer.write(command(b"PING"))
                reply = await read_reply(reader)
                writer.close()
                if reply == b"+PONG":
                    self._record.write("router ready", name=self.name)
                    return
            await asyncio.sleep(0.05)
        raise NotRunError(f"router {self.name} is not ready: {self.log()[-2000:]}")

    def log(self) -> str:
        """Return what the router has logged."""
        return (self.folder / "log").read_text(errors="replace")

    async def end(self) -> None:
        """End the process with SIGTERM, and with SIGKILL if it is still there 6 s later."""
        self._reserved.close()
        self._admin_reserved.close()
        if self.process is None:
            return
        if self.process.returncode is None:
            self.process.send_signal(signal.SIGTERM)
            try:
                await asyncio.wait_for(self.process.wait(), 6)
            except TimeoutError:
                self.process.kill()
                await self.process.wait()
        for line in self.log().splitlines()[-60:]:
            self._record.write("router log", name=self.name, line=line)
        self._record.write("router ended", name=self.name, status=self.process.returncode)


class Case:
    """The folder, the record and all that a case has opened, for `run_case`."""

    def __init__(self, folder: Path, record: Record) -> None:
        self.folder, self.record = folder, record
        self._opened: list[Callable[[], Awaitable[None]]] = []

    async def open(self, server: Any) -> Any:
        """Open a stand-in and close it at the end."""
        await server.open()
        self._opened.append(server.close)
        return server

    def router(self, name: str) -> Router:
        """Return a router that is ended at the end."""
        router = Router(name, self.folder, self.record)
        self._opened.append(router.end)
        return router

    async def close(self) -> None:
        """End all that was opened, the latest first."""
        while self._opened:
            await self._opened.pop()()


def run_case(play: Callable[[Case], Awaitable[int]], script: str, limit_s: float = 110.0) -> None:
    """Run a case, write its record beside its script, and exit with its status."""
    record = Record(Path(script).resolve().parent / "record.txt")
    folder = Path(tempfile.mkdtemp(prefix="review-"))

    async def main() -> int:
        case = Case(folder, record)
        try:
            return await asyncio.wait_for(play(case), limit_s)
        finally:
            await case.close()

    status = NOT_RUN
    try:
        record.write("case", trouble=TROUBLE)
        status = asyncio.run(main())
    except NotRunError as error:
        record.write("could not run", why=str(error))
    except Exception:
        record.write("could not run", why=traceback.format_exc())
    finally:
        record.write("end", status=status)
        record.close()
        shutil.rmtree(folder, ignore_errors=True)
    sys.exit(status)
