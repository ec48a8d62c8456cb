"""State of one step: which of its tasks are done, placed or waiting. No I/O."""

import enum
from dataclasses import dataclass, field

from dandelionreel.cell.model import Demand, Step, StepName, TaskName


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


class StepRun:
    """One step of one occurrence."""

    def __init__(self, name: StepName, step: Step) -> None:
        """Create the step with all tasks waiting."""
        self.name = name
        self.step = step
        self.tasks = [
            TaskRun(TaskName(name.job, name.occurrence, name.step, index))
            for index in range(step.count)
        ]
        self.waiting = step.count
        self.done = 0
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
        self.done += 1
        self.changes += 1


def counted_demand(step: StepRun) -> Demand:
    """Return the capacity that a task of the step uses on a runner."""
    return step.step.counted_demand


def occupied_seconds(step: StepRun, expected: float) -> float:
    """Return for how many seconds a run of the step uses its capacity, infinite if it lasts."""
    return float('inf') if step.step.long_running else expected
