"""Converts a report to plain values, for tables and JSON."""

from collections.abc import Iterable
from datetime import UTC, datetime
from typing import Any

from dandelionreel.records._log_event import LogEvent
from dandelionreel.records._repeated_starts import RepeatedStart
from dandelionreel.records._report import Report
from dandelionreel.records._runs import Run
from dandelionreel.records._waits import Wait

DIGITS = 3


def view_report(report: Report) -> dict[str, Any]:
    """Return a report as plain values; each ``at`` is in seconds since ``began``."""
    origin = report.began_at
    return {
        'subject': report.subject.name,
        'began': datetime.fromtimestamp(origin, UTC).isoformat(timespec='milliseconds'),
        'read': {
            'files': report.stats.files,
            'lines': report.stats.lines,
            'bad': report.stats.bad,
            'first_bad': report.stats.first_bad,
        },
        'timeline': [_view_event(event, origin) for event in report.events],
        'runs': [_view_run(run, origin) for run in report.runs],
        'waits': [_view_wait(wait, origin) for wait in report.waits],
        'again': [_view_repeated_start(repeated, origin) for repeated in report.repeated_starts],
        'not_known': list(report.unknowns),
    }


def _view_event(event: LogEvent, origin: float) -> dict[str, Any]:
    return {
        'at': _seconds_since(event.at, origin),
        'host': event.host,
        'told': event.kind.value,
        'task': event.task,
        'run': event.run,
        'epoch': event.epoch,
        'text': event.sentence,
        'more': event.extra_fields,
        'count': event.count,
    }


def _view_events(events: Iterable[LogEvent], origin: float) -> list[dict[str, Any]]:
    return [_view_event(event, origin) for event in events]


def _view_run(run: Run, origin: float) -> dict[str, Any]:
    return {
        'task': run.task,
        'run': run.run,
        'epoch': run.epoch,
        'owner': run.owner,
        'runner': run.runner,
        'asked': _seconds_since(run.start_sent_at, origin),
        'ended': _seconds_since(run.ended_at, origin),
        'seconds': run.seconds,
        'outcome': run.outcome,
        'seen_by': run.seen_by,
        'noted': _seconds_since(run.end_stored_at, origin),
        'knew': run.knowledge,
    }


def _view_wait(wait: Wait, origin: float) -> dict[str, Any]:
    return {
        'since': _seconds_since(wait.since, origin),
        'until': _seconds_since(wait.until, origin),
        'seconds': round(wait.seconds, DIGITS),
        'causes': _view_events(wait.causes, origin),
    }


def _view_repeated_start(repeated: RepeatedStart, origin: float) -> dict[str, Any]:
    return {
        'task': repeated.later.task,
        'earlier': _view_run(repeated.earlier, origin),
        'later': _view_run(repeated.later, origin),
        'finding': repeated.finding,
        'suspect': repeated.suspect,
        'knew': _view_events(repeated.known_events, origin),
    }


def _seconds_since(at: float | None, origin: float) -> float | None:
    return None if at is None else round(at - origin, DIGITS)
