"""The command line: help, exit statuses, JSON output, and the modules that `run` does not import."""

from __future__ import annotations

import contextlib
import json
import os
import signal
import subprocess
import sys
import time
from pathlib import Path
from typing import Any

import pytest
from click.testing import CliRunner, Result

from saltport.cli import cli
from tests.sockets import ROOT, TIMEOUT_S, echo_cache, eventually, free_port, is_ready, run_router

DEMO_TIMEOUT_S = 60.0


def call(*words: str) -> Result:
    return CliRunner().invoke(cli, list(words))


def spawn(*words: str) -> subprocess.Popen[str]:
    return subprocess.Popen(
        [sys.executable, "-m", "saltport", *words],
        cwd=ROOT, stdin=subprocess.DEVNULL, stdout=subprocess.PIPE, stderr=subprocess.PIPE, text=True,
        start_new_session=True,
    )  # fmt: skip


def command_paths(group: Any, path: tuple[str, ...] = ()) -> list[tuple[str, ...]]:
    found = [path]
    for name, command in getattr(group, "commands", {}).items():
        found += command_paths(command, (*path, name))
    return found


@pytest.mark.parametrize("path", command_paths(cli), ids=" ".join)
def test_every_command_has_help(path: tuple[str, ...]) -> None:
    result = call(*path, "--help")
    assert result.exit_code == 0
    assert "Usage:" in result.output


def test_example_has_no_faults_and_all_faults_of_a_bad_file_are_reported(tmp_path: Path) -> None:
    path = tmp_path / "config.json"
    path.write_text(call("config", "example").output)
    good = call("check", str(path))
    assert (good.exit_code, good.output) == (0, f"{path}: good\n")
    config = json.loads(path.read_text())
    config["listen"], config["settings"]["classes"][0]["aimNs"] = "here", -1
    path.write_text(json.dumps(config))
    bad = call("check", str(path), "--json")
    assert bad.exit_code == 1
    faults = json.loads(bad.output)["faults"]
    assert [fault["path"] for fault in faults] == ["listen", "settings.classes[0].aimNs"]
    assert "2 faults" in call("check", str(path)).output


@pytest.mark.parametrize(
    "words",
    [
        ["nothing"],
        ["load", "--router", "here"],
        ["load", "--router", "127.0.0.1:1", "--rate", "5:5"],
        ["demo", "--fault", "melt", "--seconds", "1"],
        ["demo", "--nodes", "0"],
        ["audit", "/nonesuch"],
        ["completion", "cmd"],
        ["fault", "strike", "kill"],
    ],
)
def test_invalid_command_lines_exit_with_2(words: list[str]) -> None:
    assert call(*words).exit_code == 2


def test_a_load_on_a_closed_port_exits_with_1_and_prints_json() -> None:
    closed_address = f"127.0.0.1:{free_port()}"
    result = call("load", "--router", closed_address, "--seconds", "0.2", "--retries", "0", "--json")
    assert result.exit_code == 1
    assert json.loads(result.stdout)["served"] == 0


def test_an_unreachable_control_socket_exits_with_1() -> None:
    assert call("fault", "state", "--control", f"127.0.0.1:{free_port()}").exit_code == 1


def test_completion_is_a_script() -> None:
    for shell in ("bash", "zsh", "fish"):
        assert "_SALTPORT_COMPLETE" in call("completion", shell).output


def test_run_starts_a_router_and_says_when_its_port_is_taken(tmp_path: Path) -> None:
    path = tmp_path / "config.json"
    port = free_port()
    config = json.loads(call("config", "example", "--discovery", f"127.0.0.1:{free_port()}").output)
    config["known"] = {"generation": 1, "reset": True, "instances": []}
    path.write_text(json.dumps(config))
    router = spawn("run", str(path), "--listen", f"127.0.0.1:{port}", "--name", "x")
    try:
        eventually(lambda: is_ready(port) or router.poll() is not None, "the router is ready")
        image = Path(f"/proc/{router.pid}/cmdline").read_bytes().split(b"\0")
        assert b"saltport.router" in image  # the router has replaced the command line in the process
        second = spawn("run", str(path), "--listen", f"127.0.0.1:{port}")
        _, errors = second.communicate(timeout=TIMEOUT_S)
        assert second.returncode == 1
        assert "saltport:" in errors
    finally:
        router.terminate()
        router.communicate(timeout=TIMEOUT_S)
    assert router.returncode == 0
    path.write_text("{}")
    assert spawn("run", str(path)).wait(TIMEOUT_S) == 2


