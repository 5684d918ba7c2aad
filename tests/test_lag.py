"""The lag meter: estimates of how long an answer may have been unread, from the loop's iterations."""

from __future__ import annotations

from hypothesis import given, strategies

from saltport.lag import HEARTBEAT_NS, HEARTBEAT_SLACK_NS, LagMeter

US = 1_000
MS = 1_000_000


def test_an_answer_that_the_loop_waited_for_was_read_at_once() -> None:
    meter = LagMeter()
    meter.begin_iteration(10 * MS)
    meter.end_iteration(11 * MS)
    meter.begin_iteration(15 * MS)  # after a wait of 4 ms
    assert meter.max_unread_time(15 * MS) == 0
    assert meter.max_unread_time(15 * MS + 300 * US) == 300 * US  # after other events of the iteration


def test_an_answer_found_without_a_wait_may_have_come_during_the_previous_iteration() -> None:
    meter = LagMeter()
    meter.begin_iteration(10 * MS)
    meter.end_iteration(40 * MS)
    meter.begin_iteration(40 * MS + 10 * US)
    assert meter.max_unread_time(41 * MS) == 31 * MS


def test_lag_does_not_add_up_over_iterations() -> None:
    meter = LagMeter()
    for iteration in range(100):
        meter.begin_iteration(iteration * MS)
        meter.end_iteration(iteration * MS + 990 * US)
    meter.begin_iteration(100 * MS)
    assert meter.max_unread_time(100 * MS) == MS


def test_a_stopped_process_read_nothing_meanwhile() -> None:
    meter = LagMeter()
    meter.begin_iteration(10 * MS)
    meter.end_iteration(11 * MS)
    meter.begin_iteration(311 * MS)  # a running process would have been woken by the heartbeat
    assert meter.max_unread_time(311 * MS) == 300 * MS
    meter.end_iteration(312 * MS)
    assert meter.longest_stall == 301 * MS
    assert meter.stalls == 1
    assert meter.take_longest_stall() == 301 * MS
    assert meter.take_longest_stall() == 0


def test_data_that_came_during_a_stop_may_be_read_an_iteration_after_the_timers() -> None:
    meter = LagMeter()
    meter.begin_iteration(10 * MS)
    meter.end_iteration(11 * MS)
    meter.begin_iteration(311 * MS)  # a due timer runs before the kernel is polled
    meter.end_iteration(311 * MS + 20 * US)
    meter.begin_iteration(312 * MS)  # the loop has polled the kernel, on a busy machine
    assert 312 * MS - meter.unread_since(312 * MS) == 301 * MS
    assert meter.max_unread_time(312 * MS) <= MS  # the stop does not excuse a server that is still silent
    meter.end_iteration(313 * MS)
    meter.begin_iteration(313 * MS + 10 * US)
    now = 313 * MS + 10 * US
    assert (
        now - meter.unread_since(now) == meter.max_unread_time(now) == MS + 10 * US
    )  # everything that arrived during the stop has been read


def test_a_stop_is_over_for_what_is_read_after_a_wait() -> None:
    meter = LagMeter()
    meter.begin_iteration(10 * MS)
    meter.end_iteration(11 * MS)
    meter.begin_iteration(311 * MS)
    meter.end_iteration(312 * MS)
    meter.begin_iteration(320 * MS)  # the kernel was polled and had no events for 8 ms
    assert meter.unread_since(320 * MS) == 320 * MS


def test_a_wait_up_to_the_heartbeat_is_a_wait() -> None:
    meter = LagMeter()
    meter.begin_iteration(10 * MS)
    meter.end_iteration(11 * MS)
    meter.begin_iteration(11 * MS + HEARTBEAT_NS + MS)
    assert meter.max_unread_time(11 * MS + HEARTBEAT_NS + MS) == 0


def test_data_written_in_a_long_iteration_leaves_at_its_end() -> None:
    meter = LagMeter()
    for begun, ended in ((10, 11), (20, 60), (70, 71), (80, 100)):
        meter.begin_iteration(begun * MS)
        meter.end_iteration(ended * MS)
    assert [meter.sent_at(at * MS) // MS for at in (5, 10, 20, 59, 60, 70, 81, 100, 200)] == [
        5, 10, 60, 60, 60, 70, 100, 100, 200,
    ]  # fmt: skip


def test_between_iterations_the_unread_time_is_zero() -> None:
    meter = LagMeter()
    assert meter.max_unread_time(5) == 0
    assert not meter.in_iteration
    meter.begin_iteration(10)
    assert meter.in_iteration


@given(gaps=strategies.lists(strategies.tuples(strategies.integers(0, 10**8), strategies.integers(0, 10**8))))
def test_unread_time_never_reaches_back_before_the_last_poll_but_one(gaps: list[tuple[int, int]]) -> None:
    meter = LagMeter()
    now, polls = 1, [1, 1]
    for waited, busy in gaps:
        now += waited
        meter.begin_iteration(now)
        polls = [polls[1], now]
        assert 0 <= meter.max_unread_time(now) <= now - polls[0]
        now += busy
        assert busy <= meter.max_unread_time(now) <= now - polls[0]
        meter.end_iteration(now)


@given(gaps=strategies.lists(strategies.tuples(strategies.integers(0, 10**8), strategies.integers(0, 10**8))))
def test_data_read_now_arrived_no_earlier_than_the_last_poll_but_one(gaps: list[tuple[int, int]]) -> None:
    """A process that was stopped polled the kernel when its wait began, not when the wait ended."""
    meter = LagMeter()
    now, polls = 1, [1, 1]
    for number, (waited, busy) in enumerate(gaps):
        was_stopped = number > 0 and waited > HEARTBEAT_NS + HEARTBEAT_SLACK_NS
        polls = [now, now] if was_stopped else [polls[1], now + waited]
        now += waited
        meter.begin_iteration(now)
        now += busy
        assert busy <= meter.max_unread_time(now) <= now - meter.unread_since(now) <= now - polls[0]
        meter.end_iteration(now)


def test_report_of_a_loop_that_waits_between_iterations() -> None:
    meter = LagMeter()
    meter.take_report(MS)
    for iteration in range(1, 11):
        meter.begin_iteration(iteration * 10 * MS)
        meter.end_iteration(iteration * 10 * MS + 2 * MS)
    busy, delay, span = meter.take_report(101 * MS)
    assert 0.1 < busy < 0.35
    assert delay == 10 * (2 * MS) ** 2 // (100 * MS)
    assert span == 100 * MS


def test_report_of_a_loop_without_waits() -> None:
    meter = LagMeter()
    meter.take_report(MS)
    for iteration in range(1, 6):
        meter.begin_iteration(iteration * 20 * MS + 10 * US)
        meter.end_iteration((iteration + 1) * 20 * MS)
    busy, delay, span = meter.take_report(121 * MS)
    assert busy > 0.95
    assert 15 * MS < delay < 20 * MS
    assert span == 120 * MS


def test_report_of_a_process_that_was_stopped() -> None:
    meter = LagMeter()
    meter.begin_iteration(MS)
    meter.end_iteration(2 * MS)
    meter.take_report(2 * MS)
    meter.begin_iteration(302 * MS)  # the heartbeat was due 280 ms ago
    meter.end_iteration(303 * MS)
    busy, delay, span = meter.take_report(303 * MS)
    assert busy > 0.95
    assert delay > 250 * MS
    assert span == 301 * MS
    assert meter.take_report(403 * MS)[1] == 0
