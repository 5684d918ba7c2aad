"""Fencing: refuses effects of older epochs than already seen (Chubby's sequencers, section 2.4). No I/O."""

from __future__ import annotations

from collections import OrderedDict

from saltport.owners.assignments import Assignments

MAX_REMEMBERED_TASKS = 16_384  # beyond this the least recently used task is forgotten


class Fence:
    """The highest epoch seen for each task."""

    def __init__(self) -> None:
        self._highest_epochs: OrderedDict[str, int] = OrderedDict()
        self._floor = 0
        """Lowest epoch accepted for a task that is not remembered; it never falls."""
        self.refused = 0

    def admit(self, task: str, epoch: int) -> bool:
        """Whether an effect of this epoch may be applied; if so, older epochs are refused from now on."""
        if epoch < self._highest_epochs.get(task, self._floor):
            self.refused += 1
            return False
        self._highest_epochs[task] = epoch
        self._highest_epochs.move_to_end(task)
        if len(self._highest_epochs) > MAX_REMEMBERED_TASKS:
            self._floor = max(self._floor, self._highest_epochs.popitem(last=False)[1])
        return True

    def learn(self, assignments: Assignments) -> None:
        """Take over the epochs of replicated assignments, for example after a restart."""
        for task, assignment in assignments.tasks.items():
            if assignment.epoch > self._highest_epochs.get(task, self._floor):
                self.admit(task, assignment.epoch)
