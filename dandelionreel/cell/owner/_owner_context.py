"""What the parts of the dispatcher share for one term, and how they store notes."""

from collections.abc import Awaitable, Callable
from typing import Any

import curio

from dandelionreel.cell.decisions import MAX_CLOCK_DRIFT, Cell, Crash, JobRun, RunnerState
from dandelionreel.cell.membership import AUTHORITY_SECONDS, Term
from dandelionreel.cell.model import (
    JobState,
    KeyedRecord,
    Progress,
    Registration,
    Runner,
    TaskName,
    Topic,
    make_progress_records,
)
from dandelionreel.cell.store import GroupWriter, WriteOutcome
from dandelionreel.kernel import Clock, Journal, Part, Signal, seconds_or_none

#: Seconds for which runners keep their tasks without a renewal: longer than a usual partition.
LEASE_SECONDS = 8.5

#: Seconds without an answered append after which nothing is started: less than a successor needs to
#: claim the cell and poll the runners.
START_SECONDS = 1.5

#: Seconds that the list of runners may be old when a start is sent: runners drain and shrink.
LIST_SECONDS = 2.5

#: Lost runs that are logged when their runner ends.
MAX_LOGGED = 40

ListAge = Callable[[], float]
Confirms = Callable[[str, float], Awaitable[bool]]
MakeRunner = Callable[[Registration], Runner]


def always_fresh() -> float:
    """Return the age of a list of runners that never gets old."""
    return 0.0


async def always_confirmed(zone: str, since: float) -> bool:
    """Return that nobody in a zone may have shown anything."""
    return True


