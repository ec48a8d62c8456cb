"""Group commit: all waiting records go into one append, only the newest of each key.

Load pattern: the tasks of a job end within milliseconds of each other, and each end leads to a
newer record of the same job. Only the newest waiting one is appended.
"""

import enum
import random
from collections import deque
from collections.abc import Callable, Sequence
from dataclasses import dataclass, field

import curio

from dandelionreel.cell.model import (
    FencedError,
    KeyedRecord,
    StoreError,
    Topic,
    WriterFence,
)
from dandelionreel.kernel import Clock, Journal, Part, Verdict

#: Number of records at which an append takes no further writes, so that it lasts a few
#: milliseconds.
MAX_APPEND_RECORDS = 200
#: Size at which an append takes no further writes, well below the store's limit for one append.
MAX_APPEND_BYTES = 1_000_000
#: Bounds of a fenced append's timeout. It follows the measured latency and doubles with each
#: timeout, so that a slow store is not taken for a silent one.
MIN_TIMEOUT_SECONDS = 0.3
MAX_TIMEOUT_SECONDS = 0.9
#: Timeout of unfenced appends, which is constant: an append that is sent again while the first one
#: is queued at the store makes the queue longer.
UNFENCED_TIMEOUT_SECONDS = 0.9
#: Ratio of the timeout to the typical latency.
TIMEOUT_FACTOR = 8.0
#: Weight of the newest latency in the moving average.
NEWEST_LATENCY_WEIGHT = 0.2
#: Seconds of refused or reset connections, and of unanswered appends, after which the store counts
#: as failing. The second is longer, as a slow store does not answer in time at first.
REFUSING_SECONDS = 0.2
SILENT_SECONDS = 1.0
#: Seconds after which a failed append says nothing about the store any more.
FAILURE_MEMORY_SECONDS = 1.5
#: Seconds between attempts while appends fail. Unfenced writers double the pause after each
#: failure, up to the maximum, with jitter, so that they do not fill a slow store's queue.
RETRY_SECONDS = 0.1
MAX_RETRY_SECONDS = 0.8
#: Seconds for which records that are added to an append may be sent again.
ADDED_RECORDS_TIMEOUT = 9.0


GetRecords = Callable[[], Sequence[KeyedRecord]]


def _get_no_records() -> Sequence[KeyedRecord]:
    return ()


class WriteOutcome(enum.Enum):
    """What became of records that were to be written; ``UNKNOWN`` ones may be stored."""

    STORED = 'stored'
    REFUSED = 'refused'
    UNKNOWN = 'unknown'
    FENCED = 'fenced'


@dataclass
class _PendingWrite:
    records: Sequence[KeyedRecord]
    deadline: float
    in_doubt: bool = False
    outcome: WriteOutcome | None = None
    completed: curio.Event = field(default_factory=curio.Event)


class AppendLatency:
    """Moving average of the latency of appends, and the timeout derived from it. No I/O."""

    def __init__(self) -> None:
        """Assume a fast store, whose timeout is the minimum."""
        self._typical_seconds = MIN_TIMEOUT_SECONDS / TIMEOUT_FACTOR
        self._backoff_factor = 1.0

    @property
    def typical_seconds(self) -> float:
        """Return the moving average of the latency in seconds."""
        return self._typical_seconds

    @property
    def timeout(self) -> float:
        """Return the timeout of the next append in seconds."""
        wanted = max(MIN_TIMEOUT_SECONDS, self._typical_seconds * TIMEOUT_FACTOR)
        return min(MAX_TIMEOUT_SECONDS, wanted * self._backoff_factor)

    def add_latency(self, seconds: float) -> None:
        """Update the average by the latency of an answered append."""
        self._typical_seconds += NEWEST_LATENCY_WEIGHT * (seconds - self._typical_seconds)
        self._backoff_factor = 1.0

    def double_next_timeout(self) -> None:
        """Double the next timeout: the store may be slow, not silent."""
        self._backoff_factor *= 2


