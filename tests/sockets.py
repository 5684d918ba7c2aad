"""Scripted servers on loopback sockets, and the real router as a process started as by the deploy file."""

from __future__ import annotations

import json
import os
import signal
import socket
import subprocess
import sys
import threading
import time
from collections.abc import Callable, Iterator, Sequence
from contextlib import contextmanager, suppress
from pathlib import Path
from typing import Any
from weakref import WeakSet

from saltport.address import Address, parse_address
from saltport.admin.client import ask, call, server_path
from saltport.harness import reserve_port

ROOT = Path(__file__).resolve().parent.parent
TIMEOUT_S = 20.0  # generous for a busy machine; no single step is expected to take long

FACTS: dict[str, Any] = {
    "balancers": 1,
    "ceilings": {
        "mostTries": 4,
        "retryAfter": True,
        "maxRetryAfterNs": 10**9,
        "dialTimeoutNs": 500_000_000,
        "idleCloseNs": 10**10,
        "maxOpen": 1000,
    },
    "classes": [
        {"name": "get", "aimNs": 10**9, "giveUpNs": 2 * 10**9, "semantics": "retryable"},
        {"name": "put", "aimNs": 10**9, "giveUpNs": 2 * 10**9, "semantics": "dedup", "dedupWindowNs": 10**9},
        {"name": "once", "aimNs": 10**9, "giveUpNs": 2 * 10**9, "semantics": "fragile"},
    ],
    "familyInfo": {"mode": "aside", "originKind": 1},
    "feedback": {"fields": ["latency_ms", "queue"], "how": "answers"},
    "kinds": ["std", "origin"],
    "membershipMode": "automatic",
    "tenants": [{"name": "acme", "portion": 1.0}],
}


_reserved: list[socket.socket] = []


def free_port() -> int:
    """Return a free port for a process to be started; it stays reserved, so no other process is given it."""
    reserved = reserve_port()
    _reserved.append(reserved)
    return int(reserved.getsockname()[1])


def eventually(check: Callable[[], Any], what: str) -> Any:
    """Wait until `check` returns a true value, and return it; `what` describes it in the failure message."""
    end = time.monotonic() + TIMEOUT_S
    while time.monotonic() < end:
        if result := check():
            return result
        time.sleep(0.01)
    raise AssertionError(f"timed out waiting: {what}")


def bulk(*words: bytes) -> bytes:
    """Encode a RESP command: an array of bulk strings."""
    return b"*%d\r\n" % len(words) + b"".join(b"$%d\r\n%b\r\n" % (len(w), w) for w in words)


def get(request_id: str, key: str = "k", d: int = 5000, more: str = "") -> bytes:
    return bulk(b"KV.GET", key.encode(), request_id.encode(), f"c=get,t=acme,d={d}{more}".encode())


def put(request_id: str, value: bytes = b"v", cls: str = "put", d: int = 5000) -> bytes:
    return bulk(b"KV.SET", b"k", request_id.encode(), f"c={cls},t=acme,d={d},k=5c".encode(), value)


def hit(value: bytes) -> bytes:
    """Encode a cache server's answer with this value."""
    return b"*3\r\n$%d\r\n%b\r\n$3\r\nhit\r\n$22\r\nlatency_ms=1.5,queue=2\r\n" % (len(value), value)


def echo_cache() -> Peer:
    """Return a cache server that answers each read with the request id as value."""
    return Peer(lambda _, words: hit(words[2]))


def echo_cache_with_slow_key(release: threading.Event) -> Peer:
    """Return an `echo_cache` that answers reads of the key `slow` only once `release` is set."""

    def serve(_: socket.socket, words: list[bytes]) -> bytes:
        if words[1] == b"slow":
            release.wait(TIMEOUT_S)
        return hit(words[2])

    return Peer(serve)


MISS = b"*3\r\n$-1\r\n$4\r\nmiss\r\n$-1\r\n"


