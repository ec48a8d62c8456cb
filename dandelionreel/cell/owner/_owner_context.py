"""State that the parts of the dispatcher share during one term, and writes to the store."""

from collections.abc import Callable
from typing import Any

import curio

from dandelionreel.cell.decisions import (
    ANY_RUNNER,
    MAX_CLOCK_DRIFT,
    Cell,
    Crash,
    JobRun,
    RunnerState,
)
from dandelionreel.cell.membership import AUTHORITY_SECONDS, Term
from dandelionreel.cell.model import (
    KeyedRecord,
    Progress,
    Registration,
    Runner,
    TaskName,
    Topic,
    make_progress_records,
)
from dandelionreel.cell.owner._pacing import Pacing
from dandelionreel.cell.owner._predecessor_leases import MAX_CLOCK_READING_AGE_SECONDS
from dandelionreel.cell.owner._unreached_runners import UnreachedRunners
from dandelionreel.cell.store import GroupWriter, WriteOutcome
from dandelionreel.kernel import ChangeNotifier, Clock, Journal, Part, seconds_or_none

#: Seconds for which runners keep their tasks unless the lease is renewed: longer than most
#: partitions.
LEASE_SECONDS = 8.5

#: Seconds after the owner's last answered append at which its leases end at the latest, so that a
#: successor need not wait longer: a job may be without a run for 14 s. Longer than an outage of the
#: store that is followed by a partition.
LEASE_LIMIT_SECONDS = 11.0

#: Seconds without an answered append after which no task is started: less than a successor needs
#: to claim the cell and poll the runners.
START_AUTHORITY_SECONDS = 1.5

#: Maximum age in seconds of the runner list when a start is sent: a listed runner may have begun to
#: drain or lost capacity since.
MAX_RUNNER_LIST_AGE_SECONDS = 2.5

#: Typical append latency in seconds above which the store counts as slow.
SLOW_APPEND_SECONDS = 0.05

#: Maximum number of lost runs that are logged for one runner.
MAX_LOGGED = 40

GetRunnerListAge = Callable[[], float]
MakeRunner = Callable[[Registration], Runner]


def zero_runner_list_age() -> float:
    """Return 0, the age of a runner list that never becomes stale."""
    return 0.0


