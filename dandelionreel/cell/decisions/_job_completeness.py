"""Checks whether a job is complete, by its stored progress and by ended runs. No I/O."""

from collections import defaultdict
from collections.abc import Iterable

from dandelionreel.cell.model import EndedRun, JobSpec, Progress, RunOutcome, StepName

HEX_BASE = 16


def is_job_complete(job: str, spec: JobSpec, progress: Progress, ended: Iterable[EndedRun]) -> bool:
    """Return whether all tasks of a job are done according to this data.

    Returns false for repeated jobs and for jobs with long-running steps.
    """
    if spec.repeat_count or any(step.long_running for step in spec.steps):
        return False
    done: dict[StepName, set[int]] = defaultdict(set)
    for entry in progress.done:
        mask = int(entry.mask, HEX_BASE)
        indexes = {index for index in range(mask.bit_length()) if mask >> index & 1}
        done[StepName(job, entry.occurrence, entry.step)] |= indexes
    for end in ended:
        if end.outcome is RunOutcome.DONE:
            done[StepName.of(end.task)].add(end.task.index)
    return all(
        _is_step_complete(spec, number, done[StepName(job, 0, number)])
        for number in range(len(spec.steps))
    )


def _is_step_complete(spec: JobSpec, number: int, done: set[int]) -> bool:
    step = spec.steps[number]
    if step.gang:
        # A gang succeeds as a whole: one member that is done proves the step.
        return bool(done)
    return set(range(step.count)) <= done
