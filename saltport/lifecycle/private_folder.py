"""Folders in which only the user of this process can create files."""

from __future__ import annotations

import os
import stat
from contextlib import suppress
from pathlib import Path


def private_folder(folder: Path) -> Path:
    """Return a folder in which only this user can create files: `folder` itself or a subfolder.

    Raises OSError if there is no such folder.
    """
    if is_private(folder):
        return folder
    inner = folder / f"saltport-{os.getuid()}"
    with suppress(FileExistsError):
        inner.mkdir(0o700)
    if not is_private(inner):
        raise OSError(f"{inner} is not private to this user")
    return inner


def is_private(folder: Path) -> bool:
    """Whether this is a folder, and no symbolic link, to which only the user of this process can write."""
    try:
        status = os.lstat(folder)
    except OSError:
        return False
    private = not status.st_mode & (stat.S_IWGRP | stat.S_IWOTH)
    return stat.S_ISDIR(status.st_mode) and status.st_uid == os.getuid() and private
