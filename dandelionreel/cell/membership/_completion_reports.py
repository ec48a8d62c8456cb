"""Reports jobs that clients inside a partition saw as complete to the owner outside.

Load pattern: a partition has healed, and the runners that listed the ended runs leave before the
owner has polled them. Only hosts of the zone know that the jobs are complete, and they may be
killed.
"""

import curio

from dandelionreel.cell.membership._advisors import PeerLinks
from dandelionreel.cell.membership._completions import Completions
from dandelionreel.cell.model import FINAL_STATES, Member
from dandelionreel.cell.store import CellState
from dandelionreel.kernel import Clock, Journal, Part
from dandelionreel.peers import CompletionsSeen, Done, PeerError

#: Seconds between checks for jobs to report, and until the same job is reported again.
POLL_SECONDS = 0.1
REPORT_INTERVAL_SECONDS = 0.5
#: Seconds for the owner's answer.
ANSWER_TIMEOUT = 0.25
#: Limits of the jobs in one message and in one log line.
MAX_JOBS = 500
MAX_LOGGED = 80


class CompletionReporter:
    """Reports each job to the current owner until its end is in the store."""

    def __init__(
        self,
        own_host: str,
        cell_state: CellState,
        links: PeerLinks,
        completions: Completions,
        clock: Clock,
        journal: Journal,
    ) -> None:
        """Send reports as the host ``own_host`` for the unreported jobs in ``completions``."""
        self._own_host = own_host
        self._cell_state = cell_state
        self._links = links
        self._completions = completions
        self._clock = clock
        self._journal = journal

    async def run(self) -> None:
        """Send reports when they are due, forever."""
        while True:
            await self.send_due_reports()
            await curio.sleep(POLL_SECONDS)

    async def send_due_reports(self) -> None:
        """Send the reports that are due now, if another host owns the cell."""
        self._completions.drop_reports(
            job for job in self._completions.unreported if self._is_end_stored(job)
        )
        jobs = self._completions.due_reports(REPORT_INTERVAL_SECONDS)[:MAX_JOBS]
        owner = self._find_owner()
        if not jobs or owner is None:
            return
        self._completions.mark_reported(jobs)
        try:
            frame = await self._links.request(owner, CompletionsSeen(jobs), ANSWER_TIMEOUT)
        except PeerError:
            # The partition may persist, which the partition detector logs.
            return
        if isinstance(frame.message, Done):
            self._journal.log_sampled(
                Part.JOBS,
                'reported to the owner jobs that were shown as complete inside a partition.',
                jobs=list(jobs[:MAX_LOGGED]),
                count=len(jobs),
            )

    def _find_owner(self) -> Member | None:
        owner = self._cell_state.owner
        if owner is None or owner.host == self._own_host:
            return None
        return self._cell_state.member_by_host.get(owner.host)

    def _is_end_stored(self, job: str) -> bool:
        """Return whether the store has the end of a job, or has dropped the job."""
        stored_job = self._cell_state.find_job(job)
        return stored_job is None or stored_job.state in FINAL_STATES
