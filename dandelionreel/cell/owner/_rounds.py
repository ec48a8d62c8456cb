"""What an owner looks after that no event announces, ten times a second."""

from contextlib import AsyncExitStack

import curio

from dandelionreel.cell.decisions import (
    ActiveRunners,
    apply_last_registrations,
    stop_incomplete_gangs,
    stop_on_draining_runners,
)
from dandelionreel.cell.membership import AUTHORITY_SECONDS
from dandelionreel.cell.model import (
    CANCELLATION_PREFIX,
    PROGRESS_PREFIX,
    SUBMISSION_PREFIX,
    KeyedRecord,
    make_tombstone,
)
from dandelionreel.cell.owner._load_report import LoadReport
from dandelionreel.cell.owner._owner_context import OwnerContext
from dandelionreel.cell.owner._parts import DispatcherParts
from dandelionreel.cell.owner._predecessors import Predecessors
from dandelionreel.cell.owner._runner_poller import RunnerPoller
from dandelionreel.cell.owner._succession import Succession
from dandelionreel.kernel import Part, seconds_or_none, start_task

#: Seconds between looks at the list of runners, at gangs and at old jobs.
ROUND_SECONDS = 0.1
#: Seconds between looks for jobs that ended long ago: each one goes through all.
DROP_SECONDS = 5.0