class OwnerContext:
    """Cell state of one term, the checks of the owner's authority, and the writer to the store."""

    def __init__(
        self,
        term: Term,
        cell: Cell,
        topic: Topic,
        make_runner: MakeRunner,
        max_lease: float,
        clock: Clock,
        journal: Journal,
        get_runner_list_age: GetRunnerListAge = zero_runner_list_age,
    ) -> None:
        """Create the context of ``term``; leases last at most ``max_lease`` seconds.

        ``get_runner_list_age`` returns the age of the runner list in seconds.
        """
        self.term = term
        self.cell = cell
        self.clock = clock
        self.journal = journal
        #: Whether this owner is short of processor time, and the limits that follow.
        self.pacing = Pacing()
        self.lease = min(LEASE_SECONDS, max_lease)
        self.unreached_runners = UnreachedRunners(cell, clock.monotonic())
        self.writer = GroupWriter(topic, clock, journal, term.fence)
        claimed_at = term.claimed_at
        self.writer.stored_at = clock.monotonic() if claimed_at is None else claimed_at
        #: Notified whenever a task may be startable or has to be stopped.
        self.plan_needed = ChangeNotifier()
        self.ended = curio.Event()
        #: Why the term has ended; empty while it lasts.
        self.end_reason = ''
        self.runner_by_id: dict[str, Runner] = {}
        self.get_runner_list_age = get_runner_list_age
        self._make_runner = make_runner

    async def end_term(self, cause: str) -> None:
        """End the term: another host owns the cell or may own it."""
        if not self.end_reason:
            self.end_reason = cause
        await self.ended.set()

    def may_send_orders(self) -> bool:
        """Return whether this host may still send orders as the owner.

        A process that was paused or partitioned learns late that it was replaced. Runners that its
        successor has reached fence its orders; this check covers the runners that the successor has
        not reached.
        """
        if self.end_reason or self.writer.fenced:
            return False
        return self.clock.monotonic() - self.writer.stored_at < AUTHORITY_SECONDS

    def may_start_tasks(self) -> bool:
        """Return whether this host may still start tasks.

        While the store does not answer, a successor may already have read the end of a run on a
        runner that this host cannot reach. Restarting the task here would run it again after that
        end was recorded.
        """
        recently_stored = self.clock.monotonic() - self.writer.stored_at < START_AUTHORITY_SECONDS
        return recently_stored and self.runner_list_is_fresh() and self.may_send_orders()

    def runner_list_is_fresh(self) -> bool:
        """Return whether the runner list is recent enough to start tasks by."""
        return self.get_runner_list_age() < MAX_RUNNER_LIST_AGE_SECONDS

    def have_leases_expired(self, state: RunnerState) -> bool:
        """Return whether all leases on a runner have expired, so that its tasks have ended.

        A successor could renew them without this host's knowledge. The latest answered append
        proves that there was no successor when it was sent, so the leases must have expired by that
        time.
        """
        return state.have_leases_expired(self.writer.stored_at, MAX_CLOCK_DRIFT)

    def lease_for(self, state: RunnerState, now: float) -> float:
        """Return the seconds of a lease that is granted now.

        A successor waits as if the runner's clock was read recently. The lease from an older
        reading, as a late owner has it, is shorter by what a slow clock may have lost since then.
        """
        lease = min(self.lease, self.writer.stored_at + LEASE_LIMIT_SECONDS - now)
        if not state.knows_clock():
            return lease
        excess = state.clock_age(now) - MAX_CLOCK_READING_AGE_SECONDS
        return lease - MAX_CLOCK_DRIFT * max(0.0, excess)

    async def store_progress(
        self,
        jobs: list[JobRun],
        *other_records: KeyedRecord,
        timeout: float = AUTHORITY_SECONDS,
    ) -> WriteOutcome:
        """Store the progress of jobs; once stored it is shown to clients and relied upon.

        The coroutine does not yield between building and queueing the records: the store keeps the
        newest record of a job, and an older record queued later would revert it.
        """
        progress_by_job = self._make_progress_by_job(jobs)
        version_by_job = {job: job.runners_version for job in jobs}
        records = list(other_records)
        for job, progress in progress_by_job.items():
            records.extend(make_progress_records(job.id, progress))
        outcome = await self.writer.write(records, timeout)
        for job, progress in progress_by_job.items():
            if outcome is WriteOutcome.STORED:
                job.stored_state = progress.state
                job.confirm_stored_runners(progress.runners, version_by_job[job])
            else:
                self.cell.mark_dirty(job)
        return outcome

    async def flush_progress(self) -> WriteOutcome:
        """Store the progress of all changed jobs and wait for writes that are already queued.

        A job whose progress is already queued has nothing more to write. If a write is abandoned
        meanwhile, the result is ``UNKNOWN``: otherwise the end of a run would be acknowledged to
        its runner although it is not in the store.
        """
        abandoned_before = self.writer.abandoned_count
        outcome = await self.store_progress(self.cell.take_dirty_jobs())
        return outcome if self.writer.abandoned_count == abandoned_before else WriteOutcome.UNKNOWN

    def remove_ended_runner(self, state: RunnerState, cause: str, *, proven: bool) -> None:
        """Remove a runner that has ended; ``proven`` if its process is known to be gone."""
        self.journal.log(
            Part.WORKERS,
            f'{state.id} has ended: {cause}.',
            runner=state.id,
            tasks=len(state.allocation_by_run),
        )
        self._log_lost_runs(state)
        self.log_crashes(self.cell.handle_ended_runner(state.id, proven=proven))

    def remove_replaced_runner(self, state: RunnerState) -> None:
        """Remove a runner at whose address another one answers."""
        self.remove_ended_runner(state, 'another runner answers at its address', proven=True)

    def expire_runner_leases(self, state: RunnerState) -> None:
        """Treat all runs on a silent runner as ended, since its leases have expired."""
        self.journal.log(
            Part.WORKERS,
            f'the leases on {state.id} have run out.',
            runner=state.id,
            tasks=len(state.allocation_by_run),
            epoch=self.term.epoch,
        )
        self._log_lost_runs(state)
        self.cell.handle_lapsed_runner(state.id)

    def log_crashes(self, crashes: list[Crash]) -> None:
        """Log the runs during which a runner crashed, and whether their job is given up."""
        for crash in crashes:
            outcome = 'its job is given up' if crash.given_up else 'it will be retried'
            self.journal.log(
                Part.WORKERS,
                f'{crash.runner} has crashed under a task: {outcome}.',
                **self.make_run_fields(crash.runner, crash.task, crash.run),
                close=crash.during_start,
                proven=crash.proven,
                odds=crash.odds,
                crashes=crash.count,
            )

    def make_run_fields(self, runner: str, task: TaskName, run: int) -> dict[str, Any]:
        """Return the fields that identify a run in a log line, with the owner's epoch."""
        return {
            'runner': runner,
            'job': task.job,
            'task': task.label,
            'run': run,
            'epoch': self.term.epoch,
        }

    def add_runner_client(self, state: RunnerState) -> Runner:
        """Create the client of a runner."""
        runner = self._make_runner(state.registration)
        self.runner_by_id[state.id] = runner
        return runner

    async def close_runner_clients(self) -> None:
        """Close the clients of all runners."""
        for runner in self.runner_by_id.values():
            await runner.close()

    def _log_lost_runs(self, state: RunnerState) -> None:
        """Log the runs that are lost with a runner.

        ``runner_age`` is the time since the runner last answered, ``seconds`` the time since the
        run was placed: a run that is lost right after it was placed may be the cause.
        """
        now = self.clock.monotonic()
        for allocation in tuple(state.allocation_by_run.values())[:MAX_LOGGED]:
            self.journal.log(
                Part.WORKERS,
                f'a run was lost with {state.id}.',
                **self.make_run_fields(state.id, allocation.task, allocation.run),
                phase=allocation.phase.value,
                draining=state.draining,
                runner_age=seconds_or_none(now - state.answered_at),
                seconds=round(now - allocation.placed_at, 3),
            )

    def _forget_unused_runners(self, job: JobRun) -> None:
        in_use = self.cell.runners_in_use(job)
        if self.writer.typical_latency > SLOW_APPEND_SECONDS or self.cell.unseen_runners:
            # While the store is slow, a start must not wait for an append.
            in_use.add(ANY_RUNNER)
        job.forget_runners(in_use)

    def _make_progress_by_job(self, jobs: list[JobRun]) -> dict[JobRun, Progress]:
        unix_time = self.clock.unix_time()
        progress_by_job = {}
        for job in jobs:
            self._forget_unused_runners(job)
            leftovers = self.cell.leftovers_of(job, unix_time) if job.is_finished else ()
            progress = job.progress(self.term.epoch, unix_time, leftovers)
            progress_by_job[job] = progress
            if job.is_finished:
                self.journal.log(
                    Part.JOBS,
                    f'job {job.id} is {progress.state.value}.',
                    job=job.id,
                    queue=job.submission.queue,
                    seconds=round(self.clock.monotonic() - job.accepted_at, 3),
                    objective=round(self.cell.objective_of(job), 3),
                    account=job.account,
                )
        return progress_by_job
