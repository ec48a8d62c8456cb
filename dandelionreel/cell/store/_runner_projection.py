"""Projection of the runners' topic, in which each runner has an entry with its registration.

An entry may come from another writer. No tasks are started on a runner whose entry cannot be
read, or has a service that is in no configuration. Tasks that may run there already stay
attributed to its last known registration: they are counted, the runner is polled, and they are
not started elsewhere before their leases must have expired.
"""

from collections.abc import Callable
from dataclasses import replace

from dandelionreel.cell.model import (
    KeyedRecord,
    RecordBatch,
    RecordCodec,
    Registration,
    UnreadableError,
    UnreadableLog,
    UnreadableReason,
)
from dandelionreel.cell.store._follower import Projection
from dandelionreel.kernel import Clock, Journal, Part


def _accept_any_service(service: str) -> bool:
    return True


class RunnerProjection(Projection):
    """Keeps the registrations of runners, including removed ones."""

    def __init__(
        self,
        codec: RecordCodec,
        clock: Clock,
        journal: Journal,
        has_service: Callable[[str], bool] = _accept_any_service,
        unreadable: UnreadableLog | None = None,
    ) -> None:
        """Start without runners; only runners with a service that is known are usable."""
        self._codec = codec
        self._clock = clock
        self._journal = journal
        self._has_service = has_service
        self._unreadable = unreadable or UnreadableLog('runners', Part.WORKERS, clock, journal)
        #: The last valid registration of each incarnation with an entry; it is marked as
        #: unusable while the newest entry is invalid.
        self.registration_by_id: dict[str, Registration] = {}
        #: The incarnation of the last valid entry of each runner.
        self._incarnation_by_runner: dict[str, str] = {}
        #: Incarnations without an entry: their last registration and the time of removal.
        self.removed_by_id: dict[str, tuple[Registration, float]] = {}

    def load_snapshot(self, snapshot: RecordBatch) -> None:
        """Apply the newest entries, and remove runners without one.

        The first snapshot is logged in one line: one for each runner would be 176 lines on each
        host of a large site, and push the latest decisions out of short logs.
        """
        first = not self.registration_by_id
        present = {record.key for record in snapshot.records if not record.deletes_key}
        for runner in tuple(self._incarnation_by_runner):
            if runner not in present:
                self._remove_runner(runner)
        self._apply_records(snapshot, log_each=not first)
        if first:
            registrations = self.registration_by_id.values()
            self._journal.log(
                Part.WORKERS,
                'has read the list of runners.',
                runners=len(registrations),
                draining=sum(registration.draining for registration in registrations),
            )

    def apply(self, batch: RecordBatch) -> None:
        """Apply the next records of the topic."""
        self._apply_records(batch, log_each=True)

    def find_registration(self, incarnation: str) -> Registration | None:
        """Return the last valid registration of an incarnation, removed ones included."""
        registration = self.registration_by_id.get(incarnation)
        if registration is None and incarnation in self.removed_by_id:
            registration, _ = self.removed_by_id[incarnation]
        return registration

    def _apply_records(self, batch: RecordBatch, *, log_each: bool) -> None:
        for record in batch.records:
            if record.deletes_key:
                self._remove_runner(record.key)
                continue
            try:
                registration = self._decode_registration(record)
            except UnreadableError as error:
                self._mark_runner_unusable(record.key, error)
                continue
            self._set_registration(record.key, registration, log=log_each)

    def _decode_registration(self, record: KeyedRecord) -> Registration:
        """Return the registration of an entry; raises ``UnreadableError`` for an invalid one."""
        if record.error is not None:
            raise record.error
        registration = self._codec.decode_registration(record.key, record.content or b'')
        if not self._has_service(registration.service):
            message = f'no configuration names the service {registration.service!r}'
            raise UnreadableError(UnreadableReason.UNNAMED, message)
        self._check_incarnation_unchanged(record.key, registration)
        return registration

    def _check_incarnation_unchanged(self, runner: str, registration: Registration) -> None:
        """Refuse an entry that changes an incarnation's address or service, or has no incarnation.

        An incarnation has one address and one service. Of two entries that differ one is
        wrong, and orders are sent to the address of the first one.
        """
        previous = self._find_newest_registration(runner)
        if previous is None:
            return
        if previous.incarnation is not None and registration.incarnation is None:
            raise UnreadableError(UnreadableReason.FIELDS, 'the incarnation is missing')
        if previous.runner != registration.runner or not self._has_service(previous.service):
            return
        before = (previous.service, previous.address, previous.port)
        if before != (registration.service, registration.address, registration.port):
            message = f'the entry was of {previous.service!r} at {previous.address}:{previous.port}'
            raise UnreadableError(UnreadableReason.CHANGED, message)

    def _mark_runner_unusable(self, runner: str, error: UnreadableError) -> None:
        self._unreadable.log_unreadable(runner, error, 'no tasks are started there')
        previous = self._find_newest_registration(runner)
        if previous is not None and previous.usable:
            self.registration_by_id[previous.runner] = replace(previous, usable=False)

    def _set_registration(self, runner: str, registration: Registration, *, log: bool) -> None:
        incarnation = registration.runner
        self._unreadable.log_readable(runner)
        previous = self._find_newest_registration(runner)
        if previous is not None and previous.runner != incarnation:
            self._retire_registration(runner)
            self._log_restart(previous, registration)
        elif log and (previous is None or previous.draining != registration.draining):
            self._journal.log(
                Part.WORKERS,
                f'{incarnation} is {"draining" if registration.draining else "ready"}.',
                runner=incarnation,
                service=registration.service,
            )
        self._incarnation_by_runner[runner] = incarnation
        self.registration_by_id[incarnation] = registration
        self.removed_by_id.pop(incarnation, None)

    def _log_restart(self, previous: Registration, registration: Registration) -> None:
        self._journal.log(
            Part.WORKERS,
            f'{registration.runner} has taken the place of {previous.runner}.',
            runner=registration.runner,
            former=previous.runner,
            draining=registration.draining,
        )

    def _remove_runner(self, runner: str) -> None:
        self._unreadable.forget_key(runner)
        incarnation = self._retire_registration(runner)
        if incarnation:
            self._journal.log(
                Part.WORKERS, f'the entry of {incarnation} has gone.', runner=incarnation
            )

    def _find_newest_registration(self, runner: str) -> Registration | None:
        """Return the last valid registration of a runner's id, if it has an entry."""
        return self.registration_by_id.get(self._incarnation_by_runner.get(runner, ''))

    def _retire_registration(self, runner: str) -> str:
        """Move a runner's registration to the removed ones; return its incarnation, or ''."""
        incarnation = self._incarnation_by_runner.pop(runner, '')
        registration = self.registration_by_id.pop(incarnation, None)
        if registration is not None:
            self.removed_by_id[incarnation] = (registration, self._clock.monotonic())
        return incarnation
