"""The router's own lag, told apart from its servers' slowness. No I/O and no clock of its own.

A loop turn is: callbacks that are ready, then a wait for the kernel, then what the kernel had. An answer that
is read in a turn may have lain in the kernel: while earlier events of it were dealt with; while the turn
before was, if the loop did not wait in between; or for the whole wait, if that took longer than the heartbeat
lets it, because the process itself was stopped. And what a turn writes leaves only when the turn ends. All
times are nanoseconds on the caller's monotonic clock.
"""

from __future__ import annotations

from collections import deque

NS_PER_MS = 1_000_000
HEARTBEAT_NS = 20 * NS_PER_MS
HEARTBEAT_SLACK_NS = 10 * NS_PER_MS  # what a timer may be late on a quiet machine
WAITED_NS = 50_000  # a shorter pause before a turn's first event is no wait: the kernel had it already
WAITED_PART = 8  # nor is one shorter than this part of the turn before: it takes the loop some time to look
STALL_NS = 5 * NS_PER_MS  # a longer turn is remembered
REMEMBERED = 64


class LagMeter:
    """Fed with the beginning and the end of each turn; tells how long an answer may have lain unread."""

    def __init__(self) -> None:
        self._begun = 0  # of the turn under way; 0: the loop waits
        self._begun_before = 0
        self._unread_since = 0
        self._stood_still_since = 0
        """When the wait began in which the process stood still, before this turn or the last one; or 0."""
        self._read_after_stop = True
        """Whether the turn under way, or the last one, is not one that a stop ended."""
        self._waiting_since = 0
        self._least_wait = WAITED_NS
        self._long: deque[tuple[int, int]] = deque(maxlen=REMEMBERED)  # the latest long turns
        self.longest = 0
        """The longest time for which the loop did not look at the kernel, since it was last asked for."""
        self.stalls = 0
        """How often that was more than 5 ms."""

        self._waited = 0
        self._squares = 0.0  # of the turns' lengths: what comes in a turn waits for about as long as it takes
        self.reported_at = 0
        """When a report was last taken; 0: never."""

    @property
    def open(self) -> bool:
        """Whether a turn is under way."""
        return self._begun != 0

    def turn_begins(self, now: int) -> None:
        """The first event of a turn is dealt with."""
        waited = now - self._waiting_since if self._waiting_since else 0
        stood_still = waited > HEARTBEAT_NS + HEARTBEAT_SLACK_NS
        if stood_still:
            self._unread_since = self._stood_still_since = self._waiting_since
            self._squares += waited * waited
        elif waited > self._least_wait or not self._waiting_since:
            self._unread_since = now  # the kernel had nothing before
            self._waited += waited
        else:
            self._unread_since = self._begun_before or now
        if not stood_still and (self._read_after_stop or waited > STALL_NS):
            self._stood_still_since = 0
        self._read_after_stop = not stood_still
        self._begun = now

    def turn_ends(self, now: int) -> None:
        """The loop is about to look at the kernel again."""
        busy = now - self._unread_since
        self._squares += (now - self._begun) ** 2
        self.longest = max(self.longest, busy)
        self.stalls += busy > STALL_NS
        if now - self._begun > STALL_NS:
            self._long.append((self._begun, now))
        self._least_wait = min(max(WAITED_NS, (now - self._begun) // WAITED_PART), STALL_NS)
        self._begun_before, self._begun, self._waiting_since = self._begun, 0, now

    def unread(self, now: int) -> int:
        """For how long, at the most, an answer that is judged now may have lain in the kernel."""
        return now - self._unread_since if self._begun else 0

    def unread_since(self, now: int) -> int:
        """Since when, at the earliest, what is read now may have lain in the kernel.

        Danger: a process that was stopped is woken without news of the kernel, and its timers make a turn of
        their own: what came meanwhile is read in the turn after that. Not so in `unread`: a server whose
        answer was not found by then has been silent, and is not excused for one more turn.
        """
        if not self._begun:
            return now
        return self._stood_still_since or self._unread_since

    def longest_since(self, then: int) -> int:
        """The longest turn that ended since this time, of those over 5 ms; 0: none."""
        return max((ended - begun for begun, ended in self._long if ended >= then), default=0)

    def left(self, written: int) -> int:
        """When bytes that were written at this time have left: at their turn's end, if that took long."""
        for begun, ended in reversed(self._long):
            if written >= ended:
                break
            if written >= begun:
                return ended
        return written

    def take_report(self, now: int) -> tuple[float, int, int]:
        """Since the last call: the share of it without a wait, how long what came lay unread, the time."""
        span = max(now - self.reported_at, 1) if self.reported_at else 0
        busy = 1 - min(self._waited / span, 1.0) if span else 0.0
        delay = int(self._squares / span) if span else 0
        self._waited, self._squares, self.reported_at = 0, 0.0, now
        return busy, delay, span

    def take_longest(self) -> int:
        """The longest stall since the last call."""
        longest, self.longest = self.longest, 0
        return longest
