"""Attempts that may be running, as the zone's dispatcher tracks them."""

from collections.abc import Iterable, Iterator
from dataclasses import dataclass, field

from dandelionreel.jobs._job_projection import Outcome
from dandelionreel.peers import TaskReport


@dataclass
class TrackedTask:
    """A task; a report without it proves its absence from ``absent_after`` on.

    A report may describe a time before the start was sent. It proves absence
    only if its ``as_of``, on this dispatcher's clock, is ``absent_after`` or later.
    """

    task_id: str
    worker: str
    absent_after: float
    is_running: bool = False
    outcome: Outcome | None = None


@dataclass
class TrackedAttempt:
    """An attempt; ``adopted`` if another dispatcher started it.

    ``intent_written_at`` is on the wall clock, ``tracked_at`` on the monotonic clock.
    ``is_finalizing`` while its outcome is being written.
    """

    job: str
    number: int
    customer: str
    idempotent: bool
    intent_written_at: float
    tracked_at: float = 0
    adopted: bool = False
    stop_requested: bool = False
    is_finalizing: bool = False
    task_by_id: dict[str, TrackedTask] = field(default_factory=dict)

    def unfinished_tasks(self) -> Iterator[TrackedTask]:
        """Yield the tasks that have not ended."""
        for task in self.task_by_id.values():
            if task.outcome is None:
                yield task

    @property
    def has_ended(self) -> bool:
        """Return whether all tasks have ended."""
        return all(task.outcome is not None for task in self.task_by_id.values())

    @property
    def has_failed_task(self) -> bool:
        """Return whether a task has ended without success."""
        return any(
            task.outcome not in {None, Outcome.SUCCEEDED} for task in self.task_by_id.values()
        )

    def combined_outcome(self) -> Outcome:
        """Return the outcome of the attempt, all of whose tasks have ended."""
        found = {task.outcome for task in self.task_by_id.values()}
        if found == {Outcome.SUCCEEDED}:
            return Outcome.SUCCEEDED
        if found == {Outcome.NOT_STARTED}:
            return Outcome.NOT_STARTED
        for worst in (Outcome.LOST, Outcome.FAILED, Outcome.LAPSED, Outcome.STOPPED):
            if worst in found:
                return worst
        # Some tasks succeeded, the others never started.
        return Outcome.STOPPED


class AttemptTracker:
    """Tracked attempts, by job and by worker."""

    def __init__(self) -> None:
        """Start with no attempts."""
        self.attempt_by_job: dict[str, TrackedAttempt] = {}
        self._tasks_by_worker: dict[str, dict[str, TrackedAttempt]] = {}

    def add(self, tracked: TrackedAttempt, tasks: Iterable[TrackedTask]) -> None:
        """Track an attempt and its tasks."""
        self.attempt_by_job[tracked.job] = tracked
        for task in tasks:
            tracked.task_by_id[task.task_id] = task
            self._tasks_by_worker.setdefault(task.worker, {})[task.task_id] = tracked

    def drop(self, job: str) -> TrackedAttempt | None:
        """Stop tracking a job's attempt, and return it."""
        tracked = self.attempt_by_job.pop(job, None)
        if tracked is None:
            return None
        for task in tracked.task_by_id.values():
            self._tasks_by_worker.get(task.worker, {}).pop(task.task_id, None)
        return tracked

    def tasks_on_worker(self, worker: str) -> tuple[tuple[TrackedAttempt, TrackedTask], ...]:
        """Return the tasks of a worker that have not ended, with their attempts."""
        found = []
        for task_id, tracked in self._tasks_by_worker.get(worker, {}).items():
            task = tracked.task_by_id[task_id]
            if task.outcome is None:
                found.append((tracked, task))
        return tuple(found)

    def has_task(self, report: TaskReport) -> bool:
        """Return whether a reported task belongs to a tracked attempt."""
        tracked = self.attempt_by_job.get(report.job)
        return tracked is not None and report.id in tracked.task_by_id

    def clear(self) -> None:
        """Stop tracking all attempts."""
        self.attempt_by_job.clear()
        self._tasks_by_worker.clear()


def parse_outcome(report: TaskReport) -> Outcome:
    """Return the outcome that a report names; an unknown one counts as failed."""
    known = {
        'succeeded': Outcome.SUCCEEDED,
        'failed': Outcome.FAILED,
        'stopped': Outcome.STOPPED,
        'lapsed': Outcome.LAPSED,
    }
    return known.get(report.outcome, Outcome.FAILED)
