"""What a write's answer waits for, and who is not asked before it has said that the key is invalidated."""

from __future__ import annotations

from saltport.decisions import Answer, Invalidate, InvalidationEnded, Outcome
from saltport.decisions.hotkeys import invalidation
from saltport.decisions.hotkeys.invalidation import Invalidations

S = 1_000_000_000
LEASE = 30 * S


def invalidations() -> Invalidations:
    return Invalidations(LEASE, 2 * S)


def said(invalidate: Invalidate, outcome: Outcome = Outcome.OK) -> InvalidationEnded:
    return InvalidationEnded(invalidate.key, invalidate.server, outcome, invalidate.sequence)


def begun(
    held: Invalidations, servers: str = "ab", filling: str = "", answer: str | None = "w", now: int = S
) -> list[Invalidate]:
    actions = held.begin("k", servers, filling, answer, now)
    assert all(isinstance(action, Invalidate) for action in actions)
    return [action for action in actions if isinstance(action, Invalidate)]


def test_answer_comes_with_the_last_void() -> None:
    held = invalidations()
    first, second = begun(held)
    assert held.invalidation_ended(said(first), S) == []
    assert held.invalidation_ended(said(second), S) == [Answer("w")]
    assert held.in_doubt("k") == frozenset()


def test_no_servers_and_the_answer_comes_at_once() -> None:
    assert invalidations().begin("k", (), (), "w", S) == [Answer("w")]


def test_node_that_fails_is_in_doubt_until_it_has_said_so() -> None:
    held = invalidations()
    first, second = begun(held)
    held.invalidation_ended(said(first), S)
    assert held.invalidation_ended(said(second, Outcome.TIMEOUT), S) == [Answer("w")]
    assert held.in_doubt("k") == {"b"}
    assert held.sweep("ab", S) == []
    (again,) = held.sweep("ab", 2 * S)
    assert held.sweep("ab", 2 * S) == [], "one at a time"
    assert isinstance(again, Invalidate)
    assert held.invalidation_ended(said(again, Outcome.CONNECT_FAILED), 2 * S) == []
    again, once_more = held.sweep("ab", 4 * S)
    assert isinstance(again, Invalidate)
    assert isinstance(once_more, Invalidate)
    assert (again.server, once_more.server) == ("b", "a"), "who is in doubt is asked anyway"
    held.invalidation_ended(said(again), 4 * S)
    assert held.in_doubt("k") == frozenset()


def test_pauses_between_tries_grow_up_to_a_bound() -> None:
    held = invalidations()
    (invalidate,) = begun(held, "a")
    held.invalidation_ended(said(invalidate, Outcome.TIMEOUT), S)
    now, gaps = S, []
    for _ in range(8):
        before = now
        while not (actions := held.sweep("a", now)):
            now += S // 100
        gaps.append(now - before)
        assert isinstance(actions[0], Invalidate)
        held.invalidation_ended(said(actions[0], Outcome.TIMEOUT), now)
    assert gaps == sorted(gaps)
    assert gaps[-1] <= invalidation.LONGEST_RETRY + S // 50


def test_void_of_an_earlier_write_settles_nothing_of_a_later_one() -> None:
    held = invalidations()
    (first,) = begun(held, "a", answer="w1")
    (second,) = begun(held, "a", answer="w2")
    # Between the two the node may have been given what the second write invalidated.
    assert held.invalidation_ended(said(first), S) == []
    assert held.invalidation_ended(said(second), S) == [Answer("w1"), Answer("w2")]


def test_late_answer_of_an_earlier_void_clears_no_later_doubt() -> None:
    held = invalidations()
    (first,) = begun(held, "a", answer="w1")
    (second,) = begun(held, "a", answer="w2")
    assert held.invalidation_ended(said(second, Outcome.TIMEOUT), S) == [Answer("w1"), Answer("w2")]
    held.invalidation_ended(said(first), S)
    assert held.in_doubt("k") == {"a"}


def test_void_goes_behind_a_copy_that_is_under_way() -> None:
    held = invalidations()
    (first,) = begun(held, "a", filling="b")
    assert first.server == "a"
    assert held.invalidation_ended(said(first), S) == []
    (second,) = held.copy_ended("k", "b", Outcome.OK, S)
    assert isinstance(second, Invalidate)
    assert held.invalidation_ended(said(second), S) == [Answer("w")]


