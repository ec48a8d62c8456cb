"""The runs of each task, combined from the events of all hosts."""

import re
from collections.abc import Iterable
from dataclasses import dataclass, field
from typing import Any

from dandelionreel.records._event_kinds import EventKind
from dandelionreel.records._log_event import LogEvent

#: Run numbers per epoch: the number of a run divided by this, rounded down, is its epoch.
RUNS_PER_EPOCH = 1000
#: Outcomes of runs whose end was not reported.
OUTCOME_BY_KIND = {
    EventKind.RUN_MISSING: 'not there',
    EventKind.START_REFUSED: 'not taken',
    EventKind.RUN_LOST: 'lost with its runner',
}
#: Fields of a start about the state and the age of the owner's knowledge.
KNOWLEDGE_FIELDS = ('failures', 'crashes', 'version', 'store_age', 'runner_age')
_LISTED_RUN = re.compile(r'(\S+)/(\d+\.\d+\.\d+) (\d+) ')


@dataclass
class Run:
    """One run of a task; times are Unix time, ``None`` if no event has them."""

    task: str
    run: int
    runner: str = ''
    #: The owner that started the run; empty if the start is not in the logs.
    owner: str = ''
    start_sent_at: float | None = None
    knowledge: dict[str, Any] = field(default_factory=dict)
    waited: float | None = None
    ended_at: float | None = None
    outcome: str = ''
    seconds: float | None = None
    end_stored_at: float | None = None
    #: The host that first logged the end or the loss of the run.
    seen_by: str = ''
    number: int | None = None
    #: All events about the run, of any host.
    events: list[LogEvent] = field(default_factory=list)

    @property
    def epoch(self) -> int:
        """Return the epoch of the owner that started the run."""
        return self.run // RUNS_PER_EPOCH

    @property
    def start_known(self) -> bool:
        """Return whether the run's start time or its duration is known."""
        return self.start_sent_at is not None or self.seconds is not None

    @property
    def began_at(self) -> float:
        """Return when the run began, as far as known, for sorting."""
        if self.start_sent_at is not None:
            return self.start_sent_at
        if self.ended_at is not None:
            return self.ended_at - (self.seconds or 0.0)
        return self.events[0].at if self.events else 0.0


def collect_runs(events: Iterable[LogEvent], job: str) -> list[Run]:
    """Return the runs sorted by task and time; ``events`` are in order of time."""
    run_by_name: dict[tuple[str, int], Run] = {}
    for event in events:
        for task, number, runner in _find_runs(event, job, run_by_name.values()):
            run = run_by_name.setdefault((task, number), Run(task, number))
            run.runner = run.runner or runner
            run.events.append(event)
            _apply_event(run, event)
        if event.kind is EventKind.END_STORED:
            _apply_stored_ends(event, run_by_name.values())
    return sorted(run_by_name.values(), key=_run_sort_key)


def _find_runs(event: LogEvent, job: str, known: Iterable[Run]) -> list[tuple[str, int, str]]:
    """Return the runs that an event is about: task, number, runner."""
    if event.kind is EventKind.RUNS_LISTED:
        matches = [
            _LISTED_RUN.match(f'{text} ') for text in _select_texts(event.extra_fields.get('found'))
        ]
        return [
            (match[2], int(match[3]), event.runner)
            for match in matches
            if match is not None and match[1] == job
        ]
    if event.run is None:
        return []
    if event.task:
        return [(event.task, event.run, event.runner)]
    # Some events do not name the task; it is known if only one run has this number and runner.
    candidates = [run for run in known if run.run == event.run and run.runner == event.runner]
    return [(candidates[0].task, event.run, event.runner)] if len(candidates) == 1 else []


def _select_texts(listed: Any) -> list[str]:
    return [text for text in listed if isinstance(text, str)] if isinstance(listed, list) else []


def _apply_event(run: Run, event: LogEvent) -> None:
    if event.kind is EventKind.START_SENT and run.start_sent_at is None:
        run.start_sent_at = event.at
        run.owner = event.host
        run.runner = event.runner
        run.knowledge = {
            name: event.extra_fields[name]
            for name in KNOWLEDGE_FIELDS
            if name in event.extra_fields
        }
        run.waited = _float_or_none(event.extra_fields.get('waited'))
    elif event.kind is EventKind.RUN_ENDED and run.ended_at is None:
        run.ended_at = event.at
        run.seen_by = event.host
        run.outcome = event.sentence.removeprefix('a run has ended ').rstrip('.')
        run.seconds = _float_or_none(event.extra_fields.get('seconds'))
        number = event.extra_fields.get('number')
        run.number = number if isinstance(number, int) else None
    elif event.kind in OUTCOME_BY_KIND and run.ended_at is None:
        run.ended_at = event.at
        run.seen_by = event.host
        run.outcome = OUTCOME_BY_KIND[event.kind]


def _apply_stored_ends(event: LogEvent, runs: Iterable[Run]) -> None:
    last_stored = event.extra_fields.get('number')
    for run in runs:
        if run.end_stored_at is not None or run.ended_at is None or run.runner != event.runner:
            continue
        if run.number is not None and isinstance(last_stored, int) and run.number <= last_stored:
            run.end_stored_at = event.at
            run.events.append(event)


def _float_or_none(field_value: Any) -> float | None:
    return float(field_value) if isinstance(field_value, int | float) else None


def _run_sort_key(run: Run) -> tuple[list[int], float, int]:
    return [int(part) for part in run.task.split('.')], run.began_at, run.run
