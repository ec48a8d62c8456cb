"""Limits in each plan how many tasks of a step may start under its account's quota. No I/O.

Load pattern: an account has single tasks and a gang waiting, and its quota is used up. Each
task that ends lets a single task start; the gang needs the quota of many tasks at once and would
starve for as long as single tasks wait.
"""

from collections.abc import Iterable
from dataclasses import dataclass

from dandelionreel.cell.decisions._account_shares import QuotaBesideGangs
from dandelionreel.cell.decisions._cell import Cell
from dandelionreel.cell.decisions._job_run import JobRun
from dandelionreel.cell.decisions._objectives import count_fitting
from dandelionreel.cell.decisions._runner_state import Allocation, AllocationPhase
from dandelionreel.cell.decisions._step_run import counted_demand
from dandelionreel.cell.decisions._waiting_steps import Candidate
from dandelionreel.cell.model import Demand, StepName

#: Seconds for which a gang waits for its account's quota before all other tasks of that account,
#: however urgent, wait for it.
MAX_QUOTA_WAIT_SECONDS = 20.0
#: Seconds for which quota is kept for a gang that finds no slots on the runners; a gang may never
#: find any.
MAX_CLAIM_SECONDS = 5.0
#: A run that has taken this many seconds longer than expected may never end, so no gang keeps the
#: account waiting for it.
MAX_OVERDUE_SECONDS = 60.0
#: Seconds between counts of such runs, and of long-running tasks.
LASTING_REFRESH_SECONDS = 1.0
#: The reason for a blocked job in the log; readers of the log match it.
HELD_BY_QUOTA = "its account's quota"


@dataclass
class _GangWait:
    """Since when a gang has waited for quota, and for slots once it had the quota."""

    max_wait: float = MAX_QUOTA_WAIT_SECONDS
    blocked_since: float | None = None
    granted_since: float | None = None

    def record_quota_shortage(self, now: float) -> None:
        """Note that the quota does not suffice for the gang."""
        self.granted_since = None
        if self.blocked_since is None:
            self.blocked_since = now

    def record_sufficient_quota(self, now: float) -> None:
        """Note that the quota suffices; a gang that does not use it waits longer next time."""
        if self.granted_since is None:
            self.granted_since = now
        if self.blocked_since is not None and not self.may_claim_quota(now):
            self.blocked_since = None
            self.max_wait *= 2

    def may_claim_quota(self, now: float) -> bool:
        """Return whether quota may be kept for the gang."""
        return self.granted_since is None or now - self.granted_since < MAX_CLAIM_SECONDS

    @property
    def starved_since(self) -> float:
        """Return since when a starved gang has kept the other tasks of its account waiting."""
        return float('inf') if self.blocked_since is None else self.blocked_since + self.max_wait

    def is_starved(self, now: float) -> bool:
        """Return whether the other tasks of the account have to wait for the gang."""
        return now >= self.starved_since


