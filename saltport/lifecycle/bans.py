"""Operators' bans of cache servers, stored as files that outlive the process: an empty file for each server.

All processes of one router share the folder. A ban either has its file or not, so there is no partly written
state, and two processes that change different bans do not overwrite each other. The folder is in a file
system in memory, so a change costs only a few system calls.
"""

from __future__ import annotations

import logging
import os
from collections.abc import Callable
from pathlib import Path
from urllib.parse import quote, unquote

log = logging.getLogger("saltport")


class BanStore:
    """The folder that stores the bans of one router; a file is named by the quoted id of its server."""

    def __init__(self, folder: Path) -> None:
        self._folder = folder
        self._logged: set[str] = set()

    def read(self) -> set[str] | None:
        """Return the banned servers, or None if the folder cannot be read.

        A file whose name is not a quoted server id is ignored and logged once.
        """
        try:
            names = os.listdir(self._folder)
        except FileNotFoundError:
            return set()
        except OSError as error:
            self._warn_once(f"{self._folder}: {error.strerror or error}")
            return None
        banned = set()
        for name in names:
            try:
                server = unquote(name, errors="strict")
            except UnicodeDecodeError:
                server = ""
            if server and self._file_name(server) == name:
                banned.add(server)
            else:
                self._warn_once(f"{self._folder}: ignoring {name!r}: not the file of a banned server")
        return banned

    def add(self, server: str) -> None:
        """Store the ban of a server; raises OSError."""
        self._folder.mkdir(parents=True, exist_ok=True)
        (self._folder / self._file_name(server)).touch()

    def remove(self, server: str) -> None:
        """Delete the ban of a server, if there is one; raises OSError."""
        (self._folder / self._file_name(server)).unlink(missing_ok=True)

    @staticmethod
    def _file_name(server: str) -> str:
        # Danger: quote() leaves "." and ".." as they are, and these names cannot be created as files.
        return quote(server, safe="").replace(".", "%2E")

    def _warn_once(self, text: str) -> None:
        if text not in self._logged and len(self._logged) < 100:
            self._logged.add(text)
            log.warning("%s", text)


class Bans:
    """Bans and unbans cache servers: first in the store, then in this process."""

    def __init__(
        self,
        store: BanStore | None,
        banned: Callable[[], frozenset[str]],
        apply_ban: Callable[[str], None],
        apply_unban: Callable[[str], None],
    ) -> None:
        """`banned` returns the servers banned in this process; `apply_ban` and `apply_unban` change them."""
        self._store, self._banned, self._apply_ban, self._apply_unban = store, banned, apply_ban, apply_unban

    def ban(self, server: str) -> None:
        """Ban a server; raises OSError if the ban cannot be stored, and then changes nothing."""
        if self._store is not None:
            self._store.add(server)
        if server not in self._banned():
            self._apply_ban(server)

    def unban(self, server: str) -> None:
        """Lift the ban of a server; raises OSError if that cannot be stored, and then changes nothing."""
        if self._store is not None:
            self._store.remove(server)
        if server in self._banned():
            self._apply_unban(server)

    def sync(self) -> None:
        """Apply to this process the bans that other processes of this router have stored or deleted."""
        if self._store is None:
            return
        stored, applied = self._store.read(), self._banned()
        if stored is None:
            return  # Danger: treating an unreadable folder as empty would lift every ban
        for server in stored - applied:
            self._apply_ban(server)
        for server in applied - stored:
            self._apply_unban(server)
