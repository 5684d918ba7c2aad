"""The list of tests that are known to fail: only these may fail, and only as long as they do."""

from __future__ import annotations

from pathlib import Path

import pytest

from tests.known_red import FILE_NAME, parse

TESTS = """
import pytest

def test_good():
    pass

def test_bad():
    assert False

@pytest.fixture
def broken():
    raise RuntimeError

def test_bad_fixture(broken):
    pass

@pytest.mark.parametrize("number", [1, 2])
def test_odd(number):
    assert number % 2

@pytest.mark.skip
def test_skipped():
    pass
"""
HEALTHY = "--deselect=tests/test_some.py::test_bad_fixture", "--deselect=tests/test_some.py::test_odd"
BAD = "tests/test_some.py::test_bad | the origin answers twice | 7"
GOOD = "tests/test_some.py::test_good | once it failed | 8"


@pytest.fixture(autouse=True)
def few_plugins(monkeypatch: pytest.MonkeyPatch) -> None:
    """Don't load installed plugins: their import takes longer than the whole small suite."""
    monkeypatch.setenv("PYTEST_DISABLE_PLUGIN_AUTOLOAD", "1")


@pytest.fixture
def suite(pytester: pytest.Pytester) -> Suite:
    """A suite that runs in this process, which is fast."""
    return Suite(pytester, ())


@pytest.fixture(params=[(), ("-p", "xdist", "-n", "1")], ids=["one process", "xdist"])
def each_suite(request: pytest.FixtureRequest, pytester: pytest.Pytester) -> Suite:
    """A suite that runs in this process, and one with xdist workers, as the project's own suite runs."""
    return Suite(pytester, request.param)


class Suite:
    """A small test suite with its list of known failures."""

    def __init__(self, pytester: pytest.Pytester, distribution: tuple[str, ...]) -> None:
        self._pytester, self._distribution = pytester, distribution
        self.distributed = bool(distribution)
        self.folder = pytester.path
        plugin = Path(__file__).with_name("known_red.py").read_text()
        pytester.makepyfile(known_red=plugin)
        pytester.makeini("[pytest]\ntestpaths = tests\npythonpath = .")
        folder = pytester.mkdir("tests")
        (folder / "conftest.py").write_text('pytest_plugins = ["known_red"]')
        (folder / "test_some.py").write_text(TESTS)
        (folder / "test_other.py").write_text("def test_other():\n    pass\n")

    def run(self, *lines: str, arguments: tuple[str, ...] = HEALTHY) -> pytest.RunResult:
        (self._pytester.path / FILE_NAME).write_text("\n".join(lines))
        return self._pytester.runpytest_inprocess("-q", *self._distribution, *arguments)


def test_without_a_list_a_failure_fails_the_run(suite: Suite) -> None:
    result = suite.run()
    assert result.ret == pytest.ExitCode.TESTS_FAILED
    assert "known red" not in result.stdout.str()


def test_a_listed_test_that_fails_is_tolerated_and_printed(each_suite: Suite) -> None:
    result = each_suite.run("# comment", BAD, "")
    assert result.ret == pytest.ExitCode.OK
    result.assert_outcomes(passed=2, xfailed=1, skipped=1, deselected=0 if each_suite.distributed else 3)
    result.stdout.fnmatch_lines(
        [
            "*known red: 1 in KNOWN-RED.txt*",
            "*::test_bad: failed as listed; cause: the origin answers twice; issue: 7",
        ]
    )


def test_only_the_listed_test_is_tolerated(suite: Suite) -> None:
    result = suite.run(BAD, arguments=())
    assert result.ret == pytest.ExitCode.TESTS_FAILED
    result.assert_outcomes(passed=3, xfailed=1, failed=1, errors=1, skipped=1)


def test_one_case_of_a_parametrized_test_and_a_broken_fixture_can_be_listed(suite: Suite) -> None:
    odd = "tests/test_some.py::test_odd[2] | two is even | 9"
    fixture = "tests/test_some.py::test_bad_fixture | the fixture raises | 9"
    result = suite.run(BAD, odd, fixture, arguments=())
    assert result.ret == pytest.ExitCode.OK
    result.assert_outcomes(passed=3, xfailed=3, skipped=1)


