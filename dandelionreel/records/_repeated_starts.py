"""Tasks that were started more than once: what the later owner knew when it started them."""

from collections.abc import Iterable
from dataclasses import dataclass

from dandelionreel.records._event_kinds import EventKind
from dandelionreel.records._log_event import LogEvent
from dandelionreel.records._runs import Run

#: Limit of quoted events about the run, and of those about the ownership, per start.
MAX_QUOTED = 6
#: Events from which an owner concludes that an earlier run is over.
EVIDENCE_KINDS = frozenset(
    (
        EventKind.RUN_ENDED,
        EventKind.START_REFUSED,
        EventKind.RUN_MISSING,
        EventKind.RUNNER_GONE,
        EventKind.RUN_LOST,
        EventKind.RUNS_LISTED,
        EventKind.STOPPING,
        EventKind.STOP_ACCEPTED,
        EventKind.START_UNANSWERED,
    ),
)
#: Evidence that the run has ended or can't continue.
RUN_OVER_KINDS = frozenset(
    (
        EventKind.RUN_ENDED,
        EventKind.START_REFUSED,
        EventKind.RUN_MISSING,
        EventKind.RUNNER_GONE,
        EventKind.RUN_LOST,
    ),
)
RUNNER_KINDS = frozenset((EventKind.RUNNER_GONE, EventKind.RUNS_LISTED))
#: Logged by a new owner once leases on runners that it can't reach must have expired.
LEASES_EXPIRED_TEXT = 'takes the leases on unseen runners for run out'
NO_EVIDENCE_TEXT = ', of which no line tells'
OWNER_KINDS = frozenset((EventKind.TAKEOVER, EventKind.OWNERSHIP))


@dataclass(frozen=True)
class RepeatedStart:
    """Two successive runs of a task."""

    earlier: Run
    later: Run
    #: The conclusion, in one sentence.
    finding: str
    #: Whether no event justifies the later start.
    suspect: bool
    #: What the owner of the later run had logged before its start, in order of time.
    known_events: tuple[LogEvent, ...]


def find_repeated_starts(runs: Iterable[Run], events: list[LogEvent]) -> list[RepeatedStart]:
    """Return each pair of successive runs of a task; ``events`` are in order of time."""
    repeated = []
    earlier: Run | None = None
    for run in runs:
        if earlier is not None and earlier.task == run.task:
            repeated.append(_compare_successive_runs(earlier, run, events))
        earlier = run
    return repeated


def _compare_successive_runs(earlier: Run, later: Run, events: list[LogEvent]) -> RepeatedStart:
    known_events = _find_known_events(earlier, later, events)
    finding, suspect = _explain_repeated_start(earlier, later, known_events)
    return RepeatedStart(earlier, later, finding, suspect, known_events)


def _find_known_events(earlier: Run, later: Run, events: list[LogEvent]) -> tuple[LogEvent, ...]:
    """Return what the later run's owner logged about the earlier run and its own ownership."""
    at = later.start_sent_at
    if at is None:
        return ()
    owner_events = [event for event in events if event.host == later.owner and event.at <= at]
    run_events = [event for event in owner_events if _is_evidence_of(event, earlier)]
    ownership_events = [event for event in owner_events if event.kind in OWNER_KINDS][-MAX_QUOTED:]
    return tuple(sorted([*run_events[-MAX_QUOTED:], *ownership_events], key=lambda event: event.at))


def _is_evidence_of(event: LogEvent, run: Run) -> bool:
    """Return whether an event concerns a run, or its runner after the run began."""
    if event.kind not in EVIDENCE_KINDS:
        return False
    if any(run_event is event for run_event in run.events):
        return True
    about_runner = event.kind in RUNNER_KINDS and event.runner == run.runner
    return about_runner and event.at >= run.began_at


def _explain_repeated_start(
    earlier: Run, later: Run, known_events: tuple[LogEvent, ...]
) -> tuple[str, bool]:
    """Return the explanation of a repeated start, and whether it is suspect."""
    if later.start_sent_at is None:
        return 'the later start is in no line that was read', True
    over_events = [event for event in known_events if _shows_run_over(event, earlier)]
    prefix = f'{later.owner} had been told' if later.owner else 'its owner had been told'
    if earlier.outcome == 'done':
        earlier_end = earlier.ended_at or 0.0
        side = 'before' if earlier_end <= later.start_sent_at else 'after'
        gap = abs(later.start_sent_at - earlier_end)
        knowledge = 'it' if over_events else 'nothing of it'
        return (
            f'run {earlier.run} was done, told {gap:.3f} s {side} this start; {prefix} {knowledge}',
            True,
        )
    if over_events:
        return (
            f'{prefix} {_describe_quoted_event(over_events[-1], earlier, later.start_sent_at)}',
            False,
        )
    expiry = _find_lease_expiry(known_events, earlier.runner)
    overlap = _describe_earlier_end(earlier, later.start_sent_at)
    if expiry is not None and not overlap:
        age = later.start_sent_at - expiry.at
        return (
            f'{prefix} nothing of run {earlier.run}; {age:.3f} s before it {expiry.sentence}',
            False,
        )
    expired = '' if expiry is None else f'; it {expiry.sentence}'
    return (
        f'{prefix} nothing of the end of run {earlier.run}{overlap or NO_EVIDENCE_TEXT}{expired}',
        True,
    )


def _describe_quoted_event(event: LogEvent, earlier: Run, start_sent_at: float) -> str:
    absence = f' Run {earlier.run} was not there.' if event.kind is EventKind.RUNS_LISTED else ''
    return f'{start_sent_at - event.at:.3f} s before: {event.sentence}{absence}'


def _shows_run_over(event: LogEvent, run: Run) -> bool:
    if event.kind is EventKind.RUNS_LISTED:
        return _lists_all_runs_but(event, run)
    never_sent = (
        event.kind is EventKind.START_UNANSWERED and event.extra_fields.get('verdict') == 'not_run'
    )
    return event.kind in RUN_OVER_KINDS or never_sent


def _lists_all_runs_but(event: LogEvent, run: Run) -> bool:
    """Return whether a new owner's first list of a runner's runs is complete and lacks the run."""
    listed = event.extra_fields.get('found')
    if event.extra_fields.get('first') is not True or not isinstance(listed, list):
        return False
    is_complete = event.sentence.startswith(f'found {len(listed)} ')
    return is_complete and not any(run_event is event for run_event in run.events)


def _find_lease_expiry(known_events: tuple[LogEvent, ...], runner: str) -> LogEvent | None:
    """Return where a new owner logged that the leases on an unseen runner have expired."""
    for event in reversed(known_events):
        if LEASES_EXPIRED_TEXT not in event.text:
            continue
        runner_names = event.extra_fields.get('runners')
        if not isinstance(runner_names, list) or runner in runner_names:
            return event
    return None


def _describe_earlier_end(earlier: Run, start_sent_at: float) -> str:
    """Describe a run's end that another host recorded; empty if no event has one."""
    if earlier.ended_at is None:
        return ''
    if earlier.ended_at > start_sent_at:
        return f', told {earlier.ended_at - start_sent_at:.3f} s later: both may have run'
    return f', which {earlier.seen_by} had read: {earlier.outcome}'
