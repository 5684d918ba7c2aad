"""The portion of its reads that a server keeps, by the load that it reports of itself.

A router of a large fleet seldom has more than one request out at a server: no limit on what is out binds
(limits.py), and forty routers that each saw one late answer go on as before. The report tells what all of
them together do to the server. One that reports more time than the fleet usually does, and more than is
prompt, keeps fewer of its reads. Which ones is a hash of slot and server: every router leaves out the same
ones, and finds their copies at the next server. Gradient form (Netflix's concurrency-limits), with the
fleet's time in place of a longer memory of the server's own. Times are nanoseconds.
"""

from __future__ import annotations

from saltport.decisions import interface as api
from saltport.decisions.health import Node
from saltport.decisions.interface import NS_PER_S
from saltport.decisions.limits import PROMPT
from saltport.structures.lanes import WORD, mixed

TIME_FIELDS = ("latency_ms", "recent_ms")  # the recent service time, as PROTOCOL's wires name it
GAIN = 1 / 4  # twice the time, a sixth less: a queue grows faster than load, the whole ratio would overshoot
LEAST = 1 / 16  # that find out how it is
SETTLES = NS_PER_S  # reports are smoothed and some tenths of a second old: a change shows that late
DRAWN = 1 << 32  # beyond all slots: what a server keeps must not depend on what it holds


class Portions:
    """Learns every server's portion from the reports in answers."""

    def __init__(self, settings: api.Settings) -> None:
        fields = settings.load_fields
        self._place = next((place for place, name in enumerate(fields) if name in TIME_FIELDS), -1)
        self._usual = 0.0
        """What servers report, smoothed over answers."""

    def learn(self, node: Node, load: tuple[float, ...], aim: int, sent_at: int, now: int) -> None:
        """Take the report that came with an answer, once for all that was out or too new to show."""
        if not 0 <= self._place < len(load):
            return
        told = max(load[self._place] * 1e6, 1.0)
        self._usual += (told - self._usual) / 32 if self._usual else told
        if sent_at >= node.portion_at:
            node.portion_at = now + SETTLES
            # All slow at once is load, and no server's own: then none keeps less than its part.
            fair = max(PROMPT * aim, self._usual)
            node.portion = min(max(node.portion * (fair / told) ** GAIN, LEAST), 1.0)


def keeps(node: Node, slot: int) -> bool:
    """Whether a server keeps this slot's reads."""
    return node.portion >= 1.0 or mixed(slot + DRAWN, node.seed) < node.portion * WORD