def test_a_listed_test_that_passes_again_fails_the_run(each_suite: Suite) -> None:
    result = each_suite.run(BAD, GOOD)
    assert result.ret == pytest.ExitCode.TESTS_FAILED
    result.stdout.fnmatch_lines(["*test_good: PASSES AGAIN*"])
    result.assert_outcomes(
        passed=1, xfailed=1, failed=1, skipped=1, deselected=0 if each_suite.distributed else 3
    )


def test_a_listed_test_stated_as_flaky_may_pass_and_may_fail(suite: Suite) -> None:
    result = suite.run(f"{BAD} | flaky", f"{GOOD} | flaky")
    assert result.ret == pytest.ExitCode.OK
    result.stdout.fnmatch_lines(["*test_bad: failed as listed*", "*test_good: passed this time*"])


def test_a_listed_test_that_is_skipped_is_printed_as_such(suite: Suite) -> None:
    result = suite.run(BAD, "tests/test_some.py::test_skipped | waits for a fault | 9")
    assert result.ret == pytest.ExitCode.OK
    result.stdout.fnmatch_lines(["*test_skipped: skipped;*"])


@pytest.mark.parametrize("test_id", ["tests/test_some.py::test_gone", "tests/test_gone.py::test_bad"])
def test_a_listed_id_that_matches_no_test_fails_the_run(each_suite: Suite, test_id: str) -> None:
    result = each_suite.run(BAD, f"{test_id} | gone | 9")
    assert result.ret == pytest.ExitCode.TESTS_FAILED
    result.stdout.fnmatch_lines([f"*{test_id}: NO SUCH TEST*"])


def test_a_run_of_one_file_does_not_judge_the_others(suite: Suite) -> None:
    result = suite.run(BAD, arguments=("tests/test_other.py",))
    assert result.ret == pytest.ExitCode.OK
    result.stdout.fnmatch_lines(["*test_bad: not run;*"])


@pytest.mark.parametrize(
    ("lines", "message"),
    [
        ([BAD, BAD], "listed twice"),
        (["tests/test_some.py::test_bad"], "not `test id"),
        (["tests/test_some.py::test_bad |  | 9"], "not `test id"),
        ([f"{BAD} | sometimes"], "not `test id"),
        ([f"{BAD} | flaky | more"], "not `test id"),
    ],
)
def test_a_list_that_breaks_its_rules_is_refused(lines: list[str], message: str) -> None:
    with pytest.raises(pytest.UsageError, match=message):
        parse("\n".join(lines))


def test_a_wrong_list_ends_the_run_before_any_test(each_suite: Suite) -> None:
    result = each_suite.run(BAD, BAD)
    assert result.ret == pytest.ExitCode.USAGE_ERROR
    assert "listed twice" in result.stderr.str()
    assert "passed" not in result.stdout.str()


def test_a_missing_list_counts_as_empty(pytester: pytest.Pytester) -> None:
    suite = Suite(pytester, ())
    suite.run()
    (pytester.path / FILE_NAME).unlink()
    result = pytester.runpytest_inprocess("-q", "tests/test_other.py")
    result.assert_outcomes(passed=1)


def test_a_cause_may_name_command_and_seed_and_more_than_three_tests_may_be_listed() -> None:
    lines = [f"tests/test_some.py::test_odd[{n}] | seed {n}: `pytest -k odd` | 9" for n in range(5)]
    assert [known.cause for known in parse("\n".join(lines))] == [
        f"seed {n}: `pytest -k odd`" for n in range(5)
    ]


def test_report_of_a_listed_failure_tells_its_error(each_suite: Suite) -> None:
    """Guards against events that nobody can trace: a listed test that fails once showed only its old line."""
    printed = each_suite.run(BAD).stdout.str()
    assert "    E       assert False" in printed


def test_report_of_a_failure_tells_what_the_machine_went_through(suite: Suite) -> None:
    (suite.folder / "machine_report.py").write_text(Path(__file__).with_name("machine_report.py").read_text())
    (suite.folder / "tests/conftest.py").write_text('pytest_plugins = ["known_red", "machine_report"]')
    unlisted, listed = suite.run().stdout.str(), suite.run(BAD).stdout.str()
    for printed in (unlisted, listed):
        assert "some process waited for a processor for" in printed
        assert "TCP counters of the kernel: " in printed
