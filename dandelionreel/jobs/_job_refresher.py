"""Rewrites unfinished jobs to the log before their records expire."""

import curio

from dandelionreel.backing import LogError, StreamWriter
from dandelionreel.jobs._dispatcher import Dispatcher
from dandelionreel.jobs._job_projection import (
    RESOLVABLE_STATES,
    Job,
    JobProjection,
    JobState,
    make_snapshot,
)
from dandelionreel.kernel import Clock, Journal, Part, Settings

ROUND_SECONDS = 2.0
WRITE_TIMEOUT_SECONDS = 10.0
MAX_JOBS_PER_ROUND = 64


class JobRefresher:
    """Refreshes the records of old jobs, so that log retention never drops an unfinished job."""

    def __init__(
        self,
        settings: Settings,
        clock: Clock,
        jobs: JobProjection,
        dispatcher: Dispatcher,
        writer: StreamWriter,
        journal: Journal,
    ) -> None:
        """Refresh the jobs of ``jobs`` while ``dispatcher`` is active."""
        self._settings = settings
        self._clock = clock
        self._jobs = jobs
        self._dispatcher = dispatcher
        self._writer = writer
        self._journal = journal

    async def run(self) -> None:
        """Refresh jobs that are due, forever."""
        while True:
            await curio.sleep(ROUND_SECONDS)
            if not self._dispatcher.is_active:
                continue
            try:
                await self.refresh_due()
            except LogError as error:
                self._journal.log(Part.JOBS, f'could not refresh job records: {error}.')

    async def refresh_due(self) -> None:
        """Rewrite the jobs whose newest record is older than a third of the retention time."""
        tasks = [
            await curio.spawn(
                self._writer.write, make_snapshot(job), WRITE_TIMEOUT_SECONDS, daemon=True
            )
            for job in self._find_due()[:MAX_JOBS_PER_ROUND]
        ]
        for task in tasks:
            await task.join()

    def _find_due(self) -> list[Job]:
        due_before = self._clock.unix_time() - self._settings.timings.retention / 3
        unfinished = self._jobs.in_state(
            JobState.WAITING,
            JobState.RUNNING,
            JobState.MOVED,
            *RESOLVABLE_STATES,
        )
        return [job for job in unfinished if job.written_at < due_before and not job.ended_at]
