"""Looks at runners: renew leases, learn what runs and has ended, acknowledge ends."""

import curio

from dandelionreel.cell._cell import ViewEffect
from dandelionreel.cell._desk import Desk
from dandelionreel.cell._ledger import RunnerState
from dandelionreel.cell._services import (
    Runner,
    RunnerError,
    RunnerFenced,
    RunnerReplaced,
    RunnerView,
)
from dandelionreel.cell._writer import Written
from dandelionreel.kernel import Part

#: Seconds that a look waits at the runner for a new end; each look renews.
LOOK_SECONDS = 1.5
#: Seconds between looks at a runner that does not answer, or whose ends could
#: not be stored yet.
RELOOK_SECONDS = 0.2
#: Seconds that a look waits for its ends to be stored before the next one.
STORE_PATIENCE = 0.06
#: Seconds without an answer after which nothing new is placed on a runner.
SUSPECT_SECONDS = 0.8


class Attendant:
    """Attends to runners, one task for each."""

    def __init__(self, desk: Desk) -> None:
        """Look on behalf of ``desk``."""
        self._desk = desk

    async def attend(self, state: RunnerState, runner: Runner) -> None:
        """Look at one runner again and again until it has ended."""
        try:
            while state.id in self._desk.cell.runner_by_id and self._desk.may_act():
                await self._look(state, runner)
        finally:
            await runner.close()

    async def _look(self, state: RunnerState, runner: Runner) -> None:
        asked = self._desk.clock.monotonic()
        lease_until = state.renew_lease(asked, self._desk.lease)
        unstored = state.acknowledged < state.acknowledgeable
        wait = LOOK_SECONDS if lease_until is not None and not unstored else 0
        try:
            view = await runner.look(self._desk.term.epoch, state.acknowledged, lease_until, wait)
        except RunnerFenced:
            await self._desk.lose(f'{state.id} has seen a higher epoch')
            return
        except RunnerReplaced:
            self._desk.end_runner(state, 'another runner answers there')
            return
        except RunnerError as error:
            await self._miss_runner(state, error)
            return
        now = self._desk.clock.monotonic()
        effect = self._desk.cell.viewed(state, view, asked, now)
        self._tell_effect(state, effect)
        self._tell_readable(state, view)
        await self._desk.wake.notify()
        if effect.ended or unstored:
            number = state.acknowledgeable
            task = await curio.spawn(self._acknowledge, state, number, daemon=True)
            await curio.ignore_after(STORE_PATIENCE, task.wait)
            if unstored and state.acknowledged < state.acknowledgeable:
                await curio.sleep(RELOOK_SECONDS)
        if not view.complete or state.acknowledgeable < state.noted:
            # An end that is not acknowledged is listed at once in every answer: the
            # looks would follow each other without a pause.
            await curio.sleep(RELOOK_SECONDS)

    async def _acknowledge(self, state: RunnerState, number: int) -> None:
        """Let the runner forget its ends once their effect stands in the store."""
        if await self._desk.flush() is Written.STORED:
            state.acknowledged = max(state.acknowledged, number)

    async def _miss_runner(self, state: RunnerState, error: RunnerError) -> None:
        now = self._desk.clock.monotonic()
        state.missed = True
        if not state.suspect and now - state.answered_at > SUSPECT_SECONDS:
            state.suspect = True
            self._desk.journal.tell(
                Part.WORKERS,
                f'{state.id} does not answer: {error}.',
                runner=state.id,
                tasks=len(state.allocation_by_run),
            )
        if state.allocation_by_run and self._desk.leases_ran_out(state):
            self._desk.journal.tell(
                Part.WORKERS,
                f'the leases on {state.id} have run out.',
                runner=state.id,
                tasks=len(state.allocation_by_run),
            )
            self._desk.cell.runner_lapsed(state.id)
        if (
            not state.listed
            and not state.allocation_by_run
            and state.id not in self._desk.cell.unseen
        ):
            self._desk.end_runner(state, 'its entry has gone and it does not answer')
            return
        await curio.sleep(RELOOK_SECONDS)

    def _tell_readable(self, state: RunnerState, view: RunnerView) -> None:
        if view.complete is state.readable:
            return
        state.readable = view.complete
        outcome = 'can be read again' if view.complete else 'cannot be read in full'
        self._desk.journal.tell(
            Part.WORKERS,
            f'what {state.id} lists {outcome}.',
            runner=state.id,
            readable_through=view.readable_through,
            tasks=len(state.allocation_by_run),
        )

    def _tell_effect(self, state: RunnerState, effect: ViewEffect) -> None:
        for ended, allocation in effect.ended:
            started = allocation.started_at if allocation else None
            self._desk.journal.tell_frequent(
                Part.WORKERS,
                f'a run has ended {ended.outcome.value}.',
                runner=state.id,
                job=ended.task.job,
                task=f'{ended.task.occurrence}.{ended.task.step}.{ended.task.index}',
                run=ended.run,
                seconds=round(self._desk.clock.monotonic() - started, 3) if started else None,
            )
        if effect.adopted:
            self._desk.journal.tell(
                Part.WORKERS,
                f'found {effect.adopted} tasks on {state.id}.',
                runner=state.id,
            )
        for lost in effect.lost:
            self._desk.journal.tell(
                Part.WORKERS,
                f'{state.id} does not have a run that it should have.',
                runner=state.id,
                job=lost.task.job,
                run=lost.run,
                phase=lost.phase.value,
            )
