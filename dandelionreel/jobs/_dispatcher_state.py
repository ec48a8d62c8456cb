"""State that the components of a zone's dispatcher share."""

from dandelionreel.jobs._job_projection import JobChanges
from dandelionreel.jobs._tracked_attempts import AttemptTracker, TrackedTask
from dandelionreel.kernel import ChangeNotifier, Settings
from dandelionreel.ownership import DISPATCH_SHARD, Authority
from dandelionreel.placement import (
    Cell,
    CustomerTerms,
    FairQueue,
    Planner,
    RunTimeEstimator,
    WorkerView,
)

#: Margin after a lease's expiry before its task counts as ended.
LAPSE_MARGIN_SECONDS = 2.0


class DispatcherState:
    """The dispatcher's view of its zone: queue, workers and attempts that may run.

    It is rebuilt from the log and from worker reports when this daemon takes
    the dispatch shard over, and cleared when it loses the shard.
    """

    def __init__(
        self,
        settings: Settings,
        authority: Authority,
        changes: JobChanges,
    ) -> None:
        """Start inactive, with dispatch epoch 0."""
        self._settings = settings
        self._authority = authority
        self._terms: dict[str, CustomerTerms] = {}
        self.changes = changes
        self.wake = ChangeNotifier()
        self.run_times = RunTimeEstimator()
        self.epoch = 0
        self.took_over_at = 0.0
        self.clear()

    def clear(self) -> None:
        """Clear the state, except for the learned run times."""
        self.epoch = 0
        self.tracker = AttemptTracker()
        #: The ownership epoch of each worker's last report.
        self.reported_epochs: dict[str, int] = {}
        #: Per job, the earliest time of its next attempt, in Unix time.
        self.not_before: dict[str, float] = {}
        #: Per job, workers to avoid and until when, on the monotonic clock.
        self.avoided_workers: dict[str, tuple[float, frozenset[str]]] = {}
        #: Waiting jobs that can't be queued yet, such as during the delay of a retry.
        self.deferred: set[str] = set()
        self.planner = Planner(Cell(), FairQueue(self.terms), self.run_times)

    def terms(self, customer: str) -> CustomerTerms:
        """Return a customer's contract terms, updated in each round of the dispatcher."""
        return self._terms.get(customer, CustomerTerms())

    def replace_terms(self, terms_by_customer: dict[str, CustomerTerms]) -> None:
        """Replace the contract terms of all customers."""
        self._terms = terms_by_customer

    def find_worker(self, name: str) -> WorkerView | None:
        """Return a worker of the cell, or ``None`` if it is unknown."""
        return self.planner.cell.worker_by_name.get(name)

    def release(self, task: TrackedTask) -> None:
        """Release the resources of a task in the cell."""
        worker = self.find_worker(task.worker)
        if worker is not None:
            self.planner.cell.remove_task(worker, task.task_id)

    def may_act(self, epoch: int) -> bool:
        """Return whether this daemon is still the dispatcher of ``epoch``."""
        return self.epoch == epoch and self._authority.may_dispatch(DISPATCH_SHARD)

    @property
    def lapse_seconds(self) -> float:
        """Return the seconds without a lease renewal after which a task has certainly ended."""
        timings = self._settings.timings
        return timings.lease * (1 + timings.clock_drift) + LAPSE_MARGIN_SECONDS

    @property
    def max_order_seconds(self) -> float:
        """Return the longest time, in seconds, that an order to a worker may be in transit."""
        timings = self._settings.timings
        allowed = timings.start_deadline + timings.heartbeat * 2
        return (allowed + self._authority.max_start_seconds) * (1 + timings.clock_drift)
