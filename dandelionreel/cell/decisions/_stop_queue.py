"""Stops to send to runners, including repeated ones. No I/O."""

from dandelionreel.cell.decisions._runner_state import Allocation, AllocationPhase

#: Longest time in seconds that a runner may take to stop a run after it has answered the stop.
#: Until then it may still list the run.
MAX_STOP_SECONDS = 0.4


class StopQueue:
    """Stops that are still to be sent.

    An allocation stays in the stopping phase after that, until a poll proves that the run is gone.
    """

    def __init__(self) -> None:
        """Create an empty queue."""
        self._queue: list[Allocation] = []

    def add(self, allocation: Allocation) -> None:
        """Queue the stop of a run; it stays allocated until it is known to be gone."""
        if allocation.phase is AllocationPhase.STOPPING:
            return
        allocation.phase = AllocationPhase.STOPPING
        self._enqueue_stop(allocation)

    def repeat(self, allocation: Allocation, polled_at: float) -> None:
        """Queue another stop for a run that a poll still lists long after its stop was answered.

        The stop may have overtaken the start. The run would then be in the stopping phase without
        any further stop, and run to its end. A poll that was sent (at ``polled_at``) after the
        stop must have taken effect proves that it has not.
        """
        if allocation.phase is not AllocationPhase.STOPPING or allocation.order_answered_at is None:
            return
        if polled_at >= allocation.order_answered_at + MAX_STOP_SECONDS:
            self._enqueue_stop(allocation)

    def take_all(self) -> list[Allocation]:
        """Return the queued stops and clear the queue."""
        queued = self._queue
        self._queue = []
        return queued

    def _enqueue_stop(self, allocation: Allocation) -> None:
        # Until the stop is answered, a poll without the run does not prove that it is gone.
        allocation.order_answered_at = None
        self._queue.append(allocation)
