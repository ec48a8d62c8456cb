"""Detects tasks that crash their runners, and decides when to give one up. No I/O.

Load pattern: a task crashes each runner that starts it. A crashed runner reports nothing, so if
only failed runs were counted, the task would be restarted forever. Most tasks on a crashed runner
are not the cause, and runners also crash by chance, so no number of crashes alone shows the
culprit. A proven crash does: the runner answered on the same connection right before the start was
sent, the connection closed without an answer, and no other job was starting anything there. Of a
task that crashes its runners later, the odds that its crashes are by chance tell the same.
"""

import math
from dataclasses import dataclass

from dandelionreel.cell.model import (
    CrashedRun,
    ProvenCrash,
    StoredStart,
    TaskName,
    WeighedCrash,
)

#: Number of proven crashes after which a task is not started again.
PROVEN_CRASH_LIMIT = 2
#: Number of runner crashes during starts of a task after which it is not started again if one of
#: them is proven. Covers owners that are lost before they have seen the proof.
CRASH_LIMIT = 5
#: Number of runner crashes during runs of a task from which on it is not started again if they are
#: hardly by chance.
MIN_UNLIKELY_CRASHES = 3
#: Number of runner crashes, during the start or later, after which a task is quarantined: it then
#: starts alone on its runner.
QUARANTINE_CRASHES = 2
#: Number of tasks of a job whose crashes are kept: a record of the store has a maximum size.
MAX_CRASHED_TASKS = 512
#: Seconds after which a run is not blamed for a crash of its runner, and earlier crashes of its
#: task are cleared.
HEALTHY_SECONDS = 20.0
#: Decimals of the odds that are stored.
ODDS_DIGITS = 6

_TaskKey = tuple[int, int, int]


@dataclass(frozen=True)
class Crash:
    """A runner crash during a run; ``during_start`` as in ``CrashedRun``.

    If ``proven``, the start of the run has crashed the runner. ``odds`` is the probability that a
    run that crashes no runner was met by such a loss by chance. ``count`` is the number of crashes
    during runs of the task, ``CRASH_LIMIT`` at most. If ``given_up``, the job has failed.
    """

    task: TaskName
    run: int
    runner: str
    during_start: bool
    proven: bool
    odds: float
    count: int
    given_up: bool


