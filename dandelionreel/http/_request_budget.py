"""Memory that the requests of clients may hold, across all connections of a server."""

import time
from collections import Counter
from collections.abc import Callable

from dandelionreel.kernel import Problem, RequestError, Verdict

HTTP_UNAVAILABLE = 503
MEGABYTE = 1_048_576
#: Memory of a process that declares none.
DEFAULT_MEMORY_BYTES = 268_435_456
#: Larger than any job within the limits of the platform's pages, so that jobs never wait for the
#: room of large bodies.
SMALL_BODY_BYTES = 32_768
#: Small bodies and large ones may each hold this fraction of the memory.
BUDGET_FRACTION = 0.0625
#: Bodies of the largest size that always fit together.
LARGEST_BODIES = 2
#: Seconds after which an unfinished body gives way to others: ordinary clients need far less.
STALE_SECONDS = 1.0
#: Seconds after which the client of a refused request may send it again.
RETRY_AFTER_SECONDS = 1.0
OUT_OF_MEMORY = Problem(
    Verdict.NOT_RUN,
    HTTP_UNAVAILABLE,
    'request-memory',
    'the requests in progress hold all the memory that they may; send the request again later',
    RETRY_AFTER_SECONDS,
)


class BodyCharge:
    """What the request of one connection holds of a budget, from one ``begin`` to the next."""

    def __init__(self, budget: 'RequestBudget', evict: Callable[[], None]) -> None:
        """Hold nothing yet; ``evict`` wakes the task that reads the body."""
        self._budget = budget
        self._pool = budget.small
        self._evict = evict
        self._began_at = 0.0
        self._is_evicted = False
        #: Whether the body has been read whole; its request is not evicted.
        self.is_whole = False

    @property
    def is_stale(self) -> bool:
        """Return whether the body has been unfinished for so long that it gives way."""
        return not self.is_whole and time.monotonic() - self._began_at > STALE_SECONDS

    def begin(self) -> None:
        """Give back what an earlier body holds, and begin another one."""
        self.release()
        self._pool = self._budget.small
        self._began_at = time.monotonic()
        self.is_whole = False

    def grow(self, size: int, announced: int) -> None:
        """Hold ``size`` bytes; those of a large body are held as announced.

        Raises ``RequestError`` if they do not fit, or if the charge was evicted.
        """
        self.check()
        if size > SMALL_BODY_BYTES and self._pool is self._budget.small:
            self._pool.release(self)
            self._pool = self._budget.large
        held = size if self._pool is self._budget.small else max(size, announced)
        if not self._pool.hold(self, held):
            raise RequestError(OUT_OF_MEMORY)

    def check(self) -> None:
        """Raise ``RequestError`` if the charge was evicted."""
        if self._is_evicted:
            raise RequestError(OUT_OF_MEMORY)

    def evict(self) -> None:
        """Give back all bytes, and make the task that reads the body refuse it."""
        self._is_evicted = True
        self.release()
        self._evict()

    def release(self) -> None:
        """Give back all bytes."""
        self._pool.release(self)


class RequestBudget:
    """The memory of all requests, with a pool for small bodies and one for large ones.

    Large bodies cannot take the place of small ones. Where a body does not fit, the oldest one
    that its client does not finish gives way; if there is none, the body is refused.
    """

    def __init__(
        self, memory_bytes: int = DEFAULT_MEMORY_BYTES, largest_body: int = MEGABYTE
    ) -> None:
        """Derive the pools from the memory of the process."""
        pool_bytes = int(memory_bytes * BUDGET_FRACTION)
        self.small = _Pool(pool_bytes)
        self.large = _Pool(max(pool_bytes, LARGEST_BODIES * largest_body))
        #: Requests that were refused before they were handled, by the cause that clients are told.
        self.refused_by_cause: Counter[str] = Counter()

    def open_charge(self, evict: Callable[[], None]) -> BodyCharge:
        """Return the charge of a connection."""
        return BodyCharge(self, evict)


class _Pool:
    def __init__(self, capacity: int) -> None:
        self._capacity = capacity
        self._used = 0
        #: The oldest come first.
        self._size_by_charge: dict[BodyCharge, int] = {}

    def hold(self, charge: BodyCharge, size: int) -> bool:
        added = size - self._size_by_charge.get(charge, 0)
        while self._used + added > self._capacity:
            stale = self._find_stale(charge)
            if stale is None:
                return False
            stale.evict()
        self._used += added
        self._size_by_charge[charge] = size
        return True

    def release(self, charge: BodyCharge) -> None:
        self._used -= self._size_by_charge.pop(charge, 0)

    def _find_stale(self, beside: BodyCharge) -> BodyCharge | None:
        for charge in self._size_by_charge:
            if charge is not beside and charge.is_stale:
                return charge
        return None
