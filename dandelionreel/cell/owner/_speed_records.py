"""Stores the learned speeds of runners for a successor, and starts from those of the former owner.

A lost record costs a successor some seconds of learning and nothing else, so it is written
without waiting for it and is never repeated.
"""

from collections.abc import Collection

from dandelionreel.cell.decisions import Cell
from dandelionreel.cell.model import (
    RUNNER_SPEEDS_KEY,
    KeyedRecord,
    RunnerSpeed,
    RunnerSpeeds,
    make_record,
)
from dandelionreel.kernel import Journal, Part

#: Minimum seconds between two records.
RECORD_INTERVAL_SECONDS = 2.0
#: Rows in one record; more runners than any cell has.
MAX_ROWS = 2000


class SpeedRecords:
    """The record of the speeds in one term, and its log lines."""

    def __init__(self, cell: Cell, epoch: int, journal: Journal) -> None:
        """Store the speeds of ``cell`` as the owner with this epoch."""
        self._run_times = cell.run_times
        self._epoch = epoch
        self._journal = journal
        self._recorded_at = float('-inf')
        self._was_uneven = False

    def restore(self, record: RunnerSpeeds | None, listed: Collection[str]) -> None:
        """Start from the stored speeds of the ``listed`` runners.

        If no runner is listed yet, the speeds of all runners are used: they are no harm for
        runners that do not exist any more.
        """
        if record is None or not record.rows:
            return
        rows = [
            (row.runner, row.hundredths)
            for row in record.rows[:MAX_ROWS]
            if not listed or row.runner in listed
        ]
        bounded = self._run_times.restore(rows)
        self._journal.log(
            Part.PLACEMENT,
            'starts from the speeds of runners that the former owner has stored.',
            epoch=self._epoch,
            stored_epoch=record.epoch,
            rows=len(record.rows),
            ignored=len(record.rows) - len(rows),
            bounded=bounded,
            uneven=self._run_times.is_uneven,
        )

    def take_due_records(self, now: float) -> list[KeyedRecord]:
        """Return the record to store now, if any; log whether speeds have become uneven or even.

        The last record after speeds have become even has no rows, so that a successor does not
        start from outdated speeds.
        """
        is_uneven = self._run_times.is_uneven
        if is_uneven is not self._was_uneven:
            self._log_change(is_uneven=is_uneven)
        elif not is_uneven or now < self._recorded_at + RECORD_INTERVAL_SECONDS:
            return []
        self._was_uneven = is_uneven
        self._recorded_at = now
        speeds = self._run_times.stored_speeds()[-MAX_ROWS:] if is_uneven else []
        rows = tuple(RunnerSpeed(runner, hundredths) for runner, hundredths in speeds)
        return [make_record(RUNNER_SPEEDS_KEY, RunnerSpeeds(self._epoch, rows))]

    def _log_change(self, *, is_uneven: bool) -> None:
        outcome = 'differ: tasks are placed by them' if is_uneven else 'hardly differ any more'
        self._journal.log(
            Part.PLACEMENT,
            f'the speeds of runners {outcome}.',
            epoch=self._epoch,
            low=round(self._run_times.low_speed, 2),
            high=round(self._run_times.high_speed, 2),
            known=len(self._run_times.stored_speeds()),
        )
