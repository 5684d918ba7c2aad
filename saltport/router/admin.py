"""The state of a running router for its operator, over a unix socket: one line of JSON asks, one answers.

Off unless `[admin] socket` is set. Who may reach the file may ask; it is made for its owner alone.
"""

from __future__ import annotations

import asyncio
import logging
import os
import socket
import stat
from collections.abc import Callable
from contextlib import suppress
from pathlib import Path

import orjson

MAX_LINE = 4096
MAX_ASKING = 8  # at once; more are closed
IDLE_S = 30.0

View = Callable[[], dict[str, object]]

log = logging.getLogger("saltport")


class AdminError(OSError):
    """The socket can't be made; the text is one plain line."""


class Admin:
    """Answers `{"ask": NAME}` with the view of that name."""

    def __init__(self, path: Path, views: dict[str, View]) -> None:
        self._path, self._views = path, views
        self._server: asyncio.Server | None = None
        self._asking: set[asyncio.StreamWriter] = set()

    async def listen(self) -> None:
        """Make the socket; a file that nobody listens at any more is replaced. Raises AdminError."""
        try:
            if self._path.exists():
                if not stat.S_ISSOCK(self._path.stat().st_mode):
                    raise AdminError(f"admin.socket: {self._path} is no socket")
                if _answers(self._path):
                    raise AdminError(f"admin.socket: {self._path} belongs to another router that runs")
                self._path.unlink()
            listener = socket.socket(socket.AF_UNIX)
            listener.setblocking(False)
            mask = os.umask(0o177)
            try:
                listener.bind(str(self._path))
            finally:
                os.umask(mask)
            self._server = await asyncio.start_unix_server(self._accept, sock=listener, limit=MAX_LINE)
        except AdminError:
            raise
        except OSError as error:
            raise AdminError(f"admin.socket: {self._path}: {error.strerror or error}") from None

    async def _accept(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        if len(self._asking) >= MAX_ASKING:
            writer.close()
            return
        self._asking.add(writer)
        try:
            while line := await asyncio.wait_for(reader.readline(), IDLE_S):
                writer.write(orjson.dumps(self._answer(line), option=orjson.OPT_APPEND_NEWLINE))
                await asyncio.wait_for(writer.drain(), IDLE_S)
        except (OSError, ValueError, TimeoutError):
            pass  # a line too long, a reader that has gone or stands still
        finally:
            self._asking.discard(writer)
            writer.close()

    def _answer(self, line: bytes) -> dict[str, object]:
        try:
            asked = orjson.loads(line)
            name = asked["ask"]
            view = self._views[name]
        except (orjson.JSONDecodeError, KeyError, TypeError):
            return {"error": f'ask with {{"ask": NAME}}; there are {", ".join(self._views)}'}
        try:
            return view()
        except Exception as error:
            log.exception("the view %s failed", name)
            return {"error": f"the view {name} failed: {type(error).__name__}"}

    def close(self) -> None:
        """Take the socket away."""
        if self._server is not None:
            self._server.close()
            with suppress(OSError):
                self._path.unlink()
        for writer in list(self._asking):
            writer.transport.abort()  # its reader is told, and ends


def _answers(path: Path) -> bool:
    with socket.socket(socket.AF_UNIX) as caller:
        caller.settimeout(1.0)
        try:
            caller.connect(str(path))
        except OSError:
            return False
        return True


def ask(path: Path, name: str, timeout_s: float = 5.0) -> dict[str, object]:
    """Ask a running router; raises OSError when it can't be reached, ValueError when it answers otherwise."""
    with socket.socket(socket.AF_UNIX) as caller:
        caller.settimeout(timeout_s)
        caller.connect(str(path))
        caller.sendall(orjson.dumps({"ask": name}, option=orjson.OPT_APPEND_NEWLINE))
        with caller.makefile("rb") as stream:
            line = stream.readline()
    told = orjson.loads(line) if line else None
    if not isinstance(told, dict):
        raise ValueError("it closed the connection without an answer")
    if "error" in told:
        raise ValueError(str(told["error"]))
    return told
