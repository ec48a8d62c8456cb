"""Starts and stops, repeated until it is known what became of them."""

from typing import Any

import curio

from dandelionreel.cell.decisions import Allocation, JobRun, RunnerState, StartWindow
from dandelionreel.cell.model import (
    Runner,
    RunnerError,
    RunnerFenced,
    RunnerReplaced,
    StartOrder,
    StartReply,
    StepName,
)
from dandelionreel.cell.owner._owner_context import OwnerContext
from dandelionreel.cell.store import Written
from dandelionreel.kernel import Part, Verdict, seconds_or_none

#: Seconds in which the runners of a job must be stored before its starts are withdrawn.
RECORD_PATIENCE = 0.9
#: Tries of one start before it is taken back.
START_TRIES = 4
RETRY_SECONDS = 0.03
#: Seconds between tries of one stop.
RESTOP_SECONDS = 0.2
#: Seconds for which a runner that could not be reached gets no start.
UNREACHED_QUIET = 0.3
#: Seconds between two measurements of how late the owner's tasks run.
MEASURE_SECONDS = 0.05
#: Seconds for the answer to a start above which it is logged.
SLOW_ANSWER = 0.1


class Orders:
    """Sends what the planner has decided."""

    def __init__(self, context: OwnerContext) -> None:
        """Send on behalf of ``context``."""
        self._owner_context = context
        #: Starts that were decided and are not answered yet.
        self._under_way = 0
        self.window = StartWindow()
        self._was_full = False

    @property
    def free(self) -> int:
        """Return how many more starts may be under way.

        An owner that is short of processor time would else send the urgent ones behind many
        others, by tickets that expire meanwhile.
        """
        return max(0, self.window.most - self._under_way)

    async def measure_delay(self) -> None:
        """Measure for ever how late this owner's tasks run, and send starts accordingly."""
        clock = self._owner_context.clock
        while True:
            began = clock.monotonic()
            await curio.sleep(MEASURE_SECONDS)
            was_limited = self.window.limited
            self.window.note_delay(clock.monotonic() - began - MEASURE_SECONDS)
            if self.window.limited is not was_limited:
                self._tell_window()

    async def send_starts(self, allocations: list[Allocation]) -> None:
        """Send starts; first store the runners that are new to their jobs.

        Starts of tasks under which runners have crashed are stored one by one.
        """
        self._under_way += len(allocations)
        unstored: dict[str, list[Allocation]] = {}
        for allocation in allocations:
            job = self._owner_context.cell.job_by_id.get(allocation.task.job)
            if job is None:
                # It was over, and forgotten, before its start could be sent.
                await self._withdraw_unsent(allocation)
                continue
            if job.note_start(allocation.task, allocation.run, allocation.runner):
                unstored.setdefault(job.id, []).append(allocation)
                continue
            await curio.spawn(self._settle_start, allocation, daemon=True)
        if unstored:
            await curio.spawn(self._store_and_send, unstored, daemon=True)

    async def send_stop(self, allocation: Allocation) -> None:
        """Repeat a stop until the runner has taken it."""
        runner = self._owner_context.runner_by_id.get(allocation.runner)
        while runner is not None and self._owner_context.may_act():
            state = self._owner_context.cell.runner_by_id.get(allocation.runner)
            if state is None or (allocation.task, allocation.run) not in state.allocation_by_run:
                return
            self._note_order(state)
            try:
                await runner.stop(allocation.task, allocation.run, self._owner_context.term.epoch)
            except RunnerError as error:
                self._tell_missed_stop(allocation, error)
                await curio.sleep(RESTOP_SECONDS)
                continue
            except RunnerFenced:
                await self._owner_context.lose(f'{allocation.runner} has seen a higher epoch')
                return
            except RunnerReplaced:
                await self._end_replaced(state)
                return
            self._take_stop(state, allocation)
            return

    def _tell_window(self) -> None:
        outcome = 'fewer starts' if self.window.limited else 'as many starts as ever'
        self._owner_context.journal.tell_frequent(
            Part.PLACEMENT,
            f'sends {outcome}, by how late its tasks run.',
            epoch=self._owner_context.term.epoch,
            delay=round(self.window.delay, 3),
            most=self.window.most,
            under_way=self._under_way,
        )

    def _take_stop(self, state: RunnerState, allocation: Allocation) -> None:
        cell = self._owner_context.cell
        cell.zone_reachability.note_answer(state.registration.zone)
        cell.stop_answered(allocation, self._owner_context.clock.monotonic())
        self._owner_context.journal.tell_frequent(
            Part.PLACEMENT,
            f'{allocation.runner} has taken a stop.',
            **self._fields(allocation),
        )

    def _tell_missed_stop(self, allocation: Allocation, error: RunnerError) -> None:
        self._owner_context.journal.tell_frequent(
            Part.PLACEMENT,
            f'a stop was not answered: {error}.',
            **self._fields(allocation),
            verdict=error.verdict.value,
        )

    async def _store_and_send(self, allocations_by_job: dict[str, list[Allocation]]) -> None:
        found = (self._owner_context.cell.job_by_id.get(job_id) for job_id in allocations_by_job)
        jobs = [job for job in found if job is not None]
        writing = await curio.spawn(self._owner_context.store_progress, jobs, daemon=True)
        outcome = await curio.ignore_after(RECORD_PATIENCE, writing.join)
        for allocations in allocations_by_job.values():
            for allocation in allocations:
                if outcome is Written.STORED:
                    await curio.spawn(self._settle_start, allocation, daemon=True)
                else:
                    await self._withdraw_unsent(allocation)

    async def _withdraw_unsent(self, allocation: Allocation) -> None:
        self._owner_context.cell.withdraw(allocation)
        await self._note_settled()

    async def _settle_start(self, allocation: Allocation) -> None:
        """Send a start, and let others go once it is known what became of it."""
        try:
            await self._send_start(allocation)
        finally:
            await self._note_settled()

    async def _note_settled(self) -> None:
        self._was_full = self._was_full or not self.free
        self._under_way -= 1
        # Plans for one start each would take the time that the starts need.
        if self._was_full and self._under_way <= self.window.most // 2:
            self._was_full = False
            await self._owner_context.wake.notify()

    async def _send_start(self, allocation: Allocation) -> None:
        state = self._owner_context.cell.runner_by_id.get(allocation.runner)
        runner = self._owner_context.runner_by_id.get(allocation.runner)
        job = self._owner_context.cell.job_by_id.get(allocation.task.job)
        if state is None or runner is None or job is None:
            self._owner_context.cell.withdraw(allocation)
            return
        if state.suspect:
            # It went silent while the start was on its way to the store. Sent in vain, the
            # start would hold its task up, and count as one that the runner crashed under.
            self._owner_context.cell.withdraw(allocation)
            return
        self._tell_start(state, allocation, job)
        maybe_sent = await self._try_start(state, runner, allocation, job.spec.payload)
        if maybe_sent is None:
            return
        if maybe_sent:
            self._owner_context.cell.take_back(allocation)
        else:
            if state.suspect:
                state.quiet_until = self._owner_context.clock.monotonic() + UNREACHED_QUIET
            self._owner_context.cell.withdraw(allocation)
        await self._owner_context.wake.notify()

    def _fields(self, allocation: Allocation) -> dict[str, Any]:
        return self._owner_context.run_fields(allocation.runner, allocation.task, allocation.run)

    def _tell_start(self, state: RunnerState, allocation: Allocation, job: JobRun) -> None:
        """Tell a start with the age of what it rests on.

        ``store_age`` and ``runner_age`` are seconds since the store and the runner last
        answered; ``version`` is that of the configuration. A task that was started by two
        owners is traced by what the second one had and had not heard.
        """
        now = self._owner_context.clock.monotonic()
        found = job.find(allocation.task)
        configuration = self._owner_context.cell.configuration
        self._owner_context.journal.tell_frequent(
            Part.PLACEMENT,
            f'starts a task on {state.id}.',
            **self._fields(allocation),
            zone=state.registration.zone,
            failures=found[1].failures if found else 0,
            crashes=job.crashes.count(allocation.task),
            version=configuration.version if configuration else None,
            store_age=round(now - self._owner_context.writer.stored_at, 3),
            runner_age=seconds_or_none(now - state.answered_at),
            waited=round(now - job.accepted, 3),
            room=state.room.cpu,
        )

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
            return self._owner_context.may_start() and self._may_start(allocation)

        began = self._owner_context.clock.monotonic()
        for _ in range(START_TRIES):
            if not check():
                # Withdrawn, not unanswered: that says nothing of the runner.
                return maybe_sent
            self._note_order(state)
            try:
                answer = await runner.start(self._order(state, allocation, payload), check)
            except RunnerError as error:
                arrived = error.verdict is not Verdict.NOT_RUN
                # Later tries meet connections that the crash has closed before.
                allocation.broken = allocation.broken or (
                    arrived and error.broken and not maybe_sent
                )
                maybe_sent = maybe_sent or arrived
                allocation.unanswered = maybe_sent
                # Nothing more goes there until it has answered a poll: a start that may have
                # arrived holds its task up until the lease has run out.
                state.suspect = True
                self._tell_unanswered(allocation, error)
                if not maybe_sent or not check():
                    return maybe_sent
                await curio.sleep(RETRY_SECONDS)
                continue
            self._owner_context.cell.zone_reachability.note_answer(state.registration.zone)
            self._tell_slow(allocation, answer.reply, self._owner_context.clock.monotonic() - began)
            await self._take_answer(state, allocation, answer.reply, in_doubt=maybe_sent)
            return None
        return maybe_sent

    def _may_start(self, allocation: Allocation) -> bool:
        """Return whether a start is still wanted, and its ticket still good."""
        cell = self._owner_context.cell
        if not cell.may_start(allocation):
            return False
        step = StepName.of(allocation.task)
        now = self._owner_context.clock.monotonic()
        return not allocation.ticket or cell.tickets.is_valid(step, allocation.runner, now)

    async def _end_replaced(self, state: RunnerState) -> None:
        if await self._owner_context.confirms(state.registration.zone, state.answered_at):
            self._owner_context.end_runner(state, 'another runner answers there', proven=True)
            return
        # The next poll finds the same, and asks again.
        state.suspect = True

    def _note_order(self, state: RunnerState) -> None:
        now = self._owner_context.clock.monotonic()
        self._owner_context.cell.zone_reachability.note_order(
            state.registration.zone, state.id, now
        )

    def _tell_unanswered(self, allocation: Allocation, error: RunnerError) -> None:
        self._owner_context.journal.tell_frequent(
            Part.PLACEMENT,
            f'a start was not answered: {error}.',
            **self._fields(allocation),
            verdict=error.verdict.value,
        )

    def _tell_slow(self, allocation: Allocation, reply: StartReply, seconds: float) -> None:
        if reply is StartReply.STARTED and seconds > SLOW_ANSWER:
            self._owner_context.journal.tell_frequent(
                Part.PLACEMENT,
                f'{allocation.runner} has taken a start late.',
                **self._fields(allocation),
                seconds=round(seconds, 3),
            )

    def _order(self, state: RunnerState, allocation: Allocation, payload: str) -> StartOrder:
        lease_until = state.extend_lease(
            self._owner_context.clock.monotonic(), self._owner_context.lease
        )
        return StartOrder(
            allocation.task,
            allocation.run,
            payload,
            self._owner_context.term.epoch,
            lease_until,
            allocation.checkpoint,
            allocation.ticket,
        )

    async def _take_answer(
        self,
        state: RunnerState,
        allocation: Allocation,
        reply: StartReply,
        *,
        in_doubt: bool,
    ) -> None:
        if reply is StartReply.FENCED:
            await self._owner_context.lose(f'{state.id} has seen a higher epoch')
            return
        if reply is StartReply.REPLACED:
            if not in_doubt:
                # It never ran there, so no crash of the runner counts for it.
                self._owner_context.cell.withdraw(allocation)
            await self._end_replaced(state)
        else:
            now = self._owner_context.clock.monotonic()
            self._owner_context.cell.start_answered(allocation, reply, now, in_doubt=in_doubt)
        if reply is not StartReply.STARTED:
            self._owner_context.journal.tell(
                Part.PLACEMENT,
                f'a start was refused: {reply.value}.',
                **self._fields(allocation),
            )
            await self._owner_context.wake.notify()
