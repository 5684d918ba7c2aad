"""One replicated key: how many nodes it has, which of them hold it, and how it is let go. No I/O."""

from __future__ import annotations

from collections import deque

from saltport.decisions.health import Node
from saltport.decisions.interface import NS_PER_S
from saltport.structures.indexed import IndexedSet

COOL = 12 * NS_PER_S  # with fewer nodes needed all the while, before any is let go: longer than flickers last
RELEASE = 36 * NS_PER_S  # in which all further copies go, one at a time; with COOL within a minute
FILL_PAUSE = NS_PER_S // 2  # after a fill by reads that came to nothing
FOR_GOOD = 1 << 62


class ReplicatedKey:
    """A key on several nodes; `members[0]` is the slot's own node, which always counts as holding it."""

    def __init__(self, key: str, slot: int, tenant: str, now: int) -> None:
        self.key, self.slot, self.tenant, self.began = key, slot, tenant, now
        self.copies = 1
        """How many nodes it should have."""
        self.why = ""
        self.share = 0.0
        """Of all reads, as of the last look."""
        self.members: list[Node] = []
        self.ready: IndexedSet[Node] = IndexedSet()
        """The members that hold it, as far as known."""
        self.absent: IndexedSet[Node] = IndexedSet()
        """The members that lack it."""
        self.held: dict[str, int] = {}
        """Until when a node holds it, by server, members or not."""
        self.leases: deque[tuple[int, Node]] = deque()
        """The copies whose time runs out, the first to do so first; what was renewed stands twice."""
        self.fillers: dict[str, list[Node]] = {}
        """The reads that visit absent members just now, with those that each is to fill."""
        self.fill_after = 0
        self.order: list[Node] = []
        """The nodes that may have it, as of `version` of the list and `ordered_at`."""
        self.version = -1
        self.ordered_at = 0
        self.placed_at = 0
        self.look_at = 0
        self._calm_since = 0
        self._next_release = 0
        self._step = RELEASE

    def follow(self, need: int, now: int) -> None:
        """More nodes at once; fewer one at a time, and only after a while without need of them."""
        if need >= self.copies:
            self.copies, self._calm_since = need, 0
            return
        if not self._calm_since:
            self._calm_since, self._next_release = now, now + COOL
            self._step = max(RELEASE // self.copies, 1)
            return
        while now >= self._next_release and self.copies > need:
            self.copies -= 1
            self._next_release += self._step

    @property
    def releasing(self) -> bool:
        """Whether it is being let go."""
        return bool(self._calm_since)

    def place(self, members: list[Node], now: int) -> None:
        """Take the nodes that it should be on."""
        self.members, self.placed_at = members, now
        home = members[0] if members else None
        self.ready = IndexedSet(
            node for node in members if node is home or self.held.get(node.entry.id, 0) > now
        )
        self.absent = IndexedSet(node for node in members if node not in self.ready)

    def holds(self, node: Node, until: int) -> None:
        """A node turned out to hold it, or was given it."""
        self.held[node.entry.id] = until
        if until < FOR_GOOD:
            self.leases.append((until, node))
        if node in self.absent:
            self.absent.discard(node)
            self.ready.add(node)

    def renewable(self, before: int, most: int) -> list[Node]:
        """Members that hold it until then at the most, each told once."""
        found: list[Node] = []
        while self.leases and self.leases[0][0] <= before and len(found) < most:
            until, node = self.leases.popleft()
            if self.held.get(node.entry.id) == until and node in self.ready:
                found.append(node)
        return found

    def lacks(self, node: Node) -> None:
        """A node turned out to lack it; its own node stays in, as the next fetch fills it."""
        self.held.pop(node.entry.id, None)
        if node in self.ready and node is not self.members[0]:
            self.ready.discard(node)
            self.absent.add(node)
