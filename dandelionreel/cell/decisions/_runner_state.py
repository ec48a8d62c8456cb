"""Allocations of each runner by run: the only guard against overcommitting a runner.

An allocation exists from the decision to start it until the runner has listed its end, its
lease has expired, or the start was refused. Runs that are being stopped and starts that may
still arrive therefore count too.
"""

import enum
from dataclasses import dataclass

from dandelionreel.cell.model import Demand, Registration, StepName, TaskName

NEVER = float('-inf')
#: Expected end of a run that lasts until its job is cancelled.
NO_END = float('inf')
#: Estimates are guesses: a task that exceeds its estimate is expected to run for at least this
#: fraction of the estimate from now on.
OVERRUN_FRACTION = 0.25
#: A task that is overdue by more than this many times its estimate is expected to take as long
#: again as it is overdue: the estimate says nothing about it.
MAX_OVERRUN_FACTOR = 4.0
#: A run whose projected end has passed is expected to take as long again as it is overdue, and at
#: least this long: the poll that lists its end takes about as long.
MIN_REMAINING_SECONDS = 0.05
#: Seconds that a draining runner is assumed to stay if it does not report them.
DEFAULT_DRAIN_SECONDS = 2.0
#: Largest expected delay in seconds until the owner reads an entry that announces a drain.
MAX_ENTRY_DELAY_SECONDS = 0.3
#: Seconds that a quarantined task must have run on a runner before anything else starts there.
QUARANTINE_SECONDS = 0.5


class AllocationPhase(enum.Enum):
    """Phase of an allocation."""

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
    #: When the runner answered the last start or stop, or first listed the run. A complete answer
    #: to a poll that was sent later and does not list the run proves that it is gone.
    order_answered_at: float | None = None
    #: When the run was first known to be running.
    started_at: float | None = None
    percent: int = 0
    gauge: float = 0.0
    #: Expected duration of the run in seconds.
    expected: float = 0.0
    #: Whether the run lasts until its job is cancelled, whatever its estimate says.
    long_running: bool = False
    #: Expected end by the reported progress; ``None`` if unknown, or while speeds are even.
    projected_end: float | None = None
    #: Progress in percent when the end was last projected.
    projected_percent: int = 0
    #: Whether this owner placed the run and it has all of its task's work ahead of it.
    starts_afresh: bool = False
    checkpoint: str = ''
    #: When the runner last listed a new checkpoint of this run.
    checkpoint_at: float | None = None
    #: False if the job or task of the run is unknown; ``demand`` is then zero.
    demand_known: bool = True
    #: Client account whose quota the run counts against; empty for none.
    account: str = ''
    #: Whether nothing else starts on the runner until this run has proved healthy.
    quarantined: bool = False
    #: Whether an attempt to start the run may have arrived but was not answered.
    start_unanswered: bool = False
    #: Whether the connection broke while the first attempt to start the run was unanswered.
    connection_broken: bool = False
    #: When that happened, if the runner had answered on the connection right before the attempt.
    crash_seen_at: float | None = None

    @property
    def may_have_run(self) -> bool:
        """Return whether the run may have started on its runner."""
        return self.start_unanswered or self.started_at is not None

    @property
    def is_start_pending(self) -> bool:
        """Return whether a start of the run may still be sent, or was sent and not answered."""
        unanswered = self.start_unanswered and self.started_at is None
        return unanswered or self.phase is AllocationPhase.STARTING


