"""Detects runs that were lost in a crash of their runner. No I/O.

The only proof of a crash is an answer of another incarnation at the runner's address, if the
runner had not announced a drain. Until then a silent runner may just be unreachable.
"""

from collections.abc import Callable, Iterable
from dataclasses import dataclass

from dandelionreel.cell.decisions._crashes import HEALTHY_SECONDS, Crash
from dandelionreel.cell.decisions._job_run import JobRun
from dandelionreel.cell.decisions._runner_state import NEVER, Allocation, RunnerState
from dandelionreel.cell.model import Registration, StoredStart, TaskName

Address = tuple[str, int]


@dataclass(frozen=True)
class _LapsedRunner:
    """A silent runner whose leases have expired, with the runs that it may have lost."""

    runner: str
    answered_at: float
    runs: tuple[Allocation, ...]


class RunnerLosses:
    """Counts runner crashes during runs of unfinished jobs."""

    def __init__(self, unfinished_job_by_id: dict[str, JobRun], dirty: set[str]) -> None:
        """Count crashes for the jobs of ``unfinished_job_by_id``.

        The ids of jobs that must be stored are added to ``dirty``. The caller owns both
        collections, and updates them too.
        """
        self._unfinished_job_by_id = unfinished_job_by_id
        self._dirty = dirty
        self._lapsed_by_address: dict[Address, _LapsedRunner] = {}

    def count_crashes_on_ended_runner(self, runner: RunnerState) -> list[Crash]:
        """Count the runs that were lost with a runner whose process is proven to have ended."""
        if runner.draining:
            return []
        crashes = self._count_crashes(
            runner.id, runner.answered_at, tuple(runner.allocation_by_run.values())
        )
        lapsed = self._lapsed_by_address.get(_runner_address(runner))
        if lapsed is not None and lapsed.runner == runner.id:
            crashes.extend(self._count_crashes_on_lapsed_runner(_runner_address(runner)))
        if runner.answered_at == NEVER:
            crashes.extend(self.count_crashes_on_unseen_runner(runner.id))
        return crashes

    def record_lapsed_runner(self, runner: RunnerState) -> None:
        """Keep the runs of a silent runner until it is known whether the runner has crashed."""
        if not runner.draining:
            runs = tuple(runner.allocation_by_run.values())
            self._lapsed_by_address[_runner_address(runner)] = _LapsedRunner(
                runner.id, runner.answered_at, runs
            )

    def handle_first_answer(self, runner: RunnerState) -> list[Crash]:
        """Handle a runner's first answer: any earlier process at its address has ended.

        An entry of a later process proves no end, since entries of earlier ones may arrive late.
        """
        lapsed = self._lapsed_by_address.get(_runner_address(runner))
        if lapsed is None:
            return []
        if lapsed.runner == runner.id:
            # The runner was only unreachable.
            self._lapsed_by_address.pop(_runner_address(runner))
            return []
        return self._count_crashes_on_lapsed_runner(_runner_address(runner))

    def count_crashes_on_unseen_runner(self, runner_id: str) -> list[Crash]:
        """Count the stored starts of earlier owners on a runner that this owner never reached.

        The runner has ended, or its entry is gone. First starts are not stored individually, so
        other tasks of these jobs may have run there; their starts are stored from now on.
        """
        crashes: list[Crash] = []
        for job in self._unfinished_job_by_id.values():
            if job.may_have_runs_on(runner_id):
                job.mark_crashes_incomplete()
                self._dirty.add(job.id)
            for start in job.crashes.starts_on_runner(runner_id):
                task = _task_name(job.id, start)
                crashes.extend(
                    self._record_crash(job, task, start.run, runner_id, during_start=False)
                )
        return crashes

    def _count_crashes_on_lapsed_runner(self, address: Address) -> list[Crash]:
        lapsed = self._lapsed_by_address.pop(address)
        return self._count_crashes(lapsed.runner, lapsed.answered_at, lapsed.runs)

    def _count_crashes(
        self,
        runner_id: str,
        answered_at: float,
        held: Iterable[Allocation],
    ) -> list[Crash]:
        crashes: list[Crash] = []
        for run in held:
            job = self._unfinished_job_by_id.get(run.task.job)
            if job is None or not run.may_have_run:
                continue
            if run.started_at is not None and answered_at - run.started_at >= HEALTHY_SECONDS:
                job.clear_crashes(run.task)
                self._dirty.add(job.id)
                continue
            crashes.extend(
                self._record_crash(
                    job, run.task, run.run, runner_id, during_start=run.connection_broken
                )
            )
        return crashes

    def _record_crash(
        self,
        job: JobRun,
        task: TaskName,
        run: int,
        runner: str,
        *,
        during_start: bool,
    ) -> list[Crash]:
        if not job.record_crashed_run(task, run, during_start=during_start):
            return []
        self._dirty.add(job.id)
        count = job.crashes.count(task)
        return [
            Crash(task, run, runner, during_start, count, job.crashes.has_reached_crash_limit(task))
        ]


def apply_last_registrations(
    runners: Iterable[RunnerState],
    find_registration: Callable[[str], Registration | None],
    now: float,
) -> None:
    """Apply the last registrations of runners whose entries have been removed.

    A drain that is read together with the removal of the entry would be missed otherwise, and a
    runner that stopped as announced would count as crashed.
    """
    for runner in runners:
        last = None if runner.listed else find_registration(runner.id)
        if last is not None:
            runner.apply_registration(last, now)


def _task_name(job: str, start: StoredStart) -> TaskName:
    return TaskName(job, start.occurrence, start.step, start.index)


def _runner_address(runner: RunnerState) -> Address:
    return runner.registration.address, runner.registration.port
