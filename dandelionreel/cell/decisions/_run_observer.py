"""Passes what polls show about runs on to ``RunTimes``. No I/O."""

from collections.abc import Iterable, Mapping

from dandelionreel.cell.decisions._job_run import JobRun
from dandelionreel.cell.decisions._run_times import RunTimes
from dandelionreel.cell.decisions._runner_state import Allocation, AllocationPhase, RunnerState
from dandelionreel.cell.model import EndedRun, RunOutcome, StepName

#: Progress in percent below which a run's end is not projected: the rounding to whole percent
#: distorts it by up to a tenth here, and by more below.
MIN_PROJECTED_PERCENT = 5
ALL_PERCENT = 100
#: Runners report whole percent, rounded down.
HALF_PERCENT = 0.5


class RunObserver:
    """Records durations of ended runs, and projects the ends of running ones."""

    def __init__(self, run_times: RunTimes, job_by_id: Mapping[str, JobRun]) -> None:
        """Record for ``run_times``."""
        self._run_times = run_times
        self._job_by_id = job_by_id
        self._has_projected = False

    def record_view(
        self,
        runner: RunnerState,
        ended_runs: Iterable[tuple[EndedRun, Allocation | None]],
        now: float,
        *,
        was_silent: bool,
    ) -> None:
        """Record the runs that a poll answer at ``now`` lists as ended or running.

        The ends on a runner that ``was_silent`` before are seen too late to show its speed.
        """
        if not was_silent:
            for ended, allocation in ended_runs:
                if allocation is not None and ended.outcome is RunOutcome.DONE:
                    self._record_done_run(runner, allocation, now)
        is_uneven = self._run_times.is_uneven
        self._has_projected = self._has_projected or is_uneven
        for held in runner.allocation_by_run.values() if self._has_projected else ():
            if not is_uneven:
                held.projected_end = None
            elif held.phase is AllocationPhase.RUNNING:
                _project_end(held, now)

    def _record_done_run(self, runner: RunnerState, allocation: Allocation, now: float) -> None:
        if not allocation.starts_afresh or allocation.start_unanswered:
            return
        job = self._job_by_id.get(allocation.task.job)
        step = None if job is None else job.find_step(allocation.task)
        if job is None or step is None or step.step.gang or allocation.started_at is None:
            return
        self._run_times.record_completed_run(
            job.submission.queue,
            StepName.of(allocation.task),
            runner,
            step.step.estimate,
            now - allocation.started_at,
            now,
        )


def _project_end(allocation: Allocation, now: float) -> None:
    """Project the end of a run by its progress, as often as that has changed."""
    percent, started_at = allocation.percent, allocation.started_at
    if percent == allocation.projected_percent or started_at is None:
        return
    allocation.projected_percent = percent
    if allocation.starts_afresh and MIN_PROJECTED_PERCENT <= percent < ALL_PERCENT:
        share = (percent + HALF_PERCENT) / ALL_PERCENT
        allocation.projected_end = started_at + (now - started_at) / share
