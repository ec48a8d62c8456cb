"""Reads a topic into a projection: a snapshot first, then every record in order."""

import abc
from collections.abc import Awaitable, Callable

import curio

from dandelionreel.cell.model import RecordBatch, RecordsExpired, StoreError, Topic
from dandelionreel.cell.store._interruptible_topic import ReadInterrupted
from dandelionreel.kernel import ChangeNotifier, Clock, Journal, Part, seconds_or_none

#: Seconds between attempts while the store is unreachable.
RETRY_SECONDS = 0.15
#: Seconds between checks whether a topic that is not read is needed again.
SUSPENDED_CHECK_SECONDS = 0.5
#: Initial, minimum and maximum size of one read. A record may be as large as the minimum:
#: a store that is asked for less might never send it.
INITIAL_READ_BYTES = 524_288
MIN_READ_BYTES = 262_144
MAX_READ_BYTES = 1_048_576
NEVER = float('-inf')


def _always_wanted() -> bool:
    return True


async def _let_read_go_on() -> None:
    """Wait for nothing."""


class Projection(abc.ABC):
    """State that is built from the records of a topic."""

    @abc.abstractmethod
    def load_snapshot(self, snapshot: RecordBatch) -> None:
        """Replace the state by a snapshot."""

    @abc.abstractmethod
    def apply(self, batch: RecordBatch) -> None:
        """Apply the next records of the topic."""


