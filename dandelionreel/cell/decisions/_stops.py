"""Which runs must be told to stop, and which of them once more. No I/O."""

from dandelionreel.cell.decisions._ledger import Allocation, AllocationPhase

#: Seconds that a runner may take over a stop that it has answered, and so may still
#: list the run: the longest that is granted to runners.
MAX_STOP_SECONDS = 0.4


class StopQueue:
    """Stops on their way: due, then answered, until a poll proves that the run is gone."""

    def __init__(self) -> None:
        """Start with nothing to stop."""
        self._queue: list[Allocation] = []

    def order(self, allocation: Allocation) -> None:
        """Have a run stopped; it counts until it is known to be gone."""
        if allocation.phase is AllocationPhase.STOPPING:
            return
        allocation.phase = AllocationPhase.STOPPING
        self._enqueue(allocation)

    def repeat(self, allocation: Allocation, polled_at: float) -> None:
        """Have a run stopped once more that a poll lists long after its stop was taken.

        The stop may have overtaken the start. Such a run counts as being stopped, so
        nobody would tell the runner again, and it would run to its end. A poll that was
        sent (at ``asked``) when the stop must have taken effect proves that it has not.
        """
        if allocation.phase is not AllocationPhase.STOPPING or allocation.order_answered_at is None:
            return
        if polled_at >= allocation.order_answered_at + MAX_STOP_SECONDS:
            self._enqueue(allocation)

    def take(self) -> list[Allocation]:
        """Return the runs that must be told to stop, once."""
        taken = self._queue
        self._queue = []
        return taken

    def _enqueue(self, allocation: Allocation) -> None:
        # Until the stop is answered, a poll that does not list the run proves nothing.
        allocation.order_answered_at = None
        self._queue.append(allocation)
