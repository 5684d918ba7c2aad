"""Rule 2, no effect twice: where a request may still be sent, and whether it may be refused."""

from __future__ import annotations

from saltport.decisions.health import Node
from saltport.decisions.interface import DedupScope, Effect
from saltport.decisions.request import Request


def may_have_run(request: Request, node: Node) -> None:
    """Note where the first attempt was sent that may have run, and until when its repeats are dropped."""
    request.ran = node
    if request.cls.effect is Effect.KEYED:
        request.not_after = min(request.deadline, request.sent_at + request.cls.dedup_window)


def may_send(request: Request, node: Node, now: int) -> bool:
    """What may have run goes out again only where and while its repeat is dropped."""
    if request.ran is None or request.cls.effect is Effect.SAFE:
        return True
    here, there = node.entry, request.ran.entry
    if request.cls.effect is Effect.UNSAFE or now >= request.not_after:
        return False
    group, same_zone = request.cls.dedup_scope, here.zone == there.zone
    return group is DedupScope.ALL or (same_zone and (group is DedupScope.ZONE or here.cell == there.cell))


def may_repeat(request: Request) -> bool:
    """Whether it does no harm to try again, whatever became of the attempts before."""
    keyed_anywhere = request.cls.effect is Effect.KEYED and request.cls.dedup_scope is DedupScope.ALL
    return request.cls.effect is Effect.SAFE or keyed_anywhere


def may_refuse(request: Request) -> bool:
    """A refusal says that a further try is harmless."""
    return request.ran is None or may_repeat(request)
