"""The recording files: lines of JSON, alternately a batch and its reply, compressed with xz."""

from __future__ import annotations

import lzma
from pathlib import Path
from typing import Any

import orjson

FOLDER = Path(__file__).parent / "recorded"


def _path(name: str) -> Path:
    return FOLDER / f"{name}.jsonl.xz"


def write(name: str, recorded: list[tuple[dict[str, Any], dict[str, Any]]]) -> int:
    """Store a recording; return its size in bytes."""
    lines = [orjson.dumps(value) for pair in recorded for value in pair]
    data = lzma.compress(b"\n".join(lines) + b"\n", preset=9 | lzma.PRESET_EXTREME)
    FOLDER.mkdir(exist_ok=True)
    return _path(name).write_bytes(data)


def read(name: str) -> list[tuple[bytes, bytes]]:
    """Return the batches of a recording, each with its reply, as lines without line ends."""
    lines = lzma.decompress(_path(name).read_bytes()).splitlines()
    return list(zip(lines[::2], lines[1::2], strict=True))