class RunnerState:
    """State of one runner: registration, clock, free capacity and allocations."""

    def __init__(self, registration: Registration) -> None:
        """Create the state of a runner that has not been polled yet."""
        self.id = registration.runner
        self.registration = registration
        #: Whether the runner has an entry in the list of registered runners.
        self.listed = True
        #: Whether the store records that tasks may run on the runner; no start is sent before.
        self.recorded = False
        self.used = Demand()
        #: Updated with each allocation instead of computed, since a plan reads this value for each
        #: waiting step.
        self.free_capacity = registration.capacity
        self.allocation_by_run: dict[tuple[TaskName, int], Allocation] = {}
        self.answered_at = NEVER
        #: When the runner last answered an order.
        self.order_answered_at = NEVER
        #: Set while polls go unanswered: nothing new is placed on the runner.
        self.suspect = False
        #: Whether the last poll was unanswered.
        self.missed_last_poll = False
        #: When the connection broke during a poll, ``None`` if the runner has answered since.
        self.broken_at: float | None = None
        #: Earliest time at which a draining runner may be gone (monotonic seconds).
        self.may_leave_at = float('inf')
        #: No start is sent before this time, after the runner refused one.
        self.no_starts_until = NEVER
        #: Number of allocations whose demand is unknown.
        self.unknown_demands = 0
        #: Highest number of an ended run whose effect is stored.
        self.acknowledged_end = 0
        #: Highest number of an ended run whose acknowledgement the runner has confirmed.
        self.confirmed_end = 0
        #: Highest number of an ended run that has been processed.
        self.processed_end = 0
        #: Highest number of an ended run that may be acknowledged, since all listed ends up to it
        #: were readable; ``None`` for no limit.
        self.readable_through: int | None = None
        #: Lowest number of an ended run that must not be acknowledged, as its job cannot be read.
        self.retained_end: int | None = None
        #: Whether the last poll answer was readable in full.
        self.readable = True
        #: Quarantined runs that have not proved healthy yet.
        self._quarantined: list[Allocation] = []
        self._clock = 0.0
        self._clock_at = NEVER
        self._lease_until = 0.0

    @property
    def draining(self) -> bool:
        """Return whether the runner has announced that it will stop."""
        return self.registration.draining

    @property
    def known_at(self) -> float:
        """Return when the runner last answered a poll or an order."""
        return max(self.answered_at, self.order_answered_at)

    def apply_registration(self, registration: Registration, now: float) -> None:
        """Apply a registration; on a new drain, compute when the runner may be gone."""
        if registration.draining and not self.registration.draining:
            remaining_seconds = (
                DEFAULT_DRAIN_SECONDS if registration.remaining is None else registration.remaining
            )
            self.may_leave_at = now + max(0.0, remaining_seconds - MAX_ENTRY_DELAY_SECONDS)
        self.registration = registration
        self.free_capacity = registration.capacity - self.used

    def is_usable(self, now: float) -> bool:
        """Return whether runs may be started on the runner now."""
        if not self.listed or not self.recorded or self.draining or self.suspect:
            return False
        if not self.registration.usable:
            return False
        if self.unknown_demands:
            # A run of an unknown job uses capacity until it is gone, though its demand counts
            # as zero. With other runs started beside it, the runner would be overcommitted.
            return False
        if self._quarantined and self._has_unproven_quarantined_run(now):
            return False
        return self.knows_clock() and now >= self.no_starts_until

    def accepts_task(self, *, quarantined: bool) -> bool:
        """Return whether a task may start beside those placed in the same plan.

        A quarantined task starts alone: if a runner crashes with two starts in progress, it
        is unknown which one caused the crash.
        """
        if self._quarantined:
            return False
        if not quarantined:
            return True
        return all(
            held.phase is not AllocationPhase.STARTING for held in self.allocation_by_run.values()
        )

    def has_capacity_for(self, allocation: Allocation) -> bool:
        """Return whether the runner is not overcommitted in any resource that a run demands.

        Its capacity may have shrunk since the run was placed there.
        """
        free, demand = self.free_capacity, allocation.demand
        return (
            (free.cpu >= 0 or not demand.cpu)
            and (free.memory_mb >= 0 or not demand.memory_mb)
            and (free.gpu >= 0 or not demand.gpu)
        )

    @property
    def acknowledgeable_end(self) -> int:
        """Return the number of the last end that may be acknowledged once its effect is stored."""
        last = self.processed_end
        if self.readable_through is not None:
            last = min(last, self.readable_through)
        if self.retained_end is not None:
            last = min(last, self.retained_end - 1)
        return last

    def withhold_acknowledgement(self, number: int) -> None:
        """Withhold the acknowledgement of an end and of all later ones."""
        self.retained_end = number if self.retained_end is None else min(self.retained_end, number)

    def reprocess_ends(self) -> None:
        """Process all ends that are still listed again; processing an end is idempotent."""
        self.processed_end = self.acknowledged_end
        self.retained_end = None

    def add_allocation(self, allocation: Allocation) -> None:
        """Add an allocation."""
        self.allocation_by_run[allocation.task, allocation.run] = allocation
        self.used = self.used + allocation.demand
        self.free_capacity = self.free_capacity - allocation.demand
        self.unknown_demands += not allocation.demand_known
        if allocation.quarantined:
            self._quarantined.append(allocation)

    def remove_allocation(self, allocation: Allocation) -> None:
        """Remove an allocation; idempotent."""
        if self.allocation_by_run.pop((allocation.task, allocation.run), None) is not None:
            self.used = self.used - allocation.demand
            self.free_capacity = self.free_capacity + allocation.demand
            self.unknown_demands -= not allocation.demand_known
            if allocation in self._quarantined:
                self._quarantined.remove(allocation)

    def count_step(self, step: StepName) -> int:
        """Return the number of allocated runs of a step, including those being stopped.

        A task may be done by an earlier run elsewhere while its last run is still being stopped
        here. If that run did not count, the step could exceed its limit per runner.
        """
        return sum(StepName.of(task) == step for task, _ in self.allocation_by_run)

    def record_clock(self, clock: float, now: float) -> None:
        """Record the runner's clock from an answer that arrived at ``now``."""
        self._clock = clock
        self._clock_at = now

    def knows_clock(self) -> bool:
        """Return whether the runner's clock is known, which leases require."""
        return self._clock_at != NEVER

    def clock_at(self, now: float) -> float:
        """Return an estimate of the runner's clock."""
        return self._clock + (now - self._clock_at)

    def clock_age(self, now: float) -> float:
        """Return the seconds since the latest reading of the runner's clock."""
        return now - self._clock_at

    def extend_lease(self, now: float, seconds: float) -> float:
        """Grant a lease; return its end on the runner's clock."""
        lease_until = self.clock_at(now) + seconds
        self._lease_until = max(self._lease_until, lease_until)
        return lease_until

    def renew_lease(self, now: float, seconds: float) -> float | None:
        """Return the lease to send with a poll, ``None`` for no renewal.

        A runner that did not answer the last poll gets no renewal: each one postpones the time
        at which its tasks are certainly gone, and the tasks of a crashed runner would never be
        started elsewhere.
        """
        if not self.knows_clock() or self.missed_last_poll:
            return None
        return self.extend_lease(now, seconds)

    def have_leases_expired(self, now: float, drift: float) -> bool:
        """Return whether every lease granted to the runner has certainly expired.

        The runner's clock has advanced by at least ``1 - drift`` times the elapsed time since
        its last answer, so the estimate is never ahead of it.
        """
        if not self.knows_clock():
            return False
        return self._clock + (now - self._clock_at) * (1 - drift) > self._lease_until

    def _has_unproven_quarantined_run(self, now: float) -> bool:
        self._quarantined = [
            held
            for held in self._quarantined
            if held.started_at is None or now < held.started_at + QUARANTINE_SECONDS
        ]
        return bool(self._quarantined)


def expected_end(allocation: Allocation, now: float) -> float:
    """Return the expected end of a run in monotonic seconds, infinite for a long-running one."""
    if allocation.phase is AllocationPhase.STOPPING:
        return now
    if allocation.projected_end is not None:
        overdue = now - allocation.projected_end
        return now + max(-overdue, overdue, MIN_REMAINING_SECONDS)
    if allocation.long_running:
        return NO_END
    started_at = allocation.started_at or allocation.placed_at
    overdue = now - started_at - allocation.expected
    if overdue > MAX_OVERRUN_FACTOR * allocation.expected:
        return now + overdue
    return max(now - overdue, now + OVERRUN_FRACTION * allocation.expected)
