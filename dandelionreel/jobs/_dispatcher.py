"""The zone's dispatcher: decides, writes intents, has tasks started, settles ends.

Every daemon has one; only the owner of the zone's dispatch shard acts.
"""

from dandelionreel.backing import HostWatch, StreamReader, StreamWriter
from dandelionreel.contracts import ContractBook
from dandelionreel.jobs._attempt_finalizer import AttemptSettler, RetryBudgets
from dandelionreel.jobs._attempt_starter import AttemptStarter
from dandelionreel.jobs._dispatcher_state import Desk
from dandelionreel.jobs._job_projection import JobProjection, JobState
from dandelionreel.jobs._metrics import JobMetrics
from dandelionreel.jobs._order_sender import OrderSender
from dandelionreel.jobs._queue_updater import QueueFeeder
from dandelionreel.jobs._quota_shares import QuotaShareBalancer
from dandelionreel.jobs._report_handler import ReportReader
from dandelionreel.kernel import Clock, Journal, Part, Settings
from dandelionreel.ownership import DISPATCH_SHARD, Authority, ShardFold
from dandelionreel.peers import WorkerReport
from dandelionreel.placement import Planner

ROUND_SECONDS = 0.5
FOLLOW_SECONDS = 60.0
#: Decisions in one round, so that reports and heartbeats get their turn.
ROUND_DECISIONS = 64


class Dispatcher:
    """Places the jobs of the zone on its workers."""

    def __init__(
        self,
        me: str,
        settings: Settings,
        clock: Clock,
        authority: Authority,
        shards: ShardFold,
        jobs: JobProjection,
        contracts: ContractBook,
        hosts: HostWatch,
        reader: StreamReader,
        writer: StreamWriter,
        orders: OrderSender,
        shares: QuotaShareBalancer,
        metrics: JobMetrics,
        journal: Journal,
    ) -> None:
        """Dispatch as ``me`` while it owns the dispatch shard."""
        self._clock = clock
        self._authority = authority
        self._shards = shards
        self._jobs = jobs
        self._reader = reader
        self._shares = shares
        self._journal = journal
        self._desk = Desk(settings, authority, jobs.watch())
        budgets = RetryBudgets()
        self._feeder = QueueFeeder(
            self._desk,
            settings,
            clock,
            jobs,
            contracts,
            shares,
            hosts,
        )
        self._starter = AttemptStarter(
            me,
            self._desk,
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
        self._observer = ReportReader(
            me,
            self._desk,
            clock,
            jobs,
            contracts,
            self._feeder,
            orders,
            journal,
        )
        self._settler = AttemptSettler(
            self._desk,
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
        """Return whether this daemon dispatches now."""
        return bool(self._desk.epoch)

    @property
    def planner(self) -> Planner:
        """Return what decides, with its queue and its picture of the workers."""
        return self._desk.planner

    async def run(self) -> None:
        """Dispatch whenever this daemon may, for ever."""
        while True:
            seen = self._desk.wake.count
            if self._authority.may_dispatch(DISPATCH_SHARD):
                await self._round()
            else:
                self._stand_down()
            await self._desk.wake.wait(seen, ROUND_SECONDS)

    async def follow_log(self) -> None:
        """Wake the dispatcher after every batch of records, for ever."""
        while True:
            seen = self._reader.changed.count
            await self._reader.changed.wait(seen, FOLLOW_SECONDS)
            await self._desk.wake.notify()

    async def handle_report(self, report: WorkerReport) -> None:
        """Learn from the owner of a worker what runs there."""
        if self.is_active:
            await self._observer.take(report)

    async def _round(self) -> None:
        self._take_over_if_new()
        self._feeder.feed()
        await self._settler.settle_ended()
        self._settler.stop_unwanted()
        placements = self.planner.decide(self._clock.wall(), ROUND_DECISIONS)
        for placement in placements:
            await self._starter.begin(placement)
        self._shares.consider(self.planner)
        if len(placements) == ROUND_DECISIONS:
            await self._desk.wake.notify()

    def _take_over_if_new(self) -> None:
        epoch = self._shards.epoch(DISPATCH_SHARD)
        if epoch == self._desk.epoch:
            return
        self._stand_down()
        self._desk.epoch = epoch
        self._desk.took_over_at = self._clock.monotonic()
        known = (job.id for job in self._jobs.in_state(*JobState))
        self._desk.changes.job_ids.update(dict.fromkeys(known))
        self._journal.tell(Part.JOBS, 'dispatches for the zone.', epoch=epoch)

    def _stand_down(self) -> None:
        if not self.is_active:
            return
        self._journal.tell(Part.JOBS, 'stops dispatching for the zone.', epoch=self._desk.epoch)
        self._desk.clear()
