"""Ids of incarnations: the successive processes that run under one runner id.

A runner may restart under the same id with all its counters reset. State of a process is kept
under the id of its incarnation, so that it is not attributed to the next process.
"""

from collections.abc import Iterable

#: Decimal digits of the largest Unix time in milliseconds that JSON keeps exactly.
MAX_START_DIGITS = 16
_SEPARATOR = '@'


def incarnation_id(runner: str, started: int | None) -> str:
    """Return the id of the incarnation of ``runner`` that started at a Unix time in milliseconds.

    If the runner does not report its start time, its own id names the incarnation.
    """
    if started is None and _SEPARATOR not in runner:
        return runner
    suffix = '' if started is None else started
    return f'{runner}{_SEPARATOR}{suffix}'


def runner_id(incarnation: str) -> str:
    """Return the runner id of an incarnation."""
    runner, separator, _ = incarnation.rpartition(_SEPARATOR)
    return runner if separator else incarnation


def find_later_incarnations(incarnations: Iterable[str], others: Iterable[str]) -> dict[str, str]:
    """Map each incarnation that has a later one among ``others`` to the latest one."""
    latest_by_runner: dict[str, str] = {}
    for other in others:
        known = latest_by_runner.get(runner_id(other))
        if known is None or _is_later_incarnation(other, known):
            latest_by_runner[runner_id(other)] = other
    later_by_id = {}
    for incarnation in incarnations:
        latest = latest_by_runner.get(runner_id(incarnation))
        if latest is not None and _is_later_incarnation(latest, incarnation):
            later_by_id[incarnation] = latest
    return later_by_id


def _is_later_incarnation(incarnation: str, other: str) -> bool:
    started, other_started = _incarnation_start_time(incarnation), _incarnation_start_time(other)
    return started is not None and other_started is not None and started > other_started


def _incarnation_start_time(incarnation: str) -> int | None:
    _, separator, suffix = incarnation.rpartition(_SEPARATOR)
    known = separator and suffix.isdecimal() and len(suffix) <= MAX_START_DIGITS
    return int(suffix) if known else None