class QuotaGate:
    """Blocks the steps whose account has no quota left for them."""

    def __init__(self, cell: Cell, beside_gangs: QuotaBesideGangs | None = None) -> None:
        """Apply the quotas of ``cell``; with ``beside_gangs`` also while a gang is starved."""
        self._cell = cell
        self._beside_gangs = beside_gangs
        self._now = 0.0
        self._wait_by_gang: dict[StepName, _GangWait] = {}
        #: The starved gang of each account; its other tasks leave it the quota that it needs.
        self._starved_gang_by_account: dict[str, StepName] = {}
        #: Accounts whose quota does not suffice for their starved gang; only that gang may start.
        self._draining_accounts: set[str] = set()
        #: Gangs that the previous plan has examined. Those of a service without usable runners
        #: are not examined, and nothing else waits for them.
        self._examined_gangs: set[StepName] = set()
        #: Demand of each account's runs whose end cannot be awaited, and when it was counted.
        self._lasting_by_account: dict[str, Demand] = {}
        self._lasting_at = float('-inf')
        #: When the next run counts as overdue.
        self._next_overdue_at = float('inf')
        #: Demand of an account's gangs that have not started in this plan.
        self._claimed_by_account: dict[str, Demand] = {}
        #: Jobs that this plan has begun to block.
        self.newly_blocked: list[JobRun] = []

    def begin_plan(self, candidates: Iterable[Candidate], now: float, unix_time: float) -> None:
        """Begin a plan; gangs that are no longer candidates are forgotten."""
        self._now = now
        self._cell.quotas.refresh_unseen_usage(now, unix_time)
        self._claimed_by_account.clear()
        self._draining_accounts.clear()
        self.newly_blocked = []
        examined = self._examined_gangs
        self._examined_gangs = set()
        self._wait_by_gang = {
            one.step.name: self._wait_by_gang[one.step.name]
            for one in candidates
            if one.step.name in self._wait_by_gang and one.step.name in examined
        }
        self._starved_gang_by_account = {
            account: gang
            for account, gang in self._find_starved_gangs().items()
            if self._claim_for_starved_gang(account, gang)
        }
        if self._beside_gangs is not None:
            since_by_gang = {
                name: self._wait_by_gang[name].starved_since
                for account, name in self._starved_gang_by_account.items()
                if account in self._draining_accounts
            }
            self._beside_gangs.begin_plan(since_by_gang, now)

    def count_allowed_tasks(self, candidate: Candidate) -> int:
        """Return how many waiting tasks of a step may start; all or none for a gang."""
        job, step = candidate.job, candidate.step
        quota = self._cell.quota_of(job)
        if quota is None:
            return step.waiting
        count = self._count_startable_tasks(candidate, quota)
        if step.step.gang:
            count = self._count_startable_members(candidate, quota, count)
        if not count and job.hold_reason != HELD_BY_QUOTA:
            job.hold_reason = HELD_BY_QUOTA
            self.newly_blocked.append(job)
        return count

    def claim_quota(self, candidate: Candidate) -> None:
        """Keep quota for a waiting gang, so that later candidates cannot use it."""
        job, step = candidate.job, candidate.step
        wait = self._wait_by_gang.get(step.name)
        if wait is None or not wait.may_claim_quota(self._now):
            return
        if self._starved_gang_by_account.get(job.account) == step.name:
            return
        if job.account in self._draining_accounts:
            return
        claimed = self._claimed_by_account.get(job.account)
        if claimed is not None and wait.granted_since is None:
            # One gang of an account at a time waits for quota: the claims of several would block
            # the account's other tasks for longer than any of the gangs needs.
            return
        claimed = claimed or Demand()
        self._claimed_by_account[job.account] = claimed + step.step.smallest_start

    def _claim_for_starved_gang(self, account: str, gang: StepName) -> bool:
        """Keep quota for a starved gang; the other tasks of its account use what is left of it.

        If the quota does not suffice for the gang now, none of the other tasks may start. Returns
        false if it can never suffice: then nothing is kept.
        """
        job = self._cell.job_by_id[gang.job]
        step = job.find_step(gang)
        quota = self._cell.quota_of(job)
        if step is None or quota is None:
            return False
        needed = step.step.smallest_start
        if not needed.fits(quota - self._lasting_demand(account)):
            return False
        if needed.fits(quota - self._cell.quotas.used(account)):
            self._claimed_by_account[account] = needed
        else:
            self._draining_accounts.add(account)
        return True

    def _count_startable_tasks(self, candidate: Candidate, quota: Demand) -> int:
        job, step = candidate.job, candidate.step
        is_starved = self._starved_gang_by_account.get(job.account) == step.name
        if job.account in self._draining_accounts and not is_starved:
            return self._count_tasks_beside_gang(candidate)
        claimed = self._claimed_by_account.get(job.account, Demand())
        if is_starved and job.account not in self._draining_accounts:
            claimed -= step.step.smallest_start
        available = quota - self._cell.quotas.used(job.account) - claimed
        return count_fitting(counted_demand(step), available, step.waiting)

    def _count_tasks_beside_gang(self, candidate: Candidate) -> int:
        """Return how many single tasks may start while their account waits for a gang."""
        step, account = candidate.step, candidate.job.account
        if self._beside_gangs is None or step.step.gang:
            return 0
        available = self._beside_gangs.available(account, self._lasting_demand(account))
        return count_fitting(counted_demand(step), available, step.waiting)

    def _count_startable_members(self, candidate: Candidate, quota: Demand, count: int) -> int:
        """Return how many members of a gang may start, and note since when it waits."""
        step = candidate.step
        self._examined_gangs.add(step.name)
        if count < len(step.tasks):
            quota -= self._lasting_demand(candidate.job.account)
        if not step.step.smallest_start.fits(quota):
            # The gang exceeds the whole quota, or what lasting runs leave of it, and cannot start:
            # nothing else waits for it.
            self._wait_by_gang.pop(step.name, None)
            return 0
        wait = self._wait_by_gang.setdefault(step.name, _GangWait())
        if count < len(step.tasks):
            wait.record_quota_shortage(self._now)
            return 0
        wait.record_sufficient_quota(self._now)
        return count

    def _lasting_demand(self, account: str) -> Demand:
        """Return the demand of an account's runs whose end cannot be awaited."""
        if self._now >= min(self._next_overdue_at, self._lasting_at + LASTING_REFRESH_SECONDS):
            self._lasting_at = self._now
            self._next_overdue_at = float('inf')
            self._lasting_by_account = {}
            for runner in self._cell.runner_by_id.values():
                self._count_lasting(runner.allocation_by_run.values())
        return self._lasting_by_account.get(account, Demand())

    def _count_lasting(self, allocations: Iterable[Allocation]) -> None:
        for held in allocations:
            step = self._cell.step_of(held)
            if step is None or not held.account or held.phase is AllocationPhase.STOPPING:
                continue
            overdue_at = held.placed_at + held.expected + MAX_OVERDUE_SECONDS
            if not step.step.long_running and overdue_at > self._now:
                self._next_overdue_at = min(self._next_overdue_at, overdue_at)
                continue
            counted = self._lasting_by_account.get(held.account, Demand())
            self._lasting_by_account[held.account] = counted + held.demand

    def _find_starved_gangs(self) -> dict[str, StepName]:
        """Return the starved gang of each account that has been blocked for the longest time."""
        gang_by_account: dict[str, StepName] = {}
        for name, wait in sorted(self._wait_by_gang.items(), key=_blocked_since):
            job = self._cell.job_by_id.get(name.job)
            if job is not None and wait.is_starved(self._now):
                gang_by_account.setdefault(job.account, name)
        return gang_by_account


def _blocked_since(entry: tuple[StepName, _GangWait]) -> float:
    blocked_since = entry[1].blocked_since
    return float('inf') if blocked_since is None else blocked_since
