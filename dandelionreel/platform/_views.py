"""Decodes a runner's response to a poll: its running tasks and the ends of runs."""

from contextlib import suppress
from typing import Annotated

import msgspec

from dandelionreel.cell.model import (
    EndedRun,
    RunnerError,
    RunnerView,
    RunningTask,
    RunOutcome,
    TaskName,
    UnreadableError,
    decode_json,
)
from dandelionreel.kernel import Verdict

MILLISECONDS_PER_SECOND = 1000
#: JSON numbers are exact integers up to here.
JSON_INTEGER_LIMIT = 9_007_199_254_740_992

#: A runner lists at most this many ends; if it lists this many, it may have more.
MAX_LISTED_ENDS = 500

RunNumber = Annotated[int, msgspec.Meta(ge=0, lt=JSON_INTEGER_LIMIT)]
#: Ends are numbered from 1. A number far too large, once accepted, would hide all ends below it.
EndNumber = Annotated[int, msgspec.Meta(ge=1, lt=JSON_INTEGER_LIMIT)]
#: Start time of the runner's process, in milliseconds since the Unix epoch.
StartMilliseconds = Annotated[int, msgspec.Meta(ge=1, lt=JSON_INTEGER_LIMIT)]
ClockMilliseconds = Annotated[float, msgspec.Meta(ge=0, lt=JSON_INTEGER_LIMIT)]


class _RunningRow(msgspec.Struct, array_like=True, frozen=True):
    task: str
    run: RunNumber
    saved: str | None = ''
    percent: float | None = 0
    gauge: float | None = 0


class _EndedRow(msgspec.Struct, array_like=True, frozen=True):
    number: EndNumber
    task: str
    run: RunNumber
    how: RunOutcome
    saved: str | None = ''


class _EndNumberOnly(msgspec.Struct, array_like=True, frozen=True):
    """The number of an otherwise unreadable end, so that the end is not acknowledged."""

    number: EndNumber


class _RawViewDocument(msgspec.Struct, frozen=True):
    clock_ms: ClockMilliseconds
    born: StartMilliseconds | msgspec.UnsetType = msgspec.UNSET
    running: list[msgspec.Raw] = []
    finished: list[msgspec.Raw] = []


class _ViewDocument(msgspec.Struct, frozen=True):
    clock_ms: ClockMilliseconds
    born: StartMilliseconds | msgspec.UnsetType = msgspec.UNSET
    running: list[_RunningRow] = []
    finished: list[_EndedRow] = []


_VIEW_DECODER = msgspec.json.Decoder(_ViewDocument)
_RAW_VIEW_DECODER = msgspec.json.Decoder(_RawViewDocument)
_RUNNING_DECODER = msgspec.json.Decoder(_RunningRow)
_ENDED_DECODER = msgspec.json.Decoder(_EndedRow)
_END_NUMBER_DECODER = msgspec.json.Decoder(_EndNumberOnly)


def decode_task(text: str) -> TaskName:
    """Decode the name of a task; raises ``ValueError``."""
    job, occurrence, step, index = text.split('.')
    return TaskName(job, int(occurrence), int(step), int(index))


def decode_view(raw: bytes) -> RunnerView:
    """Decode a runner's response to a poll; raises ``RunnerError`` if nothing is readable.

    If a row is unreadable, the view is incomplete, but the other rows are still used.
    """
    try:
        view = decode_json(_VIEW_DECODER, raw)
        return RunnerView(
            view.clock_ms / MILLISECONDS_PER_SECOND,
            tuple(_to_running_task(row) for row in view.running),
            tuple(_to_ended_run(row) for row in view.finished),
            complete=len(view.finished) < MAX_LISTED_ENDS,
            incarnation=_to_incarnation(view.born),
        )
    except ValueError:
        return _decode_view_by_row(raw)


def _decode_view_by_row(raw: bytes) -> RunnerView:
    """Decode the readable rows one by one."""
    try:
        rows = decode_json(_RAW_VIEW_DECODER, raw)
    except UnreadableError as error:
        # The runner may have renewed the leases.
        raise RunnerError(
            f'the runner sent an unreadable answer: {error}', Verdict.UNKNOWN
        ) from error
    running = []
    for row in rows.running:
        with suppress(ValueError):
            running.append(_to_running_task(decode_json(_RUNNING_DECODER, bytes(row))))
    ended, readable_through = _decode_ends(rows.finished)
    return RunnerView(
        rows.clock_ms / MILLISECONDS_PER_SECOND,
        tuple(running),
        tuple(ended),
        complete=False,
        readable_through=readable_through,
        incarnation=_to_incarnation(rows.born),
    )


def _to_incarnation(born: int | msgspec.UnsetType) -> int | None:
    return None if born is msgspec.UNSET else born


def _decode_ends(rows: list[msgspec.Raw]) -> tuple[list[EndedRun], int | None]:
    """Return the readable ends, and the highest number below all unreadable ones.

    The number is ``None`` if all ends are readable.
    """
    ended: list[EndedRun] = []
    readable_through: int | None = None
    for row in rows:
        try:
            ended.append(_to_ended_run(decode_json(_ENDED_DECODER, bytes(row))))
        except ValueError:
            last_readable = ended[-1].number if ended else 0
            below = _find_number_below(row, last_readable)
            readable_through = below if readable_through is None else min(readable_through, below)
    return ended, readable_through


def _find_number_below(row: msgspec.Raw, last_readable: int) -> int:
    """Return the number before an unreadable end.

    Returns ``last_readable`` if the number of the end is unreadable too.
    """
    try:
        return decode_json(_END_NUMBER_DECODER, bytes(row)).number - 1
    except UnreadableError:
        return last_readable


def _to_running_task(row: _RunningRow) -> RunningTask:
    return RunningTask(
        decode_task(row.task),
        row.run,
        row.saved or '',
        int(row.percent or 0),
        row.gauge or 0.0,
    )


def _to_ended_run(row: _EndedRow) -> EndedRun:
    return EndedRun(row.number, decode_task(row.task), row.run, row.how, row.saved or '')
