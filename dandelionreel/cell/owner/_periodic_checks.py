"""Checks that the owner makes ten times a second because no event triggers them."""

from collections.abc import Iterable
from contextlib import AsyncExitStack

import curio

from dandelionreel.cell.decisions import (
    NEVER,
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
from dandelionreel.cell.owner._dependencies import DispatcherDependencies
from dandelionreel.cell.owner._load_report import LoadReport
from dandelionreel.cell.owner._owner_context import OwnerContext
from dandelionreel.cell.owner._predecessor_leases import (
    PredecessorLeases,
    find_unreached_runners,
)
from dandelionreel.cell.owner._runner_poller import RunnerPoller
from dandelionreel.cell.owner._stale_cancellations import StaleCancellations
from dandelionreel.cell.owner._succession import Succession
from dandelionreel.kernel import Part, seconds_or_none, start_task

#: Seconds between checks of the runner list, gangs and unseen runners.
CHECK_SECONDS = 0.1
#: Seconds between searches for jobs that ended long ago, as each search goes through all jobs.
DELETION_CHECK_SECONDS = 5.0


class PeriodicChecks:
    """Checks runners, gangs, tasks of earlier owners and old jobs during one term."""

    def __init__(
        self, dependencies: DispatcherDependencies, context: OwnerContext, load_report: LoadReport
    ) -> None:
        """Check the cell of ``context``."""
        self._dependencies = dependencies
        self._owner_context = context
        self._cell = context.cell
        self._load_report = load_report
        self._clock = dependencies.clock
        self._journal = dependencies.journal
        self._runner_poller = RunnerPoller(context)
        self._active_runners = ActiveRunners(context.cell)
        self._succession = Succession(
            context,
            dependencies.jobs.state,
            dependencies.links,
            dependencies.election,
            dependencies.host,
        )
        self.predecessor_leases = PredecessorLeases(
            context.term,
            context.lease,
            dependencies.clock.monotonic(),
            find_unreached_runners(context.term, dependencies.jobs.state),
        )
        self._last_deletion_at = float('-inf')
        self._stale_cancellations = StaleCancellations()
        self._runner_list_was_fresh = True

    async def request_takeover(self) -> bool:
        """Ask peers to take the cell over; return whether one has."""
        return await self._succession.request_takeover()

    def load_predecessor_state(self, now: float) -> None:
        """Load the configuration, and the runners on which earlier owners may have tasks."""
        self._cell.configuration = self._dependencies.configuration.current
        if self._owner_context.term.silent_since is not None:
            self._block_unseen_runners(now)

    async def run(self, stack: AsyncExitStack) -> None:
        """Run the checks until the term ends; polling of new runners ends with ``stack``."""
        while True:
            if not self._owner_context.may_send_orders():
                await self._owner_context.end_term('the store has not answered for too long')
                return
            await self._run_checks(stack, self._clock.monotonic())
            await self._owner_context.plan_needed.notify()
            await self._sleep_and_record_delay()

    async def _sleep_and_record_delay(self) -> None:
        pacing = self._owner_context.pacing
        seconds = pacing.check_seconds(CHECK_SECONDS)
        slept_at = self._clock.monotonic()
        await curio.sleep(seconds)
        now = self._clock.monotonic()
        longest_delay = pacing.longest_delay
        former_seconds = pacing.seconds_since_change(now)
        if pacing.record_delay(now - slept_at - seconds, now):
            self._log_pacing(now, max(longest_delay, pacing.delay), former_seconds)

    def _log_pacing(self, now: float, longest_delay: float, former_seconds: float) -> None:
        """Log that the owner has become late or is in time again, with what decided it."""
        pacing = self._owner_context.pacing
        runners = self._cell.runner_by_id.values()
        ages = [now - state.known_at for state in runners if state.known_at != NEVER]
        outcome = 'is late as the owner' if pacing.is_late else 'is in time again as the owner'
        self._journal.log(
            Part.OWNERSHIP,
            f'{outcome}: its loop wakes up {pacing.delay:.2f} s late.',
            epoch=self._owner_context.term.epoch,
            delay=round(pacing.delay, 3),
            longest_delay=round(longest_delay, 3),
            seconds=seconds_or_none(former_seconds),
            oldest_answer=round(max(ages, default=0.0), 3),
            store_age=round(now - self._owner_context.writer.stored_at, 3),
            runners=len(runners),
            unfinished_jobs=len(self._cell.unfinished_job_by_id),
            held_back=pacing.held_back_starts,
        )

    async def _run_checks(self, stack: AsyncExitStack, now: float) -> None:
        await self._succession.request_or_hand_over_if_due(now)
        self._cell.configuration = self._dependencies.configuration.current
        self._log_runner_list_freshness()
        await self._start_polling_new_runners(stack)
        self._drop_unseen_runners(now)
        self._apply_preventive_stops(now)
        if self._owner_context.pacing.may_do_optional_work(now):
            epoch = self._owner_context.term.epoch
            self._load_report.log_if_due(now, self._clock.unix_time(), epoch)
            await self._delete_old_jobs()

    def _log_runner_list_freshness(self) -> None:
        is_fresh = self._owner_context.runner_list_is_fresh()
        if is_fresh is self._runner_list_was_fresh:
            return
        self._runner_list_was_fresh = is_fresh
        outcome = 'starts tasks again' if is_fresh else 'starts nothing'
        self._journal.log(
            Part.PLACEMENT,
            f'{outcome}, by the age of the list of runners.',
            epoch=self._owner_context.term.epoch,
            list_age=seconds_or_none(self._owner_context.get_runner_list_age()),
        )

    def _block_unseen_runners(self, now: float) -> None:
        """Block the jobs that may have tasks of an earlier owner on runners not polled yet.

        A job stays blocked until each runner that is stored with it has listed its tasks, or all
        leases there must have expired.
        """
        self._cell.unseen_runners.update(self._dependencies.jobs.state.runners_possibly_in_use())
        self._log_unseen_runners(
            'blocks the jobs that may run on runners that have not answered yet.',
            now,
            self._cell.unseen_runners,
        )

    def _drop_unseen_runners(self, now: float) -> None:
        """Treat tasks on runners not polled yet as ended once their leases must have expired."""
        if not self._cell.unseen_runners:
            return
        self._drop_replaced_runners()
        if self.predecessor_leases.shorten_if_owner_ended(self._dependencies.jobs.state, now):
            self._log_unseen_runners('the former owner has ended.', now, self._cell.unseen_runners)
        expired = [
            runner
            for runner in self._cell.unseen_runners
            if now > self.predecessor_leases.expire_at_on(runner)
        ]
        if expired:
            self._log_unseen_runners(
                'takes the leases on unseen runners for run out.', now, expired
            )
            self._owner_context.log_crashes(self._cell.drop_unseen_runners(expired))

    def _drop_replaced_runners(self) -> None:
        """Treat tasks as ended if their runner was replaced by a later incarnation of it."""
        replaced = self._cell.find_replaced_runners()
        if not replaced:
            return
        self._journal.log(
            Part.OWNERSHIP,
            'runners have restarted since the former owner used them.',
            epoch=self._owner_context.term.epoch,
            runners=replaced,
        )
        self._owner_context.log_crashes(self._cell.drop_unseen_runners(replaced))

    def _log_unseen_runners(self, sentence: str, now: float, runners: Iterable[str]) -> None:
        leases = self.predecessor_leases
        self._journal.log(
            Part.OWNERSHIP,
            sentence,
            epoch=self._owner_context.term.epoch,
            runners=sorted(runners),
            seconds=round(leases.expire_at - now, 3),
            unreached_seconds=round(leases.unreached_expire_at - now, 3),
            unreached=sorted(leases.unreached),
            former_silent=round(leases.silent_seconds, 3),
            former_ended=leases.former_owner_ended,
            unsettled=self._owner_context.term.unsettled,
        )

    def _apply_preventive_stops(self, now: float) -> None:
        """Stop gangs that stay incomplete, and tasks on runners that are draining."""
        for step in stop_incomplete_gangs(self._cell, now, self._clock.unix_time()):
            self._journal.log_sampled(
                Part.PLACEMENT,
                'stopped a gang that was not completely started in time.',
                job=step.name.job,
                step=step.name.step,
            )
        for allocation in stop_on_draining_runners(self._cell, now):
            self._journal.log_sampled(
                Part.PLACEMENT,
                f'moves a task off the draining runner {allocation.runner}.',
                job=allocation.task.job,
                run=allocation.run,
                runner=allocation.runner,
            )

    async def _start_polling_new_runners(self, stack: AsyncExitStack) -> None:
        """Start to poll new runners, and unlisted ones that may still have tasks.

        A list entry of another runner at the same address does not prove that a runner was
        replaced: a heartbeat of an earlier incarnation can arrive seconds late, and the tasks of
        the live runner would be started twice. Only a poll that another runner answers is proof.
        """
        runner_list = self._dependencies.runners
        now = self._clock.monotonic()
        for idle in self._active_runners.release_idle_runners(runner_list.registration_by_id):
            self._cell.forget_runner(idle.id)
        active = self._active_runners.choose_runners_to_poll(runner_list.registration_by_id, now)
        new_states = self._cell.update_runners(active, now)
        apply_last_registrations(
            self._cell.runner_by_id.values(), runner_list.find_registration, now
        )
        for runner_id in self._cell.unseen_runners - self._cell.runner_by_id.keys():
            # The runner is no longer listed but may still be alive and have tasks.
            registration = runner_list.find_registration(runner_id)
            if registration is not None:
                new_states.append(self._cell.add_unlisted(registration))
        for state in new_states:
            runner = self._owner_context.add_runner_client(state)
            await start_task(stack, self._runner_poller.poll_runner, state, runner)

    async def _delete_old_jobs(self) -> None:
        """Delete the records of jobs that ended long ago, and cancellations that met no job."""
        now = self._clock.monotonic()
        if now < self._last_deletion_at + DELETION_CHECK_SECONDS:
            return
        self._last_deletion_at = now
        oldest = self._clock.unix_time() - self._dependencies.status_retention * 2
        records: list[KeyedRecord] = []
        for job_id in self._dependencies.jobs.state.jobs_ended_before(oldest):
            records.extend(
                make_tombstone(key + job_id)
                for key in (SUBMISSION_PREFIX, CANCELLATION_PREFIX, PROGRESS_PREFIX)
            )
        records.extend(
            make_tombstone(CANCELLATION_PREFIX + job_id)
            for job_id in self._stale_cancellations.find(self._dependencies.jobs.state, now)
            if job_id not in self._cell.job_by_id
        )
        if records:
            await curio.spawn(
                self._owner_context.writer.write, records, AUTHORITY_SECONDS, daemon=True
            )
