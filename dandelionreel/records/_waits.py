"""Spans in which no task of a job ran, and the events that may explain them."""

from collections.abc import Iterable
from dataclasses import dataclass

from dandelionreel.records._event_kinds import EventKind
from dandelionreel.records._log_event import LogEvent
from dandelionreel.records._runs import Run

#: Shorter waits are not reported; the limit for urgent jobs is 0.6 s.
MIN_WAIT_SECONDS = 0.5
#: Limit of events that are quoted for one wait.
MAX_CAUSES = 8
#: Events that may explain why a job waits.
CAUSE_KINDS = frozenset(
    (
        EventKind.WAITING,
        EventKind.START_UNANSWERED,
        EventKind.START_REFUSED,
        EventKind.STOPPING,
        EventKind.RUN_MISSING,
        EventKind.END_NOT_STORED,
        EventKind.TAKEOVER,
        EventKind.OWNERSHIP,
        EventKind.RUNNER_GONE,
        EventKind.RUNNER,
        EventKind.STORE,
        EventKind.HOST,
    ),
)


@dataclass(frozen=True)
class Wait:
    """A span without runs, in Unix time."""

    since: float
    until: float
    causes: tuple[LogEvent, ...]

    @property
    def seconds(self) -> float:
        """Return the length of the wait in seconds."""
        return self.until - self.since


def find_waits(runs: Iterable[Run], events: list[LogEvent], since: float) -> list[Wait]:
    """Return the waits before starts, the first from ``since``; ``events`` are in order."""
    waits = []
    idle_since: float | None = since
    for run in sorted((run for run in runs if run.start_known), key=_run_began_at):
        until = run.began_at
        if idle_since is not None and until - idle_since >= MIN_WAIT_SECONDS:
            waits.append(Wait(idle_since, until, _find_causes(events, idle_since, until)))
        # A run without a known end counts as running until the end of the logs.
        if idle_since is None or run.ended_at is None:
            break
        idle_since = max(idle_since, run.ended_at)
    return waits


def find_submission_time(job_events: list[LogEvent], runs: Iterable[Run]) -> float:
    """Return when the job was submitted, from the waiting times of its starts or its first event.

    A truncated log may begin after the submission; each start has the time waited so far.
    """
    submission_times = [
        run.start_sent_at - run.waited for run in runs if run.start_sent_at and run.waited
    ]
    return min([job_events[0].at, *submission_times])


def _run_began_at(run: Run) -> float:
    return run.began_at


def _find_causes(events: list[LogEvent], since: float, until: float) -> tuple[LogEvent, ...]:
    seen: set[str] = set()
    causes = []
    for event in events:
        if not since <= event.at <= until or event.kind not in CAUSE_KINDS or event.text in seen:
            continue
        seen.add(event.text)
        causes.append(event)
    return tuple(causes[-MAX_CAUSES:])
