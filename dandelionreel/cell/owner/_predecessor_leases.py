"""Computes until when leases granted by earlier owners may last. No I/O.

This matters when the owner is lost together with the network path to some runners: their tasks run
as long as the lost owner renews the leases, and must not be started elsewhere meanwhile.
"""

from dandelionreel.cell.decisions import MAX_CLOCK_DRIFT
from dandelionreel.cell.membership import Term
from dandelionreel.cell.model import UNKNOWN_LEASES_END_SECONDS
from dandelionreel.cell.store import CellState

NO_RUNNERS: frozenset[str] = frozenset()

#: Maximum age in seconds of the last reading of a runner's clock when a lease is granted from it.
MAX_CLOCK_READING_AGE_SECONDS = 2.2


def lease_upper_bound(seconds: float) -> float:
    """Return the longest real time that a lease may last on a runner with a slow clock.

    A lease ends at a time of the runner's clock, which the owner extrapolates from its last
    reading. Both the time since the reading and the lease itself pass more slowly on that clock.
    """
    return (seconds + MAX_CLOCK_READING_AGE_SECONDS * MAX_CLOCK_DRIFT) / (1 - MAX_CLOCK_DRIFT)


def find_unreached_runners(term: Term, cell_state: CellState) -> frozenset[str]:
    """Return the runners on which the owner before ``term`` has granted no lease.

    The record of an owner before that one does not count: another owner, of which the store has the
    claim only, may have granted leases.
    """
    former = term.former
    if former is None or former.epoch != cell_state.former_epoch:
        return NO_RUNNERS
    return cell_state.unreached_runners(former.epoch)


class PredecessorLeases:
    """The time at which all leases of earlier owners have expired, computed as a term begins."""

    def __init__(
        self, term: Term, lease: float, now: float, unreached: frozenset[str] = NO_RUNNERS
    ) -> None:
        """Compute the end as of ``now``; earlier owners grant leases of ``lease`` seconds.

        The former owner has granted no lease on the ``unreached`` runners.
        """
        former = term.former
        self._former_owner = former
        self._max_lease_seconds = lease_upper_bound(lease)
        # A former owner that was killed may itself have succeeded one that is partitioned and
        # still renews leases.
        self._earlier_leases_end_at = now + term.unsettled
        self.unreached = unreached
        heartbeat_at = now if term.silent_since is None else term.silent_since
        #: When every lease on an unreached runner has expired, in monotonic seconds.
        self.unreached_expire_at = heartbeat_at + term.unsettled
        self.silent_seconds = 0.0 if term.silent_since is None else now - term.silent_since
        self.former_owner_ended = term.released or term.former_ended
        # The claim of this term was stored after the former owner's last answered append.
        leases_end = UNKNOWN_LEASES_END_SECONDS if former is None else former.leases_end
        if self.former_owner_ended:
            leases_end = min(leases_end, self._max_lease_seconds)
        #: When every lease of an earlier owner has expired, in monotonic seconds.
        self.expire_at = max(now + leases_end, self._earlier_leases_end_at)

    def expire_at_on(self, runner: str) -> float:
        """Return when every lease of an earlier owner on a runner has expired."""
        return self.unreached_expire_at if runner in self.unreached else self.expire_at

    def shorten_if_owner_ended(self, cell_state: CellState, now: float) -> bool:
        """Set an earlier ``expire_at`` if the former owner is now known to have ended.

        Return whether this was found out just now. If the former owner's host has started a new
        process, the old process renews no more leases, so only its last lease must be waited for.
        """
        if (
            self.former_owner_ended
            or self._former_owner is None
            or not cell_state.process_has_ended(self._former_owner)
        ):
            return False
        self.former_owner_ended = True
        self.expire_at = min(
            self.expire_at, max(now + self._max_lease_seconds, self._earlier_leases_end_at)
        )
        return True
