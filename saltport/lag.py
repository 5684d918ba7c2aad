"""Measurement of the delay that the router itself adds, to separate it from the servers' response times.

This module does no I/O and reads no clock: all times are nanoseconds on the caller's monotonic clock.

An iteration of the event loop runs the callbacks that are ready, waits for the kernel and handles the events
that the kernel reports. An answer that is read in an iteration may have been waiting in the kernel: while the
earlier events of the same iteration were handled; during the whole previous iteration, if the loop did not
wait in between; or during the whole wait, if that was longer than the heartbeat allows, which means that the
process itself was stopped. Data written in an iteration leaves only when the iteration ends.
"""

from __future__ import annotations

from collections import deque

NS_PER_MS = 1_000_000
HEARTBEAT_NS = 20 * NS_PER_MS
HEARTBEAT_SLACK_NS = 10 * NS_PER_MS  # a timer may be this late on an idle machine
# After a shorter pause the first event was already in the kernel, so the loop did not wait for it.
MIN_WAIT_NS = 50_000
# A pause below the previous iteration's length divided by this is no wait either: polling takes time itself.
MIN_WAIT_FRACTION = 8
STALL_NS = 5 * NS_PER_MS  # longer iterations are recorded
MAX_LONG_ITERATIONS = 64


class LagMeter:
    """Estimates from the start and end of each loop iteration how long data may have waited unread."""

    def __init__(self) -> None:
        self._started_at = 0  # start of the current iteration; 0 while the loop waits
        self._previous_started_at = 0
        self._unread_since = 0
        self._stopped_since = 0
        """Start of the wait in which the process was stopped, before this iteration or the last; else 0."""
        self._no_stop_before = True
        """Whether the process was not stopped in the wait before the current, or latest, iteration."""
        self._waiting_since = 0
        self._min_wait = MIN_WAIT_NS
        self._long_iterations: deque[tuple[int, int]] = deque(maxlen=MAX_LONG_ITERATIONS)  # start and end
        self.longest_stall = 0
        """The longest time without polling the kernel since the last `take_longest_stall`."""
        self.stalls = 0
        """Number of times that the loop did not poll the kernel for more than `STALL_NS`."""

        self._total_wait = 0
        self._squared_lengths = 0.0  # of the iterations; the expected unread time grows with the square
        self.reported_at = 0
        """Time of the last `take_report`; 0 before the first."""

    @property
    def in_iteration(self) -> bool:
        """Whether the loop is handling events, as opposed to waiting for the kernel."""
        return self._started_at != 0

    def begin_iteration(self, now: int) -> None:
        """Record the start of a loop iteration, at its first event."""
        waited = now - self._waiting_since if self._waiting_since else 0
        was_stopped = waited > HEARTBEAT_NS + HEARTBEAT_SLACK_NS
        if was_stopped:
            self._unread_since = self._stopped_since = self._waiting_since
            self._squared_lengths += waited * waited
        elif waited > self._min_wait or not self._waiting_since:
            self._unread_since = now  # the kernel had no events before
            self._total_wait += waited
        else:
            self._unread_since = self._previous_started_at or now
        if not was_stopped and (self._no_stop_before or waited > STALL_NS):
            self._stopped_since = 0
        self._no_stop_before = not was_stopped
        self._started_at = now

    def end_iteration(self, now: int) -> None:
        """Record the end of a loop iteration: the loop is about to poll the kernel again."""
        busy = now - self._unread_since
        self._squared_lengths += (now - self._started_at) ** 2
        self.longest_stall = max(self.longest_stall, busy)
        self.stalls += busy > STALL_NS
        if now - self._started_at > STALL_NS:
            self._long_iterations.append((self._started_at, now))
        self._min_wait = min(max(MIN_WAIT_NS, (now - self._started_at) // MIN_WAIT_FRACTION), STALL_NS)
        self._previous_started_at, self._started_at, self._waiting_since = self._started_at, 0, now

    def max_unread_time(self, now: int) -> int:
        """Return the longest time that an answer being processed now may have waited in the kernel."""
        return now - self._unread_since if self._started_at else 0

    def unread_since(self, now: int) -> int:
        """Return the earliest time at which data being read now may have arrived in the kernel.

        Danger: after a stop of the process its due timers run in an iteration of their own, before the kernel
        is polled; data that arrived during the stop is read in the iteration after that. `max_unread_time`
        does not count that further iteration: a server without an answer by then has been silent.
        """
        if not self._started_at:
            return now
        return self._stopped_since or self._unread_since

    def longest_iteration_since(self, then: int) -> int:
        """Return the length of the longest recorded iteration that ended at or after `then`, or 0.

        Only the latest iterations longer than `STALL_NS` are recorded.
        """
        return max((ended - started for started, ended in self._long_iterations if ended >= then), default=0)

    def sent_at(self, written: int) -> int:
        """Return when bytes written at `written` left the process.

        In a recorded long iteration that is its end, otherwise `written` itself.
        """
        for started, ended in reversed(self._long_iterations):
            if written >= ended:
                break
            if written >= started:
                return ended
        return written

    def take_report(self, now: int) -> tuple[float, int, int]:
        """Return the busy share of the loop, the mean unread time of arriving data, and the time covered.

        All three refer to the time since the previous call.
        """
        span = max(now - self.reported_at, 1) if self.reported_at else 0
        busy = 1 - min(self._total_wait / span, 1.0) if span else 0.0
        delay = int(self._squared_lengths / span) if span else 0
        self._total_wait, self._squared_lengths, self.reported_at = 0, 0.0, now
        return busy, delay, span

    def take_longest_stall(self) -> int:
        """Return the longest stall since the last call and reset it."""
        longest, self.longest_stall = self.longest_stall, 0
        return longest
