"""Bodies of the job API: requests and responses."""

import msgspec

from dandelionreel.jobs._job_projection import Job


class AttemptView(msgspec.Struct, frozen=True):
    """An attempt; ``outcome`` is empty while it may still run."""

    number: int
    workers: tuple[str, ...]
    outcome: str


class JobView(msgspec.Struct, frozen=True):
    """A job; times are in Unix time."""

    id: str
    customer: str
    task_class: str
    state: str
    tasks: int
    accepted_at: float
    ended_at: float
    detail: str
    attempts: tuple[AttemptView, ...]
    moved_to: str = ''


class JobPage(msgspec.Struct, frozen=True):
    """A page of jobs, sorted by id; ``next_after`` is empty on the last page."""

    jobs: tuple[JobView, ...]
    next_after: str


class CancelBody(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """A request to cancel jobs."""

    jobs: tuple[str, ...]


class CancelResult(msgspec.Struct, frozen=True):
    """How many known jobs were cancelled, and which ids are unknown."""

    cancelled: int
    unknown: tuple[str, ...]


class ResolveBody(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """An operator's resolution of a job; ``outcome`` is ``ran`` or ``not_run``."""

    outcome: str


def view_job(job: Job) -> JobView:
    """Return a job as the API shows it."""
    return JobView(
        job.id,
        job.spec.customer,
        job.spec.task_class,
        job.state.value,
        job.spec.tasks,
        job.accepted_at,
        job.ended_at,
        job.detail,
        tuple(
            AttemptView(
                attempt.number,
                attempt.workers,
                attempt.outcome.value if attempt.outcome else '',
            )
            for attempt in job.attempts
        ),
        job.moved_to,
    )
