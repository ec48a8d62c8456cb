"""Requests that wait for a slot, by priority and then by deadline."""

import heapq
from dataclasses import dataclass, field

import curio


@dataclass
class WaitingRequest:
    """A waiting request; the lowest ``sort_key`` goes first.

    With ``headroom``, the request must leave a part of the slots free for urgent ones.
    """

    sort_key: tuple[int, float, int]
    headroom: bool
    wakeup: curio.Event = field(default_factory=curio.Event)
    removed: bool = False

    def __lt__(self, other: 'WaitingRequest') -> bool:
        """Order by priority, deadline and arrival."""
        return self.sort_key < other.sort_key


class RequestQueue:
    """A bounded priority queue; a woken request tries again to acquire a slot."""

    def __init__(self, max_length: int) -> None:
        """Hold at most ``max_length`` requests."""
        self._max_length = max_length
        self._heap: list[WaitingRequest] = []
        self._arrivals = 0
        self.waiting = 0

    @property
    def is_full(self) -> bool:
        """Return whether the queue is at its limit."""
        return self.waiting >= self._max_length

    def add(self, priority: int, deadline: float, *, headroom: bool) -> WaitingRequest:
        """Add a request; higher priorities go first, then earlier deadlines."""
        self._arrivals += 1
        waiter = WaitingRequest((-priority, deadline, self._arrivals), headroom)
        heapq.heappush(self._heap, waiter)
        self.waiting += 1
        return waiter

    def remove(self, waiter: WaitingRequest) -> None:
        """Remove a request; its heap entry is dropped once it reaches the top."""
        if not waiter.removed:
            waiter.removed = True
            self.waiting -= 1

    def count_requests_ahead(self, priority: int, deadline: float) -> int:
        """Return how many waiting requests would go before a new request."""
        sort_key = (-priority, deadline, self._arrivals)
        return sum(1 for waiter in self._heap if not waiter.removed and waiter.sort_key < sort_key)

    async def wake_first(self, count: int) -> None:
        """Remove the first ``count`` requests and wake them to try for a slot."""
        while count > 0 and self._heap:
            waiter = heapq.heappop(self._heap)
            if waiter.removed:
                continue
            waiter.removed = True
            self.waiting -= 1
            count -= 1
            await waiter.wakeup.set()
