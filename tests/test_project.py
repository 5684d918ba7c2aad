"""Limits on the size of the policy modules, and a check of the code names in the documentation."""

from __future__ import annotations

import ast
import re
import tomllib
from pathlib import Path

ROOT = Path(__file__).resolve().parent.parent


MAX_POLICY_CODE_LINES = 1200
MAX_POLICY_MODULE_LINES = 500


def _documentation_lines(text: str) -> set[int]:
    """Return the numbers of the lines that contain only a docstring or a comment."""
    lines = {at for at, line in enumerate(text.splitlines(), 1) if line.lstrip().startswith("#")}
    for node in ast.walk(ast.parse(text)):
        if (
            isinstance(node, ast.Expr)
            and isinstance(node.value, ast.Constant)
            and isinstance(node.value.value, str)
        ):
            lines |= set(range(node.lineno, (node.end_lineno or node.lineno) + 1))
    return lines


def test_policy_modules_stay_within_their_size_limits() -> None:
    policy = tomllib.loads((ROOT / "deploy/balancer.toml").read_text())["policy"]
    code_lines = 0
    for name in policy:
        text = (ROOT / name).read_text()
        assert ast.get_docstring(ast.parse(text)), f"{name} has no docstring"
        lines = text.splitlines()
        assert len(lines) <= MAX_POLICY_MODULE_LINES, name
        assert max(map(len, lines)) <= 110, name
        documentation = _documentation_lines(text)
        code_lines += sum(1 for at, line in enumerate(lines, 1) if line.strip() and at not in documentation)
    assert code_lines <= MAX_POLICY_CODE_LINES


def _defined(path: Path) -> set[str]:
    """Return the classes, functions and methods of a module, named as in the documentation."""
    names = set()
    for node in ast.parse(path.read_text()).body:
        if isinstance(node, ast.ClassDef | ast.FunctionDef):
            names.add(node.name)
        if isinstance(node, ast.ClassDef):
            functions = (ast.FunctionDef, ast.AsyncFunctionDef)
            names |= {f"{node.name}.{item.name}" for item in node.body if isinstance(item, functions)}
    return names


def test_code_names_in_the_reading_guide_exist() -> None:
    page = (ROOT / "docs/design/reading.md").read_text()
    named = re.findall(r"`([a-z_/]+\.py)::([A-Za-z_.]+)`", page)
    assert len(named) > 20
    assert len(page.splitlines()) <= 60
    assert [name for name in named if name[1] not in _defined(ROOT / "saltport" / name[0])] == []
