"""A request keeps the rules of the settings that were in force when it arrived."""

from __future__ import annotations

import dataclasses

import pytest

from saltport.decisions import DedupScope, Effect, RequestArrived
from saltport.decisions.interface import NS_PER_S, RequestClass, SettingsChanged, Tenant
from saltport.decisions.logic import Router
from saltport.decisions.request_rules import MAX_VERSIONS, RulesHistory
from tests.decisions.helpers import settings, started

CHANGED_AT = 5 * NS_PER_S


def promote(effect: Effect, scope: DedupScope = DedupScope.ALL, window: int = 0) -> RequestClass:
    return RequestClass("promote", NS_PER_S, NS_PER_S, effect, scope, window)


def history(*effects: Effect | None, attempts: tuple[int, ...] = (4, 4, 4)) -> RulesHistory:
    """Return the history of settings with the class of this effect, or without it, a second each."""
    other = RequestClass("other", NS_PER_S, NS_PER_S)
    versions = [
        settings(classes=(other, *([promote(effect)] if effect else [])), max_attempts=attempts[number])
        for number, effect in enumerate(effects)
    ]
    made = RulesHistory(versions[0])
    for number, version in enumerate(versions[1:]):
        made.replace(version, CHANGED_AT + number * NS_PER_S)
    return made


@pytest.mark.parametrize(
    ("effects", "earliest", "expected"),
    [
        ((Effect.UNSAFE, Effect.SAFE), CHANGED_AT, Effect.SAFE),
        ((Effect.UNSAFE, Effect.SAFE), CHANGED_AT - 1, Effect.UNSAFE),
        ((Effect.SAFE, Effect.UNSAFE), CHANGED_AT - 1, Effect.UNSAFE),
        ((Effect.SAFE, Effect.KEYED), 0, Effect.KEYED),
        ((Effect.UNSAFE, None, Effect.SAFE), 0, Effect.UNSAFE),
        ((Effect.UNSAFE, None, Effect.SAFE), CHANGED_AT, Effect.SAFE),
        ((Effect.UNSAFE, None), CHANGED_AT - 1, Effect.UNSAFE),
        ((Effect.UNSAFE, None), CHANGED_AT, None),
        ((None, Effect.SAFE), 0, Effect.SAFE),
    ],
)
def test_rules_are_the_strictest_that_were_in_force_since_a_request_may_have_arrived(
    effects: tuple[Effect | None, ...], earliest: int, expected: Effect | None
) -> None:
    found = history(*effects).find("promote", earliest)
    assert (found.request_class.effect if found is not None else None) is expected


def test_attempts_are_the_fewest_that_were_in_force() -> None:
    found = history(Effect.SAFE, Effect.SAFE, Effect.SAFE, attempts=(3, 1, 4)).find("promote", 0)
    assert found is not None
    assert found.max_attempts == 1


def test_shorter_windows_and_narrower_scopes_are_stricter() -> None:
    classes = [
        promote(Effect.KEYED, DedupScope.ALL, 9),
        promote(Effect.KEYED, DedupScope.ZONE, 9),
        promote(Effect.KEYED, DedupScope.ZONE, 5),
    ]
    for order in (classes, classes[::-1]):
        made = RulesHistory(settings(classes=(order[0],)))
        for number, known in enumerate(order[1:]):
            made.replace(settings(classes=(known,)), number + 1)
        found = made.find("promote", 0)
        assert found is not None
        assert found.request_class is classes[-1]


def test_settings_of_the_process_before_count_for_what_may_be_older_than_this_one() -> None:
    made = RulesHistory(settings(classes=(promote(Effect.SAFE),)))
    made.add_predecessor([promote(Effect.UNSAFE)], 2, CHANGED_AT)
    before, after = made.find("promote", 0), made.find("promote", CHANGED_AT)
    assert before is not None
    assert after is not None
    assert (before.request_class.effect, before.max_attempts) == (Effect.UNSAFE, 2)
    assert after.request_class.effect is Effect.SAFE


def test_number_of_versions_is_bounded() -> None:
    made = RulesHistory(settings(classes=(promote(Effect.SAFE),)))
    for number in range(10 * MAX_VERSIONS):
        made.replace(settings(classes=(promote(Effect.SAFE),)), number)
    assert len(made._ended) == MAX_VERSIONS


def test_open_request_keeps_its_limiter_although_its_tenant_is_dropped_and_comes_back() -> None:
    with_tenant = settings(classes=(promote(Effect.SAFE),), tenants=(Tenant("a", 0.5),))
    without = dataclasses.replace(with_tenant, tenants=())
    router = Router(with_tenant, 1)
    limiter = router.fetches.rate_limiters["a"]
    router.handle(SettingsChanged(without), 10)
    old, new = router.rules_for("promote", "a", 9), router.rules_for("promote", "a", 10)
    assert old is not None
    assert new is not None
    assert (old.tenant, new.tenant) == ("a", "")
    assert router.fetches.limiter(old.tenant) is limiter
    assert router.fetches.limiter(new.tenant) is router.fetches.rate_limiters[""]
    router.handle(SettingsChanged(with_tenant), 20)
    assert router.fetches.rate_limiters["a"] is limiter


def test_request_that_waited_goes_by_the_rules_that_it_came_with() -> None:
    """The decision module gets the request after its class was dropped and came back as one of reads."""
    before = settings(classes=(promote(Effect.UNSAFE),), max_attempts=2)
    router = started(before, ())
    rules = router.rules_for("promote", None, 0)
    router.handle(SettingsChanged(settings(classes=(RequestClass("other", 1, 1),))), 1)
    router.handle(SettingsChanged(settings(classes=(promote(Effect.SAFE),))), 2)
    router.handle(RequestArrived("r", "promote", NS_PER_S, key="k", write=True, rules=rules), 3)
    assert router.requests["r"].cls.effect is Effect.UNSAFE
    assert router.requests["r"].attempts == 2


def test_rules_are_kept_only_for_tenants_of_the_settings() -> None:
    # Guards against: clients that name ever new tenants made the router keep something for each.
    router = Router(settings(classes=(promote(Effect.SAFE),), tenants=(Tenant("a", 0.5),)), 1)
    for number in range(100):
        assert router.rules_for("promote", f"t{number}", 0) is not None
    assert router.rules_for("promote", "a", 0) is router.rules_for("promote", "a", 0)
    assert router.rules_for("promote", None, 0) is router.rules_for("promote", None, 0)
    assert len(router._current_rules) == 2
    router.handle(SettingsChanged(settings(classes=(promote(Effect.UNSAFE),))), 5)
    found = router.rules_for("promote", "a", 5)
    assert found is not None
    assert found.request_class.effect is Effect.UNSAFE
