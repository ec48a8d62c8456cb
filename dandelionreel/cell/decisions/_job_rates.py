"""Classifies jobs as within or beyond the job rate of their account. No I/O.

The weight of an account is its rate in jobs a second.

Load pattern: one account submits many times its usual load. Jobs beyond its rate are ranked behind
the jobs within the rates of other accounts, whatever their priority, and run on spare capacity.
"""

#: Size of the token bucket, in seconds of the account's rate.
BURST_SECONDS = 1.0


class JobRates:
    """A token bucket for each account, refilled by the acceptance times of its jobs."""

    def __init__(self) -> None:
        """Start with full buckets."""
        self._tokens_by_account: dict[str, float] = {}
        self._filled_at_by_account: dict[str, float] = {}

    def take_token(self, account: str, rate: float, accepted_at: float) -> bool:
        """Take a token of the account for a job accepted at ``accepted_at`` (Unix time).

        Returns false if none is left: the job is beyond ``rate`` (jobs a second).

        Jobs may arrive out of order, as the clocks of the accepting hosts differ; the bucket is
        not refilled twice for the same period.
        """
        tokens = self._count_tokens(account, rate, accepted_at)
        filled_at = self._filled_at_by_account.get(account, accepted_at)
        self._filled_at_by_account[account] = max(filled_at, accepted_at)
        within = tokens >= 1
        self._tokens_by_account[account] = tokens - within
        return within

    def has_token(self, account: str, rate: float, accepted_at: float) -> bool:
        """Return whether ``take_token`` would return true."""
        return self._count_tokens(account, rate, accepted_at) >= 1

    def _count_tokens(self, account: str, rate: float, accepted_at: float) -> float:
        burst = max(1.0, rate * BURST_SECONDS)
        filled_at = self._filled_at_by_account.get(account, accepted_at)
        tokens = self._tokens_by_account.get(account, burst)
        return min(burst, tokens + rate * max(0.0, accepted_at - filled_at))
