"""A cell with runners and jobs, for scenarios that need no process."""

from dandelionreel.cell.decisions import Cell, Planner
from dandelionreel.cell.decisions._preventive_stops import stop_on_draining_runners
from dandelionreel.cell.model import (
    AdvicePolicy,
    Configuration,
    Demand,
    EndedRun,
    JobSpec,
    Outcome,
    Queue,
    Registration,
    RunnerView,
    RunningTask,
    Service,
    StartReply,
    Step,
    Submission,
    TaskName,
)
from dandelionreel.cell.store import BookedJob

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
    """Return the entry of a runner of ``desk``."""
    return Registration(runner, 'desk', '10.0.0.1', port, zone, capacity, labels, draining)


class SmallCell:
    """A cell, its planner and a clock that moves only when told to."""

    def __init__(self, runners=('w1', 'w2'), epoch=1, queues=QUEUES, seen=True):
        self.now = START
        self.cell = Cell(epoch, GANG_TIMEOUT)
        self.cell.configuration = Configuration(1, queues, (Service('desk', False, False),), 9999)
        self.planner = Planner(self.cell)
        self.registration_by_id = {}
        self.allocations = []
        for number, runner in enumerate(runners):
            self.registration_by_id[runner] = make_registration(runner, port=number)
        self.see_runners()
        if seen:
            for runner in runners:
                self.poll(runner)

    def see_runners(self):
        """Pass the list of runners on."""
        self.cell.see_runners(self.registration_by_id, self.now)
        for state in self.cell.runner_by_id.values():
            state.recorded = True

    def drain(self, runner):
        """Let a runner say that it will leave, in 2 s at the earliest."""
        self.registration_by_id[runner] = make_registration(runner, draining=True)
        self.see_runners()
        return stop_on_draining_runners(self.cell, self.now)

    def add_job(self, job, steps, queue='urgent', age=0.0, progress=None, cancelled=False, zone=''):
        """Take a job as the store tells it."""
        spec = JobSpec('payload', tuple(steps))
        submission = Submission(queue, 'desk', self.now - age, spec, zone)
        self.cell.see_job(BookedJob(job, submission, cancelled, progress), self.now, self.now)
        return self.cell.job_by_id[job]

    def cancel(self, job):
        """Let the store tell that a job is cancelled."""
        submission = self.cell.job_by_id[job].submission
        self.cell.see_job(BookedJob(job, submission, True, None), self.now, self.now)

    def plan(self, start=True):
        """Plan once, and let all starts be answered as started."""
        made = self.planner.plan(self.now, self.now)
        self.allocations.extend(made.starts)
        for allocation in made.starts if start else ():
            self.cell.start_answered(allocation, StartReply.STARTED, self.now)
        return made

    def poll(self, runner, running=(), ended=(), asked=None, complete=True):
        """Let a runner list runs ``(task, run)`` and ends ``(number, task, run, outcome)``.

        Without ``complete`` it has more ends than it lists.
        """
        listed = tuple(RunningTask(name, run, '', 0, 0.0) for name, run in running)
        ends = []
        for number, name, run, how in ended:
            ends.append(EndedRun(number, name, run, Outcome(how), ''))
        view = RunnerView(self.now, listed, tuple(ends), complete)
        state = self.cell.runner_by_id[runner]
        return self.cell.viewed(state, view, self.now if asked is None else asked, self.now)

    def runs_on(self, runner):
        """Return the runs that are counted on a runner."""
        return tuple(self.cell.runner_by_id[runner].allocation_by_run)

    def used(self, runner):
        """Return the processors counted on a runner."""
        return self.cell.runner_by_id[runner].used.cpu


def step(cpu=2000, count=1, seconds=0.5, **fields):
    """Return a step of tasks of half a second."""
    return Step(count, Demand(cpu, 100, 0), seconds, **fields)


def task(job, index=0, step_number=0):
    """Return the name of a task."""
    return TaskName(job, 0, step_number, index)
