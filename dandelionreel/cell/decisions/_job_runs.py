"""What runs or may run, by job and by client account. No I/O.

A job is stopped at the cost of its own runs, whatever else runs on its runners.
"""

from dandelionreel.accounts import Usage
from dandelionreel.cell.decisions._ledger import Allocation, RunnerState
from dandelionreel.cell.model import Demand, TaskName

RunKey = tuple[str, TaskName, int]


class JobRuns:
    """Allocations by job; every one that a runner holds is here, and no other."""

    def __init__(self) -> None:
        """Start with nothing held."""
        self._allocations_by_job: dict[str, dict[RunKey, Allocation]] = {}
        #: What the runs of each account take together.
        self.usage: Usage[Demand] = Usage(Demand())

    def hold(self, runner: RunnerState, allocation: Allocation) -> None:
        """Count an allocation on its runner, for its job and for its account."""
        runner.hold(allocation)
        self.usage.add(allocation.account, allocation.demand)
        held = self._allocations_by_job.setdefault(allocation.task.job, {})
        held[_key(allocation)] = allocation

    def free(self, runner: RunnerState, allocation: Allocation) -> None:
        """Stop counting an allocation; more than once does no harm."""
        runner.free(allocation)
        held = self._allocations_by_job.get(allocation.task.job)
        if held is None:
            return
        if held.pop(_key(allocation), None) is not None:
            self.usage.remove(allocation.account, allocation.demand)
        if not held:
            self._allocations_by_job.pop(allocation.task.job)

    def of_job(self, job_id: str) -> list[Allocation]:
        """Return all that is held for a job, on whichever runner."""
        return list(self._allocations_by_job.get(job_id, {}).values())


def _key(allocation: Allocation) -> RunKey:
    return allocation.runner, allocation.task, allocation.run