class Rounds:
    """Goes round runners, gangs, former owners' tasks and old jobs during one term."""

    def __init__(self, parts: DispatcherParts, context: OwnerContext, load: LoadReport) -> None:
        """Look after the cell of ``context``."""
        self._parts = parts
        self._owner_context = context
        self._cell = context.cell
        self._load = load
        self._clock = parts.clock
        self._journal = parts.journal
        self._runner_poller = RunnerPoller(context)
        self._active = ActiveRunners(context.cell)
        self._succession = Succession(
            context,
            parts.jobs.state,
            parts.links,
            parts.election,
            parts.host,
        )
        self.predecessors = Predecessors(context.term, context.lease, parts.clock.monotonic())
        self._began_at = parts.clock.monotonic()
        self._dropped_at = float('-inf')
        self._knew_runners = True

    async def leave(self) -> bool:
        """Have a peer take the cell over; return whether one has."""
        return await self._succession.leave()

    def begin(self, now: float) -> None:
        """Take what is known of former owners."""
        self._cell.configuration = self._parts.configuration.current
        if self._owner_context.term.silent_since is not None:
            self._expect_former_runs(now)

    async def run(self, stack: AsyncExitStack) -> None:
        """Go round until the term is lost; tasks for new runners end with ``stack``."""
        while True:
            if not self._owner_context.may_act():
                await self._owner_context.lose('the store has not answered for too long')
                return
            await self._go_round(stack, self._clock.monotonic())
            await self._owner_context.wake.notify()
            await curio.sleep(ROUND_SECONDS)

    async def _go_round(self, stack: AsyncExitStack, now: float) -> None:
        await self._succession.look(now)
        self._cell.configuration = self._parts.configuration.current
        self._tell_list_age()
        await self._see_runners(stack)
        await self._give_up_unseen(now)
        self._stop_doomed(now)
        self._load.look(now, self._clock.wall(), self._owner_context.term.epoch)
        await self._drop_old_jobs()

    def _tell_list_age(self) -> None:
        knows = self._owner_context.knows_runners()
        if knows is self._knew_runners:
            return
        self._knew_runners = knows
        outcome = 'starts tasks again' if knows else 'starts nothing'
        self._journal.tell(
            Part.PLACEMENT,
            f'{outcome}, by the age of the list of runners.',
            epoch=self._owner_context.term.epoch,
            list_age=seconds_or_none(self._owner_context.list_age()),
        )

    def _expect_former_runs(self, now: float) -> None:
        """Remember the runners on which a former owner's tasks may run.

        Until each of them has listed its tasks, or all leases there must have
        run out, the jobs that the store names with it are left alone.
        """
        self._cell.unseen_runners.update(self._parts.jobs.state.earlier_runners())
        self._tell_unseen('leaves the tasks of runners alone that it has not seen yet.', now)

    async def _give_up_unseen(self, now: float) -> None:
        """Take the tasks on unseen runners for gone once their leases must be over."""
        if not self._cell.unseen_runners:
            return
        await self._give_up_outlived()
        if self.predecessors.look(self._parts.jobs.state, now):
            self._tell_unseen('finds that the former owner has ended.', now)
        if now > self.predecessors.until:
            unseen = tuple(self._cell.unseen_runners)
            confirmed = [runner for runner in unseen if await self._is_confirmed(runner)]
            if confirmed:
                self._tell_unseen('takes the leases on unseen runners for run out.', now)
                self._owner_context.tell_crashes(self._cell.drop_unseen_runners(confirmed))

    async def _give_up_outlived(self) -> None:
        """Take the tasks on incarnations for gone that have been followed by a later one."""
        gone = []
        for incarnation, later in self._cell.find_replaced_runners().items():
            if await self._owner_context.confirms(later.registration.zone, self._began_at):
                gone.append(incarnation)
        if not gone:
            return
        self._journal.tell(
            Part.OWNERSHIP,
            'finds that runners have restarted since the former owner used them.',
            epoch=self._owner_context.term.epoch,
            runners=gone,
        )
        self._owner_context.tell_crashes(self._cell.drop_unseen_runners(gone))

    async def _is_confirmed(self, runner: str) -> bool:
        """Return whether the zone of an unseen runner has told what it has shown."""
        registration = self._parts.runners.find(runner)
        if registration is None:
            return True
        return await self._owner_context.confirms(registration.zone, self._began_at)

    def _tell_unseen(self, sentence: str, now: float) -> None:
        self._journal.tell(
            Part.OWNERSHIP,
            sentence,
            epoch=self._owner_context.term.epoch,
            runners=sorted(self._cell.unseen_runners),
            seconds=round(self.predecessors.until - now, 3),
            former_silent=round(self.predecessors.silent, 3),
            former_ended=self.predecessors.ended,
            unsettled=self._owner_context.term.unsettled,
        )

    def _stop_doomed(self, now: float) -> None:
        """Stop gangs that are not complete, and tasks whose runner is leaving."""
        for step in stop_incomplete_gangs(self._cell, now, self._clock.wall()):
            self._journal.tell_frequent(
                Part.PLACEMENT,
                'stopped a gang that did not come together.',
                job=step.name.job,
                step=step.name.step,
            )
        for allocation in stop_on_draining_runners(self._cell, now):
            self._journal.tell_frequent(
                Part.PLACEMENT,
                f'moves a task away from {allocation.runner}, which is leaving.',
                job=allocation.task.job,
                run=allocation.run,
                runner=allocation.runner,
            )

    async def _see_runners(self, stack: AsyncExitStack) -> None:
        """Attend to new runners, and to those that may hold tasks though their entry has gone.

        An entry of another runner at the same address proves nothing: a heartbeat of a
        former life can land seconds late, and tasks of the runner at work would be
        started a second time. Only a poll that another runner answers is a proof.
        """
        folder = self._parts.runners
        now = self._clock.monotonic()
        for idle in self._active.release_idle(folder.registration_by_id):
            self._cell.forget_runner(idle.id)
        active = self._active.choose(folder.registration_by_id, now)
        fresh = self._cell.update_runners(active, now)
        apply_last_registrations(self._cell.runner_by_id.values(), folder.find, now)
        for runner_id in self._cell.unseen_runners - self._cell.runner_by_id.keys():
            # Its entry has gone, but it may live and hold tasks.
            registration = folder.find(runner_id)
            if registration is not None:
                fresh.append(self._cell.add_unlisted(registration))
        for state in fresh:
            runner = self._owner_context.add_runner(state)
            await start_task(stack, self._runner_poller.poll, state, runner)

    async def _drop_old_jobs(self) -> None:
        """Drop the keys of jobs that ended long ago."""
        now = self._clock.monotonic()
        if now < self._dropped_at + DROP_SECONDS:
            return
        self._dropped_at = now
        oldest = self._clock.wall() - self._parts.status_kept * 2
        records: list[KeyedRecord] = []
        for job_id in self._parts.jobs.state.jobs_ended_before(oldest):
            records.extend(
                make_tombstone(key + job_id)
                for key in (SUBMISSION_PREFIX, CANCELLATION_PREFIX, PROGRESS_PREFIX)
            )
        if records:
            await curio.spawn(
                self._owner_context.writer.write, records, AUTHORITY_SECONDS, daemon=True
            )
