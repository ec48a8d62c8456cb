"""Requests that wait for a slot, by class and then by deadline."""

import heapq
from dataclasses import dataclass, field

import curio


@dataclass
class Waiter:
    """One waiting request; lower ``rank`` goes first."""

    sort_key: tuple[int, float, int]
    headroom: bool
    wakeup: curio.Event = field(default_factory=curio.Event)
    removed: bool = False

    def __lt__(self, other: 'Waiter') -> bool:
        """Order by class, deadline and arrival."""
        return self.sort_key < other.sort_key


class RequestQueue:
    """A bounded queue; whoever is woken tries for a slot again."""

    def __init__(self, max_length: int) -> None:
        """Hold at most ``length`` requests."""
        self._max_length = max_length
        self._heap: list[Waiter] = []
        self._arrivals = 0
        self.waiting = 0

    @property
    def is_full(self) -> bool:
        """Return whether no further request may wait."""
        return self.waiting >= self._max_length

    def add(self, priority: int, deadline: float, *, headroom: bool) -> Waiter:
        """Queue a request; higher priorities go first, then earlier deadlines."""
        self._arrivals += 1
        waiter = Waiter((-priority, deadline, self._arrivals), headroom)
        heapq.heappush(self._heap, waiter)
        self.waiting += 1
        return waiter

    def remove(self, waiter: Waiter) -> None:
        """Take a request out, wherever it stands."""
        if not waiter.removed:
            waiter.removed = True
            self.waiting -= 1

    def count_ahead(self, priority: int, deadline: float) -> int:
        """Return about how many waiting requests would go first."""
        sort_key = (-priority, deadline, self._arrivals)
        return sum(1 for waiter in self._heap if not waiter.removed and waiter.sort_key < sort_key)

    async def wake(self, count: int) -> None:
        """Let the first ``count`` try for a slot; they leave the queue."""
        while count > 0 and self._heap:
            waiter = heapq.heappop(self._heap)
            if waiter.removed:
                continue
            waiter.removed = True
            self.waiting -= 1
            count -= 1
            await waiter.wakeup.set()
