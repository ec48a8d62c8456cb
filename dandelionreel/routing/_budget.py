"""Rate, concurrency and retry limits of a customer's contract."""

from dandelionreel.contracts import RequestTerms
from dandelionreel.kernel import Clock

#: Upper bound of the retries that first attempts can save up.
MAX_SAVED_RETRIES = 10.0
#: Compensates rounding errors, so that three thirds of a count add up to the whole count.
ROUNDING_TOLERANCE = 1e-9
#: Lowest rate of a daemon, in requests per second, also if its share of the rate is zero.
MIN_RATE = 1e-3


class TokenBucket:
    """Token bucket: ``rate`` requests per second, and up to ``burst`` at once."""

    def __init__(self, clock: Clock) -> None:
        """Start unfilled; the first call of ``take_token`` fills the bucket."""
        self._clock = clock
        self._tokens = -1.0
        self._filled_at = 0.0

    def take_token(self, rate: float, burst: float) -> float:
        """Take a token and return 0, or return the seconds until one is available."""
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
    """Limits retries to a fixed fraction of first attempts."""

    def __init__(self) -> None:
        """Start with one token, so that an early failure can be retried."""
        self._tokens = 1.0

    def record_first_attempt(self, fraction: float) -> None:
        """Add the fraction of a retry that each first attempt allows."""
        self._tokens = min(MAX_SAVED_RETRIES, self._tokens + fraction)

    def use_retry(self) -> bool:
        """Count a retry if the budget allows it; return whether it does."""
        if self._tokens < 1:
            return False
        self._tokens -= 1
        return True


class CustomerUsage:
    """Rate, retries and requests in flight of one customer on this daemon."""

    def __init__(self, clock: Clock) -> None:
        """Start with no requests."""
        self.token_bucket = TokenBucket(clock)
        self.retry_budget = RetryBudget()
        self.in_flight = 0


def daemon_share_of_count(count: int, share: float, rank: int, members: int) -> int:
    """Return one daemon's share of a limit that holds for all zones together.

    The zone's share of ``count`` is rounded down and divided among the daemons
    of the zone; the daemons with the lowest ranks get one more each while there
    is a remainder. All daemons' shares together never exceed ``count``.
    """
    zone_count = int(count * share + ROUNDING_TOLERANCE)
    per_member, rest = divmod(zone_count, max(1, members))
    return per_member + (1 if rank < rest else 0)


def daemon_share_of_rate(terms: RequestTerms, share: float, members: int) -> tuple[float, float]:
    """Return one daemon's share of the rate and of the burst."""
    fraction = share / max(1, members)
    return max(terms.rate * fraction, MIN_RATE), max(terms.burst * fraction, 1.0)
