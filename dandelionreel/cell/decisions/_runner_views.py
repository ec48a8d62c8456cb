"""Applies the answers to runner polls: running, ended and missing runs. No I/O."""

from collections.abc import Callable
from dataclasses import dataclass, field

from dandelionreel.cell.decisions._allocation_table import AllocationTable, is_current_run
from dandelionreel.cell.decisions._crashes import Crash
from dandelionreel.cell.decisions._job_run import JobRun
from dandelionreel.cell.decisions._runner_losses import RunnerLosses
from dandelionreel.cell.decisions._runner_state import (
    NEVER,
    Allocation,
    AllocationPhase,
    RunnerState,
)
from dandelionreel.cell.decisions._step_run import StepRun, TaskPhase, TaskRun, counted_demand
from dandelionreel.cell.model import (
    Demand,
    EndedRun,
    JobState,
    Queue,
    RunnerView,
    RunningTask,
    RunOutcome,
    TaskName,
)


@dataclass
class PollEffect:
    """Changes made by a poll answer.

    ``ended`` has the allocation of each ended run, if there was one. ``adopted`` counts the runs
    taken over from earlier owners.
    """

    ended: list[tuple[EndedRun, Allocation | None]] = field(default_factory=list)
    adopted: int = 0
    lost: list[Allocation] = field(default_factory=list)
    crashes: list[Crash] = field(default_factory=list)

    @property
    def has_changes(self) -> bool:
        """Return whether the answer shows a change, so that runs may start or must stop.

        Most polls only renew leases.
        """
        return bool(self.ended or self.adopted or self.lost or self.crashes)


