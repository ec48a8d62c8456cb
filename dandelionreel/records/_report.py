"""The report on a job or a task, made from the collected events."""

from collections.abc import Iterable
from dataclasses import dataclass
from typing import BinaryIO

from dandelionreel.records._event_collector import EventCollector, LogSpan
from dandelionreel.records._event_kinds import EventKind
from dandelionreel.records._lines import ReadStats, read_lines
from dandelionreel.records._log_event import LogEvent
from dandelionreel.records._repeated_starts import RepeatedStart, find_repeated_starts
from dandelionreel.records._runs import Run, collect_runs
from dandelionreel.records._subject import Subject
from dandelionreel.records._waits import Wait, find_submission_time, find_waits

#: Context events are shown from this many seconds before a job's first event to this many
#: after its last.
MARGIN_SECONDS = 1.0
#: Fields of a start that show how current the owner's knowledge was.
KNOWLEDGE_AGE_FIELDS = ('version', 'store_age', 'runner_age')
#: Events about a host: shown if the host logged events of the job.
HOST_KINDS = frozenset((EventKind.STORE, EventKind.HOST))
RUNNER_KINDS = frozenset((EventKind.RUNNER, EventKind.RUNNER_GONE, EventKind.RUNS_LISTED))
END_STORING_KINDS = frozenset((EventKind.END_STORED, EventKind.END_NOT_STORED))
OWNER_KINDS = frozenset((EventKind.TAKEOVER, EventKind.OWNERSHIP))


@dataclass(frozen=True)
class Report:
    """The events of all hosts in order of time, and the conclusions from them."""

    subject: Subject
    stats: ReadStats
    #: The job's own events, and related ones of its owners, hosts and runners.
    events: tuple[LogEvent, ...]
    #: When the job was submitted, or the time of its first event.
    began_at: float
    runs: tuple[Run, ...]
    repeated_starts: tuple[RepeatedStart, ...]
    waits: tuple[Wait, ...]
    #: What can't be concluded from the logs, and why.
    unknowns: tuple[str, ...]


def explain_subject(subject: Subject, streams: Iterable[tuple[str, BinaryIO]]) -> Report | None:
    """Return the report on ``subject`` from named streams; ``None`` if no line names it.

    Each stream is read once, to its end; its ``OSError`` is passed on.
    """
    stats = ReadStats()
    collector = EventCollector(subject)
    for name, stream in streams:
        for content, line in read_lines(stream, name, stats):
            if not collector.add(content, line):
                stats.count_bad_line()
    context = sorted(collector.context_events(), key=_event_time)
    stats.bad += collector.unreadable_count
    return _build_report(collector, context, stats) if collector.job_events else None


def _build_report(collector: EventCollector, context: list[LogEvent], stats: ReadStats) -> Report:
    job_events = sorted(collector.job_events, key=_event_time)
    runs = collect_runs(job_events, collector.subject.job)
    if collector.subject.task:
        job_events = [event for event in job_events if _concerns_runs(event, runs)]
    events = sorted([*job_events, *_select_context(job_events, runs, context)], key=_event_time)
    began_at = find_submission_time(job_events, runs)
    return Report(
        collector.subject,
        stats,
        tuple(events),
        began_at,
        tuple(runs),
        tuple(find_repeated_starts(runs, events)),
        tuple(find_waits(runs, events, began_at)),
        tuple(_find_unknowns(job_events, runs, collector)),
    )


def _concerns_runs(event: LogEvent, runs: list[Run]) -> bool:
    """Return whether an event about a run, or about stored ends of jobs, is about these runs."""
    if event.kind in END_STORING_KINDS or event.run is not None:
        return any(run_event is event for run in runs for run_event in run.events)
    return True


def _select_context(
    job_events: list[LogEvent], runs: list[Run], context: list[LogEvent]
) -> list[LogEvent]:
    """Return the context events that are relevant to the job."""
    first = find_submission_time(job_events, runs) - MARGIN_SECONDS
    last = job_events[-1].at + MARGIN_SECONDS
    hosts = {event.host for event in job_events}
    runners = {run.runner for run in runs}
    chosen = _find_last_takeover(context, first)
    for event in context:
        if first <= event.at <= last and _is_relevant_event(event, hosts, runners):
            chosen.append(event)
    return chosen


def _is_relevant_event(event: LogEvent, hosts: set[str], runners: set[str]) -> bool:
    if event.kind in OWNER_KINDS:
        return True
    if event.kind in HOST_KINDS:
        return event.host in hosts
    return event.kind in RUNNER_KINDS and event.runner in runners


def _find_last_takeover(context: list[LogEvent], first: float) -> list[LogEvent]:
    """Return the last takeover of the cell before a time, if any."""
    earlier = [event for event in context if event.kind is EventKind.TAKEOVER and event.at < first]
    return earlier[-1:]


def _find_unknowns(
    job_events: list[LogEvent], runs: list[Run], collector: EventCollector
) -> list[str]:
    unknowns = [*_find_missing_events(job_events, runs), *_find_missing_fields(job_events, runs)]
    unknowns.extend(
        _find_truncated_logs(
            find_submission_time(job_events, runs), job_events, collector.span_by_host
        )
    )
    if collector.sampling_interval > 1:
        unknowns.append(
            f'only one of {collector.sampling_interval} lines of the frequent kinds was written'
        )
    if collector.dropped_count:
        unknowns.append(
            f'{collector.dropped_count} more lines had no room; give fewer logs, or JOB/TASK'
        )
    return unknowns


def _find_missing_events(job_events: list[LogEvent], runs: list[Run]) -> list[str]:
    unknowns = []
    if not any(
        event.kind in {EventKind.ACCEPTED, EventKind.ALREADY_ACCEPTED} for event in job_events
    ):
        unknowns.append('no line tells where the job was accepted')
    if not runs:
        unknowns.append('no line tells of a start')
    without_start = [run for run in runs if run.start_sent_at is None]
    if without_start:
        unknowns.append(f'no line tells the start of {len(without_start)} of {len(runs)} runs')
    without_end = [run for run in runs if run.ended_at is None]
    if without_end:
        unknowns.append(f'no line tells the end of {len(without_end)} of {len(runs)} runs')
    if runs and not any(run.end_stored_at for run in runs):
        unknowns.append('no line tells when an end was stored, from when on it is acknowledged')
    return unknowns


def _find_missing_fields(job_events: list[LogEvent], runs: list[Run]) -> list[str]:
    unknowns = []
    started = [run for run in runs if run.start_sent_at is not None]
    lacking = [
        name for name in KNOWLEDGE_AGE_FIELDS if any(name not in run.knowledge for run in started)
    ]
    if lacking:
        unknowns.append(f'starts lack {", ".join(lacking)}: how old their owner knew things to be')
    unnamed = {event.sentence for event in job_events if event.run is not None and not event.task}
    if unnamed:
        unknowns.append(f'{len(unnamed)} lines on runs name no task')
    return unknowns


def _find_truncated_logs(
    first: float, job_events: list[LogEvent], span_by_host: dict[str, LogSpan]
) -> list[str]:
    """Describe logs of the job's hosts that begin after its submission."""
    unknowns = []
    for host in sorted({event.host for event in job_events}):
        late = span_by_host[host].first - first
        if late > MARGIN_SECONDS:
            unknowns.append(f'the log of {host} begins {late:.1f} s after the job was submitted')
    return unknowns


def _event_time(event: LogEvent) -> float:
    return event.at
