"""One job under way: which of its tasks are done, running or waiting. No I/O."""

from dandelionreel.cell.decisions._crashes import JobCrashes
from dandelionreel.cell.decisions._objectives import objective
from dandelionreel.cell.decisions._step_runs import (
    ChangeCount,
    Phase,
    StepRun,
    TaskRun,
    counted_demand,
)
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
    StepName,
    Submission,
    TaskName,
)

HEX = 16
#: In a job's runners: its tasks may have been started anywhere.
ANY_RUNNER = '*'


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
        self._changes = ChangeCount()
        #: The ready steps of a job without repeats, and the changes after which they were listed.
        self._listed: tuple[int, list[StepRun]] | None = None
        #: Whether any of its steps starts all of its tasks at once.
        self.has_gangs = any(step.gang for step in submission.spec.steps)
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
    def changes(self) -> int:
        """Return how many times a task has been placed, released or finished."""
        return self._changes.count

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
                StepRun(StepName(self.id, occurrence, number), step, self._changes)
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
        """Return the steps with waiting tasks whose turn has come.

        An owner asks in each plan, and hardly any job has changed since the last one.
        """
        if self.spec.repeat_count:
            return self._list_ready(wall)
        changes = self._changes.count
        if self._listed is None or self._listed[0] != changes:
            self._listed = (changes, self._list_ready(wall))
        return self._listed[1]

    def _list_ready(self, wall: float) -> list[StepRun]:
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
