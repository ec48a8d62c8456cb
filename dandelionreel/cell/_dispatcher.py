"""The owner's work for one term, around the decisions of ``Cell`` and ``Planner``."""

from contextlib import AsyncExitStack
from dataclasses import dataclass

import curio

from dandelionreel.cell._advisors import AdvicePool, LocalAdvisor, PeerLinks
from dandelionreel.cell._attendant import Attendant
from dandelionreel.cell._cell import Cell
from dandelionreel.cell._desk import Desk, MakeRunner
from dandelionreel.cell._directory import ConfigurationFolder, JobFolder
from dandelionreel.cell._election import AUTHORITY_SECONDS, BEAT_SECONDS, Election, Term
from dandelionreel.cell._follower import Follower
from dandelionreel.cell._inquiries import Question
from dandelionreel.cell._job_book import BookedJob
from dandelionreel.cell._model import JobState
from dandelionreel.cell._orders import Orders
from dandelionreel.cell._planner import Plan, Planner
from dandelionreel.cell._predecessors import Predecessors
from dandelionreel.cell._records import (
    ATTENDED_KEY,
    CANCELLATION,
    OWNER_KEY,
    PROGRESS,
    SUBMISSION,
    Attended,
    Cancellation,
    Owner,
    Submission,
    make_record,
    make_tombstone,
)
from dandelionreel.cell._runner_list import RunnersFolder
from dandelionreel.cell._runs import ANY_RUNNER, JobRun
from dandelionreel.cell._services import (
    KeyedRecord,
    Permit,
    Topic,
)
from dandelionreel.cell._succession import Succession
from dandelionreel.cell._writer import Written
from dandelionreel.kernel import Clock, Journal, Part, start_task

#: Typical seconds of an append above which the store counts as slow: a job
#: would spend too much of its time on one more of them.
SLOW_SECONDS = 0.05
#: Seconds of failed appends after which new work is refused at once.
REFUSE_SECONDS = 0.25
#: Seconds between looks at the list of runners, at gangs and at old jobs.
ROUND_SECONDS = 0.1
#: Seconds in which news are gathered for one plan: each one looks at all that
#: waits. A start is later by half of that in the mean.
PLAN_PAUSE = 0.004
#: A plan is followed by a rest of this many times what it took: with a long
#: backlog, plans alone would take the whole processor and orders would wait.
PLAN_REST = 1.5
#: Seconds in which a released cell's last record must be stored.
RELEASE_PATIENCE = 1.0
#: Seconds between looks for jobs that ended long ago: each one goes through all.
DROP_SECONDS = 5.0
#: Seconds before a question that failed is put again.
QUESTION_PAUSE = 0.1


@dataclass(frozen=True)
class DispatcherParts:
    """What a dispatcher works with; made once, used for every term."""

    topic: Topic
    follower: Follower
    jobs: JobFolder
    runners: RunnersFolder
    configuration: ConfigurationFolder
    election: Election
    links: PeerLinks
    advisor: LocalAdvisor
    make_runner: MakeRunner
    clock: Clock
    journal: Journal
    host: str
    gang_timeout: float
    longest_lease: float
    status_kept: float


