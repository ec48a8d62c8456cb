"""An in-memory topic of the platform's store with faults that tests inject."""

from collections import deque
from collections.abc import Sequence
from contextlib import suppress

import curio

from dandelionreel.cell.model import (
    ConflictError,
    FencedError,
    KeyedRecord,
    RecordBatch,
    RecordsExpired,
    StoreError,
    Topic,
    WriterFence,
)
from dandelionreel.kernel import Verdict


class MemoryTopic(Topic):
    """Keeps all records, and the epoch and the sequence of the fenced writer.

    Each append takes one of the ``faults``: ``refuse`` rejects it, ``lose`` appends
    but loses the answer, ``silence`` does nothing and never answers, ``late``
    doesn't answer and appends once ``apply_late_appends`` is called, ``grow`` lets
    another writer append first.
    """

    def __init__(self) -> None:
        """Start empty."""
        self.records: list[KeyedRecord] = []
        self.first = 0
        self.faults: deque[str] = deque()
        self.down = False
        self.appends = 0
        self._epoch = 0
        self._offset_by_sequence: dict[int, int] = {}
        self._next_sequence = 0
        self._late: list[tuple[Sequence[KeyedRecord], WriterFence | None, int | None]] = []

    async def append(
        self,
        records: Sequence[KeyedRecord],
        timeout: float,
        fence: WriterFence | None = None,
        expected_end: int | None = None,
    ) -> int:
        """Append, or fail with the next fault."""
        self.appends += 1
        fault = self.faults.popleft() if self.faults else ''
        if self.down or fault == 'refuse':
            raise StoreError('refused', Verdict.NOT_RUN)
        if fault == 'silence':
            await curio.sleep(timeout)
            raise StoreError('no answer', Verdict.UNKNOWN)
        if fault == 'late':
            self._late.append((records, fence, expected_end))
            raise StoreError('no answer', Verdict.UNKNOWN)
        if fault == 'grow':
            self._append([KeyedRecord('other', b'{}')], None, None)
        offset = self._append(records, fence, expected_end)
        if fault == 'lose':
            raise StoreError('the answer was lost', Verdict.UNKNOWN)
        return offset

    def apply_late_appends(self) -> None:
        """Apply the delayed appends whose conditions still hold."""
        for records, fence, expected_end in self._late:
            with suppress(StoreError):
                self._append(records, fence, expected_end)
        self._late.clear()

    async def read(self, offset: int, wait: float, max_bytes: int) -> RecordBatch:
        """Return the records from ``offset`` on, after a short wait if there are none."""
        if self.down:
            raise StoreError('refused', Verdict.NOT_RUN)
        if offset < self.first:
            raise RecordsExpired('the records have expired')
        if offset >= len(self.records):
            await curio.sleep(min(wait, 0.01))
        records = tuple(self.records[offset:])
        return RecordBatch(records, offset + len(records), len(self.records))

    async def snapshot(self) -> RecordBatch:
        """Return the newest record of each key."""
        if self.down:
            raise StoreError('refused', Verdict.NOT_RUN)
        newest = {record.key: record for record in self.records}
        kept = tuple(record for record in newest.values() if record.content)
        return RecordBatch(kept, len(self.records), len(self.records))

    async def close(self) -> None:
        """Do nothing: no connection is open."""

    def _append(
        self,
        records: Sequence[KeyedRecord],
        fence: WriterFence | None,
        expected_end: int | None,
    ) -> int:
        if fence is not None and self._is_repeated(fence):
            return self._offset_by_sequence[fence.sequence]
        if expected_end is not None and expected_end != len(self.records):
            raise ConflictError('the topic has grown', Verdict.NOT_RUN)
        offset = len(self.records)
        for number, record in enumerate(records):
            self.records.append(KeyedRecord(record.key, record.content, offset + number))
        if fence is not None:
            self._offset_by_sequence[fence.sequence] = offset
            self._next_sequence = fence.sequence + 1
        return offset

    def _is_repeated(self, fence: WriterFence) -> bool:
        """Return whether the append was applied before; raises ``FencedError``."""
        if fence.epoch < self._epoch:
            raise FencedError('fenced', Verdict.NOT_RUN)
        if fence.epoch > self._epoch:
            self._epoch = fence.epoch
            self._offset_by_sequence.clear()
            return False
        if fence.sequence in self._offset_by_sequence:
            return True
        if fence.sequence != self._next_sequence:
            raise FencedError('seq', Verdict.NOT_RUN)
        return False
