"""A cell with runners and jobs for scenarios that start no process."""

from dandelionreel.cell.decisions import Cell, Planner
from dandelionreel.cell.decisions._preventive_stops import stop_on_draining_runners
from dandelionreel.cell.model import (
    AdvicePolicy,
    Configuration,
    Demand,
    EndedRun,
    JobSpec,
    Queue,
    Registration,
    RunnerView,
    RunningTask,
    RunOutcome,
    Service,
    StartReply,
    Step,
    Submission,
    TaskName,
)
from dandelionreel.cell.store import StoredJob

GANG_TIMEOUT = 3.0
START = 1000.0
CAPACITY = Demand(32_000, 65_536, 0)


def make_queue(name, priority=0, attempts=2, slack=1.5, latency=0.25, advice=None):
    """Return a queue of the service ``desk``."""
    policy = AdvicePolicy(*advice) if advice else None
    return Queue(name, 'h', f'/{name}/', 'desk', priority, attempts, slack, latency, 3.0, policy)


QUEUES = (
    make_queue('urgent'),
    make_queue('gangs', 1, 4, 2.2, 1.0),
    make_queue('batch', 2, 3, 4.0, 3.0),
    make_queue('advised', advice=(0.01, 0.0001, 2.0)),
)


def make_registration(
    runner, draining=False, labels=('a', 'r-1'), port=1, capacity=CAPACITY, zone='north'
):
    """Return the registration of a runner of the service ``desk``."""
    return Registration(runner, 'desk', '10.0.0.1', port, zone, capacity, labels, draining)


class SmallCell:
    """A cell with its planner and a simulated clock (``now``)."""

    def __init__(self, runners=('w1', 'w2'), epoch=1, queues=QUEUES, seen=True):
        self.now = START
        self.cell = Cell(epoch, GANG_TIMEOUT)
        self.cell.configuration = Configuration(1, queues, (Service('desk', False, False),), 9999)
        self.planner = Planner(self.cell)
        self.registration_by_id = {}
        self.allocations = []
        for number, runner in enumerate(runners):
            self.registration_by_id[runner] = make_registration(runner, port=number)
        self.update_runners()
        if seen:
            for runner in runners:
                self.poll(runner)

    def update_runners(self):
        """Pass the current registrations to the cell."""
        self.cell.update_runners(self.registration_by_id, self.now)
        for state in self.cell.runner_by_id.values():
            state.recorded = True

    def drain(self, runner):
        """Mark a runner as draining; it exits in 2 s at the earliest."""
        self.registration_by_id[runner] = make_registration(runner, draining=True)
        self.update_runners()
        return stop_on_draining_runners(self.cell, self.now)

    def add_job(self, job, steps, queue='urgent', age=0.0, progress=None, cancelled=False, zone=''):
        """Add a job as if read from the store; return it."""
        spec = JobSpec('payload', tuple(steps))
        submission = Submission(queue, 'desk', self.now - age, spec, zone)
        self.cell.update_job(StoredJob(job, submission, cancelled, progress), self.now, self.now)
        return self.cell.job_by_id[job]

    def cancel(self, job):
        """Cancel a job as if the cancellation was read from the store."""
        submission = self.cell.job_by_id[job].submission
        self.cell.update_job(StoredJob(job, submission, True, None), self.now, self.now)

    def plan(self, start=True):
        """Plan once and, with ``start``, confirm all starts."""
        plan = self.planner.plan(self.now, self.now)
        self.allocations.extend(plan.starts)
        for allocation in plan.starts if start else ():
            self.cell.handle_start_reply(allocation, StartReply.STARTED, self.now)
        return plan

    def poll(self, runner, running=(), ended=(), polled_at=None, complete=True):
        """Poll a runner that lists runs ``(task, run)`` and ends ``(number, task, run, outcome)``.

        Without ``complete``, the runner has more ends than it lists.
        """
        view = make_view(self.now, running, ended, complete)
        state = self.cell.runner_by_id[runner]
        return self.cell.handle_view(
            state, view, self.now if polled_at is None else polled_at, self.now
        )

    def runs_on(self, runner):
        """Return the keys ``(task, run)`` of the allocations on a runner."""
        return tuple(self.cell.runner_by_id[runner].allocation_by_run)

    def used(self, runner):
        """Return the millicores allocated on a runner."""
        return self.cell.runner_by_id[runner].used.cpu


def make_view(now, running=(), ended=(), complete=True):
    """Return the answer of a runner with runs and ends as in ``SmallCell.poll``."""
    running_tasks = tuple(RunningTask(name, run, '', 0, 0.0) for name, run in running)
    ends = []
    for number, name, run, outcome in ended:
        ends.append(EndedRun(number, name, run, RunOutcome(outcome), ''))
    return RunnerView(now, running_tasks, tuple(ends), complete)


def step(cpu=2000, count=1, seconds=0.5, **fields):
    """Return a step; by default one task of 2000 millicores for half a second."""
    return Step(count, Demand(cpu, 100, 0), seconds, **fields)


def task(job, index=0, step_number=0):
    """Return the name of a task."""
    return TaskName(job, 0, step_number, index)
