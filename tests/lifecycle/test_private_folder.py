"""Which folders are this user's own."""

from __future__ import annotations

from pathlib import Path

import pytest

from saltport.lifecycle.private_folder import is_private, private_folder


def test_files_of_other_users_do_not_count_as_the_routers_memory(tmp_path: Path) -> None:
    """Guards against a router that walks a shared folder each second and refuses clients for its files."""
    tmp_path.chmod(0o700)
    assert is_private(tmp_path)
    tmp_path.chmod(0o1777)
    assert not is_private(tmp_path)
    assert not is_private(tmp_path / "missing")


def test_private_folder_is_made_within_a_shared_one(tmp_path: Path) -> None:
    tmp_path.chmod(0o1777)
    inner = private_folder(tmp_path)
    assert inner.parent == tmp_path
    assert is_private(inner)
    with pytest.raises(OSError, match="missing"):
        private_folder(tmp_path / "missing")
