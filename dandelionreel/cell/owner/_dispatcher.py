"""Runs a cell during one term and carries out the decisions of ``Cell`` and ``Planner``."""

from contextlib import AsyncExitStack

import curio
import msgspec

from dandelionreel.cell.decisions import ANY_RUNNER, AdviceRequest, Cell, JobRun, Plan, Planner
from dandelionreel.cell.membership import (
    HEARTBEAT_SECONDS,
    AdviceFigures,
    AdvicePool,
    AdviceTrace,
    Term,
)
from dandelionreel.cell.model import (
    CANCELLATION_PREFIX,
    OWNER_KEY,
    RUNNERS_IN_USE_KEY,
    SUBMISSION_PREFIX,
    Cancellation,
    JobState,
    KeyedRecord,
    Permit,
    RunnersInUse,
    Submission,
    make_record,
)
from dandelionreel.cell.owner._dependencies import DispatcherDependencies
from dandelionreel.cell.owner._load_report import LoadReport
from dandelionreel.cell.owner._member_cleanup import MemberCleanup
from dandelionreel.cell.owner._orders import OrderSender
from dandelionreel.cell.owner._owner_context import SLOW_APPEND_SECONDS, OwnerContext
from dandelionreel.cell.owner._pacing import PacingFigures
from dandelionreel.cell.owner._periodic_checks import PeriodicChecks
from dandelionreel.cell.owner._refusals import Refusal, Refusals
from dandelionreel.cell.owner._speed_records import SpeedRecords
from dandelionreel.cell.store import StoredJob, WriteOutcome
from dandelionreel.kernel import Part, start_task

#: Seconds of failed appends after which a new job or a cancellation is refused.
CLIENT_WRITE_TIMEOUT = 0.25
#: Minimum seconds between plans, in which changes are collected for the next one.
MIN_PLAN_PAUSE_SECONDS = 0.004
#: Each plan is followed by a pause of this many times its duration, so that plans over a long
#: backlog leave processor time for orders.
PLAN_PAUSE_FACTOR = 1.5
#: Timeout in seconds for storing the record that releases the cell.
RELEASE_TIMEOUT = 1.0
#: Seconds after which a heartbeat is overdue and goes with any append: two regular ones.
OVERDUE_HEARTBEAT_SECONDS = 2 * HEARTBEAT_SECONDS
#: Seconds before a failed advice request is repeated.
ADVICE_RETRY_SECONDS = 0.1


