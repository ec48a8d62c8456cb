"""Reading a stream of the log up to its tail, and group commits to it.

Each record has the id of its writer and a number that grows with each record of that
writer. The reader drops a record whose number is not above the last one of its writer,
so a record that was appended twice because the first response was lost is processed
only once.
"""

from collections.abc import Callable
from dataclasses import dataclass, field
from typing import Any

import curio
import msgspec

from dandelionreel.backing._log import LogError, LogService, LogTruncatedError
from dandelionreel.kernel import ChangeNotifier, Clock, Verdict

WRITE_RETRY_SECONDS = 0.25
READ_RETRY_SECONDS = 0.25
#: The decoder raises ``RecursionError`` for a value that is nested too deeply.
DECODE_ERRORS = (msgspec.MsgspecError, UnicodeDecodeError, RecursionError)


class Envelope(msgspec.Struct, frozen=True):
    """A record as stored: writer, number, Unix time of writing and content."""

    writer: str
    number: int
    wall: float
    body: msgspec.Raw


@dataclass(frozen=True)
class Position:
    """Offset of a record, its writer and the Unix time of writing."""

    offset: int
    writer: str
    written_at: float


RecordHandler = Callable[[msgspec.Struct, Position], None]


class StreamReader:
    """Passes the records of one stream to handlers in log order and tracks how current it is.

    ``evidence_at`` is the monotonic time up to which all records are known to be read.
    """

    def __init__(self, log: LogService, stream: str, clock: Clock, records: Any) -> None:
        """Read ``stream`` from its oldest record; ``records`` is the union of its record types."""
        self._log = log
        self._clock = clock
        self._decoder = msgspec.json.Decoder(records)
        self._handlers: list[RecordHandler] = []
        self._reset_callbacks: list[Callable[[], None]] = []
        self._last_by_writer: dict[str, int] = {}
        self.stream = stream
        self.offset = 0
        self.evidence_at = float('-inf')
        self.caught_up = False
        self.changed = ChangeNotifier()
        self.outage_since: float | None = None
        self.outage_seconds = 0.0
        self.read_seconds = 0.0
        self.truncations = 0
        #: Offset at which reading began.
        self._first_offset = 0
        #: Unix time at which the record at that offset was written, ``None`` until it is read.
        self._first_written_at: float | None = None
        #: Number of records that could not be decoded.
        self.unreadable = 0

    def add_handler(self, handler: RecordHandler, reset: Callable[[], None]) -> None:
        """Call ``handler`` for every record, and ``reset`` before the stream is read anew."""
        self._handlers.append(handler)
        self._reset_callbacks.append(reset)

    def has_seen(self, writer: str, number: int) -> bool:
        """Return whether this record of that writer has been processed."""
        return self._last_by_writer.get(writer, -1) >= number

    def covers_last_seconds(self, seconds: float) -> bool:
        """Return whether all records of the last ``seconds`` have been read.

        Facts that still hold are written again at fixed intervals. A fact without a
        record in a section of the log that is longer than this interval has ceased to hold.
        """
        if self._first_offset == 0:
            return True
        if self._first_written_at is None:
            return False
        return self._clock.unix_time() - self._first_written_at >= seconds

    async def run(self, wait: float) -> None:
        """Follow the stream forever; each read waits up to ``wait`` seconds for records."""
        while True:
            try:
                await self.read_once(wait if self.caught_up else 0)
            except LogError:
                self._record_outage_start()
                await curio.sleep(READ_RETRY_SECONDS)

    async def read_once(self, wait: float) -> None:
        """Read and process one batch; raises ``LogError``."""
        # The batch is only known to be complete up to the time of the request:
        # a claim may have been appended at any moment after that.
        requested_at = self._clock.monotonic()
        try:
            batch = await self._log.read(self.stream, self.offset, wait)
        except LogTruncatedError as error:
            self._restart_reading_from(error.first)
            return
        if self._first_written_at is None and batch.reached_tail and not batch.records:
            self._first_written_at = self._clock.unix_time()
        if batch.tail < self.offset:
            self._restart_reading_from(0)
            return
        for index, text in enumerate(batch.records):
            self._process_record(text, batch.offset + index)
        self.offset = batch.next_offset
        if batch.reached_tail:
            self._record_caught_up(requested_at)
        await self.changed.notify()

    def _process_record(self, text: bytes, offset: int) -> None:
        try:
            envelope = msgspec.json.decode(text, type=Envelope)
        except DECODE_ERRORS:
            self.unreadable += 1
            return
        if self._first_written_at is None:
            self._first_written_at = envelope.wall
        if self.has_seen(envelope.writer, envelope.number):
            return
        self._last_by_writer[envelope.writer] = envelope.number
        position = Position(offset, envelope.writer, envelope.wall)
        try:
            record = self._decoder.decode(envelope.body)
        except DECODE_ERRORS:
            # A newer version of the daemon may write record types that this one does not know.
            self.unreadable += 1
            return
        for handler in self._handlers:
            handler(record, position)

    def _restart_reading_from(self, first: int) -> None:
        # Records have expired before they were read, so the state built so far may be
        # stale. Each fact that still holds is written again within a third of the
        # retention period, so the remaining records contain the whole state.
        self.truncations += 1
        self.offset = first
        self._first_offset = first
        self._first_written_at = None
        self.caught_up = False
        self._last_by_writer.clear()
        for reset in self._reset_callbacks:
            reset()

    def _record_caught_up(self, requested_at: float) -> None:
        now = self._clock.monotonic()
        self.evidence_at = requested_at
        self.read_seconds = now - requested_at
        self.caught_up = True
        if self.outage_since is not None:
            self.outage_seconds += now - self.outage_since
            self.outage_since = None

    def _record_outage_start(self) -> None:
        if self.outage_since is None:
            self.outage_since = self._clock.monotonic()


