"""Tokens of the timers that the decisions set, which tell what a timer is for once it expires.

Clients choose the ids of requests, so each token that holds an id begins with a prefix: no id is then taken
for the token of another timer.
"""

from __future__ import annotations

SUBSCRIPTION = "subscribe"
"""The next subscription to the changes of the server list is due."""
HOT_KEY_SWEEP = "hot key sweep"
"""The next review of all replicated keys is due."""
_WAITING_REQUEST_PREFIX = "waiting request:"
_DELAYED_ANSWER_PREFIX = "delayed answer:"


def waiting_request(request_id: str) -> str:
    """Return the token of the timer after which a waiting request continues or is given up."""
    return _WAITING_REQUEST_PREFIX + request_id


def waiting_request_id(token: str) -> str | None:
    """Return the id of the waiting request that a timer belongs to; None: another timer."""
    return _id_behind(_WAITING_REQUEST_PREFIX, token)


def delayed_answer(request_id: str) -> str:
    """Return the token of the timer after which a write's answer waits no longer for invalidations."""
    return _DELAYED_ANSWER_PREFIX + request_id


def delayed_answer_id(token: str) -> str | None:
    """Return the id of the write that a timer of a delayed answer belongs to; None: another timer."""
    return _id_behind(_DELAYED_ANSWER_PREFIX, token)


def _id_behind(prefix: str, token: str) -> str | None:
    return token.removeprefix(prefix) if token.startswith(prefix) else None
