"""What every host knows from the store: the configuration and the jobs."""

from dandelionreel.cell.model import (
    OWNER_KEY,
    Configuration,
    KeyedRecord,
    RecordBatch,
    RecordCodec,
    UnreadableError,
    UnreadableLog,
)
from dandelionreel.cell.store._follower import Folder
from dandelionreel.cell.store._job_book import JobBook
from dandelionreel.kernel import Clock, Journal, Part, SystemClock

NEVER = float('-inf')
#: Weight of the newest gap between heartbeats in the usual one, and the longest
#: gap in seconds that counts: a change of owner is no usual gap.
GAP_WEIGHT = 0.3
LONGEST_GAP = 1.0
#: Lines on what is wrong in one configuration.
MOST_PROBLEMS = 20


class ConfigurationFolder(Folder):
    """Keeps the newest configuration that can be read; never an older one after it."""

    def __init__(
        self,
        codec: RecordCodec,
        journal: Journal,
        unreadable: UnreadableLog | None = None,
    ) -> None:
        """Start without a configuration."""
        self._codec = codec
        self._journal = journal
        self._unreadable = unreadable or UnreadableLog(
            'operator', Part.CONTRACTS, SystemClock(), journal
        )
        self.current: Configuration | None = None
        #: The record of the configuration in force, for peers that have an older one.
        self.content = b''
        #: All services that any configuration read so far has named: jobs of a queue
        #: that was dropped still run on the runners of theirs.
        self._services: set[str] = set()

    def restart(self, snapshot: RecordBatch) -> None:
        """Take the newest record of each key."""
        self.fold(snapshot)

    def fold(self, batch: RecordBatch) -> None:
        """Take the records that follow."""
        # All are decoded: the last one may be unreadable, or of another writer and older.
        for record in batch.records:
            if record.key == self._codec.configuration_key and not record.dropped:
                self._apply(record)
            elif not record.key and record.error is not None:
                self._unreadable.log_unreadable('', record.error, 'it is passed over')

    @property
    def version(self) -> int:
        """Return the version in force, 0 before the first."""
        return 0 if self.current is None else self.current.version

    def adopt(self, content: bytes, peer: str) -> bool:
        """Take a configuration that a peer has read; return whether it is newer."""
        record = KeyedRecord(self._codec.configuration_key, content)
        return self._apply(record, peer)

    def names_service(self, service: str) -> bool:
        """Return whether a configuration names the service; any one before the first."""
        return self.current is None or service in self._services

    def _apply(self, record: KeyedRecord, peer: str = '') -> bool:
        try:
            decoded = self._decode(record)
        except UnreadableError as error:
            self._unreadable.log_unreadable(record.key, error, 'the configuration in force stays')
            return False
        self._unreadable.log_readable(record.key)
        if self.current is not None and decoded.version <= self.current.version:
            return False
        self.current = decoded
        self.content = record.content or b''
        self._services.update(decoded.services)
        accounts = decoded.accounts
        self._journal.tell(
            Part.CONTRACTS,
            'a configuration is in force.',
            version=decoded.version,
            queues=len(decoded.queue_by_name),
            accounts=None if accounts is None else len(accounts.account_by_name),
            peer=peer,
        )
        if accounts is not None:
            self._log_problems(decoded.version, accounts.problems)
        return True

    def _log_problems(self, version: int, problems: list[str]) -> None:
        for problem in problems[:MOST_PROBLEMS]:
            self._journal.tell(
                Part.CONTRACTS,
                f'cannot use all of the configuration: {problem}.',
                version=version,
                problems=len(problems),
            )

    def _decode(self, record: KeyedRecord) -> Configuration:
        if record.error is not None:
            raise record.error
        return self._codec.decode_configuration(record.content or b'')


class JobFolder(Folder):
    """Folds the cell's own records and notes when the owner was last heard."""

    def __init__(
        self,
        clock: Clock,
        journal: Journal,
        unreadable: UnreadableLog | None = None,
    ) -> None:
        """Start with nothing known."""
        self._clock = clock
        self._unreadable = unreadable or UnreadableLog('cell', Part.LOG, clock, journal)
        self.book = JobBook()
        #: The owner's last sign of life in the store was no later than that.
        self.owner_heard_at = NEVER
        #: Seconds between two heartbeats, as they usually arrive.
        self.usual_gap = 0.0

    def restart(self, snapshot: RecordBatch) -> None:
        """Forget, and take the newest record of each key.

        An owner of which nothing else is known counts as heard of just now: it may have written
        right before the snapshot was read, and its leases last from then.
        """
        known = self.book.owner
        self._note_errors(snapshot.records, self.book.restart(snapshot.records))
        if self.book.owner != known:
            self.owner_heard_at = self._clock.monotonic()

    def fold(self, batch: RecordBatch) -> None:
        """Take the records that follow.

        An ownership record that cannot be read is no heartbeat: else another writer
        could keep a dead owner in office. It is no sign of silence either, so an owner
        of which nothing else is known counts as heard of just now.
        """
        known = self.book.owner
        errors = self.book.fold(batch.records)
        self._note_errors(batch.records, errors)
        now = self._clock.monotonic()
        if any(
            record.key == OWNER_KEY and error is None
            for record, error in zip(batch.records, errors, strict=True)
        ):
            gap = min(LONGEST_GAP, now - self.owner_heard_at)
            self.usual_gap += GAP_WEIGHT * (gap - self.usual_gap)
            self.owner_heard_at = now
        elif self.book.owner is not known:
            self.owner_heard_at = now

    def _note_errors(
        self,
        records: tuple[KeyedRecord, ...],
        errors: list[UnreadableError | None],
    ) -> None:
        for record, error in zip(records, errors, strict=True):
            if error is None:
                self._unreadable.log_readable(record.key)
                continue
            self._unreadable.log_unreadable(record.key, error, 'what is known of it stands')
