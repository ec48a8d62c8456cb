"""The runs of each task, put together from what different hosts told of them."""

import re
from collections.abc import Iterable
from dataclasses import dataclass, field
from typing import Any

from dandelionreel.records._stages import Stage
from dandelionreel.records._told import Told

#: Runs of one epoch; a run's number tells its owner where a line has no epoch.
RUNS_PER_EPOCH = 1000
#: Stages that end what is known of a run, besides its end.
OUTCOME_BY_STAGE = {
    Stage.MISSING: 'not there',
    Stage.TURNED_AWAY: 'not taken',
    Stage.LOST: 'lost with its runner',
}
#: What a start says of the age of what its owner knew.
KNOWLEDGE = ('failures', 'crashes', 'version', 'store_age', 'runner_age')
_FOUND = re.compile(r'(\S+)/(\d+\.\d+\.\d+) (\d+) ')


@dataclass
class Run:
    """One run of a task; times are wall seconds, ``None`` where no line tells."""

    task: str
    run: int
    runner: str = ''
    #: The owner that ordered it; empty where its start is not in the lines.
    owner: str = ''
    asked_at: float | None = None
    knowledge: dict[str, Any] = field(default_factory=dict)
    waited: float | None = None
    ended_at: float | None = None
    outcome: str = ''
    seconds: float | None = None
    noted_at: float | None = None
    #: Who read its end or its loss first.
    seen_by: str = ''
    number: int | None = None
    #: What else was told of it, by any host.
    told: list[Told] = field(default_factory=list)

    @property
    def epoch(self) -> int:
        """Return the epoch that it was started under."""
        return self.run // RUNS_PER_EPOCH

    @property
    def begin_known(self) -> bool:
        """Return whether the lines tell when it was asked for, or for how long it ran."""
        return self.asked_at is not None or self.seconds is not None

    @property
    def began_at(self) -> float:
        """Return when it was first known of, for its place among others."""
        if self.asked_at is not None:
            return self.asked_at
        if self.ended_at is not None:
            return self.ended_at - (self.seconds or 0.0)
        return self.told[0].at if self.told else 0.0


def gather_runs(told: Iterable[Told], job: str) -> list[Run]:
    """Return the runs of all tasks by task and time; ``told`` is in order of time."""
    run_by_name: dict[tuple[str, int], Run] = {}
    for line in told:
        for task, number, runner in _named(line, job, run_by_name.values()):
            run = run_by_name.setdefault((task, number), Run(task, number))
            run.runner = run.runner or runner
            run.told.append(line)
            _take(run, line)
        if line.stage is Stage.NOTED:
            _take_noted(line, run_by_name.values())
    return sorted(run_by_name.values(), key=_order)


def _named(line: Told, job: str, known: Iterable[Run]) -> list[tuple[str, int, str]]:
    """Return the runs that a line is about: task, number, runner."""
    if line.stage is Stage.FOUND:
        named = [_FOUND.match(f'{text} ') for text in _texts(line.more.get('found'))]
        return [
            (match[2], int(match[3]), line.runner)
            for match in named
            if match is not None and match[1] == job
        ]
    if line.run is None:
        return []
    if line.task:
        return [(line.task, line.run, line.runner)]
    # Some lines leave the task out: the runner tells it where it had only one such run.
    same = [run for run in known if run.run == line.run and run.runner == line.runner]
    return [(same[0].task, line.run, line.runner)] if len(same) == 1 else []


def _texts(found: Any) -> list[str]:
    return [text for text in found if isinstance(text, str)] if isinstance(found, list) else []


def _take(run: Run, line: Told) -> None:
    if line.stage is Stage.ASKED and run.asked_at is None:
        run.asked_at = line.at
        run.owner = line.host
        run.runner = line.runner
        run.knowledge = {name: line.more[name] for name in KNOWLEDGE if name in line.more}
        run.waited = _seconds(line.more.get('waited'))
    elif line.stage is Stage.ENDED and run.ended_at is None:
        run.ended_at = line.at
        run.seen_by = line.host
        run.outcome = line.sentence.removeprefix('a run has ended ').rstrip('.')
        run.seconds = _seconds(line.more.get('seconds'))
        number = line.more.get('number')
        run.number = number if isinstance(number, int) else None
    elif line.stage in OUTCOME_BY_STAGE and run.ended_at is None:
        run.ended_at = line.at
        run.seen_by = line.host
        run.outcome = OUTCOME_BY_STAGE[line.stage]


def _take_noted(line: Told, runs: Iterable[Run]) -> None:
    upto = line.more.get('number')
    for run in runs:
        if run.noted_at is not None or run.ended_at is None or run.runner != line.runner:
            continue
        if run.number is not None and isinstance(upto, int) and run.number <= upto:
            run.noted_at = line.at
            run.told.append(line)


def _seconds(found: Any) -> float | None:
    return float(found) if isinstance(found, int | float) else None


def _order(run: Run) -> tuple[list[int], float, int]:
    return [int(part) for part in run.task.split('.')], run.began_at, run.run
