"""Polls runners: renews leases, reads running and ended runs, and acknowledges stored ends."""

import curio

from dandelionreel.cell.decisions import AllocationPhase, PollEffect, RunnerState
from dandelionreel.cell.model import (
    Runner,
    RunnerError,
    RunnerFenced,
    RunnerReplaced,
    RunnerView,
)
from dandelionreel.cell.owner._owner_context import OwnerContext
from dandelionreel.cell.store import WriteOutcome
from dandelionreel.kernel import Part

#: Long-poll time in seconds: the runner answers earlier if a run ends. Each poll renews the
#: leases of the runner.
POLL_SECONDS = 1.5
#: Long-poll time in seconds while a run is being stopped on the runner: a stop that was
#: acknowledged but not carried out is only visible to a later poll.
STOP_POLL_SECONDS = 0.5
#: Seconds between polls of a runner that does not answer or whose ends are not stored yet.
POLL_RETRY_SECONDS = 0.2
#: Seconds to wait for ends to be stored before the runner is polled again.
STORE_TIMEOUT = 0.06
#: Seconds without an answer after which a runner is suspect and gets no new tasks. A broken
#: connection makes it suspect at once, as its process has probably ended.
SUSPECT_SECONDS = 0.8
#: Maximum number of runs or jobs in one log line.
MAX_LOGGED = 40


