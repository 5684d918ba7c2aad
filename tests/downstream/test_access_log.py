"""Tests of the access log, and of the report that finds requests without a correct answer."""

from __future__ import annotations

import asyncio
import errno
import json
import os
from collections.abc import Callable, Coroutine
from pathlib import Path
from typing import Any

import msgspec
import pytest

from saltport.downstream.access_log import AccessLog
from saltport.downstream.access_report import Finding, Report, main, read_log
from saltport.downstream.outcomes import CloseReason
from tests.crossings.test_closing import ClientSide, run_scenario
from tests.sockets import get

LONG = 1 << 20


class Source:
    """The source of a streamed value that ignores being paused and resumed."""

    def pause(self) -> None:
        pass

    def resume(self) -> None:
        pass

    def client_left(self) -> None:
        pass


def report_of(
    path: Path, scene: Callable[[ClientSide], Coroutine[Any, Any, None]], stopped: bool = True
) -> Report:
    """Run a scene with an access log, and return the report of that log."""

    async def logged(front: ClientSide) -> None:
        access_log = AccessLog(asyncio.get_running_loop(), path)
        front.server.access_log = access_log
        await scene(front)
        front.server.close()
        access_log.close()
        await asyncio.sleep(0)

    run_scenario(logged)
    return read_log("r1", path.read_bytes().splitlines())


def findings(report: Report) -> list[tuple[Finding, str]]:
    return [(problem.finding, problem.request.id) for problem in report.problems]


def test_answers_are_logged_by_kind_in_request_order(tmp_path: Path) -> None:
    async def scene(front: ClientSide) -> None:
        end, _ = await front.client()
        end.sendall(b"".join(get(name) for name in ("r1", "r2", "r3", "r4")))
        await front.until(lambda: len(front.host.requests) == 4)
        replies = [reply for _, reply in front.host.requests]
        replies[3].served(b"last decided first")
        replies[0].served(b"v")
        replies[1].refused()
        replies[2].failed()
        await asyncio.sleep(0)
        end.close()

    report = report_of(tmp_path / "log", scene)
    assert report.accepted == 4
    assert report.answers == {"served": 2, "refused": 1, "failed": 1}
    assert report.problems == []
    ended = [
        line["id"]
        for line in map(msgspec.json.decode, (tmp_path / "log").read_bytes().splitlines())
        if line["event"] == "answered"
    ]
    assert ended == ["r1", "r2", "r3", "r4"]


def test_a_client_that_leaves_is_no_fault(tmp_path: Path) -> None:
    async def scene(front: ClientSide) -> None:
        end, _ = await front.client()
        end.sendall(get("r1"))
        await front.until(lambda: front.host.requests)
        end.close()
        await front.until(lambda: front.host.gone)

    report = report_of(tmp_path / "log", scene)
    assert (report.accepted, report.left, report.problems) == (1, 1, [])


def test_a_request_unanswered_when_the_router_closes_is_found(tmp_path: Path) -> None:
    async def scene(front: ClientSide) -> None:
        end, _ = await front.client()
        end.sendall(get("r1") + get("r2"))
        await front.until(lambda: len(front.host.requests) == 2)
        front.host.requests[0][1].served(b"v")
        front.server.close()

    report = report_of(tmp_path / "log", scene)
    assert findings(report) == [(Finding.UNANSWERED, "r2")]
    assert CloseReason.SHUTDOWN.value in str(report.problems[0])


def test_a_cut_value_is_distinguished_from_unanswered_requests_behind_it(tmp_path: Path) -> None:
    async def scene(front: ClientSide) -> None:
        end, _ = await front.client()
        end.sendall(get("r1") + get("r2"))
        await front.until(lambda: len(front.host.requests) == 2)
        reply = front.host.requests[0][1]
        reply.start(LONG, Source())  # type: ignore[arg-type]
        reply.send_part(b"half")
        reply.abort_value()

    report = report_of(tmp_path / "log", scene)
    assert findings(report) == [(Finding.CUT, "r1"), (Finding.UNANSWERED, "r2")]
    assert {problem.detail for problem in report.problems} == {CloseReason.VALUE_CUT.value}


def test_an_answer_that_never_left_is_found(tmp_path: Path) -> None:
    async def scene(front: ClientSide) -> None:
        end, connection = await front.client(small=True)
        end.sendall(get("r1"))
        await front.until(lambda: front.host.requests)
        front.host.requests[0][1].served(bytes(16 * LONG))
        connection.abort(CloseReason.STALLED)

    assert findings(report_of(tmp_path / "log", scene)) == [(Finding.UNSENT, "r1")]


def test_what_is_open_at_the_end_depends_on_how_the_process_ended() -> None:
    opened = [b'{"event":"accepted","at_ns":5,"connection":1,"id":"r1","request_class":"get","timeout_ms":9}']
    assert findings(read_log("r1", opened)) == [(Finding.KILLED, "r1")]
    closed = (
        b'{"event":"closed","at_ns":%d,"connection":2,"reason":"the client ended it",'
        b'"unanswered":[],"unsent_bytes":1,"partial_command":false}'
    )
    assert findings(read_log("r1", [*opened, closed % 509_000_005])) == [(Finding.KILLED, "r1")]
    assert findings(read_log("r1", [*opened, closed % 509_000_006])) == [(Finding.OVERDUE, "r1")]
    stopped = [*opened, b'{"event":"stopped","at_ns":7}']
    assert findings(read_log("r1", stopped)) == [(Finding.FORGOTTEN, "r1")]
    assert read_log("r1", [b'{"event":"acce']).unreadable == 1


