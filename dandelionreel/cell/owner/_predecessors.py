"""Until when tasks of earlier owners may run on runners that have not been polled yet. No I/O.

Load pattern: the owner is lost together with the way to some runners. Their tasks go on for as long
as the lost owner renews its leases, and must not start elsewhere meanwhile.
"""

from dandelionreel.cell.decisions import MAX_CLOCK_DRIFT
from dandelionreel.cell.membership import AUTHORITY_SECONDS, Term
from dandelionreel.cell.store import CellState

#: Seconds for which a runner's clock may have been extrapolated when a lease is granted by it.
READING_AGE = 2.2


def longest_lease(seconds: float) -> float:
    """Return for how long a lease may hold on a runner whose clock is slow.

    It ends at a time on the runner's clock, which the owner has extrapolated from
    its last word of it: both spans pass more slowly there.
    """
    return (seconds + READING_AGE * MAX_CLOCK_DRIFT) / (1 - MAX_CLOCK_DRIFT)


class Predecessors:
    """The wait for the leases of all earlier owners, at the start of a term."""

    def __init__(self, term: Term, lease: float, now: float) -> None:
        """Wait from ``now`` on; earlier owners grant leases of ``lease`` seconds."""
        self._former = term.former
        self._lease = longest_lease(lease)
        # A former owner that was killed may itself have followed one that was cut
        # off and still renews leases.
        self._earlier_until = now + term.unsettled
        self.silent = 0.0 if term.silent_since is None else now - term.silent_since
        self.ended = term.released or term.former_ended
        rest = 0.0 if self.ended else max(0.0, AUTHORITY_SECONDS - self.silent)
        #: When every lease of an earlier owner must be over, in monotonic seconds.
        self.until = max(now + rest + self._lease, self._earlier_until)

    def look(self, book: CellState, now: float) -> bool:
        """Return whether the former owner is found to have ended only now.

        Its host has come back with another process, so the old one renews nothing
        more: the wait is shortened to its last lease.
        """
        if self.ended or self._former is None or not book.has_ended(self._former):
            return False
        self.ended = True
        self.until = min(self.until, max(now + self._lease, self._earlier_until))
        return True
