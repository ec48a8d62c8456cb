"""The owner's in-memory state of jobs and runners, and all changes to it. No I/O.

The dispatcher passes events in and sends the starts and stops that are decided here.
"""

from collections.abc import Iterable, Iterator

from dandelionreel.accounts import Account
from dandelionreel.cell.decisions._allocation_table import AllocationTable
from dandelionreel.cell.decisions._crashes import Crash
from dandelionreel.cell.decisions._job_rates import JobRates
from dandelionreel.cell.decisions._job_run import ANY_RUNNER, JobRun
from dandelionreel.cell.decisions._quotas import QuotaLedger
from dandelionreel.cell.decisions._run_observer import RunObserver
from dandelionreel.cell.decisions._run_times import RunTimes
from dandelionreel.cell.decisions._runner_losses import RunnerLosses
from dandelionreel.cell.decisions._runner_state import (
    NEVER,
    Allocation,
    AllocationPhase,
    RunnerState,
)
from dandelionreel.cell.decisions._runner_views import PollEffect, RunnerViewHandler
from dandelionreel.cell.decisions._step_run import StepRun, TaskRun, counted_demand
from dandelionreel.cell.decisions._tickets import TicketCache
from dandelionreel.cell.decisions._zone_reachability import ZoneReachability
from dandelionreel.cell.model import (
    Configuration,
    Demand,
    Leftover,
    Queue,
    Registration,
    RunnerView,
    StartReply,
    StepName,
    Submission,
    find_later_incarnations,
)
from dandelionreel.cell.store import StoredJob

#: Run numbers that one epoch has for one task. A later owner's numbers are higher than all
#: of an earlier owner's, so run numbers need not be stored.
RUNS_PER_EPOCH = 1000
#: Seconds without further starts after a runner refused one: for lack of capacity, or because it
#: was unhealthy.
REFUSED_START_BACKOFF_SECONDS = 0.3
UNHEALTHY_BACKOFF_SECONDS = 1.0
#: Largest fraction by which a runner's clock may run slower than the owner's.
MAX_CLOCK_DRIFT = 0.02


