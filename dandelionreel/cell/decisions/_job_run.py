"""State of one job: which of its tasks are done, running or waiting. No I/O."""

from collections.abc import Collection, Iterable, Iterator

from dandelionreel.cell.decisions._crashes import CRASH_LIMIT, JobCrashes
from dandelionreel.cell.decisions._objectives import compute_latency_objective
from dandelionreel.cell.decisions._step_run import (
    StepRun,
    TaskPhase,
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
    make_queue,
)

HEX_BASE = 16
#: Number of steps with waiting tasks from which on no further occurrence of a job is opened.
MAX_WAITING_STEPS = 100
#: Digits of the done tasks in the stored progress of a job, at most; digits of a row beside those
#: of its tasks, and tasks for which a digit stands.
MAX_PROGRESS_DIGITS = 100_000
ROW_DIGITS = 24
TASKS_PER_DIGIT = 4
#: Pauses in seconds before further starts of a task whose runners have crashed ``CRASH_LIMIT``
#: times without a sign that the task is the cause.
MIN_PAUSE_SECONDS = 2.0
MAX_PAUSE_SECONDS = 8.0
#: Entry in a job's set of runners which says that its tasks may have been started on any runner.
ANY_RUNNER = '*'


class JobRun:
    """One job: its steps by occurrence, its failures and the state shown to clients.

    ``accepted_at`` is in seconds on this process's monotonic clock.
    """

    def __init__(self, job: str, submission: Submission, accepted_at: float) -> None:
        """Create a job without progress."""
        self.id = job
        self.submission = submission
        self.accepted_at = accepted_at
        #: Its queue as of its acceptance, ``None`` if an earlier build has accepted it.
        self.accepted_queue = make_queue(submission)
        self.cancelled = False
        self.has_started = False
        self.state = JobState.QUEUED
        self.ended_at = 0.0
        #: The occurrences that may have waiting or placed tasks. Of earlier ones all tasks are
        #: done, and later ones have not been opened yet.
        self._steps_by_occurrence: dict[int, list[StepRun]] = {}
        self._done_occurrences = 0
        self._next_occurrence = 0
        #: How many times tasks of closed occurrences have changed.
        self._closed_changes = 0
        self._failed_runs: set[FailedRun] = set()
        self.crashes = JobCrashes()
        self._objective: tuple[Queue | None, Demand | None, float] | None = None
        #: Whether the job is beyond the job rate of its account, and ranks behind jobs within the
        #: rates of their accounts.
        self.exceeds_account_rate = False
        #: Why the job is not started, as last logged.
        self.hold_reason = ''
        #: Whether there is progress that has not been sent to the store.
        self.dirty = False
        #: Whether the submission is stored; nothing starts before.
        self.stored = True
        #: The stored state, which is reported to clients.
        self.stored_state = JobState.QUEUED
        #: Runners on which its tasks may have been started, and those already stored.
        self.runners: set[str] = set()
        self.stored_runners: set[str] = set()
        #: How many times runners were left out of ``runners``.
        self.runners_version = 0
        #: Whether a step was completed since then.
        self._has_new_complete_step = False

    @property
    def account(self) -> str:
        """Return the client account that owns the job, empty for none."""
        return self.submission.account

    @property
    def spec(self) -> JobSpec:
        """Return the job as submitted by the client."""
        return self.submission.spec

    @property
    def reported_state(self) -> JobState:
        """Return the state shown to clients: only what is stored and survives a crash."""
        if self.cancelled and self.stored_state not in {JobState.COMPLETED, JobState.FAILED}:
            return JobState.CANCELLED
        return self.stored_state

    def may_have_runs_on(self, runner: str) -> bool:
        """Return whether a runner is stored as one on which its tasks may run."""
        return runner in self.stored_runners or ANY_RUNNER in self.stored_runners

    @property
    def is_finished(self) -> bool:
        """Return whether the job is finished, so that nothing more is started."""
        return self.cancelled or self.state is JobState.COMPLETED or self.state is JobState.FAILED

    def steps(self, occurrence: int) -> list[StepRun]:
        """Return the steps of one occurrence, created on first use.

        Those of a closed occurrence, of which all tasks are done, are made anew each time.
        """
        cached = self._steps_by_occurrence.get(occurrence)
        if cached is None:
            is_closed = occurrence < self._done_occurrences
            cached = [
                StepRun(StepName(self.id, occurrence, number), step, done=is_closed)
                for number, step in enumerate(self.spec.steps)
            ]
            if not is_closed:
                self._steps_by_occurrence[occurrence] = cached
        return cached

    def find_step(self, name: TaskName | StepName) -> StepRun | None:
        """Return the step of a task, ``None`` if the job has no such step."""
        if not 0 <= name.occurrence < self.spec.occurrences:
            return None
        if not 0 <= name.step < len(self.spec.steps):
            return None
        return self.steps(name.occurrence)[name.step]

    def find_task(self, name: TaskName) -> tuple[StepRun, TaskRun] | None:
        """Return a task with its step, ``None`` if the job has no such task."""
        step = self.find_step(name)
        if step is None or not 0 <= name.index < len(step.tasks):
            return None
        return step, step.tasks[name.index]

    def objective(self, queue: Queue | None, quota: Demand | None = None) -> float:
        """Return the job's latency objective in seconds, cached for each configuration.

        ``quota`` is the limit on the resources that runs of its account use at the same time.
        """
        cached = self._objective
        if cached is None or cached[0] is not queue or cached[1] is not quota:
            cached = (queue, quota, compute_latency_objective(queue, self.spec, quota))
            self._objective = cached
        return cached[2]

    def remaining_demand(self, unix_time: float) -> Demand:
        """Return the total demand of the waiting tasks of all due occurrences."""
        total = Demand()
        due = self.due_occurrences(unix_time)
        open_count = 0
        for occurrence, steps in self._steps_by_occurrence.items():
            if occurrence >= due:
                continue
            open_count += 1
            for step in steps:
                total += counted_demand(step).times(step.waiting)
        unopened_count = due - self._done_occurrences - open_count
        for unopened in self.spec.steps if unopened_count > 0 else ():
            total += unopened.counted_demand.times(unopened.count * unopened_count)
        return total

    def due_occurrences(self, unix_time: float) -> int:
        """Return how many occurrences are due at the Unix time ``unix_time``."""
        if not self.spec.repeat_count:
            return 1
        since = unix_time - self.spec.first_run
        if since < 0:
            return 0
        if not self.spec.interval:
            return self.spec.occurrences
        return min(self.spec.occurrences, int(since / self.spec.interval) + 1)

    @property
    def open_steps(self) -> int:
        """Return the number of steps that are kept in memory."""
        return len(self._steps_by_occurrence) * len(self.spec.steps)

    def ready_steps(self, unix_time: float, spare_steps: int = 0) -> list[StepRun]:
        """Return the due steps with waiting tasks whose dependencies are complete.

        Of a scheduled job with many due occurrences, only the earliest ones are opened, and more
        than one only as long as there are ``spare_steps``.
        """
        ready = []
        for steps in self._open_due_occurrences(unix_time, spare_steps):
            for step in steps:
                if not step.waiting:
                    continue
                if all(steps[earlier].is_complete for earlier in step.step.depends_on):
                    ready.append(step)
        return ready

    def count_changes(self) -> int:
        """Return how many times any task has been placed, released or finished."""
        open_steps = (step for steps in self._steps_by_occurrence.values() for step in steps)
        return self._closed_changes + sum(step.changes for step in open_steps)

    def unfinished_steps(self, unix_time: float) -> list[StepRun]:
        """Return the due incomplete steps whose dependencies are complete.

        A long-running step is left out once all its tasks are placed.
        """
        unfinished = []
        for steps in self._open_due_occurrences(unix_time):
            for step in steps:
                if step.is_complete or (step.step.long_running and not step.waiting):
                    continue
                if all(steps[earlier].is_complete for earlier in step.step.depends_on):
                    unfinished.append(step)
        return unfinished

    def mark_task_done(self, name: TaskName) -> None:
        """Mark a task as done; all members of a gang are done together."""
        step = self.find_step(name)
        if step is None or not 0 <= name.index < len(step.tasks):
            return
        for task in step.tasks if step.step.gang else (step.tasks[name.index],):
            # Each member of a gang reports its end, and an end is listed until it is
            # acknowledged. Only the first report changes the progress.
            self.dirty = self.dirty or task.phase is not TaskPhase.DONE
            step.finish_task(task)
            self.crashes.clear(task.name)
        self._has_new_complete_step = self._has_new_complete_step or step.is_complete
        self._complete_job_if_done()

    def record_failed_run(self, name: TaskName, run: int, max_failures: int) -> None:
        """Count a failed run once; after ``max_failures`` of a task the job has failed."""
        step = self.find_step(name)
        if step is None or step.is_complete:
            return
        index = 0 if step.step.gang else name.index
        failed = FailedRun(name.occurrence, name.step, index, run)
        if failed in self._failed_runs:
            return
        self._failed_runs.add(failed)
        self.dirty = True
        task = step.tasks[index]
        task.failures += 1
        if task.failures >= max_failures and not step.step.long_running and not self.is_finished:
            self.state = JobState.FAILED

    def record_crashed_run(
        self,
        name: TaskName,
        run: int,
        *,
        during_start: bool = False,
        proven: bool = False,
        odds: float = 1.0,
        max_odds: float = 0.0,
        lost_at: float = 0.0,
    ) -> bool:
        """Count a runner crash during a run once; return whether it was not counted before.

        ``odds`` and ``max_odds`` are as for ``JobCrashes``. ``lost_at`` is when the runner was
        lost, in monotonic seconds.

        Once a task is proven to crash its runners, the job has failed. A task of a long-running
        step has no such limit and stays quarantined.
        """
        found = self.find_task(name)
        if found is None or self.is_finished or found[1].phase is TaskPhase.DONE:
            return False
        if not self.crashes.record_crash(
            name, run, during_start=during_start, proven=proven, odds=odds
        ):
            return False
        self.dirty = True
        found[1].quarantined = self.crashes.is_quarantined(name)
        if self.crashes.count(name) >= CRASH_LIMIT and not found[0].step.long_running:
            _pause_starts(found[1], lost_at)
        if self.crashes.has_reached_crash_limit(name, max_odds) and not found[0].step.long_running:
            self.state = JobState.FAILED
        return True

    def withdraw_proof(self, name: TaskName, run: int) -> None:
        """Count a proven crash as one by chance."""
        self.dirty = self.crashes.withdraw_proof(name, run) or self.dirty

    def withdraw_odds(self, name: TaskName, run: int) -> None:
        """Count a crash as one that says nothing about its task."""
        self.dirty = self.crashes.withdraw_odds(name, run) or self.dirty

    def mark_crashes_incomplete(self) -> None:
        """Note that runners may have crashed during its tasks without a record of it."""
        self.dirty = self.dirty or not self.crashes.incomplete
        self.crashes.incomplete = True

    def clear_crashes(self, name: TaskName) -> None:
        """Clear the crashes of a task that ran long enough to prove that it did not cause them."""
        found = self.find_task(name)
        if found is not None and self.crashes.clear(name):
            found[1].quarantined = False
            self.dirty = True

    def record_task_start(self, name: TaskName, run: int, runner: str) -> bool:
        """Record a start that is about to be sent; return whether to store it first."""
        self.runners.add(runner)
        stored = self.may_have_runs_on(runner)
        return self.crashes.record_start(name, run, runner) or not stored

    def forget_runners(self, in_use: Collection[str]) -> None:
        """Leave out the runners that are not ``in_use`` once a step is complete.

        A successor would wait for them although no task that may start again can run there. In
        between, they are kept: another start on them needs no append.
        """
        if not self._has_new_complete_step:
            return
        self._has_new_complete_step = False
        if ANY_RUNNER in self.runners:
            # The runners of runs that an earlier owner has started are not stored by name.
            self.runners.update(in_use)
        self.runners.intersection_update(in_use)
        # A record that is stored from now on may not name the others any more.
        self.stored_runners.intersection_update(in_use)
        self.runners_version += 1

    def confirm_stored_runners(self, runners: Iterable[str], version: int) -> None:
        """Note that a record with ``runners`` is stored, made at this ``runners_version``.

        After a later change, the newest record may not name all of these runners.
        """
        if version == self.runners_version:
            self.stored_runners.update(runners)

    def record_ended_run(self, name: TaskName, run: int) -> None:
        """Record that a run has ended in any way."""
        self.dirty = self.crashes.record_run_end(name, run) or self.dirty

    def mark_started(self) -> None:
        """Mark the job as running once its first task runs."""
        if self.has_started:
            return
        self.has_started = True
        self.dirty = True
        if self.state is JobState.QUEUED:
            self.state = JobState.RUNNING

    def restore(self, progress: Progress) -> None:
        """Restore the progress that an earlier owner stored."""
        self.has_started = progress.state is not JobState.QUEUED
        self.runners.update(progress.runners)
        self.stored_runners.update(progress.runners)
        self.stored_state = progress.state
        self.state = progress.state
        # The record of a cancellation is dropped when the job ends. Without this state, a
        # submission that arrives late would revive the job.
        self.cancelled = progress.state is JobState.CANCELLED
        self.ended_at = progress.ended_at
        self._done_occurrences = progress.done_before
        for entry in progress.done:
            mask = int(entry.mask, HEX_BASE)
            step = self.steps(entry.occurrence)[entry.step]
            for index in _find_set_bits(mask):
                step.finish_task(step.tasks[index])
        for failed in progress.failed:
            self._failed_runs.add(failed)
            step = self.steps(failed.occurrence)[failed.step]
            step.tasks[failed.index].failures += 1
        self._restore_crashes(progress)
        self._skip_done_occurrences()

    def apply_final_state(self, progress: Progress | None) -> bool:
        """Apply a final state that is stored but not known here; return whether it was applied.

        Happens if a client repeats its request while this owner has read only a part of the
        store: the owner then takes a finished job for a new one.
        """
        if progress is None or self.is_finished or progress.state not in FINAL_STATES:
            return False
        self.restore(progress)
        return True

    def progress(
        self,
        epoch: int,
        unix_time: float,
        leftovers: tuple[Leftover, ...] = (),
    ) -> Progress:
        """Return the record to store; ``leftovers`` apply to a finished job only."""
        if self.is_finished and not self.ended_at:
            self.ended_at = unix_time
        done = []
        # Of a finished job only the state is needed.
        for occurrence, steps in self._steps_by_occurrence.items():
            if self.is_finished:
                break
            for step in steps:
                if not step.done:
                    continue
                done.append(DoneTasks(occurrence, step.name.step, step.tasks.done_mask))
        failed = () if self.is_finished else tuple(sorted(self._failed_runs, key=_failed_sort_key))
        state = JobState.CANCELLED if self._is_stored_as_cancelled() else self.state
        if self.is_finished:
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
            self.crashes.incomplete,
            self.account,
            proven=self.crashes.proven,
            done_before=self._done_occurrences,
            weighed=self.crashes.weighed,
        )

    def _restore_crashes(self, progress: Progress) -> None:
        self.crashes.restore(progress.crashed, progress.starts, progress.proven, progress.weighed)
        self.crashes.incomplete = progress.doubtful
        for crashed in progress.crashed:
            task = self.steps(crashed.occurrence)[crashed.step].tasks[crashed.index]
            task.quarantined = self.crashes.is_quarantined(task.name)

    def _is_stored_as_cancelled(self) -> bool:
        return self.cancelled and self.state not in {JobState.COMPLETED, JobState.FAILED}

    def _complete_job_if_done(self) -> None:
        self._skip_done_occurrences()
        if self._done_occurrences == self.spec.occurrences and not self.is_finished:
            self.state = JobState.COMPLETED

    def _skip_done_occurrences(self) -> None:
        while self._done_occurrences < self.spec.occurrences:
            steps = self._steps_by_occurrence.get(self._done_occurrences)
            if steps is None or not all(step.is_complete for step in steps):
                return
            self._close_occurrence(self._done_occurrences, steps)

    def _close_occurrence(self, occurrence: int, steps: list[StepRun]) -> None:
        """Drop what is kept of an occurrence whose tasks are all done."""
        self._closed_changes += sum(step.changes for step in steps)
        self._steps_by_occurrence.pop(occurrence)
        self._failed_runs = {row for row in self._failed_runs if row.occurrence != occurrence}
        self._done_occurrences = occurrence + 1

    def _open_due_occurrences(self, unix_time: float, spare_steps: int = 0) -> list[list[StepRun]]:
        """Return the steps of the due occurrences that are open, and open more if few wait."""
        due = self.due_occurrences(unix_time)
        end = min(due, self._done_occurrences + self._max_open_occurrences)
        self._next_occurrence = max(self._next_occurrence, self._done_occurrences)
        waiting = sum(
            step.waiting > 0 for steps in self._steps_by_occurrence.values() for step in steps
        )
        max_open = max(1, self.open_steps + spare_steps)
        while self._next_occurrence < end and waiting < MAX_WAITING_STEPS:
            if self.open_steps >= max_open:
                break
            waiting += len(self.steps(self._next_occurrence))
            self._next_occurrence += 1
        opened = self._steps_by_occurrence
        return [opened[occurrence] for occurrence in sorted(opened) if occurrence < due]

    @property
    def _max_open_occurrences(self) -> int:
        """Return in how many occurrences tasks may be done or waiting, by the size of the record.

        The record has a row for each step, with a digit for four tasks.
        """
        digits = sum(ROW_DIGITS + step.count // TASKS_PER_DIGIT for step in self.spec.steps)
        return max(1, MAX_PROGRESS_DIGITS // digits)


def _find_set_bits(mask: int) -> Iterator[int]:
    """Yield the numbers of the set bits, the lowest first."""
    for index, digit in enumerate(reversed(f'{mask:b}')):
        if digit == '1':
            yield index


def _pause_starts(task: TaskRun, since: float) -> None:
    """Let a task wait, for longer each time: what its runners are lost to may pass."""
    doubled = max(MIN_PAUSE_SECONDS, 2 * task.pause_seconds)
    task.pause_seconds = min(doubled, MAX_PAUSE_SECONDS)
    task.not_before = since + task.pause_seconds


def _failed_sort_key(failed: FailedRun) -> tuple[int, int, int, int]:
    return (failed.occurrence, failed.step, failed.index, failed.run)
