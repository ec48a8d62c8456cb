"""Jobs as callers and operators see them."""

import msgspec

from dandelionreel.jobs._job_projection import Job


class AttemptView(msgspec.Struct, frozen=True):
    """One attempt; ``outcome`` is empty while it may run."""

    number: int
    workers: tuple[str, ...]
    outcome: str


class JobView(msgspec.Struct, frozen=True):
    """One job; times are epoch seconds."""

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
    """Some jobs by id; ``next_after`` is empty on the last page."""

    jobs: tuple[JobView, ...]
    next_after: str


class CancelBody(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Which jobs to cancel."""

    jobs: tuple[str, ...]


class CancelResult(msgspec.Struct, frozen=True):
    """How many jobs were named, and which of them are not known."""

    cancelled: int
    unknown: tuple[str, ...]


class ResolveBody(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """What an operator found out about a job: ``ran`` or ``not_run``."""

    outcome: str


def view_job(job: Job) -> JobView:
    """Return a job as callers see it."""
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
