"""What every host knows from the store: configuration, runners, jobs."""

from dandelionreel.cell._follower import Folder
from dandelionreel.cell._model import Configuration, Registration
from dandelionreel.cell._records import OWNER_KEY, JobBook
from dandelionreel.cell._services import KeyedRecord, RecordBatch, RecordCodec
from dandelionreel.kernel import Clock, Journal, Part

NEVER = float('-inf')
#: Weight of the newest gap between heartbeats in the usual one, and the longest
#: gap in seconds that counts: a change of owner is no usual gap.
GAP_WEIGHT = 0.3
LONGEST_GAP = 1.0


class ConfigurationFolder(Folder):
    """Keeps the newest configuration; never an older one after a newer one."""

    def __init__(self, codec: RecordCodec, journal: Journal) -> None:
        """Start without a configuration."""
        self._codec = codec
        self._journal = journal
        self.current: Configuration | None = None

    def restart(self, snapshot: RecordBatch) -> None:
        """Take the newest record of each key."""
        self.fold(snapshot)

    def fold(self, batch: RecordBatch) -> None:
        """Take the records that follow."""
        newest = None
        # Of a storm of versions only the last one is worth decoding.
        for record in batch.records:
            if record.key == self._codec.configuration_key and record.content:
                newest = record.content
        if newest is not None:
            self._apply(newest)

    def _apply(self, content: bytes) -> None:
        try:
            decoded = self._codec.decode_configuration(content)
        except ValueError as error:
            self._journal.tell(Part.CONTRACTS, f'kept the old configuration: {error}.')
            return
        if self.current is not None and decoded.version <= self.current.version:
            return
        self.current = decoded
        self._journal.tell(
            Part.CONTRACTS,
            'a configuration is in force.',
            version=decoded.version,
            queues=len(decoded.queue_by_name),
        )


class RunnersFolder(Folder):
    """Keeps the registrations of runners, and when one was last seen."""

    def __init__(self, codec: RecordCodec, clock: Clock, journal: Journal) -> None:
        """Start with no runners."""
        self._codec = codec
        self._clock = clock
        self._journal = journal
        self.registration_by_id: dict[str, Registration] = {}
        #: Runners whose entry has gone: their last registration and when.
        self.gone_by_id: dict[str, tuple[Registration, float]] = {}
        #: Where the newest entry of a runner stands in the log.
        self._offset_by_id: dict[str, int] = {}

    def restart(self, snapshot: RecordBatch) -> None:
        """Take the newest entries; those that are not among them are gone."""
        present = {record.key for record in snapshot.records if record.content}
        for runner in tuple(self.registration_by_id):
            if runner not in present:
                self._remove(runner)
        self.fold(snapshot)

    def fold(self, batch: RecordBatch) -> None:
        """Take the records that follow."""
        for record in batch.records:
            if record.content is None:
                self._remove(record.key)
                continue
            self._take(record)

    def find(self, runner: str) -> Registration | None:
        """Return the last registration that was seen of a runner."""
        registration = self.registration_by_id.get(runner)
        if registration is None and runner in self.gone_by_id:
            registration, _ = self.gone_by_id[runner]
        return registration

    def replaced(self, registration: Registration) -> bool:
        """Return whether another runner has come up at the same address since.

        Two runners share an address only as one life after the other, so the one
        that has written last is the one that lives. The entry of a former life may
        be listed for some heartbeats more; taken for a new one, it would let the
        tasks of the living runner start elsewhere at once.
        """
        written = self._offset_by_id.get(registration.runner, 0)
        return any(
            other.address == registration.address
            and other.port == registration.port
            and other.runner != registration.runner
            and self._offset_by_id.get(other.runner, 0) > written
            for other in self.registration_by_id.values()
        )

    def _take(self, record: KeyedRecord) -> None:
        try:
            registration = self._codec.decode_registration(record.key, record.content or b'')
        except ValueError as error:
            self._journal.tell(Part.WORKERS, f'cannot read the entry of {record.key}: {error}.')
            return
        known = self.registration_by_id.get(record.key)
        if known is None or known.draining != registration.draining:
            self._journal.tell(
                Part.WORKERS,
                f'{record.key} is {"draining" if registration.draining else "ready"}.',
                runner=record.key,
                service=registration.service,
            )
        self.registration_by_id[record.key] = registration
        self._offset_by_id[record.key] = max(record.offset, self._offset_by_id.get(record.key, 0))
        self.gone_by_id.pop(record.key, None)

    def _remove(self, runner: str) -> None:
        registration = self.registration_by_id.pop(runner, None)
        if registration is not None:
            self.gone_by_id[runner] = (registration, self._clock.monotonic())
            self._journal.tell(Part.WORKERS, f'the entry of {runner} has gone.', runner=runner)


class JobFolder(Folder):
    """Folds the cell's own records and notes when the owner was last heard."""

    def __init__(self, clock: Clock, journal: Journal) -> None:
        """Start with nothing known."""
        self._clock = clock
        self._journal = journal
        self.book = JobBook()
        #: The owner's last sign of life in the store was no later than that.
        self.owner_heard_at = NEVER
        #: Seconds between two heartbeats, as they usually arrive.
        self.usual_gap = 0.0

    def restart(self, snapshot: RecordBatch) -> None:
        """Forget, and take the newest record of each key.

        An owner of which nothing else is known counts as heard of just now: it may
        have written right before the snapshot was read. Taken for silent for ever,
        it would be given one lease to end in place of its authority and a lease, and
        its successor would start tasks that still run on runners only it reaches.
        """
        known = self.book.owner
        self.book.clear()
        self._fold_book(snapshot.records)
        if self.book.owner != known:
            self.owner_heard_at = self._clock.monotonic()

    def fold(self, batch: RecordBatch) -> None:
        """Take the records that follow."""
        self._fold_book(batch.records)
        if any(record.key == OWNER_KEY for record in batch.records):
            now = self._clock.monotonic()
            gap = min(LONGEST_GAP, now - self.owner_heard_at)
            self.usual_gap += GAP_WEIGHT * (gap - self.usual_gap)
            self.owner_heard_at = now

    def _fold_book(self, records: tuple[KeyedRecord, ...]) -> None:
        self.book.fold(records)
        for key in self.book.unreadable:
            self._journal.tell_frequent(Part.LOG, f'cannot read the record of {key}.', key=key)
        self.book.unreadable.clear()
