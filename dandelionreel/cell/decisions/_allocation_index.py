"""Index of allocations by job, and the resources that they use by client account. No I/O.

With the index, the time to stop a job depends only on the number of its own runs.
"""

from dandelionreel.accounts import AccountUsage
from dandelionreel.cell.decisions._runner_state import Allocation, RunnerState
from dandelionreel.cell.model import Demand, TaskName

RunKey = tuple[str, TaskName, int]


class AllocationIndex:
    """Indexes by job exactly the allocations that runners hold."""

    def __init__(self) -> None:
        """Create an empty index."""
        self._allocations_by_job: dict[str, dict[RunKey, Allocation]] = {}
        #: Resources that the runs of each account use in total.
        self.usage: AccountUsage[Demand] = AccountUsage(Demand())

    def add_allocation(self, runner: RunnerState, allocation: Allocation) -> None:
        """Add an allocation to its runner, its job and its account."""
        runner.add_allocation(allocation)
        self.usage.add(allocation.account, allocation.demand)
        held = self._allocations_by_job.setdefault(allocation.task.job, {})
        held[_run_key(allocation)] = allocation

    def remove_allocation(self, runner: RunnerState, allocation: Allocation) -> None:
        """Remove an allocation; idempotent."""
        runner.remove_allocation(allocation)
        held = self._allocations_by_job.get(allocation.task.job)
        if held is None:
            return
        if held.pop(_run_key(allocation), None) is not None:
            self.usage.remove(allocation.account, allocation.demand)
        if not held:
            self._allocations_by_job.pop(allocation.task.job)

    def of_job(self, job_id: str) -> list[Allocation]:
        """Return the allocations of a job on all runners."""
        return list(self._allocations_by_job.get(job_id, {}).values())


def _run_key(allocation: Allocation) -> RunKey:
    return allocation.runner, allocation.task, allocation.run
