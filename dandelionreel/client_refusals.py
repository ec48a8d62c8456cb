"""Reports the requests that were refused before they were handled."""

from collections import Counter

from dandelionreel.http import RequestBudget
from dandelionreel.kernel import Clock, Journal, Part

#: Seconds between two log lines: a crowd of clients must not fill the log.
REPORT_SECONDS = 10.0


class RefusalReport:
    """Logs at intervals how many requests the servers of a budget have refused."""

    def __init__(self, budget: RequestBudget, clock: Clock, journal: Journal) -> None:
        """Report the refusals that are counted in ``budget``."""
        self._budget = budget
        self._clock = clock
        self._journal = journal
        self._reported: Counter[str] = Counter()
        self._reported_at = float('-inf')

    def update(self) -> dict[str, int]:
        """Return the refused requests by cause, and log them if they have grown."""
        refused = self._budget.refused_by_cause
        now = self._clock.monotonic()
        if refused != self._reported and now - self._reported_at >= REPORT_SECONDS:
            self._journal.log(
                Part.LIFE,
                'has refused requests that clients did not send within the limits.',
                refused=dict(refused - self._reported),
                total=refused.total(),
            )
            self._reported = Counter(refused)
            self._reported_at = now
        return dict(refused)