class JobCrashes:
    """Runner crashes during runs of one job's tasks; each run counts once."""

    def __init__(self) -> None:
        """Create an empty history."""
        self._runs_by_task: dict[_TaskKey, dict[int, CrashedRun]] = {}
        #: The runs of these whose crash is proven.
        self._proven_runs_by_task: dict[_TaskKey, set[int]] = {}
        #: The odds of those that are hardly by chance.
        self._odds_by_task: dict[_TaskKey, dict[int, float]] = {}
        self._start_by_task: dict[_TaskKey, StoredStart] = {}
        #: Set when a runner of the job was lost together with an earlier owner. Which tasks that
        #: owner had started there, and whether the runner crashed during them, is unknown.
        self.incomplete = False

    @property
    def crashed(self) -> tuple[CrashedRun, ...]:
        """Return all counted runs in their stored form."""
        found = [run for runs in self._runs_by_task.values() for run in runs.values()]
        return tuple(sorted(found, key=_run_sort_key))

    @property
    def proven(self) -> tuple[ProvenCrash, ...]:
        """Return the counted runs whose crash is proven."""
        found = [
            ProvenCrash(*key, run)
            for key, runs in self._proven_runs_by_task.items()
            for run in runs
        ]
        return tuple(sorted(found, key=_run_sort_key))

    @property
    def weighed(self) -> tuple[WeighedCrash, ...]:
        """Return the odds of the counted runs that are hardly by chance."""
        found = [
            WeighedCrash(*key, run, odds)
            for key, odds_by_run in self._odds_by_task.items()
            for run, odds in odds_by_run.items()
        ]
        return tuple(sorted(found, key=_run_sort_key))

    @property
    def starts(self) -> tuple[StoredStart, ...]:
        """Return the starts in progress that are recorded individually."""
        return tuple(sorted(self._start_by_task.values(), key=_run_sort_key))

    def restore(
        self,
        crashed: tuple[CrashedRun, ...],
        starts: tuple[StoredStart, ...],
        proven: tuple[ProvenCrash, ...] = (),
        weighed: tuple[WeighedCrash, ...] = (),
    ) -> None:
        """Restore the history that an earlier owner stored."""
        for run in crashed:
            self._runs_by_task.setdefault(_task_key(run), {})[run.run] = run
        for proof in proven:
            if proof.run in self._runs_by_task.get(_task_key(proof), {}):
                self._proven_runs_by_task.setdefault(_task_key(proof), set()).add(proof.run)
        for row in weighed:
            if row.run in self._runs_by_task.get(_task_key(row), {}):
                self._odds_by_task.setdefault(_task_key(row), {})[row.run] = row.odds
        for start in starts:
            self._start_by_task[_task_key(start)] = start

    def record_crash(
        self,
        task: TaskName,
        run: int,
        *,
        during_start: bool = False,
        proven: bool = False,
        odds: float = 1.0,
    ) -> bool:
        """Count a runner crash during a run; return whether it was not counted before.

        ``odds`` is the probability that a run which crashes no runner is met by such a loss.
        """
        key = _task_key(task)
        runs = self._runs_by_task.setdefault(key, {})
        if run in runs:
            return False
        runs[run] = CrashedRun(*key, run, during_start)
        odds_by_run = self._odds_by_task.setdefault(key, {})
        if odds < 1:
            odds_by_run[run] = round(odds, ODDS_DIGITS)
        proven_runs = self._proven_runs_by_task.setdefault(key, set())
        if proven:
            proven_runs.add(run)
        if len(runs) > CRASH_LIMIT:
            # More rows change no decision, and a record of the store has a maximum size.
            dropped = min(
                runs,
                key=lambda number: (
                    number in proven_runs,
                    -odds_by_run.get(number, 1.0),
                    runs[number].during_start,
                    number,
                ),
            )
            del runs[dropped]
            proven_runs.discard(dropped)
            odds_by_run.pop(dropped, None)
        self._drop_excess_task(key)
        return run in runs

    def withdraw_proof(self, task: TaskName, run: int) -> bool:
        """Count a proven crash as one by chance; return whether it was proven."""
        proven_runs = self._proven_runs_by_task.get(_task_key(task), set())
        if run not in proven_runs:
            return False
        proven_runs.discard(run)
        return True

    def withdraw_odds(self, task: TaskName, run: int) -> bool:
        """Count a crash as one that says nothing; return whether it said something."""
        return self._odds_by_task.get(_task_key(task), {}).pop(run, None) is not None

    def clear(self, task: TaskName) -> bool:
        """Clear the crashes of a task that did not cause them; return whether there were any."""
        return self._clear(_task_key(task))

    def count(self, task: TaskName) -> int:
        """Return the number of runner crashes during runs of a task."""
        return len(self._runs_by_task.get(_task_key(task), ()))

    def is_quarantined(self, task: TaskName) -> bool:
        """Return whether a task must start alone, since it may crash the next runner too."""
        if self.count(task) >= QUARANTINE_CRASHES or self._count_start_crashes(task):
            return True
        return bool(self._odds_by_task.get(_task_key(task)))

    def has_reached_crash_limit(self, task: TaskName, max_odds: float = 0.0) -> bool:
        """Return whether a task is proven to crash its runners.

        If the odds of all its crashes together are at most ``max_odds``, they are not by chance.
        """
        proven = len(self._proven_runs_by_task.get(_task_key(task), ()))
        if proven >= PROVEN_CRASH_LIMIT or self._are_crashes_unlikely(task, max_odds):
            return True
        return proven > 0 and self._count_start_crashes(task) >= CRASH_LIMIT

    def may_crash_runners(self, task: TaskName) -> bool:
        """Return whether runners have crashed during runs of a task, or may have."""
        return self.incomplete or _task_key(task) in self._runs_by_task

    def record_start(self, task: TaskName, run: int, runner: str) -> bool:
        """Record a start that is about to be sent; return whether to store it first.

        An owner may be lost between a start and the crash. Its successor counts the stored start
        as a crash if the runner is gone. Without that, each lost owner would let the task crash
        one more runner.
        """
        key = _task_key(task)
        if not self.may_crash_runners(task):
            return False
        self._start_by_task[key] = StoredStart(*key, run, runner)
        return True

    def record_run_end(self, task: TaskName, run: int) -> bool:
        """Record that a run has ended in any way; return whether its start was stored."""
        start = self._start_by_task.get(_task_key(task))
        if start is None or start.run != run:
            return False
        self._start_by_task.pop(_task_key(task))
        return True

    def starts_on_runner(self, runner: str) -> list[StoredStart]:
        """Return the recorded starts on a runner."""
        return [start for start in self._start_by_task.values() if start.runner == runner]

    def _are_crashes_unlikely(self, task: TaskName, max_odds: float) -> bool:
        """Return whether a task that crashes no runner is hardly met by so many losses."""
        odds = math.prod(self._odds_by_task.get(_task_key(task), {}).values())
        return self.count(task) >= MIN_UNLIKELY_CRASHES and odds <= max_odds

    def _clear(self, key: _TaskKey) -> bool:
        self._proven_runs_by_task.pop(key, None)
        self._odds_by_task.pop(key, None)
        return bool(self._runs_by_task.pop(key, None))

    def _drop_excess_task(self, latest: _TaskKey) -> None:
        if len(self._runs_by_task) <= MAX_CRASHED_TASKS:
            return
        for key in self._runs_by_task:
            if key != latest and not self._proven_runs_by_task.get(key):
                self._clear(key)
                return

    def _count_start_crashes(self, task: TaskName) -> int:
        runs = self._runs_by_task.get(_task_key(task), {})
        return sum(run.during_start for run in runs.values())


def _task_key(row: TaskName | CrashedRun | ProvenCrash | WeighedCrash | StoredStart) -> _TaskKey:
    return row.occurrence, row.step, row.index


def _run_sort_key(
    row: CrashedRun | ProvenCrash | WeighedCrash | StoredStart,
) -> tuple[int, int, int, int]:
    return row.occurrence, row.step, row.index, row.run
