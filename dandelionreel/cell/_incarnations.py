"""Names for the processes that run under a runner's id, one after the other.

A runner may start again under the id that it had, with all its counts anew. Whatever is known
of a process is kept under its incarnation, so that nothing of it is taken for the next one's.
"""

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
