"""A zone's dispatcher: places jobs, writes intents, starts tasks and finalizes attempts.

Every daemon has one; only the one that owns the zone's dispatch shard is active.
"""

from dandelionreel.backing import HostWatch, StreamReader, StreamWriter
from dandelionreel.contracts import ContractProjection
from dandelionreel.jobs._attempt_finalizer import AttemptFinalizer, RetryBudgets
from dandelionreel.jobs._attempt_starter import AttemptStarter
from dandelionreel.jobs._dispatcher_state import DispatcherState
from dandelionreel.jobs._job_projection import JobProjection, JobState
from dandelionreel.jobs._metrics import JobMetrics
from dandelionreel.jobs._order_sender import OrderSender
from dandelionreel.jobs._queue_updater import QueueUpdater
from dandelionreel.jobs._quota_shares import QuotaShareBalancer
from dandelionreel.jobs._report_handler import ReportHandler
from dandelionreel.kernel import Clock, Journal, Part, Settings
from dandelionreel.ownership import DISPATCH_SHARD, Authority, ShardProjection
from dandelionreel.peers import WorkerReport
from dandelionreel.placement import Planner

ROUND_SECONDS = 0.5
LOG_WAIT_SECONDS = 60.0
#: Limits a round, so that reports and heartbeats are handled in between.
MAX_DECISIONS_PER_ROUND = 64


class Dispatcher:
    """Runs the jobs of a zone on its workers."""

    def __init__(
        self,
        own_member: str,
        settings: Settings,
        clock: Clock,
        authority: Authority,
        shards: ShardProjection,
        jobs: JobProjection,
        contracts: ContractProjection,
        hosts: HostWatch,
        reader: StreamReader,
        writer: StreamWriter,
        orders: OrderSender,
        shares: QuotaShareBalancer,
        metrics: JobMetrics,
        journal: Journal,
    ) -> None:
        """Dispatch as ``own_member`` while it owns the dispatch shard."""
        self._clock = clock
        self._authority = authority
        self._shards = shards
        self._jobs = jobs
        self._reader = reader
        self._shares = shares
        self._journal = journal
        self._state = DispatcherState(settings, authority, jobs.subscribe())
        budgets = RetryBudgets()
        self._queue_updater = QueueUpdater(
            self._state,
            settings,
            clock,
            jobs,
            contracts,
            shares,
            hosts,
        )
        self._starter = AttemptStarter(
            own_member,
            self._state,
            clock,
            jobs,
            contracts,
            reader,
            writer,
            orders,
            budgets,
            metrics,
            journal,
        )
        self._report_handler = ReportHandler(
            own_member,
            self._state,
            clock,
            jobs,
            contracts,
            self._queue_updater,
            orders,
            journal,
        )
        self._finalizer = AttemptFinalizer(
            self._state,
            clock,
            jobs,
            writer,
            orders,
            budgets,
            metrics,
            journal,
        )

    @property
    def is_active(self) -> bool:
        """Return whether this daemon currently dispatches."""
        return bool(self._state.epoch)

    @property
    def planner(self) -> Planner:
        """Return the planner, with its queue and its view of the workers."""
        return self._state.planner

    async def run(self) -> None:
        """Dispatch while this daemon owns the dispatch shard, forever."""
        while True:
            change_count = self._state.wake.count
            if self._authority.may_dispatch(DISPATCH_SHARD):
                await self._round()
            else:
                self._stop_dispatching()
            await self._state.wake.wait(change_count, ROUND_SECONDS)

    async def follow_log(self) -> None:
        """Wake the dispatcher after every batch of log records, forever."""
        while True:
            change_count = self._reader.changed.count
            await self._reader.changed.wait(change_count, LOG_WAIT_SECONDS)
            await self._state.wake.notify()

    async def handle_report(self, report: WorkerReport) -> None:
        """Process a report of a worker's owner on the tasks there."""
        if self.is_active:
            await self._report_handler.handle(report)

    async def _round(self) -> None:
        self._take_over_if_new()
        self._queue_updater.update()
        await self._finalizer.finalize_ended_attempts()
        self._finalizer.stop_unwanted_attempts()
        placements = self.planner.decide(self._clock.unix_time(), MAX_DECISIONS_PER_ROUND)
        for placement in placements:
            await self._starter.start(placement)
        self._shares.plan_transfers(self.planner)
        if len(placements) == MAX_DECISIONS_PER_ROUND:
            await self._state.wake.notify()

    def _take_over_if_new(self) -> None:
        epoch = self._shards.epoch(DISPATCH_SHARD)
        if epoch == self._state.epoch:
            return
        self._stop_dispatching()
        self._state.epoch = epoch
        self._state.took_over_at = self._clock.monotonic()
        known = (job.id for job in self._jobs.in_state(*JobState))
        self._state.changes.job_ids.update(dict.fromkeys(known))
        self._journal.log(Part.JOBS, 'dispatches for the zone.', epoch=epoch)

    def _stop_dispatching(self) -> None:
        if not self.is_active:
            return
        self._journal.log(Part.JOBS, 'stops dispatching for the zone.', epoch=self._state.epoch)
        self._state.clear()
