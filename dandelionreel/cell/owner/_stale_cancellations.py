"""Finds cancellations whose submission will not be stored any more. No I/O."""

from dandelionreel.cell.store import CellState

#: Seconds for which a cancellation waits for its submission: longer than the store delays an
#: append.
RETENTION_SECONDS = 60.0


class StaleCancellations:
    """Cancellations without a submission, and since when this owner knows them."""

    def __init__(self) -> None:
        """Start without cancellations."""
        self._known_since_by_job: dict[str, float] = {}

    def find(self, cell_state: CellState, now: float) -> list[str]:
        """Return the jobs whose cancellations may be deleted; ``now`` is in monotonic seconds."""
        previous = self._known_since_by_job
        self._known_since_by_job = {
            job: previous.get(job, now) for job in cell_state.unmatched_cancellations()
        }
        return [
            job
            for job, since in self._known_since_by_job.items()
            if now >= since + RETENTION_SECONDS
        ]
