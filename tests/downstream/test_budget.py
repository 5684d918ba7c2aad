"""The memory budget: what has arrived counts, and values of unknown length grow in turn."""

from __future__ import annotations

from saltport.downstream.budget import MIN_READ_BYTES, MemoryBudget, MemoryRequest
from saltport.transport.stream import READ_SIZE_BYTES
from saltport.wire.resp import MAX_VALUE_BYTES

TOTAL = 4 * MAX_VALUE_BYTES


class Value:
    """A connection that reads a value of unknown length."""

    def __init__(self, budget: MemoryBudget, has_turn: bool = True) -> None:
        self._budget, self.has_turn = budget, has_turn
        self.closed = False
        self.buffered_bytes = 0
        self.size = 0

    def read(self) -> None:
        """Read parts until the value is whole or has to wait."""
        while self.size < MAX_VALUE_BYTES:
            if not self._budget.may_grow(self):
                self._budget.wait(self)
                return
            self.size += READ_SIZE_BYTES
            self._budget.count(READ_SIZE_BYTES)

    def reserve(self) -> None:
        self.read()

    @property
    def whole(self) -> bool:
        return self.size == MAX_VALUE_BYTES


def test_oldest_value_completes_whatever_the_others_have_taken() -> None:
    budget = MemoryBudget(TOTAL)
    values = [Value(budget) for _ in range(8)]
    for value in values:
        budget.may_grow(value)
    for value in reversed(values):
        value.read()
    assert values[0].whole
    assert budget.held <= TOTAL


def test_each_value_completes_once_others_are_released() -> None:
    budget = MemoryBudget(TOTAL)
    values = [Value(budget) for _ in range(8)]
    for value in values:
        value.read()
    for value in values:
        assert value.whole
        budget.end_growth(value)
        budget.release_memory(value.size)
    assert budget.held == 0


def test_value_that_waits_for_its_turn_leaves_room_for_others() -> None:
    budget = MemoryBudget(TOTAL)
    waiting = Value(budget, has_turn=False)
    waiting.buffered_bytes = MAX_VALUE_BYTES // 2
    budget.count(waiting.buffered_bytes)
    assert budget.may_grow(waiting)
    budget.count(2 * MAX_VALUE_BYTES)
    assert not budget.may_grow(waiting)
    assert budget.may_grow(Value(budget))


def test_closed_value_is_not_asked_again() -> None:
    budget = MemoryBudget(TOTAL)
    first, closed = Value(budget), Value(budget)
    first.read()
    budget.count(TOTAL)
    closed.read()
    closed.closed = True
    budget.release_memory(TOTAL)
    assert not closed.size


def test_what_has_arrived_counts_beyond_the_total() -> None:
    budget = MemoryBudget(READ_SIZE_BYTES)
    budget.count(2 * READ_SIZE_BYTES)
    assert budget.exhausted
    assert not budget.has_room(1)
    budget.release_memory(2 * READ_SIZE_BYTES)
    assert budget.held == 0


def test_requests_for_memory_are_served_in_their_order() -> None:
    budget, served = MemoryBudget(TOTAL), list[str]()
    assert budget.reserve(TOTAL // 2)
    for name, size in (("large", TOTAL * 3 // 4), ("small", 1000)):
        assert not budget.reserve(size), "also what there is room for waits behind what waits"
        budget.request(MemoryRequest(size, lambda name=name: served.append(name)))  # type: ignore[misc]
    assert served == []
    budget.release_memory(TOTAL // 2)
    assert served == ["large", "small"]
    assert budget.held == TOTAL * 3 // 4 + 1000


def test_cancelled_request_takes_no_memory() -> None:
    budget, served = MemoryBudget(TOTAL), list[str]()
    budget.count(TOTAL)
    cancelled = MemoryRequest(1000, lambda: served.append("cancelled"))
    budget.request(cancelled)
    budget.request(MemoryRequest(2000, lambda: served.append("other")))
    cancelled.is_cancelled = True
    budget.release_memory(TOTAL)
    assert served == ["other"]
    assert budget.held == 2000


def test_a_client_keeps_a_share_of_what_is_free_and_reads_shrink_with_it() -> None:
    budget = MemoryBudget(TOTAL)
    assert budget.may_keep(TOTAL // 3)
    budget.count(TOTAL // 2)
    assert not budget.may_keep(TOTAL // 3)
    assert not budget.may_read_ahead(1)
    assert budget.read_size(64, READ_SIZE_BYTES) == TOTAL // 2 // 64
    budget.count(TOTAL)
    assert budget.read_size(64, READ_SIZE_BYTES) == MIN_READ_BYTES


def test_values_that_found_the_same_room_do_not_all_take_it() -> None:
    """Guards against a room that each of many values is granted before any of them has read."""
    room = READ_SIZE_BYTES
    budget = MemoryBudget(MAX_VALUE_BYTES + room)
    oldest, *others = (Value(budget) for _ in range(8))
    assert budget.may_grow(oldest)
    assert all(budget.may_grow(value) for value in others)
    for value in others:
        budget.count(budget.growth_size(value))
    assert budget.held <= room + len(others) * MIN_READ_BYTES
    assert budget.growth_size(oldest) == READ_SIZE_BYTES
