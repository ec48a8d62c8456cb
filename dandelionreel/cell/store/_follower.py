"""Follows a topic: a snapshot first, then every record in order."""

import abc
from collections.abc import Callable

import curio

from dandelionreel.cell.model import RecordBatch, RecordsExpired, StoreError, Topic
from dandelionreel.kernel import Clock, Journal, Part, Signal

#: Seconds between tries while the store is out of reach.
RETRY_SECONDS = 0.15
#: Seconds between looks whether a topic that is left alone is wanted again.
SUSPENDED_CHECK_SECONDS = 0.5
#: Bytes of one read at first, and the fewest and most. A record may have as many as the
#: fewest: asked for less, a store might never send it.
INITIAL_READ_BYTES = 524_288
MIN_READ_BYTES = 262_144
MAX_READ_BYTES = 1_048_576
NEVER = float('-inf')


def _always() -> bool:
    return True


class Projection(abc.ABC):
    """Takes the records of a topic."""

    @abc.abstractmethod
    def load_snapshot(self, snapshot: RecordBatch) -> None:
        """Forget what was known and take a snapshot."""

    @abc.abstractmethod
    def fold(self, batch: RecordBatch) -> None:
        """Take the records that follow."""


class ReadSize:
    """How many bytes to ask for at once. No I/O.

    Load pattern: a host with a slow link has missed more than one read can bring in time. A read
    that fails is followed by one of half its size, and what failed is not asked for again before
    the end has been reached.
    """

    def __init__(self) -> None:
        """Start with what takes a second on such a link."""
        self.bytes = INITIAL_READ_BYTES
        self._max_bytes = MAX_READ_BYTES

    def note_failure(self) -> None:
        """Ask for less."""
        self.bytes = max(MIN_READ_BYTES, self.bytes // 2)
        self._max_bytes = self.bytes

    def note_answer(self, *, reached_end: bool) -> None:
        """Ask for more where there is more."""
        if reached_end:
            self._max_bytes = MAX_READ_BYTES
            return
        self.bytes = min(self._max_bytes, 2 * self.bytes)


class Follower:
    """Keeps a folder up to date with its topic, and knows how fresh it is."""

    def __init__(
        self,
        name: str,
        topic: Topic,
        projection: Projection,
        clock: Clock,
        journal: Journal,
        wait: float,
        pause: Callable[[], float],
        is_wanted: Callable[[], bool] = _always,
    ) -> None:
        """Wait up to ``wait`` seconds for news, and ``pause()`` between reads.

        The pause gathers the records of a busy topic into fewer reads, each of
        which is a call to the store that somebody pays for. While the topic is not
        ``wanted`` nothing is read; then it begins again with a snapshot.
        """
        self._name = name
        self._topic = topic
        self._projection = projection
        self._clock = clock
        self._journal = journal
        self._wait = wait
        self._pause = pause
        self._is_wanted = is_wanted
        #: Whether the topic is left alone because it is not wanted.
        self.suspended = False
        self._read_requested = curio.Event()
        self._offset: int | None = None
        self._read_size = ReadSize()
        #: Offset behind the first snapshot of this process's life.
        self.read_from = 0
        #: Everything that was in the topic at this time has been folded.
        self.fresh_at = NEVER
        #: Since when reads have been answered without a failure.
        self.reachable_since = NEVER
        self.lost_at = NEVER
        #: When the store last answered a read.
        self.answered_at = NEVER
        self.changed = Signal()

    @property
    def started(self) -> bool:
        """Return whether a snapshot has been folded."""
        return self._offset is not None

    @property
    def reached(self) -> bool:
        """Return whether the latest read was answered."""
        return self.reachable_since != NEVER

    @property
    def complete(self) -> bool:
        """Return whether all that stood in the topic at some time has been folded."""
        return self.fresh_at != NEVER

    @property
    def offset(self) -> int:
        """Return the offset behind the last record folded."""
        return self._offset or 0

    def age(self, now: float) -> float:
        """Return the greatest age of what has been folded, in seconds."""
        return now - self.fresh_at

    async def read_now(self) -> None:
        """Read now instead of after the pause."""
        await self._read_requested.set()

    async def wait_fresh(self, since: float, timeout: float) -> bool:
        """Wait until all that was in the topic at ``since`` has been folded."""
        deadline = self._clock.monotonic() + timeout
        if self.fresh_at < since:
            await self.read_now()
        while self.fresh_at < since:
            seen_count = self.changed.count
            remaining = deadline - self._clock.monotonic()
            if remaining <= 0:
                return False
            await self.changed.wait(seen_count, remaining)
        return True

    async def run(self) -> None:
        """Follow for ever."""
        while True:
            self.suspended = not self._is_wanted()
            if self.suspended:
                self._reset()
                await self._wait_for_request(SUSPENDED_CHECK_SECONDS)
                continue
            try:
                await self._follow_once()
            except RecordsExpired as error:
                self._journal.tell(Part.LOG, f'starts again from a snapshot: {error}.')
                self._offset = None
                # Pages of a snapshot are read one after the other: until what followed
                # has been read too, a job that ended meanwhile is in none of them, and
                # would count as unknown (clients were answered 410).
                self.fresh_at = NEVER
            except StoreError as error:
                self._read_size.note_failure()
                self._note_failure(error)
                await curio.sleep(RETRY_SECONDS)

    async def _follow_once(self) -> None:
        sent_at = self._clock.monotonic()
        offset_before = self._offset
        reached = await self._step()
        self._note_answer()
        if reached:
            self.fresh_at = sent_at
        await self.changed.notify()
        # An answer without records would else be asked for again at once, for ever.
        if reached or self._offset == offset_before:
            await self._wait_for_request(self._pause())

    def _reset(self) -> None:
        self._offset = None
        self.fresh_at = NEVER
        self.reachable_since = NEVER

    async def _wait_for_request(self, seconds: float) -> None:
        await curio.ignore_after(seconds, self._read_requested.wait)
        self._read_requested.clear()

    async def _step(self) -> bool:
        """Read once; return whether the end of the topic was reached."""
        if self._offset is None:
            snapshot = await self._topic.snapshot()
            self._projection.load_snapshot(snapshot)
            self._offset = snapshot.next_offset
            self.read_from = self.read_from or snapshot.next_offset
            return False
        batch = await self._topic.read(self._offset, self._wait, self._read_size.bytes)
        self._read_size.note_answer(reached_end=batch.reached_end)
        self._projection.fold(batch)
        self._offset = batch.next_offset
        return batch.reached_end

    def _note_answer(self) -> None:
        self.answered_at = self._clock.monotonic()
        if self.reachable_since == NEVER:
            self.reachable_since = self._clock.monotonic()
            self._journal.tell(Part.LOG, f'reaches the store: {self._name}.')

    def _note_failure(self, error: StoreError) -> None:
        self.lost_at = self._clock.monotonic()
        if self.reachable_since != NEVER:
            self._journal.tell(Part.LOG, f'has lost the store: {self._name}: {error}.')
        self.reachable_since = NEVER
