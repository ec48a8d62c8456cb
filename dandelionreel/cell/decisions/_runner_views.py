"""What a poll at a runner changes: runs that are at work, ends, and runs that are gone. No I/O."""

from collections.abc import Callable
from dataclasses import dataclass, field

from dandelionreel.cell.decisions._allocation_table import AllocationTable, is_current
from dandelionreel.cell.decisions._crashes import Crash
from dandelionreel.cell.decisions._ledger import NEVER, Allocation, Holding, RunnerState
from dandelionreel.cell.decisions._losses import Losses
from dandelionreel.cell.decisions._runs import JobRun
from dandelionreel.cell.decisions._step_runs import Phase, StepRun, TaskRun, counted_demand
from dandelionreel.cell.model import (
    Demand,
    EndedRun,
    JobState,
    Outcome,
    Queue,
    RunnerView,
    RunningTask,
    TaskName,
)


@dataclass
class PollEffect:
    """What a poll at a runner has changed."""

    ended: list[tuple[EndedRun, Allocation | None]] = field(default_factory=list)
    adopted: int = 0
    lost: list[Allocation] = field(default_factory=list)
    crashes: list[Crash] = field(default_factory=list)

    @property
    def is_news(self) -> bool:
        """Return whether something may start or has to stop because of it; most polls only renew
        leases.
        """
        return bool(self.ended or self.adopted or self.lost or self.crashes)


class RunnerViews:
    """Takes what runners list."""

    def __init__(
        self,
        allocations: AllocationTable,
        losses: Losses,
        unreadable_jobs: set[str],
        queue_of: Callable[[JobRun], Queue | None],
    ) -> None:
        """Change ``holdings``; others keep ``unreadable_jobs``."""
        self._allocations = allocations
        self._losses = losses
        self._unreadable_jobs = unreadable_jobs
        self._queue_of = queue_of

    def take(self, runner: RunnerState, view: RunnerView, asked: float, now: float) -> PollEffect:
        """Take all that a runner lists; ``asked`` is when the look was sent."""
        effect = PollEffect()
        if runner.answered_at == NEVER or runner.suspect:
            effect.crashes = self._losses.note_answer(runner)
        runner.note_clock(view.clock, now)
        runner.answered_at = now
        runner.suspect = False
        runner.missed = False
        runner.readable_through = view.readable_through
        for ended in view.ended:
            if ended.number <= runner.noted:
                continue
            runner.noted = ended.number
            if ended.task.job in self._unreadable_jobs:
                runner.keep_end(ended.number)
            effect.ended.append((ended, self._take_end(runner, ended)))
        listed = set()
        for running in view.running:
            listed.add((running.task, running.run))
            effect.adopted += self._take_running(runner, running, asked, now)
        if view.complete:
            self._lose_unlisted(runner, listed, asked, effect)
        return effect

    def _lose_unlisted(
        self,
        runner: RunnerState,
        listed: set[tuple[TaskName, int]],
        asked: float,
        effect: PollEffect,
    ) -> None:
        """Drop what a complete view does not list.

        In any other, a run that is not listed may be among the ends that are not, or its
        row may not be readable: taken for gone, its task would start again.
        """
        for allocation in tuple(runner.allocation_by_run.values()):
            if (allocation.task, allocation.run) in listed or allocation.settled_at is None:
                continue
            # A poll that was under way when the order was answered may have
            # been listed before the order took effect.
            if asked > allocation.settled_at:
                effect.lost.append(allocation)
                self._allocations.drop_lost(runner, allocation)

    def _take_end(self, runner: RunnerState, ended: EndedRun) -> Allocation | None:
        allocations = self._allocations
        allocation = runner.allocation_by_run.get((ended.task, ended.run))
        job = allocations.job_by_id.get(ended.task.job)
        if allocation is not None:
            allocations.free(runner, allocation)
        found = None if job is None else job.find(ended.task)
        if job is None or found is None:
            return allocation
        step, task = found
        if ended.checkpoint and task.phase is not Phase.DONE:
            task.checkpoint = ended.checkpoint
        if ended.outcome is Outcome.DONE and not step.step.long_running:
            self._take_done(job, step, ended)
            return allocation
        if ended.outcome is Outcome.FAILED:
            self._take_failed(job, task, runner, ended)
        if is_current(task, runner.id, ended.run):
            step.release(task)
            if step.step.gang:
                allocations.stop_members(step)
        return allocation

    def _take_failed(
        self,
        job: JobRun,
        task: TaskRun,
        runner: RunnerState,
        ended: EndedRun,
    ) -> None:
        queue = self._queue_of(job)
        task.avoid.add(runner.id)
        job.note_failed(ended.task, ended.run, queue.max_attempts if queue else 1)
        self._allocations.dirty.add(job.id)
        if job.state is JobState.FAILED:
            self._allocations.stop_job(job.id)

    def _take_done(self, job: JobRun, step: StepRun, ended: EndedRun) -> None:
        allocations = self._allocations
        members = step.tasks if step.step.gang else [step.tasks[ended.task.index]]
        for member in members:
            current = allocations.find_allocation(member) if member.phase is Phase.PLACED else None
            # Members of the gang that is done end by themselves; a later run
            # of the same task must not go on.
            if current is not None and current.run != ended.run:
                allocations.stop(current)
        job.note_done(ended.task)
        allocations.dirty.add(job.id)

    def _take_running(
        self,
        runner: RunnerState,
        running: RunningTask,
        asked: float,
        now: float,
    ) -> int:
        allocation = runner.allocation_by_run.get((running.task, running.run))
        if allocation is None:
            self._adopt(runner, running, now)
            return 1
        allocation.percent = running.percent
        allocation.gauge = running.gauge
        allocation.checkpoint = running.checkpoint or allocation.checkpoint
        self._allocations.confirm_start(allocation, now)
        self._allocations.repeat_stop(allocation, asked)
        return 0

    def _adopt(self, runner: RunnerState, running: RunningTask, now: float) -> None:
        """Count a run that an earlier owner started, and keep it if it is wanted."""
        allocations = self._allocations
        job = allocations.job_by_id.get(running.task.job)
        found = None if job is None else job.find(running.task)
        account = '' if job is None else job.account
        allocation = _make_adopted(runner, running, now, found, account)
        allocations.hold(runner, allocation)
        if job is None or found is None:
            allocations.stop(allocation)
            return
        step, task = found
        if job.over or task.phase is Phase.DONE:
            allocations.stop(allocation)
            return
        if task.phase is Phase.PLACED:
            if task.run > running.run:
                allocations.stop(allocation)
                return
            current = allocations.find_allocation(task)
            step.release(task)
            if current is not None:
                allocations.stop(current)
        step.place(task, runner.id, running.run)
        allocations.note_began(job.id)


def _make_adopted(
    runner: RunnerState,
    running: RunningTask,
    now: float,
    found: tuple[StepRun, TaskRun] | None,
    account: str,
) -> Allocation:
    return Allocation(
        running.task,
        running.run,
        runner.id,
        Demand() if found is None else counted_demand(found[0]),
        now,
        phase=Holding.RUNNING,
        started_at=now,
        settled_at=now,
        percent=running.percent,
        gauge=running.gauge,
        checkpoint=running.checkpoint,
        expected=0.0 if found is None else found[0].step.estimate,
        known=found is not None,
        account=account,
    )
