"""A new process replaces a running one: new connections, partial commands, crashes, and inherited state."""

from __future__ import annotations

import os
import signal
import socket
import threading
import time
from pathlib import Path

import pytest

from benchmarks.platform import Load, platform
from saltport.admin.client import ask
from tests.sockets import (
    MISS,
    TIMEOUT_S,
    Peer,
    bulk,
    echo_cache,
    echo_cache_with_slow_key,
    entry,
    eventually,
    get,
    http_answer,
    start_router,
)


def test_two_upgrades_in_a_row_under_load_refuse_no_connection(tmp_path: Path) -> None:
    with platform(tmp_path, {f"s{i}": echo_cache() for i in range(3)}) as running:
        first = running.start().wait_until_healthy()
        load = Load(running, 8)
        load.wait_for_answers(200)
        second = running.upgrade(first)
        load.wait_for_answers(200)
        third = running.upgrade(second)
        eventually(lambda: first.has_exited and second.has_exited, "the old processes have exited")
        load.wait_for_answers(200)
        load.stop()
        assert (load.unanswered, load.refused, load.wrong) == (0, 0, [])
        assert first.process.returncode == second.process.returncode == 0
        assert ask(third.admin, "/stats")["answered"]["get"] > 200


def test_partial_and_waiting_commands_survive_an_upgrade(tmp_path: Path) -> None:
    release = threading.Event()
    with platform(tmp_path, {"s1": echo_cache_with_slow_key(release)}) as running:
        old = running.start().wait_until_healthy()
        idle, partial, waiting, pipelined = (running.client() for _ in range(4))
        assert idle.ask(get("a1")) == b"a1"
        partial.send(get("a2")[:30])
        waiting.send(get("a3", "slow"))
        pipelined.send(get("a4", "slow") + get("a5")[:25])
        eventually(lambda: ask(old.admin, "/stats")["current"] == 2, "both requests have been received")
        new = running.upgrade(old)
        partial.send(get("a2")[30:])
        assert partial.answer() == b"a2"
        assert idle.ask(get("a6")) == b"a6"
        assert idle.ask(bulk(b"PING")) == b"+PONG"
        release.set()
        assert waiting.answer() == b"a3"
        assert pipelined.answer() == b"a4"
        pipelined.send(get("a5")[25:])
        assert pipelined.answer() == b"a5"
        assert waiting.ask(get("a7")) == b"a7"
        eventually(lambda: old.has_exited, "the old process has exited")
        assert ask(new.admin, "/state")["connected"] == 4
        assert running.client().ask(get("a8")) == b"a8"


def test_new_process_that_dies_before_it_is_ready_leaves_the_old_one_untouched(tmp_path: Path) -> None:
    with platform(tmp_path, {"s1": echo_cache()}) as running:
        old = running.start().wait_until_healthy()
        client = running.client()
        assert client.ask(get("a1")) == b"a1"
        running.discovery.peer.close()  # without a server list the new process does not get ready
        dead = running.start()
        eventually(lambda: ask(old.admin, "/state")["shared"], "the processes are linked")
        os.kill(dead.process.pid, signal.SIGKILL)
        dead.process.communicate(timeout=TIMEOUT_S)
        assert client.ask(get("a2")) == b"a2"
        assert running.client().ask(get("a3")) == b"a3"
        assert old.is_healthy()
        eventually(lambda: not ask(old.admin, "/state")["shared"], "the link is closed")


def test_ban_in_either_process_applies_in_both_while_they_overlap(tmp_path: Path) -> None:
    caches = {f"s{i}": echo_cache() for i in range(3)}
    with platform(tmp_path, caches) as running:
        old = running.start().wait_until_healthy()
        assert old.ban("s0") == 200
        new = running.start().wait_until_healthy()
        assert ask(new.admin, "/state")["out"] == ["s0"], (
            "the ban applies before the first request of the new process"
        )
        assert new.ban("s1") == 200
        eventually(lambda: ask(old.admin, "/state")["out"] == ["s0", "s1"], "the old process has the ban too")
        load = Load(running, 4)
        seen = [len(caches[name].seen) for name in ("s0", "s1")]
        old.terminate()
        load.wait_for_answers(100)
        assert new.ban("s0", "ready") == 200
        eventually(lambda: len(caches["s0"].seen) > seen[0], "the server is used again")
        load.stop()
        assert len(caches["s1"].seen) == seen[1]
        assert load.unanswered == 0


def test_reload_and_drain_during_the_overlap(tmp_path: Path) -> None:
    with platform(tmp_path, {"s1": echo_cache()}) as running:
        old = running.start().wait_until_healthy()
        new = running.start().wait_until_healthy()
        for process in (old, new):
            process.process.send_signal(signal.SIGHUP)
            process.until("conf_loaded", 1)
        assert old.put("/healthcheck/fail") == 200
        assert not old.is_healthy()
        assert new.is_healthy(), "a drain applies to one process only"
        old.terminate()
        eventually(lambda: old.has_exited, "the old process has exited")
        assert running.client().ask(get("a1")) == b"a1"


def test_clients_in_the_backlog_are_accepted_by_the_next_process(tmp_path: Path) -> None:
    with platform(tmp_path, {"s1": echo_cache()}) as running:
        old = running.start().wait_until_healthy()
        os.kill(old.process.pid, signal.SIGSTOP)
        waiting = [running.client() for _ in range(20)]
        for i, client in enumerate(waiting):
            client.send(get(f"b{i}"))
        new = running.start().wait_until_healthy()
        os.kill(old.process.pid, signal.SIGCONT)
        old.terminate()
        assert [client.answer() for client in waiting] == [b"b%d" % i for i in range(20)]
        eventually(lambda: old.has_exited, "the old process has exited")
        assert new.is_healthy()


