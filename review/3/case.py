"""Jobs that ran in a zone that was lost stay without a run for a minute."""

import time
from pathlib import Path

from review.deployment import TROUBLE, ZONES, Deployment, id_of, job_of, run_case, wait_for

HOSTS = 8
RUNNERS = 24
JOBS = 24
STEP = {'count': 2, 'cpu': 1500, 'mem_mb': 100}
TASK_SECONDS = 4.0
LOST_ZONE = ZONES[2]
#: Seconds after the end of the traffic at which jobs are asked for, by the pages.
FINISH_SECONDS = 14.0
#: Seconds without a run that break the rule, and seconds for which this case watches.
IDLE_SECONDS = 3.0
WATCH_SECONDS = 8.0
POLL_SECONDS = 0.25
END_SECONDS = 60.0


def play(deployment: Deployment) -> list[str]:
    """Return the jobs that have nothing running for too long."""
    deployment.platform.configure()
    deployment.start()
    paths = deployment.submit_jobs('plain', JOBS, STEP, TASK_SECONDS)
    traffic_ended_at = time.monotonic()
    if TROUBLE:
        _lose_zone(deployment)
    time.sleep(FINISH_SECONDS)
    idle = _find_idle_jobs(deployment, paths)
    if idle and wait_for(lambda: set(idle) & _jobs_running(deployment), END_SECONDS):
        waited = time.monotonic() - traffic_ended_at
        deployment.record.add(f'the first of them runs {waited:.1f} s after the loss')
    return [
        f'LOST: {job} has nothing running for {seconds:.1f} s, from {FINISH_SECONDS} s after the '
        'end of the traffic on'
        for job, seconds in idle.items()
        if seconds >= IDLE_SECONDS
    ]


def _lose_zone(deployment: Deployment) -> None:
    """End the hosts and the runners of one zone for good."""
    for runner in deployment.platform.runners_in(LOST_ZONE):
        runner.crash()
    deployment.hosts.kill(deployment.hosts.names_in(LOST_ZONE))
    deployment.hosts.names = [
        name for name in deployment.hosts.names if name not in deployment.hosts.names_in(LOST_ZONE)
    ]
    deployment.record.add(f'{LOST_ZONE} is lost, with its hosts and its runners')


def _jobs_running(deployment: Deployment) -> set[str]:
    return {job_of(run.task) for run in deployment.platform.collect_runs() if run.ended is None}


def _has_room(deployment: Deployment) -> bool:
    """Return whether under half of the capacity that is left is in use."""
    running = [run.cpu for run in deployment.platform.collect_runs() if run.ended is None]
    left = [runner.cpu for runner in deployment.platform.runners if not runner.is_down]
    return sum(running) < sum(left) / 2


def _find_idle_jobs(deployment: Deployment, paths: list[str]) -> dict[str, float]:
    """Return for how many seconds unfinished jobs have had nothing running."""
    watched_from = time.monotonic()
    open_jobs = {
        id_of(path) for path in paths if deployment.hosts.state_of(path) != 'completed'
    } - _jobs_running(deployment)
    idle_until_by_job = dict.fromkeys(open_jobs, watched_from)
    while time.monotonic() < watched_from + WATCH_SECONDS:
        open_jobs -= _jobs_running(deployment)
        if not _has_room(deployment):
            open_jobs.clear()
        idle_until_by_job.update(dict.fromkeys(open_jobs, time.monotonic()))
        time.sleep(POLL_SECONDS)
    return {job: until - watched_from for job, until in idle_until_by_job.items()}


if __name__ == '__main__':
    run_case(Path(__file__).parent, HOSTS, RUNNERS, play)
