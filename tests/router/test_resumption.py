"""The bytes that a client has of a value are removed from the answer that continues it."""

from __future__ import annotations

import random

import pytest

from saltport.router.resumption import PrefixCheck, PrefixDiffersError, RelayedValue

VALUE = random.Random(5).randbytes(10_000)


def relayed(size: int) -> RelayedValue:
    value = RelayedValue(len(VALUE))
    for at in range(0, size, 700):
        value.add(VALUE[at : min(at + 700, size)])
    return value


def continued(size: int, answer: bytes, part: int) -> bytes:
    check = PrefixCheck(relayed(size))
    rest = b"".join(check.rest(answer[at : at + part]) for at in range(0, len(answer), part))
    assert check.is_complete
    return rest


@pytest.mark.parametrize("size", [0, 1, 699, 5000, len(VALUE)])
@pytest.mark.parametrize("part", [1, 333, len(VALUE)])
def test_rest_is_what_the_client_lacks(size: int, part: int) -> None:
    assert continued(size, VALUE, part) == VALUE[size:]


@pytest.mark.parametrize("wrong_at", [0, 2500, 4999])
@pytest.mark.parametrize("part", [333, len(VALUE)])
def test_answer_that_differs_in_one_byte_of_the_prefix_is_rejected(wrong_at: int, part: int) -> None:
    answer = bytearray(VALUE)
    answer[wrong_at] ^= 1
    with pytest.raises(PrefixDiffersError):
        continued(5000, bytes(answer), part)
