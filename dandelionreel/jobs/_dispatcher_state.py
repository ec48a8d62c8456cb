"""What the parts of the zone's dispatcher share while it is in office."""

from dandelionreel.jobs._job_projection import JobChanges
from dandelionreel.jobs._tracked_attempts import AttemptTracker, TrackedTask
from dandelionreel.kernel import Settings, Signal
from dandelionreel.ownership import DISPATCH_SHARD, Authority
from dandelionreel.placement import Cell, FairQueue, Planner, RunTimes, Terms, WorkerView

#: Slack beyond a lease before its task counts as ended, in seconds.
LAPSE_MARGIN_SECONDS = 2.0


class DispatcherState:
    """The picture of the zone: queue, cell, attempts that may run.

    All of it is rebuilt from the log and from the workers' reports when this
    daemon takes the dispatch shard over, and dropped when it loses it.
    """

    def __init__(
        self,
        settings: Settings,
        authority: Authority,
        changes: JobChanges,
    ) -> None:
        """Start out of office."""
        self._settings = settings
        self._authority = authority
        self._terms: dict[str, Terms] = {}
        self.changes = changes
        self.wake = Signal()
        self.run_times = RunTimes()
        self.epoch = 0
        self.took_over_at = 0.0
        self.clear()

    def clear(self) -> None:
        """Forget the picture; learned run times stay."""
        self.epoch = 0
        self.tracker = AttemptTracker()
        #: The ownership epoch under which each worker was last reported.
        self.reported_epochs: dict[str, int] = {}
        self.not_before: dict[str, float] = {}
        self.avoided_workers: dict[str, tuple[float, frozenset[str]]] = {}
        self.deferred: set[str] = set()
        self.planner = Planner(Cell(), FairQueue(self.terms), self.run_times)

    def terms(self, customer: str) -> Terms:
        """Return a customer's terms as of this round."""
        return self._terms.get(customer, Terms())

    def replace_terms(self, terms_by_customer: dict[str, Terms]) -> None:
        """Replace all customers' terms."""
        self._terms = terms_by_customer

    def worker(self, name: str) -> WorkerView | None:
        """Return a worker of the cell."""
        return self.planner.cell.worker_by_name.get(name)

    def release(self, task: TrackedTask) -> None:
        """Stop counting a task in the cell."""
        worker = self.worker(task.worker)
        if worker is not None:
            self.planner.cell.release(worker, task.task_id)

    def may_act(self, epoch: int) -> bool:
        """Return whether this daemon is still the dispatcher of that epoch."""
        return self.epoch == epoch and self._authority.may_dispatch(DISPATCH_SHARD)

    @property
    def lapse_seconds(self) -> float:
        """Return after how long without renewal a task has surely ended."""
        timings = self._settings.timings
        return timings.lease * (1 + timings.clock_drift) + LAPSE_MARGIN_SECONDS

    @property
    def max_order_seconds(self) -> float:
        """Return how long an order to a worker's owner may stay under way."""
        timings = self._settings.timings
        allowed = timings.start_deadline + timings.heartbeat * 2
        return (allowed + self._authority.flight) * (1 + timings.clock_drift)
