"""The allowed imports between packages: each imports only lower ones in a fixed order, without cycles."""

from __future__ import annotations

import ast
from collections.abc import Iterator
from graphlib import CycleError, TopologicalSorter
from pathlib import Path

import pytest

from tests.sockets import ROOT

ORDER = [
    "version",
    "address",
    "transport",
    "deadline",
    "lag",
    "structures",
    "decisions",
    "messages",
    "wire",
    "handover",
    "membership",
    "admin",
    "downstream",
    "upstream",
    "peers",
    "owners",
    "failover",
    "dissemination",
    "router",
    "lifecycle",
    "simulator",
    "standins",
    "load",
    "audit",
    "harness",
    "nemesis",
    "demo",
    "soak",
    "cli",
]
"""The packages and modules of saltport, from the lowest layer to the highest."""
RESTRICTED = {"dissemination": {"address", "decisions", "owners", "peers", "structures"}}
"""Packages that may import only these of the packages below them."""


def modules() -> dict[str, Path]:
    """Return the path of each module of saltport by its full name."""
    found = {}
    for path in (ROOT / "saltport").rglob("*.py"):
        parts = path.relative_to(ROOT).with_suffix("").parts
        found[".".join(parts[:-1] if parts[-1] == "__init__" else parts)] = path
    return found


def imported(tree: ast.AST, known: dict[str, Path]) -> Iterator[str]:
    """Yield the modules of saltport that a module imports anywhere, also for type checking only."""
    for node in ast.walk(tree):
        if isinstance(node, ast.Import):
            yield from (alias.name for alias in node.names if alias.name in known)
        elif isinstance(node, ast.ImportFrom) and node.module in known:
            for alias in node.names:
                name = f"{node.module}.{alias.name}"
                yield name if name in known else node.module


def graph() -> dict[str, set[str]]:
    known = modules()
    return {name: set(imported(ast.parse(path.read_text()), known)) - {name} for name, path in known.items()}


def package_of(module: str) -> str:
    """Return the name in ORDER for a module: its package, or the module itself if it is in no package."""
    parts = module.split(".")
    return parts[1] if len(parts) > 1 else "version"


def misplaced(order: list[str], imports: dict[str, set[str]]) -> list[str]:
    """Return the imports that are not allowed; entry points (`__main__`) may import any module."""
    rank = {package: number for number, package in enumerate(order)}
    return [
        f"{module} imports {other}"
        for module, others in sorted(imports.items())
        if not module.endswith("__main__")
        for other in sorted(others)
        if package_of(other) != package_of(module)
        and (
            rank[package_of(other)] > rank[package_of(module)]
            or package_of(other) not in RESTRICTED.get(package_of(module), rank)
        )
    ]


def test_imports_have_no_cycle() -> None:
    sorter = TopologicalSorter(graph())
    try:
        sorter.prepare()
    except CycleError as error:
        pytest.fail(f"a cycle of imports: {' -> '.join(error.args[1])}")


def test_packages_import_only_lower_packages() -> None:
    imports = graph()
    assert {package_of(module) for module in imports} - {"__main__"} <= set(ORDER)
    assert misplaced(ORDER, imports) == []


def test_an_import_of_a_higher_package_is_found() -> None:
    imports = {"saltport.wire.resp": {"saltport.router.host"}, "saltport.router.host": {"saltport.wire.resp"}}
    assert misplaced(ORDER, imports) == ["saltport.wire.resp imports saltport.router.host"]
    assert misplaced(ORDER, {"saltport.dissemination.log": {"saltport.wire.resp"}}) == [
        "saltport.dissemination.log imports saltport.wire.resp"
    ]
