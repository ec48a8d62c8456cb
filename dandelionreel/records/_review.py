"""Summary of how all jobs in the logs were served, and why some were late."""

from collections import Counter
from collections.abc import Iterable
from dataclasses import dataclass
from typing import Any, BinaryIO

import msgspec

from dandelionreel.records._job_histories import JobHistories, JobHistory
from dandelionreel.records._lines import ReadStats, read_lines
from dandelionreel.records._log_event import decode_event
from dandelionreel.records._outages import Outages, TimeSpan, may_show_outage
from dandelionreel.records._reasons import JobVerdict, MissReason, classify_job, find_miss_reason

#: Logging parts whose lines concern jobs or hosts.
REVIEWED_PARTS = frozenset(('jobs', 'placement', 'workers', 'life', 'log', 'ownership'))
#: Verdicts of jobs that were not served in time.
MISSED_VERDICTS = (JobVerdict.LATE, JobVerdict.TOO_LATE, JobVerdict.REFUSED, JobVerdict.OPEN)


class _JobIds(msgspec.Struct):
    """The job ids in a line."""

    job: object = ''
    jobs: object = ()


_JOB_IDS_DECODER = msgspec.json.Decoder(_JobIds)


@dataclass(frozen=True)
class MissedJob:
    """A job that was not in time."""

    history: JobHistory
    verdict: JobVerdict
    reason: MissReason


@dataclass(frozen=True)
class Review:
    """Summary of all jobs in the logs; ``began_at`` is when the first one was submitted."""

    stats: ReadStats
    began_at: float
    counts_by_queue: dict[str, Counter[JobVerdict]]
    counts_by_account: dict[str, Counter[JobVerdict]]
    missed_jobs: tuple[MissedJob, ...]
    takeovers: tuple[TimeSpan, ...]
    #: Events of jobs that were dropped because the limit was reached.
    dropped_count: int


def review_logs(streams: Iterable[tuple[str, BinaryIO]]) -> Review | None:
    """Return how all jobs were served; ``None`` if no line names a job.

    Each stream is read once, to its end; its ``OSError`` is passed on.
    """
    stats = ReadStats()
    histories, outages = JobHistories(), Outages()
    log_end = 0.0
    for name, stream in streams:
        for content, line in read_lines(stream, name, stats):
            log_end = max(log_end, line.timestamp)
            if line.message_type in REVIEWED_PARTS and not _add_event(content, histories, outages):
                stats.count_bad_line()
            outages.record_line_time(line.host, line.timestamp)
    return _summarize_jobs(stats, histories, outages, log_end) if histories.by_job else None


def _add_event(content: bytes, histories: JobHistories, outages: Outages) -> bool:
    event = decode_event(content)
    if event is None:
        return False
    if may_show_outage(event.kind):
        outages.add(event)
        return True
    ids = _JOB_IDS_DECODER.decode(content)
    job = ids.job if isinstance(ids.job, str) else ''
    jobs = ids.jobs if isinstance(ids.jobs, list) else []
    histories.add(event, job, [job_id for job_id in jobs if isinstance(job_id, str)])
    return True


def _summarize_jobs(
    stats: ReadStats, histories: JobHistories, outages: Outages, log_end: float
) -> Review:
    total_outages = outages.find_total_outages()
    counts_by_queue: dict[str, Counter[JobVerdict]] = {}
    counts_by_account: dict[str, Counter[JobVerdict]] = {}
    missed_jobs = []
    submitted_jobs = histories.list_submitted_jobs()
    for history in submitted_jobs:
        verdict = classify_job(history)
        counts_by_queue.setdefault(history.queue, Counter())[verdict] += 1
        if history.account:
            counts_by_account.setdefault(history.account, Counter())[verdict] += 1
        if verdict in MISSED_VERDICTS:
            missed_jobs.append(
                MissedJob(
                    history, verdict, find_miss_reason(history, outages, total_outages, log_end)
                )
            )
    began_at = (submitted_jobs[0].submitted_at or 0.0) if submitted_jobs else 0.0
    return Review(
        stats,
        began_at,
        counts_by_queue,
        counts_by_account,
        tuple(missed_jobs),
        tuple(outages.takeovers),
        histories.dropped_count,
    )


def view_review(summary: Review) -> dict[str, Any]:
    """Return a review as plain values; times are seconds since the first submission."""
    origin = summary.began_at
    return {
        'read': {
            'files': summary.stats.files,
            'lines': summary.stats.lines,
            'bad': summary.stats.bad,
            'first_bad': summary.stats.first_bad,
            'left_out': summary.dropped_count,
        },
        'queues': _view_verdict_counts('queue', summary.counts_by_queue),
        'accounts': _view_verdict_counts('account', summary.counts_by_account),
        'reasons': _view_reasons(summary.missed_jobs),
        'jobs': [_view_missed_job(missed, origin) for missed in summary.missed_jobs],
    }


def _view_verdict_counts(
    kind: str, counts_by_name: dict[str, Counter[JobVerdict]]
) -> list[dict[str, Any]]:
    return [
        {kind: name or '?', **{verdict.value: counts[verdict] for verdict in JobVerdict}}
        for name, counts in sorted(counts_by_name.items())
    ]


def _view_reasons(missed_jobs: Iterable[MissedJob]) -> list[dict[str, Any]]:
    counts_by_reason: dict[MissReason, Counter[JobVerdict]] = {}
    for missed in missed_jobs:
        counts_by_reason.setdefault(missed.reason, Counter())[missed.verdict] += 1
    ordered = sorted(counts_by_reason.items(), key=lambda entry: -entry[1].total())
    return [
        {'reason': reason.value, **{verdict.value: counts[verdict] for verdict in MISSED_VERDICTS}}
        for reason, counts in ordered
    ]


def _view_missed_job(missed: MissedJob, origin: float) -> dict[str, Any]:
    history = missed.history
    seconds = history.seconds
    return {
        'sent': round((history.submitted_at or origin) - origin, 3),
        'job': history.job,
        'queue': history.queue,
        'account': history.account,
        'verdict': missed.verdict.value,
        'reason': missed.reason.value,
        'seconds': None if seconds is None else round(seconds, 3),
        'objective': history.objective,
    }
