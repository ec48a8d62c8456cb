"""Reads of job states inside a partitioned availability zone, by what its runners list.

Load pattern: a zone is cut off with its hosts, runners and clients, and the clients' jobs end on
runners of the same zone. Hosts of the zone poll these runners without renewing leases or
acknowledging ended runs, and report complete jobs to clients. The owner outside lets no lease
in that zone expire before these hosts have reported the complete jobs to it. Model:
``spec/behind_a_cut.py``.
"""

from collections.abc import Callable

import curio

from dandelionreel.cell.decisions import ANY_RUNNER, is_job_complete
from dandelionreel.cell.membership import Completions, PartitionDetector, PeerLinks, rank_hosts
from dandelionreel.cell.model import (
    EndedRun,
    Registration,
    Runner,
    RunnerError,
    RunnerFenced,
    RunnerReplaced,
)
from dandelionreel.cell.store import CellState, RunnerProjection
from dandelionreel.kernel import Clock, Journal, Part
from dandelionreel.peers import CompletionsSeen, Done, PeerError

#: Seconds for which a runner's view is reused for further requests.
VIEW_CACHE_SECONDS = 0.2
#: Seconds for the reply of a host of the same zone, and how many of them are tried.
ANSWER_TIMEOUT = 0.2
MAX_PEERS_NOTIFIED = 3

MakeRunner = Callable[[Registration], Runner]


class _CachedView:
    """The latest view of one runner."""

    def __init__(self, runner: Runner) -> None:
        self.runner = runner
        self.lock = curio.Lock()
        self.polled_at = float('-inf')
        self.ended_runs: tuple[EndedRun, ...] = ()


class PartitionReads:
    """Finds out which jobs are complete while this host's zone is cut off."""

    def __init__(
        self,
        own_host: str,
        zone: str,
        cell_state: CellState,
        runners: RunnerProjection,
        partition_detector: PartitionDetector,
        completions: Completions,
        links: PeerLinks,
        make_runner: MakeRunner,
        clock: Clock,
        journal: Journal,
    ) -> None:
        """Poll the runners of ``zone`` for the host ``own_host``."""
        self._own_host = own_host
        self._zone = zone
        self._cell_state = cell_state
        self._runners = runners
        self._partition_detector = partition_detector
        self._completions = completions
        self._links = links
        self._make_runner = make_runner
        self._clock = clock
        self._journal = journal
        self._view_by_runner: dict[str, _CachedView] = {}

    async def is_job_complete(self, job: str) -> bool:
        """Return whether the zone's runners list a job as done and it may be reported so."""
        queries_before = self._completions.query_count
        if not self._partition_detector.may_answer_reads or not await self._is_job_done_at_runners(
            job
        ):
            return False
        if not await self._replicate_completion_to_zone(job):
            return False
        # If the owner has queried this host meanwhile, its reply did not contain this job.
        if (
            queries_before != self._completions.query_count
            or not self._partition_detector.may_answer_reads
        ):
            return False
        self._completions.add_zone_completions([job])
        self._journal.log_sampled(
            Part.JOBS,
            'shown as complete inside a partition.',
            jobs=[job],
            count=1,
            epoch=self._owner_epoch(),
        )
        return True

    async def close(self) -> None:
        """Close the connections to runners."""
        for cached in self._view_by_runner.values():
            await cached.runner.close()
        self._view_by_runner.clear()

    async def _is_job_done_at_runners(self, job: str) -> bool:
        stored_job = self._cell_state.find_job(job)
        if stored_job is None or stored_job.submission is None or stored_job.progress is None:
            return False
        if stored_job.unreadable or stored_job.cancelled:
            return False
        ended: list[EndedRun] = []
        for registration in self._find_zone_runners(stored_job.progress.runners):
            ended.extend(await self._read_ended_runs(registration))
        job_ends = [end for end in ended if end.task.job == job]
        return is_job_complete(job, stored_job.submission.spec, stored_job.progress, job_ends)

    def _find_zone_runners(self, names: tuple[str, ...]) -> list[Registration]:
        """Return the runners of this zone on which a job may have run, from ``names``."""
        return [
            registration
            for runner, registration in self._runners.registration_by_id.items()
            if registration.zone == self._zone and (runner in names or ANY_RUNNER in names)
        ]

    async def _read_ended_runs(self, registration: Registration) -> tuple[EndedRun, ...]:
        cached = self._view_by_runner.get(registration.runner)
        if cached is None:
            cached = _CachedView(self._make_runner(registration))
            self._view_by_runner[registration.runner] = cached
        async with cached.lock:
            if self._clock.monotonic() - cached.polled_at >= VIEW_CACHE_SECONDS:
                cached.ended_runs = await self._poll_ended_runs(cached.runner)
                cached.polled_at = self._clock.monotonic()
        return cached.ended_runs

    async def _poll_ended_runs(self, runner: Runner) -> tuple[EndedRun, ...]:
        """Return the ended runs of a runner without renewing leases or acknowledging ends."""
        try:
            view = await runner.poll(self._owner_epoch(), 0, None, 0)
        except (RunnerError, RunnerFenced, RunnerReplaced):
            # The runner does not answer, was restarted, or has seen a later owner.
            return ()
        return view.ended

    async def _replicate_completion_to_zone(self, job: str) -> bool:
        """Report a complete job to other hosts of this zone, until one accepts it.

        Return whether one has.
        """
        for host in self._zone_hosts()[:MAX_PEERS_NOTIFIED]:
            member = self._cell_state.member_by_host[host]
            try:
                frame = await self._links.request(member, CompletionsSeen((job,)), ANSWER_TIMEOUT)
            except PeerError:
                continue
            if isinstance(frame.message, Done):
                return True
        return False

    def _zone_hosts(self) -> list[str]:
        members = self._cell_state.member_by_host
        return [
            host
            for host in rank_hosts(members)
            if members[host].zone == self._zone and host != self._own_host
        ]

    def _owner_epoch(self) -> int:
        owner = self._cell_state.owner
        return 0 if owner is None else owner.epoch