def http_answer(status: int, body: bytes = b"", *headers: str) -> bytes:
    """Encode an HTTP response of the origin or of discovery."""
    lines = "".join(f"{line}\r\n" for line in headers)
    return f"HTTP/1.1 {status} X\r\nContent-Length: {len(body)}\r\n{lines}\r\n".encode() + body


Handler = Callable[[socket.socket, list[bytes]], bytes | None]


class Peer:
    """A server on loopback with a thread for each connection and a handler that answers each message.

    The handler gets the connection and the words of the message (of a RESP command, or of an HTTP request:
    method, target, head, body). It returns the answer, or None if it has answered by itself.
    """

    def __init__(self, handler: Handler, is_http: bool = False, port: int = 0) -> None:
        self.handler, self._http = handler, is_http
        self.seen: list[list[bytes]] = []
        self.accepted = 0
        self._listener = socket.create_server(("127.0.0.1", port))
        self.port = int(self._listener.getsockname()[1])
        threading.Thread(target=self._accept, daemon=True).start()

    def _accept(self) -> None:
        while True:
            try:
                connection, _ = self._listener.accept()
            except OSError:
                return
            self.accepted += 1
            threading.Thread(target=self._serve, args=(connection,), daemon=True).start()

    def _serve(self, connection: socket.socket) -> None:
        stream = connection.makefile("rb")
        try:
            while message := (self._http_message(stream) if self._http else self._command(stream)):
                self.seen.append(message)
                answer = self.handler(connection, message)
                if answer is not None:
                    connection.sendall(answer)
        except (OSError, ValueError):
            pass
        finally:
            stream.close()
            connection.close()

    @staticmethod
    def _command(stream: Any) -> list[bytes]:
        head = stream.readline()
        words = []
        for _ in range(int(head[1:] or b"0") if head else 0):
            size = int(stream.readline()[1:])
            words.append(stream.read(size + 2)[:-2])
        return words

    @staticmethod
    def _http_message(stream: Any) -> list[bytes]:
        method, _, target = stream.readline().partition(b" ")
        head = b""
        while (line := stream.readline()) not in (b"\r\n", b""):
            head += line
        length = [
            int(line.split(b":")[1]) for line in head.splitlines() if line.startswith(b"Content-Length")
        ]
        body = stream.read(length[0]) if length else b""
        return [method, target.split(b" ")[0], head, body] if method else []

    def close(self) -> None:
        with suppress(OSError):  # closed before
            # Otherwise the thread blocked in accept would take one more connection.
            self._listener.shutdown(socket.SHUT_RDWR)
        self._listener.close()


def reset(connection: socket.socket) -> bytes:
    """Reset a connection with RST, as the kernel does for a process that dies with unread data."""
    connection.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, b"\x01\x00\x00\x00\x00\x00\x00\x00")
    connection.shutdown(socket.SHUT_RD)
    raise OSError("reset")


def entry(peer: Peer, name: str, kind: str = "std", lifecycle: str = "up") -> dict[str, Any]:
    """Return the discovery entry of an instance at this server's address."""
    return {
        "instanceId": name,
        "hostPort": f"127.0.0.1:{peer.port}",
        "zone": "a",
        "machineType": kind,
        "cell": 0,
        "lifecycle": lifecycle,
        "weight": 1.0,
        "startedAtMs": 0,
    }


class DiscoveryPeer:
    """The discovery agent: serves the given list of instances, and each later change to watching requests."""

    def __init__(self, instances: list[dict[str, Any]]) -> None:
        self.generation, self.instances = 1, instances
        self.changed = threading.Condition()
        self.raw_answer: bytes | None = None
        self.peer = Peer(self._answer, is_http=True)

    def change(self, *entries: dict[str, Any]) -> None:
        """Replace the list of instances and notify watching requests."""
        with self.changed:
            self.generation += 1
            self.instances = list(entries)
            self.changed.notify_all()

    def _answer(self, _: socket.socket, message: list[bytes]) -> bytes:
        target = message[1].decode()
        if self.raw_answer is not None:
            return self.raw_answer
        with self.changed:
            is_full = "index=" not in target
            if not is_full:
                index = int(target.split("index=")[1].split("&")[0])
                self.changed.wait_for(lambda: self.generation != index, timeout=2)
                entries = self.instances if self.generation != index else []
            body = {
                "generation": self.generation,
                "reset": is_full,
                "instances": self.instances if is_full else entries,
            }
        return http_answer(200, json.dumps(body).encode())