class Dispatcher:
    """Dispatches the jobs of a cell during one term."""

    def __init__(self, dependencies: DispatcherDependencies, term: Term) -> None:
        """Create the dispatcher of ``term``."""
        self._dependencies = dependencies
        self._clock = dependencies.clock
        self._journal = dependencies.journal
        self.cell = Cell(term.epoch, dependencies.gang_timeout)
        self._owner_context = OwnerContext(
            term,
            self.cell,
            dependencies.topic,
            dependencies.make_runner,
            dependencies.max_lease,
            dependencies.clock,
            dependencies.journal,
            dependencies.get_runner_list_age,
        )
        self._heartbeat_count = 0
        self._heartbeat_at = self._clock.monotonic()
        self._owner_context.writer.get_overdue_records = self._get_overdue_heartbeat
        self._order_sender = OrderSender(self._owner_context)
        self._planner = Planner(self.cell, overload_control=dependencies.overload_control)
        #: ``None`` where demand does not exceed capacity: no job is refused.
        self._refusals = (
            Refusals(dependencies, self._owner_context, self._planner.order)
            if dependencies.overload_control
            else None
        )
        self._advice_pool = AdvicePool(
            dependencies.host,
            lambda: dependencies.jobs.state.member_by_host,
            dependencies.links,
            dependencies.advisor,
            dependencies.clock,
            dependencies.journal,
            self._record_permits,
            self._record_advice_failure,
        )
        self._member_cleanup = MemberCleanup(
            self._owner_context, dependencies.jobs.state, dependencies.links, dependencies.host
        )
        self._speed_records = SpeedRecords(self.cell, term.epoch, dependencies.journal)
        self._load_report = LoadReport(self.cell, self._advice_pool, dependencies.journal)
        self._periodic_checks = PeriodicChecks(dependencies, self._owner_context, self._load_report)

    @property
    def may_send_orders(self) -> bool:
        """Return whether this host may still send orders as the owner."""
        return self._owner_context.may_send_orders()

    @property
    def store_is_failing(self) -> bool:
        """Return whether appends to the store have been failing for a while."""
        return self._owner_context.writer.store_is_failing(self._clock.monotonic())

    @property
    def pacing_figures(self) -> PacingFigures:
        """Return how late this owner is, for the metrics."""
        return self._owner_context.pacing.figures(self._clock.monotonic())

    @property
    def advice_figures(self) -> AdviceFigures:
        """Return the counts of requests to the policy service, for the metrics."""
        return self._advice_pool.figures

    @property
    def stored_at(self) -> float:
        """Return when the latest answered append was sent, in monotonic seconds."""
        return self._owner_context.writer.stored_at

    async def run(self) -> None:
        """Dispatch until the term is lost or ended by ``end_term``."""
        self._load_state()
        async with AsyncExitStack() as stack:
            stack.push_async_callback(self._owner_context.close_runner_clients)
            stack.push_async_callback(self._advice_pool.close)
            for work in (
                self._owner_context.writer.run,
                self._store_heartbeats,
                self._follow_jobs,
                self._run_planner,
                self._member_cleanup.run,
                *(() if self._refusals is None else (self._refusals.run,)),
            ):
                await start_task(stack, work)
            await start_task(stack, self._periodic_checks.run, stack)
            await self._owner_context.ended.wait()
            if (
                not self._owner_context.end_reason
                and not await self._periodic_checks.request_takeover()
            ):
                await self._release_cell()
        self._journal.log(
            Part.OWNERSHIP,
            f'does not own the cell any more: {self._owner_context.end_reason}.',
            epoch=self._owner_context.term.epoch,
        )

    async def end_term(self) -> None:
        """End the term so that another host can own the cell."""
        await self._owner_context.ended.set()

    async def accept_job(
        self, job_id: str, submission: Submission, timeout: float, *, attempted_at: float = 0.0
    ) -> WriteOutcome | Refusal:
        """Store a job; planning and advice requests for it begin meanwhile.

        While the store is slow, the job is stored as possibly running on any runner. Its starts
        then need no append for each new runner. A job that would end too late to be of use is
        refused instead if ``attempted_at`` is set, the Unix time of the client's attempt.
        """
        if attempted_at and self._refusals is not None and job_id not in self.cell.job_by_id:
            judged_at = self._clock.monotonic()
            refusal = await self._refusals.refuse_if_useless(
                job_id, submission, timeout, attempted_at
            )
            if refusal is not None:
                return refusal
            if self._dependencies.jobs.state.is_accepted(job_id):
                return WriteOutcome.STORED
            timeout -= self._clock.monotonic() - judged_at
            submission = self._renew_submission(job_id, submission)
        return await self._store_job(job_id, submission, timeout)

    async def cancel_job(
        self, job_id: str, timeout: float, account: str | None = None
    ) -> WriteOutcome:
        """Store a client's cancellation of a job, then stop its tasks.

        ``account`` is the client's if the submission is not stored yet.
        """
        cancellation = Cancellation(self._clock.unix_time(), account)
        record = make_record(CANCELLATION_PREFIX + job_id, cancellation)
        write_task = await curio.spawn(self._store_cancellation, job_id, record, daemon=True)
        return await curio.ignore_after(timeout, write_task.join) or WriteOutcome.UNKNOWN

    def state_of_job(self, job_id: str) -> JobState | None:
        """Return the state of a job that clients are shown, ``None`` if it is unknown."""
        job = self.cell.job_by_id.get(job_id)
        return None if job is None or not job.stored else job.reported_state

    def is_storing_job(self, job_id: str) -> bool:
        """Return whether the outcome of an append with the job's submission is still unknown."""
        job = self.cell.job_by_id.get(job_id)
        return job is not None and not job.stored

    def account_of_job(self, job_id: str) -> str:
        """Return the client account of a job, empty if the job is unknown or has none."""
        job = self.cell.job_by_id.get(job_id)
        return '' if job is None else job.account

    async def _store_job(self, job_id: str, submission: Submission, timeout: float) -> WriteOutcome:
        known = self.cell.job_by_id.get(job_id)
        if known is not None and known.stored:
            return WriteOutcome.STORED
        is_cancelled = self._dependencies.jobs.state.is_cancelled(job_id, submission.account)
        stored_job = StoredJob(job_id, submission, cancelled=is_cancelled, progress=None)
        self.cell.update_job(stored_job, self._clock.monotonic(), self._clock.unix_time())
        job = self.cell.job_by_id[job_id]
        self._log_rate_exceeded(job)
        job.stored = False
        record = make_record(SUBMISSION_PREFIX + job_id, submission)
        store_is_slow = self._owner_context.writer.typical_latency > SLOW_APPEND_SECONDS
        if store_is_slow:
            job.runners.add(ANY_RUNNER)
        await self._owner_context.plan_needed.notify()
        write_task = await curio.spawn(
            self._store_submission, job, record, store_is_slow, daemon=True
        )
        outcome = await curio.ignore_after(timeout, write_task.join)
        return outcome or WriteOutcome.UNKNOWN

    def _renew_submission(self, job_id: str, submission: Submission) -> Submission:
        """Return a submission that is later than every refusal of the job."""
        refused_jobs = self._dependencies.jobs.state.refused_jobs
        accepted_at = refused_jobs.acceptance_time(job_id, submission.accepted_at)
        return msgspec.structs.replace(submission, accepted_at=accepted_at)

    def _log_rate_exceeded(self, job: JobRun) -> None:
        if job.exceeds_account_rate:
            self._journal.log_sampled(
                Part.JOBS,
                f"job {job.id} is beyond its account's share: it is queued behind other jobs.",
                job=job.id,
                account=job.account,
                epoch=self._owner_context.term.epoch,
            )

    async def _store_submission(
        self, job: JobRun, record: KeyedRecord, store_is_slow: bool
    ) -> WriteOutcome:
        jobs_to_store = [job] if store_is_slow else []
        outcome = await self._owner_context.store_progress(
            jobs_to_store, record, timeout=CLIENT_WRITE_TIMEOUT
        )
        if outcome is WriteOutcome.STORED:
            job.stored = True
        elif outcome is WriteOutcome.REFUSED and not job.stored:
            self.cell.forget_job(job.id, self._clock.unix_time())
        await self._owner_context.plan_needed.notify()
        return outcome

    async def _store_cancellation(self, job_id: str, record: KeyedRecord) -> WriteOutcome:
        outcome = await self._owner_context.writer.write([record], CLIENT_WRITE_TIMEOUT)
        if outcome is WriteOutcome.STORED:
            self.cell.cancel_job(job_id)
            await self._owner_context.plan_needed.notify()
        return outcome

    async def _release_cell(self) -> None:
        """Stop acting as the owner, then store the release of the cell.

        A successor waits only for leases that were granted before it read the release, so nothing
        may be started or renewed while the append is pending.
        """
        await self._owner_context.flush_progress()
        self._owner_context.end_reason = 'released'
        owner_record = self._owner_context.term.make_owner_record(
            unsettled=self._unsettled_seconds(),
            released=True,
            version=self._dependencies.configuration.version,
        )
        await self._owner_context.writer.write(
            [make_record(OWNER_KEY, owner_record)], RELEASE_TIMEOUT
        )

    def _load_state(self) -> None:
        """Load the jobs, the runners still to be polled, and the leftovers of ended jobs.

        Leftovers are runs of a finished job that still count against the quota of its account.
        """
        dependencies = self._dependencies
        self._periodic_checks.load_predecessor_state(self._clock.monotonic())
        cell_state = dependencies.jobs.state
        cell_state.take_changed_jobs()
        # In order of acceptance, since an account expects its earlier jobs to be served first.
        for job_id in sorted(cell_state.submission_by_id, key=cell_state.job_accepted_at):
            self._reload_job(job_id)
        self._speed_records.restore(
            cell_state.runner_speeds, dependencies.runners.registration_by_id.keys()
        )
        unix_time = self._clock.unix_time()
        for job_id, progress in cell_state.progress_by_id.items():
            self.cell.quotas.expect_leftovers(job_id, progress, unix_time)

    def _unsettled_seconds(self) -> float:
        """Return for how many more seconds leases of earlier owners may last on unseen runners.

        Unseen runners are those that this owner has not polled successfully yet, or that the store
        still names as such. Every owner record has this time, including the record of a release.
        Otherwise a successor would only wait for this owner's last lease while an earlier owner
        still renews others.
        """
        leases = self._periodic_checks.predecessor_leases
        unsettled = self.cell.unseen_runners | self._owner_context.unreached_runners.withheld
        now = self._clock.monotonic()
        expire_at = max((leases.expire_at_on(runner) for runner in unsettled), default=now)
        return round(max(0.0, expire_at - now), 2)

    def _make_heartbeat(self) -> tuple[KeyedRecord, int]:
        """Return the next heartbeat, and the number of refused jobs that its digest covers."""
        self._heartbeat_count += 1
        self._heartbeat_at = self._clock.monotonic()
        owner_record = self._owner_context.term.make_owner_record(
            self._heartbeat_count,
            self._unsettled_seconds(),
            version=self._dependencies.configuration.version,
        )
        refused_count = 0
        if self._refusals is not None:
            load, refused_count = self._refusals.make_digest_content(self._heartbeat_count)
            owner_record = msgspec.structs.replace(owner_record, load=msgspec.Raw(load))
        return make_record(OWNER_KEY, owner_record), refused_count

    def _get_overdue_heartbeat(self) -> list[KeyedRecord]:
        """Return a heartbeat for the next append if the usual one is overdue.

        An owner that is short of processor time would otherwise append the progress of jobs again
        and again while its heartbeat waits, and a successor would claim the cell meanwhile.
        """
        overdue_at = self._heartbeat_at + OVERDUE_HEARTBEAT_SECONDS
        if self._owner_context.end_reason or self._clock.monotonic() < overdue_at:
            return []
        heartbeat, _ = self._make_heartbeat()
        return [heartbeat]

    async def _store_heartbeats(self) -> None:
        """Store heartbeats until the term ends; a heartbeat after the release would revoke it."""
        stored: RunnersInUse | None = None
        while not self._owner_context.end_reason:
            heartbeat, refused_count = self._make_heartbeat()
            records = [heartbeat]
            if self._refusals is not None:
                records.extend(self._refusals.make_corrections())
            # Includes runners that only a former owner has seen: if this owner is killed, its
            # successor has to wait for them as well.
            runners_in_use = self._make_runners_in_use()
            if runners_in_use != stored:
                records.append(make_record(RUNNERS_IN_USE_KEY, runners_in_use))
                stored = None
            records.extend(self._speed_records.take_due_records(self._clock.monotonic()))
            outcome = await self._owner_context.store_progress(
                self.cell.take_dirty_jobs(), *records
            )
            if outcome is WriteOutcome.FENCED:
                await self._owner_context.end_term(
                    'another host has written to the store with a higher epoch'
                )
                return
            if outcome is WriteOutcome.STORED:
                stored = runners_in_use
                if self._refusals is not None:
                    await self._refusals.record_stored_heartbeat(refused_count)
                await self._enable_recorded_runners(runners_in_use)
            if self._refusals is None:
                await curio.sleep(HEARTBEAT_SECONDS)
            else:
                await self._refusals.pause_between_heartbeats()

    def _make_runners_in_use(self) -> RunnersInUse:
        """Return the runners to store, with those on which no lease is granted from now on."""
        runners = self.cell.runner_by_id.keys() | self.cell.unseen_runners
        unreached = self._owner_context.unreached_runners.name_runners(self._clock.monotonic())
        epoch = self._owner_context.term.epoch
        return RunnersInUse(epoch, tuple(sorted(runners)), tuple(sorted(unreached)))

    async def _enable_recorded_runners(self, stored: RunnersInUse) -> None:
        """Allow leases and tasks on the runners that the newest record in the store allows."""
        unreached = frozenset(stored.unreached)
        self._owner_context.unreached_runners.record_stored(unreached)
        startable = frozenset(stored.runners) - unreached
        for runner_id, state in self.cell.runner_by_id.items():
            if runner_id in startable and not state.recorded:
                state.recorded = True
                await self._owner_context.plan_needed.notify()

    async def _follow_jobs(self) -> None:
        """Apply changes of jobs and of the owner as they are read from the store."""
        follower = self._dependencies.follower
        cell_state = self._dependencies.jobs.state
        while True:
            seen = follower.changed.count
            if not self._dependencies.election.is_current_owner(self._owner_context.term):
                await self._owner_context.end_term('the store names another owner')
                return
            changed = cell_state.take_changed_jobs()
            for job_id in changed:
                self._reload_job(job_id)
            if changed:
                await self._owner_context.plan_needed.notify()
            await follower.changed.wait(seen, 1.0)

    def _reload_job(self, job_id: str) -> None:
        cell_state = self._dependencies.jobs.state
        stored_job = cell_state.find_job(job_id)
        if cell_state.has_refused_submission(job_id) or (
            stored_job is None and cell_state.refused_jobs.contains(job_id)
        ):
            # A late append of an earlier attempt, or its deletion. If the job was accepted since,
            # its submission is read later.
            return
        if stored_job is not None and stored_job.unreadable:
            self.cell.update_job(stored_job, self._clock.monotonic(), self._clock.unix_time())
            return
        if stored_job is None and self.is_storing_job(job_id):
            if cell_state.is_cancelled(job_id, self.account_of_job(job_id)):
                self.cell.cancel_job(job_id)
            return
        if stored_job is None or stored_job.submission is None:
            self._forget_job(job_id, stored_job)
            return
        self.cell.update_job(stored_job, self._clock.monotonic(), self._clock.unix_time())
        self.cell.job_by_id[job_id].stored = True

    def _forget_job(self, job_id: str, stored_job: StoredJob | None) -> None:
        job = self.cell.job_by_id.get(job_id)
        if job is not None and not job.is_finished:
            self._journal.log(
                Part.JOBS,
                f'job {job_id} is unfinished here but finished in the store.',
                job=job_id,
                state=job.state.value,
                stored=stored_job.state.value if stored_job else None,
            )
        self.cell.forget_job(job_id, self._clock.unix_time())

    async def _run_planner(self) -> None:
        while True:
            seen = self._owner_context.plan_needed.count
            if self._owner_context.may_start_tasks():
                await self._plan_and_send_orders()
            else:
                await self._send_stops()
            await self._owner_context.plan_needed.wait(seen, 1.0)

    async def _plan_and_send_orders(self) -> None:
        """Make a plan and send all its orders, even if this host may start no more tasks meanwhile.

        Before each start is sent, ``may_start_tasks`` is checked again, and the start is withdrawn
        if it is false. Dropping a plan would leave starts and advice requests recorded as pending
        although they were never sent.
        """
        started_at = self._clock.monotonic()
        pacing = self._owner_context.pacing
        self.cell.max_knowledge_age = pacing.max_knowledge_age - pacing.answer_delay
        plan = self._planner.plan(
            started_at,
            self._clock.unix_time(),
            self._advice_pool.free_non_urgent_requests,
            self._order_sender.free_start_slots,
        )
        # First, as the requests count as pending from the plan on: an exception further below would
        # leave their steps waiting for answers to requests that were never sent.
        for request in plan.advice_requests:
            await self._advice_pool.submit_request(request)
        self._load_report.add_plan(plan, self._clock.monotonic() - started_at)
        await self._send_stops()
        self._log_preempted(plan)
        self._log_quota_blocked(plan)
        self._log_starved_gangs(plan)
        await self._order_sender.send_starts(plan.starts)
        elapsed = self._clock.monotonic() - started_at
        pause = max(MIN_PLAN_PAUSE_SECONDS, PLAN_PAUSE_FACTOR * elapsed)
        await curio.sleep(pacing.plan_pause(pause))

    async def _send_stops(self) -> None:
        for allocation in self.cell.take_stops():
            await curio.spawn(self._order_sender.send_stop, allocation, daemon=True)

    def _log_preempted(self, plan: Plan) -> None:
        for allocation in plan.preempted:
            self._journal.log_sampled(
                Part.PLACEMENT,
                f'stops a task on {allocation.runner} to make room for a gang.',
                job=allocation.task.job,
                run=allocation.run,
                runner=allocation.runner,
            )

    def _log_quota_blocked(self, plan: Plan) -> None:
        for job in plan.quota_blocked:
            used, quota = self.cell.quotas.used(job.account), self.cell.quota_of(job)
            self._journal.log_sampled(
                Part.PLACEMENT,
                f'job {job.id} waits for {job.hold_reason}.',
                job=job.id,
                account=job.account,
                cpu=used.cpu,
                memory_mb=used.memory_mb,
                gpu=used.gpu,
                quota_cpu=quota.cpu if quota else None,
                quota_memory_mb=quota.memory_mb if quota else None,
                epoch=self._owner_context.term.epoch,
            )

    def _log_starved_gangs(self, plan: Plan) -> None:
        for gang in plan.starved_gangs:
            self._journal.log_sampled(
                Part.PLACEMENT,
                f'account {gang.account} waits for a gang of job {gang.step.job}: only tasks that '
                'fit into its quota beside the gang start.',
                job=gang.step.job,
                account=gang.account,
                cpu=gang.used.cpu,
                memory_mb=gang.used.memory_mb,
                gang_cpu=gang.needed.cpu,
                gang_memory_mb=gang.needed.memory_mb,
                quota_cpu=gang.quota.cpu,
                quota_memory_mb=gang.quota.memory_mb,
                epoch=self._owner_context.term.epoch,
            )

    async def _record_permits(
        self,
        request: AdviceRequest,
        permits: tuple[Permit, ...],
        until: float,
        trace: AdviceTrace,
    ) -> None:
        # The tickets are valid from when the service issued them, not from when they are handled.
        until -= self._owner_context.pacing.answer_delay
        self.cell.tickets.record_advice(request.step, request.runners, permits, until)
        self._journal.log_sampled(
            Part.PLACEMENT,
            f'{len(permits)} of {len(request.runners)} runners are allowed.',
            job=request.step.job,
            step=request.step.step,
            valid=round(until - self._clock.monotonic(), 3),
            **trace.log_fields(),
        )
        await self._owner_context.plan_needed.notify()

    async def _record_advice_failure(self, request: AdviceRequest, trace: AdviceTrace) -> None:
        not_before = self._clock.monotonic() + ADVICE_RETRY_SECONDS
        self.cell.tickets.record_failed_request(request.step, not_before)
        tickets = self.cell.tickets.of(request.step)
        self._journal.log_sampled(
            Part.PLACEMENT,
            f'a request for advice for job {request.step.job} failed.',
            job=request.step.job,
            step=request.step.step,
            priority=request.priority,
            runners=len(request.runners),
            step_failures=tickets.failures,
            step_pending=tickets.pending,
            **trace.log_fields(),
        )
        await curio.spawn(self._plan_after, ADVICE_RETRY_SECONDS, daemon=True)

    async def _plan_after(self, seconds: float) -> None:
        await curio.sleep(seconds)
        await self._owner_context.plan_needed.notify()