@dataclass
class _PendingRecord:
    number: int
    text: bytes
    deadline: float
    verdict: Verdict = Verdict.NOT_RUN
    done: curio.Event = field(default_factory=curio.Event)


class StreamWriter:
    """Appends records in groups and waits until they are read back.

    Only one append is in progress at a time. The next group is sent once all records
    of the previous one were read back, known to be missing or timed out, so numbers
    reach the log in order.
    """

    def __init__(
        self,
        log: LogService,
        reader: StreamReader,
        writer: str,
        clock: Clock,
        group_records: int = 256,
    ) -> None:
        """Write as ``writer`` to the stream that ``reader`` follows."""
        self._log = log
        self._reader = reader
        self._writer = writer
        self._clock = clock
        self._group_records = group_records
        self._next_number = 0
        self._pending: list[_PendingRecord] = []
        self._changed = ChangeNotifier()
        self.appends = 0
        self.records = 0
        self.append_seconds = 0.0

    async def write(self, body: msgspec.Struct, timeout: float) -> None:
        """Append a record and wait until it has been read back from the log.

        Raises ``LogError`` after ``timeout`` seconds; its verdict says whether the
        record may be in the log, or still reach it.
        """
        text = msgspec.json.encode(body)
        envelope = Envelope(
            self._writer,
            self._next_number,
            round(self._clock.unix_time(), 3),
            msgspec.Raw(text),
        )
        entry = _PendingRecord(
            self._next_number,
            msgspec.json.encode(envelope),
            self._clock.monotonic() + timeout,
        )
        self._next_number += 1
        self._pending.append(entry)
        await self._changed.notify()
        await curio.ignore_after(timeout, entry.done.wait)
        if self._reader.has_seen(self._writer, entry.number):
            return
        if entry in self._pending:
            self._pending.remove(entry)
        raise LogError('the record was not read back in time', entry.verdict)

    async def run(self) -> None:
        """Append pending records, forever."""
        while True:
            seen_count = self._changed.count
            if self._pending:
                await self._append_group()
                continue
            await self._changed.wait(seen_count, 60)

    async def _append_group(self) -> None:
        group = self._pending[: self._group_records]
        earlier_verdicts = [entry.verdict for entry in group]
        for entry in group:
            entry.verdict = Verdict.UNKNOWN
        started_at = self._clock.monotonic()
        try:
            await self._log.append(self._reader.stream, [entry.text for entry in group])
        except LogError as error:
            if error.verdict is Verdict.NOT_RUN:
                # An earlier append of a record may still take effect, so that its verdict
                # stays UNKNOWN; only a first attempt is known not to be in the log.
                for entry, verdict in zip(group, earlier_verdicts, strict=True):
                    entry.verdict = verdict
            await self._wait_after_failure(group)
            return
        self.appends += 1
        self.records += len(group)
        self.append_seconds = self._clock.monotonic() - started_at
        await self._wait_for_readback(group, started_at)

    async def _wait_after_failure(self, group: list[_PendingRecord]) -> None:
        """Wait for a read that began after the failure before the next append.

        The append may have taken effect with only its response lost.
        """
        await self._wait_for_readback(group, self._clock.monotonic())
        await curio.sleep(WRITE_RETRY_SECONDS)

    async def _wait_for_readback(self, group: list[_PendingRecord], since: float) -> None:
        while True:
            count = self._reader.changed.count
            for entry in group:
                if self._reader.has_seen(self._writer, entry.number):
                    self._remove_pending(entry)
                    await entry.done.set()
            remaining = [entry for entry in group if entry in self._pending]
            if not remaining or self._reader.evidence_at > since:
                return
            if all(entry.deadline <= self._clock.monotonic() for entry in remaining):
                return
            await self._reader.changed.wait(count, WRITE_RETRY_SECONDS)

    def _remove_pending(self, entry: _PendingRecord) -> None:
        if entry in self._pending:
            self._pending.remove(entry)
