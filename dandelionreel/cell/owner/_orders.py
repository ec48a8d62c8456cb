"""Sends starts and stops to runners and retries them until their outcome is known."""

from typing import Any

import curio

from dandelionreel.cell.decisions import Allocation, JobRun, RunnerState
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
from dandelionreel.cell.store import WriteOutcome
from dandelionreel.kernel import Part, Verdict, seconds_or_none

#: Timeout in seconds for storing a job's new runners, after which its starts are withdrawn.
RECORD_TIMEOUT = 0.9
#: Attempts of one start before it is revoked.
START_ATTEMPTS = 4
#: Seconds between attempts of one start.
START_RETRY_SECONDS = 0.03
#: Seconds between attempts of one stop.
STOP_RETRY_SECONDS = 0.2
#: Seconds for which an unreachable runner is sent no starts.
UNREACHABLE_PAUSE_SECONDS = 0.3
#: Maximum number of concurrent starts.
MAX_PENDING_STARTS = 64
#: Seconds that a start may take to be answered before it is logged as slow.
SLOW_START_SECONDS = 0.1


class OrderSender:
    """Sends the starts and stops that the planner has decided."""

    def __init__(self, context: OwnerContext) -> None:
        """Send orders under the term of ``context``."""
        self._owner_context = context
        #: Number of starts that are decided but not yet answered.
        self._pending_starts = 0
        self._was_at_start_limit = False

    @property
    def free_start_slots(self) -> int:
        """Return how many more starts may be pending.

        Without the limit, an owner that is short of processor time would send urgent starts after
        many others, and the permits of the policy service (tickets) that they need would expire
        meanwhile.
        """
        return max(0, self._max_pending_starts - self._pending_starts)

    async def send_starts(self, allocations: list[Allocation]) -> None:
        """Send starts; runners that are new to their jobs are stored first.

        If runners have crashed during earlier runs of a task, its next start is always stored
        first.
        """
        self._pending_starts += len(allocations)
        unstored: dict[str, list[Allocation]] = {}
        for allocation in allocations:
            job = self._owner_context.cell.job_by_id.get(allocation.task.job)
            if job is None:
                # The job ended and was removed before its start could be sent.
                await self._withdraw_unsent_start(allocation)
                continue
            if job.record_task_start(allocation.task, allocation.run, allocation.runner):
                unstored.setdefault(job.id, []).append(allocation)
                continue
            await curio.spawn(self._send_start_and_count, allocation, daemon=True)
        if unstored:
            await curio.spawn(self._store_runners_and_send_starts, unstored, daemon=True)

    async def send_stop(self, allocation: Allocation) -> None:
        """Send a stop and retry it until the runner acknowledges it."""
        runner = self._owner_context.runner_by_id.get(allocation.runner)
        while runner is not None and self._owner_context.may_send_orders():
            state = self._owner_context.cell.runner_by_id.get(allocation.runner)
            if state is None or (allocation.task, allocation.run) not in state.allocation_by_run:
                return
            self._record_order_sent(state)
            try:
                await runner.stop_run(
                    allocation.task, allocation.run, self._owner_context.term.epoch
                )
            except RunnerError as error:
                self._log_unanswered_stop(allocation, error)
                await curio.sleep(STOP_RETRY_SECONDS)
                continue
            except RunnerFenced:
                await self._owner_context.end_term(f'{allocation.runner} has seen a higher epoch')
                return
            except RunnerReplaced:
                self._owner_context.remove_replaced_runner(state)
                return
            self._apply_stop_reply(state, allocation)
            return

    @property
    def _max_pending_starts(self) -> int:
        return self._owner_context.pacing.max_pending_starts(MAX_PENDING_STARTS)

    def _apply_stop_reply(self, state: RunnerState, allocation: Allocation) -> None:
        cell = self._owner_context.cell
        cell.zone_reachability.record_zone_answer(state.registration.zone)
        cell.handle_stop_reply(allocation, self._owner_context.clock.monotonic())
        self._owner_context.journal.log_sampled(
            Part.PLACEMENT,
            f'{allocation.runner} has taken a stop.',
            **self._make_log_fields(allocation),
        )

    def _log_unanswered_stop(self, allocation: Allocation, error: RunnerError) -> None:
        self._owner_context.journal.log_sampled(
            Part.PLACEMENT,
            f'a stop was not answered: {error}.',
            **self._make_log_fields(allocation),
            verdict=error.verdict.value,
        )

    async def _store_runners_and_send_starts(
        self, allocations_by_job: dict[str, list[Allocation]]
    ) -> None:
        found = (self._owner_context.cell.job_by_id.get(job_id) for job_id in allocations_by_job)
        jobs = [job for job in found if job is not None]
        write_task = await curio.spawn(self._owner_context.store_progress, jobs, daemon=True)
        outcome = await curio.ignore_after(RECORD_TIMEOUT, write_task.join)
        for allocations in allocations_by_job.values():
            for allocation in allocations:
                if outcome is WriteOutcome.STORED:
                    await curio.spawn(self._send_start_and_count, allocation, daemon=True)
                else:
                    await self._withdraw_unsent_start(allocation)

    async def _withdraw_unsent_start(self, allocation: Allocation) -> None:
        self._owner_context.cell.release_start(allocation)
        await self._record_start_finished()

    async def _send_start_and_count(self, allocation: Allocation) -> None:
        """Send a start and count it as finished once its outcome is known."""
        try:
            await self._send_start(allocation)
        finally:
            await self._record_start_finished()

    async def _record_start_finished(self) -> None:
        self._was_at_start_limit = self._was_at_start_limit or not self.free_start_slots
        self._pending_starts -= 1
        # Planning again after each answer would use up the processor time that starts need.
        if self._was_at_start_limit and self._pending_starts <= self._max_pending_starts // 2:
            self._was_at_start_limit = False
            await self._owner_context.plan_needed.notify()

    async def _send_start(self, allocation: Allocation) -> None:
        state = self._owner_context.cell.runner_by_id.get(allocation.runner)
        runner = self._owner_context.runner_by_id.get(allocation.runner)
        job = self._owner_context.cell.job_by_id.get(allocation.task.job)
        if state is None or runner is None or job is None:
            self._owner_context.cell.release_start(allocation)
            return
        if state.suspect:
            # The runner became silent while the job's runners were being stored. A start sent now
            # would delay its task and count as one during which the runner crashed.
            self._owner_context.cell.release_start(allocation)
            return
        if not self._may_rely_on(state):
            # The start has waited for the store and for processor time since it was planned.
            self._owner_context.cell.release_start(allocation)
            return
        self._log_start(state, allocation, job)
        may_have_arrived = await self._send_start_until_answered(state, runner, allocation, job)
        if may_have_arrived is None:
            return
        if may_have_arrived:
            self._owner_context.cell.revoke_start(allocation)
        else:
            if state.suspect:
                state.no_starts_until = (
                    self._owner_context.clock.monotonic() + UNREACHABLE_PAUSE_SECONDS
                )
            self._owner_context.cell.release_start(allocation)
        await self._owner_context.plan_needed.notify()

    def _may_rely_on(self, state: RunnerState) -> bool:
        """Return whether the free capacity of a runner is known well enough for a start."""
        now = self._owner_context.clock.monotonic()
        return self._owner_context.pacing.may_start(state.known_at, now)

    def _make_log_fields(self, allocation: Allocation) -> dict[str, Any]:
        return self._owner_context.make_run_fields(
            allocation.runner, allocation.task, allocation.run
        )

    def _log_start(self, state: RunnerState, allocation: Allocation, job: JobRun) -> None:
        """Log a start with the age of the data that the decision is based on.

        ``store_age`` and ``runner_age`` are seconds since the store and the runner last answered;
        ``version`` is that of the configuration. If two owners start the same task, these fields
        show what the second one did not know.
        """
        now = self._owner_context.clock.monotonic()
        found = job.find_task(allocation.task)
        configuration = self._owner_context.cell.configuration
        self._owner_context.journal.log_sampled(
            Part.PLACEMENT,
            f'starts a task on {state.id}.',
            **self._make_log_fields(allocation),
            zone=state.registration.zone,
            failures=found[1].failures if found else 0,
            crashes=job.crashes.count(allocation.task),
            version=configuration.version if configuration else None,
            store_age=round(now - self._owner_context.writer.stored_at, 3),
            runner_age=seconds_or_none(now - state.answered_at),
            waited=round(now - job.accepted_at, 3),
            room=state.free_capacity.cpu,
        )

    async def _send_start_until_answered(
        self,
        state: RunnerState,
        runner: Runner,
        allocation: Allocation,
        job: JobRun,
    ) -> bool | None:
        """Send a start and retry it until it is answered.

        If runners have crashed during earlier runs of the task, the runner is checked first. Return
        ``None`` if it was answered, otherwise whether it may have arrived.
        """
        may_have_arrived = False

        def may_send_start() -> bool:
            return self._owner_context.may_start_tasks() and self._is_start_wanted(allocation)

        started_at = self._owner_context.clock.monotonic()
        for _ in range(START_ATTEMPTS):
            if not may_send_start():
                # The owner has withdrawn the start; the runner need not be unreachable.
                self._log_withdrawn_start(allocation, started_at)
                return may_have_arrived
            self._record_order_sent(state)
            try:
                order = self._make_start_order(state, allocation, job)
                answer = await runner.start_task(order, may_send_start)
            except RunnerError as error:
                self._record_unanswered_start(state, allocation, error)
                may_have_arrived = allocation.start_unanswered
                if not may_have_arrived or not may_send_start():
                    return may_have_arrived
                await curio.sleep(START_RETRY_SECONDS)
                continue
            self._owner_context.cell.zone_reachability.record_zone_answer(state.registration.zone)
            self._log_slow_start(
                allocation, answer.reply, self._owner_context.clock.monotonic() - started_at
            )
            await self._apply_start_reply(
                state, allocation, answer.reply, in_doubt=may_have_arrived
            )
            return None
        return may_have_arrived

    def _record_unanswered_start(
        self, state: RunnerState, allocation: Allocation, error: RunnerError
    ) -> None:
        # Only the first attempt can show that the runner crashed during the start: after a crash
        # the connections that later attempts use are already closed.
        if error.verdict is not Verdict.NOT_RUN and not allocation.start_unanswered:
            allocation.start_unanswered = True
            allocation.connection_broken = error.connection_broken
            if error.was_alive:
                allocation.crash_seen_at = self._owner_context.clock.monotonic()
        # Send this runner no more starts until it answers a poll: a start that may have arrived
        # blocks its task until the lease has expired.
        state.suspect = True
        self._log_unanswered_start(allocation, error)

    def _is_start_wanted(self, allocation: Allocation) -> bool:
        """Return whether a start is still wanted and its ticket, if any, is still valid."""
        cell = self._owner_context.cell
        if not cell.may_send_start(allocation):
            return False
        step = StepName.of(allocation.task)
        now = self._owner_context.clock.monotonic()
        return not allocation.ticket or cell.tickets.is_valid(step, allocation.runner, now)

    def _record_order_sent(self, state: RunnerState) -> None:
        now = self._owner_context.clock.monotonic()
        self._owner_context.cell.zone_reachability.record_sent_order(
            state.registration.zone, state.id, now
        )

    def _log_withdrawn_start(self, allocation: Allocation, decided_at: float) -> None:
        context = self._owner_context
        step = StepName.of(allocation.task)
        now = context.clock.monotonic()
        context.journal.log_sampled(
            Part.PLACEMENT,
            f'a start on {allocation.runner} is withdrawn.',
            **self._make_log_fields(allocation),
            wanted=context.cell.may_send_start(allocation),
            ticket_valid=not allocation.ticket
            or context.cell.tickets.is_valid(step, allocation.runner, now),
            store_age=round(now - context.writer.stored_at, 3),
            list_age=seconds_or_none(context.get_runner_list_age()),
            seconds=round(now - allocation.placed_at, 3),
            sent_for=round(now - decided_at, 3),
        )

    def _log_unanswered_start(self, allocation: Allocation, error: RunnerError) -> None:
        self._owner_context.journal.log_sampled(
            Part.PLACEMENT,
            f'a start was not answered: {error}.',
            **self._make_log_fields(allocation),
            verdict=error.verdict.value,
        )

    def _log_slow_start(self, allocation: Allocation, reply: StartReply, seconds: float) -> None:
        if reply is StartReply.STARTED and seconds > SLOW_START_SECONDS:
            self._owner_context.journal.log_sampled(
                Part.PLACEMENT,
                f'{allocation.runner} has taken a start late.',
                **self._make_log_fields(allocation),
                seconds=round(seconds, 3),
            )

    def _make_start_order(
        self, state: RunnerState, allocation: Allocation, job: JobRun
    ) -> StartOrder:
        now = self._owner_context.clock.monotonic()
        lease_until = state.extend_lease(now, self._owner_context.lease_for(state, now))
        return StartOrder(
            allocation.task,
            allocation.run,
            job.spec.payload,
            self._owner_context.term.epoch,
            lease_until,
            allocation.checkpoint,
            allocation.ticket,
            verify_peer=job.crashes.may_crash_runners(allocation.task),
        )

    async def _apply_start_reply(
        self,
        state: RunnerState,
        allocation: Allocation,
        reply: StartReply,
        *,
        in_doubt: bool,
    ) -> None:
        if reply is StartReply.FENCED:
            await self._owner_context.end_term(f'{state.id} has seen a higher epoch')
            return
        if reply is StartReply.REPLACED:
            if not in_doubt:
                # The task never ran there, so a crash of the runner does not count against it.
                self._owner_context.cell.release_start(allocation)
            self._owner_context.remove_replaced_runner(state)
        else:
            now = self._owner_context.clock.monotonic()
            self._owner_context.cell.handle_start_reply(allocation, reply, now, in_doubt=in_doubt)
        if reply is not StartReply.STARTED:
            self._owner_context.journal.log(
                Part.PLACEMENT,
                f'a start was refused: {reply.value}.',
                **self._make_log_fields(allocation),
            )
            await self._owner_context.plan_needed.notify()
