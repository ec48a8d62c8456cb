"""The times of each job's state changes, combined from the logs of all hosts."""

import re
from collections.abc import Iterable
from dataclasses import dataclass, field

from dandelionreel.records._event_kinds import EventKind
from dandelionreel.records._log_event import LogEvent

#: Limit of kept jobs, about 1 KB each.
MAX_JOBS = 100_000
COMPLETED = 'completed'
#: Kinds of events that may delay a job.
INCIDENT_KINDS = frozenset(
    (
        EventKind.RUN_LOST,
        EventKind.RUN_MISSING,
        EventKind.START_UNANSWERED,
        EventKind.STOPPING,
        EventKind.HELD_BY_QUOTA,
        EventKind.BEYOND_SHARE,
        EventKind.REFUSED_FOR_LOAD,
        EventKind.REFUSED_FOR_QUOTA,
    )
)
CANCELLED = 'cancelled'
_POST_TEXT = re.compile(r'jobs: POST (\S+):')
_FINISHED_TEXT = re.compile(r'jobs: job (\S+) is (\w+)\.')


@dataclass
class JobHistory:
    """One job; times are Unix time, ``None`` if no event has them."""

    job: str
    queue: str = ''
    account: str = ''
    #: When the job was first submitted.
    submitted_at: float | None = None
    #: When a host first refused the job, and which host.
    refused_at: float | None = None
    refused_by: str = ''
    accepted_at: float | None = None
    started_at: float | None = None
    finished_at: float | None = None
    state: str = ''
    #: Seconds within which the job must finish, as declared for its queue.
    objective: float | None = None
    #: When the end of the job was first stored; hosts show it from then on.
    visible_at: float | None = None
    cancelled: bool = False
    #: Availability zones of the runners on which the job was started.
    zones: set[str] = field(default_factory=set)
    #: Kinds of events that may have delayed the job.
    incidents: set[EventKind] = field(default_factory=set)
    failed_run: bool = False

    @property
    def seconds(self) -> float | None:
        """Return the seconds from submission to the visible end, ``None`` if either is unknown."""
        if self.submitted_at is None or self.visible_at is None:
            return None
        return self.visible_at - self.submitted_at


class JobHistories:
    """Histories of jobs by job id."""

    def __init__(self) -> None:
        """Start without jobs."""
        self.by_job: dict[str, JobHistory] = {}
        #: Events of jobs that were dropped because the limit was reached.
        self.dropped_count = 0
        self._stored_ends: list[tuple[float, str]] = []

    def add(self, event: LogEvent, job: str, jobs: Iterable[str]) -> None:
        """Add an event of ``job``, or one that reports the ends of ``jobs``."""
        if event.kind is EventKind.END_STORED:
            self._stored_ends.extend((event.at, name) for name in jobs)
            return
        submitted = _POST_TEXT.match(event.text)
        if submitted is not None:
            self._add_submission(event, submitted[1])
            return
        finished = _FINISHED_TEXT.match(event.text)
        if finished is not None:
            self._add_finish_event(event, finished[1], finished[2])
            return
        history = self._get_or_create(job)
        if history is not None:
            _add_run_event(history, event)
            _record_account(history, event)

    def list_submitted_jobs(self) -> list[JobHistory]:
        """Return the submitted jobs in order of submission, after all events were added."""
        for at, job in self._stored_ends:
            history = self.by_job.get(job)
            if history is None or history.finished_at is None or at < history.finished_at:
                continue
            history.visible_at = _earlier_time(history.visible_at, at)
        for history in self.by_job.values():
            if history.accepted_at is None and history.started_at is not None:
                # The job was started, so it was accepted, though no line says so.
                history.accepted_at = history.started_at
        submitted_jobs = [
            history for history in self.by_job.values() if history.submitted_at is not None
        ]
        return sorted(submitted_jobs, key=_submission_time)

    def _get_or_create(self, job: str) -> JobHistory | None:
        history = self.by_job.get(job)
        if history is not None or not job:
            return history
        if len(self.by_job) >= MAX_JOBS:
            self.dropped_count += 1
            return None
        return self.by_job.setdefault(job, JobHistory(job))

    def _add_submission(self, event: LogEvent, job: str) -> None:
        history = self._get_or_create(job)
        if history is None:
            return
        seconds = event.extra_fields.get('seconds')
        handling_seconds = seconds if isinstance(seconds, int | float) else 0.0
        history.submitted_at = _earlier_time(history.submitted_at, event.at - handling_seconds)
        history.queue = history.queue or f'{event.extra_fields.get("queue", "")}'
        _record_account(history, event)
        if event.kind in {EventKind.ACCEPTED, EventKind.ALREADY_ACCEPTED}:
            history.accepted_at = _earlier_time(history.accepted_at, event.at)
        elif event.kind is EventKind.REFUSED and (history.refused_at or event.at) >= event.at:
            history.refused_at = event.at
            history.refused_by = event.host

    def _add_finish_event(self, event: LogEvent, job: str, state: str) -> None:
        history = self._get_or_create(job)
        if history is None:
            return
        history.queue = history.queue or f'{event.extra_fields.get("queue", "")}'
        _record_account(history, event)
        objective = event.extra_fields.get('objective')
        if isinstance(objective, int | float):
            history.objective = float(objective)
        if history.finished_at is None or event.at < history.finished_at:
            history.finished_at = event.at
            history.state = state
        history.cancelled = history.cancelled or state == CANCELLED


def _add_run_event(history: JobHistory, event: LogEvent) -> None:
    if event.kind is EventKind.CANCELLED:
        history.cancelled = True
    elif event.kind is EventKind.START_SENT:
        history.started_at = _earlier_time(history.started_at, event.at)
        zone = event.extra_fields.get('zone')
        if isinstance(zone, str):
            history.zones.add(zone)
    elif event.kind is EventKind.RUN_ENDED:
        history.failed_run = history.failed_run or event.text.endswith('failed.')
    elif event.kind in INCIDENT_KINDS:
        history.incidents.add(event.kind)


def _record_account(history: JobHistory, event: LogEvent) -> None:
    account = event.extra_fields.get('account')
    if isinstance(account, str):
        history.account = history.account or account


def _earlier_time(known: float | None, at: float) -> float:
    return at if known is None else min(known, at)


def _submission_time(history: JobHistory) -> float:
    return history.submitted_at or 0.0
