"""Tracks how much of its quota each client account uses. No I/O.

Load pattern: an account submits many times its usual load while owners change, orders time out and
its quota is changed. Everything that may be running is counted: confirmed runs, starts that may
have been carried out, runs that are being stopped, and whatever earlier owners may have started on
runners that this owner has not seen yet.
"""

from collections import Counter

from dandelionreel.cell.decisions._allocation_table import AllocationTable
from dandelionreel.cell.decisions._job_run import ANY_RUNNER, JobRun
from dandelionreel.cell.model import Demand, Leftover, Progress

#: Seconds after the end of a job for which some of its runs may still be running: longer than the
#: leases of any owner, with allowance for clock differences.
LEFTOVER_SECONDS = 30.0
#: Seconds between recounts of what may run on unseen runners.
UNSEEN_REFRESH_SECONDS = 0.05

#: Capacity assumed for each resource of an unseen runner as long as no runner is known.
UNKNOWN_CAPACITY = 2_147_483_648

#: Job id and runner id.
_JobOnRunner = tuple[str, str]


class QuotaLedger:
    """The quota usage of each account, as one owner counts it."""

    def __init__(self, allocations: AllocationTable, unseen: set[str]) -> None:
        """Count ``allocations``, and what may run on the runners whose ids are in ``unseen``.

        Runners are unseen until they have listed their runs to this owner. The caller updates both
        collections.
        """
        self._allocations = allocations
        self._unseen = unseen
        self._leftover_by_job_and_runner: dict[_JobOnRunner, tuple[str, Demand]] = {}
        self._unseen_by_account: dict[str, Demand] = {}
        self._refreshed_at = float('-inf')
        #: Tasks that started while their account waited for a gang, in this owner's term.
        self.starts_beside_gangs_by_account: Counter[str] = Counter()

    def expect_leftovers(self, job: str, progress: Progress, unix_time: float) -> None:
        """Count the runs that a finished job may have left, as stored by an earlier owner."""
        if unix_time - progress.ended_at > LEFTOVER_SECONDS:
            return
        for leftover in progress.leftovers:
            self._leftover_by_job_and_runner[job, leftover.runner] = (
                progress.account,
                leftover.demand,
            )

    def leftovers_of(self, job: JobRun, unix_time: float) -> tuple[Leftover, ...]:
        """Return the demand of the runs that a job still has, or may have, by runner."""
        demand_by_runner: dict[str, Demand] = {}
        for held in self._allocations.allocations_of_job(job.id):
            before = demand_by_runner.get(held.runner, Demand())
            demand_by_runner[held.runner] = before + held.demand
        remaining = job.remaining_demand(unix_time)
        for runner in self._unseen_runners(job):
            demand_by_runner[runner] = remaining.at_most(self._total_capacity({runner}))
        return tuple(Leftover(*entry) for entry in sorted(demand_by_runner.items()))

    def keep_leftovers(self, job: JobRun, unix_time: float) -> None:
        """Keep counting what a finished job may have left on unseen runners."""
        if not self._unseen:
            return
        for leftover in self.leftovers_of(job, unix_time):
            if leftover.runner in self._unseen:
                self._leftover_by_job_and_runner[job.id, leftover.runner] = (
                    job.account,
                    leftover.demand,
                )

    def used(self, account: str) -> Demand:
        """Return the demand of all that runs, or may run, for an account."""
        return self._allocations.usage.amounts_of(account) + self._unseen_by_account.get(
            account, Demand()
        )

    def remaining(self, account: str, quota: Demand | None) -> Demand | None:
        """Return how much more an account may start, ``None`` for no limit.

        Negative after the quota was lowered below the usage, as no run is stopped for that.
        """
        return None if quota is None else quota - self.used(account)

    def refresh_unseen_usage(self, now: float, unix_time: float) -> None:
        """Recount what may run on unseen runners, if that is due."""
        if now < self._refreshed_at + UNSEEN_REFRESH_SECONDS:
            return
        self._refreshed_at = now
        self._unseen_by_account = {}
        if self._unseen:
            self._count_unseen(unix_time)
        for key, (account, demand) in tuple(self._leftover_by_job_and_runner.items()):
            if self._may_still_run(*key):
                self._add_unseen_usage(account, demand)
            else:
                self._leftover_by_job_and_runner.pop(key)

    def _count_unseen(self, unix_time: float) -> None:
        """Count the waiting tasks of jobs that may run on unseen runners, up to their capacity."""
        runners_by_account: dict[str, set[str]] = {}
        for job in self._allocations.unfinished_job_by_id.values():
            runners = self._unseen_runners(job)
            if not job.account or not runners or job.is_finished:
                continue
            runners_by_account.setdefault(job.account, set()).update(runners)
            capacity = self._total_capacity(runners)
            self._add_unseen_usage(job.account, job.remaining_demand(unix_time).at_most(capacity))
        for account, runners in runners_by_account.items():
            counted = self._unseen_by_account[account]
            self._unseen_by_account[account] = counted.at_most(self._total_capacity(runners))

    def _unseen_runners(self, job: JobRun) -> set[str]:
        """Return the unseen runners on which a job may have runs."""
        return self._unseen if ANY_RUNNER in job.runners else self._unseen & job.runners

    def _total_capacity(self, runners: set[str]) -> Demand:
        """Return the total capacity of runners; an unknown one counts as the largest known."""
        total = Demand()
        for runner in runners:
            state = self._allocations.runner_by_id.get(runner)
            total += (
                self._largest_runner_capacity() if state is None else state.registration.capacity
            )
        return total

    def _largest_runner_capacity(self) -> Demand:
        capacities = [
            state.registration.capacity for state in self._allocations.runner_by_id.values()
        ]
        return Demand(
            max((capacity.cpu for capacity in capacities), default=UNKNOWN_CAPACITY),
            max((capacity.memory_mb for capacity in capacities), default=UNKNOWN_CAPACITY),
            max((capacity.gpu for capacity in capacities), default=UNKNOWN_CAPACITY),
        )

    def _add_unseen_usage(self, account: str, demand: Demand) -> None:
        counted = self._unseen_by_account.get(account, Demand())
        self._unseen_by_account[account] = counted + demand

    def _may_still_run(self, job: str, runner: str) -> bool:
        """Return whether a runner may still have runs of a finished job."""
        if runner in self._unseen:
            return True
        state = self._allocations.runner_by_id.get(runner)
        return state is not None and any(task.job == job for task, _ in state.allocation_by_run)
