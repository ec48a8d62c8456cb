"""Jobs that a host knows to be complete before the store does. No I/O.

Load pattern: the store is unavailable or slow while tasks end. The owner reports complete
jobs to its peers, and each of them may then answer clients. A takeover does not revert that: the
next owner reads the ended runs from the runners, which keep them until acknowledged, and queries
the peers in case a runner has crashed. Model: ``spec/completions.py``.
"""

from collections.abc import Iterable

from dandelionreel.kernel import Clock

#: Number of jobs that are kept, and for how many seconds: several times the longest time for
#: which an owner keeps acting without the store.
MAX_KEPT_JOBS = 20_000
RETENTION_SECONDS = 60.0


class Completions:
    """The completed jobs that were reported to this host, or that it found as the owner."""

    def __init__(self, clock: Clock) -> None:
        """Start with no jobs."""
        self._clock = clock
        self._added_at_by_job: dict[str, float] = {}
        #: Jobs that were found complete inside a partition and have to be reported to the owner,
        #: with the time of the latest report.
        self._reported_at_by_job: dict[str, float] = {}
        self._min_epoch = 0
        #: Number of owners' queries that were answered, and the time of the latest one.
        self.query_count = 0
        self.queried_at = float('-inf')

    def contains(self, job: str) -> bool:
        """Return whether the job is known to be complete."""
        return job in self._added_at_by_job

    def add(self, jobs: Iterable[str]) -> None:
        """Add completed jobs, and drop old ones, which must be in the store by now."""
        now = self._clock.monotonic()
        for job in jobs:
            self._added_at_by_job.setdefault(job, now)
        excess = len(self._added_at_by_job) - MAX_KEPT_JOBS
        for position, (job, added_at) in enumerate(tuple(self._added_at_by_job.items())):
            if position >= excess and now - added_at < RETENTION_SECONDS:
                break
            self._added_at_by_job.pop(job)

    def add_zone_completions(self, jobs: Iterable[str]) -> None:
        """Add jobs that the runners of this zone list as done while it is partitioned."""
        seen = tuple(jobs)
        self.add(seen)
        for job in seen:
            self._reported_at_by_job.setdefault(job, float('-inf'))

    @property
    def unreported(self) -> tuple[str, ...]:
        """Return the jobs that the owner may not know to be complete."""
        return tuple(self._reported_at_by_job)

    def due_reports(self, interval: float) -> tuple[str, ...]:
        """Return the jobs that have not been reported for ``interval`` seconds."""
        latest = self._clock.monotonic() - interval
        return tuple(
            job for job, reported_at in self._reported_at_by_job.items() if reported_at <= latest
        )

    def mark_reported(self, jobs: Iterable[str]) -> None:
        """Record that jobs are being reported to the owner now."""
        for job in jobs:
            self._reported_at_by_job[job] = self._clock.monotonic()

    def drop_reports(self, jobs: Iterable[str]) -> None:
        """Stop reporting jobs whose end is in the store."""
        for job in tuple(jobs):
            self._reported_at_by_job.pop(job, None)

    def merge_owner_report(self, epoch: int, jobs: Iterable[str]) -> bool:
        """Add jobs that the owner of ``epoch`` reports; return whether they were accepted.

        Jobs are refused once a later owner has queried this host: the later owner would not learn
        of them, and might restart tasks of jobs that clients see as complete.
        """
        if epoch < self._min_epoch:
            return False
        self.add(jobs)
        return True

    def list_for_owner(self, epoch: int) -> tuple[str, ...]:
        """Return all completed jobs to the owner of ``epoch``; refuse earlier owners afterwards."""
        self._min_epoch = max(self._min_epoch, epoch)
        self.query_count += 1
        self.queried_at = self._clock.monotonic()
        return tuple(self._added_at_by_job)
