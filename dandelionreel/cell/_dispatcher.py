"""The owner's work for one term: looks, starts, stops, notes. I/O around ``Cell``."""

from collections.abc import Callable
from contextlib import AsyncExitStack, suppress
from dataclasses import dataclass

import curio

from dandelionreel.cell._advisors import AdvicePool, LocalAdvisor, PeerLinks
from dandelionreel.cell._cell import CLOCK_DRIFT, Cell, ViewEffect
from dandelionreel.cell._directory import ConfigurationFolder, JobFolder, RunnersFolder
from dandelionreel.cell._election import AUTHORITY_SECONDS, BEAT_SECONDS, Election, Term
from dandelionreel.cell._follower import Follower
from dandelionreel.cell._ledger import Allocation, RunnerState
from dandelionreel.cell._model import Registration
from dandelionreel.cell._planner import Planner, Question
from dandelionreel.cell._records import (
    ATTENDED_KEY,
    CANCELLATION,
    OWNER_KEY,
    PROGRESS,
    SUBMISSION,
    Attended,
    Member,
    Owner,
    make_record,
    make_tombstone,
)
from dandelionreel.cell._services import (
    KeyedRecord,
    Permit,
    Runner,
    RunnerError,
    RunnerFenced,
    RunnerReplaced,
    StartOrder,
    StartReply,
    Topic,
)
from dandelionreel.cell._writer import GroupWriter, Written
from dandelionreel.kernel import Clock, Journal, Part, Signal, Verdict, start_task
from dandelionreel.peers import OwnerFailing, PeerError

#: Seconds for which runners keep what runs there without hearing from us. Short
#: enough to start the tasks of a dead runner elsewhere soon, long enough for a
#: new owner to be found meanwhile (about 2 s) and for a short outage.
LEASE_SECONDS = 5.0
#: Seconds that a look waits at the runner for a new end; each look renews.
LOOK_SECONDS = 1.5
#: Seconds between looks at a runner that does not answer, or whose ends could
#: not be stored yet.
RELOOK_SECONDS = 0.2
#: Seconds that a look waits for its ends to be stored before the next one.
STORE_PATIENCE = 0.06
#: Seconds without an answer after which nothing new is placed on a runner.
SUSPECT_SECONDS = 0.8
#: Seconds in which the runners of a job must be stored before its starts are
#: given up for now. A slow store takes half a second.
RECORD_PATIENCE = 0.9
#: Tries of one start before it is taken back.
START_TRIES = 4
RETRY_SECONDS = 0.03
#: Seconds between looks at the list of runners, at gangs and at old jobs.
ROUND_SECONDS = 0.1
#: Seconds in which a released cell's last record must be stored.
RELEASE_PATIENCE = 1.0
#: Seconds without a successful append after which peers are asked to take
#: over, and the pause before they are asked again.
FAILING_SECONDS = 0.35
ASK_AGAIN = 0.7
#: Seconds before a question that failed is put again.
QUESTION_PAUSE = 0.1
#: Seconds for which a runner that could not be reached gets no start.
UNREACHED_QUIET = 0.3

