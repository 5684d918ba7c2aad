"""Records the scenarios: `python -m tests.decisions.replay [NAME ...]`.

Only for intended changes of decisions; the commit message must say which and why.
"""

from __future__ import annotations

import sys

import orjson

from tests.decisions.replay import recordings
from tests.decisions.replay.codec import widened
from tests.decisions.replay.scenarios import SCENARIOS
from tests.decisions.replay.world import Fields, World


def main() -> None:
    """Record the named scenarios, or all."""
    for scenario in SCENARIOS:
        if sys.argv[1:] and scenario.name not in sys.argv[1:]:
            continue
        with widened() as adapter:

            def answer(batch: Fields) -> Fields:
                reply: Fields = orjson.loads(adapter.answer(orjson.dumps(batch)))
                return reply

            lines = World(scenario, answer).play()
        size = recordings.write(scenario.name, lines)
        print(f"{scenario.name}: {len(lines)} batches, {size} bytes")


if __name__ == "__main__":
    main()
