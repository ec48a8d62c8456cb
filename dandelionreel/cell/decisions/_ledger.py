"""What every runner holds, by run: the only guard against giving it too much.

An allocation lives from the moment that its start is decided until the runner
has listed its end, its lease has lapsed, or the start was refused: what is
being stopped, and what may still arrive, counts all the while.
"""

import enum
from dataclasses import dataclass

from dandelionreel.cell.model import Demand, Registration, StepName, TaskName

NEVER = float('-inf')
#: Estimates are guesses; a task that outlives its own is taken to need this
#: share of it again.
OVERRUN_FRACTION = 0.25
#: Seconds for which a draining runner stays when it does not say so.
DEFAULT_DRAIN_SECONDS = 2.0
#: Seconds that the news of a drain may have been under way.
MAX_ENTRY_DELAY_SECONDS = 0.3
#: Seconds that a quarantined task must have been well on a runner before anything else starts
#: there.
QUARANTINE_SECONDS = 0.5


class AllocationPhase(enum.Enum):
    """Where an allocation stands."""

    STARTING = 'starting'
    RUNNING = 'running'
    STOPPING = 'stopping'


@dataclass
class Allocation:
    """One run of a task on one runner; times are monotonic seconds."""

    task: TaskName
    run: int
    runner: str
    demand: Demand
    placed_at: float
    ticket: str = ''
    phase: AllocationPhase = AllocationPhase.STARTING
    #: Since when a poll that does not list the run proves that it is not there.
    order_answered_at: float | None = None
    #: When it was first known to run.
    started_at: float | None = None
    percent: int = 0
    gauge: float = 0.0
    #: How long the task is thought to run, in seconds.
    expected: float = 0.0
    checkpoint: str = ''
    #: Whether ``demand`` is what the run takes; of a job that is not known nothing is.
    demand_known: bool = True
    #: The client account whose quota it counts against, empty for none.
    account: str = ''
    #: Whether nothing else starts there until it has proved well.
    quarantined: bool = False
    #: Whether a try of its start may have arrived and was not answered.
    start_unanswered: bool = False
    #: Whether the connection broke while the answer to its first try was out.
    connection_broken: bool = False

    @property
    def may_have_run(self) -> bool:
        """Return whether the run may have been on its runner."""
        return self.start_unanswered or self.started_at is not None