class Cell:
    """All jobs and runners that the owner of a cell knows."""

    def __init__(self, epoch: int, gang_timeout: float) -> None:
        """Create an empty state for the owner with this epoch."""
        self.epoch = epoch
        self.configuration: Configuration | None = None
        self._allocations = AllocationTable()
        self.job_by_id = self._allocations.job_by_id
        self.unfinished_job_by_id = self._allocations.unfinished_job_by_id
        self.runner_by_id = self._allocations.runner_by_id
        self.tickets = TicketCache()
        self.run_times = RunTimes()
        self._run_observer = RunObserver(self.run_times, self.job_by_id)
        self.zone_reachability = ZoneReachability()
        #: Runners that may still run tasks of earlier owners and have not listed their runs yet.
        self.unseen_runners: set[str] = set()
        #: Jobs with an unreadable record in the store.
        self.unreadable_jobs: set[str] = set()
        #: Runners whose process is proven to have ended; their entries are ignored.
        self._ended_runners: set[str] = set()
        self.gang_timeout = gang_timeout
        #: Maximum age in seconds of the last answer of a runner on which tasks are placed.
        self.max_knowledge_age = float('inf')
        #: Number of runs during which a runner crashed, in this owner's term.
        self.crashed_runs = 0
        self.quotas = QuotaLedger(self._allocations, self.unseen_runners)
        self._rates = JobRates()
        self._losses = RunnerLosses(
            self.unfinished_job_by_id, self._allocations.dirty, self.runner_by_id
        )
        self._runner_views = RunnerViewHandler(
            self._allocations, self._losses, self.unreadable_jobs, self.queue_of
        )

    # Jobs

    def queue_of(self, job: JobRun) -> Queue | None:
        """Return the job's queue, ``None`` if neither configurations nor the job have its terms."""
        if self.configuration is None:
            return job.accepted_queue
        return self.configuration.find_job_queue(job.submission.queue) or job.accepted_queue

    def quota_of(self, job: JobRun) -> Demand | None:
        """Return the resource quota of the job's account, ``None`` for no limit."""
        account = self._account_of(job)
        return None if account is None else account.quota

    def would_exceed_account_rate(self, submission: Submission) -> bool:
        """Return whether a new job would be beyond its account's rate, without counting it."""
        account = None
        if self.configuration is not None:
            account = self.configuration.find_account(submission.account)
        if account is None:
            return False
        return not self._rates.has_token(account.name, account.weight, submission.accepted_at)

    def objective_of(self, job: JobRun) -> float:
        """Return the job's latency objective in seconds from its acceptance."""
        return job.objective(self.queue_of(job), self.quota_of(job))

    def leftovers_of(self, job: JobRun, unix_time: float) -> tuple[Leftover, ...]:
        """Return the resources that runs of a finished job may still use, by runner."""
        return self.quotas.leftovers_of(job, unix_time) if job.account else ()

    def allocations_of_job(self, job_id: str) -> list[Allocation]:
        """Return the allocations of a job on all runners."""
        return self._allocations.allocations_of_job(job_id)

    def runners_in_use(self, job: JobRun) -> set[str]:
        """Return the runners on which runs of the job may exist.

        All runs on other runners are known to have ended: this owner has their ends, an answer
        without them, or proof that the runner or its leases have ended.
        """
        held = {allocation.runner for allocation in self.allocations_of_job(job.id)}
        return held | self.unseen_runners

    def service_of(self, job: JobRun) -> str:
        """Return the service (pool of runners) that runs the job."""
        queue = self.queue_of(job)
        return job.submission.service if queue is None else queue.service

    def is_blocked(self, job: JobRun) -> bool:
        """Return whether starts of the job wait, as runs of an earlier owner may still exist.

        Starting the task of such a run on another runner could make it run twice at the same time.
        """
        if ANY_RUNNER in job.runners:
            return bool(self.unseen_runners)
        return not self.unseen_runners.isdisjoint(job.runners)

    def update_job(self, stored_job: StoredJob, now: float, unix_time: float) -> None:
        """Apply the stored records of a job that is new or already known to this owner.

        An unreadable job that is not known here is not started. The ends of its runs are not
        acknowledged: the runners would forget them, and a task that is done would be started
        again once the job can be read.
        """
        job = self.job_by_id.get(stored_job.id)
        if stored_job.unreadable and job is None:
            self.unreadable_jobs.add(stored_job.id)
        elif stored_job.id in self.unreadable_jobs:
            self.unreadable_jobs.remove(stored_job.id)
            for runner in self.runner_by_id.values():
                runner.reprocess_ends()
        if job is None and stored_job.submission is not None and not stored_job.unreadable:
            age = max(0.0, unix_time - stored_job.submission.accepted_at)
            job = JobRun(stored_job.id, stored_job.submission, now - age)
            job.exceeds_account_rate = self._exceeds_account_rate(job)
            if stored_job.progress is not None:
                job.restore(stored_job.progress)
            self.job_by_id[stored_job.id] = job
            self.unfinished_job_by_id[stored_job.id] = job
        elif job is not None and job.apply_final_state(stored_job.progress):
            self._allocations.stop_job(job.id)
        if stored_job.cancelled:
            self.cancel_job(stored_job.id)

    def cancel_job(self, job_id: str) -> None:
        """Stop a job whose cancellation is stored."""
        job = self.job_by_id.get(job_id)
        if job is not None and not job.is_finished:
            self._cancel_job(job)

    def forget_job(self, job_id: str, unix_time: float) -> None:
        """Remove a job whose records the store has dropped."""
        self.unfinished_job_by_id.pop(job_id, None)
        job = self.job_by_id.pop(job_id, None)
        if job is not None:
            self.quotas.keep_leftovers(job, unix_time)
            self._allocations.stop_job(job.id)
            self.tickets.drop_job(job_id)

    def drop_finished_jobs(self, unix_time: float) -> None:
        """Drop finished jobs from planning, so that its cost depends on unfinished jobs only."""
        finished = [job for job in self.unfinished_job_by_id.values() if job.is_finished]
        for job in finished:
            self.quotas.keep_leftovers(job, unix_time)
            self.unfinished_job_by_id.pop(job.id)

    def take_dirty_jobs(self) -> list[JobRun]:
        """Return the jobs with unsaved progress, each only once: the caller has to save it."""
        unsaved = []
        for job_id in self._allocations.dirty:
            job = self.job_by_id.get(job_id)
            if job is not None and job.dirty:
                job.dirty = False
                unsaved.append(job)
        self._allocations.dirty.clear()
        return unsaved

    def mark_dirty(self, job: JobRun) -> None:
        """Mark a job's progress as unsaved after a failed write to the store."""
        job.dirty = True
        self._allocations.dirty.add(job.id)

    def take_stops(self) -> list[Allocation]:
        """Return the pending stops and clear them."""
        return self._allocations.take_stops()

    # Runners

    def update_runners(
        self,
        registrations: dict[str, Registration],
        now: float,
    ) -> list[RunnerState]:
        """Apply the list of registered runners; return those that are new."""
        new_runners = []
        for runner_id, registration in registrations.items():
            if runner_id in self._ended_runners:
                continue
            state = self.runner_by_id.get(runner_id)
            if state is None:
                # A runner that was never used runs none of our tasks, so there is no reason
                # to poll an address from an entry that cannot be used.
                if not registration.usable:
                    continue
                state = RunnerState(registration)
                self.runner_by_id[runner_id] = state
                new_runners.append(state)
            state.apply_registration(registration, now)
            state.listed = True
        for runner_id, state in self.runner_by_id.items():
            if runner_id not in registrations:
                state.listed = False
        return new_runners

    def forget_runner(self, runner_id: str) -> None:
        """Remove a runner without allocations; its entry may add it again."""
        self.runner_by_id.pop(runner_id, None)

    def add_unlisted(self, registration: Registration) -> RunnerState:
        """Add a runner whose entry has been removed, to poll it for runs that it still has."""
        state = RunnerState(registration)
        state.listed = False
        self.runner_by_id[state.id] = state
        return state

    def handle_ended_runner(self, runner_id: str, *, proven: bool) -> list[Crash]:
        """Remove a runner on which nothing runs any more.

        A runner whose end is ``proven`` is not added again, although its entry stays listed for
        some seconds. Returns the crashes during its runs; they are counted before any of these
        tasks can start again.
        """
        if proven:
            self._ended_runners.add(runner_id)
            self.run_times.forget_runner(runner_id)
        runner = self.runner_by_id.pop(runner_id, None)
        self.unseen_runners.discard(runner_id)
        if runner is None:
            return []
        crashes = self._losses.count_crashes_on_ended_runner(runner) if proven else []
        self._allocations.drop_all_lost_runs(runner)
        self._handle_crashes(crashes)
        return crashes

    def handle_lapsed_runner(self, runner_id: str) -> None:
        """Drop the runs of a runner whose leases have all expired."""
        self.unseen_runners.discard(runner_id)
        runner = self.runner_by_id[runner_id]
        self._losses.record_lapsed_runner(runner)
        self._allocations.drop_all_lost_runs(runner)

    def find_replaced_runners(self) -> tuple[str, ...]:
        """Return the unseen incarnations that have ended, as a later one answers.

        Only an answer proves a later incarnation: another writer may have written its entry.
        """
        if not self.unseen_runners:
            return ()
        answered = [state.id for state in self.runner_by_id.values() if state.answered_at != NEVER]
        return tuple(find_later_incarnations(self.unseen_runners, answered))

    def drop_unseen_runners(self, runners: Iterable[str]) -> list[Crash]:
        """Stop waiting for runs that earlier owners may have started on unseen runners.

        The caller knows that these runs have ended: their leases have expired, or a later
        incarnation of the runner answers. Crashes are counted only for runners that are not
        listed: others may just be unreachable.
        """
        crashes = []
        dropped = self.unseen_runners.intersection(runners)
        for runner_id in dropped:
            state = self.runner_by_id.get(runner_id)
            if state is not None and state.listed:
                continue
            crashes.extend(self._losses.count_crashes_on_unseen_runner(runner_id))
        self.unseen_runners -= dropped
        self._handle_crashes(crashes)
        return crashes

    def capacity(self) -> Demand:
        """Return the total capacity of all listed runners."""
        total = Demand()
        for runner in self.runner_by_id.values():
            if runner.listed:
                total += runner.registration.capacity
        return total

    # Starts

    def place_task(
        self,
        step: StepRun,
        task: TaskRun,
        runner: RunnerState,
        run: int,
        now: float,
        ticket: str,
        expected: float,
    ) -> Allocation:
        """Allocate a task's next run to a runner; the start is sent later."""
        demand = counted_demand(step)
        job = self.job_by_id[task.name.job]
        job.hold_reason = ''
        allocation = Allocation(
            task.name,
            run,
            runner.id,
            demand,
            now,
            ticket,
            expected=expected,
            long_running=step.step.long_running,
            checkpoint=task.checkpoint,
            quarantined=task.quarantined,
            account=job.account,
            starts_afresh=not (task.checkpoint or step.step.long_running),
        )
        self._allocations.add_allocation(runner, allocation)
        step.place_task(task, runner.id, run)
        return allocation

    def next_run_number(self, tasks: Iterable[TaskRun]) -> int:
        """Return a run number higher than all earlier runs of these tasks."""
        lowest = self.epoch * RUNS_PER_EPOCH
        return max(lowest, *(task.run for task in tasks)) + 1

    def may_send_start(self, allocation: Allocation) -> bool:
        """Return whether a placed start may still be sent; checked right before sending."""
        if allocation.phase is not AllocationPhase.STARTING:
            return False
        job = self.job_by_id.get(allocation.task.job)
        if job is None or job.is_finished:
            return False
        runner = self.runner_by_id.get(allocation.runner)
        if runner is None or not runner.registration.usable or runner.draining:
            return False
        # A start may wait for the store for a second after it was placed. The runner may have
        # reported a smaller capacity meanwhile and would be overcommitted.
        return runner.has_capacity_for(allocation)

    def handle_start_reply(
        self,
        allocation: Allocation,
        reply: StartReply,
        now: float,
        *,
        in_doubt: bool = False,
    ) -> None:
        """Apply a runner's reply to a start; ``in_doubt`` if an earlier attempt got no answer.

        A refusal is valid for its own attempt only. An earlier attempt may still be executed
        seconds later, so the allocation is kept until a stop has ruled that out. Otherwise
        the task could start elsewhere and run twice at the same time.
        """
        runner = self.runner_by_id.get(allocation.runner)
        if reply in {StartReply.STARTED, StartReply.OUTDATED}:
            if runner is not None:
                runner.order_answered_at = now
            self._allocations.confirm_start(allocation, now)
            return
        step = self.step_of(allocation)
        if runner is not None:
            if reply is StartReply.UNHEALTHY:
                runner.no_starts_until = now + UNHEALTHY_BACKOFF_SECONDS
            elif reply is StartReply.NO_ROOM:
                runner.no_starts_until = now + REFUSED_START_BACKOFF_SECONDS
        if step is not None:
            if reply is StartReply.NO_TICKET:
                self.tickets.revoke(step.name, allocation.runner)
            if reply is StartReply.INVALID:
                step.not_before = now + UNHEALTHY_BACKOFF_SECONDS
        if in_doubt:
            self.revoke_start(allocation)
            return
        self.release_start(allocation)

    def revoke_start(self, allocation: Allocation) -> None:
        """Revoke a start that may still arrive; it stays allocated until a stop rules it out.

        Its gang cannot become complete any more, so the other members are stopped. Otherwise
        they would wait while the runner is silent, and then give up by themselves.
        """
        self.stop_run(allocation)
        step = self.step_of(allocation)
        if step is not None and step.step.gang:
            self.stop_gang_members(step)

    def release_start(self, allocation: Allocation) -> None:
        """Free the allocation of a start that is known not to run."""
        runner = self.runner_by_id.get(allocation.runner)
        if runner is not None and (allocation.task, allocation.run) in runner.allocation_by_run:
            self._allocations.drop_lost_run(runner, allocation)

    def stop_run(self, allocation: Allocation) -> None:
        """Stop a run; it stays allocated until the runner is known not to have it."""
        self._allocations.stop_run(allocation)

    def handle_stop_reply(self, allocation: Allocation, now: float) -> None:
        """Note that the runner acknowledged a stop; a later poll shows when the run is gone."""
        allocation.order_answered_at = now

    # Polls

    def handle_view(
        self, runner: RunnerState, view: RunnerView, polled_at: float, now: float
    ) -> PollEffect:
        """Apply a runner's poll answer; ``polled_at`` is when the poll was sent."""
        was_silent = runner.suspect or runner.missed_last_poll
        effect = self._runner_views.apply(runner, view, polled_at, now)
        self._run_observer.record_view(runner, effect.ended, now, was_silent=was_silent)
        self._handle_crashes(effect.crashes)
        self.tickets.drop_steps(_complete_steps(effect, self.job_by_id))
        if view.complete:
            self.unseen_runners.discard(runner.id)
        return effect

    def step_of(self, allocation: Allocation) -> StepRun | None:
        """Return the step of an allocation, ``None`` if its job is unknown."""
        return self._allocations.step_of(allocation)

    def stop_gang_members(self, step: StepRun) -> None:
        """Stop all placed members of a gang."""
        self._allocations.stop_gang_members(step)

    def _account_of(self, job: JobRun) -> Account[Demand] | None:
        if self.configuration is None:
            return None
        return self.configuration.find_account(job.account)

    def _exceeds_account_rate(self, job: JobRun) -> bool:
        account = self._account_of(job)
        if account is None:
            return False
        return not self._rates.take_token(account.name, account.weight, job.submission.accepted_at)

    def _cancel_job(self, job: JobRun) -> None:
        job.cancelled = True
        job.dirty = True
        self._allocations.dirty.add(job.id)
        self._allocations.stop_job(job.id)

    def _handle_crashes(self, crashes: list[Crash]) -> None:
        self.crashed_runs += len(crashes)
        for crash in crashes:
            if crash.given_up:
                self._allocations.stop_job(crash.task.job)


def _complete_steps(effect: PollEffect, job_by_id: dict[str, JobRun]) -> Iterator[StepName]:
    """Yield the steps whose last task has ended."""
    for ended, _ in effect.ended:
        job = job_by_id.get(ended.task.job)
        step = None if job is None else job.find_step(ended.task)
        if step is not None and step.is_complete:
            yield step.name
