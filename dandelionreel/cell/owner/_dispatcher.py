"""The owner's work for one term, around the decisions of ``Cell`` and ``Planner``."""

from contextlib import AsyncExitStack

import curio

from dandelionreel.cell.decisions import ANY_RUNNER, AdviceRequest, Cell, JobRun, Plan, Planner
from dandelionreel.cell.membership import BEAT_SECONDS, AdvicePool, Term
from dandelionreel.cell.model import (
    ATTENDED_KEY,
    CANCELLATION,
    OWNER_KEY,
    SUBMISSION,
    Attended,
    Cancellation,
    JobState,
    KeyedRecord,
    Permit,
    Submission,
    make_record,
)
from dandelionreel.cell.owner._completion_gossip import CompletionGossip
from dandelionreel.cell.owner._load_report import LoadReport
from dandelionreel.cell.owner._orders import Orders
from dandelionreel.cell.owner._owner_context import OwnerContext
from dandelionreel.cell.owner._parts import DispatcherParts
from dandelionreel.cell.owner._rounds import Rounds
from dandelionreel.cell.owner._zone_confirmation import ZoneConfirmation
from dandelionreel.cell.store import BookedJob, Written
from dandelionreel.kernel import Part, start_task

#: Typical seconds of an append above which the store counts as slow.
SLOW_SECONDS = 0.05
#: Seconds of failed appends after which new work is refused at once.
REFUSE_SECONDS = 0.25
#: Seconds in which news is gathered for one plan.
PLAN_PAUSE = 0.004
#: A plan is followed by a pause of this many times its duration, so that plans with a long backlog
#: leave processor time for orders.
PLAN_REST = 1.5
#: Seconds in which a released cell's last record must be stored.
RELEASE_PATIENCE = 1.0
#: Jobs that one line names.
MAX_LOGGED = 80
#: Seconds before a question that failed is put again.
REQUEST_PAUSE = 0.1


