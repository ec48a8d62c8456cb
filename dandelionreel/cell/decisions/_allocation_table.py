"""Jobs, runners and the runs that tie them; every change to a run goes through here. No I/O."""

from dandelionreel.cell.decisions._job_runs import JobRuns
from dandelionreel.cell.decisions._ledger import Allocation, Holding, RunnerState
from dandelionreel.cell.decisions._runs import JobRun
from dandelionreel.cell.decisions._step_runs import Phase, StepRun, TaskRun
from dandelionreel.cell.decisions._stops import Stops
from dandelionreel.cell.model import TaskName


class AllocationTable:
    """What is held where, by job and by runner."""

    def __init__(self) -> None:
        """Start empty."""
        self.job_by_id: dict[str, JobRun] = {}
        #: The jobs of which something may still have to start.
        self.live_by_id: dict[str, JobRun] = {}
        self.runner_by_id: dict[str, RunnerState] = {}
        #: Jobs whose progress may have to be stored.
        self.dirty: set[str] = set()
        self._runs = JobRuns()
        #: What the runs of each client account take together.
        self.usage = self._runs.usage
        self._stops = Stops()

    def hold(self, runner: RunnerState, allocation: Allocation) -> None:
        """Count a run on its runner and for its job."""
        self._runs.hold(runner, allocation)

    def free(self, runner: RunnerState, allocation: Allocation) -> JobRun | None:
        """Stop counting a run that is over; return its job, ``None`` where it is not known."""
        self._runs.free(runner, allocation)
        job = self.job_by_id.get(allocation.task.job)
        if job is not None:
            job.note_run_over(allocation.task, allocation.run)
            self.dirty.add(job.id)
        return job

    def drop_lost(self, runner: RunnerState, allocation: Allocation) -> None:
        """Drop a run that is known to be gone without an end."""
        job = self.free(runner, allocation)
        found = None if job is None else job.find(allocation.task)
        if found is None:
            return
        step, task = found
        if allocation.checkpoint and task.phase is not Phase.DONE:
            task.checkpoint = allocation.checkpoint
        if not is_current(task, allocation.runner, allocation.run):
            return
        step.release(task)
        if step.step.gang:
            self.stop_members(step)

    def drop_all_lost(self, runner: RunnerState) -> None:
        """Drop all that a runner held: it is gone without an end."""
        for allocation in tuple(runner.allocation_by_run.values()):
            self.drop_lost(runner, allocation)

    def find(self, name: TaskName) -> tuple[StepRun, TaskRun] | None:
        """Return a task with its step, ``None`` where it is not known."""
        job = self.job_by_id.get(name.job)
        return None if job is None else job.find(name)

    def find_allocation(self, task: TaskRun) -> Allocation | None:
        """Return the allocation of a placed task."""
        runner = self.runner_by_id.get(task.runner)
        if runner is None:
            return None
        return runner.allocation_by_run.get((task.name, task.run))

    def step_of(self, allocation: Allocation) -> StepRun | None:
        """Return the step of an allocation, ``None`` where its job is not known."""
        job = self.job_by_id.get(allocation.task.job)
        return None if job is None else job.find_step(allocation.task)

    def confirm_start(self, allocation: Allocation, now: float) -> None:
        """Note that a run is known to be at work."""
        if allocation.phase is not Holding.STARTING:
            return
        allocation.phase = Holding.RUNNING
        allocation.started_at = now
        allocation.settled_at = now
        self.note_began(allocation.task.job)

    def note_began(self, job_id: str) -> None:
        """Note that a first task of a job runs."""
        job = self.job_by_id.get(job_id)
        if job is not None and not job.began:
            job.note_began()
            self.dirty.add(job.id)

    def stop(self, allocation: Allocation) -> None:
        """Have a run stopped; it counts until it is known to be gone."""
        self._stops.order(allocation)

    def repeat_stop(self, allocation: Allocation, asked: float) -> None:
        """Have a run stopped once more that a poll sent at ``asked`` should not list."""
        self._stops.repeat(allocation, asked)

    def stop_members(self, step: StepRun) -> None:
        """Stop all members of a gang that are placed."""
        for task in step.tasks:
            allocation = self.find_allocation(task) if task.phase is Phase.PLACED else None
            if allocation is not None:
                self.stop(allocation)

    def stop_job(self, job_id: str) -> None:
        """Stop all that runs of a job."""
        for allocation in self._runs.of_job(job_id):
            self.stop(allocation)

    def allocations_of_job(self, job_id: str) -> list[Allocation]:
        """Return all that is held for a job, on whichever runner."""
        return self._runs.of_job(job_id)

    def take_stops(self) -> list[Allocation]:
        """Return the runs that must be told to stop, once."""
        return self._stops.take()


def is_current(task: TaskRun, runner: str, run: int) -> bool:
    """Return whether a run is the one of its task that counts."""
    return task.phase is Phase.PLACED and task.runner == runner and task.run == run
