"""Jobs run whose clients were told that their key is unknown: a key is taken away meanwhile."""

import threading
import time
from pathlib import Path

from review.deployment import TROUBLE, ZONES, Deployment, job_of, run_case
from standins import AccountRow

HOSTS = 8
RUNNERS = 8
CLIENTS = 12
OLD_KEY = 'key-old'
NEW_KEY = 'key-new'
#: Seconds from the cut to the version without the key, and for which the cut lasts.
REVOKE_SECONDS = 0.3
CUT_SECONDS = 5.5
END_SECONDS = 8.0
FIRST_VERSION = 10
WITHOUT_KEY = 14
REJECTIONS = frozenset((400, 401, 403, 404, 409, 413, 429, 503))
BODY = {'spec': '500 1', 'steps': [{'count': 1, 'cpu': 500, 'mem_mb': 10, 'estimate_ms': 1000}]}


def play(deployment: Deployment) -> list[str]:
    """Return the starts of jobs that were rejected."""
    _configure(deployment, FIRST_VERSION, (OLD_KEY, NEW_KEY))
    deployment.start()
    owner = deployment.platform.last_conditional_writer()
    hosts = _choose_hosts(deployment, owner)
    if TROUBLE:
        deployment.platform.cut_answers_of_store(owner)
    healed_at = time.monotonic() + CUT_SECONDS
    statuses_by_job = _submit_and_revoke(deployment, hosts)
    time.sleep(healed_at - time.monotonic())
    deployment.platform.heal_links()
    time.sleep(END_SECONDS)
    return [
        f'REFUSED: {run.task} starts on {run.runner}; the only attempt to hand its job in was '
        f'answered {statuses_by_job[job_of(run.task)]}'
        for run in deployment.platform.collect_runs()
        if statuses_by_job.get(job_of(run.task)) in REJECTIONS
    ]


def _choose_hosts(deployment: Deployment, owner: str) -> list[str]:
    """Return the hosts of the clients: those that try the first host of their zone next.

    That is another host than the owner.
    """
    chosen: list[str] = []
    for zone in ZONES:
        first, *others = deployment.hosts.names_in(zone)
        if first != owner:
            chosen.extend(name for name in others if name != owner)
    return chosen


def _submit_and_revoke(deployment: Deployment, hosts: list[str]) -> dict[str, int]:
    """Hand in a job by each client, and take their key away; return the statuses by job."""
    statuses_by_job: dict[str, int] = {}
    clients = [
        threading.Thread(
            target=_submit_once,
            args=(deployment, hosts[number % len(hosts)], f'{number + 1:016x}', statuses_by_job),
        )
        for number in range(CLIENTS)
    ]
    for client in clients:
        client.start()
    time.sleep(REVOKE_SECONDS)
    _configure(deployment, WITHOUT_KEY, (NEW_KEY,))
    for answered in clients:
        answered.join()
    return statuses_by_job


def _configure(deployment: Deployment, version: int, keys: tuple[str, ...]) -> None:
    deployment.platform.configure(version, [AccountRow('lounge', keys)])
    deployment.record.add(f'operator: version {version} has the keys {", ".join(keys)}')


def _submit_once(
    deployment: Deployment, host: str, job: str, statuses_by_job: dict[str, int]
) -> None:
    """Hand a job in; a client whose key is unknown does not try again."""
    status, _answer = deployment.hosts.request(host, 'POST', f'/plain/{job}', BODY, OLD_KEY)
    statuses_by_job[job] = status


if __name__ == '__main__':
    run_case(Path(__file__).parent, HOSTS, RUNNERS, play, store_links=True)
