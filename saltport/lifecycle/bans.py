"""The servers that are out by hand, as files that outlive the process: an empty one each, named by its id.

The folder is the truth for all processes of one router: a file is there whole or not at all, and two that
write different ones do not overwrite each other. It takes a few calls to a file system in memory.
"""

from __future__ import annotations

import logging
import os
from collections.abc import Callable
from pathlib import Path
from urllib.parse import quote, unquote

log = logging.getLogger("saltport")


class BanStore:
    """The folder of one router."""

    def __init__(self, folder: Path) -> None:
        self._folder = folder
        self._told: set[str] = set()

    def read(self) -> set[str] | None:
        """The servers that are out; None: it can't be read. A file that is no server's is logged once."""
        try:
            names = os.listdir(self._folder)
        except FileNotFoundError:
            return set()
        except OSError as error:
            self._once(f"{self._folder}: {error.strerror or error}")
            return None
        found = set()
        for name in names:
            try:
                server = unquote(name, errors="strict")
            except UnicodeDecodeError:
                server = ""
            if server and self._name(server) == name:
                found.add(server)
            else:
                self._once(f"{self._folder}: {name!r} is no file of a server that is out")
        return found

    def add(self, server: str) -> None:
        """Put a server out; raises OSError."""
        self._folder.mkdir(parents=True, exist_ok=True)
        (self._folder / self._name(server)).touch()

    def remove(self, server: str) -> None:
        """Put a server back; raises OSError."""
        (self._folder / self._name(server)).unlink(missing_ok=True)

    @staticmethod
    def _name(server: str) -> str:
        # Danger: "." and ".." are never quoted, and are no files.
        return quote(server, safe="").replace(".", "%2E")

    def _once(self, text: str) -> None:
        if text not in self._told and len(self._told) < 100:
            self._told.add(text)
            log.warning("%s", text)


class Bans:
    """Takes servers out and back, in the store first and then in this process."""

    def __init__(
        self,
        store: BanStore | None,
        out: Callable[[], frozenset[str]],
        take_out: Callable[[str], None],
        put_back: Callable[[str], None],
    ) -> None:
        self._store, self._out, self._take_out, self._put_back = store, out, take_out, put_back

    def take_out(self, server: str) -> None:
        """Put a server out; raises OSError, and then nothing has changed."""
        if self._store is not None:
            self._store.add(server)
        if server not in self._out():
            self._take_out(server)

    def put_back(self, server: str) -> None:
        """Put a server back; raises OSError, and then nothing has changed."""
        if self._store is not None:
            self._store.remove(server)
        if server in self._out():
            self._put_back(server)

    def follow(self) -> None:
        """Do as another process of this router did, by the store."""
        if self._store is None:
            return
        told, held = self._store.read(), self._out()
        if told is None:
            return  # Danger: taken for empty, a folder that can't be read would put every server back
        for server in told - held:
            self._take_out(server)
        for server in held - told:
            self._put_back(server)
