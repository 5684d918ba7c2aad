"""Which invalidations delay the reply to a write, and which servers are in doubt until they confirm."""

from __future__ import annotations

from saltport.decisions import Answer, Invalidate, InvalidationEnded, Outcome
from saltport.decisions.hotkeys import invalidation
from saltport.decisions.hotkeys.invalidation import Invalidations

S = 1_000_000_000
LEASE = 30 * S


def new_invalidations() -> Invalidations:
    return Invalidations(LEASE, 2 * S)


def ended(invalidate: Invalidate, outcome: Outcome = Outcome.OK) -> InvalidationEnded:
    return InvalidationEnded(invalidate.key, invalidate.server, outcome, invalidate.sequence)


def begin(
    invalidations: Invalidations,
    servers: str = "ab",
    in_flight: str = "",
    answer: str | None = "w",
    now: int = S,
) -> list[Invalidate]:
    actions = invalidations.begin("k", servers, in_flight, answer, now)
    assert all(isinstance(action, Invalidate) for action in actions)
    return [action for action in actions if isinstance(action, Invalidate)]


def test_answer_comes_with_the_last_invalidation() -> None:
    invalidations = new_invalidations()
    first, second = begin(invalidations)
    assert invalidations.invalidation_ended(ended(first), S) == []
    assert invalidations.invalidation_ended(ended(second), S) == [Answer("w")]
    assert invalidations.in_doubt("k") == frozenset()


def test_no_servers_and_the_answer_comes_at_once() -> None:
    assert new_invalidations().begin("k", (), (), "w", S) == [Answer("w")]


def test_node_that_fails_is_in_doubt_until_it_has_confirmed() -> None:
    invalidations = new_invalidations()
    first, second = begin(invalidations)
    invalidations.invalidation_ended(ended(first), S)
    assert invalidations.invalidation_ended(ended(second, Outcome.TIMEOUT), S) == [Answer("w")]
    assert invalidations.in_doubt("k") == {"b"}
    assert invalidations.sweep("ab", S) == []
    (again,) = invalidations.sweep("ab", 2 * S)
    assert invalidations.sweep("ab", 2 * S) == [], "one retry in flight at a time"
    assert isinstance(again, Invalidate)
    assert invalidations.invalidation_ended(ended(again, Outcome.CONNECT_FAILED), 2 * S) == []
    again, once_more = invalidations.sweep("ab", 4 * S)
    assert isinstance(again, Invalidate)
    assert isinstance(once_more, Invalidate)
    assert (again.server, once_more.server) == ("b", "a"), (
        "the doubtful server gets only its retry, the other one the repetition"
    )
    invalidations.invalidation_ended(ended(again), 4 * S)
    assert invalidations.in_doubt("k") == frozenset()


def test_pauses_between_tries_grow_up_to_a_bound() -> None:
    invalidations = new_invalidations()
    (invalidate,) = begin(invalidations, "a")
    invalidations.invalidation_ended(ended(invalidate, Outcome.TIMEOUT), S)
    now, gaps = S, []
    for _ in range(8):
        before = now
        while not (actions := invalidations.sweep("a", now)):
            now += S // 100
        gaps.append(now - before)
        assert isinstance(actions[0], Invalidate)
        invalidations.invalidation_ended(ended(actions[0], Outcome.TIMEOUT), now)
    assert gaps == sorted(gaps)
    assert gaps[-1] <= invalidation.MAX_RETRY_PAUSE_NS + S // 50


def test_invalidation_of_an_earlier_write_does_not_answer_a_later_one() -> None:
    invalidations = new_invalidations()
    (first,) = begin(invalidations, "a", answer="w1")
    (second,) = begin(invalidations, "a", answer="w2")
    # Between the two invalidations the node may have got a copy of the value that the second write replaced.
    assert invalidations.invalidation_ended(ended(first), S) == []
    assert invalidations.invalidation_ended(ended(second), S) == [Answer("w1"), Answer("w2")]


def test_late_end_of_an_earlier_invalidation_clears_no_later_doubt() -> None:
    invalidations = new_invalidations()
    (first,) = begin(invalidations, "a", answer="w1")
    (second,) = begin(invalidations, "a", answer="w2")
    assert invalidations.invalidation_ended(ended(second, Outcome.TIMEOUT), S) == [Answer("w1"), Answer("w2")]
    invalidations.invalidation_ended(ended(first), S)
    assert invalidations.in_doubt("k") == {"a"}


def test_invalidation_is_sent_after_a_copy_that_is_under_way() -> None:
    invalidations = new_invalidations()
    (first,) = begin(invalidations, "a", in_flight="b")
    assert first.server == "a"
    assert invalidations.invalidation_ended(ended(first), S) == []
    (second,) = invalidations.copy_ended("k", "b", Outcome.OK, S)
    assert isinstance(second, Invalidate)
    assert invalidations.invalidation_ended(ended(second), S) == [Answer("w")]


