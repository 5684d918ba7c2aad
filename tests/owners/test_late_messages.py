"""Messages between an owner and the coordinator that come late, after a task has left and come back."""

from __future__ import annotations

from saltport.owners.assignments import Assignment, Assignments, Session
from saltport.owners.coordinator import Coordinator
from saltport.owners.messages import AssignedTasks, Renew, RenewReply
from saltport.owners.owner_lease import OwnerLease
from saltport.owners.settings import OwnerSettings

SETTINGS = OwnerSettings()
SESSION = Session("r1", 1)
S = 1_000_000_000


def lease_with_a_task_that_came_back() -> OwnerLease:
    """Return the lease of a session that held a task by epoch 5, returned it, and holds it by epoch 9."""
    lease = OwnerLease("r1", 1, SETTINGS, 0)
    lease.add_assigned(AssignedTasks(SESSION, (("task", 5),)))
    lease.return_task("task")
    lease.tick(S)
    lease.on_renew_reply(RenewReply(SESSION, S, (), ("task",)), S)
    lease.add_assigned(AssignedTasks(SESSION, (("task", 9),)))
    return lease


def test_late_assignment_of_an_earlier_epoch_does_not_return_a_task_that_came_back() -> None:
    # Guards against: two routers held one task for good, as one returned it in a renewal and went on with it.
    lease = lease_with_a_task_that_came_back()
    lease.add_assigned(AssignedTasks(SESSION, (("task", 5),)))
    assert lease.tasks == {"task": 9}
    assert lease.effect_epoch("task", S) == 9
    renewal = lease.tick(10 * S) or lease.tick(lease._renew_at)
    assert renewal is None or renewal.returned == ()


def test_late_assignment_of_a_returned_task_is_returned_again() -> None:
    lease = OwnerLease("r1", 1, SETTINGS, 0)
    lease.add_assigned(AssignedTasks(SESSION, (("task", 5),)))
    lease.return_task("task")
    lease.tick(S)
    lease.on_renew_reply(RenewReply(SESSION, S, (), ("task",)), S)
    lease.add_assigned(AssignedTasks(SESSION, (("task", 5),)))
    assert lease.tasks == {}
    renewal = lease.tick(S + SETTINGS.renew_interval)
    assert renewal is not None
    assert renewal.returned == ("task",)


def test_late_renewal_does_not_return_a_task_that_came_back() -> None:
    # Guards against: a renewal that returned a task came after the task was the session's again.
    assignments = Assignments.empty()
    assignments.tasks["task"] = Assignment(SESSION, 9)
    coordinator = Coordinator(assignments, SETTINGS, 0)
    assert coordinator.renew(Renew(SESSION, 2 * S, 0, (), ("task",)), 2 * S)
    assert coordinator.renew(Renew(SESSION, S, 0, ("task",)), 3 * S) == []
    assert coordinator._returned == {}
    assert coordinator.renew(Renew(SESSION, 4 * S, 0, ("task",)), 4 * S)
    assert coordinator._returned == {"task": 9}