class GroupWriter:
    """Appends to one topic, one append at a time.

    The records of an unfenced writer are idempotent, so an append without an answer is simply
    sent again. A fenced writer repeats the identical append under the same sequence number: the
    store answers it as the first time, and refuses it once a higher epoch has written.
    """

    def __init__(
        self,
        topic: Topic,
        clock: Clock,
        journal: Journal,
        fence: WriterFence | None = None,
    ) -> None:
        """Write to ``topic``; ``fence`` has the epoch and sequence number of the next append."""
        self._topic = topic
        self._clock = clock
        self._journal = journal
        self._fence = fence
        self._waiting_writes: deque[_PendingWrite] = deque()
        self._write_queued = curio.Event()
        self._latency = AppendLatency()
        self._retry_pause = RETRY_SECONDS
        self._last_failure_was_fast = False
        self.fenced = False
        #: How many writes were abandoned: their records are not stored, or may not be.
        self.abandoned_count = 0
        #: Since when no append has succeeded, infinite while appends succeed.
        self.failing_since = float('inf')
        self.failed_at = float('-inf')
        #: When the latest successful append was sent.
        self.stored_at = float('-inf')
        #: Returns records that are overdue and go with the next append, whatever it contains.
        self.get_overdue_records: GetRecords = _get_no_records

    def store_is_failing(self, now: float) -> bool:
        """Return whether the store currently accepts no appends of this host.

        An idle writer does not notice the end of an outage, so a failure expires after a while.
        """
        if now - self.failed_at > FAILURE_MEMORY_SECONDS:
            return False
        limit = REFUSING_SECONDS if self._last_failure_was_fast else SILENT_SECONDS
        return now - self.failing_since >= limit

    @property
    def typical_latency(self) -> float:
        """Return the moving average of an append's latency in seconds."""
        return self._latency.typical_seconds

    async def write(self, records: Sequence[KeyedRecord], timeout: float) -> WriteOutcome:
        """Append the records within ``timeout`` seconds and return what became of them."""
        pending = _PendingWrite(records, self._clock.monotonic() + timeout)
        self._waiting_writes.append(pending)
        await self._write_queued.set()
        await pending.completed.wait()
        return pending.outcome or WriteOutcome.UNKNOWN

    async def run(self) -> None:
        """Append waiting records until the writer is fenced off."""
        while not self.fenced:
            await self._write_queued.wait()
            self._write_queued.clear()
            while self._waiting_writes and not self.fenced:
                await self._append_writes(self._take_waiting_writes())
        await self._fail_waiting_writes()

    def _take_waiting_writes(self) -> list[_PendingWrite]:
        taken: list[_PendingWrite] = []
        overdue = self.get_overdue_records()
        if overdue:
            # First, so that a waiting record of the same key replaces it.
            taken.append(_PendingWrite(overdue, self._clock.monotonic() + ADDED_RECORDS_TIMEOUT))
        records = 0
        size = 0
        while self._waiting_writes and records < MAX_APPEND_RECORDS and size < MAX_APPEND_BYTES:
            pending = self._waiting_writes.popleft()
            taken.append(pending)
            records += len(pending.records)
            size += sum(len(record.content or b'') for record in pending.records)
        return taken

    async def _append_writes(self, writes: list[_PendingWrite]) -> None:
        while writes:
            batch = _keep_newest_records(writes)
            if not batch:
                # A write without records only waits for those before it.
                await _complete_writes(writes, WriteOutcome.STORED)
                return
            sent_at = self._clock.monotonic()
            try:
                await self._topic.append(batch, self._append_timeout, self._fence)
            except FencedError as error:
                self._journal.log(Part.LOG, f'the store has fenced off this writer: {error}.')
                self.fenced = True
                await _complete_writes(writes, WriteOutcome.FENCED)
                return
            except StoreError as error:
                self._journal.log_sampled(
                    Part.LOG,
                    f'an append failed: {error}.',
                    verdict=error.verdict.value,
                    records=len(batch),
                )
                self.failed_at = self._clock.monotonic()
                self._last_failure_was_fast = self.failed_at - sent_at < self._append_timeout / 2
                if not self._last_failure_was_fast:
                    self._latency.double_next_timeout()
                self.failing_since = min(self.failing_since, sent_at)
                writes = await self._keep_retryable_writes(writes, error)
                continue
            self._latency.add_latency(self._clock.monotonic() - sent_at)
            self._retry_pause = RETRY_SECONDS
            self.failing_since = float('inf')
            self.stored_at = sent_at
            if self._fence is not None:
                self._fence = WriterFence(self._fence.epoch, self._fence.sequence + 1)
            await _complete_writes(writes, WriteOutcome.STORED)
            return

    async def _keep_retryable_writes(
        self, writes: list[_PendingWrite], error: StoreError
    ) -> list[_PendingWrite]:
        """Pause, and return the writes that are to be sent again; abandon the others."""
        now = self._clock.monotonic()
        kept = []
        for pending in writes:
            pending.in_doubt = pending.in_doubt or error.verdict is not Verdict.NOT_RUN
            # The content of a fenced append must not change until it is known that the store
            # has not executed it.
            if now < pending.deadline or (self._fence is not None and pending.in_doubt):
                kept.append(pending)
                continue
            await self._abandon_write(pending)
        await self._abandon_expired_writes(now)
        if kept:
            await curio.sleep(self._retry_pause)
        if self._fence is None:
            doubled_pause = min(MAX_RETRY_SECONDS, 2 * self._retry_pause)
            self._retry_pause = doubled_pause * (1 - random.random() / 2)
        return kept

    async def _abandon_expired_writes(self, now: float) -> None:
        """Abandon writes that have waited too long behind a failing append.

        They were never sent and are reported as such: only then may the caller ask another host.
        """
        expired = [pending for pending in self._waiting_writes if pending.deadline <= now]
        # No await between these two statements: writes that are queued meanwhile must stay behind
        # all waiting ones, or an older record of a job could be appended after its newest.
        self._waiting_writes = deque(
            pending for pending in self._waiting_writes if now < pending.deadline
        )
        for pending in expired:
            await self._abandon_write(pending)

    async def _abandon_write(self, pending: _PendingWrite) -> None:
        self.abandoned_count += 1
        pending.outcome = WriteOutcome.UNKNOWN if pending.in_doubt else WriteOutcome.REFUSED
        await pending.completed.set()

    @property
    def _append_timeout(self) -> float:
        return UNFENCED_TIMEOUT_SECONDS if self._fence is None else self._latency.timeout

    async def _fail_waiting_writes(self) -> None:
        await _complete_writes(self._waiting_writes, WriteOutcome.FENCED)
        self._waiting_writes.clear()


def _keep_newest_records(writes: Sequence[_PendingWrite]) -> list[KeyedRecord]:
    """Return the newest record of each key; the store would keep no others of one append."""
    record_by_key: dict[str, KeyedRecord] = {}
    for pending in writes:
        for record in pending.records:
            record_by_key.pop(record.key, None)
            record_by_key[record.key] = record
    return list(record_by_key.values())


async def _complete_writes(
    writes: Sequence[_PendingWrite] | deque[_PendingWrite], outcome: WriteOutcome
) -> None:
    for pending in writes:
        pending.outcome = outcome
        await pending.completed.set()
