"""Replays recorded events and compares the resulting actions byte for byte.

The recordings are in replay/recorded; `python -m tests.decisions.replay` creates them from the scenarios.
They stay valid unless the behaviour changes, which includes the order of actions and of random draws.
"""

from __future__ import annotations

from collections import Counter
from typing import Any

import orjson
import pytest

from saltport.decisions import interface as api
from saltport.decisions.logic import Router
from tests.decisions.replay import recordings
from tests.decisions.replay.codec import widened
from tests.decisions.replay.scenarios import SCENARIOS

NAMES = [scenario.name for scenario in SCENARIOS]
MOST_BYTES = 160_000  # of all recordings


def first_difference(name: str) -> str:
    """Return the first difference between the replies and the recorded ones, or an empty string."""
    with widened() as adapter:
        for number, (batch, recorded) in enumerate(recordings.read(name)):
            reply = adapter.answer(batch).rstrip(b"\n")
            if reply != recorded:
                return f"batch {number}: {batch!r}\nrecorded: {recorded!r}\nnow:      {reply!r}"
    return ""


@pytest.mark.parametrize("name", NAMES)
def test_replies_are_those_recorded(name: str) -> None:
    difference = first_difference(name)
    assert not difference, difference


def orders_of(name: str) -> list[tuple[str, dict[str, Any]]]:
    replies = (orjson.loads(reply) for _, reply in recordings.read(name))
    groups = [group for reply in replies for group in reply["groups"]]
    return [item for group in groups for order in group["orders"] for item in order.items()]


def test_recordings_reach_every_kind_of_action_and_every_rule() -> None:
    kinds: Counter[str] = Counter()
    lines = []
    for name in NAMES:
        for kind, fields in orders_of(name):
            kinds[kind] += 1
            if kind == "debug":
                lines.append(fields["message"])
    assert set(kinds) == {
        "transmit", "sayNo", "finishError", "setAlarm", "listen", "debug", "answer", "copy", "drop",
    }  # fmt: skip
    for words in (
        "ejected for", "connections in a row", "failures in a row", "trial: ", "back; it was last ejected",
        "kept in, as too many are ejected", "answers again", "overloaded: ", "no longer overloaded",
        "hot key", "takes no plain writes",
    ):  # fmt: skip
        assert any(words in line for line in lines), words


def test_recordings_reach_every_reason_to_give_up() -> None:
    reasons: set[str] = set()
    moved = overflowed = 0
    for name in NAMES:
        with widened() as adapter:
            for batch, _ in recordings.read(name):
                adapter.answer(batch)
            (router,) = adapter._routers.values()
        reasons |= {reason for _, reason in router.given_up.total}
        moved, overflowed = moved + router.placement.moved, overflowed + router.placement.overflowed
    assert reasons == {
        "tries spent", "too little time left", "servers overrun", "no origin", "fetch suppressed",
        "origin failed", "deadline", "router overloaded", "no room by plan",
        "its key's fetch failed just now",
    }  # fmt: skip
    assert moved
    assert overflowed


def test_recordings_are_small() -> None:
    assert sum(path.stat().st_size for path in recordings.FOLDER.iterdir()) <= MOST_BYTES
    assert {path.name.split(".")[0] for path in recordings.FOLDER.iterdir()} == set(NAMES)


@pytest.mark.parametrize("name", NAMES)
def test_one_random_draw_more_is_noticed(name: str, monkeypatch: pytest.MonkeyPatch) -> None:
    handle = Router.handle
    handled = 0

    def draws_once(self: Router, event: api.Event, now: int) -> list[api.Action]:
        nonlocal handled
        handled += 1
        if handled == 100:
            self._rng.random()
        return handle(self, event, now)

    monkeypatch.setattr(Router, "handle", draws_once)
    assert first_difference(name)


@pytest.mark.parametrize("name", NAMES)
def test_two_actions_in_another_order_are_noticed(name: str, monkeypatch: pytest.MonkeyPatch) -> None:
    handle = Router.handle
    swapped = False

    def swaps_once(self: Router, event: api.Event, now: int) -> list[api.Action]:
        nonlocal swapped
        actions = handle(self, event, now)
        if not swapped and len(actions) > 1:
            swapped = True
            return actions[::-1]
        return actions

    monkeypatch.setattr(Router, "handle", swaps_once)
    assert first_difference(name)
    assert swapped


@pytest.mark.parametrize("name", NAMES)
def test_one_attempt_at_another_server_is_noticed(name: str, monkeypatch: pytest.MonkeyPatch) -> None:
    handle = Router.handle
    sent = 0

    def strays_once(self: Router, event: api.Event, now: int) -> list[api.Action]:
        nonlocal sent
        actions = handle(self, event, now)
        for action in actions:
            if isinstance(action, api.Send):
                sent += 1
                if sent == 200:
                    action.server = next(server for server in self.caches.nodes if server != action.server)
        return actions

    monkeypatch.setattr(Router, "handle", strays_once)
    assert first_difference(name)
