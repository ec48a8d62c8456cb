"""Forecasts when waiting steps start, from the runs that will end and the work ahead. No I/O.

The forecast is optimistic on purpose, as a wrong refusal is worse than a late job: the processor
capacity of a service counts as one pool, permits, labels and other resources do not limit it, a
gang may start in parts, and steps that depend on others do not count before they are ready.
"""

import heapq
from collections.abc import Iterable, Iterator
from dataclasses import dataclass

from dandelionreel.cell.decisions._cell import Cell
from dandelionreel.cell.decisions._job_run import JobRun
from dandelionreel.cell.decisions._reservations import Rank
from dandelionreel.cell.decisions._runner_state import RunnerState, expected_end
from dandelionreel.cell.decisions._step_run import occupied_seconds
from dandelionreel.cell.decisions._waiting_steps import (
    TOO_LATE,
    Candidate,
    WaitingOrder,
    list_candidates,
)
from dandelionreel.cell.model import Step

#: Ends in seconds of the ranges of simulated times, and the seconds between two times in each.
SIMULATED_RANGES = ((4.0, 0.25), (12.0, 0.5), (30.0, 1.0))
#: Steps of one service that are simulated, the most urgent first, to bound the cost of a forecast.
MAX_SIMULATED_STEPS = 1000
#: Steps of a queue ahead of a new one whose earliest start is its expected wait: single steps may
#: wait for other reasons than load, such as a gang for slots.
COMPARED_STEPS = 3
#: Ratio of an expected wait to the longest wait so far of a step of the queue, above which the
#: forecast is not relied upon. Demand of 2.6 times the capacity gives a ratio of 2.6.
MAX_OBSERVED_RATIO = 4.0


@dataclass
class WaitingWork:
    """A waiting step and its simulated start; times are monotonic seconds."""

    rank: Rank
    queue: str
    account: str
    cpu: int
    tasks: int
    seconds: float
    accepted_at: float
    #: Whether its job would end too late to be of use; such jobs rank behind all others.
    is_too_late: bool
    #: Tasks that the simulation has not started yet.
    left: int = 0
    #: When its first task starts, ``None`` if not within the simulated time.
    starts_at: float | None = None
    #: Whether capacity was free for it, but not the quota of its account.
    is_at_quota: bool = False


@dataclass(frozen=True)
class ExpectedWait:
    """Seconds until a new job starts, for lack of capacity and within its account's quota."""

    capacity: float = 0.0
    quota: float = 0.0

    @property
    def seconds(self) -> float:
        """Return the longer of both waits."""
        return max(self.capacity, self.quota)

    def after(self, elapsed: float) -> 'ExpectedWait':
        """Return what is left of the waits some seconds later."""
        return ExpectedWait(max(0.0, self.capacity - elapsed), max(0.0, self.quota - elapsed))


class LoadForecast:
    """The simulated starts of all waiting steps, as of one time."""

    def __init__(self, now: float, works: Iterable[WaitingWork]) -> None:
        """Create the forecast of ``now`` for steps in the order of their rank."""
        self.made_at = now
        self._works_by_queue: dict[str, list[WaitingWork]] = {}
        for work in works:
            self._works_by_queue.setdefault(work.queue, []).append(work)

    @property
    def queues(self) -> list[str]:
        """Return the queues with waiting steps."""
        return list(self._works_by_queue)

    def accounts_at_quota(self, queue: str) -> set[str]:
        """Return the accounts that have steps of a queue waiting for quota."""
        works = self._works_by_queue.get(queue, ())
        return {work.account for work in works if work.is_at_quota}

    def expected_wait(self, queue: str, account: str, rank: Rank | None = None) -> ExpectedWait:
        """Return the wait of a new job, behind the steps of its queue that rank before it.

        Without ``rank`` it is behind all steps that can still end in time to be of use.
        """
        works = [work for work in self._works_by_queue.get(queue, ()) if not work.is_too_late]
        by_quota = [work for work in works if work.is_at_quota and work.account == account]
        by_capacity = [work for work in works if not work.is_at_quota]
        return ExpectedWait(self._wait_behind(by_capacity, rank), self._wait_behind(by_quota, rank))

    def _wait_behind(self, works: list[WaitingWork], rank: Rank | None) -> float:
        """Return the wait behind the steps that rank before.

        It is 0 if too few are ahead, and bounded by how long steps have waited already.
        """
        ahead = [work for work in works if rank is None or work.rank < rank]
        if len(ahead) < COMPARED_STEPS:
            return 0.0
        horizon = self.made_at + SIMULATED_RANGES[-1][0]
        starts = [
            horizon if work.starts_at is None else work.starts_at
            for work in ahead[-COMPARED_STEPS:]
        ]
        wait = min(starts) - self.made_at
        longest_observed = self.made_at - min(work.accepted_at for work in works)
        return min(wait, MAX_OBSERVED_RATIO * longest_observed)


