"""An adaptive limit on the attempts that this router has in flight at one server.

The limit rises additively while it is in use and answers are prompt, and is cut by how late they are, at most
once per round trip (TCP's congestion avoidance applied to servers, as in Netflix's concurrency-limits). The
load from other routers is seen only in the response times. Times are in nanoseconds.
"""

from __future__ import annotations

import math

from saltport.decisions.interface import NS_PER_S

MIN_LIMIT = 1.0  # one attempt in flight is enough to observe the server's recovery
MIN_CUT_FACTOR = 0.5  # a cut leaves at least this share of the limit
# Shares of the target response time of a request's class: the limit may rise while the smoothed response time
# is below the first, and is cut while it is above the second.
PROMPT_AIM_SHARE, LATE_AIM_SHARE = 0.4, 0.6
# Bounds of the pause after a server refused an attempt: about one response time, doubled at each refusal.
MIN_PAUSE_NS, MAX_PAUSE_NS = NS_PER_S // 50, NS_PER_S
SMOOTHING = 1 / 4  # weight of the latest answer in the smoothed response time
STALE_AFTER_NS = 10 * NS_PER_S  # without an answer, after which learned times are discarded


class Limit:
    """The concurrency limit of one server."""

    __slots__ = (
        "_cut_at",
        "_last_answer_at",
        "_pause",
        "_paused_until",
        "base_response_time",
        "limit",
        "response_time",
    )

    def __init__(self, known_at: int = 0) -> None:
        self.limit = math.inf
        """Infinite until the first late answer: the capacity is unknown, and a burst is no overload."""
        self.response_time = 0.0
        """The smoothed response time."""
        self.base_response_time = 0.0
        """The response time without queueing, which is the least time observed recently."""
        # Times of the last cut and of the last answer, and the length and the end of the last pause.
        self._cut_at, self._last_answer_at, self._pause, self._paused_until = 0, known_at, 0, 0

    def mark_current(self, now: int) -> None:
        """Mark response times that were restored from another process as current."""
        self._last_answer_at = now

    def learn(self, took: int, in_flight: int, sent_at: int, now: int, aim: int) -> None:
        """Raise or cut the server's limit on attempts in flight, by the response time `took` of one answer.

        `in_flight` is the number of other attempts at the server, `aim` the target response time of the
        request's class.
        """
        if not self.response_time or now - self._last_answer_at > STALE_AFTER_NS:
            self.response_time, self.base_response_time = float(took), float(took)
        self._last_answer_at, self._pause = now, 0
        self.response_time += (took - self.response_time) * SMOOTHING
        # The service time falls at once and rises slowly, so that it does not soon absorb a standing queue.
        self.base_response_time = min(
            float(took), self.base_response_time + (self.response_time - self.base_response_time) / 64
        )
        if self.response_time > LATE_AIM_SHARE * aim:
            self.cut(sent_at, now, in_flight, LATE_AIM_SHARE * aim / self.response_time)
        elif self.response_time < PROMPT_AIM_SHARE * aim and in_flight + 1 >= self.limit / 2:
            self.limit = self.limit + 1 / self.limit

    def cut(self, sent_at: int, now: int, in_flight: int, part: float = MIN_CUT_FACTOR) -> None:
        """Cut the limit of an overloaded server.

        The new limit is the share `part` of the old one, or of the attempts in flight if these are fewer.
        Attempts that were sent before the previous cut show the same overload again and cut nothing.
        """
        if sent_at < self._cut_at:
            return
        self._cut_at = now
        self.limit = max(min(self.limit, in_flight + 1.0) * max(part, MIN_CUT_FACTOR), MIN_LIMIT)

    @property
    def busy(self) -> float:
        """The estimated busy share: the share of the response time spent queueing (exact for M/M/1)."""
        return 1.0 - self.base_response_time / self.response_time if self.response_time else 0.0

    def refused(self, sent_at: int, now: int, in_flight: int) -> None:
        """Cut the limit after the server refused an attempt, and send nothing to it for a pause.

        The pause is needed because a server that refuses quickly has no attempts in flight to be limited.
        """
        self.cut(sent_at, now, in_flight)
        if sent_at >= self._paused_until:
            self._pause = min(max(2 * self._pause, int(self.response_time), MIN_PAUSE_NS), MAX_PAUSE_NS)
            self._paused_until = now + self._pause

    def timed_out(self, sent_at: int, now: int) -> None:
        """Pause after a time-out for as long as the server had not answered before.

        A limit on attempts in flight has no effect for a router that rarely sends to this server.
        """
        self._paused_until = max(
            self._paused_until, now + min(max(sent_at - self._last_answer_at, 0), STALE_AFTER_NS)
        )

    def has_room(self, in_flight: int, now: int) -> bool:
        """Whether one more attempt may be sent."""
        return in_flight < self.limit and now >= self._paused_until