MakeRunner = Callable[[Registration], Runner]


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
        self._term = term
        self._clock = parts.clock
        self._journal = parts.journal
        self._wake = Signal()
        self._lost = ''
        self._ended = curio.Event()
        self._writer = GroupWriter(parts.topic, parts.clock, parts.journal, term.fence)
        self._writer.stored_at = parts.clock.monotonic()
        self._runner_by_id: dict[str, Runner] = {}
        self._lease = min(LEASE_SECONDS, parts.longest_lease)
        self._unseen_until = 0.0
        self._asked_at = float('-inf')
        self.cell = Cell(term.epoch, parts.gang_timeout)
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

    async def run(self) -> None:
        """Dispatch until the term is lost or ended by ``end``."""
        self._begin()
        async with AsyncExitStack() as stack:
            stack.push_async_callback(self._close_runners)
            self._stack = stack
            for work in (self._writer.run, self._beat, self._feed, self._rounds, self._plan):
                await start_task(stack, work)
            await self._ended.wait()
            if not self._lost:
                await self._release()
        self._journal.tell(
            Part.OWNERSHIP,
            f'does not own the cell any more: {self._lost or "released"}.',
            epoch=self._term.epoch,
        )

    async def end(self) -> None:
        """Give the cell up for another host."""
        await self._ended.set()

    async def _lose(self, cause: str) -> None:
        if not self._lost:
            self._lost = cause
        await self._ended.set()

    async def _release(self) -> None:
        await self._flush()
        owner = Owner(self._term.epoch, self._parts.host, self._term.term, released=True)
        await self._writer.write([make_record(OWNER_KEY, owner)], RELEASE_PATIENCE)

    def _begin(self) -> None:
        """Take what the store knows; wait for the runners that may hold more."""
        parts = self._parts
        now = self._clock.monotonic()
        self.cell.configuration = parts.configuration.current
        if self._term.silent_since is not None:
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
        silent = now - (self._term.silent_since or now)
        ended = self._term.released or self._term.former_ended
        rest = 0.0 if ended else AUTHORITY_SECONDS - silent
        leases = parts.longest_lease if parts.longest_lease < LEASE_SECONDS else LEASE_SECONDS
        self._unseen_until = now + max(0.0, rest) + leases * (1 + CLOCK_DRIFT)
        attended = parts.jobs.book.attended
        for runner in attended.runners if attended else ():
            registration = parts.runners.find(runner)
            if registration is None or not parts.runners.replaced(registration):
                self.cell.unseen.add(runner)

    async def _beat(self) -> None:
        beat = 0
        stored: frozenset[str] = frozenset()
        while True:
            beat += 1
            owner = Owner(self._term.epoch, self._parts.host, self._term.term, beat)
            records = [make_record(OWNER_KEY, owner), *self._take_progress()]
            attended = frozenset(self.cell.runner_by_id)
            if attended != stored:
                fact = Attended(self._term.epoch, tuple(sorted(attended)))
                records.append(make_record(ATTENDED_KEY, fact))
            outcome = await self._writer.write(records, AUTHORITY_SECONDS)
            if outcome is Written.FENCED:
                await self._lose('another host has written with a higher epoch')
                return
            stored = attended
            await self._use_runners(stored)
            await curio.sleep(BEAT_SECONDS)

    async def _use_runners(self, stored: frozenset[str]) -> None:
        """Let tasks be placed on the runners that the store now names."""
        for runner_id, state in self.cell.runner_by_id.items():
            if runner_id in stored and not state.recorded:
                state.recorded = True
                await self._wake.notify()

    def _may_act(self) -> bool:
        """Return whether this host may still send anything as the owner.

        A process that was paused or cut off learns late that it was replaced:
        its orders are then fenced by the runners its successor has reached,
        and this ends them on those that it has not.
        """
        if self._lost or self._writer.fenced:
            return False
        return self._clock.monotonic() - self._writer.stored_at < AUTHORITY_SECONDS

    async def _feed(self) -> None:
        """Take news of jobs as the log tells them."""
        follower = self._parts.follower
        book = self._parts.jobs.book
        while True:
            seen = follower.changed.count
            if not self._parts.election.still_owner(self._term):
                await self._lose('the store names another owner')
                return
            changed = book.take_changed()
            for job_id in changed:
                self._see_job(job_id)
            if changed:
                await self._wake.notify()
            await follower.changed.wait(seen, 1.0)

    def _see_job(self, job_id: str) -> None:
        booked = self._parts.jobs.book.find(job_id)
        if booked is None:
            self.cell.forget_job(job_id)
            return
        self.cell.see_job(booked, self._clock.monotonic(), self._clock.wall())

    async def _rounds(self) -> None:
        """Look after everything that no event announces."""
        while True:
            if not self._may_act():
                await self._lose('the store has not answered for too long')
                return
            now = self._clock.monotonic()
            await self._ask_for_successor(now)
            self.cell.configuration = self._parts.configuration.current
            await self._see_runners()
            if self.cell.unseen and now > self._unseen_until:
                self.cell.unseen.clear()
            for step in self.cell.check_gangs(now, self._clock.wall()):
                self._journal.tell_frequent(
                    Part.PLACEMENT,
                    'stopped a gang that did not come together.',
                    job=step.name.job,
                    step=step.name.step,
                )
            await self._drop_old_jobs()
            await self._wake.notify()
            await curio.sleep(ROUND_SECONDS)

    async def _ask_for_successor(self, now: float) -> None:
        """Have peers claim the cell while the store serves them and not us.

        Ended by silence alone this took 1.8 s, in which nothing was started.
        """
        if now - self._writer.failing_since < FAILING_SECONDS or now < self._asked_at + ASK_AGAIN:
            return
        self._asked_at = now
        self._journal.tell(
            Part.OWNERSHIP,
            'asks peers to take over: the store does not serve it.',
            epoch=self._term.epoch,
            failing_seconds=round(now - self._writer.failing_since, 3),
        )
        book = self._parts.jobs.book
        for host, member in tuple(book.member_by_host.items()):
            if host != self._parts.host:
                await curio.spawn(self._ask_peer, member, daemon=True)

    async def _ask_peer(self, member: Member) -> None:
        # Whether it was heard shows in the store: no answer needs a line.
        with suppress(PeerError):
            await self._parts.links.ask(member, OwnerFailing(self._term.term), ASK_AGAIN)

    async def _see_runners(self) -> None:
        folder = self._parts.runners
        fresh = self.cell.see_runners(folder.registration_by_id)
        for runner_id in self.cell.unseen - self.cell.runner_by_id.keys():
            # Its entry has gone, but it may live and hold tasks.
            registration = folder.find(runner_id)
            if registration is not None:
                fresh.append(self.cell.add_unlisted(registration))
        for state in fresh:
            runner = self._parts.make_runner(state.registration)
            self._runner_by_id[state.id] = runner
            await start_task(self._stack, self._attend, state, runner)
        for state in tuple(self.cell.runner_by_id.values()):
            if state.listed:
                continue
            if folder.replaced(state.registration):
                self._end_runner(state, 'another runner has come up at its address')

    def _end_runner(self, state: RunnerState, cause: str) -> None:
        self._journal.tell(
            Part.WORKERS,
            f'{state.id} has ended: {cause}.',
            runner=state.id,
            tasks=len(state.allocation_by_run),
        )
        self.cell.runner_ended(state.id)

    async def _drop_old_jobs(self) -> None:
        """Drop the keys of jobs that ended long ago."""
        wall = self._clock.wall()
        records: list[KeyedRecord] = []
        for job in tuple(self.cell.job_by_id.values()):
            if job.over and job.ended_at and wall - job.ended_at > self._parts.status_kept * 2:
                records.extend(
                    make_tombstone(key + job.id) for key in (SUBMISSION, CANCELLATION, PROGRESS)
                )
                self.cell.forget_job(job.id)
        if records:
            await curio.spawn(self._writer.write, records, AUTHORITY_SECONDS, daemon=True)

    async def _plan(self) -> None:
        while True:
            seen = self._wake.count
            for allocation in self.cell.take_stops():
                await curio.spawn(self._send_stop, allocation, daemon=True)
            if self._may_act():
                made = self._planner.plan(self._clock.monotonic(), self._clock.wall())
                await self._send_starts(made.starts)
                for question in made.questions:
                    await self._pool.ask(question)
            await self._wake.wait(seen, 1.0)

    # Advice

    async def _take_advice(
        self,
        question: Question,
        permits: tuple[Permit, ...],
        until: float,
    ) -> None:
        self.cell.tickets.note(question.step, question.runners, permits, until)
        await self._wake.notify()

    async def _miss_advice(self, question: Question) -> None:
        not_before = self._clock.monotonic() + QUESTION_PAUSE
        self.cell.tickets.note_failure(question.step, not_before)

    # Runners

    async def _attend(self, state: RunnerState, runner: Runner) -> None:
        """Look at one runner again and again until it has ended."""
        try:
            while state.id in self.cell.runner_by_id and self._may_act():
                await self._look(state, runner)
        finally:
            await runner.close()

    async def _look(self, state: RunnerState, runner: Runner) -> None:
        asked = self._clock.monotonic()
        lease_until = None
        if state.knows_clock():
            lease_until = state.clock_at(asked) + self._lease
            state.grant(lease_until)
        unstored = state.acknowledged < state.noted
        wait = LOOK_SECONDS if state.knows_clock() and not unstored else 0
        try:
            view = await runner.look(self._term.epoch, state.acknowledged, lease_until, wait)
        except RunnerFenced:
            await self._lose(f'{state.id} has seen a higher epoch')
            return
        except RunnerReplaced:
            self._end_runner(state, 'another runner answers there')
            return
        except RunnerError as error:
            await self._miss_runner(state, error)
            return
        now = self._clock.monotonic()
        effect = self.cell.viewed(state, view, asked, now)
        self._tell_effect(state, effect)
        await self._wake.notify()
        if effect.ended or unstored:
            number = state.noted
            task = await curio.spawn(self._acknowledge, state, number, daemon=True)
            await curio.ignore_after(STORE_PATIENCE, task.wait)
            if unstored and state.acknowledged < state.noted:
                await curio.sleep(RELOOK_SECONDS)

    async def _acknowledge(self, state: RunnerState, number: int) -> None:
        """Let the runner forget its ends once their effect stands in the store."""
        if await self._flush() is Written.STORED:
            state.acknowledged = max(state.acknowledged, number)

    async def _flush(self) -> Written:
        return await self._writer.write(self._take_progress(), AUTHORITY_SECONDS)

    def _take_progress(self) -> list[KeyedRecord]:
        wall = self._clock.wall()
        records: list[KeyedRecord] = []
        for job in self.cell.take_dirty():
            progress = job.progress(self._term.epoch, wall)
            records.append(make_record(PROGRESS + job.id, progress))
            if job.over:
                self._journal.tell(
                    Part.JOBS,
                    f'job {job.id} is {progress.state.value}.',
                    job=job.id,
                    queue=job.submission.queue,
                    seconds=round(self._clock.monotonic() - job.accepted, 3),
                )
        return records

    async def _miss_runner(self, state: RunnerState, error: RunnerError) -> None:
        now = self._clock.monotonic()
        if not state.suspect and now - state.answered_at > SUSPECT_SECONDS:
            state.suspect = True
            self._journal.tell(
                Part.WORKERS,
                f'{state.id} does not answer: {error}.',
                runner=state.id,
                tasks=len(state.allocation_by_run),
            )
        if state.allocation_by_run and state.lapsed(now, CLOCK_DRIFT):
            self._journal.tell(
                Part.WORKERS,
                f'the leases on {state.id} have run out.',
                runner=state.id,
                tasks=len(state.allocation_by_run),
            )
            self.cell.runner_lapsed(state.id)
        if not state.listed and not state.allocation_by_run and state.id not in self.cell.unseen:
            self._end_runner(state, 'its entry has gone and it does not answer')
            return
        await curio.sleep(RELOOK_SECONDS)

    def _tell_effect(self, state: RunnerState, effect: ViewEffect) -> None:
        for ended, allocation in effect.ended:
            started = allocation.started_at if allocation else None
            self._journal.tell_frequent(
                Part.WORKERS,
                f'a run has ended {ended.outcome.value}.',
                runner=state.id,
                job=ended.task.job,
                task=f'{ended.task.occurrence}.{ended.task.step}.{ended.task.index}',
                run=ended.run,
                seconds=round(self._clock.monotonic() - started, 3) if started else None,
            )
        if effect.adopted:
            self._journal.tell(
                Part.WORKERS,
                f'found {effect.adopted} tasks on {state.id}.',
                runner=state.id,
            )
        for lost in effect.lost:
            self._journal.tell(
                Part.WORKERS,
                f'{state.id} does not have a run that it should have.',
                runner=state.id,
                job=lost.task.job,
                run=lost.run,
                phase=lost.phase.value,
            )

    async def _close_runners(self) -> None:
        for runner in self._runner_by_id.values():
            await runner.close()

    # Orders

    async def _send_starts(self, allocations: list[Allocation]) -> None:
        """Send starts; first store the runners that are new to their jobs.

        Waiting for that append costs each job about 6 ms once, of some 600 ms
        that the most urgent ones can spare.
        """
        unstored: dict[str, list[Allocation]] = {}
        for allocation in allocations:
            job = self.cell.job_by_id[allocation.task.job]
            job.runners.add(allocation.runner)
            if allocation.runner in job.stored_runners:
                await curio.spawn(self._send_start, allocation, daemon=True)
                continue
            unstored.setdefault(job.id, []).append(allocation)
        if unstored:
            await curio.spawn(self._store_and_send, unstored, daemon=True)

    async def _store_and_send(self, allocations_by_job: dict[str, list[Allocation]]) -> None:
        wall = self._clock.wall()
        jobs = [self.cell.job_by_id[job_id] for job_id in allocations_by_job]
        records = []
        runners_by_job = {}
        for job in jobs:
            runners_by_job[job.id] = set(job.runners)
            records.append(make_record(PROGRESS + job.id, job.progress(self._term.epoch, wall)))
        writing = await curio.spawn(self._writer.write, records, AUTHORITY_SECONDS, daemon=True)
        outcome = await curio.ignore_after(RECORD_PATIENCE, writing.join)
        for job in jobs:
            if outcome is Written.STORED:
                job.stored_runners.update(runners_by_job[job.id])
            for allocation in allocations_by_job[job.id]:
                if outcome is Written.STORED:
                    await curio.spawn(self._send_start, allocation, daemon=True)
                else:
                    self.cell.withdraw(allocation)

    async def _send_start(self, allocation: Allocation) -> None:
        state = self.cell.runner_by_id.get(allocation.runner)
        runner = self._runner_by_id.get(allocation.runner)
        job = self.cell.job_by_id.get(allocation.task.job)
        if state is None or runner is None or job is None:
            self.cell.withdraw(allocation)
            return
        self._journal.tell_frequent(
            Part.PLACEMENT,
            f'starts a task on {state.id}.',
            job=job.id,
            task=f'{allocation.task.occurrence}.{allocation.task.step}.{allocation.task.index}',
            run=allocation.run,
            runner=state.id,
            waited=round(self._clock.monotonic() - job.accepted, 3),
            room=state.room.cpu,
        )
        maybe_sent = await self._try_start(state, runner, allocation, job.spec.payload)
        if maybe_sent is None:
            return
        if maybe_sent:
            # The start may still arrive: it counts until a stop has forbidden it.
            self.cell.stop(allocation)
        else:
            state.quiet_until = self._clock.monotonic() + UNREACHED_QUIET
            self.cell.withdraw(allocation)
        await self._wake.notify()

    async def _try_start(
        self,
        state: RunnerState,
        runner: Runner,
        allocation: Allocation,
        payload: str,
    ) -> bool | None:
        """Repeat a start until it is answered; else return whether it may arrive."""
        maybe_sent = False

        def check() -> bool:
            return self._may_act() and self.cell.may_start(allocation)

        for _ in range(START_TRIES):
            try:
                answer = await runner.start(self._order(state, allocation, payload), check)
            except RunnerError as error:
                maybe_sent = maybe_sent or error.verdict is not Verdict.NOT_RUN
                self._tell_unanswered(allocation, error)
                if not maybe_sent or not check():
                    return maybe_sent
                await curio.sleep(RETRY_SECONDS)
                continue
            await self._take_answer(state, allocation, answer.reply)
            return None
        return maybe_sent

    def _tell_unanswered(self, allocation: Allocation, error: RunnerError) -> None:
        self._journal.tell_frequent(
            Part.PLACEMENT,
            f'a start was not answered: {error}.',
            job=allocation.task.job,
            runner=allocation.runner,
            run=allocation.run,
            verdict=error.verdict.value,
        )

    def _order(self, state: RunnerState, allocation: Allocation, payload: str) -> StartOrder:
        lease_until = state.clock_at(self._clock.monotonic()) + self._lease
        state.grant(lease_until)
        return StartOrder(
            allocation.task,
            allocation.run,
            payload,
            self._term.epoch,
            lease_until,
            allocation.checkpoint,
            allocation.ticket,
        )

    async def _take_answer(
        self,
        state: RunnerState,
        allocation: Allocation,
        reply: StartReply,
    ) -> None:
        if reply is StartReply.FENCED:
            await self._lose(f'{state.id} has seen a higher epoch')
            return
        if reply is StartReply.REPLACED:
            self._end_runner(state, 'another runner answers there')
        else:
            self.cell.start_answered(allocation, reply, self._clock.monotonic())
        if reply is not StartReply.STARTED:
            self._journal.tell(
                Part.PLACEMENT,
                f'a start was refused: {reply.value}.',
                job=allocation.task.job,
                runner=state.id,
                run=allocation.run,
            )
            await self._wake.notify()

    async def _send_stop(self, allocation: Allocation) -> None:
        runner = self._runner_by_id.get(allocation.runner)
        while runner is not None and self._may_act():
            state = self.cell.runner_by_id.get(allocation.runner)
            if state is None or (allocation.task, allocation.run) not in state.allocation_by_run:
                return
            try:
                await runner.stop(allocation.task, allocation.run, self._term.epoch)
            except RunnerError:
                await curio.sleep(RELOOK_SECONDS)
                continue
            except RunnerFenced:
                await self._lose(f'{allocation.runner} has seen a higher epoch')
                return
            except RunnerReplaced:
                self._end_runner(state, 'another runner answers there')
                return
            self.cell.stop_answered(allocation, self._clock.monotonic())
            return
