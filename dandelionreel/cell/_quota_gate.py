"""How many tasks of a step its account's quota lets start, plan by plan. No I/O.

Load pattern: an account has single tasks and a gang waiting, and its quota is used up. Each
task that ends lets a single one start; the gang needs the room of many at once and would
wait for as long as there are single ones.
"""

from collections.abc import Iterable

from dandelionreel.cell._cell import Cell
from dandelionreel.cell._model import Demand, StepName
from dandelionreel.cell._runs import JobRun, count_fitting, counted_demand
from dandelionreel.cell._waiting import Candidate

#: Seconds for which a gang waits for its account's quota before nothing else of that account
#: starts, however urgent.
LONGEST_HELD = 3.0
#: What keeps a job from starting, in words for the log.
QUOTA = "its account's quota"


class QuotaGate:
    """Holds steps back whose account has no quota left for them."""

    def __init__(self, cell: Cell) -> None:
        """Decide by the quotas of that cell."""
        self._cell = cell
        self._now = 0.0
        self._held_since_by_gang: dict[StepName, float] = {}
        #: The gang for which all else of an account waits.
        self._first_by_account: dict[str, StepName] = {}
        #: What gangs of an account need that have not started in this plan.
        self._claimed_by_account: dict[str, Demand] = {}
        #: Jobs that are held back since this plan.
        self.fresh: list[JobRun] = []

    def begin(self, candidates: Iterable[Candidate], now: float, wall: float) -> None:
        """Begin a plan over these candidates."""
        self._now = now
        self._cell.quotas.refresh(now, wall)
        self._claimed_by_account.clear()
        self.fresh = []
        waiting = {one.step.name for one in candidates if one.step.name in self._held_since_by_gang}
        self._held_since_by_gang = {
            name: since for name, since in self._held_since_by_gang.items() if name in waiting
        }
        self._first_by_account = self._find_first()

    def count_allowed(self, candidate: Candidate) -> int:
        """Return how many waiting tasks may start; of a gang all or none."""
        job, step = candidate.job, candidate.step
        quota = self._cell.quota_of(job)
        if quota is None:
            return step.waiting
        count = self._count(candidate, quota)
        if step.step.gang and count < len(step.tasks):
            count = 0
            if step.step.smallest_start.fits(quota):
                self._held_since_by_gang.setdefault(step.name, self._now)
        if not count and job.held_by != QUOTA:
            job.held_by = QUOTA
            self.fresh.append(job)
        return count

    def claim(self, candidate: Candidate) -> None:
        """Keep the quota of a gang that waits from what is less urgent."""
        job, step = candidate.job, candidate.step
        quota = self._cell.quota_of(job)
        if quota is None or not step.step.smallest_start.fits(quota):
            return
        if not self._may_go_first(job, step.name):
            return
        claimed = self._claimed_by_account.get(job.account, Demand())
        self._claimed_by_account[job.account] = claimed + step.step.smallest_start

    def _count(self, candidate: Candidate, quota: Demand) -> int:
        job, step = candidate.job, candidate.step
        if not self._may_go_first(job, step.name):
            return 0
        claimed = self._claimed_by_account.get(job.account, Demand())
        room = quota - self._cell.quotas.used(job.account) - claimed
        return count_fitting(counted_demand(step), room, step.waiting)

    def _may_go_first(self, job: JobRun, name: StepName) -> bool:
        """Return whether no gang of the account waits for so long that all else has to."""
        return self._first_by_account.get(job.account, name) == name

    def _find_first(self) -> dict[str, StepName]:
        """Return the gang of each account that has been held back for too long."""
        first: dict[str, StepName] = {}
        held = sorted(self._held_since_by_gang.items(), key=_since)
        for name, since in held:
            if self._now - since < LONGEST_HELD:
                break
            job = self._cell.job_by_id.get(name.job)
            if job is not None and self._may_ever_fit(job, name):
                first.setdefault(job.account, name)
        return first

    def _may_ever_fit(self, job: JobRun, name: StepName) -> bool:
        """Return whether a gang is still within its account's quota by itself."""
        step, quota = job.find_step(name), self._cell.quota_of(job)
        return step is not None and quota is not None and step.step.smallest_start.fits(quota)


def _since(entry: tuple[StepName, float]) -> float:
    return entry[1]
