"""Ranks the waiting steps of a cell. No I/O."""

import abc
from collections.abc import Callable, Iterator
from dataclasses import dataclass

from dandelionreel.cell.decisions._cell import Cell
from dandelionreel.cell.decisions._job_run import JobRun
from dandelionreel.cell.decisions._reservations import Rank
from dandelionreel.cell.decisions._step_run import StepRun
from dandelionreel.cell.model import Queue

#: A job that ends later than this many times its objective is of no use to its client.
MAX_USEFUL_LATENESS = 3.0
#: Lateness of a job that would end too late to be of use; 0 is in time, 1 late but still useful.
TOO_LATE = 2
#: Seconds after which a job is no longer ranked behind others for being too late or beyond its
#: account's rate, so that load of other accounts cannot starve it.
MAX_DEFERRAL_SECONDS = 60.0
#: Steps of all jobs together that are kept in memory before jobs have only one occurrence each.
MAX_OPEN_STEPS = 5000


@dataclass(frozen=True)
class Candidate:
    """A step that is ready to start, with its rank."""

    job: JobRun
    step: StepRun
    queue: Queue | None
    #: 0 in time, 1 late but still useful, ``TOO_LATE``.
    lateness: int
    rank: Rank


@dataclass(frozen=True)
class RankInputs:
    """Inputs of a step's rank; times are monotonic seconds."""

    job: JobRun
    step: StepRun
    priority: int
    lateness: int
    deadline: float
    now: float


class WaitingOrder(abc.ABC):
    """An ordering of the waiting steps; the lowest rank is placed first."""

    @abc.abstractmethod
    def rank(self, inputs: RankInputs) -> Rank:
        """Return the rank of a step."""


class WithinRateFirst(WaitingOrder):
    """Jobs within their account's rate first, then by priority, then earliest deadline first.

    Jobs that are too late to be of use are ranked behind all others.
    """

    def rank(self, inputs: RankInputs) -> Rank:
        """Return the rank of a step."""
        job = inputs.job
        may_defer = inputs.now - job.accepted_at < MAX_DEFERRAL_SECONDS
        return Rank(
            may_defer and inputs.lateness == TOO_LATE,
            may_defer and job.exceeds_account_rate,
            inputs.priority,
            inputs.lateness if may_defer else 0,
            inputs.deadline,
            job.id,
            inputs.step.name,
        )


def list_candidates(
    cell: Cell,
    make_rank: Callable[[RankInputs], Rank],
    now: float,
    unix_time: float,
) -> list[Candidate]:
    """Return the steps that are ready to start, the most urgent first."""
    candidates = []
    cell.drop_finished_jobs(unix_time)
    for job, ready_steps in _list_ready_steps(cell, unix_time):
        queue = cell.queue_of(job)
        priority = queue.priority if queue else 0
        objective = cell.objective_of(job)
        for step in ready_steps:
            if now < step.not_before:
                continue
            seconds = cell.run_times.best_seconds(job.submission.queue, step.step.estimate)
            lateness = compute_lateness(now + seconds, job.accepted_at, objective)
            inputs = RankInputs(job, step, priority, lateness, job.accepted_at + objective, now)
            candidates.append(Candidate(job, step, queue, lateness, make_rank(inputs)))
    candidates.sort(key=_candidate_rank)
    return candidates


def _list_ready_steps(cell: Cell, unix_time: float) -> Iterator[tuple[JobRun, list[StepRun]]]:
    """Yield the jobs that may start tasks with their ready steps, as far as memory allows."""
    jobs = cell.unfinished_job_by_id.values()
    spare_steps = MAX_OPEN_STEPS - sum(job.open_steps for job in jobs)
    for job in jobs:
        if job.is_finished or cell.is_blocked(job):
            continue
        open_steps = job.open_steps
        ready_steps = job.ready_steps(unix_time, max(0, spare_steps))
        spare_steps -= job.open_steps - open_steps
        yield job, ready_steps


def _candidate_rank(candidate: Candidate) -> Rank:
    return candidate.rank


def compute_lateness(end: float, accepted_at: float, objective: float) -> int:
    """Return 0 for an end in time, 1 for one late but still useful, otherwise ``TOO_LATE``."""
    if end <= accepted_at + objective:
        return 0
    if end <= accepted_at + MAX_USEFUL_LATENESS * objective:
        return 1
    return TOO_LATE
