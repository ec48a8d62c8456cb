"""Finds jobs that make no progress although a step is due, and describes why. No I/O."""

import math
from collections.abc import Iterable
from dataclasses import dataclass

from dandelionreel.cell.decisions._cell import Cell
from dandelionreel.cell.decisions._job_run import JobRun
from dandelionreel.cell.decisions._runner_state import Allocation, AllocationPhase
from dandelionreel.cell.decisions._start_waits import StartWaits
from dandelionreel.cell.decisions._step_run import StepRun, TaskPhase

#: Seconds without a change, beyond the expected duration of runs, after which a job is stalled.
STALL_SECONDS = 3.0
#: Fraction of its expected duration by which a run may be late.
LATE_FRACTION = 1.0
#: Seconds between two checks of all jobs, and between two reports of the same job.
CHECK_INTERVAL_SECONDS = 1.5
REPORT_INTERVAL_SECONDS = 5.0
#: Jobs in one report, and in one while less than ``IDLE_UTILIZATION`` of the CPU is in use: then a
#: stalled job is not explained by the load.
MAX_REPORTED_JOBS = 5
MAX_REPORTED_JOBS_WHEN_IDLE = 40
IDLE_UTILIZATION = 0.5
#: Runs listed for one job.
MAX_REPORTED_RUNS = 10


@dataclass(frozen=True)
class StalledJob:
    """A job without progress for ``seconds``; ``steps`` and ``runs`` are described for the log."""

    job: str
    queue: str
    seconds: float
    blocked: bool
    steps: tuple[str, ...]
    runs: tuple[str, ...]


@dataclass
class _Progress:
    """Number of changes of a job's tasks, and since when it is unchanged (monotonic seconds)."""

    changes: int
    since: float
    reported_at: float = float('-inf')


class StalledJobs:
    """Finds the jobs of a cell that are stalled."""

    def __init__(self, cell: Cell) -> None:
        """Watch the jobs of ``cell``."""
        self._cell = cell
        self._start_waits = StartWaits(cell)
        self._progress_by_job: dict[str, _Progress] = {}
        self._checked_at = float('-inf')

    def find(self, now: float, unix_time: float) -> list[StalledJob]:
        """Return the stalled jobs that are due for a report, those not reported yet first."""
        if now - self._checked_at < CHECK_INTERVAL_SECONDS:
            return []
        self._checked_at = now
        candidates = sorted(self._find_unchanged_jobs(now), key=_report_order)
        max_jobs = MAX_REPORTED_JOBS_WHEN_IDLE if self._is_idle() else MAX_REPORTED_JOBS
        stalled: list[StalledJob] = []
        for progress, job in candidates:
            steps = job.unfinished_steps(unix_time)
            held = self._cell.allocations_of_job(job.id)
            if len(stalled) == max_jobs:
                break
            if steps and _is_stalled(progress, held, now):
                progress.reported_at = now
                stalled.append(self._describe_job(job, steps, held, now - progress.since, now))
        return stalled

    def _is_idle(self) -> bool:
        runners = self._cell.runner_by_id.values()
        used = sum(runner.used.cpu for runner in runners if runner.listed)
        return used < IDLE_UTILIZATION * self._cell.capacity().cpu

    def _find_unchanged_jobs(self, now: float) -> list[tuple[_Progress, JobRun]]:
        """Return the jobs without a recent change that have not been reported recently."""
        previous = self._progress_by_job
        self._progress_by_job = {}
        candidates = []
        for job in self._cell.unfinished_job_by_id.values():
            changes = job.count_changes()
            progress = previous.get(job.id)
            if progress is None or progress.changes != changes:
                progress = _Progress(changes, now)
            self._progress_by_job[job.id] = progress
            if (
                now
                - max(
                    progress.since + STALL_SECONDS, progress.reported_at + REPORT_INTERVAL_SECONDS
                )
                >= 0
            ):
                candidates.append((progress, job))
        return candidates

    def _describe_job(
        self,
        job: JobRun,
        steps: Iterable[StepRun],
        held: list[Allocation],
        seconds: float,
        now: float,
    ) -> StalledJob:
        return StalledJob(
            job.id,
            job.submission.queue,
            round(seconds, 3),
            self._cell.is_blocked(job),
            tuple(self._describe_step(job, step, now) for step in steps),
            tuple(_describe_run(allocation, now) for allocation in held[:MAX_REPORTED_RUNS]),
        )

    def _describe_step(self, job: JobRun, step: StepRun, now: float) -> str:
        tickets = self._cell.tickets.of(step.name)
        wait = self._start_waits.describe(job, step, now)
        placed = sum(task.phase is TaskPhase.PLACED for task in step.tasks.active())
        return (
            f'{step.name.occurrence}.{step.name.step}: {step.waiting} waiting, {placed} placed, '
            f'{step.done} done; {len(tickets.allowed)} of {len(tickets.asked_runners)} runners '
            f'allowed, {len(tickets.valid(now))} valid tickets, {tickets.pending} requests '
            f'pending; waits for {wait}'
        )


def _report_order(entry: tuple[_Progress, JobRun]) -> tuple[bool, float]:
    progress = entry[0]
    return math.isfinite(progress.reported_at), progress.since


def _is_stalled(progress: _Progress, held: Iterable[Allocation], now: float) -> bool:
    running = (one.expected for one in held if one.phase is AllocationPhase.RUNNING)
    expected = max(running, default=0.0)
    return now - progress.since >= STALL_SECONDS + expected * (1 + LATE_FRACTION)


def _describe_run(allocation: Allocation, now: float) -> str:
    age = round(now - allocation.placed_at, 1)
    phase = allocation.phase.value
    return (
        f'{allocation.task.label} run {allocation.run} on {allocation.runner}: {phase} for {age} s'
    )
