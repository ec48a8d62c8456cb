"""Looks at runners: renew leases, learn what runs and has ended, acknowledge ends."""

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

#: Seconds that a poll waits at the runner for a new end; each poll renews its leases.
POLL_SECONDS = 1.5
#: Seconds that it waits while something is being stopped there: a stop that was answered and not
#: carried out shows only in a poll that is sent later.
STOP_POLL_SECONDS = 0.5
#: Seconds between polls of a runner that does not answer, or whose ends could
#: not be stored yet.
POLL_RETRY_SECONDS = 0.2
#: Seconds that a poll waits for its ends to be stored before the next one.
STORE_PATIENCE = 0.06
#: Seconds without an answer after which nothing new is placed on a runner. One whose connection
#: breaks gets nothing at once, as its process has probably ended.
SUSPECT_SECONDS = 0.8
#: Runs that one line names.
MOST_NAMED = 40


class RunnerPoller:
    """Attends to runners, one task for each."""

    def __init__(self, context: OwnerContext) -> None:
        """Look on behalf of ``context``."""
        self._owner_context = context
        #: Jobs with ends that a runner has listed and that are not acknowledged.
        self._unstored_by_runner: dict[str, set[str]] = {}

    async def poll(self, state: RunnerState, runner: Runner) -> None:
        """Look at one runner again and again until it has ended."""
        try:
            while self._is_attended(state) and self._owner_context.may_act():
                await self._poll_once(state, runner)
        finally:
            await runner.close()

    async def _poll_once(self, state: RunnerState, runner: Runner) -> None:
        asked = self._owner_context.clock.monotonic()
        lease_until = state.renew_lease(asked, self._owner_context.lease)
        unstored = state.acknowledged_end < state.acknowledgeable_end
        wait = _poll_wait(state) if lease_until is not None and not unstored else 0
        acknowledged = state.acknowledged_end
        try:
            view = await runner.poll(
                self._owner_context.term.epoch, acknowledged, lease_until, wait
            )
        except RunnerFenced:
            await self._owner_context.lose(f'{state.id} has seen a higher epoch')
            return
        except RunnerReplaced:
            await self._end_replaced(state)
            return
        except RunnerError as error:
            await self._miss_runner(state, error)
            return
        if not self._is_attended(state):
            # Another exchange has met the next life at its address meanwhile. Taken for
            # found there, its runs would be under way for ever: nobody looks there again.
            return
        state.confirmed_end = acknowledged
        self._owner_context.cell.zone_reachability.note_answer(state.registration.zone)
        was_usable = state.usable(asked)
        effect = self._take_view(state, view, asked)
        if effect.has_changes or not was_usable:
            await self._owner_context.wake.notify()
        if effect.ended or unstored:
            await self._store_ends(state, effect)
            if unstored and state.acknowledged_end < state.acknowledgeable_end:
                await curio.sleep(POLL_RETRY_SECONDS)
        if not view.complete or state.acknowledgeable_end < state.processed_end:
            # An end that is not acknowledged is listed at once in every answer: the
            # looks would follow each other without a pause.
            await curio.sleep(POLL_RETRY_SECONDS)

    def _is_attended(self, state: RunnerState) -> bool:
        """Return whether the runner is known by this state, and not by a later one."""
        return self._owner_context.cell.runner_by_id.get(state.id) is state

    def _take_view(self, state: RunnerState, view: RunnerView, asked: float) -> PollEffect:
        now = self._owner_context.clock.monotonic()
        unseen = state.id in self._owner_context.cell.unseen_runners
        effect = self._owner_context.cell.handle_view(state, view, asked, now)
        self._tell_effect(state, effect, now)
        self._owner_context.tell_crashes(effect.crashes)
        self._tell_readable(state, view)
        # The first poll of a term also tells that nothing was found: what an earlier
        # owner had sent there never came, and may be started elsewhere.
        if unseen or effect.adopted:
            self._tell_found(state, effect.adopted, unseen, now)
        return effect

    async def _store_ends(self, state: RunnerState, effect: PollEffect) -> None:
        jobs = self._unstored_by_runner.setdefault(state.id, set())
        jobs.update(ended.task.job for ended, _ in effect.ended)
        task = await curio.spawn(
            self._acknowledge,
            state,
            state.acknowledgeable_end,
            bool(effect.ended),
            daemon=True,
        )
        await curio.ignore_after(STORE_PATIENCE, task.wait)

    async def _acknowledge(self, state: RunnerState, number: int, fresh: bool) -> None:
        """Let the runner forget its ends once their effect stands in the store.

        While the store is out this is tried several times a second for each runner:
        only ``fresh`` ends get a line then, and those that are stored at last.
        """
        began = self._owner_context.clock.monotonic()
        jobs = sorted(self._unstored_by_runner.get(state.id, ()))
        outcome = await self._owner_context.flush()
        if outcome is WriteOutcome.STORED:
            state.acknowledged_end = max(state.acknowledged_end, number)
            self._unstored_by_runner.get(state.id, set()).difference_update(jobs)
        elif not fresh:
            return
        if jobs:
            self._tell_ends(state, number, jobs, outcome, began)

    def _tell_ends(
        self,
        state: RunnerState,
        number: int,
        jobs: list[str],
        outcome: WriteOutcome,
        began: float,
    ) -> None:
        self._owner_context.journal.tell_frequent(
            Part.WORKERS,
            f'ends on {state.id}: {outcome.value}.',
            runner=state.id,
            jobs=jobs[:MOST_NAMED],
            number=number,
            acknowledged=state.acknowledged_end,
            epoch=self._owner_context.term.epoch,
            seconds=round(self._owner_context.clock.monotonic() - began, 3),
        )

    async def _miss_runner(self, state: RunnerState, error: RunnerError) -> None:
        now = self._owner_context.clock.monotonic()
        first = not state.missed_last_poll
        state.missed_last_poll = True
        if not state.suspect and (
            error.connection_broken or now - state.answered_at > SUSPECT_SECONDS
        ):
            state.suspect = True
            self._owner_context.journal.tell(
                Part.WORKERS,
                f'{state.id} does not answer: {error}.',
                runner=state.id,
                zone=state.registration.zone,
                tasks=len(state.allocation_by_run),
                epoch=self._owner_context.term.epoch,
            )
        if state.allocation_by_run and self._owner_context.leases_ran_out(state):
            await self._lapse(state)
        if (
            not state.listed
            and not state.allocation_by_run
            and state.id not in self._owner_context.cell.unseen_runners
        ):
            self._owner_context.end_runner(
                state, 'its entry has gone and it does not answer', proven=False
            )
            return
        if first and error.connection_broken:
            # Where only the connection was reset, the next poll is answered at once.
            return
        await curio.sleep(POLL_RETRY_SECONDS)

    async def _end_replaced(self, state: RunnerState) -> None:
        if await self._owner_context.confirms(state.registration.zone, state.answered_at):
            self._owner_context.end_runner(state, 'another runner answers there', proven=True)
            return
        state.suspect = True
        await curio.sleep(POLL_RETRY_SECONDS)

    async def _lapse(self, state: RunnerState) -> None:
        if await self._owner_context.confirms(state.registration.zone, state.answered_at):
            self._owner_context.lapse_runner(state)

    def _tell_readable(self, state: RunnerState, view: RunnerView) -> None:
        if view.complete is state.readable:
            return
        state.readable = view.complete
        outcome = 'can be read again' if view.complete else 'cannot be read in full'
        self._owner_context.journal.tell(
            Part.WORKERS,
            f'what {state.id} lists {outcome}.',
            runner=state.id,
            readable_through=view.readable_through,
            tasks=len(state.allocation_by_run),
        )

    def _tell_effect(self, state: RunnerState, effect: PollEffect, now: float) -> None:
        for ended, allocation in effect.ended:
            started = allocation.started_at if allocation else None
            self._owner_context.journal.tell_frequent(
                Part.WORKERS,
                f'a run has ended {ended.outcome.value}.',
                **self._owner_context.run_fields(state.id, ended.task, ended.run),
                number=ended.number,
                seconds=round(now - started, 3) if started else None,
            )
        for lost in effect.lost:
            self._owner_context.journal.tell(
                Part.WORKERS,
                f'{state.id} does not have a run that it should have.',
                **self._owner_context.run_fields(state.id, lost.task, lost.run),
                phase=lost.phase.value,
            )

    def _tell_found(self, state: RunnerState, count: int, first: bool, now: float) -> None:
        """Name the runs of an earlier owner: those that are held since the look at ``now``.

        After the ``first`` look of a term, what it does not name is not on the runner.
        """
        found = [one for one in state.allocation_by_run.values() if one.placed_at == now]
        self._owner_context.journal.tell(
            Part.WORKERS,
            f'found {count} tasks on {state.id}.',
            runner=state.id,
            epoch=self._owner_context.term.epoch,
            first=first,
            found=[
                f'{one.task.job}/{one.task.label} {one.run} {one.phase.value}'
                for one in found[:MOST_NAMED]
            ],
        )


def _poll_wait(state: RunnerState) -> float:
    """Return the seconds that a poll may wait at a runner for news."""
    stopping = any(
        allocation.phase is AllocationPhase.STOPPING
        for allocation in state.allocation_by_run.values()
    )
    return STOP_POLL_SECONDS if stopping else POLL_SECONDS