class RunnerState:
    """One runner: its registration, its clock, its room and its allocations."""

    def __init__(self, registration: Registration) -> None:
        """Start empty and not yet looked at."""
        self.id = registration.runner
        self.registration = registration
        self.listed = True
        #: Set once the store says that tasks may run there.
        self.recorded = False
        self.used = Demand()
        #: What is free. Kept, not worked out: a plan reads it for each waiting step.
        self.free_capacity = registration.capacity
        self.allocation_by_run: dict[tuple[TaskName, int], Allocation] = {}
        self.answered_at = NEVER
        #: Set while looks go unanswered: nothing new is placed there.
        self.suspect = False
        #: Whether the last poll was not answered.
        self.missed_last_poll = False
        #: When a draining runner may be gone (monotonic seconds).
        self.may_leave_at = float('inf')
        #: No start is sent there before then (it refused one).
        self.no_starts_until = NEVER
        #: Runs held of which nobody knows how much they take.
        self.unknown_demands = 0
        #: The highest end number whose effect stands in the store, and the
        #: highest one that has been taken into account.
        self.acknowledged_end = 0
        #: The highest one that the runner has answered to have forgotten.
        self.confirmed_end = 0
        self.processed_end = 0
        #: The highest one that may be acknowledged: no unreadable one is below it.
        self.readable_through: int | None = None
        #: The lowest end that must stay at the runner: its job cannot be read.
        self.retained_end: int | None = None
        #: Whether all that the last poll listed could be read.
        self.readable = True
        #: Quarantined runs that have not proved well yet.
        self._quarantined: list[Allocation] = []
        self._clock = 0.0
        self._clock_at = NEVER
        self._lease_until = 0.0

    @property
    def draining(self) -> bool:
        """Return whether the runner has said that it will leave."""
        return self.registration.draining

    def note_registration(self, registration: Registration, now: float) -> None:
        """Take what the runner says of itself, and when it will be gone at the earliest."""
        if registration.draining and not self.registration.draining:
            stays = (
                DEFAULT_DRAIN_SECONDS if registration.remaining is None else registration.remaining
            )
            self.may_leave_at = now + max(0.0, stays - MAX_ENTRY_DELAY_SECONDS)
        self.registration = registration
        self.free_capacity = registration.capacity - self.used

    def usable(self, now: float) -> bool:
        """Return whether something may be started there now."""
        if not self.listed or not self.recorded or self.draining or self.suspect:
            return False
        if not self.registration.usable:
            return False
        if self.unknown_demands:
            # What is being stopped has its room until it is gone. Counted as nothing, it
            # and what was started beside it took more than the runner has.
            return False
        if self._quarantined and self._in_quarantine(now):
            return False
        return self.knows_clock() and now >= self.no_starts_until

    def accepts(self, *, quarantined: bool) -> bool:
        """Return whether a task may start beside those that were placed in the same plan.

        A quarantined task starts by itself: of two starts that are under way when the
        runner crashes, neither could be told to be the cause.
        """
        if self._quarantined:
            return False
        if not quarantined:
            return True
        return all(
            held.phase is not AllocationPhase.STARTING for held in self.allocation_by_run.values()
        )

    def has_room_for(self, allocation: Allocation) -> bool:
        """Return whether the runner has room for all that it holds, as far as a run takes it.

        Its room may have shrunk since the run was placed there.
        """
        room, demand = self.free_capacity, allocation.demand
        return (
            (room.cpu >= 0 or not demand.cpu)
            and (room.memory_mb >= 0 or not demand.memory_mb)
            and (room.gpu >= 0 or not demand.gpu)
        )

    @property
    def acknowledgeable_end(self) -> int:
        """Return the highest end that may be acknowledged once its effect is stored."""
        last = self.processed_end
        if self.readable_through is not None:
            last = min(last, self.readable_through)
        if self.retained_end is not None:
            last = min(last, self.retained_end - 1)
        return last

    def retain_end(self, number: int) -> None:
        """Leave an end, and those behind it, at the runner."""
        self.retained_end = number if self.retained_end is None else min(self.retained_end, number)

    def reprocess_ends(self) -> None:
        """Take all ends that are still listed into account once more; each counts once."""
        self.processed_end = self.acknowledged_end
        self.retained_end = None

    def hold(self, allocation: Allocation) -> None:
        """Count an allocation."""
        self.allocation_by_run[allocation.task, allocation.run] = allocation
        self.used = self.used + allocation.demand
        self.free_capacity = self.free_capacity - allocation.demand
        self.unknown_demands += not allocation.demand_known
        if allocation.quarantined:
            self._quarantined.append(allocation)

    def free(self, allocation: Allocation) -> None:
        """Stop counting an allocation; more than once does no harm."""
        if self.allocation_by_run.pop((allocation.task, allocation.run), None) is not None:
            self.used = self.used - allocation.demand
            self.free_capacity = self.free_capacity + allocation.demand
            self.unknown_demands -= not allocation.demand_known
            if allocation in self._quarantined:
                self._quarantined.remove(allocation)

    def count_step(self, step: StepName) -> int:
        """Return how many runs of a step are held, those being stopped too.

        A task of which an earlier run was done elsewhere is over, while its last
        run is still being stopped here; another task of the step would be one more
        than may run together.
        """
        return sum(StepName.of(task) == step for task, _ in self.allocation_by_run)

    def note_clock(self, clock: float, now: float) -> None:
        """Keep the runner's clock as an answer told it; ``now`` is when it came."""
        self._clock = clock
        self._clock_at = now

    def knows_clock(self) -> bool:
        """Return whether leases can be expressed on the runner's clock."""
        return self._clock_at != NEVER

    def clock_at(self, now: float) -> float:
        """Return about what the runner's clock shows."""
        return self._clock + (now - self._clock_at)

    def extend_lease(self, now: float, seconds: float) -> float:
        """Return the end of a new lease on the runner's clock, and count it as granted."""
        lease_until = self.clock_at(now) + seconds
        self._lease_until = max(self._lease_until, lease_until)
        return lease_until

    def renew_lease(self, now: float, seconds: float) -> float | None:
        """Return the lease that a poll carries, ``None`` for none.

        A runner that did not answer the last poll gets none: each renewal that
        it may have taken moves the time at which its tasks are surely gone, and
        a crashed runner's tasks would never start elsewhere.
        """
        if not self.knows_clock() or self.missed_last_poll:
            return None
        return self.extend_lease(now, seconds)

    def leases_expired(self, now: float, drift: float) -> bool:
        """Return whether every lease granted there has run out for sure.

        The runner's clock has advanced by at least ``1 - drift`` of the time
        since it was last told, so what it shows is never overestimated.
        """
        if not self.knows_clock():
            return False
        return self._clock + (now - self._clock_at) * (1 - drift) > self._lease_until

    def _in_quarantine(self, now: float) -> bool:
        self._quarantined = [
            held
            for held in self._quarantined
            if held.started_at is None or now < held.started_at + QUARANTINE_SECONDS
        ]
        return bool(self._quarantined)


def expected_end(allocation: Allocation, now: float) -> float:
    """Return when a run is thought to end, in monotonic seconds."""
    if allocation.phase is AllocationPhase.STOPPING:
        return now
    began = allocation.started_at or allocation.placed_at
    usual = began + allocation.expected
    return max(usual, now + OVERRUN_FRACTION * allocation.expected)
