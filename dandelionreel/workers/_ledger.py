"""What is counted as held on one worker; the only guard against over-filling it.

Workers start what they are given, whether it fits or not.
"""

import enum
from dataclasses import dataclass, replace

from dandelionreel.backing import NOTHING, Resources, TaskList, TaskStatus
from dandelionreel.ownership import Grant, Level

HALF_SHARE = 0.5


class AllocationState(enum.Enum):
    """How sure it is that the task is on the worker."""

    STARTING = 'starting'
    RUNNING = 'running'
    DOUBTFUL = 'doubtful'


@dataclass(frozen=True)
class Allocation:
    """One counted task; ``since`` is when its state became so, in own seconds."""

    task_id: str
    demand: Resources
    epoch: int
    state: AllocationState
    since: float


class Ledger:
    """Counts the tasks of one worker, unresolved starts included."""

    def __init__(self, capacity: Resources) -> None:
        """Count against ``capacity``."""
        self.capacity = capacity
        self._allocation_by_task: dict[str, Allocation] = {}
        #: When the newest listing was asked for, on this daemon's clock.
        self.listed_at = float('-inf')

    def allocations(self) -> tuple[Allocation, ...]:
        """Return all counted tasks."""
        return tuple(self._allocation_by_task.values())

    def get(self, task_id: str) -> Allocation | None:
        """Return the hold of a task."""
        return self._allocation_by_task.get(task_id)

    def total_demand(self) -> Resources:
        """Return what all counted tasks were promised."""
        total = NOTHING
        for allocation in self._allocation_by_task.values():
            total += allocation.demand
        return total

    def is_settled(self) -> bool:
        """Return whether no start is under way or in doubt."""
        return all(
            allocation.state is AllocationState.RUNNING
            for allocation in self._allocation_by_task.values()
        )

    def usable_capacity(self, grant: Grant) -> Resources:
        """Return how much may be filled in all, of what is counted already too."""
        if grant.level is Level.NONE or self.listed_at < grant.since:
            return NOTHING
        if grant.level is Level.WHOLE:
            return self.capacity
        half = self.capacity.times(HALF_SHARE)
        if grant.level is Level.OWN_HALF:
            return half
        # The former owner may still fill up to its half, or hold what it had
        # beyond that; this claimant gets what is surely left, half at most.
        former_owner_demand = self._sum_demand(grant.epoch, is_own=False).at_least(half)
        return (self.capacity - former_owner_demand).at_most(half) + self._sum_demand(
            grant.epoch, is_own=False
        )

    def refusal_reason(self, demand: Resources, grant: Grant) -> str:
        """Return why a task may not be started now, or an empty text."""
        if grant.level is Level.NONE:
            return 'not the owner'
        if self.listed_at < grant.since:
            return 'the worker has not been listed since the claim'
        if not (self.total_demand() + demand).fits(self.usable_capacity(grant)):
            return f'no room under {grant.level.value}'
        return ''

    def add_start(self, task_id: str, demand: Resources, grant: Grant, now: float) -> None:
        """Count a start before it is sent."""
        self._allocation_by_task[task_id] = Allocation(
            task_id,
            demand,
            grant.epoch,
            AllocationState.STARTING,
            now,
        )

    def set_state(self, task_id: str, state: AllocationState, now: float) -> None:
        """Note what became of a start."""
        allocation = self._allocation_by_task.get(task_id)
        if allocation is not None:
            self._allocation_by_task[task_id] = replace(allocation, state=state, since=now)

    def release(self, task_id: str) -> None:
        """Stop counting a task that is known not to run."""
        self._allocation_by_task.pop(task_id, None)

    def note_listing(self, task_list: TaskList, requested_at: float) -> None:
        """Adopt what runs, release what has ended.

        A start that is under way or in doubt is not released because a
        listing lacks it: its bytes may still be on their way to the worker.
        """
        self._release_missing(task_list, requested_at)
        for status in task_list.tasks:
            if status.is_running:
                self._adopt_running(status, requested_at)
        self.listed_at = requested_at

    def _release_missing(self, task_list: TaskList, requested_at: float) -> None:
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

    def _adopt_running(self, status: TaskStatus, requested_at: float) -> None:
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
        total = NOTHING
        for allocation in self._allocation_by_task.values():
            if (allocation.epoch >= epoch) is is_own:
                total += allocation.demand
        return total
