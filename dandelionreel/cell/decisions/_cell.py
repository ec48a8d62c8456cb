"""The owner's whole knowledge of jobs and runners, and every change to it. No I/O.

The dispatcher reports what it has seen and sends what this decides.
"""

from collections.abc import Iterable

from dandelionreel.accounts import Account
from dandelionreel.cell.decisions._allocation_table import AllocationTable
from dandelionreel.cell.decisions._crashes import Crash
from dandelionreel.cell.decisions._job_rates import JobRates
from dandelionreel.cell.decisions._ledger import NEVER, Allocation, Holding, RunnerState
from dandelionreel.cell.decisions._losses import Losses
from dandelionreel.cell.decisions._quotas import QuotaLedger
from dandelionreel.cell.decisions._runner_views import PollEffect, RunnerViews
from dandelionreel.cell.decisions._runs import ANY_RUNNER, JobRun
from dandelionreel.cell.decisions._step_runs import StepRun, TaskRun, counted_demand
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
    find_later,
)
from dandelionreel.cell.store import BookedJob

#: Run numbers of one epoch for one task. Numbers of a later owner are higher
#: than all of an earlier one, so none of them has to be stored.
RUNS_PER_EPOCH = 1000
#: Seconds for which a runner that refused a start gets none.
REFUSED_QUIET = 0.3
UNHEALTHY_QUIET = 1.0
#: How much slower than ours a runner's clock may run.
CLOCK_DRIFT = 0.02


