"""How much of its quota each client account may still start. No I/O.

Load pattern: an account sends many times its usual while owners change, orders time out and
its quota is changed. Counted is whatever may be running: runs, orders that may have been
carried out, what is being stopped, and what former owners may have started on runners that
have not been seen yet.
"""

from dandelionreel.cell.decisions._allocation_table import AllocationTable
from dandelionreel.cell.decisions._runs import ANY_RUNNER, JobRun
from dandelionreel.cell.model import Demand, Leftover, Progress

#: Seconds after the end of a job for which runs of it may be left anywhere: longer than the
#: leases of any owner, with clocks that differ.
LEFTOVER_SECONDS = 30.0
#: Seconds for which the count of what may run unseen stands.
UNSEEN_REFRESH_SECONDS = 0.05

#: Stands for what a runner has of which nothing is known.
UNKNOWN_CAPACITY = 2_147_483_648

#: A job and a runner.
_JobOnRunner = tuple[str, str]


class QuotaLedger:
    """What each account has in use, for one owner."""

    def __init__(self, allocations: AllocationTable, unseen: set[str]) -> None:
        """Count ``holdings``, and what may run on runners of ``unseen``; others keep both."""
        self._allocations = allocations
        self._unseen = unseen
        self._leftover_by_job_and_runner: dict[_JobOnRunner, tuple[str, Demand]] = {}
        self._unseen_by_account: dict[str, Demand] = {}
        self._refreshed_at = float('-inf')

    def expect_leftovers(self, job: str, progress: Progress, wall: float) -> None:
        """Take what a former owner has stored of a job that is over."""
        if wall - progress.ended_at > LEFTOVER_SECONDS:
            return
        for leftover in progress.leftovers:
            self._leftover_by_job_and_runner[job, leftover.runner] = (
                progress.account,
                leftover.demand,
            )

    def leftovers_of(self, job: JobRun, wall: float) -> tuple[Leftover, ...]:
        """Return what runs of a job may still take, by runner."""
        demand_by_runner: dict[str, Demand] = {}
        for held in self._allocations.allocations_of_job(job.id):
            before = demand_by_runner.get(held.runner, Demand())
            demand_by_runner[held.runner] = before + held.demand
        remaining = job.remaining_demand(wall)
        for runner in self._unseen_runners(job):
            demand_by_runner[runner] = remaining.at_most(self._capacity({runner}))
        return tuple(Leftover(*entry) for entry in sorted(demand_by_runner.items()))

    def keep_leftovers(self, job: JobRun, wall: float) -> None:
        """Go on counting what a job that is over may have left on runners not seen yet."""
        if not self._unseen:
            return
        for leftover in self.leftovers_of(job, wall):
            if leftover.runner in self._unseen:
                self._leftover_by_job_and_runner[job.id, leftover.runner] = (
                    job.account,
                    leftover.demand,
                )

    def used(self, account: str) -> Demand:
        """Return what runs, or may run, of an account."""
        return self._allocations.usage.of(account) + self._unseen_by_account.get(account, Demand())

    def room(self, account: str, quota: Demand | None) -> Demand | None:
        """Return how much more an account may start, ``None`` for any amount.

        It is less than nothing after a quota has been lowered: nothing is stopped for that.
        """
        return None if quota is None else quota - self.used(account)

    def refresh(self, now: float, wall: float) -> None:
        """Count anew what may run unseen, if that is due."""
        if now < self._refreshed_at + UNSEEN_REFRESH_SECONDS:
            return
        self._refreshed_at = now
        self._unseen_by_account = {}
        if self._unseen:
            self._count_unseen(wall)
        for key, (account, demand) in tuple(self._leftover_by_job_and_runner.items()):
            if self._may_still_run(*key):
                self._count(account, demand)
            else:
                self._leftover_by_job_and_runner.pop(key)

    def _count_unseen(self, wall: float) -> None:
        """Count what jobs may run unseen: what is left of them, as far as runners hold it."""
        runners_by_account: dict[str, set[str]] = {}
        for job in self._allocations.live_by_id.values():
            runners = self._unseen_runners(job)
            if not job.account or not runners or job.over:
                continue
            runners_by_account.setdefault(job.account, set()).update(runners)
            held = self._capacity(runners)
            self._count(job.account, job.remaining_demand(wall).at_most(held))
        for account, runners in runners_by_account.items():
            counted = self._unseen_by_account[account]
            self._unseen_by_account[account] = counted.at_most(self._capacity(runners))

    def _unseen_runners(self, job: JobRun) -> set[str]:
        """Return the runners not seen yet on which a job may run."""
        return self._unseen if ANY_RUNNER in job.runners else self._unseen & job.runners

    def _capacity(self, runners: set[str]) -> Demand:
        """Return what runners hold together; one that was never listed holds the most."""
        total = Demand()
        for runner in runners:
            state = self._allocations.runner_by_id.get(runner)
            total += self._largest_runner() if state is None else state.registration.capacity
        return total

    def _largest_runner(self) -> Demand:
        capacities = [
            state.registration.capacity for state in self._allocations.runner_by_id.values()
        ]
        return Demand(
            max((capacity.cpu for capacity in capacities), default=UNKNOWN_CAPACITY),
            max((capacity.memory_mb for capacity in capacities), default=UNKNOWN_CAPACITY),
            max((capacity.gpu for capacity in capacities), default=UNKNOWN_CAPACITY),
        )

    def _count(self, account: str, demand: Demand) -> None:
        counted = self._unseen_by_account.get(account, Demand())
        self._unseen_by_account[account] = counted + demand

    def _may_still_run(self, job: str, runner: str) -> bool:
        """Return whether runs of a job that is over may still be on a runner."""
        if runner in self._unseen:
            return True
        state = self._allocations.runner_by_id.get(runner)
        return state is not None and any(task.job == job for task, _ in state.allocation_by_run)
