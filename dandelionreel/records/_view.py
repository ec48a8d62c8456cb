"""A report as plain values, for people's tables and for programs."""

from collections.abc import Iterable
from datetime import UTC, datetime
from typing import Any

from dandelionreel.records._again import Again
from dandelionreel.records._report import Report
from dandelionreel.records._runs import Run
from dandelionreel.records._told import Told
from dandelionreel.records._waits import Wait

DIGITS = 3


def view_report(report: Report) -> dict[str, Any]:
    """Return a report as plain values; each ``at`` is in seconds since ``began``."""
    zero = report.began_at
    return {
        'subject': report.subject.name,
        'began': datetime.fromtimestamp(zero, UTC).isoformat(timespec='milliseconds'),
        'read': {
            'files': report.tally.files,
            'lines': report.tally.lines,
            'bad': report.tally.bad,
            'first_bad': report.tally.first_bad,
        },
        'timeline': [_view_line(line, zero) for line in report.lines],
        'runs': [_view_run(run, zero) for run in report.runs],
        'waits': [_view_wait(wait, zero) for wait in report.waits],
        'again': [_view_again(again, zero) for again in report.again],
        'not_known': list(report.missing),
    }


def _view_line(line: Told, zero: float) -> dict[str, Any]:
    return {
        'at': _since(line.at, zero),
        'host': line.host,
        'told': line.stage.value,
        'task': line.task,
        'run': line.run,
        'epoch': line.epoch,
        'text': line.sentence,
        'more': line.more,
        'count': line.count,
    }


def _view_lines(lines: Iterable[Told], zero: float) -> list[dict[str, Any]]:
    return [_view_line(line, zero) for line in lines]


def _view_run(run: Run, zero: float) -> dict[str, Any]:
    return {
        'task': run.task,
        'run': run.run,
        'epoch': run.epoch,
        'owner': run.owner,
        'runner': run.runner,
        'asked': _since(run.asked_at, zero),
        'ended': _since(run.ended_at, zero),
        'seconds': run.seconds,
        'outcome': run.outcome,
        'seen_by': run.seen_by,
        'noted': _since(run.noted_at, zero),
        'knew': run.knowledge,
    }


def _view_wait(wait: Wait, zero: float) -> dict[str, Any]:
    return {
        'since': _since(wait.since, zero),
        'until': _since(wait.until, zero),
        'seconds': round(wait.seconds, DIGITS),
        'causes': _view_lines(wait.causes, zero),
    }


def _view_again(again: Again, zero: float) -> dict[str, Any]:
    return {
        'task': again.later.task,
        'earlier': _view_run(again.earlier, zero),
        'later': _view_run(again.later, zero),
        'finding': again.finding,
        'suspect': again.suspect,
        'knew': _view_lines(again.knew, zero),
    }


def _since(at: float | None, zero: float) -> float | None:
    return None if at is None else round(at - zero, DIGITS)
