"""What every host believes of the runners' entries.

An entry may come from another writer. One that cannot be read, or that names a service
which no configuration names, names no runner to use. What may run there already stays
where it was last known: it counts, it is looked at, and it is not started elsewhere
before its leases must have run out.
"""

from collections.abc import Callable
from dataclasses import replace

from dandelionreel.cell.model import (
    KeyedRecord,
    Reason,
    RecordBatch,
    RecordCodec,
    Registration,
    UnreadableError,
    UnreadableLog,
)
from dandelionreel.cell.store._follower import Folder
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
        #: The last good registration of each incarnation whose entry is there; it is not
        #: usable while the newest entry is not.
        self.registration_by_id: dict[str, Registration] = {}
        #: The incarnation that the last good entry of each runner is of.
        self._incarnation_by_runner: dict[str, str] = {}
        #: Incarnations whose entry has gone: their last registration and when.
        self.gone_by_id: dict[str, tuple[Registration, float]] = {}

    def restart(self, snapshot: RecordBatch) -> None:
        """Take the newest entries; those that are not among them are gone.

        The first ones get one line together: one for each would be 176 lines on each
        host of a large site, and push out of short logs what was decided last.
        """
        first = not self.registration_by_id
        present = {record.key for record in snapshot.records if not record.dropped}
        for runner in tuple(self._incarnation_by_runner):
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

    def find(self, incarnation: str) -> Registration | None:
        """Return the last good registration that was seen of an incarnation."""
        registration = self.registration_by_id.get(incarnation)
        if registration is None and incarnation in self.gone_by_id:
            registration, _ = self.gone_by_id[incarnation]
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
            self._take(record.key, registration, tell=tell_each)

    def _decode(self, record: KeyedRecord) -> Registration:
        """Return what an entry says if it can be relied upon."""
        if record.error is not None:
            raise record.error
        registration = self._codec.decode_registration(record.key, record.content or b'')
        if not self._names_service(registration.service):
            message = f'no configuration names the service {registration.service!r}'
            raise UnreadableError(Reason.UNNAMED, message)
        self._check_unchanged(record.key, registration)
        return registration

    def _check_unchanged(self, runner: str, registration: Registration) -> None:
        """Refuse an entry that moves an incarnation, or does not tell which one it is of.

        An incarnation has one address and one service. Of two entries that differ one is
        wrong, and orders go where the first one said.
        """
        known = self._find_newest(runner)
        if known is None:
            return
        if known.incarnation is not None and registration.incarnation is None:
            raise UnreadableError(Reason.FIELDS, 'it does not tell its incarnation')
        if known.runner != registration.runner or not self._names_service(known.service):
            return
        before = (known.service, known.address, known.port)
        if before != (registration.service, registration.address, registration.port):
            message = f'it was of {known.service!r} at {known.address}:{known.port}'
            raise UnreadableError(Reason.CHANGED, message)

    def _refuse(self, runner: str, error: UnreadableError) -> None:
        self._unreadable.log_unreadable(runner, error, 'nothing new is started there')
        known = self._find_newest(runner)
        if known is not None and known.usable:
            self.registration_by_id[known.runner] = replace(known, usable=False)

    def _take(self, runner: str, registration: Registration, *, tell: bool) -> None:
        incarnation = registration.runner
        self._unreadable.log_readable(runner)
        known = self._find_newest(runner)
        if known is not None and known.runner != incarnation:
            self._retire(runner)
            self._log_restart(known, registration)
        elif tell and (known is None or known.draining != registration.draining):
            self._journal.tell(
                Part.WORKERS,
                f'{incarnation} is {"draining" if registration.draining else "ready"}.',
                runner=incarnation,
                service=registration.service,
            )
        self._incarnation_by_runner[runner] = incarnation
        self.registration_by_id[incarnation] = registration
        self.gone_by_id.pop(incarnation, None)

    def _log_restart(self, known: Registration, registration: Registration) -> None:
        self._journal.tell(
            Part.WORKERS,
            f'{registration.runner} has taken the place of {known.runner}.',
            runner=registration.runner,
            former=known.runner,
            draining=registration.draining,
        )

    def _remove(self, runner: str) -> None:
        self._unreadable.forget(runner)
        incarnation = self._retire(runner)
        if incarnation:
            self._journal.tell(
                Part.WORKERS, f'the entry of {incarnation} has gone.', runner=incarnation
            )

    def _find_newest(self, runner: str) -> Registration | None:
        """Return the last good registration under a runner's id, if its entry is there."""
        return self.registration_by_id.get(self._incarnation_by_runner.get(runner, ''))

    def _retire(self, runner: str) -> str:
        """Note that the entry of a runner's incarnation has gone; return it, empty for none."""
        incarnation = self._incarnation_by_runner.pop(runner, '')
        registration = self.registration_by_id.pop(incarnation, None)
        if registration is not None:
            self.gone_by_id[incarnation] = (registration, self._clock.monotonic())
        return incarnation
