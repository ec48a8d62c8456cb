"""Jobs, runners and the allocations that link them. No I/O.

Every change to an allocation goes through this module.
"""

from dandelionreel.cell.decisions._allocation_index import AllocationIndex
from dandelionreel.cell.decisions._job_run import JobRun
from dandelionreel.cell.decisions._runner_state import Allocation, AllocationPhase, RunnerState
from dandelionreel.cell.decisions._step_run import StepRun, TaskPhase, TaskRun
from dandelionreel.cell.decisions._stop_queue import StopQueue
from dandelionreel.cell.model import TaskName


class AllocationTable:
    """All allocations of a cell, by job and by runner."""

    def __init__(self) -> None:
        """Start without jobs and runners."""
        self.job_by_id: dict[str, JobRun] = {}
        #: Jobs that may still have tasks to start.
        self.unfinished_job_by_id: dict[str, JobRun] = {}
        self.runner_by_id: dict[str, RunnerState] = {}
        #: Ids of jobs whose progress may have to be written to the store.
        self.dirty: set[str] = set()
        self._index = AllocationIndex()
        #: Total demand of the runs of each client account.
        self.usage = self._index.usage
        self._stops = StopQueue()

    def add_allocation(self, runner: RunnerState, allocation: Allocation) -> None:
        """Add an allocation to its runner and its job."""
        self._index.add_allocation(runner, allocation)

    def remove_allocation(self, runner: RunnerState, allocation: Allocation) -> JobRun | None:
        """Remove the allocation of a finished run; return its job, ``None`` if unknown."""
        self._index.remove_allocation(runner, allocation)
        job = self.job_by_id.get(allocation.task.job)
        if job is not None:
            job.record_ended_run(allocation.task, allocation.run)
            self.dirty.add(job.id)
        return job

    def drop_lost_run(self, runner: RunnerState, allocation: Allocation) -> None:
        """Remove a run that is known to be gone but whose end was never listed."""
        job = self.remove_allocation(runner, allocation)
        found = None if job is None else job.find_task(allocation.task)
        if found is None:
            return
        step, task = found
        if allocation.checkpoint and task.phase is not TaskPhase.DONE:
            task.checkpoint = allocation.checkpoint
        if not is_current_run(task, allocation.runner, allocation.run):
            return
        step.release_task(task)
        if step.step.gang:
            self.stop_gang_members(step)

    def drop_all_lost_runs(self, runner: RunnerState) -> None:
        """Remove all runs of a runner that was lost before it listed their ends."""
        for allocation in tuple(runner.allocation_by_run.values()):
            self.drop_lost_run(runner, allocation)

    def find_task(self, name: TaskName) -> tuple[StepRun, TaskRun] | None:
        """Return a task with its step, ``None`` if the task is unknown."""
        job = self.job_by_id.get(name.job)
        return None if job is None else job.find_task(name)

    def find_allocation(self, task: TaskRun) -> Allocation | None:
        """Return the allocation of a placed task, ``None`` if there is none."""
        runner = self.runner_by_id.get(task.runner)
        if runner is None:
            return None
        return runner.allocation_by_run.get((task.name, task.run))

    def step_of(self, allocation: Allocation) -> StepRun | None:
        """Return the step of an allocation, ``None`` if its job is unknown."""
        job = self.job_by_id.get(allocation.task.job)
        return None if job is None else job.find_step(allocation.task)

    def confirm_start(self, allocation: Allocation, now: float) -> None:
        """Note that the runner has confirmed a start."""
        if allocation.phase is not AllocationPhase.STARTING:
            return
        allocation.phase = AllocationPhase.RUNNING
        allocation.started_at = now
        allocation.order_answered_at = now
        self.mark_job_started(allocation.task.job)

    def mark_job_started(self, job_id: str) -> None:
        """Note that the first task of a job has started."""
        job = self.job_by_id.get(job_id)
        if job is not None and not job.has_started:
            job.mark_started()
            self.dirty.add(job.id)

    def stop_run(self, allocation: Allocation) -> None:
        """Request a stop of a run; its allocation stays until the run is known to be gone."""
        self._stops.add(allocation)

    def repeat_stop(self, allocation: Allocation, polled_at: float) -> None:
        """Stop a run again if a poll that was sent at ``polled_at`` should no longer list it."""
        self._stops.repeat(allocation, polled_at)

    def stop_gang_members(self, step: StepRun) -> None:
        """Stop all placed members of a gang."""
        for task in step.tasks.active():
            allocation = self.find_allocation(task) if task.phase is TaskPhase.PLACED else None
            if allocation is not None:
                self.stop_run(allocation)

    def stop_job(self, job_id: str) -> None:
        """Stop all runs of a job."""
        for allocation in self._index.of_job(job_id):
            self.stop_run(allocation)

    def allocations_of_job(self, job_id: str) -> list[Allocation]:
        """Return all allocations of a job, over all runners."""
        return self._index.of_job(job_id)

    def take_stops(self) -> list[Allocation]:
        """Return the stops to send; each is returned only once."""
        return self._stops.take_all()


def is_current_run(task: TaskRun, runner: str, run: int) -> bool:
    """Return whether a run is the current run of its task."""
    return task.phase is TaskPhase.PLACED and task.runner == runner and task.run == run
