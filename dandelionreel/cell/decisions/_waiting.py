"""Which waiting step comes first. No I/O."""

import abc
from collections.abc import Callable
from dataclasses import dataclass

from dandelionreel.cell.decisions._cell import Cell
from dandelionreel.cell.decisions._reservations import Rank
from dandelionreel.cell.decisions._runs import JobRun
from dandelionreel.cell.decisions._step_runs import StepRun
from dandelionreel.cell.model import Queue

#: A job that is later than this many objectives earns nothing any more.
LATEST = 3.0
#: How late such a job counts as: 0 is in time, 1 late but still of use.
USELESS = 2
#: Seconds after which a job no longer waits behind others: no load of theirs starves it.
LONGEST_BEHIND = 60.0


@dataclass(frozen=True)
class Candidate:
    """A step whose turn has come, with its place among all that waits."""

    job: JobRun
    step: StepRun
    queue: Queue | None
    #: As ``USELESS`` says.
    late: int
    rank: Rank


@dataclass(frozen=True)
class Urgency:
    """What a step's place in the order is worked out from; times in monotonic seconds."""

    job: JobRun
    step: StepRun
    priority: int
    late: int
    deadline: float
    now: float


class WaitingOrder(abc.ABC):
    """Orders what waits; the lowest rank goes first."""

    @abc.abstractmethod
    def rank(self, urgency: Urgency) -> Rank:
        """Return the place of a step."""


class OwedFirst(WaitingOrder):
    """What accounts may expect goes first, then priority, then the earliest objective.

    Jobs that are too late for any use go behind all others.
    """

    def rank(self, urgency: Urgency) -> Rank:
        """Return the place of a step."""
        job = urgency.job
        may_wait = urgency.now - job.accepted < LONGEST_BEHIND
        return Rank(
            may_wait and urgency.late == USELESS,
            may_wait and job.beyond_rate,
            urgency.priority,
            urgency.late if may_wait else 0,
            urgency.deadline,
            job.id,
            urgency.step.name,
        )


def list_candidates(
    cell: Cell,
    make_rank: Callable[[Urgency], Rank],
    now: float,
    wall: float,
) -> list[Candidate]:
    """Return the steps whose turn has come, the most urgent first."""
    candidates = []
    cell.drop_over(wall)
    for job in cell.live_by_id.values():
        ready = job.ready_steps(wall)
        if not ready or job.over or cell.is_blocked(job):
            continue
        queue = cell.queue_of(job)
        priority = queue.priority if queue else 0
        allowed = cell.objective_of(job)
        for step in ready:
            if now < step.not_before:
                continue
            late = _lateness(now + step.step.estimate, job.accepted, allowed)
            urgency = Urgency(job, step, priority, late, job.accepted + allowed, now)
            candidates.append(Candidate(job, step, queue, late, make_rank(urgency)))
    candidates.sort(key=_rank)
    return candidates


def _rank(candidate: Candidate) -> Rank:
    return candidate.rank


def _lateness(end: float, accepted: float, allowed: float) -> int:
    """Return 0 for in time, 1 for late but still of use, 2 for neither."""
    if end <= accepted + allowed:
        return 0
    if end <= accepted + LATEST * allowed:
        return 1
    return USELESS
