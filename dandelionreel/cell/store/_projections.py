"""Projections of the operator's and the cell's topics: the configuration and the jobs."""

from collections.abc import Callable

from dandelionreel.cell.model import (
    OWNER_KEY,
    Configuration,
    KeyedRecord,
    RecordBatch,
    RecordCodec,
    UnreadableError,
    UnreadableLog,
)
from dandelionreel.cell.store._cell_state import CellState
from dandelionreel.cell.store._follower import Projection
from dandelionreel.kernel import Clock, Journal, Part, SystemClock, seconds_or_none

NEVER = float('-inf')
#: Weight of the newest gap between heartbeats in the moving average, and the upper bound
#: of a gap in it: a change of owner must not distort the average.
NEWEST_GAP_WEIGHT = 0.3
MAX_GAP_SECONDS = 1.0
#: Log lines on the errors in one configuration.
MAX_LOGGED_PROBLEMS = 20
#: Name of the owner's load digest in log lines, as if it were a record of its own.
DIGEST_KEY = f'{OWNER_KEY}.load'


def _never_read() -> float:
    return -NEVER


class ConfigurationProjection(Projection):
    """Keeps the newest readable configuration; never returns to an older version."""

    def __init__(
        self,
        codec: RecordCodec,
        journal: Journal,
        unreadable: UnreadableLog | None = None,
        get_read_age: Callable[[], float] = _never_read,
    ) -> None:
        """Start without a configuration.

        ``get_read_age()`` returns how many seconds ago the topic was last read to its end.
        """
        self._codec = codec
        self._journal = journal
        self._get_read_age = get_read_age
        self._unreadable = unreadable or UnreadableLog(
            'operator', Part.CONTRACTS, SystemClock(), journal
        )
        self.current: Configuration | None = None
        #: The encoded configuration in force, to be sent to peers that have an older one.
        self.content = b''
        #: Offset after the record of the version in force, 0 where it is not known.
        self.next_offset = 0
        #: All services that any configuration read so far has named: jobs of a removed
        #: queue still run on the runners of its service.
        self._services: set[str] = set()

    def load_snapshot(self, snapshot: RecordBatch) -> None:
        """Read the newest record of each key."""
        self.apply(snapshot)

    def apply(self, batch: RecordBatch) -> None:
        """Read the next records of the topic."""
        # Decodes all configurations: the last one may be unreadable, or an older version that
        # another writer has appended.
        for record in batch.records:
            if record.key == self._codec.configuration_key and not record.deletes_key:
                self._apply_record(record)
            elif not record.key and record.error is not None:
                self._unreadable.log_unreadable('', record.error, 'it is ignored')

    @property
    def version(self) -> int:
        """Return the version in force, 0 where there is no configuration yet."""
        return 0 if self.current is None else self.current.version

    @property
    def read_age(self) -> float:
        """Return how many seconds ago the operator's topic was last read to its end."""
        return self._get_read_age()

    def adopt_from_peer(self, content: bytes, peer: str, next_offset: int = 0) -> bool:
        """Use a configuration received from a peer if it is newer; return whether it is."""
        record = KeyedRecord(self._codec.configuration_key, content, next_offset - 1)
        return self._apply_record(record, peer)

    def has_service(self, service: str) -> bool:
        """Return whether a configuration has named the service; ``True`` before the first one."""
        return self.current is None or service in self._services

    def _apply_record(self, record: KeyedRecord, peer: str = '') -> bool:
        try:
            decoded = self._decode_configuration(record)
        except UnreadableError as error:
            self._unreadable.log_unreadable(record.key, error, 'the configuration in force is kept')
            return False
        self._unreadable.log_readable(record.key)
        if self.current is not None and decoded.version <= self.current.version:
            return False
        if self.current is not None:
            decoded.keep_removed_queues(self.current)
        self.current = decoded
        self.content = record.content or b''
        self.next_offset = record.offset + 1
        self._services.update(decoded.services)
        accounts = decoded.accounts
        self._journal.log(
            Part.CONTRACTS,
            'a configuration is in force.',
            version=decoded.version,
            queues=len(decoded.queue_by_name),
            accounts=None if accounts is None else len(accounts.account_by_name),
            peer=peer,
            read_age=seconds_or_none(self.read_age),
        )
        if accounts is not None:
            self._log_configuration_problems(decoded.version, accounts.problems)
        return True

    def _log_configuration_problems(self, version: int, problems: list[str]) -> None:
        for problem in problems[:MAX_LOGGED_PROBLEMS]:
            self._journal.log(
                Part.CONTRACTS,
                f'the configuration is partly unusable: {problem}.',
                version=version,
                problems=len(problems),
            )

    def _decode_configuration(self, record: KeyedRecord) -> Configuration:
        if record.error is not None:
            raise record.error
        return self._codec.decode_configuration(record.content or b'')


class CellProjection(Projection):
    """Applies the cell's own records, and notes when the owner's last heartbeat arrived."""

    def __init__(
        self,
        clock: Clock,
        journal: Journal,
        unreadable: UnreadableLog | None = None,
    ) -> None:
        """Start with an empty state."""
        self._clock = clock
        self._unreadable = unreadable or UnreadableLog('cell', Part.LOG, clock, journal)
        self.state = CellState(clock.unix_time)
        #: The owner wrote its last heartbeat no later than this.
        self.owner_heartbeat_at = NEVER
        #: Moving average of the seconds between two heartbeats.
        self.average_heartbeat_gap = 0.0

    def load_snapshot(self, snapshot: RecordBatch) -> None:
        """Replace the state by the newest record of each key.

        An owner that was not known before counts as just heard: it may have written right
        before the snapshot was read, and its leases last from then.
        """
        previous_owner = self.state.owner
        self._report_errors(snapshot.records, self.state.load_snapshot(snapshot.records))
        if self.state.owner != previous_owner:
            self.owner_heartbeat_at = self._clock.monotonic()

    def apply(self, batch: RecordBatch) -> None:
        """Apply the next records of the topic.

        An ownership record that cannot be read is not a heartbeat: otherwise another writer
        could make a dead owner keep the cell. It does not prove silence either, so an owner
        that was not known before counts as just heard.
        """
        previous_owner = self.state.owner
        errors = self.state.apply(batch.records)
        self._report_errors(batch.records, errors)
        now = self._clock.monotonic()
        if any(
            record.key == OWNER_KEY and error is None
            for record, error in zip(batch.records, errors, strict=True)
        ):
            gap = min(MAX_GAP_SECONDS, now - self.owner_heartbeat_at)
            self.average_heartbeat_gap += NEWEST_GAP_WEIGHT * (gap - self.average_heartbeat_gap)
            self.owner_heartbeat_at = now
        elif self.state.owner is not previous_owner:
            self.owner_heartbeat_at = now

    def _report_errors(
        self,
        records: tuple[KeyedRecord, ...],
        errors: list[UnreadableError | None],
    ) -> None:
        for record, error in zip(records, errors, strict=True):
            if error is None:
                self._unreadable.log_readable(record.key)
                continue
            self._unreadable.log_unreadable(record.key, error, 'its last known content is kept')
        if self.state.digest_error is not None:
            self._unreadable.log_unreadable(DIGEST_KEY, self.state.digest_error, 'it is ignored')
        elif self.state.load_digest is not None:
            self._unreadable.log_readable(DIGEST_KEY)
