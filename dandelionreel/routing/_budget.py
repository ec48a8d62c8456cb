"""Limits that a customer's contract sets on requests and on their retries."""

from dandelionreel.contracts import RequestTerms
from dandelionreel.kernel import Clock

#: Retries that may follow each other before first attempts have earned them.
MAX_SAVED_RETRIES = 10.0
#: Three thirds of a count are the whole of it.
ROUNDING_TOLERANCE = 1e-9
#: A daemon without any part of a rate lets one pass in this many seconds.
MIN_RATE = 1e-3


class TokenBucket:
    """Lets ``rate`` a second pass, and up to ``burst`` at once."""

    def __init__(self, clock: Clock) -> None:
        """Start full at the first question."""
        self._clock = clock
        self._tokens = -1.0
        self._filled_at = 0.0

    def take(self, rate: float, burst: float) -> float:
        """Take a token and return 0, or the seconds until there is one."""
        now = self._clock.monotonic()
        if self._tokens < 0:
            self._tokens = burst
            self._filled_at = now
        earned = (now - self._filled_at) * rate
        self._tokens = min(burst, self._tokens + earned)
        self._filled_at = now
        if self._tokens >= 1:
            self._tokens -= 1
            return 0
        return (1 - self._tokens) / rate


class RetryBudget:
    """Keeps retries under a fixed fraction of first attempts."""

    def __init__(self) -> None:
        """Start with a small allowance, so that one early failure can be retried."""
        self._tokens = 1.0

    def add_attempt(self, fraction: float) -> None:
        """Note a first attempt."""
        self._tokens = min(MAX_SAVED_RETRIES, self._tokens + fraction)

    def use_retry(self) -> bool:
        """Return whether one more retry is within the budget, and count it."""
        if self._tokens < 1:
            return False
        self._tokens -= 1
        return True


class CustomerUsage:
    """Requests of one customer that this daemon has let in."""

    def __init__(self, clock: Clock) -> None:
        """Start with none."""
        self.bucket = TokenBucket(clock)
        self.retry_budget = RetryBudget()
        self.in_flight = 0


def share_of_count(count: int, share: float, rank: int, members: int) -> int:
    """Return one daemon's part of a cell-wide count.

    The zone's part is rounded down; within the zone the rest goes one each to
    the first ranks. The parts of all daemons never exceed the count.
    """
    zone_count = int(count * share + ROUNDING_TOLERANCE)
    per_member, rest = divmod(zone_count, max(1, members))
    return per_member + (1 if rank < rest else 0)


def share_of_rate(terms: RequestTerms, share: float, members: int) -> tuple[float, float]:
    """Return one daemon's part of the rate and of the burst."""
    fraction = share / max(1, members)
    return max(terms.rate * fraction, MIN_RATE), max(terms.burst * fraction, 1.0)
