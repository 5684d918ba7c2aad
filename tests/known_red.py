"""Pytest plugin for known failures: tests listed in KNOWN-RED.txt may fail without failing the run.

Each line of the file is `test id | cause | issue`; the cause may name a command and a seed. Blank lines and
lines that begin with `#` are ignored. The list should stay short. Listed tests still run, as strict expected
failures: one that passes again fails the run, so that its line gets removed. Only a test with a fourth field
`flaky` may either pass or fail. A run of the whole suite fails if a listed id matches no test; a run of some
files does not check that. Every run prints the list with the outcome of each test, and how it
failed.
"""

from __future__ import annotations

from collections.abc import Iterable, Sequence
from dataclasses import dataclass
from pathlib import Path

import pytest

FILE_NAME = "KNOWN-RED.txt"
FLAKY = "flaky"
SEPARATOR = " | "


@dataclass(frozen=True, slots=True)
class KnownRed:
    """One line of the list."""

    test_id: str
    cause: str
    issue: str
    flaky: bool


def parse(text: str) -> list[KnownRed]:
    """Parse the list; raises `pytest.UsageError` with the invalid line."""
    lines = [line.strip() for line in text.splitlines()]
    listed = [_parse_line(line) for line in lines if line and not line.startswith("#")]
    if len({known.test_id for known in listed}) < len(listed):
        raise pytest.UsageError(f"{FILE_NAME}: a test is listed twice")
    return listed


def _parse_line(line: str) -> KnownRed:
    fields = [field.strip() for field in line.split(SEPARATOR)]
    well_formed = len(fields) in (3, 4) and all(fields) and fields[3:] in ([], [FLAKY])
    if not well_formed:
        raise pytest.UsageError(
            f"{FILE_NAME}: not `test id | cause | issue`, nor that with `| {FLAKY}` behind it: {line}"
        )
    test_id, cause, issue, *rest = fields
    return KnownRed(test_id, cause, issue, flaky=bool(rest))


class KnownRedPlugin:
    """Marks the listed tests, checks that they exist and prints their outcomes."""

    def __init__(self, listed: Sequence[KnownRed], full_suite: bool) -> None:
        """`full_suite`: whether this run collects all tests of the project."""
        self._listed = {known.test_id: known for known in listed}
        self._full_suite = full_suite
        self._collected: set[str] = set()
        self._outcomes: dict[str, str] = {}
        self._failures: dict[str, str] = {}

    @pytest.hookimpl(tryfirst=True)
    def pytest_collection_modifyitems(self, items: list[pytest.Item]) -> None:
        """Mark listed tests as expected failures; runs first, so that deselected tests count as found."""
        self._record_collected(item.nodeid for item in items)
        for item in items:
            known = self._listed.get(item.nodeid)
            if known is not None:
                reason = f"{FILE_NAME}: {known.cause} ({known.issue})"
                item.add_marker(pytest.mark.xfail(reason=reason, strict=not known.flaky), append=False)

    @pytest.hookimpl(optionalhook=True)
    def pytest_xdist_node_collection_finished(self, ids: Sequence[str]) -> None:
        """Record the tests that an xdist worker collected, for the controller's check and report."""
        self._record_collected(ids)

    def _record_collected(self, ids: Iterable[str]) -> None:
        self._collected.update(self._listed.keys() & set(ids))

    def pytest_runtest_logreport(self, report: pytest.TestReport) -> None:
        """Record a listed test's outcome: the most informative one of its three phases."""
        if report.nodeid not in self._listed:
            return
        expected = hasattr(report, "wasxfail")
        if expected and report.skipped:
            self._outcomes[report.nodeid] = "failed as listed"
            self._failures[report.nodeid] = _failure_text(report)
        elif expected and report.passed:
            self._outcomes[report.nodeid] = "passed this time, listed as flaky"
        elif report.failed:
            passed = "XPASS" in str(report.longrepr)
            self._outcomes[report.nodeid] = "PASSES AGAIN: remove its line" if passed else "CRASHED"
        elif report.skipped:
            self._outcomes.setdefault(report.nodeid, "skipped")

    def _missing(self) -> list[str]:
        if not self._full_suite:
            return []
        return [test_id for test_id in self._listed if test_id not in self._collected]

    @pytest.hookimpl(trylast=True)
    def pytest_sessionfinish(self, session: pytest.Session, exitstatus: int) -> None:
        """Fail a run whose list names a test that doesn't exist."""
        if self._missing() and exitstatus == pytest.ExitCode.OK:
            session.exitstatus = pytest.ExitCode.TESTS_FAILED

    def pytest_terminal_summary(self, terminalreporter: pytest.TerminalReporter) -> None:
        """Print each listed test with its outcome, cause and issue."""
        if not self._listed:
            return
        terminalreporter.section(f"known red: {len(self._listed)} in {FILE_NAME}")
        missing = self._missing()
        for test_id, known in self._listed.items():
            outcome = "NO SUCH TEST" if test_id in missing else self._outcomes.get(test_id, "not run")
            terminalreporter.line(f"{test_id}: {outcome}; cause: {known.cause}; issue: {known.issue}")
            if test_id in self._failures:
                terminalreporter.write(self._failures[test_id])


def _failure_text(report: pytest.TestReport) -> str:
    """Return the error of a listed test that failed, and what it printed."""
    errors = [line for line in report.longreprtext.splitlines() if line.startswith("E ")]
    sections = [line for name, text in report.sections for line in (f"--- {name}", *text.splitlines())]
    return "".join(f"    {line}\n" for line in [*errors, *sections])


def pytest_configure(config: pytest.Config) -> None:
    """Read the list; an invalid list ends the run before any test."""
    file = config.rootpath / FILE_NAME
    listed = parse(file.read_text()) if file.exists() else []
    config.pluginmanager.register(KnownRedPlugin(listed, _is_full_suite(config)), "known-red-list")


def _is_full_suite(config: pytest.Config) -> bool:
    """Whether the run covers the configured test paths, which xdist workers get as explicit arguments."""
    suite_paths = {(config.rootpath / path).resolve() for path in config.getini("testpaths")}
    requested = {(config.invocation_params.dir / Path(argument)).resolve() for argument in config.args}
    return bool(suite_paths) and requested in (suite_paths, {config.rootpath.resolve()})
