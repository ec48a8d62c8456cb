"""Checks guarantees by the records of the stand-ins, never by the logs of the daemons."""

from typing import Any

Run = dict[str, Any]
RESOURCES = ('processors', 'memory_mb', 'accelerators')
ROUNDING = 1e-6
STILL_RUNNING = float('inf')


def find_overallocated_workers(records: list[dict[str, Any]]) -> list[str]:
    """Return the workers whose tasks exceeded their capacity at some time."""
    found = []
    for record in records:
        for name in RESOURCES:
            if record['most'][name] > record['capacity'][name] + ROUNDING:
                found.append(f'{record["worker"]}: {record["most"]} of {record["capacity"]}')
                break
    return found


def find_overloaded_runners(records: list[dict[str, Any]]) -> list[str]:
    """Return the runners that worked on more requests at once than they have slots."""
    return [
        f'{record["runner"]}: {record["most"]} of {record["slots"]}'
        for record in records
        if record['most'] > record['slots']
    ]


def find_overlapping_runs(runs: list[Run]) -> list[str]:
    """Return tasks that ran in two places, or twice, at the same time."""
    found = []
    runs_by_task: dict[str, list[Run]] = {}
    for run in runs:
        index = run['task'].rsplit('.', 1)[1]
        runs_by_task.setdefault(f'{run["job"]}#{index}', []).append(run)
    for task, task_runs in runs_by_task.items():
        task_runs.sort(key=_get_start)
        for earlier, later in zip(task_runs, task_runs[1:], strict=False):
            if later['started_at'] < _get_end(earlier):
                found.append(f'{task}: {earlier["worker"]} and {later["worker"]}')
    return found


def find_repeated_starts(runs: list[Run], jobs: set[str]) -> list[str]:
    """Return those of ``jobs`` that were started more than once."""
    starts_by_task: dict[str, int] = {}
    for run in runs:
        if run['job'] in jobs:
            index = run['task'].rsplit('.', 1)[1]
            name = f'{run["job"]}#{index}'
            starts_by_task[name] = starts_by_task.get(name, 0) + 1
    return [name for name, count in starts_by_task.items() if count > 1]


def group_requests_by_mark(records: list[dict[str, Any]]) -> dict[str, list[dict[str, Any]]]:
    """Return the requests that runners received, by the ``mark`` header of their callers."""
    found: dict[str, list[dict[str, Any]]] = {}
    for record in records:
        for request in record['requests']:
            found.setdefault(request['mark'], []).append(request)
    return found


def _get_start(run: Run) -> float:
    return run['started_at']


def _get_end(run: Run) -> float:
    return run['ended_at'] or STILL_RUNNING
