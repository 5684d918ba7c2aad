"""The rule that no effect happens twice: where a request may still be sent, and whether it may be refused."""

from __future__ import annotations

from saltport.decisions.health import Node
from saltport.decisions.interface import DedupScope, Effect
from saltport.decisions.request import Request


def record_possible_effect(request: Request, node: Node) -> None:
    """Record the server of the first attempt that may have had an effect, and the end of its dedup window."""
    request.possible_effect_node = node
    if request.cls.effect is Effect.KEYED:
        request.not_after = min(request.deadline, request.sent_at + request.cls.dedup_window)


def may_send(request: Request, node: Node, now: int) -> bool:
    """Whether a request may be sent to `node` now without the risk of a second effect.

    A keyed request that may have had an effect goes only to servers that still drop its repeats.
    """
    if request.possible_effect_node is None or request.cls.effect is Effect.SAFE:
        return True
    here, there = node.entry, request.possible_effect_node.entry
    if request.cls.effect is Effect.UNSAFE or now >= request.not_after:
        return False
    group, same_zone = request.cls.dedup_scope, here.zone == there.zone
    return group is DedupScope.ALL or (same_zone and (group is DedupScope.ZONE or here.cell == there.cell))


def may_repeat(request: Request) -> bool:
    """Whether a request may be repeated at any server, whatever the results of its earlier attempts."""
    keyed_anywhere = request.cls.effect is Effect.KEYED and request.cls.dedup_scope is DedupScope.ALL
    return request.cls.effect is Effect.SAFE or keyed_anywhere


def may_refuse(request: Request) -> bool:
    """Whether a request may be refused, which tells the client that a retry is harmless."""
    return request.possible_effect_node is None or may_repeat(request)
