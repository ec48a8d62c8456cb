"""Prefers runners for a step by the time at which it would end there. No I/O.

Load pattern: runners differ in speed. Short urgent jobs end after their objective on slow runners,
while tasks that could end in time anywhere use the fast ones.
"""

from dandelionreel.cell.decisions._cell import Cell
from dandelionreel.cell.decisions._run_times import RunTimes
from dandelionreel.cell.decisions._runner_state import RunnerState
from dandelionreel.cell.decisions._waiting_steps import Candidate, compute_lateness
from dandelionreel.cell.model import JobSpec

#: Priority of the queues whose work always takes the fast runners, and whose advice requests are
#: never deferred.
URGENT_PRIORITY = 0
#: Key of a runner for a step; lower keys are preferred.
PreferenceKey = tuple[int, bool]
NO_PREFERENCE: PreferenceKey = (0, False)


class SpeedPreference:
    """Preference of one step among runners of different speeds."""

    def __init__(self, cell: Cell, candidate: Candidate, now: float) -> None:
        """Compute the preference of a waiting step at ``now``."""
        job, step = candidate.job, candidate.step.step
        queue = job.submission.queue
        self._run_times: RunTimes = cell.run_times
        self._is_urgent = candidate.queue is None or candidate.queue.priority == URGENT_PRIORITY
        self._accepted_at = job.accepted_at
        self._objective = cell.objective_of(job)
        #: Time at which the step would end if it took no time itself, and its usual duration.
        self._end_of_others = now + cell.run_times.best_seconds(
            queue, remaining_seconds(job.spec, candidate.step.name.step)
        )
        self._seconds = cell.run_times.expected_seconds(queue, step.estimate)
        self._key_by_runner: dict[str, PreferenceKey] = {}
        #: Whether it ends in time on a slow runner even if it takes far longer than expected.
        self._tolerates_slow = not self._lateness(
            self._end_of_others
            + self._seconds * cell.run_times.cautious_factor(queue) / cell.run_times.low_speed
        )

    def key(self, runner: RunnerState) -> PreferenceKey:
        """Return the sort key of a runner.

        Urgent work takes the fast runners. Other work takes those where it is expected to end in
        time, and among them the slow ones if it tolerates them.
        """
        key = self._key_by_runner.get(runner.id)
        if key is None:
            key = self._compute_key(runner)
            self._key_by_runner[runner.id] = key
        return key

    def is_fast(self, runner: RunnerState) -> bool:
        """Return whether a runner is one of the fast ones."""
        return self._run_times.is_fast(runner)

    def _compute_key(self, runner: RunnerState) -> PreferenceKey:
        if self._is_urgent:
            return 0, not self._run_times.is_fast(runner)
        end = self._end_of_others + self._seconds / self._run_times.speed_of(runner)
        return self._lateness(end), self._tolerates_slow and self._run_times.is_fast(runner)

    def _lateness(self, end: float) -> int:
        return compute_lateness(end, self._accepted_at, self._objective)


def make_speed_preference(cell: Cell, candidate: Candidate, now: float) -> SpeedPreference | None:
    """Return the preference of a step, ``None`` while the speeds of runners are even."""
    return SpeedPreference(cell, candidate, now) if cell.run_times.is_uneven else None


def remaining_seconds(spec: JobSpec, step: int) -> float:
    """Return the estimated duration of the longest path through the steps that follow a step."""
    seconds_by_step = {step: 0.0}
    for number, later in enumerate(spec.steps):
        before = [
            seconds_by_step[earlier] for earlier in later.depends_on if earlier in seconds_by_step
        ]
        if number > step and before:
            seconds_by_step[number] = max(before) + later.estimate
    return max(seconds_by_step.values())