class RunnerPoller:
    """Polls runners, with one coroutine for each."""

    def __init__(self, context: OwnerContext) -> None:
        """Poll under the term of ``context``."""
        self._owner_context = context
        #: Jobs whose ended runs a runner has listed, while these ends are not yet acknowledged to
        #: the runner.
        self._unstored_by_runner: dict[str, set[str]] = {}

    async def poll_runner(self, state: RunnerState, runner: Runner) -> None:
        """Poll one runner until it has ended or the term is over."""
        try:
            while self._is_current_state(state) and self._owner_context.may_send_orders():
                await self._poll_runner_once(state, runner)
        finally:
            await runner.close()

    async def _poll_runner_once(self, state: RunnerState, runner: Runner) -> None:
        sent_at = self._owner_context.clock.monotonic()
        lease_until = self._renew_lease(state, sent_at)
        unstored = state.acknowledged_end < state.acknowledgeable_end
        wait = self._long_poll_seconds(state) if lease_until is not None and not unstored else 0
        acknowledged = state.acknowledged_end
        try:
            view = await runner.poll(
                self._owner_context.term.epoch, acknowledged, lease_until, wait
            )
        except RunnerFenced:
            await self._owner_context.end_term(f'{state.id} has seen a higher epoch')
            return
        except RunnerReplaced:
            self._owner_context.remove_replaced_runner(state)
            return
        except RunnerError as error:
            await self._handle_poll_failure(state, error)
            return
        if not self._is_current_state(state):
            # Another request has found a later incarnation at this address meanwhile. Runs from
            # this answer would count as running forever, as this state is no longer polled.
            return
        state.confirmed_end = acknowledged
        self._owner_context.cell.zone_reachability.record_zone_answer(state.registration.zone)
        was_usable = state.is_usable(sent_at)
        effect = self._apply_view(state, view, sent_at)
        if effect.has_changes or not was_usable:
            await self._owner_context.plan_needed.notify()
        if effect.ended or unstored:
            await self._start_storing_ends(state, effect)
            if unstored and state.acknowledged_end < state.acknowledgeable_end:
                await curio.sleep(POLL_RETRY_SECONDS)
        if (
            not view.complete
            or state.acknowledgeable_end < state.processed_end
            or state.id in self._owner_context.unreached_runners.withheld
        ):
            # The runner answers at once while it has an unacknowledged end or gets no lease, so
            # polls would follow each other without a pause.
            await curio.sleep(POLL_RETRY_SECONDS)

    def _renew_lease(self, state: RunnerState, now: float) -> float | None:
        if state.id in self._owner_context.unreached_runners.withheld:
            # A lease of an earlier owner may last as long as one that is granted now.
            state.renew_lease(now, self._owner_context.lease)
            return None
        return state.renew_lease(now, self._owner_context.lease_for(state, now))

    def _long_poll_seconds(self, state: RunnerState) -> float:
        """Return the long-poll time in seconds for a runner in this state."""
        if not state.allocation_by_run:
            return self._owner_context.pacing.idle_poll_seconds(POLL_SECONDS)
        stopping = any(
            allocation.phase is AllocationPhase.STOPPING
            for allocation in state.allocation_by_run.values()
        )
        return STOP_POLL_SECONDS if stopping else POLL_SECONDS

    def _is_current_state(self, state: RunnerState) -> bool:
        """Return whether this is still the cell's state of the runner, not an outdated one."""
        return self._owner_context.cell.runner_by_id.get(state.id) is state

    def _apply_view(self, state: RunnerState, view: RunnerView, sent_at: float) -> PollEffect:
        now = self._owner_context.clock.monotonic()
        unseen = state.id in self._owner_context.cell.unseen_runners
        effect = self._owner_context.cell.handle_view(state, view, sent_at, now)
        self._log_poll_effect(state, effect, now)
        self._owner_context.log_crashes(effect.crashes)
        self._log_readability(state, view)
        # The first poll of a term is logged even if it finds no run: then a start that an earlier
        # owner sent there never arrived and may be sent elsewhere.
        if unseen or effect.adopted:
            self._log_found_runs(state, effect.adopted, unseen, now)
        return effect

    async def _start_storing_ends(self, state: RunnerState, effect: PollEffect) -> None:
        jobs = self._unstored_by_runner.setdefault(state.id, set())
        jobs.update(ended.task.job for ended, _ in effect.ended)
        task = await curio.spawn(
            self._store_and_acknowledge_ends,
            state,
            state.acknowledgeable_end,
            bool(effect.ended),
            daemon=True,
        )
        await curio.ignore_after(STORE_TIMEOUT, task.wait)

    async def _store_and_acknowledge_ends(
        self, state: RunnerState, number: int, has_new_ends: bool
    ) -> None:
        """Acknowledge ends up to ``number`` once their effect is in the store.

        During a store outage this is retried several times a second for each runner. Only new
        ends are logged then, and earlier ones once they are stored.
        """
        started_at = self._owner_context.clock.monotonic()
        jobs = sorted(self._unstored_by_runner.get(state.id, ()))
        outcome = await self._owner_context.flush_progress()
        if outcome is WriteOutcome.STORED:
            state.acknowledged_end = max(state.acknowledged_end, number)
            self._unstored_by_runner.get(state.id, set()).difference_update(jobs)
        elif not has_new_ends:
            return
        if jobs:
            self._log_stored_ends(state, number, jobs, outcome, started_at)

    def _log_stored_ends(
        self,
        state: RunnerState,
        number: int,
        jobs: list[str],
        outcome: WriteOutcome,
        started_at: float,
    ) -> None:
        self._owner_context.journal.log_sampled(
            Part.WORKERS,
            f'ends on {state.id}: {outcome.value}.',
            runner=state.id,
            jobs=jobs[:MAX_LOGGED],
            number=number,
            acknowledged=state.acknowledged_end,
            epoch=self._owner_context.term.epoch,
            seconds=round(self._owner_context.clock.monotonic() - started_at, 3),
        )

    async def _handle_poll_failure(self, state: RunnerState, error: RunnerError) -> None:
        now = self._owner_context.clock.monotonic()
        first = not state.missed_last_poll
        state.missed_last_poll = True
        if error.connection_broken and state.broken_at is None:
            state.broken_at = now
        if not state.suspect and (
            error.connection_broken or now - state.answered_at > SUSPECT_SECONDS
        ):
            state.suspect = True
            self._owner_context.journal.log(
                Part.WORKERS,
                f'{state.id} does not answer: {error}.',
                runner=state.id,
                zone=state.registration.zone,
                tasks=len(state.allocation_by_run),
                epoch=self._owner_context.term.epoch,
            )
        if state.allocation_by_run and self._owner_context.have_leases_expired(state):
            self._owner_context.expire_runner_leases(state)
        if (
            not state.listed
            and not state.allocation_by_run
            and state.id not in self._owner_context.cell.unseen_runners
        ):
            self._owner_context.remove_ended_runner(
                state, 'it is no longer listed and does not answer', proven=False
            )
            return
        if first and error.connection_broken:
            # Retry at once: if only the connection was reset, the next poll is answered.
            return
        await curio.sleep(POLL_RETRY_SECONDS)

    def _log_readability(self, state: RunnerState, view: RunnerView) -> None:
        if view.complete is state.readable:
            return
        state.readable = view.complete
        outcome = 'is readable again' if view.complete else 'is only partly readable'
        self._owner_context.journal.log(
            Part.WORKERS,
            f'the answer of {state.id} {outcome}.',
            runner=state.id,
            readable_through=view.readable_through,
            tasks=len(state.allocation_by_run),
        )

    def _log_poll_effect(self, state: RunnerState, effect: PollEffect, now: float) -> None:
        for ended, allocation in effect.ended:
            started = allocation.started_at if allocation else None
            self._owner_context.journal.log_sampled(
                Part.WORKERS,
                f'a run has ended {ended.outcome.value}.',
                **self._owner_context.make_run_fields(state.id, ended.task, ended.run),
                number=ended.number,
                seconds=round(now - started, 3) if started else None,
            )
        for lost in effect.lost:
            self._owner_context.journal.log(
                Part.WORKERS,
                f'{state.id} does not have a run that it should have.',
                **self._owner_context.make_run_fields(state.id, lost.task, lost.run),
                phase=lost.phase.value,
            )

    def _log_found_runs(self, state: RunnerState, count: int, first: bool, now: float) -> None:
        """Log the runs of an earlier owner that the poll at ``now`` has found on a runner.

        In the ``first`` poll of a term, a run that is not logged is not on the runner.
        """
        found = [
            allocation
            for allocation in state.allocation_by_run.values()
            if allocation.placed_at == now
        ]
        self._owner_context.journal.log(
            Part.WORKERS,
            f'found {count} tasks on {state.id}.',
            runner=state.id,
            epoch=self._owner_context.term.epoch,
            first=first,
            found=[
                f'{allocation.task.job}/{allocation.task.label} '
                f'{allocation.run} {allocation.phase.value}'
                for allocation in found[:MAX_LOGGED]
            ],
        )
