"""One job under way: which of its tasks are done, running or waiting. No I/O."""

import enum
from dataclasses import dataclass, field

from dandelionreel.cell.decisions._crashes import JobCrashes
from dandelionreel.cell.model import (
    FINAL_STATES,
    Demand,
    DoneTasks,
    FailedRun,
    JobSpec,
    JobState,
    Leftover,
    Progress,
    Queue,
    Step,
    StepName,
    Submission,
    TaskName,
)

HEX = 16
#: In a job's runners: its tasks may have been started anywhere.
ANY_RUNNER = '*'
#: Runners that a question to the policy service names, as objectives count it.
TYPICAL_QUESTION = 30


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
        #: A start of this step is not tried again before then.
        self.not_before = 0.0

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

    def release(self, task: TaskRun) -> None:
        """Let a placed task wait again."""
        task.phase = Phase.WAITING
        task.runner = ''
        self.waiting += 1

    def finish(self, task: TaskRun) -> None:
        """Note that a task is done, wherever it stood."""
        if task.phase is Phase.DONE:
            return
        if task.phase is Phase.WAITING:
            self.waiting -= 1
        task.phase = Phase.DONE
        task.runner = ''
        self.done += 1


class JobRun:
    """One job: its steps by occurrence, failures, and what clients are told.

    ``accepted`` is on this process's monotonic clock, in seconds.
    """

    def __init__(self, job: str, submission: Submission, accepted: float) -> None:
        """Start with nothing done."""
        self.id = job
        self.submission = submission
        self.accepted = accepted
        self.cancelled = False
        self.began = False
        self.state = JobState.QUEUED
        self.ended_at = 0.0
        self._steps_by_occurrence: dict[int, list[StepRun]] = {}
        self._done_occurrences = 0
        self._failed_runs: set[FailedRun] = set()
        self.crashes = JobCrashes()
        self._objective: tuple[Queue | None, Demand | None, float] | None = None
        #: Whether it is beyond what its account may expect to be served a second.
        self.beyond_rate = False
        #: What keeps it from starting, as was last logged.
        self.held_by = ''
        #: Whether the newest progress is not on its way to the store.
        self.dirty = False
        #: Whether the store has the submission: nothing starts before.
        self.stored = True
        #: What the store says of it, and so what clients are told.
        self.stored_state = JobState.QUEUED
        #: Runners on which its tasks may have been started, and those of them
        #: that the store names.
        self.runners: set[str] = set()
        self.stored_runners: set[str] = set()

    @property
    def account(self) -> str:
        """Return the client account whose job it is, empty for none."""
        return self.submission.account

    @property
    def spec(self) -> JobSpec:
        """Return what the client handed in."""
        return self.submission.spec

    @property
    def shown_state(self) -> JobState:
        """Return what clients are told: nothing that a crash could take back."""
        if self.cancelled and self.stored_state not in {JobState.COMPLETED, JobState.FAILED}:
            return JobState.CANCELLED
        return self.stored_state

    def may_run_on(self, runner: str) -> bool:
        """Return whether the store says that its tasks may run on a runner."""
        return runner in self.stored_runners or ANY_RUNNER in self.stored_runners

    @property
    def over(self) -> bool:
        """Return whether nothing is to be started any more."""
        return self.cancelled or self.state is JobState.COMPLETED or self.state is JobState.FAILED

    def steps(self, occurrence: int) -> list[StepRun]:
        """Return the steps of one occurrence, made when first asked for."""
        known = self._steps_by_occurrence.get(occurrence)
        if known is None:
            known = [
                StepRun(StepName(self.id, occurrence, number), step)
                for number, step in enumerate(self.spec.steps)
            ]
            self._steps_by_occurrence[occurrence] = known
        return known

    def find_step(self, name: TaskName | StepName) -> StepRun | None:
        """Return the step of a task, ``None`` where the job has no such step."""
        if not 0 <= name.occurrence < self.spec.occurrences:
            return None
        if not 0 <= name.step < len(self.spec.steps):
            return None
        return self.steps(name.occurrence)[name.step]

    def find(self, name: TaskName) -> tuple[StepRun, TaskRun] | None:
        """Return a task with its step, ``None`` where the job has no such task."""
        step = self.find_step(name)
        if step is None or not 0 <= name.index < len(step.tasks):
            return None
        return step, step.tasks[name.index]

    def objective(self, queue: Queue | None, quota: Demand | None = None) -> float:
        """Return the job's objective in seconds, computed once for each configuration.

        ``quota`` is what its account may have running.
        """
        known = self._objective
        if known is None or known[0] is not queue or known[1] is not quota:
            known = (queue, quota, objective(queue, self.spec, quota))
            self._objective = known
        return known[2]

    def remaining_demand(self, wall: float) -> Demand:
        """Return what all tasks take that may run and are neither done nor known to run."""
        total = Demand()
        for occurrence in range(self._done_occurrences, self.due_occurrences(wall)):
            for step in self.steps(occurrence):
                total += counted_demand(step).times(step.waiting)
        return total

    def due_occurrences(self, wall: float) -> int:
        """Return how many occurrences have come due at ``wall`` seconds."""
        if not self.spec.repeat_count:
            return 1
        since = wall - self.spec.first_run
        if since < 0:
            return 0
        if not self.spec.interval:
            return self.spec.occurrences
        return min(self.spec.occurrences, int(since / self.spec.interval) + 1)

    def ready_steps(self, wall: float) -> list[StepRun]:
        """Return the steps with waiting tasks whose turn has come."""
        ready = []
        for occurrence in range(self._done_occurrences, self.due_occurrences(wall)):
            steps = self.steps(occurrence)
            for step in steps:
                if not step.waiting:
                    continue
                if all(steps[earlier].complete for earlier in step.step.depends_on):
                    ready.append(step)
        return ready

    def unfinished_steps(self, wall: float) -> list[StepRun]:
        """Return the steps whose turn has come and that still have something to do.

        A step whose tasks last has nothing more to do once all of them are placed.
        """
        unfinished = []
        for occurrence in range(self._done_occurrences, self.due_occurrences(wall)):
            steps = self.steps(occurrence)
            for step in steps:
                if step.complete or (step.step.long_running and not step.waiting):
                    continue
                if all(steps[earlier].complete for earlier in step.step.depends_on):
                    unfinished.append(step)
        return unfinished

    def note_done(self, name: TaskName) -> None:
        """Note a task's end as done; a gang's members are done together."""
        step = self.find_step(name)
        if step is None or not 0 <= name.index < len(step.tasks):
            return
        for task in step.tasks if step.step.gang else (step.tasks[name.index],):
            # Each member of a gang lists its end, and an end is listed until it is
            # acknowledged: only the first one is news that has to be stored.
            self.dirty = self.dirty or task.phase is not Phase.DONE
            step.finish(task)
        self._check_complete()

    def note_failed(self, name: TaskName, run: int, most: int) -> None:
        """Count a failed run once; after ``most`` of them the job has failed."""
        step = self.find_step(name)
        if step is None or step.complete:
            return
        index = 0 if step.step.gang else name.index
        failed = FailedRun(name.occurrence, name.step, index, run)
        if failed in self._failed_runs:
            return
        self._failed_runs.add(failed)
        self.dirty = True
        task = step.tasks[index]
        task.failures += 1
        if task.failures >= most and not step.step.long_running and not self.over:
            self.state = JobState.FAILED

    def note_crashed(self, name: TaskName, run: int, *, close: bool) -> bool:
        """Count a crash of a runner under a run, once; return whether it is news.

        After too many of them the job has failed, also one whose tasks last.
        """
        found = self.find(name)
        if found is None or self.over or found[1].phase is Phase.DONE:
            return False
        if not self.crashes.note(name, run, close=close):
            return False
        self.dirty = True
        found[1].quarantined = self.crashes.is_quarantined(name)
        if self.crashes.is_given_up(name):
            self.state = JobState.FAILED
        return True

    def note_complete(self) -> bool:
        """Take the word that all tasks are done; return whether that is news."""
        if self.over:
            return False
        self.state = JobState.COMPLETED
        self.dirty = True
        return True

    def note_doubt(self) -> None:
        """Note that runners may have crashed under its tasks, of which nothing is known."""
        self.dirty = self.dirty or not self.crashes.doubtful
        self.crashes.doubtful = True

    def clear_crashes(self, name: TaskName) -> None:
        """Forget the crashes under a task that was well for so long that it caused none."""
        found = self.find(name)
        if found is not None and self.crashes.clear(name):
            found[1].quarantined = False
            self.dirty = True

    def note_start(self, name: TaskName, run: int, runner: str) -> bool:
        """Note a start that is about to be sent; return whether it must be stored before."""
        self.runners.add(runner)
        stored = self.may_run_on(runner)
        return self.crashes.begin(name, run, runner) or not stored

    def note_run_over(self, name: TaskName, run: int) -> None:
        """Note that a run is known to be over, however it ended."""
        self.dirty = self.crashes.end(name, run) or self.dirty

    def note_began(self) -> None:
        """Note that a first task runs."""
        if self.began:
            return
        self.began = True
        self.dirty = True
        if self.state is JobState.QUEUED:
            self.state = JobState.RUNNING

    def restore(self, progress: Progress) -> None:
        """Take what an earlier owner has noted."""
        self.began = progress.state is not JobState.QUEUED
        self.runners.update(progress.runners)
        self.stored_runners.update(progress.runners)
        self.stored_state = progress.state
        self.state = progress.state
        # The cancellation's own record is dropped with the job's end. A submission
        # that lands late would else bring the job back.
        self.cancelled = progress.state is JobState.CANCELLED
        self.ended_at = progress.ended_at
        for entry in progress.done:
            mask = int(entry.mask, HEX)
            step = self.steps(entry.occurrence)[entry.step]
            for index, task in enumerate(step.tasks):
                if mask >> index & 1:
                    step.finish(task)
        for failed in progress.failed:
            self._failed_runs.add(failed)
            step = self.steps(failed.occurrence)[failed.step]
            step.tasks[failed.index].failures += 1
        self._restore_crashes(progress)
        self._skip_done_occurrences()

    def take_end(self, progress: Progress | None) -> bool:
        """Take a final state that the store has and this job has not; return whether.

        A client repeated its request while this owner had read only a part of what
        stands in the store, so a job that was over was taken for a new one.
        """
        if progress is None or self.over or progress.state not in FINAL_STATES:
            return False
        self.restore(progress)
        return True

    def progress(
        self,
        epoch: int,
        wall: float,
        leftovers: tuple[Leftover, ...] = (),
    ) -> Progress:
        """Return what is to be kept in the store; ``leftovers`` of a job that is over."""
        if self.over and not self.ended_at:
            self.ended_at = wall
        done = []
        # A job that is over needs no more than its state.
        for occurrence, steps in self._steps_by_occurrence.items():
            if self.over:
                break
            for step in steps:
                if not step.done:
                    continue
                mask = sum(
                    1 << index for index, task in enumerate(step.tasks) if task.phase is Phase.DONE
                )
                done.append(DoneTasks(occurrence, step.name.step, f'{mask:x}'))
        failed = () if self.over else tuple(sorted(self._failed_runs, key=_failed_order))
        state = JobState.CANCELLED if self._shows_cancelled() else self.state
        if self.over:
            return Progress(
                epoch,
                state,
                tuple(done),
                failed,
                self.ended_at,
                account=self.account,
                leftovers=leftovers,
            )
        return Progress(
            epoch,
            state,
            tuple(done),
            failed,
            self.ended_at,
            tuple(sorted(self.runners)),
            self.crashes.crashed,
            self.crashes.starts,
            self.crashes.doubtful,
            self.account,
        )

    def _restore_crashes(self, progress: Progress) -> None:
        self.crashes.restore(progress.crashed, progress.starts)
        self.crashes.doubtful = progress.doubtful
        for crashed in progress.crashed:
            task = self.steps(crashed.occurrence)[crashed.step].tasks[crashed.index]
            task.quarantined = self.crashes.is_quarantined(task.name)

    def _shows_cancelled(self) -> bool:
        return self.cancelled and self.state not in {JobState.COMPLETED, JobState.FAILED}

    def _check_complete(self) -> None:
        self._skip_done_occurrences()
        if self._done_occurrences == self.spec.occurrences and not self.over:
            self.state = JobState.COMPLETED

    def _skip_done_occurrences(self) -> None:
        while self._done_occurrences < self.spec.occurrences:
            steps = self._steps_by_occurrence.get(self._done_occurrences)
            if steps is None or not all(step.complete for step in steps):
                return
            self._done_occurrences += 1


