"""What the parts of the zone's dispatcher share while it is in office."""

from dandelionreel.jobs._book import JobChanges
from dandelionreel.jobs._tracks import TaskTrack, Tracks
from dandelionreel.kernel import Settings, Signal
from dandelionreel.ownership import DISPATCH_SHARD, Authority
from dandelionreel.placement import (
    Cell,
    CustomerTerms,
    FairQueue,
    Planner,
    RunTimeEstimator,
    WorkerView,
)

#: Slack beyond a lease before its task counts as ended, in seconds.
LAPSE_MARGIN = 2.0


class Desk:
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
        self._terms: dict[str, CustomerTerms] = {}
        self.changes = changes
        self.wake = Signal()
        self.times = RunTimeEstimator()
        self.epoch = 0
        self.took_over_at = 0.0
        self.clear()

    def clear(self) -> None:
        """Forget the picture; learned run times stay."""
        self.epoch = 0
        self.tracks = Tracks()
        #: The ownership epoch under which each worker was last reported.
        self.reported: dict[str, int] = {}
        self.not_before: dict[str, float] = {}
        self.avoid: dict[str, tuple[float, frozenset[str]]] = {}
        self.shelved: set[str] = set()
        self.planner = Planner(Cell(), FairQueue(self.terms), self.times)

    def terms(self, customer: str) -> CustomerTerms:
        """Return a customer's terms as of this round."""
        return self._terms.get(customer, CustomerTerms())

    def replace_terms(self, terms_by_customer: dict[str, CustomerTerms]) -> None:
        """Replace all customers' terms."""
        self._terms = terms_by_customer

    def worker(self, name: str) -> WorkerView | None:
        """Return a worker of the cell."""
        return self.planner.cell.worker_by_name.get(name)

    def release(self, task: TaskTrack) -> None:
        """Stop counting a task in the cell."""
        worker = self.worker(task.worker)
        if worker is not None:
            self.planner.cell.remove_task(worker, task.task_id)

    def may_act(self, epoch: int) -> bool:
        """Return whether this daemon is still the dispatcher of that epoch."""
        return self.epoch == epoch and self._authority.may_dispatch(DISPATCH_SHARD)

    @property
    def lapse_seconds(self) -> float:
        """Return after how long without renewal a task has surely ended."""
        timings = self._settings.timings
        return timings.lease * (1 + timings.clock_drift) + LAPSE_MARGIN

    @property
    def order_seconds(self) -> float:
        """Return how long an order to a worker's owner may stay under way."""
        timings = self._settings.timings
        allowed = timings.start_deadline + timings.heartbeat * 2
        return (allowed + self._authority.flight) * (1 + timings.clock_drift)
