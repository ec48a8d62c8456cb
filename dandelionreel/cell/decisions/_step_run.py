"""State of one step: which of its tasks are done, placed or waiting. No I/O."""

import enum
from collections.abc import Iterator
from dataclasses import dataclass, field

from dandelionreel.cell.model import Demand, Step, StepName, TaskName

#: Digits of waiting and of done tasks.
ZERO = b'0'
ONE = b'1'


class TaskPhase(enum.Enum):
    """Phase of a task."""

    WAITING = 'waiting'
    PLACED = 'placed'
    DONE = 'done'


@dataclass
class TaskRun:
    """One task. While it is placed, its only current run is ``run`` on ``runner``."""

    name: TaskName
    phase: TaskPhase = TaskPhase.WAITING
    run: int = 0
    runner: str = ''
    checkpoint: str = ''
    failures: int = 0
    #: Runners on which the task failed; its next run is placed on another one if possible.
    avoid: set[str] = field(default_factory=set)
    #: Whether the task starts alone on a runner, since it may have caused crashes of its runners.
    quarantined: bool = False
    #: Earliest time of the next start (monotonic seconds), and the seconds that the pause before it
    #: lasts, after many crashes of its runners.
    not_before: float = float('-inf')
    pause_seconds: float = 0.0


class TaskList:
    """The tasks of one step, by index.

    Only tasks that were started, or looked at, are objects: a job may have far more tasks than the
    cell can run. Of a done task nothing else is kept.
    """

    def __init__(self, name: StepName, count: int, *, done: bool = False) -> None:
        """Create ``count`` tasks, all of them waiting or all of them ``done``."""
        self._name = name
        self._count = count
        self._active_by_index: dict[int, TaskRun] = {}
        #: A digit for each task from the first one on, 1 if it is done; empty while none is.
        self._done_digits = bytearray(ONE * count if done else b'')

    def __len__(self) -> int:
        """Return the number of all tasks."""
        return self._count

    def __getitem__(self, index: int) -> TaskRun:
        """Return a task; that of a done one is made anew each time."""
        known = self._active_by_index.get(index)
        if known is not None:
            return known
        if not 0 <= index < self._count:
            raise IndexError(index)
        name = TaskName(self._name.job, self._name.occurrence, self._name.step, index)
        if self._is_done(index):
            return TaskRun(name, TaskPhase.DONE)
        task = self._active_by_index[index] = TaskRun(name)
        return task

    def __iter__(self) -> Iterator[TaskRun]:
        """Iterate over all tasks."""
        return (self[index] for index in range(self._count))

    @property
    def done_mask(self) -> str:
        """Return the done tasks in hexadecimal; bit N is task N."""
        digits = bytes(reversed(self._done_digits))
        return f'{int(digits or ZERO, 2):x}'

    def active(self) -> tuple[TaskRun, ...]:
        """Return the tasks that are not done and were started or looked at."""
        return tuple(self._active_by_index.values())

    def waiting(self) -> Iterator[TaskRun]:
        """Iterate over the waiting tasks, which become objects one by one."""
        for index in range(self._count):
            if self._is_done(index):
                continue
            task = self[index]
            if task.phase is TaskPhase.WAITING:
                yield task

    def close(self, task: TaskRun) -> None:
        """Keep of a task only that it is done."""
        if not self._done_digits:
            self._done_digits = bytearray(ZERO * self._count)
        self._done_digits[task.name.index] = ord(ONE)
        self._active_by_index.pop(task.name.index, None)

    def _is_done(self, index: int) -> bool:
        return bool(self._done_digits) and self._done_digits[index] == ord(ONE)


class StepRun:
    """One step of one occurrence."""

    def __init__(self, name: StepName, step: Step, *, done: bool = False) -> None:
        """Create the step with all tasks waiting, or all of them ``done``."""
        self.name = name
        self.step = step
        self.tasks = TaskList(name, step.count, done=done)
        self.waiting = 0 if done else step.count
        self.done = step.count if done else 0
        #: How many times a task has been placed, released or finished.
        self.changes = 0
        #: Earliest time of the next start (monotonic seconds), after a runner rejected a start as
        #: invalid.
        self.not_before = 0.0

    @property
    def is_complete(self) -> bool:
        """Return whether every task is done."""
        return self.done == len(self.tasks)

    def place_task(self, task: TaskRun, runner: str, run: int) -> None:
        """Mark a waiting task as placed on ``runner`` with number ``run``."""
        task.phase = TaskPhase.PLACED
        task.runner = runner
        task.run = run
        self.waiting -= 1
        self.changes += 1

    def release_task(self, task: TaskRun) -> None:
        """Return a placed task to waiting."""
        task.phase = TaskPhase.WAITING
        task.runner = ''
        self.waiting += 1
        self.changes += 1

    def finish_task(self, task: TaskRun) -> None:
        """Mark a task as done, from any phase."""
        if task.phase is TaskPhase.DONE:
            return
        if task.phase is TaskPhase.WAITING:
            self.waiting -= 1
        task.phase = TaskPhase.DONE
        task.runner = ''
        self.tasks.close(task)
        self.done += 1
        self.changes += 1


def counted_demand(step: StepRun) -> Demand:
    """Return the capacity that a task of the step uses on a runner."""
    return step.step.counted_demand


def occupied_seconds(step: StepRun, expected: float) -> float:
    """Return for how many seconds a run of the step uses its capacity, infinite if it lasts."""
    return float('inf') if step.step.long_running else expected
