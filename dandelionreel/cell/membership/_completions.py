"""Jobs that a host knows to be complete before the store does. No I/O.

Load pattern: the store is away or slow while tasks end. The owner tells its peers of completed
jobs, and each of them may then answer clients. No take-over reverts that: the next owner reads the
ends from the runners, which keep them until they are acknowledged, and asks the peers in case a
runner has crashed. Model: ``spec/completions.py``.
"""

from collections.abc import Iterable

from dandelionreel.kernel import Clock

#: Jobs that are remembered, and for how many seconds: several times the longest time for
#: which an owner goes on without the store.
MAX_KEPT = 20_000
KEPT_SECONDS = 60.0


class Completions:
    """What this host was told, or has found out as the owner."""

    def __init__(self, clock: Clock) -> None:
        """Start with nothing known."""
        self._clock = clock
        self._noted_at_by_job: dict[str, float] = {}
        #: Jobs that were seen as complete inside a partition and have to be reported to the
        #: owner, with when each was reported last.
        self._reported_at_by_job: dict[str, float] = {}
        self._min_epoch = 0
        #: How many questions of owners have been answered, and when the latest one was.
        self.query_count = 0
        self.queried_at = float('-inf')

    def contains(self, job: str) -> bool:
        """Return whether the job is known to be complete."""
        return job in self._noted_at_by_job

    def note(self, jobs: Iterable[str]) -> None:
        """Remember jobs, and forget what must long stand in the store."""
        now = self._clock.monotonic()
        for job in jobs:
            self._noted_at_by_job.setdefault(job, now)
        excess = len(self._noted_at_by_job) - MAX_KEPT
        for position, (job, noted_at) in enumerate(tuple(self._noted_at_by_job.items())):
            if position >= excess and now - noted_at < KEPT_SECONDS:
                break
            self._noted_at_by_job.pop(job)

    def note_zone_completions(self, jobs: Iterable[str]) -> None:
        """Remember jobs that the runners of this zone list as done inside a partition."""
        seen = tuple(jobs)
        self.note(seen)
        for job in seen:
            self._reported_at_by_job.setdefault(job, float('-inf'))

    @property
    def unreported(self) -> tuple[str, ...]:
        """Return the jobs that the owner may not know to be complete."""
        return tuple(self._reported_at_by_job)

    def due_reports(self, repeat: float) -> tuple[str, ...]:
        """Return the jobs that have not been reported for ``repeat`` seconds."""
        latest = self._clock.monotonic() - repeat
        return tuple(
            job for job, reported_at in self._reported_at_by_job.items() if reported_at <= latest
        )

    def note_reports(self, jobs: Iterable[str]) -> None:
        """Note that jobs are being reported now."""
        for job in jobs:
            self._reported_at_by_job[job] = self._clock.monotonic()

    def drop_reports(self, jobs: Iterable[str]) -> None:
        """Stop reporting jobs whose end stands in the store."""
        for job in tuple(jobs):
            self._reported_at_by_job.pop(job, None)

    def merge(self, epoch: int, jobs: Iterable[str]) -> bool:
        """Take the word of the owner with that epoch; return whether it still counts.

        A later owner that has asked here would not hear of it, and might start what is
        shown as complete.
        """
        if epoch < self._min_epoch:
            return False
        self.note(jobs)
        return True

    def answer(self, epoch: int) -> tuple[str, ...]:
        """Return all that is known, and believe no owner before that epoch from now on."""
        self._min_epoch = max(self._min_epoch, epoch)
        self.query_count += 1
        self.queried_at = self._clock.monotonic()
        return tuple(self._noted_at_by_job)