def _failed_order(failed: FailedRun) -> tuple[int, int, int, int]:
    return (failed.occurrence, failed.step, failed.index, failed.run)


def chain_seconds(spec: JobSpec, seconds_by_step: list[float]) -> float:
    """Return the longest chain of steps, given how long each one takes."""
    ends: list[float] = []
    for step, seconds in zip(spec.steps, seconds_by_step, strict=True):
        start = max((ends[earlier] for earlier in step.depends_on), default=0.0)
        ends.append(start + seconds)
    return max(ends, default=0.0)


def objective(queue: Queue | None, spec: JobSpec, quota: Demand | None = None) -> float:
    """Return the seconds within which a job counts as served in time.

    A step that is wider than its account's quota runs in waves.
    """
    waits = 0.0
    if queue is not None and queue.advice is not None:
        waits = queue.advice.decision + TYPICAL_QUESTION * queue.advice.per_runner
    chain = chain_seconds(
        spec, [step.estimate * _waves(step, quota) + waits for step in spec.steps]
    )
    return chain if queue is None else queue.slack * chain + queue.latency


def _waves(step: Step, quota: Demand | None) -> int:
    """Return how many times a step's tasks have to take turns."""
    if quota is None or step.gang:
        return 1
    at_once = count_fitting(step.counted_demand, quota, step.count)
    return -(-step.count // max(1, at_once))


def count_fitting(demand: Demand, room: Demand, most: int) -> int:
    """Return how many tasks of a demand fit into a room, at most so many."""
    count = most
    for asked, have in (
        (demand.cpu, room.cpu),
        (demand.memory_mb, room.memory_mb),
        (demand.gpu, room.gpu),
    ):
        if asked:
            count = min(count, have // asked)
    return max(0, count)


def counted_demand(step: StepRun) -> Demand:
    """Return what a task of the step takes from a runner's room."""
    return step.step.counted_demand
