"""Jobs that owners of the cell refused lately, as far as this host has read. No I/O.

An earlier attempt to store such a job, which got no answer, may be carried out by the store
seconds after the refusal. The submission then counts as unknown, since the client was told that
the job is not run.
"""

from collections.abc import Iterable

from dandelionreel.cell.model import RefusedJob

#: Seconds for which a refused id is remembered: longer than the store delays an append.
REMEMBERED_SECONDS = 60.0
#: Most ids that are remembered; the oldest are forgotten first.
MAX_REMEMBERED = 10_000
#: Largest difference between the clocks of two hosts that counts. A time further in the future
#: would hide every later submission with that id.
MAX_CLOCK_SKEW_SECONDS = 60.0
#: Seconds between a refusal and a later acceptance of the same job, which tell them apart.
MIN_ACCEPTANCE_DELAY_SECONDS = 0.001


class RefusedJobs:
    """The refused ids with the time of their latest refusal, in Unix time."""

    def __init__(self) -> None:
        """Start without refused jobs."""
        self._refused_at_by_id: dict[str, float] = {}

    def merge(self, refused: Iterable[RefusedJob], unix_time: float) -> None:
        """Add refused jobs and forget old ones."""
        for entry in refused:
            if not -REMEMBERED_SECONDS < entry.at - unix_time < MAX_CLOCK_SKEW_SECONDS:
                continue
            refused_at = max(entry.at, self._refused_at_by_id.pop(entry.job, entry.at))
            self._refused_at_by_id[entry.job] = refused_at
        for job in tuple(self._refused_at_by_id):
            is_recent = self._refused_at_by_id[job] > unix_time - REMEMBERED_SECONDS
            if is_recent and len(self._refused_at_by_id) <= MAX_REMEMBERED:
                break
            self._refused_at_by_id.pop(job)

    def contains(self, job: str) -> bool:
        """Return whether a job was refused lately."""
        return job in self._refused_at_by_id

    def was_refused_after(self, job: str, accepted_at: float) -> bool:
        """Return whether a job was refused after a submission of it with that time."""
        refused_at = self._refused_at_by_id.get(job)
        return refused_at is not None and accepted_at <= refused_at

    def acceptance_time(self, job: str, unix_time: float) -> float:
        """Return the time to store with a submission that is accepted now.

        It is later than every known refusal of the job, even if the refusing host's clock is ahead.
        """
        refused_at = self._refused_at_by_id.get(job)
        if refused_at is None:
            return unix_time
        return max(unix_time, refused_at + MIN_ACCEPTANCE_DELAY_SECONDS)

    def ids(self) -> Iterable[str]:
        """Return the remembered ids."""
        return self._refused_at_by_id