class ReadSize:
    """Adapts the number of bytes of one read. No I/O.

    Load pattern: a host with a slow link has missed more than one read can deliver in time. After
    a read that fails, the size is halved, and it does not grow beyond that again before the end
    of the topic has been reached.
    """

    def __init__(self, limit: int = MAX_READ_BYTES) -> None:
        """Start with a size that takes one second on a slow link, or with the smaller ``limit``."""
        self.bytes = min(INITIAL_READ_BYTES, limit)
        self._limit = limit
        self._max_bytes = limit

    def halve_after_failure(self) -> None:
        """Halve the size after a read that failed."""
        self.bytes = max(MIN_READ_BYTES, self.bytes // 2)
        self._max_bytes = self.bytes

    def adjust_after_read(self, *, reached_end: bool) -> None:
        """Double the size unless the end of the topic was reached."""
        if reached_end:
            self._max_bytes = self._limit
            return
        self.bytes = min(self._max_bytes, 2 * self.bytes)


class Follower:
    """Keeps a projection up to date with its topic, and knows how fresh it is."""

    def __init__(
        self,
        name: str,
        topic: Topic,
        projection: Projection,
        clock: Clock,
        journal: Journal,
        max_wait: float,
        get_pause: Callable[[], float],
        is_wanted: Callable[[], bool] = _always_wanted,
        *,
        skips_backlog: bool = False,
        interrupt_read: Callable[[], Awaitable[None]] = _let_read_go_on,
    ) -> None:
        """Let a read wait up to ``max_wait`` seconds for new records, and pause between reads.

        The seconds of ``get_pause()`` collect the records of a busy topic into fewer reads, as each
        read is a paid call to the store. While ``is_wanted()`` is false nothing is read;
        afterwards reading begins again with a snapshot. ``skips_backlog`` is for a projection that
        needs only the newest record of each key: where one read does not reach the end, the next
        one is a snapshot, so that a slow link does not carry what has been replaced.
        ``interrupt_read()`` lets the read in progress raise ``ReadInterrupted``.
        """
        self._name = name
        self._topic = topic
        self._projection = projection
        self._clock = clock
        self._journal = journal
        self._max_wait = max_wait
        self._get_pause = get_pause
        self._is_wanted = is_wanted
        self._skips_backlog = skips_backlog
        self._interrupt_read = interrupt_read
        #: Whether the topic is not read because it is not wanted.
        self.suspended = False
        self._read_requested = curio.Event()
        self._offset: int | None = None
        self._read_size = ReadSize(MIN_READ_BYTES if skips_backlog else MAX_READ_BYTES)
        #: Next offset after the first snapshot that this process has read.
        self.read_from = 0
        #: Everything that was in the topic at this time has been applied.
        self.fresh_at = NEVER
        #: Since when all reads have succeeded; ``NEVER`` after a failure.
        self.reachable_since = NEVER
        #: When a read last failed.
        self.failed_at = NEVER
        #: When the store last answered a read.
        self.answered_at = NEVER
        #: Until when the present read, or the one before a pause, may wait at the store.
        self._wait_ends_at = NEVER
        self.changed = ChangeNotifier()

    @property
    def has_snapshot(self) -> bool:
        """Return whether a snapshot has been applied."""
        return self._offset is not None

    @property
    def is_store_reachable(self) -> bool:
        """Return whether the latest read was answered."""
        return self.reachable_since != NEVER

    @property
    def has_reached_end(self) -> bool:
        """Return whether the end of the topic has been reached since the last snapshot."""
        return self.fresh_at != NEVER

    @property
    def offset(self) -> int:
        """Return the offset after the last applied record."""
        return self._offset or 0

    def age(self, now: float) -> float:
        """Return the maximum age of the projection in seconds."""
        return now - self.fresh_at

    def current_at(self, now: float) -> float:
        """Return until when the projection is known to have every record.

        The store answers a waiting read as soon as there is a record, so silence means that there
        is none until the wait ends. An answer that takes long to arrive has one.
        """
        if self._topic.is_receiving:
            return self.fresh_at
        if self.has_reached_end and self.is_store_reachable:
            return min(now, self._wait_ends_at)
        return self.fresh_at

    async def request_read(self) -> None:
        """Read now instead of after the pause."""
        await self._read_requested.set()

    async def skip_to(self, offset: int) -> None:
        """Go on at ``offset``, as what stands before it is known from elsewhere."""
        if offset <= self.offset:
            return
        self._offset = offset
        self.read_from = self.read_from or offset
        await self._interrupt_read()

    async def wait_until_fresh(self, since: float, timeout: float) -> bool:
        """Wait until all that was in the topic at ``since`` is applied; ``False`` on timeout."""
        deadline = self._clock.monotonic() + timeout
        if self.fresh_at < since:
            await self.request_read()
        while self.fresh_at < since:
            seen_count = self.changed.count
            remaining = deadline - self._clock.monotonic()
            if remaining <= 0:
                return False
            await self.changed.wait(seen_count, remaining)
        return True

    async def run(self) -> None:
        """Read the topic until cancelled."""
        while True:
            self.suspended = not self._is_wanted()
            if self.suspended:
                self._discard_position()
                await self._wait_for_request(SUSPENDED_CHECK_SECONDS)
                continue
            sent_at = self._clock.monotonic()
            try:
                await self._read_and_notify(sent_at)
            except ReadInterrupted:
                continue
            except RecordsExpired as error:
                self._journal.log(Part.LOG, f'starts again from a snapshot: {error}.')
                self._offset = None
                # Pages of a snapshot are read one after the other: a job that ended meanwhile
                # may be in none of them. It then counted as unknown, and clients were answered 410,
                # until the records after the snapshot had been read.
                self.fresh_at = NEVER
            except StoreError as error:
                self._read_size.halve_after_failure()
                self._record_read_failure(error, sent_at)
                await curio.sleep(RETRY_SECONDS)

    async def _read_and_notify(self, sent_at: float) -> None:
        offset_before = self._offset
        reached_end = await self._read_snapshot_or_batch()
        self._record_read_answer()
        if reached_end:
            self.fresh_at = sent_at
        await self.changed.notify()
        # Without a pause, an answer without records would lead to a busy loop.
        if reached_end or self._offset == offset_before:
            await self._wait_for_request(self._get_pause())

    def _discard_position(self) -> None:
        self._offset = None
        self.fresh_at = NEVER
        self.reachable_since = NEVER

    async def _wait_for_request(self, seconds: float) -> None:
        await curio.ignore_after(seconds, self._read_requested.wait)
        self._read_requested.clear()

    async def _read_snapshot_or_batch(self) -> bool:
        """Read once; return whether the end of the topic was reached."""
        if self._offset is None:
            snapshot = await self._topic.snapshot()
            self._projection.load_snapshot(snapshot)
            self._offset = snapshot.next_offset
            self.read_from = self.read_from or snapshot.next_offset
            return False
        # The end of the topic is not known after a snapshot, and an owner starts nothing until it
        # is: a read that waits for new records would delay that.
        wait = self._max_wait if self.has_reached_end else 0.0
        self._wait_ends_at = self._clock.monotonic() + wait
        batch = await self._topic.read(self._offset, wait, self._read_size.bytes)
        self._read_size.adjust_after_read(reached_end=batch.reached_end)
        self._projection.apply(batch)
        skips = self._skips_backlog and not batch.reached_end
        self._offset = None if skips else batch.next_offset
        return batch.reached_end

    def _record_read_answer(self) -> None:
        self.answered_at = self._clock.monotonic()
        if self.reachable_since == NEVER:
            self.reachable_since = self._clock.monotonic()
            self._journal.log(Part.LOG, f'reaches the store: {self._name}.')

    def _record_read_failure(self, error: StoreError, sent_at: float) -> None:
        self.failed_at = self._clock.monotonic()
        was_reachable = self.is_store_reachable
        if was_reachable or error.received:
            loss = 'has lost the store' if was_reachable else 'lost another read'
            self._journal.log(
                Part.LOG,
                f'{loss}: {self._name}: {error}.',
                read_seconds=seconds_or_none(self.failed_at - sent_at),
                received_bytes=error.received,
                age=seconds_or_none(self.age(self.failed_at)),
            )
        self.reachable_since = NEVER
