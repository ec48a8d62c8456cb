"""Decides which tasks crash their runners, and when to give one up. No I/O.

Load pattern: a task crashes each runner that starts it. A crashed runner reports nothing, so by
failed runs alone the task would start for ever. Most tasks on a runner that crashes are not the
cause. Two signs tell the culprit: its start was still unanswered when the connections broke, and it
crashes a runner on which nothing else starts.
"""

from dataclasses import dataclass

from dandelionreel.cell.model import CrashedRun, StoredStart, TaskName

#: Crashes right at its start after which a task is given up. After the first one it starts alone,
#: so the second one is no chance.
START_CRASH_LIMIT = 2
#: Crashes of any kind after which it is given up, as one that crashes its runner late is never
#: caught at its start.
CRASH_LIMIT = 3
#: Crashes of any kind after which a task is quarantined.
QUARANTINE_CRASHES = 2
#: Seconds after which a run is no cause of its runner's crash, and clears its task of earlier ones.
HEALTHY_SECONDS = 20.0

_TaskKey = tuple[int, int, int]


@dataclass(frozen=True)
class Crash:
    """A runner has crashed under a run; ``during_start`` as ``CrashedRun`` says.

    ``count`` are all crashes under its task, ``given_up`` says whether it was the last one.
    """

    task: TaskName
    run: int
    runner: str
    during_start: bool
    count: int
    given_up: bool


class JobCrashes:
    """The crashes of runners under one job's tasks, each counted once by its run."""

    def __init__(self) -> None:
        """Start with none."""
        self._runs_by_task: dict[_TaskKey, dict[int, CrashedRun]] = {}
        self._start_by_task: dict[_TaskKey, StoredStart] = {}
        #: Whether a runner of the job was lost with a former owner: what it had started
        #: there, and whether the runner crashed under it, is not known.
        self.incomplete = False

    @property
    def crashed(self) -> tuple[CrashedRun, ...]:
        """Return all runs that count, as they are stored."""
        found = [run for runs in self._runs_by_task.values() for run in runs.values()]
        return tuple(sorted(found, key=_sort_key))

    @property
    def starts(self) -> tuple[StoredStart, ...]:
        """Return the starts under way that are stored one by one."""
        return tuple(sorted(self._start_by_task.values(), key=_sort_key))

    def restore(
        self,
        crashed: tuple[CrashedRun, ...],
        starts: tuple[StoredStart, ...],
    ) -> None:
        """Take what an earlier owner has stored."""
        for run in crashed:
            self._runs_by_task.setdefault(_key(run), {})[run.run] = run
        for start in starts:
            self._start_by_task[_key(start)] = start

    def record_crash(self, task: TaskName, run: int, *, during_start: bool) -> bool:
        """Count a crash under a run; return whether it is news."""
        key = _key(task)
        runs = self._runs_by_task.setdefault(key, {})
        if run in runs:
            return False
        runs[run] = CrashedRun(*key, run, during_start)
        return True

    def clear(self, task: TaskName) -> bool:
        """Forget the crashes under a task that is no cause of any; return whether it had one."""
        return bool(self._runs_by_task.pop(_key(task), None))

    def count(self, task: TaskName) -> int:
        """Return how many runners have crashed under a task."""
        return len(self._runs_by_task.get(_key(task), ()))

    def is_quarantined(self, task: TaskName) -> bool:
        """Return whether a task is to start by itself, as it may crash the next runner too."""
        return self._count_start_crashes(task) > 0 or self.count(task) >= QUARANTINE_CRASHES

    def is_given_up(self, task: TaskName) -> bool:
        """Return whether a task has crashed so many runners that it is not started again."""
        return (
            self._count_start_crashes(task) >= START_CRASH_LIMIT or self.count(task) >= CRASH_LIMIT
        )

    def record_start(self, task: TaskName, run: int, runner: str) -> bool:
        """Note a start that is about to be sent; return whether it is to be stored before.

        An owner may be lost between a start and the crash. A successor that finds the
        runner gone counts the start that stands in the store; else each owner that is lost
        would give the task one runner more.
        """
        key = _key(task)
        if not self.incomplete and key not in self._runs_by_task:
            return False
        self._start_by_task[key] = StoredStart(*key, run, runner)
        return True

    def record_run_end(self, task: TaskName, run: int) -> bool:
        """Note that a run has ended, however; return whether its start was stored."""
        start = self._start_by_task.get(_key(task))
        if start is None or start.run != run:
            return False
        self._start_by_task.pop(_key(task))
        return True

    def started_on(self, runner: str) -> list[StoredStart]:
        """Return the starts on a runner of which the store tells."""
        return [start for start in self._start_by_task.values() if start.runner == runner]

    def _count_start_crashes(self, task: TaskName) -> int:
        runs = self._runs_by_task.get(_key(task), {})
        return sum(run.during_start for run in runs.values())


def _key(row: TaskName | CrashedRun | StoredStart) -> _TaskKey:
    return row.occurrence, row.step, row.index


def _sort_key(row: CrashedRun | StoredStart) -> tuple[int, int, int, int]:
    return row.occurrence, row.step, row.index, row.run
