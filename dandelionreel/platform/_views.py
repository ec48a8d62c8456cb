"""What a runner lists in answer to a poll: what runs there and what has ended."""

from contextlib import suppress
from typing import Annotated

import msgspec

from dandelionreel.cell.model import (
    EndedRun,
    Outcome,
    RunnerError,
    RunnerView,
    RunningTask,
    TaskName,
    UnreadableError,
    decode_json,
)
from dandelionreel.kernel import Verdict

MILLISECONDS = 1000
#: Numbers of runs and ends, and milliseconds, are whole and exact up to here in JSON.
LARGEST = 9_007_199_254_740_992

#: Ends that a runner lists at most; it has more where it lists as many.
MOST_ENDS = 500

Count = Annotated[int, msgspec.Meta(ge=0, lt=LARGEST)]
#: Ends are numbered from 1. One absurd number would hide all ends behind it.
EndNumber = Annotated[int, msgspec.Meta(ge=1, lt=LARGEST)]
#: The Unix millisecond at which the runner's process started.
Started = Annotated[int, msgspec.Meta(ge=1, lt=LARGEST)]
Clock = Annotated[float, msgspec.Meta(ge=0, lt=LARGEST)]


class _Running(msgspec.Struct, array_like=True, frozen=True):
    task: str
    run: Count
    saved: str | None = ''
    percent: float | None = 0
    gauge: float | None = 0


class _Ended(msgspec.Struct, array_like=True, frozen=True):
    number: EndNumber
    task: str
    run: Count
    how: Outcome
    saved: str | None = ''


class _Numbered(msgspec.Struct, array_like=True, frozen=True):
    """The part of an end that is needed to keep it from being acknowledged."""

    number: EndNumber


class _Rows(msgspec.Struct, frozen=True):
    clock_ms: Clock
    born: Started | msgspec.UnsetType = msgspec.UNSET
    running: list[msgspec.Raw] = []
    finished: list[msgspec.Raw] = []


class _View(msgspec.Struct, frozen=True):
    clock_ms: Clock
    born: Started | msgspec.UnsetType = msgspec.UNSET
    running: list[_Running] = []
    finished: list[_Ended] = []


_VIEW = msgspec.json.Decoder(_View)
_ROWS = msgspec.json.Decoder(_Rows)
_RUNNING = msgspec.json.Decoder(_Running)
_ENDED = msgspec.json.Decoder(_Ended)
_NUMBERED = msgspec.json.Decoder(_Numbered)


def decode_task(text: str) -> TaskName:
    """Return the task of that name; raises ``ValueError``."""
    job, occurrence, step, index = text.split('.')
    return TaskName(job, int(occurrence), int(step), int(index))


def decode_view(raw: bytes) -> RunnerView:
    """Return what a runner listed; raises ``RunnerError`` when nothing can be read.

    A row that cannot be read leaves the view incomplete and costs no other row.
    """
    try:
        view = decode_json(_VIEW, raw)
        return RunnerView(
            view.clock_ms / MILLISECONDS,
            tuple(_running(row) for row in view.running),
            tuple(_ended(row) for row in view.finished),
            complete=len(view.finished) < MOST_ENDS,
            incarnation=_incarnation(view.born),
        )
    except ValueError:
        return _decode_rows(raw)


def _decode_rows(raw: bytes) -> RunnerView:
    """Return what can be read, row by row."""
    try:
        rows = decode_json(_ROWS, raw)
    except UnreadableError as error:
        # The look may have renewed the leases.
        raise RunnerError(f'the answer cannot be read: {error}', Verdict.UNKNOWN) from error
    running = []
    for row in rows.running:
        with suppress(ValueError):
            running.append(_running(decode_json(_RUNNING, bytes(row))))
    ended, readable_through = _read_ends(rows.finished)
    return RunnerView(
        rows.clock_ms / MILLISECONDS,
        tuple(running),
        tuple(ended),
        complete=False,
        readable_through=readable_through,
        incarnation=_incarnation(rows.born),
    )


def _incarnation(born: int | msgspec.UnsetType) -> int | None:
    return None if born is msgspec.UNSET else born


def _read_ends(rows: list[msgspec.Raw]) -> tuple[list[EndedRun], int | None]:
    """Return the ends that can be read, and the number below the first other one."""
    ended: list[EndedRun] = []
    lowest: int | None = None
    for row in rows:
        try:
            ended.append(_ended(decode_json(_ENDED, bytes(row))))
        except ValueError:
            last = ended[-1].number if ended else 0
            below = _number_below(row, last)
            lowest = below if lowest is None else min(lowest, below)
    return ended, lowest


def _number_below(row: msgspec.Raw, last: int) -> int:
    """Return the number before an unreadable end, ``last`` where it tells none."""
    try:
        return decode_json(_NUMBERED, bytes(row)).number - 1
    except UnreadableError:
        return last


def _running(row: _Running) -> RunningTask:
    return RunningTask(
        decode_task(row.task),
        row.run,
        row.saved or '',
        int(row.percent or 0),
        row.gauge or 0.0,
    )


def _ended(row: _Ended) -> EndedRun:
    return EndedRun(row.number, decode_task(row.task), row.run, row.how, row.saved or '')
