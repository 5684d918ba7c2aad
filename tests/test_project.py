"""Limits that the project keeps on itself, and the README's example."""

from __future__ import annotations

import ast
import re
import tomllib
from pathlib import Path

ROOT = Path(__file__).resolve().parent.parent


def test_policy_keeps_to_its_size() -> None:
    policy = tomllib.loads((ROOT / "deploy/balancer.toml").read_text())["policy"]
    lines = [line for name in policy for line in (ROOT / name).read_text().splitlines() if line.strip()]
    assert len(lines) <= 1200
    assert max(map(len, lines)) <= 110


def _defined(path: Path) -> set[str]:
    """Classes, functions and methods of a module, by the names that pages use."""
    names = set()
    for node in ast.parse(path.read_text()).body:
        if isinstance(node, ast.ClassDef | ast.FunctionDef):
            names.add(node.name)
        if isinstance(node, ast.ClassDef):
            functions = (ast.FunctionDef, ast.AsyncFunctionDef)
            names |= {f"{node.name}.{item.name}" for item in node.body if isinstance(item, functions)}
    return names


def test_names_in_the_walk_through_the_code_are_there() -> None:
    page = (ROOT / "docs/design/reading.md").read_text()
    named = re.findall(r"`([a-z_/]+\.py)::([A-Za-z_.]+)`", page)
    assert len(named) > 20
    assert len(page.splitlines()) <= 60
    assert [name for name in named if name[1] not in _defined(ROOT / "saltport" / name[0])] == []