class Cell:
    """Jobs by id, runners by id, and the rules between them."""

    def __init__(self, epoch: int, gang_timeout: float) -> None:
        """Start empty, as the owner with that epoch."""
        self.epoch = epoch
        self.configuration: Configuration | None = None
        self._allocations = AllocationTable()
        self.job_by_id = self._allocations.job_by_id
        self.live_by_id = self._allocations.live_by_id
        self.runner_by_id = self._allocations.runner_by_id
        self.tickets = TicketCache()
        self.zone_reachability = ZoneReachability()
        #: Runners on which tasks of earlier owners may run unseen.
        self.unseen: set[str] = set()
        #: Jobs of which something in the store cannot be read.
        self.unreadable_jobs: set[str] = set()
        #: Runners that are known to have ended.
        self._dead: set[str] = set()
        self.gang_timeout = gang_timeout
        #: Whether peers may know jobs to be complete that are not here: nothing that has
        #: begun starts again before they have been asked.
        self.awaits_completions = False
        #: Runs under which a runner has crashed, in this term.
        self.crashed_runs = 0
        self.quotas = QuotaLedger(self._allocations, self.unseen)
        self._rates = JobRates()
        self._losses = Losses(self.live_by_id, self._allocations.dirty)
        self._runner_views = RunnerViews(
            self._allocations, self._losses, self.unreadable_jobs, self.queue_of
        )

    # Jobs

    def queue_of(self, job: JobRun) -> Queue | None:
        """Return the job's queue in the configuration in force."""
        if self.configuration is None:
            return None
        return self.configuration.queue_by_name.get(job.submission.queue)

    def quota_of(self, job: JobRun) -> Demand | None:
        """Return what the job's account may have running, ``None`` for no limit."""
        account = self._account_of(job)
        return None if account is None else account.quota

    def objective_of(self, job: JobRun) -> float:
        """Return the seconds within which a job counts as served in time."""
        return job.objective(self.queue_of(job), self.quota_of(job))

    def leftovers_of(self, job: JobRun, wall: float) -> tuple[Leftover, ...]:
        """Return what runs of a job that is over may still take, by runner."""
        return self.quotas.leftovers_of(job, wall) if job.account else ()

    def allocations_of_job(self, job_id: str) -> list[Allocation]:
        """Return all runs that are held for a job, on whichever runner."""
        return self._allocations.allocations_of_job(job_id)

    def service_of(self, job: JobRun) -> str:
        """Return the service whose runners run the job."""
        queue = self.queue_of(job)
        return job.submission.service if queue is None else queue.service

    def is_blocked(self, job: JobRun) -> bool:
        """Return whether a former owner's tasks of the job may run unseen.

        Starting one of them elsewhere could make it run twice at once.
        """
        if self.awaits_completions and job.runners:
            return True
        if ANY_RUNNER in job.runners:
            return bool(self.unseen)
        return not self.unseen.isdisjoint(job.runners)

    def see_job(self, booked: BookedJob, now: float, wall: float) -> None:
        """Take a job, or the news of one, from the store.

        Nothing is started of a job that cannot be read, unless it is known here. Its
        ends stay at their runners: acknowledged while nobody can note them, a task that
        is done would be started again once the job can be read.
        """
        job = self.job_by_id.get(booked.id)
        if booked.unreadable and job is None:
            self.unreadable_jobs.add(booked.id)
        elif booked.id in self.unreadable_jobs:
            self.unreadable_jobs.remove(booked.id)
            for runner in self.runner_by_id.values():
                runner.read_again()
        if job is None and booked.submission is not None and not booked.unreadable:
            age = max(0.0, wall - booked.submission.accepted_at)
            job = JobRun(booked.id, booked.submission, now - age)
            job.beyond_rate = self._is_beyond_rate(job)
            if booked.progress is not None:
                job.restore(booked.progress)
            self.job_by_id[booked.id] = job
            self.live_by_id[booked.id] = job
        elif job is not None and job.take_end(booked.progress):
            self._allocations.stop_job(job.id)
        if booked.cancelled:
            self.cancel(booked.id)

    def cancel(self, job_id: str) -> None:
        """Stop a job whose cancellation stands in the store."""
        job = self.job_by_id.get(job_id)
        if job is not None and not job.over:
            self._cancel(job)

    def take_complete(self, jobs: Iterable[str]) -> list[str]:
        """Take the word of former owners that jobs are complete; return those that were not."""
        taken = []
        for job_id in jobs:
            job = self.job_by_id.get(job_id)
            if job is None or not job.note_complete():
                continue
            self._allocations.dirty.add(job_id)
            self._allocations.stop_job(job.id)
            taken.append(job_id)
        return taken

    def forget_job(self, job_id: str, wall: float) -> None:
        """Drop a job that the store has dropped."""
        self.live_by_id.pop(job_id, None)
        job = self.job_by_id.pop(job_id, None)
        if job is not None:
            self.quotas.keep_leftovers(job, wall)
            self._allocations.stop_job(job.id)
            self.tickets.drop_job(job_id)

    def drop_over(self, wall: float) -> None:
        """Stop looking at jobs that are over, so that a plan costs what is left."""
        over = [job for job in self.live_by_id.values() if job.over]
        for job in over:
            self.quotas.keep_leftovers(job, wall)
            self.live_by_id.pop(job.id)

    def take_dirty(self) -> list[JobRun]:
        """Return the jobs whose progress must be stored, once."""
        taken = []
        for job_id in self._allocations.dirty:
            job = self.job_by_id.get(job_id)
            if job is not None and job.dirty:
                job.dirty = False
                taken.append(job)
        self._allocations.dirty.clear()
        return taken

    def note_unstored(self, job: JobRun) -> None:
        """Have a job's progress stored again: the last time, the store did not take it."""
        job.dirty = True
        self._allocations.dirty.add(job.id)

    def take_stops(self) -> list[Allocation]:
        """Return the runs that must be told to stop, once."""
        return self._allocations.take_stops()

    # Runners

    def see_runners(
        self,
        registrations: dict[str, Registration],
        now: float,
    ) -> list[RunnerState]:
        """Take the list of runners; return those that are new."""
        fresh = []
        for runner_id, registration in registrations.items():
            if runner_id in self._dead:
                continue
            known = self.runner_by_id.get(runner_id)
            if known is None:
                # Nothing of ours can be on a runner that was not used, and asking at an
                # address from an entry that cannot be trusted helps nobody.
                if not registration.usable:
                    continue
                known = RunnerState(registration)
                self.runner_by_id[runner_id] = known
                fresh.append(known)
            known.note_registration(registration, now)
            known.listed = True
        for runner_id, known in self.runner_by_id.items():
            if runner_id not in registrations:
                known.listed = False
        return fresh

    def leave_runner(self, runner_id: str) -> None:
        """Forget a runner that holds nothing; it may be taken again."""
        self.runner_by_id.pop(runner_id, None)

    def add_unlisted(self, registration: Registration) -> RunnerState:
        """Take a runner whose entry has gone, to look at what it still holds."""
        state = RunnerState(registration)
        state.listed = False
        self.runner_by_id[state.id] = state
        return state

    def runner_ended(self, runner_id: str, *, proven: bool) -> list[Crash]:
        """Forget a runner on which nothing runs; one ``proven`` to be dead stays so.

        Its entry stays listed for some seconds and would bring it back. Returns the crashes under
        its runs, which count before any of their tasks can start again.
        """
        if proven:
            self._dead.add(runner_id)
        runner = self.runner_by_id.pop(runner_id, None)
        self.unseen.discard(runner_id)
        if runner is None:
            return []
        crashes = self._losses.note_end(runner) if proven else []
        self._allocations.drop_all_lost(runner)
        self._take_crashes(crashes)
        return crashes

    def runner_lapsed(self, runner_id: str) -> None:
        """Every lease that a runner was granted has run out."""
        self.unseen.discard(runner_id)
        runner = self.runner_by_id[runner_id]
        self._losses.note_lapse(runner)
        self._allocations.drop_all_lost(runner)

    def find_outlived(self) -> dict[str, RunnerState]:
        """Return unseen incarnations that are over, each with a later one that has answered.

        An entry of a later one is no proof: other writers may have written it.
        """
        if not self.unseen:
            return {}
        answered = [state.id for state in self.runner_by_id.values() if state.answered_at != NEVER]
        later_by_unseen = find_later(self.unseen, answered)
        return {unseen: self.runner_by_id[later] for unseen, later in later_by_unseen.items()}

    def give_up_unseen(self, runners: Iterable[str]) -> list[Crash]:
        """Take what earlier owners started on unseen runners for gone.

        One whose entry is still there is only out of reach.
        """
        crashes = []
        given_up = self.unseen.intersection(runners)
        for runner_id in given_up:
            known = self.runner_by_id.get(runner_id)
            if known is not None and known.listed:
                continue
            crashes.extend(self._losses.note_unseen(runner_id))
        self.unseen -= given_up
        self._take_crashes(crashes)
        return crashes

    def capacity(self) -> Demand:
        """Return what all runners that are listed hold together."""
        total = Demand()
        for runner in self.runner_by_id.values():
            if runner.listed:
                total += runner.registration.capacity
        return total

    # Starts

    def place(
        self,
        step: StepRun,
        task: TaskRun,
        runner: RunnerState,
        run: int,
        now: float,
        ticket: str,
        expected: float,
    ) -> Allocation:
        """Decide that a task starts on a runner, and count it there."""
        demand = counted_demand(step)
        job = self.job_by_id[task.name.job]
        job.held_by = ''
        allocation = Allocation(
            task.name,
            run,
            runner.id,
            demand,
            now,
            ticket,
            expected=expected,
            checkpoint=task.checkpoint,
            quarantined=task.quarantined,
            account=job.account,
        )
        self._allocations.hold(runner, allocation)
        step.place(task, runner.id, run)
        return allocation

    def next_run(self, tasks: Iterable[TaskRun]) -> int:
        """Return a run number above all earlier ones of these tasks."""
        lowest = self.epoch * RUNS_PER_EPOCH
        return max(lowest, *(task.run for task in tasks)) + 1

    def may_start(self, allocation: Allocation) -> bool:
        """Return whether the start is still wanted; asked right before it is sent."""
        if allocation.phase is not Holding.STARTING:
            return False
        job = self.job_by_id.get(allocation.task.job)
        if job is None or job.over:
            return False
        runner = self.runner_by_id.get(allocation.runner)
        if runner is None or not runner.registration.usable or runner.draining:
            return False
        # A start may wait for the store for a second after it was placed. Its runner's
        # room may have shrunk meanwhile, and it would take more than it has.
        return runner.has_room_for(allocation)

    def start_answered(
        self,
        allocation: Allocation,
        reply: StartReply,
        now: float,
        *,
        in_doubt: bool = False,
    ) -> None:
        """Take a runner's answer to a start; ``in_doubt`` after a try without an answer.

        A refusal speaks of its own try only. An earlier one may be carried out
        seconds later, so the run counts until a stop has forbidden it: the task
        would else start elsewhere and run twice at once.
        """
        if reply in {StartReply.STARTED, StartReply.OUTDATED}:
            self._allocations.confirm_start(allocation, now)
            return
        runner = self.runner_by_id.get(allocation.runner)
        step = self.step_of(allocation)
        if runner is not None:
            if reply is StartReply.UNHEALTHY:
                runner.quiet_until = now + UNHEALTHY_QUIET
            elif reply is StartReply.NO_ROOM:
                runner.quiet_until = now + REFUSED_QUIET
        if step is not None:
            if reply is StartReply.NO_TICKET:
                self.tickets.revoke(step.name, allocation.runner)
            if reply is StartReply.INVALID:
                step.not_before = now + UNHEALTHY_QUIET
        if in_doubt:
            self.take_back(allocation)
            return
        self.withdraw(allocation)

    def take_back(self, allocation: Allocation) -> None:
        """Take back a start that may still arrive: it counts until a stop has forbidden it.

        A gang cannot come together any more. Its other members would wait for as long as
        the runner is silent, and give up by themselves.
        """
        self.stop(allocation)
        step = self.step_of(allocation)
        if step is not None and step.step.gang:
            self.stop_members(step)

    def withdraw(self, allocation: Allocation) -> None:
        """Take back a start of which it is known that it does not run."""
        runner = self.runner_by_id.get(allocation.runner)
        if runner is not None and (allocation.task, allocation.run) in runner.allocation_by_run:
            self._allocations.drop_lost(runner, allocation)

    def stop(self, allocation: Allocation) -> None:
        """Have a run stopped; it counts until it is known to be gone."""
        self._allocations.stop(allocation)

    def stop_answered(self, allocation: Allocation, now: float) -> None:
        """The runner has taken the stop: a later look tells when it is gone."""
        allocation.settled_at = now

    # Looks

    def viewed(self, runner: RunnerState, view: RunnerView, asked: float, now: float) -> PollEffect:
        """Take all that a runner lists; ``asked`` is when the look was sent."""
        effect = self._runner_views.take(runner, view, asked, now)
        self._take_crashes(effect.crashes)
        if view.complete:
            self.unseen.discard(runner.id)
        return effect

    def step_of(self, allocation: Allocation) -> StepRun | None:
        """Return the step of an allocation, ``None`` where its job is not known."""
        return self._allocations.step_of(allocation)

    def stop_members(self, step: StepRun) -> None:
        """Stop all members of a gang that are placed."""
        self._allocations.stop_members(step)

    def _account_of(self, job: JobRun) -> Account[Demand] | None:
        if self.configuration is None:
            return None
        return self.configuration.find_account(job.account)

    def _is_beyond_rate(self, job: JobRun) -> bool:
        account = self._account_of(job)
        if account is None:
            return False
        return not self._rates.take(account.name, account.weight, job.submission.accepted_at)

    def _cancel(self, job: JobRun) -> None:
        job.cancelled = True
        job.dirty = True
        self._allocations.dirty.add(job.id)
        self._allocations.stop_job(job.id)

    def _take_crashes(self, crashes: list[Crash]) -> None:
        self.crashed_runs += len(crashes)
        for crash in crashes:
            if crash.given_up:
                self._allocations.stop_job(crash.task.job)
