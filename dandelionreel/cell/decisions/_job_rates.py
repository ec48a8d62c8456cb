"""Which jobs an account may expect to be served: so many a second as its weight says. No I/O.

Load pattern: one account sends many times its usual. What it sends beyond its rate waits
behind what others may expect, whatever its priority, and is served from what they leave.
"""

#: Seconds of its rate that an account may use at once.
BURST_SECONDS = 1.0


class JobRates:
    """A token bucket for each account, by the time at which its jobs were accepted."""

    def __init__(self) -> None:
        """Start with full buckets."""
        self._tokens_by_account: dict[str, float] = {}
        self._filled_at_by_account: dict[str, float] = {}

    def take(self, account: str, rate: float, accepted_at: float) -> bool:
        """Return whether a job is within the rate of its account, in jobs a second.

        Jobs that were accepted out of order, by hosts whose clocks differ, fill no bucket twice.
        """
        burst = max(1.0, rate * BURST_SECONDS)
        filled_at = self._filled_at_by_account.get(account, accepted_at)
        tokens = self._tokens_by_account.get(account, burst)
        tokens = min(burst, tokens + rate * max(0.0, accepted_at - filled_at))
        self._filled_at_by_account[account] = max(filled_at, accepted_at)
        within = tokens >= 1
        self._tokens_by_account[account] = tokens - within
        return within
