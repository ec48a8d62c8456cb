"""The tasks of one step: which of them are done, running or waiting. No I/O."""

import enum
from dataclasses import dataclass, field

from dandelionreel.cell.model import Demand, Step, StepName, TaskName


class Phase(enum.Enum):
    """Where a task stands."""

    WAITING = 'waiting'
    PLACED = 'placed'
    DONE = 'done'


@dataclass
class TaskRun:
    """One task. While placed, ``run`` on ``runner`` is its only run that counts."""

    name: TaskName
    phase: Phase = Phase.WAITING
    run: int = 0
    runner: str = ''
    checkpoint: str = ''
    failures: int = 0
    #: Runners on which it failed: the next run goes elsewhere if it can.
    avoid: set[str] = field(default_factory=set)
    #: Whether it starts by itself: runners have crashed under it, and it may be the cause.
    quarantined: bool = False


@dataclass
class ChangeCount:
    """How many times tasks of a job have been placed, released or finished."""

    count: int = 0


class StepRun:
    """One step of one occurrence."""

    def __init__(self, name: StepName, step: Step, changes: ChangeCount) -> None:
        """Start with all tasks waiting; each change of one is counted in ``changes``."""
        self.name = name
        self.step = step
        self.tasks = [
            TaskRun(TaskName(name.job, name.occurrence, name.step, index))
            for index in range(step.count)
        ]
        self.waiting = step.count
        self.done = 0
        #: A start of this step is not tried again before then.
        self.not_before = 0.0
        self._changes = changes

    @property
    def complete(self) -> bool:
        """Return whether every task is done."""
        return self.done == len(self.tasks)

    def place(self, task: TaskRun, runner: str, run: int) -> None:
        """Note that ``run`` of a waiting task is on its way to ``runner``."""
        task.phase = Phase.PLACED
        task.runner = runner
        task.run = run
        self.waiting -= 1
        self._changes.count += 1

    def release(self, task: TaskRun) -> None:
        """Let a placed task wait again."""
        task.phase = Phase.WAITING
        task.runner = ''
        self.waiting += 1
        self._changes.count += 1

    def finish(self, task: TaskRun) -> None:
        """Note that a task is done, wherever it stood."""
        if task.phase is Phase.DONE:
            return
        if task.phase is Phase.WAITING:
            self.waiting -= 1
        task.phase = Phase.DONE
        task.runner = ''
        self.done += 1
        self._changes.count += 1


def counted_demand(step: StepRun) -> Demand:
    """Return what a task of the step takes from a runner's room."""
    return step.step.counted_demand
