"""A voter's state on disk: records with checksums, synced before any message that depends on them is sent.

A torn last record was never acknowledged and is cut off. Any other damage is refused: a voter that lost
acknowledged state must go through recovery (raft.py).
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

_RECORD_HEADER_BYTES = 8  # four bytes of length, four of CRC-32
MAX_RECORD_BYTES = 16 << 20  # a greater length in a record header shows that the header is damaged


class StorageError(Exception):
    """The state cannot be read or written; the text is a single line."""


class StorageBusyError(StorageError):
    """Another process has the voter's file open, such as the previous process of this router.

    Opening can be retried: it succeeds once that process has ended.
    """


class FileHeader(Struct, frozen=True, array_like=True, tag=0):
    """First record: the voter, the identity of the file, and the number of starts that have opened it."""

    name: str
    identity: str
    boot_count: int


class FullState(Struct, frozen=True, array_like=True, tag=1):
    """Record of the complete state; replaces all earlier records."""

    vote: Vote
    snapshot: Snapshot
    entries: tuple[Entry, ...]


class StateUpdate(Struct, frozen=True, array_like=True, tag=2):
    """Record of a vote, entries, or both; replaces the stored entries from the first one's index on."""

    vote: Vote | None
    entries: tuple[Entry, ...]


_Record = FileHeader | FullState | StateUpdate
_decoder: msgspec.msgpack.Decoder[_Record] = msgspec.msgpack.Decoder(_Record)


def _encode_record(record: _Record) -> bytes:
    """Return a record as bytes for the file: its length, its CRC-32 and its encoding."""
    payload = msgspec.msgpack.encode(record)
    return len(payload).to_bytes(4, "big") + zlib.crc32(payload).to_bytes(4, "big") + payload


class Storage:
    """One voter's file; each write returns only after the data is synced."""

    def __init__(self, path: Path, name: str, voters: tuple[str, ...]) -> None:
        """Open or create the file. Raises StorageError."""
        self._path, self._name = path, name
        self.vote, self.log = Vote(0), Log(Snapshot(0, 0, Configuration(voters)))
        self.identity, self.boot_count = secrets.token_hex(8), 0
        self.is_new = not path.exists()
        self.torn_bytes = 0
        """Size of a torn last record that was cut off."""
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
        """Lock the file against other processes; raises StorageBusyError if one has it open."""
        # Danger: two processes with one file would each store votes and entries that the other does not know.
        self._lock = os.open(self._path.with_name(self._path.name + ".lock"), os.O_RDWR | os.O_CREAT, 0o600)
        try:
            fcntl.flock(self._lock, fcntl.LOCK_EX | fcntl.LOCK_NB)
        except BlockingIOError:
            raise StorageBusyError(f"{self._path}: another process has it open") from None
        self.is_new = not self._path.exists()

    def _read(self, data: bytes) -> None:
        """Apply all records of the file, and skip a torn last one; raises StorageError if it is damaged."""
        offset = 0
        while offset < len(data):
            size = int.from_bytes(data[offset : offset + 4], "big")
            end = offset + _RECORD_HEADER_BYTES + size
            payload = data[offset + _RECORD_HEADER_BYTES : end]
            is_length_valid = size <= MAX_RECORD_BYTES and len(payload) == size and size > 0
            if not is_length_valid or zlib.crc32(payload) != int.from_bytes(
                data[offset + 4 : offset + 8], "big"
            ):
                if end < len(data) and size <= MAX_RECORD_BYTES:
                    raise StorageError(f"{self._path}: damaged at byte {offset}, before the last record")
                self.torn_bytes = len(data) - offset
                break
            try:
                self._apply(_decoder.decode(payload))
            except ValueError as error:
                raise StorageError(f"{self._path}: unreadable at byte {offset}: {error}") from None
            offset = end
        if not self.boot_count:
            raise StorageError(f"{self._path}: the header record is missing")

    def _apply(self, record: _Record) -> None:
        """Update the state in memory by a record; raises StorageError if it does not fit the state."""
        match record:
            case FileHeader(name, identity, boot_count):
                if name != self._name:
                    raise StorageError(
                        f"{self._path}: belongs to voter {name}, but this voter is {self._name}"
                    )
                self.identity, self.boot_count = identity, boot_count
            case FullState(vote, snapshot, entries):
                self.vote, self.log = vote, Log(snapshot, list(entries))
            case StateUpdate(vote, entries):
                self.vote = vote or self.vote
                if entries:
                    offset = entries[0].index - self.log.snapshot.index - 1
                    if offset < 0 or offset > len(self.log.entries):
                        raise StorageError(f"{self._path}: gap in the log before entry {entries[0].index}")
                    self.log.entries[offset:] = entries

    def _rewrite(self) -> None:
        """Write the complete state to a new file and rename it over the old one."""
        temporary = self._path.with_name(self._path.name + ".new")
        file = os.open(temporary, os.O_WRONLY | os.O_CREAT | os.O_TRUNC, 0o600)
        try:
            state = FullState(self.vote, self.log.snapshot, tuple(self.log.entries))
            self._write(
                file,
                _encode_record(FileHeader(self._name, self.identity, self.boot_count))
                + _encode_record(state),
            )
            os.rename(temporary, self._path)
            directory = os.open(self._path.parent, os.O_RDONLY)
            try:
                os.fsync(directory)  # make the rename durable
            finally:
                os.close(directory)
        except BaseException:
            os.close(file)
            raise
        if self._file is not None:
            os.close(self._file)
        self._file = file

    def _write(self, file: int, data: bytes) -> None:
        """Write all bytes to a file and sync it."""
        while data:
            data = data[os.write(file, data) :]
        os.fsync(file)
        self.writes += 1

    def persist(self, vote: Vote | None, snapshot: Snapshot | None, entries: list[Entry]) -> None:
        """Write changes to disk. Raises StorageError, after which the storage is closed for good."""
        if vote is None and snapshot is None and not entries:
            return
        if self._file is None:
            raise StorageError(f"{self._path}: closed")
        try:
            if snapshot is not None:
                self.vote, self.log = vote or self.vote, Log(snapshot, list(entries))
                self._rewrite()
            else:
                record = StateUpdate(vote, tuple(entries))
                self._write(self._file, _encode_record(record))
                self._apply(record)
        except OSError as error:
            self.close()
            raise StorageError(f"{self._path}: {error.strerror or error}") from None

    def close(self) -> None:
        """Close the file and release its lock."""
        if self._file is not None:
            os.close(self._file)
            self._file = None
        if self._lock is not None:
            os.close(self._lock)
            self._lock = None