def test_without_a_link_connections_close_and_the_next_process_serves(tmp_path: Path) -> None:
    deep = tmp_path / ("d" * 100)
    deep.mkdir()
    with platform(tmp_path, {"s1": echo_cache()}) as running:
        old = running.start(TMPDIR=str(deep)).wait_until_healthy()
        client = running.client()
        assert client.ask(get("a1")) == b"a1"
        running.start(TMPDIR=str(deep)).wait_until_healthy()
        old.terminate()
        assert client.at_end()
        assert running.client().ask(get("a2")) == b"a2"


@pytest.mark.parametrize("what", ["absent", "no socket", "no listener", "no number"])
def test_descriptor_that_is_no_listening_socket_is_reported_without_traceback(
    tmp_path: Path, what: str
) -> None:
    with platform(tmp_path, {"s1": echo_cache()}) as running:
        with socket.socket() as plain, open(os.devnull) as file:
            descriptors = {
                "absent": "97",
                "no socket": str(file.fileno()),
                "no listener": str(plain.fileno()),
            }
            process = start_router(
                tmp_path,
                running.configuration,
                environ={"LB_SOCKET_FD": descriptors.get(what, "four")},
                inherits=[file.fileno(), plain.fileno()],
            )
            _, log = process.communicate(timeout=TIMEOUT_S)
        assert process.returncode in (1, 2)
        assert log.splitlines()[-1].startswith("saltport: LB_SOCKET_FD"), log
        assert "Traceback" not in log


def test_admin_address_in_use_is_reported_and_the_old_process_keeps_serving(tmp_path: Path) -> None:
    with platform(tmp_path, {"s1": echo_cache()}) as running:
        old = running.start().wait_until_healthy()
        second = running.start(LB_ADMIN_ADDR="{}:{}".format(*old.admin))
        log = second.wait_for_exit()
        assert second.process.returncode == 1
        assert log.splitlines()[-1].startswith("saltport: ")
        assert running.client().ask(get("a1")) == b"a1"


def test_both_processes_together_stay_within_the_descriptors_and_the_memory(tmp_path: Path) -> None:
    with platform(tmp_path, {f"s{i}": echo_cache() for i in range(4)}) as running:
        old = running.start().wait_until_healthy()
        load = Load(running, 16)
        load.wait_for_answers(100)
        new = running.start().wait_until_healthy()
        load.wait_for_answers(100)
        assert old.descriptors() + new.descriptors() < running.configuration["limits"]["sockets"]
        assert old.memory_kb() + new.memory_kb() < 120_000
        assert ask(old.admin, "/state")["servers_may_hold"] == ask(new.admin, "/state")["servers_may_hold"]
        shared = ask(new.admin, "/state")["servers_may_hold"]
        old.terminate()
        eventually(lambda: old.has_exited, "the old process has exited")
        eventually(
            lambda: ask(new.admin, "/state")["servers_may_hold"] >= 2 * shared,
            "the new process may use all descriptors",
        )
        load.stop()
        assert load.unanswered == 0


def test_server_list_and_a_draining_server_reach_both_processes(tmp_path: Path) -> None:
    caches = {f"s{i}": echo_cache() for i in range(2)}
    with platform(tmp_path, caches) as running:
        old = running.start().wait_until_healthy()
        new = running.start().wait_until_healthy()
        running.discovery.change(entry(caches["s0"], "s0", lifecycle="draining"), entry(caches["s1"], "s1"))
        for process in (old, new):
            process.until("caches", 1)


def test_next_process_inherits_the_windows_of_the_tenants(tmp_path: Path) -> None:
    cache = Peer(lambda _, words: MISS)
    origin = Peer(lambda _, message: http_answer(200, b"x"), is_http=True)
    with platform(tmp_path, {"s1": cache}) as running:
        running.discovery.change(entry(cache, "s1"), entry(origin, "origin", "origin"))
        old = running.start().wait_until_healthy()
        client = running.client()
        for i in range(50):
            assert client.ask(get(f"m{i}", f"k{i}")) == b"x"
        rate = ask(old.admin, "/state")["tenants"]["acme"]["fetches_per_s"]
        new = running.start().wait_until_healthy()
        inherited_rate = ask(new.admin, "/state")["tenants"]["acme"]["fetches_per_s"]
        assert 0 < inherited_rate <= rate
        origin.close()


def test_partial_command_is_ended_within_3_s_of_its_start_across_a_takeover(
    tmp_path: Path,
) -> None:
    """A client that stops in the middle of a command must get an error or a close within 3 s.

    The next process once restarted the timeout: a partial command that was 2 s old at the hand-over stayed
    open for 4.4 s.
    """
    with platform(tmp_path, {"s1": echo_cache()}) as running:
        old = running.start().wait_until_healthy()
        first, second = running.client(), running.client()
        assert first.ask(get("a1")) == b"a1"
        assert second.ask(get("a2")) == b"a2"
        begun = time.monotonic()
        first.send(get("a3")[:30])
        time.sleep(1.2)
        second.send(get("a4")[:30])
        new = running.upgrade(old)
        eventually(
            lambda: ask(new.admin, "/state")["taken_over"] == 2, "both connections are in the next process"
        )
        assert first.answer().startswith(b"-ERR"), "the client gets an error"
        assert time.monotonic() - begun < 3
        second.send(get("a4")[30:])
        assert second.answer() == b"a4", "a younger partial command is not ended yet"
