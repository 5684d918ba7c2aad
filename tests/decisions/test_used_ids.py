"""Ids of requests that may have taken effect: bounded in number and age."""

from __future__ import annotations

from saltport.decisions.used_ids import ENTRY_BYTES, KEPT_FOR_NS, MIN_IDS, UsedIds, digest_of


def test_oldest_ids_are_forgotten_first() -> None:
    used = UsedIds(2 * MIN_IDS * ENTRY_BYTES)
    for number in range(2 * MIN_IDS + 5):
        used.add(digest_of(b"%d" % number), number)
    assert len(used) == 2 * MIN_IDS
    assert digest_of(b"4") not in used
    assert digest_of(b"5") in used


def test_some_ids_are_kept_however_little_memory_there_is() -> None:
    used = UsedIds(0)
    for number in range(MIN_IDS):
        used.add(digest_of(b"%d" % number), number)
    assert digest_of(b"0") in used


def test_id_is_kept_for_a_time_from_its_latest_use() -> None:
    used = UsedIds(0)
    used.add(b"a", 0)
    used.add(b"b", 0)
    used.add(b"a", KEPT_FOR_NS)
    used.add(b"c", KEPT_FOR_NS + 1)
    assert list(used) == [b"a", b"c"]
    used.discard(b"a")
    assert b"a" not in used
    used.discard(b"a")
