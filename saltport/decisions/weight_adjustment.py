"""The portion of its reads that a server keeps, by the load that it reports of itself.

In a large fleet a router seldom has two requests out at one server, so that limits on them (limits.py) do not
bind; a load report shows what all routers do together. A server that reports more time than the fleet's usual
keeps fewer slots, the same at every router by a hash. Gradient form of Netflix's concurrency-limits.
"""

from __future__ import annotations

from saltport.decisions.health import Node
from saltport.decisions.interface import NS_PER_S, Settings
from saltport.decisions.limits import PROMPT_AIM_SHARE
from saltport.structures.rendezvous import WORD, mixed

TIME_FIELDS = ("latency_ms", "recent_ms")  # the recent service time, as PROTOCOL's wires name it
GAIN = 1 / 4  # twice the time, a sixth less: a queue grows faster than load, the whole ratio would overshoot
LEAST = 1 / 16  # that find out how it is
SETTLES = NS_PER_S  # reports are smoothed and some tenths of a second old: a change shows that late
DRAWN = 1 << 32  # beyond all slots: what a server keeps must not depend on what it holds


class WeightAdjustment:
    """Learns every server's portion from the reports in answers."""

    def __init__(self, settings: Settings) -> None:
        fields = settings.load_fields
        self._place = next((place for place, name in enumerate(fields) if name in TIME_FIELDS), -1)
        self._usual = 0.0
        """What servers report, smoothed over answers."""

    def learn(self, node: Node, load: tuple[float, ...], aim: int, sent_at: int, now: int) -> None:
        """Take the report that came with an answer, once for all that was out or too new to show."""
        if not 0 <= self._place < len(load):
            return
        reported = max(load[self._place] * 1e6, 1.0)
        self._usual += (reported - self._usual) / 32 if self._usual else reported
        if sent_at >= node.weight_factor_at:
            node.weight_factor_at = now + SETTLES
            # All slow at once is load, and no server's own: then none keeps less than its part.
            fair = max(PROMPT_AIM_SHARE * aim, self._usual)
            node.weight_factor = min(max(node.weight_factor * (fair / reported) ** GAIN, LEAST), 1.0)


def keeps_slot(node: Node, slot: int) -> bool:
    """Whether a server keeps this slot's reads."""
    return node.weight_factor >= 1.0 or mixed(slot + DRAWN, node.seed) < node.weight_factor * WORD
