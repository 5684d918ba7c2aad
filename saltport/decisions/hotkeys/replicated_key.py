"""One replicated key: how many nodes it has, which of them have a copy, and its release. No I/O."""

from __future__ import annotations

from collections import deque

from saltport.decisions.health import Node
from saltport.decisions.interface import NS_PER_S
from saltport.structures.indexed import IndexedSet

RELEASE_DELAY_NS = 12 * NS_PER_S  # from a lower need to the first release: longer than short lulls
RELEASE_DURATION_NS = 36 * NS_PER_S  # to release all copies, one at a time; with the delay under a minute
FILL_RETRY_PAUSE_NS = NS_PER_S // 2  # after a failed fill
NO_EXPIRY_NS = 1 << 62


class ReplicatedKey:
    """A key on several nodes; `members[0]` is the slot's own node, which always counts as having a copy."""

    def __init__(self, key: str, slot: int, tenant: str, now: int) -> None:
        self.key, self.slot, self.tenant, self.created_at = key, slot, tenant, now
        self.copies = 1
        """How many nodes the key should have, the slot's own included."""
        self.why = ""
        """Why it has this many, for people."""
        self.share = 0.0
        """The key's share of all reads, as of the last review."""
        self.members: list[Node] = []
        """The nodes that the key is assigned to."""
        self.ready: IndexedSet[Node] = IndexedSet()
        """The members that have a copy, as far as known."""
        self.absent: IndexedSet[Node] = IndexedSet()
        """The members without a copy."""
        self.copy_expiry: dict[str, int] = {}
        """When the copy at each server expires; also servers that are no members."""
        self.expiry_queue: deque[tuple[int, Node]] = deque()
        """Expiry times of copies, earliest first; a renewed copy also has its old entry."""
        self.filling_reads: dict[str, list[Node]] = {}
        """By request id, the reads under way that fill members without a copy, and those members."""
        self.fill_after = 0
        self.eligible: list[Node] = []
        """The nodes that may get the key, as of `list_version` of the node list and time `ranked_at`."""
        self.list_version = -1
        self.ranked_at = 0
        self.assigned_at = 0
        self.review_at = 0
        """When the need for nodes is next computed."""
        self._surplus_since = 0
        self._next_release_at = 0
        self._release_interval = RELEASE_DURATION_NS

    def update_copies(self, need: int, now: int) -> None:
        """Adapt the number of nodes to the need: raise it at once, lower it step by step after a delay."""
        if need >= self.copies:
            self.copies, self._surplus_since = need, 0
            return
        if not self._surplus_since:
            self._surplus_since, self._next_release_at = now, now + RELEASE_DELAY_NS
            self._release_interval = max(RELEASE_DURATION_NS // self.copies, 1)
            return
        while now >= self._next_release_at and self.copies > need:
            self.copies -= 1
            self._next_release_at += self._release_interval

    @property
    def releasing(self) -> bool:
        """Whether the key has more nodes than it needs, so that some are being released."""
        return bool(self._surplus_since)

    def assign(self, members: list[Node], now: int) -> None:
        """Assign the key to these nodes, and sort them into `ready` and `absent`."""
        self.members, self.assigned_at = members, now
        own = members[0] if members else None
        self.ready = IndexedSet(
            node for node in members if node is own or self.copy_expiry.get(node.entry.id, 0) > now
        )
        self.absent = IndexedSet(node for node in members if node not in self.ready)

    def add_copy(self, node: Node, until: int) -> None:
        """Record that a node has a copy, which expires at this time."""
        self.copy_expiry[node.entry.id] = until
        if until < NO_EXPIRY_NS:
            self.expiry_queue.append((until, node))
        if node in self.absent:
            self.absent.discard(node)
            self.ready.add(node)

    def take_expiring(self, before: int, count: int) -> list[Node]:
        """Return at most `count` members whose copy expires by `before`, each once for a copy."""
        found: list[Node] = []
        while self.expiry_queue and self.expiry_queue[0][0] <= before and len(found) < count:
            until, node = self.expiry_queue.popleft()
            if self.copy_expiry.get(node.entry.id) == until and node in self.ready:
                found.append(node)
        return found

    def remove_copy(self, node: Node) -> None:
        """Record that a node has no copy; the slot's own node stays ready, since the next fetch fills it."""
        self.copy_expiry.pop(node.entry.id, None)
        if node in self.ready and node is not self.members[0]:
            self.ready.discard(node)
            self.absent.add(node)