class Client:
    """A client connection whose reads time out after TIMEOUT_S."""

    def __init__(self, port: int) -> None:
        self.socket = socket.create_connection(("127.0.0.1", port), timeout=TIMEOUT_S)
        self.stream = self.socket.makefile("rb")

    def send(self, data: bytes) -> None:
        self.socket.sendall(data)

    def answer(self) -> bytes:
        """Read one answer: the bytes of a bulk string, or any other line as received; b"" at the end."""
        line: bytes = self.stream.readline()
        if line.startswith(b"$"):
            size = int(line[1:])
            value: bytes = self.stream.read(size + 2)
            return value[:-2] if len(value) == size + 2 else b"cut off after %d" % len(value)
        return line.strip()

    def ask(self, data: bytes) -> bytes:
        """Send bytes and read one answer."""
        self.send(data)
        return self.answer()

    def at_end(self) -> bool:
        """Whether the router closes the connection without sending any more bytes."""
        try:
            return self.stream.read(1) == b""
        except ConnectionResetError:
            return True

    def close(self) -> None:
        self.stream.close()
        self.socket.close()

    def leave(self) -> None:
        """Close in any state; a thread that is still reading gets the end of the stream."""
        with suppress(OSError):  # closed before
            self.socket.shutdown(socket.SHUT_RDWR)
        self.close()


class RouterHandle:
    """A running router process with the operations that its operators use."""

    def __init__(self, process: subprocess.Popen[str], admin: Address) -> None:
        self.process, self.admin = process, admin

    def put(self, path: str) -> int:
        """Make an admin call and return its HTTP status."""
        return call(self.admin, "PUT", path)[0]

    def ban(self, server: str, state: str = "maint") -> int:
        """Set the administrative state of a cache server and return the HTTP status of the call."""
        return self.put(server_path(server, state))

    def status_value(self, name: str) -> Any:
        """Return one entry of the router's state or statistics."""
        return {**ask(self.admin, "/state"), **ask(self.admin, "/stats")}[name]

    def until(self, name: str, value: Any) -> None:
        """Wait until an entry of the router's state or statistics has this value."""
        eventually(lambda: self.status_value(name) == value, f"{name} is {value}")

    is_terminated = False
    """Whether the test has told the process to end; a second signal could meet the end of its interpreter."""

    def terminate(self) -> None:
        self.is_terminated = True
        self.process.send_signal(signal.SIGTERM)

    def descriptors(self) -> int:
        return len(os.listdir(f"/proc/{self.process.pid}/fd"))

    def memory_kb(self) -> int:
        status = Path(f"/proc/{self.process.pid}/status").read_text()
        return int(status.split("VmRSS:")[1].split()[0])


class RunningRouter(RouterHandle):
    """A running router with its cache servers, discovery agent and clients."""

    def __init__(
        self, process: subprocess.Popen[str], port: int, discovery: DiscoveryPeer, folder: Path
    ) -> None:
        self.port, self.discovery, self.folder = port, discovery, folder
        self.caches: dict[str, Peer] = {}
        """The cache servers that a test inspects, by name."""
        self._clients: WeakSet[Client] = WeakSet()
        super().__init__(process, parse_address("admin_addr", self.read_configuration()["admin_addr"]))

    def client(self) -> Client:
        client = Client(self.port)
        self._clients.add(client)
        return client

    def stop(self) -> None:
        """Terminate the router and close the clients, as the drain waits for each connected client."""
        if self.process.poll() is None:
            self.process.terminate()
        for client in list(self._clients):
            client.leave()

    def check_memory_is_released(self) -> None:
        """Check that nothing counts in the memory budget without clients, unless an attempt is still open."""
        for client in list(self._clients):
            client.leave()
        with suppress(OSError, ValueError):  # no operators' calls, or the router is ending
            if self.status_value("open") == 0:
                eventually(lambda: self.status_value("held_bytes") == 0, "nothing is held")

    def reload(self, text: str) -> None:
        """Replace the configuration file and signal the router to reload it."""
        (self.folder / "new.json").write_text(text)
        (self.folder / "new.json").rename(self.folder / "config.json")
        self.process.send_signal(signal.SIGHUP)

    def read_configuration(self) -> dict[str, Any]:
        """Return the contents of the configuration file."""
        config: dict[str, Any] = json.loads((self.folder / "config.json").read_text())
        return config


