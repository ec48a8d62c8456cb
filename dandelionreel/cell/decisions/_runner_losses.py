"""Detects runs that were lost in a crash of their runner. No I/O.

The only proof of a crash is an answer of another incarnation at the runner's address, if the
runner had not announced a drain. Until then a silent runner may just be unreachable.
"""

from collections import deque
from collections.abc import Callable, Iterable
from dataclasses import dataclass

from dandelionreel.cell.decisions._crash_evidence import CrashEvidence, LostRunner
from dandelionreel.cell.decisions._crashes import HEALTHY_SECONDS, Crash
from dandelionreel.cell.decisions._job_run import JobRun
from dandelionreel.cell.decisions._runner_state import NEVER, Allocation, RunnerState
from dandelionreel.cell.model import JobState, Registration, StoredStart, TaskName

Address = tuple[str, int]
#: Seconds before a crash within which another runner may have answered last that is lost too: a
#: runner without work is polled this often, also by an owner that is late.
COINCIDENCE_SECONDS = 3.0
#: Number of recent losses and proofs that are compared.
MAX_COMPARED = 512


@dataclass(frozen=True)
class _Proof:
    """A proven crash, seen at a time in monotonic seconds."""

    task: TaskName
    run: int
    seen_at: float


class RunnerLosses:
    """Counts runner crashes during runs of unfinished jobs."""

    def __init__(
        self,
        unfinished_job_by_id: dict[str, JobRun],
        dirty: set[str],
        runner_by_id: dict[str, RunnerState] | None = None,
    ) -> None:
        """Count crashes for the jobs of ``unfinished_job_by_id`` on ``runner_by_id``.

        The ids of jobs that must be stored are added to ``dirty``. The caller owns these
        collections, and updates them too.
        """
        self._runner_by_id = {} if runner_by_id is None else runner_by_id
        self._evidence = CrashEvidence(self._runner_by_id)
        #: Crashed runs that are hardly by chance, with the time of each crash.
        self._weighed: deque[_Proof] = deque(maxlen=MAX_COMPARED)
        self._unfinished_job_by_id = unfinished_job_by_id
        self._dirty = dirty
        self._lapsed_by_address: dict[Address, LostRunner] = {}
        #: When runners were last heard that were lost while no start broke their connection.
        self._unexplained_losses: deque[float] = deque(maxlen=MAX_COMPARED)
        self._proofs: deque[_Proof] = deque(maxlen=MAX_COMPARED)

    def count_crashes_on_ended_runner(self, runner: RunnerState) -> list[Crash]:
        """Count the runs that were lost with a runner whose process is proven to have ended."""
        if runner.draining:
            return []
        runs = tuple(runner.allocation_by_run.values())
        crashes = self._count_crashes(
            LostRunner(runner.id, runner.answered_at, runner.known_at, runs, runner.broken_at)
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
            self._lapsed_by_address[_runner_address(runner)] = LostRunner(
                runner.id, runner.answered_at, runner.known_at, runs, runner.broken_at
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
        other tasks of these jobs may have run there; their starts are stored from now on. Whether a
        stored start was answered is unknown, so the crash counts as one during the start.
        """
        crashes: list[Crash] = []
        for job in self._unfinished_job_by_id.values():
            if job.may_have_runs_on(runner_id):
                job.mark_crashes_incomplete()
                self._dirty.add(job.id)
            for start in job.crashes.starts_on_runner(runner_id):
                task = _task_name(job.id, start)
                crashes.extend(
                    self._record_crash(job, task, start.run, runner_id, during_start=True)
                )
        return crashes

    def _count_crashes_on_lapsed_runner(self, address: Address) -> list[Crash]:
        return self._count_crashes(self._lapsed_by_address.pop(address))

    def _count_crashes(self, runner: LostRunner) -> list[Crash]:
        is_explained = self._is_explained(runner)
        if not is_explained:
            self._record_unexplained_loss(runner)
        crashes: list[Crash] = []
        for run in runner.runs:
            job = self._unfinished_job_by_id.get(run.task.job)
            if job is None or not run.may_have_run:
                continue
            if (
                run.started_at is not None
                and runner.answered_at - run.started_at >= HEALTHY_SECONDS
            ):
                job.clear_crashes(run.task)
                self._dirty.add(job.id)
                continue
            crashes.extend(
                self._record_crash(
                    job,
                    run.task,
                    run.run,
                    runner.runner,
                    during_start=run.connection_broken,
                    proven=self._is_proven(run, runner),
                    odds=self._weigh(run, runner),
                    lost_at=runner.broken_at or runner.known_at,
                )
            )
        self._evidence.record_loss(runner, is_explained=is_explained)
        return crashes

    def _is_explained(self, runner: LostRunner) -> bool:
        """Return whether a run may have caused the loss of a runner."""
        return any(run.connection_broken or self._is_suspect(run) for run in runner.runs)

    def _is_suspect(self, run: Allocation) -> bool:
        """Return whether a runner was lost during an earlier run of the same task."""
        job = self._unfinished_job_by_id.get(run.task.job)
        return job is not None and job.crashes.count(run.task) > 0

    def _weigh(self, run: Allocation, runner: LostRunner) -> float:
        """Return the odds that a run was met by the loss by chance, and remember them."""
        odds = self._evidence.odds_of(run, runner, self._is_suspect)
        if odds < 1 and runner.broken_at is not None:
            self._weighed.append(_Proof(run.task, run.run, runner.broken_at))
        return odds

    def _is_proven(self, run: Allocation, runner: LostRunner) -> bool:
        """Return whether a crash is proven, and remember it if it is."""
        seen_at = run.crash_seen_at
        if seen_at is None or not _is_proven_crash(run, runner):
            return False
        if any(_is_coincidence(known_at, seen_at) for known_at in self._unexplained_losses):
            return False
        self._proofs.append(_Proof(run.task, run.run, seen_at))
        return True

    def _record_unexplained_loss(self, lost: LostRunner) -> None:
        """Withdraw the proofs of crashes at which another runner was lost too.

        A cause that takes several runners at once is none of their tasks.
        """
        for weighed in self._weighed:
            if lost.may_be_lost_at(weighed.seen_at):
                self._withdraw_odds(weighed)
        known_at = lost.known_at
        self._unexplained_losses.append(known_at)
        for proof in self._proofs:
            job = self._unfinished_job_by_id.get(proof.task.job)
            if job is not None and _is_coincidence(known_at, proof.seen_at):
                job.withdraw_proof(proof.task, proof.run)
                self._dirty.add(job.id)

    def _withdraw_odds(self, weighed: _Proof) -> None:
        job = self._unfinished_job_by_id.get(weighed.task.job)
        if job is not None:
            job.withdraw_odds(weighed.task, weighed.run)
            self._dirty.add(job.id)

    def _record_crash(
        self,
        job: JobRun,
        task: TaskName,
        run: int,
        runner: str,
        *,
        during_start: bool = False,
        proven: bool = False,
        odds: float = 1.0,
        lost_at: float = 0.0,
    ) -> list[Crash]:
        self._evidence.record_losing_task(task, lost_at)
        max_odds = self._evidence.max_chance_odds(lost_at) if odds < 1 else 0.0
        if not job.record_crashed_run(
            task,
            run,
            during_start=during_start,
            proven=proven,
            odds=odds,
            max_odds=max_odds,
            lost_at=lost_at,
        ):
            return []
        self._dirty.add(job.id)
        count = job.crashes.count(task)
        given_up = job.state is JobState.FAILED
        return [Crash(task, run, runner, during_start, proven, odds, count, given_up)]


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


def _is_proven_crash(run: Allocation, runner: LostRunner) -> bool:
    """Return whether the start of a run has crashed its runner, whose process has ended.

    An answer after the connection broke shows that the runner outlived the start, and of two starts
    that were pending it is unknown which one caused the crash. Those of one job may both count: a
    gang starts together, and it is the job that is given up.
    """
    if run.crash_seen_at is None or run.started_at is not None:
        return False
    if max(runner.known_at, run.order_answered_at or NEVER) > run.crash_seen_at:
        return False
    return not any(
        other.is_start_pending for other in runner.runs if other.task.job != run.task.job
    )


def _is_coincidence(known_at: float, seen_at: float) -> bool:
    return seen_at - COINCIDENCE_SECONDS < known_at <= seen_at


def _task_name(job: str, start: StoredStart) -> TaskName:
    return TaskName(job, start.occurrence, start.step, start.index)


def _runner_address(runner: RunnerState) -> Address:
    return runner.registration.address, runner.registration.port