def make_forecast(
    cell: Cell, order: WaitingOrder, now: float, unix_time: float
) -> LoadForecast | None:
    """Simulate the starts of the waiting steps.

    Returns ``None`` while it is unknown what runs: after a take-over, until all runners were seen.
    """
    if cell.unseen_runners:
        return None
    works_by_service: dict[str, list[WaitingWork]] = {}
    for candidate in list_candidates(cell, order.rank, now, unix_time):
        works = works_by_service.setdefault(cell.service_of(candidate.job), [])
        if candidate.step.step.counted_demand.cpu and len(works) < MAX_SIMULATED_STEPS:
            works.append(_make_work(cell, candidate))
    simulated: list[WaitingWork] = []
    for service, waiting in works_by_service.items():
        runners = [runner for runner in cell.runner_by_id.values() if _counts(runner, service)]
        if runners:
            _Simulation(cell, runners, waiting, now).run()
            simulated.extend(waiting)
    return LoadForecast(now, simulated)


def could_start_at_once(cell: Cell, job: JobRun, step: Step) -> bool:
    """Return whether a task of a step, or the whole gang, has capacity and quota now.

    Steps that rank before do not count: capacity that is free while they wait is of no use to
    them, for lack of permits or of capacity for a whole gang.
    """
    demand, cpu = step.smallest_start.cpu, step.counted_demand.cpu
    quota = cell.quotas.remaining(job.account, cell.quota_of(job))
    if not cpu or (quota is not None and quota.cpu < demand):
        return not cpu
    service = cell.service_of(job)
    slots = sum(
        max(0, runner.free_capacity.cpu) // cpu
        for runner in cell.runner_by_id.values()
        if _counts(runner, service)
    )
    return slots >= (step.count if step.gang else 1)


def _counts(runner: RunnerState, service: str) -> bool:
    """Return whether the capacity of a runner counts.

    That of a runner that does not answer counts as well, as it may answer again at any time.
    """
    registration = runner.registration
    return registration.service == service and runner.listed and not runner.draining


def _make_work(cell: Cell, candidate: Candidate) -> WaitingWork:
    job, step = candidate.job, candidate.step
    queue = job.submission.queue
    return WaitingWork(
        candidate.rank,
        queue,
        job.account,
        step.step.counted_demand.cpu,
        step.waiting,
        occupied_seconds(step, cell.run_times.expected_seconds(queue, step.step.estimate)),
        job.accepted_at,
        candidate.lateness == TOO_LATE,
    )


class _Simulation:
    """Starts the waiting work of one service in order as runs end."""

    def __init__(
        self, cell: Cell, runners: list[RunnerState], works: list[WaitingWork], now: float
    ) -> None:
        self._now = now
        self._works = works
        self._free = sum(max(0, runner.free_capacity.cpu) for runner in runners)
        #: When a run ends, its processor demand and its account.
        self._ends = [
            (expected_end(held, now), held.demand.cpu, held.account)
            for runner in runners
            for held in runner.allocation_by_run.values()
        ]
        heapq.heapify(self._ends)
        self._quota_left_by_account: dict[str, int] = {}
        for account in sorted({work.account for work in works}):
            configured = cell.configuration.find_account(account) if cell.configuration else None
            if configured is not None and configured.quota is not None:
                used = cell.quotas.used(account).cpu
                self._quota_left_by_account[account] = configured.quota.cpu - used

    def run(self) -> None:
        """Set the start of each step that starts within the simulated time."""
        pending = self._works
        for work in pending:
            work.left = work.tasks
        for at in _simulated_times(self._now):
            self._end_runs(at)
            smallest = min((work.cpu for work in pending), default=0)
            for work in pending:
                if self._free < smallest:
                    break
                self._start_tasks(work, at)
            pending = [work for work in pending if work.left]
            if not pending:
                return

    def _end_runs(self, at: float) -> None:
        while self._ends and self._ends[0][0] <= at:
            _, cpu, account = heapq.heappop(self._ends)
            self._free += cpu
            quota_left = self._quota_left_by_account.get(account)
            if quota_left is not None:
                self._quota_left_by_account[account] = quota_left + cpu

    def _start_tasks(self, work: WaitingWork, at: float) -> None:
        fitting = min(work.left, self._free // work.cpu)
        if not fitting:
            return
        quota_left = self._quota_left_by_account.get(work.account)
        count = fitting
        if quota_left is not None:
            count = min(fitting, max(0, quota_left) // work.cpu)
            work.is_at_quota = work.is_at_quota or (not count and work.starts_at is None)
            self._quota_left_by_account[work.account] = quota_left - count * work.cpu
        if not count:
            return
        work.starts_at = at if work.starts_at is None else work.starts_at
        work.left -= count
        self._free -= count * work.cpu
        heapq.heappush(self._ends, (at + work.seconds, count * work.cpu, work.account))


def _simulated_times(now: float) -> Iterator[float]:
    after = 0.0
    for until, pause in SIMULATED_RANGES:
        while after < until:
            yield now + after
            after += pause
