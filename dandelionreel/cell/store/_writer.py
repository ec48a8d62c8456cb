"""Group commit: everything that waits goes into one append, the newest of each key.

Load pattern: the tasks of a job end within milliseconds of each other, and each end is a newer
record of the same job. Only the last of those that wait is appended.
"""

import enum
import random
from collections import deque
from collections.abc import Sequence
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

#: Records of one append: keeps a backlog's append within a few milliseconds.
MAX_APPEND_RECORDS = 200
#: Bytes of one append, well below what the store takes at once.
MAX_APPEND_BYTES = 1_000_000
#: Bounds in seconds for an append's answer. The wait follows what was measured and doubles with
#: each miss, so that a slow store is not taken for a silent one.
MIN_TIMEOUT_SECONDS = 0.3
MAX_TIMEOUT_SECONDS = 0.9
#: Seconds that a plain writer waits for every answer: an append that is sent again while the first
#: one is queued at the store makes the queue longer.
UNFENCED_TIMEOUT_SECONDS = 0.9
#: The wait is this many times the typical answer, and doubles after each miss.
TIMEOUT_FACTOR = 8.0
#: Weight of the newest answer in the typical one.
NEWEST_LATENCY_WEIGHT = 0.2
#: Seconds of refusals or resets, and of silence, after which the store counts as out of
#: reach. Silence is also what a slow store looks like at first.
REFUSING_SECONDS = 0.2
SILENT_SECONDS = 1.0
#: Seconds for which a failed append tells something about the store.
FAILURE_MEMORY_SECONDS = 1.5
#: Seconds between tries while the store refuses or stays silent. Plain writers pause twice as long
#: after each failure, up to the longest pause, with jitter, so that they do not fill a slow store's
#: queue.
RETRY_SECONDS = 0.1
MAX_RETRY_SECONDS = 0.8


class WriteOutcome(enum.Enum):
    """What became of records that were to be written."""

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
    event: curio.Event = field(default_factory=curio.Event)


class AppendLatency:
    """How long answers take, and so how long one is worth waiting for. No I/O."""

    def __init__(self) -> None:
        """Start with a quick server."""
        self._typical_seconds = MIN_TIMEOUT_SECONDS / TIMEOUT_FACTOR
        self._backoff_factor = 1.0

    @property
    def typical_seconds(self) -> float:
        """Return how long an answer typically takes, in seconds."""
        return self._typical_seconds

    @property
    def timeout(self) -> float:
        """Return how long to wait for the next answer, in seconds."""
        wanted = max(MIN_TIMEOUT_SECONDS, self._typical_seconds * TIMEOUT_FACTOR)
        return min(MAX_TIMEOUT_SECONDS, wanted * self._backoff_factor)

    def note_answer(self, seconds: float) -> None:
        """Learn from an answer."""
        self._typical_seconds += NEWEST_LATENCY_WEIGHT * (seconds - self._typical_seconds)
        self._backoff_factor = 1.0

    def note_timeout(self) -> None:
        """Wait longer next time: the server may be slow, not silent."""
        self._backoff_factor *= 2


