"""Jobs are shown as failed after one failed run, as their route was away for some seconds."""

import time
from pathlib import Path

from review.deployment import TROUBLE, Deployment, id_of, run_case, wait_for

HOSTS = 8
RUNNERS = 8
JOBS = 6
MAX_ATTEMPTS = 3
STEP = {'count': 1, 'cpu': 2000, 'mem_mb': 100}
TASK_SECONDS = 4.0
#: Seconds for which the route is away, and in which jobs end after it is back.
AWAY_SECONDS = 7.0
END_SECONDS = 15.0
#: Versions of the configuration, which increase in uneven steps.
FIRST_VERSION = 10
WITHOUT_ROUTE = 14
WITH_ROUTE_AGAIN = 17
FINAL_STATES = frozenset(('completed', 'failed'))


def play(deployment: Deployment) -> list[str]:
    """Return the jobs that are shown as failed without cause."""
    _configure(deployment, FIRST_VERSION, ('settle', 'check'))
    deployment.start()
    paths = deployment.submit_jobs('settle', JOBS, STEP, TASK_SECONDS)
    for run in deployment.platform.runs:
        # The first run of each task fails by its own fault; a second one would be done.
        run.outcome = 'failed'
    if TROUBLE:
        _configure(deployment, WITHOUT_ROUTE, ('check',))
    time.sleep(AWAY_SECONDS)
    if TROUBLE:
        _configure(deployment, WITH_ROUTE_AGAIN, ('settle', 'check'))
    wait_for(
        lambda: all(deployment.hosts.state_of(path) in FINAL_STATES for path in paths),
        END_SECONDS,
    )
    return _find_failed_without_cause(deployment, paths)


def _configure(deployment: Deployment, version: int, names: tuple[str, ...]) -> None:
    """Write a configuration as the operator does; a route is the same in each version."""
    routes = [
        {
            'name': name,
            'host': 'desk.example',
            'path_prefix': f'/{name}/',
            'service': 'desk',
            'timeout_ms': 3000,
            'target_latency_ms': 1000,
            'priority': 1,
            'max_attempts': MAX_ATTEMPTS,
            'slack_factor': 2.0,
        }
        for name in names
    ]
    services = [{'name': 'desk', 'enforces_capacity': False}]
    document = {'version': version, 'routes': routes, 'services': services, 'limits': {}}
    deployment.platform.store.put('keyed.op', 'config', document)
    deployment.record.add(f'operator: version {version} has the routes {", ".join(names)}')


def _find_failed_without_cause(deployment: Deployment, paths: list[str]) -> list[str]:
    found = []
    runs = deployment.platform.collect_runs()
    for path in paths:
        state = deployment.hosts.state_of(path)
        task = f'{id_of(path)}.0.0.0'
        failures = sum(run.task == task and run.outcome == 'failed' for run in runs)
        if state == 'failed' and failures < MAX_ATTEMPTS:
            found.append(
                f'LOST: {path} is shown as failed; {failures} run of its task has ended failed, '
                f'and max_attempts is {MAX_ATTEMPTS}'
            )
    return found


if __name__ == '__main__':
    run_case(Path(__file__).parent, HOSTS, RUNNERS, play)
