"""The queue of waiting jobs, ordered fairly between customers.

Between customers: weighted dominant resource fairness, with customers below
their guaranteed quota first. Within a customer: priority, then age.
A job that is close to the longest wait of its contract goes before all others
except urgent ones.
"""

import heapq
from collections.abc import Callable, Collection
from dataclasses import dataclass

from dandelionreel.accounts import weighted_share, within_quota
from dandelionreel.backing import NO_RESOURCES, Resources
from dandelionreel.placement._work import URGENT, Shape, Work

#: A job is nearly due, and goes first, after this fraction of its longest allowed wait.
NEARLY_DUE_FRACTION = 0.8
#: Maximum number of nearly due jobs of one customer per planning round.
MAX_NEARLY_DUE = 8

#: Negated priority, time of acceptance (of urgent jobs: due time) and job id.
HeapEntry = tuple[float, float, str]


@dataclass(frozen=True, slots=True)
class CustomerTerms:
    """A customer's weight, and its quota and guaranteed resources in this zone."""

    weight: float = 1
    quota: Resources | None = None
    guaranteed: Resources = NO_RESOURCES


class _CustomerQueue:
    """One customer's waiting jobs, in one heap for each shape of demand.

    Whether a job fits depends on its shape alone, so all jobs of a shape that
    does not fit are skipped at once. That saves time if the queue is long and
    the cell is full. Removed jobs stay in the heaps until they reach the top.
    """

    def __init__(self) -> None:
        self.work_by_id: dict[str, Work] = {}
        self._heap_by_shape: dict[Shape, list[HeapEntry]] = {}
        self._urgent_by_shape: dict[Shape, list[HeapEntry]] = {}
        self._due_heap: list[tuple[float, str]] = []

    def add(self, work: Work) -> None:
        self.work_by_id[work.id] = work
        if work.task_class == URGENT:
            heap = self._urgent_by_shape.setdefault(work.shape, [])
            heapq.heappush(heap, (-work.priority, work.due_at, work.id))
            return
        heap = self._heap_by_shape.setdefault(work.shape, [])
        heapq.heappush(heap, (-work.priority, work.accepted_at, work.id))
        nearly_due_at = work.accepted_at + work.longest_wait * NEARLY_DUE_FRACTION
        heapq.heappush(self._due_heap, (nearly_due_at, work.id))

    def remove(self, job: str) -> Work | None:
        return self.work_by_id.pop(job, None)

    def list_first_jobs(self, skipped_shapes: Collection[Shape]) -> list[Work]:
        """Return the first job of each shape, ordered by priority and age."""
        return self._first_job_of_each_shape(self._heap_by_shape, skipped_shapes)

    def list_first_urgent_jobs(self, skipped_shapes: Collection[Shape]) -> list[Work]:
        """Return the first urgent job of each shape, ordered by priority and due time."""
        return self._first_job_of_each_shape(self._urgent_by_shape, skipped_shapes)

    def list_nearly_due_jobs(self, now: float) -> list[Work]:
        """Return up to ``MAX_NEARLY_DUE`` jobs that are close to their longest wait."""
        found: list[Work] = []
        taken = []
        while self._due_heap and self._due_heap[0][0] <= now and len(found) < MAX_NEARLY_DUE:
            entry = heapq.heappop(self._due_heap)
            work = self.work_by_id.get(entry[-1])
            if work is not None:
                taken.append(entry)
                found.append(work)
        for entry in taken:
            heapq.heappush(self._due_heap, entry)
        return found

    def _first_job_of_each_shape(
        self,
        heap_by_shape: dict[Shape, list[HeapEntry]],
        skipped_shapes: Collection[Shape],
    ) -> list[Work]:
        entries = []
        empty_shapes = []
        for shape, heap in heap_by_shape.items():
            if shape in skipped_shapes:
                continue
            while heap and heap[0][-1] not in self.work_by_id:
                heapq.heappop(heap)
            if heap:
                entries.append(heap[0])
            else:
                empty_shapes.append(shape)
        for shape in empty_shapes:
            heap_by_shape.pop(shape)
        entries.sort()
        return [self.work_by_id[entry[-1]] for entry in entries]


class FairQueue:
    """All waiting jobs of a zone."""

    def __init__(self, get_terms: Callable[[str], CustomerTerms]) -> None:
        """Look up each customer's terms with ``get_terms``."""
        self._get_terms = get_terms
        self._queue_by_customer: dict[str, _CustomerQueue] = {}
        self._customer_by_job: dict[str, str] = {}

    def __len__(self) -> int:
        """Return the number of waiting jobs."""
        return len(self._customer_by_job)

    def __contains__(self, job: str) -> bool:
        """Return whether the job is in the queue."""
        return job in self._customer_by_job

    def add(self, work: Work) -> None:
        """Add a job; one that is already in the queue stays unchanged."""
        if work.id in self._customer_by_job:
            return
        customer_queue = self._queue_by_customer.get(work.customer)
        if customer_queue is None:
            customer_queue = _CustomerQueue()
            self._queue_by_customer[work.customer] = customer_queue
        customer_queue.add(work)
        self._customer_by_job[work.id] = work.customer

    def remove(self, job: str) -> Work | None:
        """Remove a job; return ``None`` when it is not in the queue."""
        customer = self._customer_by_job.pop(job, None)
        if customer is None:
            return None
        return self._queue_by_customer[customer].remove(job)

    def count_waiting(self, customer: str) -> int:
        """Return the number of waiting jobs of a customer."""
        customer_queue = self._queue_by_customer.get(customer)
        return len(customer_queue.work_by_id) if customer_queue else 0

    def clear(self) -> None:
        """Remove all jobs."""
        self._queue_by_customer.clear()
        self._customer_by_job.clear()

    def list_urgent_jobs(self, skipped_shapes: Collection[Shape] = ()) -> list[Work]:
        """Return urgent jobs, one of each shape and customer, the earliest due first."""
        heads = []
        for customer_queue in self._queue_by_customer.values():
            heads.extend(customer_queue.list_first_urgent_jobs(skipped_shapes))
        heads.sort(key=_job_due_at)
        return heads

    def list_nearly_due_jobs(self, now: float) -> list[Work]:
        """Return jobs that are close to their longest wait, the earliest due first."""
        heads = []
        for customer_queue in self._queue_by_customer.values():
            heads.extend(customer_queue.list_nearly_due_jobs(now))
        heads.sort(key=_job_due_at)
        return heads

    def first_jobs_of_customer(
        self, customer: str, skipped_shapes: Collection[Shape] = ()
    ) -> list[Work]:
        """Return the customer's first job of each shape, by priority and age."""
        return self._queue_by_customer[customer].list_first_jobs(skipped_shapes)

    def customers(self) -> tuple[str, ...]:
        """Return the customers with waiting jobs."""
        return tuple(
            customer
            for customer, customer_queue in self._queue_by_customer.items()
            if customer_queue.work_by_id
        )

    def fair_share_key(
        self, customer: str, used: Resources, total: Resources
    ) -> tuple[bool, float]:
        """Return the sort key of a customer by fair share; the lowest key goes first."""
        terms = self._get_terms(customer)
        below_guarantee = terms.guaranteed != NO_RESOURCES and used.fits(terms.guaranteed)
        return (not below_guarantee, weighted_share(used, total, terms.weight))

    def fits_quota(self, work: Work, used: Resources) -> bool:
        """Return whether the job fits the customer's quota in this zone."""
        return within_quota(used, work.total_demand, self._get_terms(work.customer).quota)


def _job_due_at(work: Work) -> float:
    return work.due_at