class Dispatcher:
    """Dispatches for one term and ends with it."""

    def __init__(self, parts: DispatcherParts, term: Term) -> None:
        """Work under ``term``."""
        self._parts = parts
        self._clock = parts.clock
        self._journal = parts.journal
        self.cell = Cell(term.epoch, parts.gang_timeout)
        self._desk = Desk(
            term,
            self.cell,
            parts.topic,
            parts.make_runner,
            parts.longest_lease,
            parts.clock,
            parts.journal,
        )
        self._orders = Orders(self._desk)
        self._attendant = Attendant(self._desk)
        self._succession = Succession(
            self._desk,
            parts.jobs.book,
            parts.links,
            parts.election,
            parts.host,
        )
        self._predecessors = Predecessors(term, self._desk.lease, parts.clock.monotonic())
        self._dropped_at = float('-inf')
        self._planner = Planner(self.cell)
        self._pool = AdvicePool(
            parts.host,
            lambda: parts.jobs.book.member_by_host,
            parts.links,
            parts.advisor,
            parts.clock,
            parts.journal,
            self._take_advice,
            self._miss_advice,
        )

    @property
    def acting(self) -> bool:
        """Return whether this host still has the right to act as the owner."""
        return self._desk.may_act()

    @property
    def store_is_failing(self) -> bool:
        """Return whether nothing could be stored for a while."""
        return self._desk.writer.in_trouble(self._clock.monotonic())

    async def run(self) -> None:
        """Dispatch until the term is lost or ended by ``end``."""
        self._begin()
        async with AsyncExitStack() as stack:
            stack.push_async_callback(self._desk.close_runners)
            self._stack = stack
            for work in (self._desk.writer.run, self._beat, self._feed, self._rounds, self._plan):
                await start_task(stack, work)
            await self._desk.ended.wait()
            if not self._desk.lost:
                await self._release()
                # Starts that are under way must not follow the release.
                self._desk.lost = 'released'
        self._journal.tell(
            Part.OWNERSHIP,
            f'does not own the cell any more: {self._desk.lost}.',
            epoch=self._desk.term.epoch,
        )

    async def end(self) -> None:
        """Give the cell up for another host."""
        await self._desk.ended.set()

    async def accept(self, job_id: str, submission: Submission, patience: float) -> Written:
        """Store a job; its advice is asked for meanwhile.

        While the store is slow, its runners are not stored one by one: the job
        is marked as running anywhere, and its starts need no append of theirs.
        """
        known = self.cell.job_by_id.get(job_id)
        if known is not None and known.stored:
            return Written.STORED
        booked = BookedJob(job_id, submission, cancelled=False, progress=None)
        self.cell.see_job(booked, self._clock.monotonic(), self._clock.wall())
        job = self.cell.job_by_id[job_id]
        job.stored = False
        record = make_record(SUBMISSION + job_id, submission)
        slow = self._desk.writer.usual_seconds > SLOW_SECONDS
        if slow:
            job.runners.add(ANY_RUNNER)
        await self._desk.wake.notify()
        writing = await curio.spawn(self._finish_accept, job, record, slow, daemon=True)
        outcome = await curio.ignore_after(patience, writing.join)
        return outcome or Written.UNKNOWN

    async def cancel(self, job_id: str, patience: float) -> Written:
        """Store that a client has cancelled a job, and have it stopped."""
        record = make_record(CANCELLATION + job_id, Cancellation(self._clock.wall()))
        writing = await curio.spawn(self._finish_cancel, job_id, record, daemon=True)
        return await curio.ignore_after(patience, writing.join) or Written.UNKNOWN

    def state_of(self, job_id: str) -> JobState | None:
        """Return what clients are told about a job, ``None`` if it is not known."""
        job = self.cell.job_by_id.get(job_id)
        return None if job is None or not job.stored else job.shown_state

    async def _finish_accept(self, job: JobRun, record: KeyedRecord, slow: bool) -> Written:
        noted = [job] if slow else []
        outcome = await self._desk.store_progress(noted, record, patience=REFUSE_SECONDS)
        if outcome is Written.STORED:
            job.stored = True
        elif outcome is Written.REFUSED and not job.stored:
            self.cell.forget_job(job.id)
        await self._desk.wake.notify()
        return outcome

    async def _finish_cancel(self, job_id: str, record: KeyedRecord) -> Written:
        outcome = await self._desk.writer.write([record], REFUSE_SECONDS)
        if outcome is Written.STORED:
            self.cell.cancel(job_id)
            await self._desk.wake.notify()
        return outcome

    async def _release(self) -> None:
        await self._desk.flush()
        owner = Owner(self._desk.term.epoch, self._parts.host, self._desk.term.term, released=True)
        await self._desk.writer.write([make_record(OWNER_KEY, owner)], RELEASE_PATIENCE)

    def _begin(self) -> None:
        """Take what the store knows; wait for the runners that may hold more."""
        parts = self._parts
        now = self._clock.monotonic()
        self.cell.configuration = parts.configuration.current
        if self._desk.term.silent_since is not None:
            self._expect_former_runs(now)
        parts.jobs.book.take_changed()
        for job_id in tuple(parts.jobs.book.submission_by_id):
            self._see_job(job_id)

    def _expect_former_runs(self, now: float) -> None:
        """Remember the runners on which a former owner's tasks may run.

        Until each of them has listed its tasks, or all leases there must have
        run out, the jobs that the store names with it are left alone.
        """
        parts = self._parts
        for runner in parts.jobs.book.former_runners():
            registration = parts.runners.find(runner)
            if registration is None or not parts.runners.replaced(registration):
                self.cell.unseen.add(runner)
        self._tell_unseen('leaves the tasks of runners alone that it has not seen yet.', now)

    def _give_up_unseen(self, now: float) -> None:
        """Take the tasks on unseen runners for gone once their leases must be over."""
        if not self.cell.unseen:
            return
        if self._predecessors.look(self._parts.jobs.book, now):
            self._tell_unseen('finds that the former owner has ended.', now)
        if now > self._predecessors.until:
            self._tell_unseen('takes the leases on unseen runners for run out.', now)
            self.cell.unseen.clear()

    def _tell_unseen(self, sentence: str, now: float) -> None:
        self._journal.tell(
            Part.OWNERSHIP,
            sentence,
            epoch=self._desk.term.epoch,
            runners=sorted(self.cell.unseen),
            seconds=round(self._predecessors.until - now, 3),
            former_silent=round(self._predecessors.silent, 3),
            former_ended=self._predecessors.ended,
            unsettled=self._desk.term.unsettled,
        )

    async def _beat(self) -> None:
        beat = 0
        stored: frozenset[str] = frozenset()
        while True:
            beat += 1
            left = self._predecessors.until - self._clock.monotonic() if self.cell.unseen else 0
            owner = Owner(
                self._desk.term.epoch,
                self._parts.host,
                self._desk.term.term,
                beat,
                unsettled=round(max(0.0, left), 2),
            )
            records = [make_record(OWNER_KEY, owner)]
            attended = frozenset(self.cell.runner_by_id)
            if attended != stored:
                fact = Attended(self._desk.term.epoch, tuple(sorted(attended)))
                records.append(make_record(ATTENDED_KEY, fact))
            outcome = await self._desk.store_progress(self.cell.take_dirty(), *records)
            if outcome is Written.FENCED:
                await self._desk.lose('another host has written with a higher epoch')
                return
            stored = attended
            await self._use_runners(stored)
            await curio.sleep(BEAT_SECONDS)

    async def _use_runners(self, stored: frozenset[str]) -> None:
        """Let tasks be placed on the runners that the store now names."""
        for runner_id, state in self.cell.runner_by_id.items():
            if runner_id in stored and not state.recorded:
                state.recorded = True
                await self._desk.wake.notify()

    async def _feed(self) -> None:
        """Take news of jobs as the log tells them."""
        follower = self._parts.follower
        book = self._parts.jobs.book
        while True:
            seen = follower.changed.count
            if not self._parts.election.still_owner(self._desk.term):
                await self._desk.lose('the store names another owner')
                return
            changed = book.take_changed()
            for job_id in changed:
                self._see_job(job_id)
            if changed:
                await self._desk.wake.notify()
            await follower.changed.wait(seen, 1.0)

    def _see_job(self, job_id: str) -> None:
        booked = self._parts.jobs.book.find(job_id)
        if booked is not None and booked.unreadable:
            self.cell.see_job(booked, self._clock.monotonic(), self._clock.wall())
            return
        if booked is None or booked.submission is None:
            self._forget_job(job_id, booked)
            return
        self.cell.see_job(booked, self._clock.monotonic(), self._clock.wall())
        self.cell.job_by_id[job_id].stored = True

    def _forget_job(self, job_id: str, booked: BookedJob | None) -> None:
        job = self.cell.job_by_id.get(job_id)
        if job is not None and not job.over:
            self._journal.tell(
                Part.JOBS,
                f'job {job_id} is under way here and over in the store.',
                job=job_id,
                state=job.state.value,
                stored=booked.state.value if booked else None,
            )
        self.cell.forget_job(job_id)

    async def _rounds(self) -> None:
        """Look after everything that no event announces."""
        while True:
            if not self._desk.may_act():
                await self._desk.lose('the store has not answered for too long')
                return
            now = self._clock.monotonic()
            await self._succession.look(now)
            self.cell.configuration = self._parts.configuration.current
            await self._see_runners()
            self._give_up_unseen(now)
            self._stop_doomed(now)
            await self._drop_old_jobs()
            await self._desk.wake.notify()
            await curio.sleep(ROUND_SECONDS)

    def _stop_doomed(self, now: float) -> None:
        """Stop gangs that are not complete, and tasks whose runner is leaving."""
        for step in self.cell.check_gangs(now, self._clock.wall()):
            self._journal.tell_frequent(
                Part.PLACEMENT,
                'stopped a gang that did not come together.',
                job=step.name.job,
                step=step.name.step,
            )
        for allocation in self.cell.evacuate(now):
            self._journal.tell_frequent(
                Part.PLACEMENT,
                f'moves a task away from {allocation.runner}, which is leaving.',
                job=allocation.task.job,
                run=allocation.run,
                runner=allocation.runner,
            )

    async def _see_runners(self) -> None:
        folder = self._parts.runners
        now = self._clock.monotonic()
        fresh = self.cell.see_runners(folder.registration_by_id, now)
        for runner_id in self.cell.unseen - self.cell.runner_by_id.keys():
            # Its entry has gone, but it may live and hold tasks.
            registration = folder.find(runner_id)
            if registration is not None:
                fresh.append(self.cell.add_unlisted(registration))
        for state in fresh:
            runner = self._desk.add_runner(state)
            await start_task(self._stack, self._attendant.attend, state, runner)
        for state in tuple(self.cell.runner_by_id.values()):
            if state.listed:
                continue
            if folder.replaced(state.registration):
                self._desk.end_runner(state, 'another runner has come up at its address')

    async def _drop_old_jobs(self) -> None:
        """Drop the keys of jobs that ended long ago."""
        now = self._clock.monotonic()
        if now < self._dropped_at + DROP_SECONDS:
            return
        self._dropped_at = now
        oldest = self._clock.wall() - self._parts.status_kept * 2
        records: list[KeyedRecord] = []
        for job_id in self._parts.jobs.book.jobs_ended_before(oldest):
            records.extend(
                make_tombstone(key + job_id) for key in (SUBMISSION, CANCELLATION, PROGRESS)
            )
        if records:
            await curio.spawn(self._desk.writer.write, records, AUTHORITY_SECONDS, daemon=True)

    async def _plan(self) -> None:
        while True:
            seen = self._desk.wake.count
            began = self._clock.monotonic()
            made = Plan()
            if self._desk.may_start():
                made = self._planner.plan(self._clock.monotonic(), self._clock.wall())
            for allocation in self.cell.take_stops():
                await curio.spawn(self._orders.send_stop, allocation, daemon=True)
            self._tell_preempted(made)
            if self._desk.may_start():
                await self._orders.send_starts(made.starts)
                for question in made.questions:
                    await self._pool.ask(question)
                spent = self._clock.monotonic() - began
                await curio.sleep(max(PLAN_PAUSE, PLAN_REST * spent))
            await self._desk.wake.wait(seen, 1.0)

    def _tell_preempted(self, made: Plan) -> None:
        for allocation in made.preempted:
            self._journal.tell_frequent(
                Part.PLACEMENT,
                f'stops a task on {allocation.runner} to make room for a gang.',
                job=allocation.task.job,
                run=allocation.run,
                runner=allocation.runner,
            )

    async def _take_advice(
        self,
        question: Question,
        permits: tuple[Permit, ...],
        until: float,
    ) -> None:
        self.cell.tickets.note(question.step, question.runners, permits, until)
        self._journal.tell_frequent(
            Part.PLACEMENT,
            f'{len(permits)} of {len(question.runners)} runners are allowed.',
            job=question.step.job,
            step=question.step.step,
            valid=round(until - self._clock.monotonic(), 3),
        )
        await self._desk.wake.notify()

    async def _miss_advice(self, question: Question) -> None:
        not_before = self._clock.monotonic() + QUESTION_PAUSE
        self.cell.tickets.note_failure(question.step, not_before)
