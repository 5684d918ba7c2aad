"""The bytes that a client has of a value are removed from the answer that continues it."""

from __future__ import annotations

import asyncio
import random
from typing import Any, cast

import pytest

from saltport.decisions import Outcome
from saltport.downstream.replies import Reply
from saltport.messages import ValueSource
from saltport.router.relay import Relay, RelayHost
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


class RecordingSource:
    """A server's connection that records whether it is read."""

    def __init__(self) -> None:
        self.is_paused = False

    def pause(self) -> None:
        self.is_paused = True

    def resume(self) -> None:
        self.is_paused = False


class RecordingReply:
    """A reply that records what it is sent."""

    def __init__(self) -> None:
        self.sent = b""

    def send_part(self, data: bytes) -> None:
        self.sent += data


class ContinuingRelay(Relay):
    """The relay of a further answer to a read whose value broke off."""

    def continue_from(self, size: int, source: ValueSource) -> None:
        self._relayed = relayed(size)
        self._prefix_check = PrefixCheck(self._relayed)
        self._relay(len(VALUE), source)

    def remaining_ms(self) -> int:
        return 0

    def ended(self, outcome: Outcome, *_: Any) -> None:
        assert self._timer is not None
        self._timer.cancel()


@pytest.mark.parametrize("resumes", [False, True])
def test_what_the_client_has_is_read_while_the_client_takes_nothing(resumes: bool) -> None:
    # Guards against: the answer waited in the middle of what the client had, where no connection can move.
    async def scenario() -> None:
        class Host:
            loop = asyncio.get_running_loop()

        source, reply = RecordingSource(), RecordingReply()
        relay = ContinuingRelay(cast(RelayHost, Host()), cast(Reply, reply), "get")
        relay.continue_from(5000, source)
        relay.pause()
        assert not source.is_paused
        relay.value_received(VALUE[:4999])
        assert not source.is_paused
        if resumes:
            relay.resume()
        relay.value_received(VALUE[4999:6000])
        assert source.is_paused is not resumes
        assert reply.sent == VALUE[5000:6000]
        relay.end(Outcome.OK)

    asyncio.run(scenario())