class Dispatcher:
    """Dispatches for one term and ends with it."""

    def __init__(self, parts: DispatcherParts, term: Term) -> None:
        """Work under ``term``."""
        self._parts = parts
        self._clock = parts.clock
        self._journal = parts.journal
        self.cell = Cell(term.epoch, parts.gang_timeout)
        self._owner_context = OwnerContext(
            term,
            self.cell,
            parts.topic,
            parts.make_runner,
            parts.longest_lease,
            parts.clock,
            parts.journal,
            parts.list_age,
        )
        self._orders = Orders(self._owner_context)
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
        self._completion_gossip = CompletionGossip(
            self._owner_context,
            parts.jobs.book,
            parts.links,
            parts.completions,
            parts.host,
        )
        self._owner_context.confirms = ZoneConfirmation(
            self._owner_context,
            parts.jobs.book,
            self._completion_gossip,
            parts.host,
        ).is_confirmed
        self._load = LoadReport(self.cell, self._pool, self._orders.window, parts.journal)
        self._rounds = Rounds(parts, self._owner_context, self._load)

    @property
    def acting(self) -> bool:
        """Return whether this host still has the right to act as the owner."""
        return self._owner_context.may_act()

    @property
    def store_is_failing(self) -> bool:
        """Return whether nothing could be stored for a while."""
        return self._owner_context.writer.in_trouble(self._clock.monotonic())

    @property
    def stored_at(self) -> float:
        """Return when the latest append that was answered had been sent."""
        return self._owner_context.writer.stored_at

    async def run(self) -> None:
        """Dispatch until the term is lost or ended by ``end``."""
        self._begin()
        self._completion_gossip.begin()
        async with AsyncExitStack() as stack:
            stack.push_async_callback(self._owner_context.close_runners)
            for work in (
                self._owner_context.writer.run,
                self._beat,
                self._feed,
                self._plan,
                self._orders.measure_delay,
                self._completion_gossip.ask,
                self._completion_gossip.run,
            ):
                await start_task(stack, work)
            await start_task(stack, self._rounds.run, stack)
            await self._owner_context.ended.wait()
            if not self._owner_context.lost and not await self._rounds.leave():
                await self._release()
        self._journal.tell(
            Part.OWNERSHIP,
            f'does not own the cell any more: {self._owner_context.lost}.',
            epoch=self._owner_context.term.epoch,
        )

    async def end(self) -> None:
        """Give the cell up for another host."""
        await self._owner_context.ended.set()

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
        self._log_rate(job)
        job.stored = False
        record = make_record(SUBMISSION + job_id, submission)
        slow = self._owner_context.writer.usual_seconds > SLOW_SECONDS
        if slow:
            job.runners.add(ANY_RUNNER)
        await self._owner_context.wake.notify()
        writing = await curio.spawn(self._finish_accept, job, record, slow, daemon=True)
        outcome = await curio.ignore_after(patience, writing.join)
        return outcome or Written.UNKNOWN

    async def cancel(self, job_id: str, patience: float) -> Written:
        """Store that a client has cancelled a job, and have it stopped."""
        record = make_record(CANCELLATION + job_id, Cancellation(self._clock.wall()))
        writing = await curio.spawn(self._finish_cancel, job_id, record, daemon=True)
        return await curio.ignore_after(patience, writing.join) or Written.UNKNOWN

    async def take_complete(self, jobs: tuple[str, ...]) -> None:
        """Take jobs as complete that hosts have shown so behind a cut, and have that stored."""
        taken = self.cell.take_complete(jobs)
        if not taken:
            return
        self._journal.tell(
            Part.JOBS,
            'takes jobs as complete that were shown so behind a cut.',
            jobs=taken[:MAX_LOGGED],
            count=len(taken),
            epoch=self._owner_context.term.epoch,
        )
        await self._owner_context.wake.notify()

    def state_of(self, job_id: str) -> JobState | None:
        """Return what clients are told about a job, ``None`` if it is not known."""
        job = self.cell.job_by_id.get(job_id)
        return None if job is None or not job.stored else job.shown_state

    def account_of(self, job_id: str) -> str:
        """Return the client account of a job that is known here, empty for none."""
        job = self.cell.job_by_id.get(job_id)
        return '' if job is None else job.account

    def _log_rate(self, job: JobRun) -> None:
        if job.beyond_rate:
            self._journal.tell_frequent(
                Part.JOBS,
                f"job {job.id} is beyond its account's share: it waits behind others.",
                job=job.id,
                account=job.account,
                epoch=self._owner_context.term.epoch,
            )

    async def _finish_accept(self, job: JobRun, record: KeyedRecord, slow: bool) -> Written:
        noted = [job] if slow else []
        outcome = await self._owner_context.store_progress(noted, record, patience=REFUSE_SECONDS)
        if outcome is Written.STORED:
            job.stored = True
        elif outcome is Written.REFUSED and not job.stored:
            self.cell.forget_job(job.id, self._clock.wall())
        await self._owner_context.wake.notify()
        return outcome

    async def _finish_cancel(self, job_id: str, record: KeyedRecord) -> Written:
        outcome = await self._owner_context.writer.write([record], REFUSE_SECONDS)
        if outcome is Written.STORED:
            self.cell.cancel(job_id)
            await self._owner_context.wake.notify()
        return outcome

    async def _release(self) -> None:
        """Store that this owner has stopped for good, having stopped before.

        A successor waits for the leases that were granted before it read the release, so nothing
        may be started or renewed while the answer is out.
        """
        await self._owner_context.flush()
        self._owner_context.lost = 'released'
        owner = self._owner_context.term.record(
            unsettled=self._unsettled(),
            released=True,
            version=self._parts.configuration.version,
        )
        await self._owner_context.writer.write([make_record(OWNER_KEY, owner)], RELEASE_PATIENCE)

    def _begin(self) -> None:
        """Take what the store knows; wait for the runners that may hold more."""
        parts = self._parts
        self._rounds.begin(self._clock.monotonic())
        book = parts.jobs.book
        book.take_changed()
        # In the order in which they came: an account may expect its first ones to be served.
        for job_id in sorted(book.submission_by_id, key=book.accepted_at):
            self._see_job(job_id)
        wall = self._clock.wall()
        for job_id, progress in book.progress_by_id.items():
            self.cell.quotas.expect_leftovers(job_id, progress, wall)

    def _unsettled(self) -> float:
        """Return for how many seconds more earlier owners may renew leases unseen.

        Each word of this owner says so, the last one too: its successor would else
        wait for one lease of this owner while an earlier one renews on.
        """
        if not self.cell.unseen:
            return 0.0
        left = self._rounds.predecessors.until - self._clock.monotonic()
        return round(max(0.0, left), 2)

    async def _beat(self) -> None:
        """Store heartbeats until the term ends; one behind the release would undo it."""
        beat = 0
        stored: frozenset[str] = frozenset()
        while not self._owner_context.lost:
            beat += 1
            version = self._parts.configuration.version
            owner = self._owner_context.term.record(beat, self._unsettled(), version=version)
            records = [make_record(OWNER_KEY, owner)]
            # Runners that only a former owner has seen are kept for the next one: it
            # has to wait for them too, should this owner be killed meanwhile.
            attended = frozenset(self.cell.runner_by_id) | self.cell.unseen
            if attended != stored:
                fact = Attended(self._owner_context.term.epoch, tuple(sorted(attended)))
                records.append(make_record(ATTENDED_KEY, fact))
            outcome = await self._owner_context.store_progress(self.cell.take_dirty(), *records)
            if outcome is Written.FENCED:
                await self._owner_context.lose('another host has written with a higher epoch')
                return
            if outcome is Written.STORED:
                stored = attended
                await self._use_runners(stored)
            await curio.sleep(BEAT_SECONDS)

    async def _use_runners(self, stored: frozenset[str]) -> None:
        """Let tasks be placed on the runners that the store now names."""
        for runner_id, state in self.cell.runner_by_id.items():
            if runner_id in stored and not state.recorded:
                state.recorded = True
                await self._owner_context.wake.notify()

    async def _feed(self) -> None:
        """Take news of jobs as the log tells them."""
        follower = self._parts.follower
        book = self._parts.jobs.book
        while True:
            seen = follower.changed.count
            if not self._parts.election.still_owner(self._owner_context.term):
                await self._owner_context.lose('the store names another owner')
                return
            changed = book.take_changed()
            for job_id in changed:
                self._see_job(job_id)
            if changed:
                await self._owner_context.wake.notify()
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
        self.cell.forget_job(job_id, self._clock.wall())

    async def _plan(self) -> None:
        while True:
            seen = self._owner_context.wake.count
            if self._owner_context.may_start():
                await self._plan_once()
            else:
                await self._send_stops()
            await self._owner_context.wake.wait(seen, 1.0)

    async def _plan_once(self) -> None:
        """Plan, and send all that was decided, though the right to start may end meanwhile.

        Each start checks that right itself before it is sent, and is withdrawn without it. A plan
        that is dropped would leave starts counted, and requests open, that nobody has sent.
        """
        began = self._clock.monotonic()
        made = self._planner.plan(
            began, self._clock.wall(), self._pool.free_for_patient, self._orders.free
        )
        self._load.note_plan(made, self._clock.monotonic() - began)
        await self._send_stops()
        self._tell_preempted(made)
        self._log_held(made)
        await self._orders.send_starts(made.starts)
        for question in made.questions:
            await self._pool.ask(question)
        spent = self._clock.monotonic() - began
        await curio.sleep(max(PLAN_PAUSE, PLAN_REST * spent))

    async def _send_stops(self) -> None:
        for allocation in self.cell.take_stops():
            await curio.spawn(self._orders.send_stop, allocation, daemon=True)

    def _tell_preempted(self, made: Plan) -> None:
        for allocation in made.preempted:
            self._journal.tell_frequent(
                Part.PLACEMENT,
                f'stops a task on {allocation.runner} to make room for a gang.',
                job=allocation.task.job,
                run=allocation.run,
                runner=allocation.runner,
            )

    def _log_held(self, made: Plan) -> None:
        for job in made.held:
            used, quota = self.cell.quotas.used(job.account), self.cell.quota_of(job)
            self._journal.tell_frequent(
                Part.PLACEMENT,
                f'job {job.id} waits for {job.held_by}.',
                job=job.id,
                account=job.account,
                cpu=used.cpu,
                memory_mb=used.memory_mb,
                gpu=used.gpu,
                quota_cpu=quota.cpu if quota else None,
                quota_memory_mb=quota.memory_mb if quota else None,
                epoch=self._owner_context.term.epoch,
            )

    async def _take_advice(
        self,
        question: AdviceRequest,
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
        await self._owner_context.wake.notify()

    async def _miss_advice(self, question: AdviceRequest) -> None:
        not_before = self._clock.monotonic() + REQUEST_PAUSE
        self.cell.tickets.note_failure(question.step, not_before)