class RunnerViewHandler:
    """Updates jobs and allocations from the poll answers of runners."""

    def __init__(
        self,
        allocations: AllocationTable,
        losses: RunnerLosses,
        unreadable_jobs: set[str],
        queue_of: Callable[[JobRun], Queue | None],
    ) -> None:
        """Update ``allocations``; the caller maintains ``unreadable_jobs``."""
        self._allocations = allocations
        self._losses = losses
        self._unreadable_jobs = unreadable_jobs
        self._queue_of = queue_of

    def apply(
        self, runner: RunnerState, view: RunnerView, polled_at: float, now: float
    ) -> PollEffect:
        """Apply a poll answer; ``polled_at`` is when the poll was sent."""
        effect = PollEffect()
        if runner.answered_at == NEVER or runner.suspect:
            effect.crashes = self._losses.handle_first_answer(runner)
        runner.record_clock(view.clock, now)
        runner.answered_at = now
        runner.suspect = False
        runner.missed_last_poll = False
        runner.broken_at = None
        runner.readable_through = view.readable_through
        for ended in view.ended:
            if ended.number <= runner.processed_end:
                continue
            runner.processed_end = ended.number
            if ended.task.job in self._unreadable_jobs:
                runner.withhold_acknowledgement(ended.number)
            effect.ended.append((ended, self._apply_ended_run(runner, ended)))
        listed_runs = set()
        for running in view.running:
            listed_runs.add((running.task, running.run))
            effect.adopted += self._apply_running_task(runner, running, polled_at, now)
        if view.complete:
            self._drop_unlisted_runs(runner, listed_runs, polled_at, effect)
        return effect

    def _drop_unlisted_runs(
        self,
        runner: RunnerState,
        listed_runs: set[tuple[TaskName, int]],
        polled_at: float,
        effect: PollEffect,
    ) -> None:
        """Drop allocations that a complete view does not list.

        In an incomplete view, a missing run may be among the ends that are not listed, or its row
        may be unreadable. If it were dropped, its task would be started again.
        """
        for allocation in tuple(runner.allocation_by_run.values()):
            if (
                allocation.task,
                allocation.run,
            ) in listed_runs or allocation.order_answered_at is None:
                continue
            # The answer to a poll that was in flight when the start or stop was answered may
            # show the state before it took effect.
            if polled_at > allocation.order_answered_at:
                effect.lost.append(allocation)
                self._allocations.drop_lost_run(runner, allocation)

    def _apply_ended_run(self, runner: RunnerState, ended: EndedRun) -> Allocation | None:
        allocations = self._allocations
        allocation = runner.allocation_by_run.get((ended.task, ended.run))
        job = allocations.job_by_id.get(ended.task.job)
        if allocation is not None:
            allocations.remove_allocation(runner, allocation)
        found = None if job is None else job.find_task(ended.task)
        if job is None or found is None:
            return allocation
        step, task = found
        if ended.checkpoint and task.phase is not TaskPhase.DONE:
            task.checkpoint = ended.checkpoint
        if ended.outcome is RunOutcome.DONE and not step.step.long_running:
            self._apply_done_run(job, step, ended)
            return allocation
        if ended.outcome is RunOutcome.FAILED:
            self._apply_failed_run(job, task, runner, ended)
        if is_current_run(task, runner.id, ended.run):
            step.release_task(task)
            if step.step.gang:
                allocations.stop_gang_members(step)
        return allocation

    def _apply_failed_run(
        self,
        job: JobRun,
        task: TaskRun,
        runner: RunnerState,
        ended: EndedRun,
    ) -> None:
        queue = self._queue_of(job)
        task.avoid.add(runner.id)
        job.record_failed_run(ended.task, ended.run, queue.max_attempts if queue else 1)
        self._allocations.dirty.add(job.id)
        if job.state is JobState.FAILED:
            self._allocations.stop_job(job.id)

    def _apply_done_run(self, job: JobRun, step: StepRun, ended: EndedRun) -> None:
        allocations = self._allocations
        members = step.tasks if step.step.gang else [step.tasks[ended.task.index]]
        for member in members:
            current = (
                allocations.find_allocation(member) if member.phase is TaskPhase.PLACED else None
            )
            # Members of the successful gang run end by themselves; a later run of the same task
            # must be stopped.
            if current is not None and current.run != ended.run:
                allocations.stop_run(current)
        job.mark_task_done(ended.task)
        allocations.dirty.add(job.id)

    def _apply_running_task(
        self,
        runner: RunnerState,
        running: RunningTask,
        polled_at: float,
        now: float,
    ) -> int:
        allocation = runner.allocation_by_run.get((running.task, running.run))
        if allocation is None:
            self._adopt_run(runner, running, now)
            return 1
        allocation.percent = running.percent
        allocation.gauge = running.gauge
        if running.checkpoint and running.checkpoint != allocation.checkpoint:
            allocation.checkpoint = running.checkpoint
            allocation.checkpoint_at = now
        self._allocations.confirm_start(allocation, now)
        self._allocations.repeat_stop(allocation, polled_at)
        return 0

    def _adopt_run(self, runner: RunnerState, running: RunningTask, now: float) -> None:
        """Allocate a run that an earlier owner started; stop it if its task needs no such run."""
        allocations = self._allocations
        job = allocations.job_by_id.get(running.task.job)
        found = None if job is None else job.find_task(running.task)
        account = '' if job is None else job.account
        allocation = _make_adopted_allocation(runner, running, now, found, account)
        allocations.add_allocation(runner, allocation)
        if job is None or found is None:
            allocations.stop_run(allocation)
            return
        step, task = found
        if job.is_finished or task.phase is TaskPhase.DONE:
            allocations.stop_run(allocation)
            return
        if task.phase is TaskPhase.PLACED:
            if task.run > running.run:
                allocations.stop_run(allocation)
                return
            current = allocations.find_allocation(task)
            step.release_task(task)
            if current is not None:
                allocations.stop_run(current)
        step.place_task(task, runner.id, running.run)
        allocations.mark_job_started(job.id)


def _make_adopted_allocation(
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
        phase=AllocationPhase.RUNNING,
        started_at=now,
        order_answered_at=now,
        percent=running.percent,
        gauge=running.gauge,
        checkpoint=running.checkpoint,
        expected=0.0 if found is None else found[0].step.estimate,
        long_running=found is not None and found[0].step.long_running,
        demand_known=found is not None,
        account=account,
    )