class GroupWriter:
    """Appends to one topic, one append at a time.

    Plain writers append records that may be repeated without harm, so an
    append without an answer is simply sent again. A fenced writer repeats the
    very same append under the same sequence number: the store answers it as
    the first time, and refuses it for good once a higher epoch has written.
    """

    def __init__(
        self,
        topic: Topic,
        clock: Clock,
        journal: Journal,
        fence: WriterFence | None = None,
    ) -> None:
        """Write to ``topic``; ``fence`` names the next append of a fenced writer."""
        self._topic = topic
        self._clock = clock
        self._journal = journal
        self._fence = fence
        self._waiting: deque[_PendingWrite] = deque()
        self._event = curio.Event()
        self._latency = AppendLatency()
        self._pause = RETRY_SECONDS
        self._failed_fast = False
        self.fenced = False
        #: How many writes were given up: their records stand nowhere, or may not.
        self.given_up = 0
        #: Since when no append has succeeded, infinite while they do.
        self.failing_since = float('inf')
        self.failed_at = float('-inf')
        #: When the latest append that was answered had been sent.
        self.stored_at = float('-inf')

    def store_is_failing(self, now: float) -> bool:
        """Return whether the store takes nothing from this host just now.

        An idle writer learns nothing, so what it knew of an outage is forgotten in time.
        """
        if now - self.failed_at > FAILURE_MEMORY_SECONDS:
            return False
        limit = REFUSING_SECONDS if self._failed_fast else SILENT_SECONDS
        return now - self.failing_since >= limit

    @property
    def typical_latency(self) -> float:
        """Return how long an append usually takes just now."""
        return self._latency.typical_seconds

    async def write(self, records: Sequence[KeyedRecord], timeout: float) -> WriteOutcome:
        """Append the records within ``patience`` seconds and tell what became of them."""
        pending = _PendingWrite(records, self._clock.monotonic() + timeout)
        self._waiting.append(pending)
        await self._event.set()
        await pending.event.wait()
        return pending.outcome or WriteOutcome.UNKNOWN

    async def run(self) -> None:
        """Append what waits, for ever."""
        while not self.fenced:
            await self._event.wait()
            self._event.clear()
            while self._waiting and not self.fenced:
                await self._append(self._take_batch())
        await self._fail_all()

    def _take_batch(self) -> list[_PendingWrite]:
        taken: list[_PendingWrite] = []
        records = 0
        size = 0
        while self._waiting and records < MAX_APPEND_RECORDS and size < MAX_APPEND_BYTES:
            pending = self._waiting.popleft()
            taken.append(pending)
            records += len(pending.records)
            size += sum(len(record.content or b'') for record in pending.records)
        return taken

    async def _append(self, writes: list[_PendingWrite]) -> None:
        while writes:
            batch = _keep_newest(writes)
            if not batch:
                # Only waits for what was written before.
                await _complete(writes, WriteOutcome.STORED)
                return
            sent_at = self._clock.monotonic()
            try:
                await self._topic.append(batch, self._timeout, self._fence)
            except FencedError as error:
                self._journal.tell(Part.LOG, f'lost the right to write: {error}.')
                self.fenced = True
                await _complete(writes, WriteOutcome.FENCED)
                return
            except StoreError as error:
                self._journal.tell_frequent(
                    Part.LOG,
                    f'an append failed: {error}.',
                    verdict=error.verdict.value,
                    records=len(batch),
                )
                self.failed_at = self._clock.monotonic()
                self._failed_fast = self.failed_at - sent_at < self._timeout / 2
                if not self._failed_fast:
                    self._latency.note_timeout()
                self.failing_since = min(self.failing_since, sent_at)
                writes = await self._retry(writes, error)
                continue
            self._latency.note_answer(self._clock.monotonic() - sent_at)
            self._pause = RETRY_SECONDS
            self.failing_since = float('inf')
            self.stored_at = sent_at
            if self._fence is not None:
                self._fence = WriterFence(self._fence.epoch, self._fence.sequence + 1)
            await _complete(writes, WriteOutcome.STORED)
            return

    async def _retry(self, writes: list[_PendingWrite], error: StoreError) -> list[_PendingWrite]:
        """Return the entries that are tried again, after a pause."""
        now = self._clock.monotonic()
        kept = []
        for pending in writes:
            pending.in_doubt = pending.in_doubt or error.verdict is not Verdict.NOT_RUN
            # What a fenced append holds must stay the same until it is known
            # not to have taken place.
            if now < pending.deadline or (self._fence is not None and pending.in_doubt):
                kept.append(pending)
                continue
            await self._abandon(pending)
        await self._abandon_expired(now)
        if kept:
            await curio.sleep(self._pause)
        if self._fence is None:
            longer = min(MAX_RETRY_SECONDS, 2 * self._pause)
            self._pause = longer * (1 - random.random() / 2)
        return kept

    async def _abandon_expired(self, now: float) -> None:
        """Give up what has waited too long behind an append that fails; it was never sent.

        Only who knows that may ask another host.
        """
        expired = [pending for pending in self._waiting if pending.deadline <= now]
        # Taken out without a pause: what is queued meanwhile stays behind all that waits, or
        # an older record of a job could land behind its newest.
        self._waiting = deque(pending for pending in self._waiting if now < pending.deadline)
        for pending in expired:
            await self._abandon(pending)

    async def _abandon(self, pending: _PendingWrite) -> None:
        self.given_up += 1
        pending.outcome = WriteOutcome.UNKNOWN if pending.in_doubt else WriteOutcome.REFUSED
        await pending.event.set()

    @property
    def _timeout(self) -> float:
        return UNFENCED_TIMEOUT_SECONDS if self._fence is None else self._latency.timeout

    async def _fail_all(self) -> None:
        await _complete(self._waiting, WriteOutcome.FENCED)
        self._waiting.clear()


def _keep_newest(writes: Sequence[_PendingWrite]) -> list[KeyedRecord]:
    """Return the newest record of each key: of one append, the store keeps no other."""
    record_by_key: dict[str, KeyedRecord] = {}
    for pending in writes:
        for record in pending.records:
            record_by_key.pop(record.key, None)
            record_by_key[record.key] = record
    return list(record_by_key.values())


async def _complete(
    writes: Sequence[_PendingWrite] | deque[_PendingWrite], outcome: WriteOutcome
) -> None:
    for pending in writes:
        pending.outcome = outcome
        await pending.event.set()
