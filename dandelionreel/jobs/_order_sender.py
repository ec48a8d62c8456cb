"""Sends orders to the owners of workers, in this daemon or at a peer."""

import curio

from dandelionreel.backing import LogError, StreamWriter
from dandelionreel.kernel import ChangeNotifier, Clock, Journal, Part, Settings, Verdict
from dandelionreel.ownership import ShardProjection, worker_shard
from dandelionreel.peers import (
    Done,
    PeerDirectory,
    PeerError,
    PlaceAnswer,
    PlaceOrder,
    TaskAction,
)
from dandelionreel.workers import REFUSED, UNKNOWN, WorkerFleet

#: A stop that is not confirmed is sent again at this interval, up to ``MAX_STOP_TRIES``.
STOP_RETRY_SECONDS = 1.0
MAX_STOP_TRIES = 30
IDLE_SECONDS = 0.5
RECORD_TIMEOUT_SECONDS = 3600.0


class OrderSender:
    """Sends starts and stops of tasks; stops are rate-limited."""

    def __init__(
        self,
        own_member: str,
        settings: Settings,
        clock: Clock,
        shards: ShardProjection,
        fleet: WorkerFleet,
        directory: PeerDirectory,
        writer: StreamWriter,
        journal: Journal,
    ) -> None:
        """Send orders as the dispatcher ``own_member``."""
        self._own_member = own_member
        self._settings = settings
        self._clock = clock
        self._shards = shards
        self._fleet = fleet
        self._directory = directory
        self._writer = writer
        self._journal = journal
        #: Per task: dispatch epoch, worker and remaining tries.
        self._pending_stops: dict[str, tuple[int, str, int]] = {}
        self._queued_records: list = []
        self._changed = ChangeNotifier()

    @property
    def pending_stop_count(self) -> int:
        """Return how many stops are not confirmed yet."""
        return len(self._pending_stops)

    async def place(self, order: PlaceOrder) -> PlaceAnswer:
        """Ask a worker's owner to start a task, and return its answer."""
        owner = self._find_owner(order.worker)
        if not owner:
            return PlaceAnswer(REFUSED, 'the worker has no owner')
        if owner == self._own_member:
            return await self._fleet.place(order)
        timeout = self._settings.timings.start_deadline * 2
        try:
            frame = await self._directory.request(owner, order, timeout)
        except PeerError as error:
            outcome = REFUSED if error.verdict is Verdict.NOT_RUN else UNKNOWN
            return PlaceAnswer(outcome, f'{owner}: {error}')
        if isinstance(frame.message, PlaceAnswer):
            return frame.message
        return PlaceAnswer(UNKNOWN, 'the peer sent no placement answer')

    async def send_action(self, epoch: int, worker: str, task_id: str, action: str) -> bool:
        """Stop, checkpoint or throttle a task; return whether it was confirmed."""
        order = TaskAction(epoch, worker, task_id, action)
        owner = self._find_owner(worker)
        if not owner:
            return False
        if owner == self._own_member:
            return await self._fleet.apply_action(order)
        try:
            frame = await self._directory.request(
                owner,
                order,
                self._settings.timings.start_deadline * 2,
            )
        except PeerError:
            return False
        return isinstance(frame.message, Done)

    def queue_stop(self, epoch: int, worker: str, task_id: str) -> None:
        """Queue a stop, which is sent when the rate limit allows."""
        self._pending_stops.setdefault(task_id, (epoch, worker, MAX_STOP_TRIES))

    def queue_record(self, record: object) -> None:
        """Queue a record, which is written when the log is available."""
        self._queued_records.append(record)

    async def run(self) -> None:
        """Send queued stops at a limited rate, forever.

        Without the limit, a burst of cancellations would fill the connections
        to the workers and delay urgent starts.
        """
        interval = 1 / self._settings.limits.stops_per_second
        while True:
            change_count = self._changed.count
            if not self._pending_stops:
                await self._changed.wait(change_count, IDLE_SECONDS)
                continue
            for task_id in tuple(self._pending_stops):
                await curio.spawn(self._try_stop, task_id, daemon=True)
                await curio.sleep(interval)
            await curio.sleep(STOP_RETRY_SECONDS)

    async def write_queued_records(self) -> None:
        """Write queued records, forever."""
        while True:
            if not self._queued_records:
                await curio.sleep(IDLE_SECONDS)
                continue
            record = self._queued_records.pop(0)
            try:
                await self._writer.write(record, RECORD_TIMEOUT_SECONDS)
            except LogError as error:
                self._journal.log(Part.JOBS, f'a record could not be written; {error}.')

    async def _try_stop(self, task_id: str) -> None:
        pending = self._pending_stops.get(task_id)
        if pending is None:
            return
        epoch, worker, tries = pending
        if await self.send_action(epoch, worker, task_id, 'stop') or tries <= 1:
            self._pending_stops.pop(task_id, None)
            return
        self._pending_stops[task_id] = (epoch, worker, tries - 1)

    def _find_owner(self, worker: str) -> str:
        claim = self._shards.get(worker_shard(worker))
        if claim is None or claim.released:
            return ''
        return claim.owner
