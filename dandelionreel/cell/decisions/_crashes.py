"""Detects tasks that crash their runners, and decides when to give one up. No I/O.

Load pattern: a task crashes each runner that starts it. A crashed runner reports nothing, so if
only failed runs were counted, the task would be restarted forever. Most tasks on a crashed runner
are not the cause. Two signs identify the culprit: its start was still unanswered when the
connection broke, and it crashes a runner on which nothing else starts.
"""

from dataclasses import dataclass

from dandelionreel.cell.model import CrashedRun, StoredStart, TaskName

#: Number of runner crashes during starts of a task after which the task is not started again. After
#: the first crash the task starts alone, so a second crash is no coincidence.
START_CRASH_LIMIT = 2
#: Number of runner crashes, during the start or later, after which a task is not started again.
#: Covers tasks that crash their runner some time after the start.
CRASH_LIMIT = 3
#: Number of runner crashes, during the start or later, after which a task is quarantined: it then
#: starts alone on its runner.
QUARANTINE_CRASHES = 2
#: Seconds after which a run is not blamed for a crash of its runner, and earlier crashes of its
#: task are cleared.
HEALTHY_SECONDS = 20.0

_TaskKey = tuple[int, int, int]


@dataclass(frozen=True)
class Crash:
    """A runner crash during a run; ``during_start`` as in ``CrashedRun``.

    ``count`` is the number of crashes during runs of the task. If ``given_up``, the task is not
    started again.
    """

    task: TaskName
    run: int
    runner: str
    during_start: bool
    count: int
    given_up: bool


class JobCrashes:
    """Runner crashes during runs of one job's tasks; each run counts once."""

    def __init__(self) -> None:
        """Create an empty history."""
        self._runs_by_task: dict[_TaskKey, dict[int, CrashedRun]] = {}
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
    def starts(self) -> tuple[StoredStart, ...]:
        """Return the starts in progress that are recorded individually."""
        return tuple(sorted(self._start_by_task.values(), key=_run_sort_key))

    def restore(
        self,
        crashed: tuple[CrashedRun, ...],
        starts: tuple[StoredStart, ...],
    ) -> None:
        """Restore the history that an earlier owner stored."""
        for run in crashed:
            self._runs_by_task.setdefault(_task_key(run), {})[run.run] = run
        for start in starts:
            self._start_by_task[_task_key(start)] = start

    def record_crash(self, task: TaskName, run: int, *, during_start: bool) -> bool:
        """Count a runner crash during a run; return whether it was not counted before."""
        key = _task_key(task)
        runs = self._runs_by_task.setdefault(key, {})
        if run in runs:
            return False
        runs[run] = CrashedRun(*key, run, during_start)
        return True

    def clear(self, task: TaskName) -> bool:
        """Clear the crashes of a task that did not cause them; return whether there were any."""
        return bool(self._runs_by_task.pop(_task_key(task), None))

    def count(self, task: TaskName) -> int:
        """Return the number of runner crashes during runs of a task."""
        return len(self._runs_by_task.get(_task_key(task), ()))

    def is_quarantined(self, task: TaskName) -> bool:
        """Return whether a task must start alone, since it may crash the next runner too."""
        return self._count_start_crashes(task) > 0 or self.count(task) >= QUARANTINE_CRASHES

    def has_reached_crash_limit(self, task: TaskName) -> bool:
        """Return whether a task has crashed too many runners to be started again."""
        return (
            self._count_start_crashes(task) >= START_CRASH_LIMIT or self.count(task) >= CRASH_LIMIT
        )

    def record_start(self, task: TaskName, run: int, runner: str) -> bool:
        """Record a start that is about to be sent; return whether to store it first.

        An owner may be lost between a start and the crash. Its successor counts the stored start
        as a crash if the runner is gone. Without that, each lost owner would let the task crash
        one more runner.
        """
        key = _task_key(task)
        if not self.incomplete and key not in self._runs_by_task:
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

    def _count_start_crashes(self, task: TaskName) -> int:
        runs = self._runs_by_task.get(_task_key(task), {})
        return sum(run.during_start for run in runs.values())


def _task_key(row: TaskName | CrashedRun | StoredStart) -> _TaskKey:
    return row.occurrence, row.step, row.index


def _run_sort_key(row: CrashedRun | StoredStart) -> tuple[int, int, int, int]:
    return row.occurrence, row.step, row.index, row.run
