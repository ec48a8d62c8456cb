"""Shares an account's quota between a gang that waits for it and the account's other tasks. No I/O.

Load pattern: demand exceeds an account's quota for seconds, and one of its gangs has waited so long
that all other tasks of the account wait for it. The quota beyond what the gang needs was unused
until the gang started, and the account's urgent jobs became late.
"""

from collections import Counter
from collections.abc import Iterable
from dataclasses import dataclass

from dandelionreel.cell.decisions._cell import Cell
from dandelionreel.cell.decisions._runner_state import Allocation
from dandelionreel.cell.model import Demand, StepName

#: Seconds between counts of what has started since an account waits for a gang. In between, starts
#: are added and ends are not subtracted, which never delays the gang.
RECOUNT_SECONDS = 0.1


@dataclass(frozen=True)
class StarvedGang:
    """A gang for which the other tasks of its account wait, and the inputs that decided."""

    account: str
    step: StepName
    starved_since: float
    quota: Demand
    used: Demand
    needed: Demand


class QuotaBesideGangs:
    """The quota that tasks may use without delaying the gang for which their account waits."""

    def __init__(self, cell: Cell) -> None:
        """Share the quotas of ``cell``."""
        self._cell = cell
        self._gang_by_account: dict[str, StarvedGang] = {}
        #: Upper limit of each account's usage in this plan, computed when needed.
        self._limit_by_account: dict[str, Demand] = {}
        #: What has started since each account waits for its gang, and when it was counted.
        self._started_by_account: dict[str, Demand] = {}
        self._counted_at = float('-inf')
        #: Gangs for which their account has begun to wait in this plan.
        self.newly_starved: list[StarvedGang] = []

    def begin_plan(self, since_by_gang: dict[StepName, float], now: float) -> None:
        """Begin a plan; ``since_by_gang`` says since when accounts have waited for which gang."""
        if now >= self._counted_at + RECOUNT_SECONDS:
            self._counted_at = now
            self._started_by_account.clear()
        earlier = {gang.step for gang in self._gang_by_account.values()}
        self._gang_by_account = {}
        self._limit_by_account.clear()
        for name, since in since_by_gang.items():
            job = self._cell.job_by_id[name.job]
            step, quota = job.find_step(name), self._cell.quota_of(job)
            if step is None or quota is None:
                continue
            used = self._cell.quotas.used(job.account)
            self._gang_by_account[job.account] = StarvedGang(
                job.account, name, since, quota, used, step.step.smallest_start
            )
        self.newly_starved = [
            gang for gang in self._gang_by_account.values() if gang.step not in earlier
        ]
        for gang in self.newly_starved:
            self._started_by_account.pop(gang.account, None)

    def available(self, account: str, lasting: Demand) -> Demand:
        """Return how much quota other tasks of an account may use beside its starved gang.

        What has started since the gang is starved, and the ``lasting`` demand of runs whose end
        cannot be awaited, fit beside the gang together. It can therefore start once all other
        runs have ended, as if nothing had started meanwhile.
        """
        gang = self._gang_by_account.get(account)
        if gang is None:
            return Demand()
        limit = self._limit_by_account.get(account)
        if limit is None:
            limit = gang.quota - gang.needed - lasting - self._started_since(gang) + gang.used
            limit = limit.at_most(gang.quota)
            self._limit_by_account[account] = limit
        return limit - self._cell.quotas.used(account)

    def count_starts(self, starts: Iterable[Allocation]) -> None:
        """Count the starts of a plan that were made beside starved gangs."""
        beside = [
            start
            for start in starts
            if start.account in self._gang_by_account
            and not _is_member(start, self._gang_by_account[start.account])
        ]
        for start in beside:
            started = self._started_by_account.get(start.account)
            if started is not None:
                self._started_by_account[start.account] = started + start.demand
        accounts = Counter(start.account for start in beside)
        self._cell.quotas.starts_beside_gangs_by_account.update(accounts)

    def _started_since(self, gang: StarvedGang) -> Demand:
        started = self._started_by_account.get(gang.account)
        if started is None:
            started = self._count_started_since(gang)
            self._started_by_account[gang.account] = started
        return started

    def _count_started_since(self, gang: StarvedGang) -> Demand:
        started = Demand()
        for job in self._cell.unfinished_job_by_id.values():
            if job.account != gang.account:
                continue
            for held in self._cell.allocations_of_job(job.id):
                if held.placed_at >= gang.starved_since:
                    started += held.demand
        return started


def _is_member(start: Allocation, gang: StarvedGang) -> bool:
    task, step = start.task, gang.step
    return (task.job, task.occurrence, task.step) == (step.job, step.occurrence, step.step)
