"""The tasks of one step: which of them are done, running or waiting. No I/O."""

import enum
from dataclasses import dataclass, field

from dandelionreel.cell.model import Demand, Step, StepName, TaskName


class TaskPhase(enum.Enum):
    """Where a task stands."""

    WAITING = 'waiting'
    PLACED = 'placed'
    DONE = 'done'


@dataclass
class TaskRun:
    """One task. While placed, ``run`` on ``runner`` is its only run that counts."""

    name: TaskName
    phase: TaskPhase = TaskPhase.WAITING
    run: int = 0
    runner: str = ''
    checkpoint: str = ''
    failures: int = 0
    #: Runners on which it failed: the next run goes elsewhere if it can.
    avoid: set[str] = field(default_factory=set)
    #: Whether it starts by itself: runners have crashed under it, and it may be the cause.
    quarantined: bool = False


class StepRun:
    """One step of one occurrence."""

    def __init__(self, name: StepName, step: Step) -> None:
        """Start with all tasks waiting."""
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
        #: A start of this step is not tried again before then.
        self.not_before = 0.0

    @property
    def complete(self) -> bool:
        """Return whether every task is done."""
        return self.done == len(self.tasks)

    def place(self, task: TaskRun, runner: str, run: int) -> None:
        """Note that ``run`` of a waiting task is on its way to ``runner``."""
        task.phase = TaskPhase.PLACED
        task.runner = runner
        task.run = run
        self.waiting -= 1
        self.changes += 1

    def release(self, task: TaskRun) -> None:
        """Let a placed task wait again."""
        task.phase = TaskPhase.WAITING
        task.runner = ''
        self.waiting += 1
        self.changes += 1

    def finish(self, task: TaskRun) -> None:
        """Note that a task is done, wherever it stood."""
        if task.phase is TaskPhase.DONE:
            return
        if task.phase is TaskPhase.WAITING:
            self.waiting -= 1
        task.phase = TaskPhase.DONE
        task.runner = ''
        self.done += 1
        self.changes += 1


def counted_demand(step: StepRun) -> Demand:
    """Return what a task of the step takes from a runner's room."""
    return step.step.counted_demand