def test_a_router_imports_nothing_that_it_does_not_need() -> None:
    unneeded = [
        "click", "jsonschema", "hdrh", "plotext", "saltport.standins", "saltport.load", "saltport.cli",
        "saltport.audit", "saltport.simulator", "saltport.downstream.access_log",
    ]  # fmt: skip
    code = f"import sys, saltport.lifecycle.process; print([m for m in {unneeded!r} if m in sys.modules])"
    result = subprocess.run(
        [sys.executable, "-c", code], cwd=ROOT, capture_output=True, text=True, check=True
    )
    assert result.stdout == "[]\n"


def test_a_running_router_maps_no_library_that_it_does_not_use(tmp_path: Path) -> None:
    """Guards against memory that only imports of the standard library take."""
    with run_router(tmp_path, {"s1": echo_cache()}) as router:
        mapped = Path(f"/proc/{router.process.pid}/maps").read_text()
    assert "libc.so" in mapped
    assert not {library for library in ("libssl", "libcrypto", "_ssl", "_hashlib") if library in mapped}


def demo_lines(process: subprocess.Popen[str]) -> tuple[Any, Any, str]:
    output, errors = process.communicate(timeout=DEMO_TIMEOUT_S)
    lines = output.splitlines()
    return json.loads(lines[0]), json.loads(lines[-1]), errors


def test_demo_prints_addresses_first_and_totals_and_verdict_last() -> None:
    process = spawn("demo", "--seconds", "2", "--nodes", "4", "--rate", "40", "--fault", "slow", "--json")
    first, last, errors = demo_lines(process)
    assert process.returncode == 0, errors
    assert set(first) == {"routers", "control", "registries", "origin", "nodes"}
    assert len(first["nodes"]) == 4
    assert last["totals"]["requests"] > 20
    assert last["audit"]["clean"]
    assert last["audit"]["checked"]["answers"] == last["totals"]["tries"]


def children(pid: int) -> list[int]:
    found = []
    for stat in Path("/proc").glob("[0-9]*/stat"):
        with contextlib.suppress(OSError):
            # The state and the parent follow the process name, which is in parentheses.
            if int(stat.read_text().rpartition(")")[2].split()[1]) == pid:
                found.append(int(stat.parent.name))
    return found


def alive(pid: int) -> bool:
    try:
        os.kill(pid, 0)
    except ProcessLookupError:
        return False
    return True


@pytest.mark.parametrize("interrupts", [1, 2, 3])
def test_demo_leaves_no_process_on_ctrl_c(interrupts: int) -> None:
    process = spawn("demo", "--nodes", "3", "--rate", "30", "--json")
    assert process.stdout is not None
    first = json.loads(process.stdout.readline())
    assert first["routers"]
    started = children(process.pid)
    assert len(started) == 2  # the fleet and a router
    for _ in range(interrupts):
        process.send_signal(signal.SIGINT)
        time.sleep(0.05)
    output, errors = process.communicate(timeout=DEMO_TIMEOUT_S)
    assert "Traceback" not in errors, errors
    assert process.returncode in (0, 1)
    assert "audit" in json.loads(output.splitlines()[-1])
    assert not [pid for pid in started if alive(pid)]


def test_a_fleet_is_controlled_from_another_process(tmp_path: Path) -> None:
    ledger = tmp_path / "fleet.jsonl"
    fleet = spawn("standins", "--nodes", "3", "--ledger", str(ledger))
    try:
        assert fleet.stdout is not None
        control = json.loads(fleet.stdout.readline())["control"]
        started = call("fault", "strike", "--control", control, "slow", "n001", "--figure", "factor=3")
        assert json.loads(started.output)["fault"]["figures"] == {"factor": 3.0}
        state = json.loads(call("fault", "state", "--control", control).output)
        assert state["nodes"]["n001"]["fault"] == "slow"
        assert call("fault", "mend", "--control", control, "n001").exit_code == 0
        assert call("fault", "mend", "--control", control, "n001").exit_code == 2
        assert call("fault", "strike", "--control", control, "slow", "n001", "--figure", "x").exit_code == 2
    finally:
        fleet.terminate()
        fleet.communicate(timeout=TIMEOUT_S)
    audited = call("audit", str(ledger), "--json")
    assert audited.exit_code == 0
    assert json.loads(audited.output)["clean"]
    ledger.write_text('{"kind":"try"}\n')
    assert call("audit", str(ledger)).exit_code == 2
