"""Voter storage: stored state is read back; damaged, foreign and outdated files are detected."""

from __future__ import annotations

import errno
import os
import random
from pathlib import Path

import pytest

from saltport.owners.log import Configuration, Entry, EntryKind, Snapshot, Vote
from saltport.owners.raft import Role, TermQuery, TermReply
from saltport.owners.storage import Storage, StorageBusyError, StorageError
from tests.owners.world import Cluster

VOTERS = ("a", "b", "c")


def entries(first: int, last: int, term: int = 1) -> list[Entry]:
    return [Entry(index, term, EntryKind.COMMAND, b"%d" % index) for index in range(first, last + 1)]


def stored_voter(path: Path) -> Storage:
    storage = Storage(path, "a", VOTERS)
    storage.persist(Vote(1, "a"), None, entries(1, 3))
    storage.persist(None, None, entries(3, 4, term=2))
    storage.persist(Vote(2, "b"), None, [])
    return storage


def test_stored_state_is_read_back_and_each_start_is_counted(tmp_path: Path) -> None:
    path = tmp_path / "voter"
    first = stored_voter(path)
    assert (first.is_new, first.boot_count) == (True, 1)
    first.close()
    again = Storage(path, "a", VOTERS)
    assert (again.is_new, again.boot_count, again.identity) == (False, 2, first.identity)
    assert again.vote == Vote(2, "b")
    assert [(entry.index, entry.term) for entry in again.log.entries] == [(1, 1), (2, 1), (3, 2), (4, 2)]
    again.persist(None, Snapshot(3, 2, Configuration(VOTERS), b"state"), entries(4, 4, term=2))
    again.close()
    last = Storage(path, "a", VOTERS)
    assert last.boot_count == 3
    assert (last.log.snapshot.data, last.log.last_index, last.vote) == (b"state", 4, Vote(2, "b"))


@pytest.mark.parametrize("torn", [1, 4, 9, 20])
def test_a_torn_last_record_is_cut_off_and_the_rest_holds(tmp_path: Path, torn: int) -> None:
    path = tmp_path / "voter"
    storage = stored_voter(path)
    complete_bytes = path.stat().st_size
    storage.persist(Vote(3, "c"), None, entries(5, 6, term=3))
    storage.close()
    os.truncate(path, complete_bytes + torn)
    again = Storage(path, "a", VOTERS)
    assert again.torn_bytes == torn
    assert (again.vote, again.log.last_index) == (Vote(2, "b"), 4)


def test_damage_in_the_middle_is_refused_wherever_it_is(tmp_path: Path) -> None:
    path = tmp_path / "voter"
    stored_voter(path).close()
    good, rng = path.read_bytes(), random.Random(1)
    refused = 0
    for _ in range(200):
        place = rng.randrange(len(good))
        path.write_bytes(good[:place] + bytes([good[place] ^ 1 << rng.randrange(8)]) + good[place + 1 :])
        try:
            reopened = Storage(path, "a", VOTERS)
        except StorageError:
            refused += 1
        else:
            # The last record, or a length beyond the end of the file, counts as torn.
            assert reopened.torn_bytes > 0
            reopened.close()
    assert refused > 100


def test_one_process_opens_the_file_at_a_time(tmp_path: Path) -> None:
    """A predecessor process may still write until it has ended."""
    path = tmp_path / "voter"
    first = stored_voter(path)
    with pytest.raises(StorageBusyError, match="another process"):
        Storage(path, "a", VOTERS)
    first.persist(Vote(9, "c"), None, [])
    first.close()
    assert Storage(path, "a", VOTERS).vote == Vote(9, "c")


def test_files_of_another_voter_and_empty_files_are_refused(tmp_path: Path) -> None:
    path = tmp_path / "voter"
    stored_voter(path).close()
    with pytest.raises(StorageError, match="belongs to voter a, but this voter is b"):
        Storage(path, "b", VOTERS)
    path.write_bytes(b"")
    with pytest.raises(StorageError, match="header record is missing"):
        Storage(path, "a", VOTERS)
    with pytest.raises(StorageError, match="No such file"):
        Storage(tmp_path / "none" / "voter", "a", VOTERS)


@pytest.mark.parametrize("error", [errno.ENOSPC, errno.EROFS])
def test_a_failed_write_closes_the_storage(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch, error: int
) -> None:
    storage = stored_voter(tmp_path / "voter")

    def fails(file: int, data: bytes) -> int:
        raise OSError(error, os.strerror(error))

    monkeypatch.setattr(os, "write", fails)
    with pytest.raises(StorageError, match=os.strerror(error)):
        storage.persist(Vote(9), None, [])
    monkeypatch.undo()
    with pytest.raises(StorageError, match="closed"):
        storage.persist(Vote(9), None, [])


def test_an_old_copy_of_a_disk_is_noticed_by_whoever_saw_a_later_start() -> None:
    cluster = Cluster()
    cluster.run(6)
    for name in VOTERS:
        cluster.nodes[name].boot_counts = {"a": 7}
    cluster.crash("a")
    cluster.boot("a")
    node = cluster.nodes["a"]
    node._boot_count = 5  # as counted by the restored copy
    node.receive("b", TermReply(node.term, node._nonce, 7), cluster.clock("a"))
    assert (node.stale_disk, str(node.role)) == (True, "recovering")
    cluster.perform_output("a")
    cluster.run(8)
    assert str(node.role) in ("follower", "leader")  # recovered from the other voters
    other = cluster.nodes["b"]
    other.receive("a", TermQuery(1, 8), cluster.clock("b"))
    assert other.boot_counts["a"] == 8
    assert other.role is not Role.RECOVERING
