"""Creates the replication that the settings select; the default is slot_replication.py."""

from __future__ import annotations

import random

from saltport.decisions import interface as api
from saltport.decisions.outliers import EjectionState, OutlierDetector
from saltport.decisions.replication import Replication
from saltport.decisions.slot_replication import SlotReplication
from saltport.decisions.table import SlotTable


def make_replication(
    settings: api.Settings, caches: SlotTable, outliers: OutlierDetector, rng: random.Random
) -> Replication:
    """Return the replication for these settings: by zones, by hot keys, or by slots."""
    if settings.topology is not None:
        from saltport.decisions.zoned import ZonedReplication  # imported only where it is enabled

        return ZonedReplication(settings, settings.topology, caches, outliers, rng)
    if settings.hot_keys is None:
        return SlotReplication(caches, rng, settings.origin_kind is None)
    from saltport.decisions.hotkeys import HotKeys  # imported only where it is enabled

    def usable(server: str, now: int) -> bool:
        return outliers.state(server, now) in (EjectionState.HEALTHY, EjectionState.PANIC)

    return HotKeys(settings, settings.hot_keys, caches, usable, rng)
