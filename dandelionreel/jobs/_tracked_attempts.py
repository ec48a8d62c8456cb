"""Attempts that may be running, as the zone's dispatcher follows them."""

from collections.abc import Iterable, Iterator
from dataclasses import dataclass, field

from dandelionreel.jobs._job_projection import Outcome
from dandelionreel.peers import TaskReport


@dataclass
class TrackedTask:
    """One task; ``absent_after`` is when a report that lacks it begins to count.

    A report tells of a moment that may lie before the start was sent. It is a
    proof of absence only if its maker had seen our clock at that time or later.
    """

    task_id: str
    worker: str
    absent_after: float
    is_running: bool = False
    outcome: Outcome | None = None


@dataclass
class TrackedAttempt:
    """One attempt; ``adopted`` when another dispatcher started it.

    ``intent_wall`` is on the wall clock, ``tracked_at`` on the monotonic one.
    """

    job: str
    number: int
    customer: str
    idempotent: bool
    intent_wall: float
    tracked_at: float = 0
    adopted: bool = False
    stop_requested: bool = False
    is_finalizing: bool = False
    task_by_id: dict[str, TrackedTask] = field(default_factory=dict)

    def unfinished_tasks(self) -> Iterator[TrackedTask]:
        """Yield tasks that have not ended."""
        for task in self.task_by_id.values():
            if task.outcome is None:
                yield task

    @property
    def has_ended(self) -> bool:
        """Return whether all tasks have."""
        return all(task.outcome is not None for task in self.task_by_id.values())

    @property
    def has_failed_task(self) -> bool:
        """Return whether some task ended otherwise than well."""
        return any(
            task.outcome not in {None, Outcome.SUCCEEDED} for task in self.task_by_id.values()
        )

    def combined_outcome(self) -> Outcome:
        """Return what the whole attempt came to; all its tasks have ended."""
        found = {task.outcome for task in self.task_by_id.values()}
        if found == {Outcome.SUCCEEDED}:
            return Outcome.SUCCEEDED
        if found == {Outcome.NOT_STARTED}:
            return Outcome.NOT_STARTED
        for worst in (Outcome.LOST, Outcome.FAILED, Outcome.LAPSED, Outcome.STOPPED):
            if worst in found:
                return worst
        # Some tasks did their work, others never started.
        return Outcome.STOPPED


class AttemptTracker:
    """Tracked attempts by job, and their tasks by worker."""

    def __init__(self) -> None:
        """Start with none."""
        self.attempt_by_job: dict[str, TrackedAttempt] = {}
        self._tasks_by_worker: dict[str, dict[str, TrackedAttempt]] = {}

    def add(self, tracked: TrackedAttempt, tasks: Iterable[TrackedTask]) -> None:
        """Follow an attempt."""
        self.attempt_by_job[tracked.job] = tracked
        for task in tasks:
            tracked.task_by_id[task.task_id] = task
            self._tasks_by_worker.setdefault(task.worker, {})[task.task_id] = tracked

    def drop(self, job: str) -> TrackedAttempt | None:
        """Stop following a job's attempt."""
        tracked = self.attempt_by_job.pop(job, None)
        if tracked is None:
            return None
        for task in tracked.task_by_id.values():
            self._tasks_by_worker.get(task.worker, {}).pop(task.task_id, None)
        return tracked

    def tasks_on_worker(self, worker: str) -> tuple[tuple[TrackedAttempt, TrackedTask], ...]:
        """Return the tracked tasks of a worker that have not ended."""
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
        """Follow nothing any more."""
        self.attempt_by_job.clear()
        self._tasks_by_worker.clear()


def parse_outcome(report: TaskReport) -> Outcome:
    """Return the outcome that a worker reported."""
    known = {
        'succeeded': Outcome.SUCCEEDED,
        'failed': Outcome.FAILED,
        'stopped': Outcome.STOPPED,
        'lapsed': Outcome.LAPSED,
    }
    return known.get(report.outcome, Outcome.FAILED)