def test_copy_that_may_still_arrive_leaves_a_doubt_for_its_lease() -> None:
    invalidations = new_invalidations()
    assert begin(invalidations, "", in_flight="b") == []
    (invalidate,) = invalidations.copy_ended("k", "b", Outcome.TIMEOUT, S)
    assert isinstance(invalidate, Invalidate)
    assert invalidations.invalidation_ended(ended(invalidate), S) == [Answer("w")]
    assert invalidations.in_doubt("k") == {"b"}
    (again,) = invalidations.sweep("b", 3 * S)
    assert isinstance(again, Invalidate)
    invalidations.invalidation_ended(ended(again), 3 * S)
    assert invalidations.in_doubt("k") == {"b"}, "the copy may arrive after this invalidation too"
    (again,) = invalidations.sweep("b", S + LEASE)
    assert isinstance(again, Invalidate)
    invalidations.invalidation_ended(ended(again), S + LEASE)
    assert invalidations.in_doubt("k") == frozenset()


def test_write_whose_time_is_nearly_over_is_answered_with_doubts() -> None:
    invalidations = new_invalidations()
    begin(invalidations, "ab")
    assert invalidations.answer_now("k", "w", 2 * S) == [Answer("w")]
    assert invalidations.in_doubt("k") == {"a", "b"}
    assert invalidations.answer_now("k", "w", 2 * S) == []


def test_servers_that_leave_the_list_are_sent_nothing_and_delay_no_answer() -> None:
    invalidations = new_invalidations()
    first, _ = begin(invalidations)
    invalidations.invalidation_ended(ended(first), S)
    assert invalidations.retain_servers("a", S) == [Answer("w")]
    (invalidate,) = begin(invalidations, "b", now=2 * S)
    invalidations.invalidation_ended(ended(invalidate, Outcome.TIMEOUT), 2 * S)
    assert invalidations.sweep("a", 9 * S) == []
    assert invalidations.in_doubt("k") == {"b"}, "the server may return to the list with its old copy"


def test_client_that_left_gets_no_answer_under_a_reused_id() -> None:
    invalidations = new_invalidations()
    (invalidate,) = begin(invalidations, "a")
    invalidations.cancel_answer("k", "w")
    assert invalidations.invalidation_ended(ended(invalidate), S) == []


def test_values_asked_for_before_a_write_ended_are_not_copied() -> None:
    invalidations = new_invalidations()
    assert invalidations.may_copy("k", S)
    invalidations.write_begins("k")
    assert not invalidations.may_copy("k", 2 * S)
    (invalidate,) = begin(invalidations, "a", now=2 * S)
    invalidations.write_ends("k", 2 * S)
    assert not invalidations.may_copy("k", 3 * S), "invalidations are under way"
    invalidations.invalidation_ended(ended(invalidate), 3 * S)
    assert not invalidations.may_copy("k", 3 * S)
    assert invalidations.may_copy("k", 3 * S + 1)
    assert invalidations.may_copy("other", S)


def test_two_open_writes_fence_until_both_have_ended() -> None:
    invalidations = new_invalidations()
    invalidations.write_begins("k")
    invalidations.write_begins("k")
    invalidations.write_ends("k", S)
    assert not invalidations.may_copy("k", 2 * S)
    invalidations.write_ends("k", 2 * S)
    assert invalidations.may_copy("k", 3 * S)


def test_doubts_are_bounded_and_what_is_forgotten_is_counted() -> None:
    invalidations = new_invalidations()
    for number in range(invalidation.MAX_DOUBTFUL_KEYS + 10):
        (invalidate,) = invalidations.begin(f"k{number}", "a", (), None, S)
        assert isinstance(invalidate, Invalidate)
        invalidations.invalidation_ended(ended(invalidate, Outcome.TIMEOUT), S)
    assert invalidations.view()["in_doubt"] == invalidation.MAX_DOUBTFUL_KEYS
    assert invalidations.view()["forgotten"] == 10


def test_invalidations_are_repeated_for_copies_by_other_routers() -> None:
    invalidations = new_invalidations()
    for invalidate in begin(invalidations):
        invalidations.invalidation_ended(ended(invalidate), S)
    assert invalidations.sweep("ab", 3 * S - 1) == []
    again = invalidations.sweep("a", 3 * S)
    assert [
        (invalidate.key, invalidate.server) for invalidate in again if isinstance(invalidate, Invalidate)
    ] == [("k", "a")]
    assert invalidations.sweep("a", 9 * S) == []
    (last,) = again
    assert isinstance(last, Invalidate)
    assert invalidations.invalidation_ended(ended(last, Outcome.TIMEOUT), 3 * S) == []
    assert invalidations.in_doubt("k") == {"a"}


def test_all_state_expires() -> None:
    invalidations = new_invalidations()
    invalidations.write_begins("k")
    (invalidate,) = begin(invalidations, "a")
    invalidations.write_ends("k", S)
    invalidations.invalidation_ended(ended(invalidate, Outcome.TIMEOUT), S)
    assert not invalidations.idle
    invalidations.sweep("", 4 * S)
    invalidations.sweep("", S + invalidation.DOUBT_LIFETIME_NS)
    assert invalidations.idle
