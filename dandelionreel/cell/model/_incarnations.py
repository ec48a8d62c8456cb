"""Names for the processes that run under a runner's id, one after the other.

A runner may start again under the id that it had, with all its counts anew. Whatever is known
of a process is kept under its incarnation, so that nothing of it is taken for the next one's.
"""

from collections.abc import Iterable

#: Digits of a Unix millisecond that is exact in JSON.
MAX_START_DIGITS = 16
_SEPARATOR = '@'


def incarnation_id(runner: str, started: int | None) -> str:
    """Return the id of the incarnation of ``runner`` that started at a Unix millisecond.

    Where runners do not tell when they started, their ids name incarnations by themselves.
    """
    if started is None and _SEPARATOR not in runner:
        return runner
    suffix = '' if started is None else started
    return f'{runner}{_SEPARATOR}{suffix}'


def runner_id(incarnation: str) -> str:
    """Return the id of the runner that an incarnation is of."""
    runner, separator, _ = incarnation.rpartition(_SEPARATOR)
    return runner if separator else incarnation


def find_later(incarnations: Iterable[str], others: Iterable[str]) -> dict[str, str]:
    """Return those incarnations of which a later one is among ``others``, with that one."""
    latest_by_runner: dict[str, str] = {}
    for other in others:
        known = latest_by_runner.get(runner_id(other))
        if known is None or _is_later(other, known):
            latest_by_runner[runner_id(other)] = other
    later_by_id = {}
    for incarnation in incarnations:
        latest = latest_by_runner.get(runner_id(incarnation))
        if latest is not None and _is_later(latest, incarnation):
            later_by_id[incarnation] = latest
    return later_by_id


def _is_later(incarnation: str, other: str) -> bool:
    started, other_started = _started(incarnation), _started(other)
    return started is not None and other_started is not None and started > other_started


def _started(incarnation: str) -> int | None:
    _, separator, suffix = incarnation.rpartition(_SEPARATOR)
    known = separator and suffix.isdecimal() and len(suffix) <= MAX_START_DIGITS
    return int(suffix) if known else None
