"""Validates the bounds of jobs, and that stored progress fits its job.

Jobs from clients and from the store are checked alike: an accepted job can always be read again,
and no huge count from another writer can keep the owner busy forever.
"""

from dandelionreel.cell.model._model import JobSpec, Step
from dandelionreel.cell.model._records import (
    CrashedRun,
    FailedRun,
    Progress,
    ProvenCrash,
    StoredStart,
    WeighedCrash,
)
from dandelionreel.cell.model._unreadable import UnreadableError, UnreadableReason

MAX_STEPS = 100
MAX_TASKS = 10_000
MAX_OCCURRENCES = 10_000
#: Tasks of one occurrence, over all steps: the stored progress has a digit for four of them.
MAX_TASKS_OF_JOB = 100_000
#: More than any machine has of any resource.
MAX_DEMAND = 2_147_483_648
#: 31 years: longer than any task.
MAX_ESTIMATE_SECONDS = 1e9
#: Occurrences at shorter intervals would all be due at once, and dividing a time by a tiny
#: interval gives infinity, which cannot be converted to an integer.
MIN_INTERVAL_SECONDS = 0.001
#: Largest distance of a Unix time from 1970, and longest interval: 30,000 years.
MAX_TIME_SECONDS = 1e12
HEX_BASE = 16


def check_step_count(count: int) -> None:
    """Raise ``UnreadableError`` for a number of steps that no job may have."""
    if not 1 <= count <= MAX_STEPS:
        raise _range_error(f'1 to {MAX_STEPS} steps are allowed')


def check_job_spec(spec: JobSpec) -> None:
    """Raise ``UnreadableError`` with the name of the field for a job that is out of bounds."""
    check_step_count(len(spec.steps))
    if not 0 <= spec.repeat_count <= MAX_OCCURRENCES:
        raise _range_error(f'repeat_count: 0 to {MAX_OCCURRENCES} is allowed')
    if spec.interval < 0 or 0 < spec.interval < MIN_INTERVAL_SECONDS:
        raise _range_error('the interval is 0 or a millisecond at least')
    if max(abs(spec.first_run), spec.interval) > MAX_TIME_SECONDS:
        raise _range_error('the first run or the interval is too far away')
    for number, step in enumerate(spec.steps):
        _check_step(number, step)
    if sum(step.count for step in spec.steps) > MAX_TASKS_OF_JOB:
        raise _range_error(f'the steps have more than {MAX_TASKS_OF_JOB} tasks together')


def _check_step(number: int, step: Step) -> None:
    demand = step.demand
    if not 1 <= step.count <= MAX_TASKS:
        raise _range_error(f'step {number}: count must be 1 to {MAX_TASKS}')
    amounts = (demand.cpu, demand.memory_mb, demand.gpu)
    if min(*amounts, step.estimate) < 0 or max(amounts) > MAX_DEMAND:
        raise _range_error(f'step {number}: cpu, mem_mb, gpu or estimate_ms is out of bounds')
    if step.estimate > MAX_ESTIMATE_SECONDS:
        raise _range_error(f'step {number}: estimate_ms is out of bounds')
    for earlier in step.depends_on:
        # Only earlier steps are allowed, so dependencies have no cycle.
        if not 0 <= earlier < number:
            raise _range_error(f'step {number}: depends_on names {earlier}, no earlier step')


def check_progress(progress: Progress, spec: JobSpec) -> None:
    """Raise ``UnreadableError`` for progress of tasks that the job does not have."""
    if progress.done_before > spec.occurrences:
        raise _range_error('more occurrences are done than the job has')
    for done in progress.done:
        step = _get_step(spec, done.occurrence, done.step)
        if int(done.mask, HEX_BASE) >> step.count:
            raise _range_error(f'more tasks of step {done.step} are done than it has')
    rows: tuple[FailedRun | CrashedRun | ProvenCrash | WeighedCrash | StoredStart, ...] = (
        *progress.failed,
        *progress.crashed,
        *progress.proven,
        *progress.weighed,
        *progress.starts,
    )
    for row in rows:
        step = _get_step(spec, row.occurrence, row.step)
        if row.index >= step.count:
            raise _range_error(f'step {row.step} has no task {row.index}')


def check_leftovers(progress: Progress) -> None:
    """Raise ``UnreadableError`` for negative demands in the leftovers of a finished job."""
    for leftover in progress.leftovers:
        if min(leftover.demand.cpu, leftover.demand.memory_mb, leftover.demand.gpu) < 0:
            raise _range_error(f'negative demand of the leftover on {leftover.runner}')


def _get_step(spec: JobSpec, occurrence: int, number: int) -> Step:
    if occurrence >= spec.occurrences or number >= len(spec.steps):
        raise _range_error(f'the job has no step {number} of occurrence {occurrence}')
    return spec.steps[number]


def _range_error(message: str) -> UnreadableError:
    return UnreadableError(UnreadableReason.RANGE, message)