def test_copy_that_may_still_arrive_leaves_a_doubt_for_its_lease() -> None:
    held = invalidations()
    assert begun(held, "", filling="b") == []
    (invalidate,) = held.copy_ended("k", "b", Outcome.TIMEOUT, S)
    assert isinstance(invalidate, Invalidate)
    assert held.invalidation_ended(said(invalidate), S) == [Answer("w")]
    assert held.in_doubt("k") == {"b"}
    (again,) = held.sweep("b", 3 * S)
    assert isinstance(again, Invalidate)
    held.invalidation_ended(said(again), 3 * S)
    assert held.in_doubt("k") == {"b"}, "the copy may come after this invalidation as well"
    (again,) = held.sweep("b", S + LEASE)
    assert isinstance(again, Invalidate)
    held.invalidation_ended(said(again), S + LEASE)
    assert held.in_doubt("k") == frozenset()


def test_write_whose_time_is_nearly_over_is_answered_with_doubts() -> None:
    held = invalidations()
    begun(held, "ab")
    assert held.late("k", "w", 2 * S) == [Answer("w")]
    assert held.in_doubt("k") == {"a", "b"}
    assert held.late("k", "w", 2 * S) == []


def test_servers_that_leave_the_list_are_sent_nothing_and_waited_for_no_more() -> None:
    held = invalidations()
    first, _ = begun(held)
    held.invalidation_ended(said(first), S)
    assert held.gone("a", S) == [Answer("w")]
    (invalidate,) = begun(held, "b", now=2 * S)
    held.invalidation_ended(said(invalidate, Outcome.TIMEOUT), 2 * S)
    assert held.sweep("a", 9 * S) == []
    assert held.in_doubt("k") == {"b"}, "it may come back with what it had"


def test_client_that_left_gets_no_answer_under_an_id_that_comes_again() -> None:
    held = invalidations()
    (invalidate,) = begun(held, "a")
    held.leave("k", "w")
    assert held.invalidation_ended(said(invalidate), S) == []


def test_values_asked_for_before_a_write_ended_are_not_copied() -> None:
    held = invalidations()
    assert held.may_copy("k", S)
    held.write_begins("k")
    assert not held.may_copy("k", 2 * S)
    (invalidate,) = begun(held, "a", now=2 * S)
    held.write_ends("k", 2 * S)
    assert not held.may_copy("k", 3 * S), "invalidations are under way"
    held.invalidation_ended(said(invalidate), 3 * S)
    assert not held.may_copy("k", 3 * S)
    assert held.may_copy("k", 3 * S + 1)
    assert held.may_copy("other", S)


def test_two_open_writes_fence_until_both_have_ended() -> None:
    held = invalidations()
    held.write_begins("k")
    held.write_begins("k")
    held.write_ends("k", S)
    assert not held.may_copy("k", 2 * S)
    held.write_ends("k", 2 * S)
    assert held.may_copy("k", 3 * S)


def test_doubts_are_bounded_and_what_is_forgotten_is_counted() -> None:
    held = invalidations()
    for number in range(invalidation.MAX_DOUBTS + 10):
        (invalidate,) = held.begin(f"k{number}", "a", (), None, S)
        assert isinstance(invalidate, Invalidate)
        held.invalidation_ended(said(invalidate, Outcome.TIMEOUT), S)
    assert held.view()["in_doubt"] == invalidation.MAX_DOUBTS
    assert held.view()["forgotten"] == 10


def test_voids_go_out_once_more_for_what_other_routers_copied_meanwhile() -> None:
    held = invalidations()
    for invalidate in begun(held):
        held.invalidation_ended(said(invalidate), S)
    assert held.sweep("ab", 3 * S - 1) == []
    again = held.sweep("a", 3 * S)
    assert [
        (invalidate.key, invalidate.server) for invalidate in again if isinstance(invalidate, Invalidate)
    ] == [("k", "a")]
    assert held.sweep("a", 9 * S) == []
    (last,) = again
    assert isinstance(last, Invalidate)
    assert held.invalidation_ended(said(last, Outcome.TIMEOUT), 3 * S) == []
    assert held.in_doubt("k") == {"a"}


def test_all_is_forgotten_in_the_end() -> None:
    held = invalidations()
    held.write_begins("k")
    (invalidate,) = begun(held, "a")
    held.write_ends("k", S)
    held.invalidation_ended(said(invalidate, Outcome.TIMEOUT), S)
    assert not held.idle
    held.sweep("", 4 * S)
    held.sweep("", S + invalidation.REMEMBERED)
    assert held.idle
