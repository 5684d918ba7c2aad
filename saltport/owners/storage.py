"""What a voter must not forget, on a disk: records with checksums, forced out before anything is sent.

A torn last record was never promised to anybody, and is cut off. What else does not check is refused: a
voter that lost a promise must say so (raft.py, recovery) and not guess.
"""

from __future__ import annotations

import fcntl
import os
import secrets
import zlib
from pathlib import Path

import msgspec
from msgspec import Struct

from saltport.owners.log import Configuration, Entry, Log, Snapshot, Vote

_HEAD = 8  # four bytes of length, four of CRC-32
MOST = 16 << 20  # bytes of one record


class StorageError(Exception):
    """The state can't be read or kept; the text is one plain line."""


class StorageBusyError(StorageError):
    """Another process has it open, as the one that this one replaces: try again."""


class Begun(Struct, frozen=True, array_like=True, tag=0):
    """Whose file it is, and the how manyeth start wrote this."""

    name: str
    identity: str
    boot_count: int


class Whole(Struct, frozen=True, array_like=True, tag=1):
    """Everything: what is before it in the file is void."""

    vote: Vote
    snapshot: Snapshot
    entries: tuple[Entry, ...]


class Added(Struct, frozen=True, array_like=True, tag=2):
    """A vote, entries, or both; entries from the first one's index on are replaced."""

    vote: Vote | None
    entries: tuple[Entry, ...]


_Part = Begun | Whole | Added
_decoder: msgspec.msgpack.Decoder[_Part] = msgspec.msgpack.Decoder(_Part)


def _record(part: _Part) -> bytes:
    told = msgspec.msgpack.encode(part)
    return len(told).to_bytes(4, "big") + zlib.crc32(told).to_bytes(4, "big") + told


class Storage:
    """One voter's file; all calls block until the disk has what was given."""

    def __init__(self, path: Path, name: str, voters: tuple[str, ...]) -> None:
        """Open or begin a file. Raises StorageError."""
        self._path, self._name = path, name
        self.vote, self.log = Vote(0), Log(Snapshot(0, 0, Configuration(voters)))
        self.identity, self.boot_count = secrets.token_hex(8), 0
        self.is_new = not path.exists()
        self.cut_off = 0
        """Bytes of a torn last record."""
        self.writes = 0
        self._file: int | None = None
        self._lock: int | None = None
        try:
            self._take_lock()
            if not self.is_new:
                self._read(path.read_bytes())
            self.boot_count += 1
            self._rewrite()
        except OSError as error:
            self.close()
            raise StorageError(f"{path}: {error.strerror or error}") from None
        except StorageError:
            self.close()
            raise

    def _take_lock(self) -> None:
        # Danger: two processes with one file would each keep promises that the other does not know of.
        self._lock = os.open(self._path.with_name(self._path.name + ".lock"), os.O_RDWR | os.O_CREAT, 0o600)
        try:
            fcntl.flock(self._lock, fcntl.LOCK_EX | fcntl.LOCK_NB)
        except BlockingIOError:
            raise StorageBusyError(f"{self._path}: another process has it open") from None
        self.is_new = not self._path.exists()

    def _read(self, data: bytes) -> None:
        place = 0
        while place < len(data):
            size = int.from_bytes(data[place : place + 4], "big")
            end = place + _HEAD + size
            told = data[place + _HEAD : end]
            sound = size <= MOST and len(told) == size and size > 0
            if not sound or zlib.crc32(told) != int.from_bytes(data[place + 4 : place + 8], "big"):
                if end < len(data) and size <= MOST:
                    raise StorageError(f"{self._path}: damaged at byte {place}, and not at its end")
                self.cut_off = len(data) - place
                break
            try:
                self._take(_decoder.decode(told))
            except ValueError as error:
                raise StorageError(f"{self._path}: unreadable at byte {place}: {error}") from None
            place = end
        if not self.boot_count:
            raise StorageError(f"{self._path}: it does not say whose it is")

    def _take(self, part: _Part) -> None:
        match part:
            case Begun(name, identity, boot_count):
                if name != self._name:
                    raise StorageError(f"{self._path}: it is {name}'s, and this is {self._name}")
                self.identity, self.boot_count = identity, boot_count
            case Whole(vote, snapshot, entries):
                self.vote, self.log = vote, Log(snapshot, list(entries))
            case Added(vote, entries):
                self.vote = vote or self.vote
                if entries:
                    place = entries[0].index - self.log.snapshot.index - 1
                    if place < 0 or place > len(self.log.entries):
                        raise StorageError(f"{self._path}: entry {entries[0].index} does not follow")
                    self.log.entries[place:] = entries

    def _rewrite(self) -> None:
        """Write all anew beside the old file, and put it in its place at once."""
        beside = self._path.with_name(self._path.name + ".new")
        file = os.open(beside, os.O_WRONLY | os.O_CREAT | os.O_TRUNC, 0o600)
        try:
            whole = Whole(self.vote, self.log.snapshot, tuple(self.log.entries))
            self._put(file, _record(Begun(self._name, self.identity, self.boot_count)) + _record(whole))
            os.rename(beside, self._path)
            folder = os.open(self._path.parent, os.O_RDONLY)
            try:
                os.fsync(folder)  # the name too must outlive a loss of power
            finally:
                os.close(folder)
        except BaseException:
            os.close(file)
            raise
        if self._file is not None:
            os.close(self._file)
        self._file = file

    def _put(self, file: int, data: bytes) -> None:
        while data:
            data = data[os.write(file, data) :]
        os.fsync(file)
        self.writes += 1

    def keep(self, vote: Vote | None, snapshot: Snapshot | None, entries: list[Entry]) -> None:
        """Keep what is new. Raises StorageError: then nothing may be promised any more, for good."""
        if vote is None and snapshot is None and not entries:
            return
        if self._file is None:
            raise StorageError(f"{self._path}: closed")
        try:
            if snapshot is not None:
                self.vote, self.log = vote or self.vote, Log(snapshot, list(entries))
                self._rewrite()
            else:
                part = Added(vote, tuple(entries))
                self._put(self._file, _record(part))
                self._take(part)
        except OSError as error:
            self.close()
            raise StorageError(f"{self._path}: {error.strerror or error}") from None

    def close(self) -> None:
        """Keep nothing more."""
        if self._file is not None:
            os.close(self._file)
            self._file = None
        if self._lock is not None:
            os.close(self._lock)
            self._lock = None