class OwnerContext:
    """The cell of one term, the right to act on it, and the way to the store."""

    def __init__(
        self,
        term: Term,
        cell: Cell,
        topic: Topic,
        make_runner: MakeRunner,
        longest_lease: float,
        clock: Clock,
        journal: Journal,
        list_age: ListAge = always_fresh,
    ) -> None:
        """Work under ``term``; leases are cut to ``longest_lease`` seconds.

        ``list_age`` tells how old the list of runners is, in seconds.
        """
        self.term = term
        self.cell = cell
        self.clock = clock
        self.journal = journal
        self.lease = min(LEASE_SECONDS, longest_lease)
        self.writer = GroupWriter(topic, clock, journal, term.fence)
        claimed_at = term.claimed_at
        self.writer.stored_at = clock.monotonic() if claimed_at is None else claimed_at
        #: Notified whenever something may be started or has to be stopped.
        self.wake = Signal()
        self.ended = curio.Event()
        #: Jobs that are complete and on their way to the store; ``completed`` is notified
        #: when there are more.
        self.unstored_complete: set[str] = set()
        self.completed = Signal()
        #: Why the term was lost, empty while it was not.
        self.lost = ''
        self.runner_by_id: dict[str, Runner] = {}
        self.list_age = list_age
        self._make_runner = make_runner
        #: Whether hosts of a zone whose runner is silent since a time have told what they
        #: have shown; until then nothing that ran there counts as lost.
        self.confirms: Confirms = always_confirmed

    async def lose(self, cause: str) -> None:
        """End the term: another host owns the cell, or may."""
        if not self.lost:
            self.lost = cause
        await self.ended.set()

    def may_act(self) -> bool:
        """Return whether this host may still send anything as the owner.

        A process that was paused or cut off learns late that it was replaced:
        its orders are then fenced by the runners its successor has reached,
        and this ends them on those that it has not.
        """
        if self.lost or self.writer.fenced:
            return False
        return self.clock.monotonic() - self.writer.stored_at < AUTHORITY_SECONDS

    def may_start(self) -> bool:
        """Return whether this host may still start tasks.

        An owner that the store has not answered for a while may have a
        successor, which reads ends on runners that this host cannot reach.
        Starting a task again here would run it after such an end was noted.
        """
        fresh = self.clock.monotonic() - self.writer.stored_at < START_SECONDS
        return fresh and self.knows_runners() and self.may_act()

    def knows_runners(self) -> bool:
        """Return whether the list of runners is new enough to start by it."""
        return self.list_age() < LIST_SECONDS

    def leases_ran_out(self, state: RunnerState) -> bool:
        """Return whether a runner's tasks are gone because nobody renewed them.

        A successor may renew them unseen. The latest append proves that there
        was none when it was sent, so the leases must have run out by then.
        """
        return state.leases_expired(self.writer.stored_at, MAX_CLOCK_DRIFT)

    async def store_progress(
        self,
        jobs: list[JobRun],
        *others: KeyedRecord,
        patience: float = AUTHORITY_SECONDS,
    ) -> WriteOutcome:
        """Store how far jobs are; that is then shown to clients and relied upon.

        Records are made and queued without a pause between: the store keeps the newest record of a
        job, and an older one that is queued later would revert it.
        """
        progress_by_job = self._note_progress(jobs)
        records = list(others)
        for job, progress in progress_by_job.items():
            records.extend(make_progress_records(job.id, progress))
        await self._expect_complete(progress_by_job)
        outcome = await self.writer.write(records, patience)
        for job, progress in progress_by_job.items():
            if outcome is WriteOutcome.STORED:
                self.unstored_complete.discard(job.id)
                job.stored_state = progress.state
                job.stored_runners.update(progress.runners)
            else:
                self.cell.mark_dirty(job)
        return outcome

    async def flush(self) -> WriteOutcome:
        """Store the progress of all jobs that have got on, and what is on its way.

        Of a job whose progress is queued already there is nothing more to write; if
        that is given up meanwhile, an end would be acknowledged that stands nowhere.
        """
        given_up = self.writer.given_up
        outcome = await self.store_progress(self.cell.take_dirty_jobs())
        return outcome if self.writer.given_up == given_up else WriteOutcome.UNKNOWN

    def end_runner(self, state: RunnerState, cause: str, *, proven: bool) -> None:
        """Note that a runner is gone, and whether its life is ``proven`` to be over."""
        self.journal.tell(
            Part.WORKERS,
            f'{state.id} has ended: {cause}.',
            runner=state.id,
            tasks=len(state.allocation_by_run),
        )
        self._tell_lost(state)
        self.tell_crashes(self.cell.handle_ended_runner(state.id, proven=proven))

    def lapse_runner(self, state: RunnerState) -> None:
        """Take all that runs on a silent runner for gone: its leases have run out."""
        self.journal.tell(
            Part.WORKERS,
            f'the leases on {state.id} have run out.',
            runner=state.id,
            tasks=len(state.allocation_by_run),
            epoch=self.term.epoch,
        )
        self._tell_lost(state)
        self.cell.handle_lapsed_runner(state.id)

    def tell_crashes(self, crashes: list[Crash]) -> None:
        """Tell under which runs a runner has crashed, and which task is given up for it."""
        for crash in crashes:
            outcome = 'its job is given up' if crash.given_up else 'it starts again'
            self.journal.tell(
                Part.WORKERS,
                f'{crash.runner} has crashed under a task: {outcome}.',
                **self.run_fields(crash.runner, crash.task, crash.run),
                close=crash.during_start,
                crashes=crash.count,
            )

    def run_fields(self, runner: str, task: TaskName, run: int) -> dict[str, Any]:
        """Return what names a run in a log line, and who counts it."""
        return {
            'runner': runner,
            'job': task.job,
            'task': task.label,
            'run': run,
            'epoch': self.term.epoch,
        }

    def add_runner(self, state: RunnerState) -> Runner:
        """Open the way to a runner."""
        runner = self._make_runner(state.registration)
        self.runner_by_id[state.id] = runner
        return runner

    async def close_runners(self) -> None:
        """Close the ways to all runners."""
        for runner in self.runner_by_id.values():
            await runner.close()

    async def _expect_complete(self, progress_by_job: dict[JobRun, Progress]) -> None:
        complete = [
            job.id
            for job, progress in progress_by_job.items()
            if progress.state is JobState.COMPLETED
        ]
        if complete:
            self.unstored_complete.update(complete)
            await self.completed.notify()

    def _tell_lost(self, state: RunnerState) -> None:
        """Tell what is lost with a runner, and how long each run had been there.

        ``runner_age`` is how long the runner had not answered, ``seconds`` since when the
        run was placed: a run that was lost as soon as it was placed may be the cause.
        """
        now = self.clock.monotonic()
        for held in tuple(state.allocation_by_run.values())[:MAX_LOGGED]:
            self.journal.tell(
                Part.WORKERS,
                f'a run was lost with {state.id}.',
                **self.run_fields(state.id, held.task, held.run),
                phase=held.phase.value,
                draining=state.draining,
                runner_age=seconds_or_none(now - state.answered_at),
                seconds=round(now - held.placed_at, 3),
            )

    def _note_progress(self, jobs: list[JobRun]) -> dict[JobRun, Progress]:
        wall = self.clock.wall()
        progress_by_job = {}
        for job in jobs:
            leftovers = self.cell.leftovers_of(job, wall) if job.is_over else ()
            progress = job.progress(self.term.epoch, wall, leftovers)
            progress_by_job[job] = progress
            if job.is_over:
                self.journal.tell(
                    Part.JOBS,
                    f'job {job.id} is {progress.state.value}.',
                    job=job.id,
                    queue=job.submission.queue,
                    seconds=round(self.clock.monotonic() - job.accepted_at, 3),
                    objective=round(self.cell.objective_of(job), 3),
                    account=job.account,
                )
        return progress_by_job
