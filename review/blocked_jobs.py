"""Case 10: a gang for which there is never room, in a service that is mostly idle.

``python3 -m review.blocked_jobs FOLDER`` plays it. The exit status is 1 if the rule was broken,
0 if it held and 2 if the case could not be played.
"""

import sys
import time

from review.loopback_deployment import (
    BROKEN,
    HELD,
    HTTP_OK,
    NOT_PLAYED,
    RUNNERS,
    Play,
    SmallPlatform,
    is_lost,
    make_job,
    play_case,
    share_in_use,
)
from standins._users_platform import Run

QUEUES = ('plain', 'batch')
#: Seconds until a configuration is in force everywhere, and a little longer.
CONFIGURATION_SECONDS = 3.0
#: Of the 8 processors of a runner, in thousandths: those of the service, of a member of the gang
#: and of an ordinary task.
SERVICE_CPU = 3000
CPU_LIMIT = 0.5
SERVICE_JOB = '5e121ce000000001'
SERVICE_SECONDS = 3600
MEMBER_CPU = 6000
TASK_CPU = 1000
MEMBER_SECONDS = 12.0
TASK_SECONDS = 0.5
MILLISECONDS = 1000
GANG_JOB = '9a16000000000001'
JOBS = 20
PAUSE_SECONDS = 0.25
SETTLE_SECONDS = 2.0


def configure(platform: SmallPlatform) -> None:
    """Write a configuration with an urgent queue and one that is less urgent."""
    routes = [
        {
            'name': name,
            'host': 'desk.example',
            'path_prefix': f'/{name}/',
            'service': 'desk',
            'timeout_ms': 3000,
            'target_latency_ms': 250,
            'priority': priority,
            'max_attempts': 2,
            'slack_factor': 2.0,
        }
        for priority, name in enumerate(QUEUES)
    ]
    services = [{'name': 'desk', 'enforces_capacity': False}]
    document = {'version': 2, 'routes': routes, 'services': services, 'limits': {}}
    platform.store.put('keyed.op', 'config', document)


def submit_batch_job(play: Play, number: int) -> bool:
    """Hand a job of one task in on the less urgent queue."""
    name = play.hosts.names[number % len(play.hosts.names)]
    job = f'{number:016x}'
    body = make_job(TASK_SECONDS, 1, TASK_CPU)
    body['steps'][0]['estimate_ms'] = int(TASK_SECONDS * MILLISECONDS)
    reply = play.hosts.request(name, 'POST', f'/batch/{job}', body)
    play.note(f'POST /batch/{job} at {name}: {reply.status or "no answer"}')
    return reply.status == HTTP_OK


def play_gang(play: Play, trouble: bool) -> int:
    """Start the service, hand in the gang, then the other jobs."""
    configure(play.platform)
    time.sleep(CONFIGURATION_SECONDS)
    service = make_job(SERVICE_SECONDS, RUNNERS, SERVICE_CPU, long_running=True, anti_affinity=1)
    service['steps'][0].pop('estimate_ms')
    if not play.submit(SERVICE_JOB, service):
        return NOT_PLAYED
    time.sleep(SETTLE_SECONDS)
    play.note_counts()
    gang = make_job(MEMBER_SECONDS, RUNNERS, MEMBER_CPU, gang=True)
    gang['steps'][0]['estimate_ms'] = int(MEMBER_SECONDS * MILLISECONDS)
    if trouble and not play.submit(GANG_JOB, gang):
        return NOT_PLAYED
    accepted = []
    for number in range(JOBS):
        if submit_batch_job(play, number):
            accepted.append(f'{number:016x}')
        time.sleep(PAUSE_SECONDS)
    play.wait_to_finish()
    return judge(play, accepted)


def free_cpu(platform: SmallPlatform, runs: list[Run]) -> list[int]:
    """Return the free processors of each runner, in thousandths."""
    return [
        runner.cpu - sum(run.cpu for run in runs if run.runner == runner.name and run.ended is None)
        for runner in platform.runners
    ]


def judge(play: Play, accepted: list[str]) -> int:
    """Judge LOST for the accepted jobs of the less urgent queue."""
    now = time.monotonic()
    runs = play.platform.collect_runs()
    in_use = share_in_use(play.platform, now)
    slots = sum(max(0, free) // TASK_CPU for free in free_cpu(play.platform, runs))
    play.note(f'{in_use:.2f} of the capacity is in use; {slots} more such tasks fit now')
    lost = [job for job in accepted if is_lost(runs, job, now)]
    for job in lost:
        had = sum(run.task.startswith(job) for run in runs)
        reply = play.hosts.request(play.hosts.names[0], 'GET', f'/batch/{job}')
        play.note(
            f'job {job} has nothing running and has had {had} runs: '
            f'{reply.status} {reply.body.get("state", "")}'
        )
    play.note(f'{len(lost)} of {len(accepted)} accepted jobs wait')
    has_room = in_use < CPU_LIMIT and slots >= 2
    return BROKEN if lost and has_room else HELD


if __name__ == '__main__':
    sys.exit(play_case(sys.argv[1], 'LOST', play_gang))
