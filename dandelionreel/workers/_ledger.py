"""Allocations on one worker; nothing else protects the worker from being overcommitted.

Workers start every task that they are sent, whether it fits or not.
"""

import enum
from dataclasses import dataclass, replace

from dandelionreel.backing import NO_RESOURCES, Resources, TaskList, TaskStatus
from dandelionreel.ownership import Grant, GrantLevel

HALF_SHARE = 0.5


class AllocationState(enum.Enum):
    """Whether a task is on the worker; ``DOUBTFUL`` when the outcome of its start is unknown."""

    STARTING = 'starting'
    RUNNING = 'running'
    DOUBTFUL = 'doubtful'


@dataclass(frozen=True)
class Allocation:
    """An allocated task; ``since`` is when it got its state, on this daemon's clock."""

    task_id: str
    demand: Resources
    epoch: int
    state: AllocationState
    since: float


class Ledger:
    """Allocations of one worker, including starts whose outcome is unknown."""

    def __init__(self, capacity: Resources) -> None:
        """Allocate at most ``capacity``."""
        self.capacity = capacity
        self._allocation_by_task: dict[str, Allocation] = {}
        #: When the newest task list was requested, on this daemon's clock.
        self.listed_at = float('-inf')

    def allocations(self) -> tuple[Allocation, ...]:
        """Return all allocations."""
        return tuple(self._allocation_by_task.values())

    def get(self, task_id: str) -> Allocation | None:
        """Return the allocation of a task, ``None`` if there is none."""
        return self._allocation_by_task.get(task_id)

    def total_demand(self) -> Resources:
        """Return the demand of all allocations."""
        total = NO_RESOURCES
        for allocation in self._allocation_by_task.values():
            total += allocation.demand
        return total

    def is_settled(self) -> bool:
        """Return whether no start is pending or has an unknown outcome."""
        return all(
            allocation.state is AllocationState.RUNNING
            for allocation in self._allocation_by_task.values()
        )

    def usable_capacity(self, grant: Grant) -> Resources:
        """Return how much may be allocated in total, including existing allocations."""
        if grant.level is GrantLevel.NONE or self.listed_at < grant.since:
            return NO_RESOURCES
        if grant.level is GrantLevel.WHOLE:
            return self.capacity
        half = self.capacity.times(HALF_SHARE)
        if grant.level is GrantLevel.OWN_HALF:
            return half
        # The former owner may still allocate up to half of the capacity, or already
        # have allocated more. This owner may use what is certainly left, at most half.
        former_owner_demand = self._sum_demand(grant.epoch, is_own=False).at_least(half)
        return (self.capacity - former_owner_demand).at_most(half) + self._sum_demand(
            grant.epoch, is_own=False
        )

    def refusal_reason(self, demand: Resources, grant: Grant) -> str:
        """Return why a task may not start now, empty if it may."""
        if grant.level is GrantLevel.NONE:
            return 'not the owner'
        if self.listed_at < grant.since:
            return 'the worker has not been listed since the claim'
        if not (self.total_demand() + demand).fits(self.usable_capacity(grant)):
            return f'no room under {grant.level.value}'
        return ''

    def add_start(self, task_id: str, demand: Resources, grant: Grant, now: float) -> None:
        """Allocate the resources of a start before it is sent."""
        self._allocation_by_task[task_id] = Allocation(
            task_id,
            demand,
            grant.epoch,
            AllocationState.STARTING,
            now,
        )

    def set_state(self, task_id: str, state: AllocationState, now: float) -> None:
        """Set the state of an allocation."""
        allocation = self._allocation_by_task.get(task_id)
        if allocation is not None:
            self._allocation_by_task[task_id] = replace(allocation, state=state, since=now)

    def release(self, task_id: str) -> None:
        """Release the allocation of a task that is known not to run."""
        self._allocation_by_task.pop(task_id, None)

    def apply_task_list(self, task_list: TaskList, requested_at: float) -> None:
        """Allocate the tasks that the list shows as running, and release ended ones.

        A start that is pending or has an unknown outcome stays allocated although
        the list lacks its task: the start may still be in transit to the worker.
        """
        self._release_ended_tasks(task_list, requested_at)
        for status in task_list.tasks:
            if status.is_running:
                self._adopt_running_task(status, requested_at)
        self.listed_at = requested_at

    def _release_ended_tasks(self, task_list: TaskList, requested_at: float) -> None:
        listed_ids = {status.id for status in task_list.tasks}
        for status in task_list.tasks:
            if not status.is_running:
                self.release(status.id)
        for allocation in self.allocations():
            was_running = (
                allocation.state is AllocationState.RUNNING and allocation.since < requested_at
            )
            if was_running and allocation.task_id not in listed_ids:
                self.release(allocation.task_id)

    def _adopt_running_task(self, status: TaskStatus, requested_at: float) -> None:
        allocation = self._allocation_by_task.get(status.id)
        if allocation is None:
            allocation = Allocation(
                status.id,
                status.order.demand,
                status.order.epoch,
                AllocationState.STARTING,
                requested_at,
            )
        if allocation.state is not AllocationState.RUNNING:
            allocation = replace(allocation, state=AllocationState.RUNNING, since=requested_at)
        self._allocation_by_task[status.id] = allocation

    def _sum_demand(self, epoch: int, *, is_own: bool) -> Resources:
        total = NO_RESOURCES
        for allocation in self._allocation_by_task.values():
            if (allocation.epoch >= epoch) is is_own:
                total += allocation.demand
        return total
