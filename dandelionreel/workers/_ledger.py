"""What is counted as held on one worker; the only guard against over-filling it.

Workers start what they are given, whether it fits or not.
"""

import enum
from dataclasses import dataclass, replace

from dandelionreel.backing import NOTHING, Resources, TaskList, TaskStatus
from dandelionreel.ownership import Grant, GrantLevel

HALF = 0.5


class HoldState(enum.Enum):
    """How sure it is that the task is on the worker."""

    STARTING = 'starting'
    RUNNING = 'running'
    DOUBTFUL = 'doubtful'


@dataclass(frozen=True)
class Hold:
    """One counted task; ``since`` is when its state became so, in own seconds."""

    task_id: str
    demand: Resources
    epoch: int
    state: HoldState
    since: float


class Ledger:
    """Counts the tasks of one worker, unresolved starts included."""

    def __init__(self, capacity: Resources) -> None:
        """Count against ``capacity``."""
        self.capacity = capacity
        self._hold_by_task: dict[str, Hold] = {}
        #: When the newest listing was asked for, on this daemon's clock.
        self.listed_at = float('-inf')

    def holds(self) -> tuple[Hold, ...]:
        """Return all counted tasks."""
        return tuple(self._hold_by_task.values())

    def get(self, task_id: str) -> Hold | None:
        """Return the hold of a task."""
        return self._hold_by_task.get(task_id)

    def total(self) -> Resources:
        """Return what all counted tasks were promised."""
        total = NOTHING
        for hold in self._hold_by_task.values():
            total += hold.demand
        return total

    def is_settled(self) -> bool:
        """Return whether no start is under way or in doubt."""
        return all(hold.state is HoldState.RUNNING for hold in self._hold_by_task.values())

    def room(self, grant: Grant) -> Resources:
        """Return how much may be filled in all, of what is counted already too."""
        if grant.level is GrantLevel.NONE or self.listed_at < grant.since:
            return NOTHING
        if grant.level is GrantLevel.WHOLE:
            return self.capacity
        half = self.capacity.times(HALF)
        if grant.level is GrantLevel.OWN_HALF:
            return half
        # The former owner may still fill up to its half, or hold what it had
        # beyond that; this claimant gets what is surely left, half at most.
        theirs = self._sum(grant.epoch, mine=False).at_least(half)
        return (self.capacity - theirs).at_most(half) + self._sum(grant.epoch, mine=False)

    def refusal(self, demand: Resources, grant: Grant) -> str:
        """Return why a task may not be started now, or an empty text."""
        if grant.level is GrantLevel.NONE:
            return 'not the owner'
        if self.listed_at < grant.since:
            return 'the worker has not been listed since the claim'
        if not (self.total() + demand).fits(self.room(grant)):
            return f'no room under {grant.level.value}'
        return ''

    def hold(self, task_id: str, demand: Resources, grant: Grant, now: float) -> None:
        """Count a start before it is sent."""
        self._hold_by_task[task_id] = Hold(
            task_id,
            demand,
            grant.epoch,
            HoldState.STARTING,
            now,
        )

    def change(self, task_id: str, state: HoldState, now: float) -> None:
        """Note what became of a start."""
        hold = self._hold_by_task.get(task_id)
        if hold is not None:
            self._hold_by_task[task_id] = replace(hold, state=state, since=now)

    def release(self, task_id: str) -> None:
        """Stop counting a task that is known not to run."""
        self._hold_by_task.pop(task_id, None)

    def note_listing(self, listing: TaskList, asked_at: float) -> None:
        """Adopt what runs, release what has ended.

        A start that is under way or in doubt is not released because a
        listing lacks it: its bytes may still be on their way to the worker.
        """
        self._release_ended(listing, asked_at)
        for status in listing.tasks:
            if status.is_running:
                self._adopt(status, asked_at)
        self.listed_at = asked_at

    def _release_ended(self, listing: TaskList, asked_at: float) -> None:
        listed = {status.id for status in listing.tasks}
        for status in listing.tasks:
            if not status.is_running:
                self.release(status.id)
        for hold in self.holds():
            is_old = hold.state is HoldState.RUNNING and hold.since < asked_at
            if is_old and hold.task_id not in listed:
                self.release(hold.task_id)

    def _adopt(self, status: TaskStatus, asked_at: float) -> None:
        known = self._hold_by_task.get(status.id)
        if known is None:
            known = Hold(
                status.id,
                status.order.demand,
                status.order.epoch,
                HoldState.STARTING,
                asked_at,
            )
        if known.state is not HoldState.RUNNING:
            known = replace(known, state=HoldState.RUNNING, since=asked_at)
        self._hold_by_task[status.id] = known

    def _sum(self, epoch: int, *, mine: bool) -> Resources:
        total = NOTHING
        for hold in self._hold_by_task.values():
            if (hold.epoch >= epoch) is mine:
                total += hold.demand
        return total
