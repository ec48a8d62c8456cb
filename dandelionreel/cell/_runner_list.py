"""What every host believes of the runners' entries.

An entry may come from another writer. One that cannot be read, or that names a service
which no configuration names, names no runner to use. What may run there already stays
where it was last known: it counts, it is looked at, and it is not started elsewhere
before its leases must have run out.
"""

from collections.abc import Callable
from dataclasses import replace

from dandelionreel.cell._follower import Folder
from dandelionreel.cell._model import Registration
from dandelionreel.cell._services import KeyedRecord, RecordBatch, RecordCodec
from dandelionreel.cell._unreadable import Reason, UnreadableError, UnreadableLog
from dandelionreel.kernel import Clock, Journal, Part


def _names_any(service: str) -> bool:
    return True


class RunnersFolder(Folder):
    """Keeps the registrations of runners, and when one was last seen."""

    def __init__(
        self,
        codec: RecordCodec,
        clock: Clock,
        journal: Journal,
        names_service: Callable[[str], bool] = _names_any,
        unreadable: UnreadableLog | None = None,
    ) -> None:
        """Start with no runners; use those of services that ``names_service`` knows."""
        self._codec = codec
        self._clock = clock
        self._journal = journal
        self._names_service = names_service
        self._unreadable = unreadable or UnreadableLog('runners', Part.WORKERS, clock, journal)
        #: The last good registration of each runner whose entry is there; it is not
        #: usable while the newest entry is not.
        self.registration_by_id: dict[str, Registration] = {}
        #: Runners whose entry has gone: their last registration and when.
        self.gone_by_id: dict[str, tuple[Registration, float]] = {}

    def restart(self, snapshot: RecordBatch) -> None:
        """Take the newest entries; those that are not among them are gone.

        The first ones get one line together: one for each would be 176 lines on each
        host of a large site, and push out of short logs what was decided last.
        """
        first = not self.registration_by_id
        present = {record.key for record in snapshot.records if not record.dropped}
        for runner in tuple(self.registration_by_id):
            if runner not in present:
                self._remove(runner)
        self._read(snapshot, tell_each=not first)
        if first:
            known = self.registration_by_id.values()
            self._journal.tell(
                Part.WORKERS,
                'has read the list of runners.',
                runners=len(known),
                draining=sum(registration.draining for registration in known),
            )

    def fold(self, batch: RecordBatch) -> None:
        """Take the records that follow."""
        self._read(batch, tell_each=True)

    def find(self, runner: str) -> Registration | None:
        """Return the last good registration that was seen of a runner."""
        registration = self.registration_by_id.get(runner)
        if registration is None and runner in self.gone_by_id:
            registration, _ = self.gone_by_id[runner]
        return registration

    def _read(self, batch: RecordBatch, *, tell_each: bool) -> None:
        for record in batch.records:
            if record.dropped:
                self._remove(record.key)
                continue
            try:
                registration = self._decode(record)
            except UnreadableError as error:
                self._refuse(record.key, error)
                continue
            self._take(registration, tell=tell_each)

    def _decode(self, record: KeyedRecord) -> Registration:
        """Return what an entry says if it can be relied upon."""
        if record.error is not None:
            raise record.error
        registration = self._codec.decode_registration(record.key, record.content or b'')
        if not self._names_service(registration.service):
            message = f'no configuration names the service {registration.service!r}'
            raise UnreadableError(Reason.UNNAMED, message)
        self._check_unchanged(registration)
        return registration

    def _check_unchanged(self, registration: Registration) -> None:
        """Refuse an entry that moves a runner while it lives.

        An id names one life of a runner, at one address and of one service. Of two
        entries that differ one is wrong, and orders go where the first one said.
        """
        known = self.registration_by_id.get(registration.runner)
        if known is None or not self._names_service(known.service):
            return
        before = (known.service, known.address, known.port)
        if before != (registration.service, registration.address, registration.port):
            message = f'it was of {known.service!r} at {known.address}:{known.port}'
            raise UnreadableError(Reason.CHANGED, message)

    def _refuse(self, runner: str, error: UnreadableError) -> None:
        self._unreadable.refuse(runner, error, 'nothing new is started there')
        known = self.registration_by_id.get(runner)
        if known is not None and known.usable:
            self.registration_by_id[runner] = replace(known, usable=False)

    def _take(self, registration: Registration, *, tell: bool) -> None:
        runner = registration.runner
        self._unreadable.accept(runner)
        known = self.registration_by_id.get(runner)
        self._log_restart(known, registration)
        if tell and (known is None or known.draining != registration.draining):
            self._journal.tell(
                Part.WORKERS,
                f'{runner} is {"draining" if registration.draining else "ready"}.',
                runner=runner,
                service=registration.service,
            )
        self.registration_by_id[runner] = registration
        self.gone_by_id.pop(runner, None)

    def _log_restart(self, known: Registration | None, registration: Registration) -> None:
        if known is None or known.incarnation == registration.incarnation:
            return
        self._journal.tell(
            Part.WORKERS,
            f'{registration.runner} has restarted.',
            runner=registration.runner,
            incarnation=registration.incarnation,
            former=known.incarnation,
        )

    def _remove(self, runner: str) -> None:
        self._unreadable.drop(runner)
        registration = self.registration_by_id.pop(runner, None)
        if registration is not None:
            self.gone_by_id[runner] = (registration, self._clock.monotonic())
            self._journal.tell(Part.WORKERS, f'the entry of {runner} has gone.', runner=runner)
