"""Jobs that clients saw completed run again, once all hosts and one runner were lost."""

import time
from pathlib import Path

from review.deployment import TROUBLE, CannotRunError, Deployment, id_of, job_of, run_case

HOSTS = 8
RUNNERS = 8
JOBS = 24
#: A task that ends while the store is down.
STEP = {'count': 1, 'cpu': 2000, 'mem_mb': 100}
TASK_SECONDS = 2.2
#: Seconds that the store is down, from its start to the kills, and from these to the restart.
OUTAGE_SECONDS = 4.5
KILL_SECONDS = 2.6
RESTART_SECONDS = 0.8
#: Seconds without disruption after which a machine is in touch.
CONTACT_SECONDS = 3.0
#: Seconds after which a start of a job that was shown as completed breaks the rule.
SHOWN_SECONDS = 1.0
WATCH_SECONDS = 20.0


def play(deployment: Deployment) -> list[str]:
    """Return the starts that break the rule."""
    deployment.platform.configure()
    deployment.start()
    paths = deployment.submit_jobs('plain', JOBS, STEP, TASK_SECONDS)
    down_at = time.monotonic()
    if TROUBLE:
        _set_store_down(deployment, down=True)
    shown_at_by_job = _watch_states(deployment, paths, down_at + KILL_SECONDS)
    if TROUBLE:
        _lose_hosts_and_runner(deployment, shown_at_by_job)
        _restart_hosts(deployment, down_at + OUTAGE_SECONDS)
    calm_since = time.monotonic()
    time.sleep(WATCH_SECONDS)
    _watch_states(deployment, paths, time.monotonic() + SHOWN_SECONDS)
    return _find_starts_after_completion(deployment, shown_at_by_job, calm_since)


def _set_store_down(deployment: Deployment, *, down: bool) -> None:
    deployment.platform.store.faults.down = down
    deployment.record.add(f'the store is {"down" if down else "up"}')


def _restart_hosts(deployment: Deployment, store_up_at: float) -> None:
    """Start all hosts again, and end the outage when it is time."""
    time.sleep(RESTART_SECONDS)
    deployment.hosts.start_all()
    time.sleep(max(0.0, store_up_at - time.monotonic()))
    _set_store_down(deployment, down=False)


def _watch_states(deployment: Deployment, paths: list[str], until: float) -> dict[str, float]:
    """Ask for the jobs' states; return when each job was first shown as completed."""
    shown_at_by_job: dict[str, float] = {}
    while time.monotonic() < until:
        for path in paths:
            if id_of(path) in shown_at_by_job:
                continue
            if deployment.hosts.state_of(path) == 'completed':
                shown_at_by_job[id_of(path)] = time.monotonic()
    deployment.record.add(f'{len(shown_at_by_job)} jobs were shown as completed')
    if not shown_at_by_job:
        raise CannotRunError('no job was shown as completed')
    return shown_at_by_job


def _lose_hosts_and_runner(deployment: Deployment, shown_at_by_job: dict[str, float]) -> None:
    """Kill all hosts, and one runner on which jobs ended that were shown as completed."""
    done = [
        run.runner
        for run in deployment.platform.collect_runs()
        if run.outcome == 'done' and job_of(run.task) in shown_at_by_job
    ]
    lost = max(deployment.platform.runners, key=lambda runner: done.count(runner.name))
    lost.crash()
    deployment.record.add(f'{lost.name} is lost for good; {done.count(lost.name)} jobs ended there')
    deployment.hosts.kill(deployment.hosts.names)


def _find_starts_after_completion(
    deployment: Deployment, shown_at_by_job: dict[str, float], calm_since: float
) -> list[str]:
    """Return the starts by machines in touch, over a second after a job was shown completed."""
    found = []
    for run in deployment.platform.collect_runs():
        shown_at = shown_at_by_job.get(job_of(run.task), run.began)
        if run.began > max(shown_at + SHOWN_SECONDS, calm_since + CONTACT_SECONDS):
            found.append(
                f'TWICE: {run.task} starts again on {run.runner}, {run.began - shown_at:.1f} s '
                'after its job was shown as completed, and '
                f'{run.began - calm_since:.1f} s after the last disruption'
            )
    return found


if __name__ == '__main__':
    run_case(Path(__file__).parent, HOSTS, RUNNERS, play)
