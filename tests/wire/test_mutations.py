"""Mutated answers are never served as a wrong value; long runs: `python -m benchmarks.mutate_answers`.

A mutated answer may still be valid (a byte changed within a value, a changed header name that was the length,
a cut in a body that ends with its connection). The expected result is therefore that of a simple strict
reference reader for the same bytes; where it reads no answer, the result must be an error.
"""

from __future__ import annotations

import pytest
from hypothesis import HealthCheck, given, settings

from tests.wire.mutations import CACHE, ORIGIN, TRICKY_BYTES, Case, Wire, cases, check, logging_disabled

EXAMPLES = settings(
    derandomize=True, max_examples=600, deadline=None, suppress_health_check=[HealthCheck.too_slow]
)
CACHE_ANSWERS = [
    b"*3\r\n$6\r\na\r\nb$1\r\n$3\r\nhit\r\n$22\r\nlatency_ms=1.5,queue=2\r\n",
    b"*3\r\n$-1\r\n$4\r\nmiss\r\n$-1\r\n",
    b"-BUSY\r\n",
]
ORIGIN_ANSWERS = [
    b"HTTP/1.1 200 OK\r\nContent-Length: 10\r\n\r\nab\r\n\r\n0\r\nc",
    b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n6\r\na\r\nbcd\r\n1\r\ne\r\n0\r\n\r\n",
    b"HTTP/1.1 503 X\r\nNot-Started: 1\r\nContent-Length: 0\r\n\r\n",
]
WIRES = [(CACHE, CACHE_ANSWERS), (ORIGIN, ORIGIN_ANSWERS)]


@given(case=cases(CACHE))
@EXAMPLES
def test_mutated_answer_of_a_cache_server_is_the_value_that_it_frames_or_an_error(case: Case) -> None:
    with logging_disabled():
        check(CACHE, case)


@given(case=cases(ORIGIN))
@EXAMPLES
def test_mutated_answer_of_the_origin_is_the_value_that_it_frames_or_an_error(case: Case) -> None:
    with logging_disabled():
        check(ORIGIN, case)


@pytest.mark.parametrize(("wire", "answers"), WIRES)
def test_each_byte_cut_doubled_swapped_inserted_and_replaced(wire: Wire, answers: list[bytes]) -> None:
    with logging_disabled():
        for answer in answers:
            for at in range(len(answer)):
                before, byte, after = answer[:at], answer[at : at + 1], answer[at + 1 :]
                mutants = [before, before + after, before + byte + byte + after]
                mutants.append(before + after[:1] + byte + after[1:])
                mutants += [before + more + byte + after for more in TRICKY_BYTES]
                mutants += [before + more + after for more in TRICKY_BYTES]
                for mutant in mutants:
                    check(wire, Case(mutant, (), 4, False))


@pytest.mark.parametrize(("wire", "answers"), WIRES)
@pytest.mark.parametrize("large", [4, 64 << 10])
def test_whole_answer_split_at_each_place(wire: Wire, answers: list[bytes], large: int) -> None:
    with logging_disabled():
        for answer in answers:
            ends = {
                check(wire, Case(answer, (at,), large, transfers))
                for at in range(len(answer))
                for transfers in (False, True)
            }
            ends.add(check(wire, Case(answer, None, large, False)))
            assert len(ends) == 1
            assert ends != {check(wire, Case(answer[:-1] + b"x", (), large, False))} or answer[-1:] == b"c"