def configuration(
    port: int, discovery: DiscoveryPeer, sockets: int = 1024, facts: dict[str, Any] | None = None
) -> dict[str, Any]:
    """Return the configuration of a router; `facts` replaces entries of FACTS in its settings."""
    return {
        "name": "n1",
        "listen": f"127.0.0.1:{port}",
        "discovery": f"127.0.0.1:{discovery.peer.port}",
        "seed": "8c1f30d27a5be964",
        "limits": {"cores": 1.0, "memory_mb": 192, "sockets": sockets},
        "settings": {**FACTS, **(facts or {})},
    }


def start_router(
    folder: Path,
    config: dict[str, Any],
    more: Sequence[str] = (),
    environ: dict[str, str] | None = None,
    inherits: Sequence[int] = (),
) -> subprocess.Popen[str]:
    """Write the configuration file and start a router process with it."""
    path = folder / "config.json"
    path.write_text(json.dumps(config))
    return subprocess.Popen(
        [sys.executable, "-m", "saltport.router", *more],
        cwd=ROOT,
        env={
            **os.environ,
            "LB_CONFIG": str(path),
            "LB_DISCOVERY": config["discovery"],
            "TMPDIR": str(folder),
            **(environ or {}),
        },
        stderr=subprocess.PIPE,
        text=True,
        pass_fds=inherits,
    )


def is_ready(port: int) -> bool:
    """Whether the router at this port answers a PING with PONG."""
    try:
        client = Client(port)
    except OSError:
        return False
    try:
        return client.ask(bulk(b"PING")) == b"+PONG"
    except OSError:
        return False
    finally:
        client.close()


@contextmanager
def run_router(
    folder: Path,
    caches: dict[str, Peer],
    origin: Peer | None = None,
    limits: dict[str, float] | None = None,
    facts: dict[str, Any] | None = None,
    known: list[dict[str, Any]] | None = None,
    discovery_says: bytes | None = None,
    more: Sequence[str] = (),
    environ: dict[str, str] | None = None,
    started_ms: dict[str, int] | None = None,
) -> Iterator[RunningRouter]:
    """Start a router with these servers; check at the end that it ran until then and logged no exception."""
    starts = started_ms or {}
    entries = [{**entry(peer, name), "startedAtMs": starts.get(name, 0)} for name, peer in caches.items()]
    if origin is not None:
        entries.append(entry(origin, "origin", "origin"))
    discovery = DiscoveryPeer(entries)
    discovery.raw_answer = discovery_says
    port = free_port()
    config = configuration(port, discovery, facts=facts) | {
        "admin_addr": f"127.0.0.1:{free_port()}",
        "known": {"generation": 0, "reset": True, "instances": known or []},
    }
    if limits:
        config["limits"] = limits
    process = start_router(folder, config, more, environ)
    router = RunningRouter(process, port, discovery, folder)
    try:
        eventually(lambda: is_ready(port) or process.poll() is not None, "the router is ready")
        assert process.poll() is None, f"the router ended at its start: {process.communicate()[1]}"
        yield router
        process = router.process  # a test may have replaced it
        if process.poll() is None and router.discovery.raw_answer is None and not router.is_terminated:
            router.check_memory_is_released()
    finally:
        process = router.process
        router.stop()
        _, log = process.communicate(timeout=TIMEOUT_S)
        for peer in [*caches.values(), discovery.peer, *([origin] if origin else [])]:
            peer.close()
    assert process.returncode == 0, log
    assert "Traceback" not in log, log
