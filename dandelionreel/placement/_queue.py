"""Jobs that wait, by customer; which customer and which job comes next.

Between customers: weighted dominant resource fairness, those below their
guarantee first. Within one: priority, then age.
A job whose longest wait is nearly over goes before all fairness.
"""

import heapq
from collections.abc import Callable, Collection
from dataclasses import dataclass

from dandelionreel.accounts import weighted_share, within_quota
from dandelionreel.backing import NOTHING, Resources
from dandelionreel.placement._work import URGENT, Shape, Work

#: A job goes first once this part of its longest wait is over.
NEARLY_DUE = 0.8
#: Late jobs of one customer that are looked at in a round.
LOOK_AHEAD = 8

#: Priority (negative), time and id.
Entry = tuple[float, float, str]


@dataclass(frozen=True, slots=True)
class CustomerTerms:
    """What a customer's contract says for this zone."""

    weight: float = 1
    quota: Resources | None = None
    guaranteed: Resources = NOTHING


class _Lane:
    """One customer's waiting jobs, in one heap for each shape of demand.

    Whether a job fits anywhere depends on its shape alone; with a long queue
    and a full cell, all jobs of a shape that does not fit are passed over at
    once. Removed jobs stay in the heaps until they come up.
    """

    def __init__(self) -> None:
        self.work_by_id: dict[str, Work] = {}
        self._heap_by_shape: dict[Shape, list[Entry]] = {}
        self._urgent_by_shape: dict[Shape, list[Entry]] = {}
        self.due: list[tuple[float, str]] = []

    def add(self, work: Work) -> None:
        self.work_by_id[work.id] = work
        if work.task_class == URGENT:
            heap = self._urgent_by_shape.setdefault(work.shape, [])
            heapq.heappush(heap, (-work.priority, work.due_at, work.id))
            return
        heap = self._heap_by_shape.setdefault(work.shape, [])
        heapq.heappush(heap, (-work.priority, work.accepted_at, work.id))
        nearly = work.accepted_at + work.longest_wait * NEARLY_DUE
        heapq.heappush(self.due, (nearly, work.id))

    def remove(self, job: str) -> Work | None:
        return self.work_by_id.pop(job, None)

    def heads(self, passed_over: Collection[Shape]) -> list[Work]:
        """Return the first job of each shape, the most important first."""
        return self._heads(self._heap_by_shape, passed_over)

    def urgent_heads(self, passed_over: Collection[Shape]) -> list[Work]:
        """Return the first urgent job of each shape, the earliest due first."""
        return self._heads(self._urgent_by_shape, passed_over)

    def late(self, now: float) -> list[Work]:
        """Return some jobs whose longest wait is nearly over."""
        found: list[Work] = []
        taken = []
        while self.due and self.due[0][0] <= now and len(found) < LOOK_AHEAD:
            entry = heapq.heappop(self.due)
            work = self.work_by_id.get(entry[-1])
            if work is not None:
                taken.append(entry)
                found.append(work)
        for entry in taken:
            heapq.heappush(self.due, entry)
        return found

    def _heads(
        self,
        heap_by_shape: dict[Shape, list[Entry]],
        passed_over: Collection[Shape],
    ) -> list[Work]:
        entries = []
        emptied = []
        for shape, heap in heap_by_shape.items():
            if shape in passed_over:
                continue
            while heap and heap[0][-1] not in self.work_by_id:
                heapq.heappop(heap)
            if heap:
                entries.append(heap[0])
            else:
                emptied.append(shape)
        for shape in emptied:
            heap_by_shape.pop(shape)
        entries.sort()
        return [self.work_by_id[entry[-1]] for entry in entries]


class FairQueue:
    """All waiting jobs of a zone."""

    def __init__(self, terms_of: Callable[[str], CustomerTerms]) -> None:
        """Ask ``terms_of`` for each customer's terms."""
        self._terms_of = terms_of
        self._lane_by_customer: dict[str, _Lane] = {}
        self._customer_by_job: dict[str, str] = {}

    def __len__(self) -> int:
        """Return how many jobs wait."""
        return len(self._customer_by_job)

    def __contains__(self, job: str) -> bool:
        """Return whether that job waits."""
        return job in self._customer_by_job

    def add(self, work: Work) -> None:
        """Let a job wait; one that waits already stays as it is."""
        if work.id in self._customer_by_job:
            return
        lane = self._lane_by_customer.get(work.customer)
        if lane is None:
            lane = _Lane()
            self._lane_by_customer[work.customer] = lane
        lane.add(work)
        self._customer_by_job[work.id] = work.customer

    def remove(self, job: str) -> Work | None:
        """Take a job out; ``None`` when it does not wait."""
        customer = self._customer_by_job.pop(job, None)
        if customer is None:
            return None
        return self._lane_by_customer[customer].remove(job)

    def waiting(self, customer: str) -> int:
        """Return how many jobs of a customer wait."""
        lane = self._lane_by_customer.get(customer)
        return len(lane.work_by_id) if lane else 0

    def clear(self) -> None:
        """Forget all jobs."""
        self._lane_by_customer.clear()
        self._customer_by_job.clear()

    def urgent(self, passed_over: Collection[Shape] = ()) -> list[Work]:
        """Return urgent jobs, one of each shape and customer, the earliest due first."""
        heads = []
        for lane in self._lane_by_customer.values():
            heads.extend(lane.urgent_heads(passed_over))
        heads.sort(key=_due_at)
        return heads

    def nearly_due(self, now: float) -> list[Work]:
        """Return jobs whose longest wait is nearly over, the earliest due first."""
        heads = []
        for lane in self._lane_by_customer.values():
            heads.extend(lane.late(now))
        heads.sort(key=_due_at)
        return heads

    def heads_of_customer(self, customer: str, passed_over: Collection[Shape] = ()) -> list[Work]:
        """Return the customer's first job of each shape, by priority and age."""
        return self._lane_by_customer[customer].heads(passed_over)

    def customers(self) -> tuple[str, ...]:
        """Return the customers with waiting jobs."""
        return tuple(
            customer for customer, lane in self._lane_by_customer.items() if lane.work_by_id
        )

    def claim(self, customer: str, used: Resources, total: Resources) -> tuple[bool, float]:
        """Return the sort key of fairness; lower is more entitled."""
        terms = self._terms_of(customer)
        below = terms.guaranteed != NOTHING and used.fits(terms.guaranteed)
        return (not below, weighted_share(used, total, terms.weight))

    def within_quota(self, work: Work, used: Resources) -> bool:
        """Return whether the customer's part of its quota has room for the job."""
        return within_quota(used, work.total, self._terms_of(work.customer).quota)


def _due_at(work: Work) -> float:
    return work.due_at