@pytest.mark.parametrize(("after_ms", "found"), [(1, []), (509, []), (510, [Finding.LATE])])
def test_late_answers_are_found(after_ms: int, found: list[Finding]) -> None:
    at_ns = 5 + after_ms * 1_000_000
    lines = [
        b'{"event":"accepted","at_ns":5,"connection":1,"id":"r1","request_class":"get","timeout_ms":9}',
        b'{"event":"answered","at_ns":%d,"connection":1,"id":"r1","answer":"served"}' % at_ns,
    ]
    assert [problem.finding for problem in read_log("r1", lines).problems] == found


def test_a_second_answer_is_found() -> None:
    answered = b'{"event":"answered","at_ns":9,"connection":1,"id":"r1","answer":"served"}'
    accepted = b'{"event":"accepted","at_ns":5,"connection":1,"id":"r1","request_class":"get","timeout_ms":9}'
    report = read_log("r1", [accepted, answered, answered])
    assert findings(report) == [(Finding.ANSWERED_TWICE, "r1")]


def test_an_id_that_a_client_uses_again_is_no_second_answer() -> None:
    accepted = (
        b'{"event":"accepted","at_ns":5,"connection":%d,"id":"r1","request_class":"get","timeout_ms":9}'
    )
    answered = b'{"event":"answered","at_ns":9,"connection":%d,"id":"r1","answer":"%b"}'
    lines = [accepted % 1, accepted % 1, accepted % 2, answered % (2, b"rejected")]
    lines += [answered % (1, b"served"), answered % (1, b"rejected")]
    report = read_log("r1", lines)
    assert report.answers == {"served": 1, "rejected": 2}
    assert report.problems == []


def test_a_full_log_is_rotated(tmp_path: Path) -> None:
    path = tmp_path / "log"

    async def write() -> None:
        access_log = AccessLog(asyncio.get_running_loop(), path, max_bytes=400)
        for number in range(12):
            access_log.accepted(1, f"r{number}", "get", 100)
            await asyncio.sleep(0.001)
        access_log.close()

    asyncio.run(write())
    lines = (path.with_name("log.1").read_bytes() + path.read_bytes()).splitlines()
    assert path.stat().st_size <= 400
    assert msgspec.json.decode(lines[-2])["id"] == "r11"
    assert {msgspec.json.decode(line)["event"] for line in lines} == {"accepted", "stopped"}


def test_a_log_that_cannot_be_written_costs_no_request(tmp_path: Path) -> None:
    async def scene(front: ClientSide) -> None:
        access_log = front.server.access_log
        assert access_log is not None
        access_log._max_bytes = 1
        (tmp_path / "log").unlink()  # rotation fails from now on
        end, _ = await front.client()
        end.sendall(get("r1"))
        await front.until(lambda: front.host.requests)
        front.host.requests[0][1].served(b"v")
        await front.until(lambda: access_log.failures)
        assert await asyncio.get_running_loop().run_in_executor(None, end.recv, 64) == b"$1\r\nv\r\n"
        (tmp_path / "log").touch()
        end.close()

    assert report_of(tmp_path / "log", scene).accepted == 0


def test_the_report_s_exit_status(tmp_path: Path, capsys: pytest.CaptureFixture[str]) -> None:
    path = tmp_path / "log"
    path.write_bytes(
        b'{"event":"accepted","at_ns":5,"connection":1,"id":"r1","request_class":"get","timeout_ms":9}\n'
    )
    assert main([str(path)]) == 0
    path.write_bytes(path.read_bytes() + b'{"event":"stopped","at_ns":7}\n')
    assert main([str(path)]) == 1
    assert "r1 (get, 9 ms)" in capsys.readouterr().out
    assert main([str(tmp_path / "none")]) == 2
    assert main([]) == 2


def test_a_disk_that_fails_for_a_while_costs_no_entry(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    path, count = tmp_path / "access.jsonl", 40
    real_write, calls = os.write, 0

    def failing_write(file: int, data: bytes) -> int:
        nonlocal calls
        calls += 1
        if calls % 3 == 0:
            raise OSError(errno.ENOSPC, os.strerror(errno.ENOSPC))
        return real_write(file, data[: max(len(data) // 3, 1)] if calls % 3 == 1 else data)

    async def scene() -> None:
        access_log = AccessLog(asyncio.get_running_loop(), path)
        with monkeypatch.context() as patched:
            patched.setattr(os, "write", failing_write)
            for number in range(count):
                access_log.accepted(1, f"r{number}", "get", 500)
                await asyncio.sleep(0)
        access_log.close()

    asyncio.run(scene())
    entries = [json.loads(line) for line in path.read_text().splitlines()]
    assert [entry["id"] for entry in entries[:-1]] == [f"r{number}" for number in range(count)]
    assert entries[-1]["event"] == "stopped"
