"""Case 9: a scheduled job that can never be done, all of whose times are due at once.

``python3 -m review.overdue_times FOLDER`` plays it. The exit status is 1 if the rule was broken, 0
if it held and 2 if the case could not be played.
"""

import sys
import threading
import time
from collections import Counter
from collections.abc import Iterator
from contextlib import contextmanager
from pathlib import Path

from review.loopback_deployment import (
    BROKEN,
    HELD,
    HTTP_OK,
    Hosts,
    Play,
    is_lost,
    make_job,
    play_case,
    share_in_use,
)

#: Of the settings: a process that exceeds it is killed, and restarted after a short delay.
MEMORY_MB = 300
KILOBYTES = 1024
RESTART_SECONDS = 0.5
WATCH_SECONDS = 0.1
#: Figures of the rule: on how many machines processes have ended, and how often.
FAULTY_MACHINES = 2
ENDS_ON_EACH = 3
#: The job: a week of minutes, all of them past, with two steps as wide as the site's widest.
TIMES = 10_000
INTERVAL_MS = 60_000
WIDTH = 60
STEPS = 2
TASK_CPU = 100
TASK_SECONDS = 0.5
NO_KIND = 'z'
SCHEDULED_JOB = '5c4e000000000001'
CLIENT_RETRIES = 4
#: The other jobs. The first ones are handed in before it, so that it is one in 20.
FIRST_JOBS = 9
JOBS = 20
PAUSE_SECONDS = 0.25


class MemoryWatch:
    """Kills a host that exceeds its memory and restarts it, as the platform does."""

    def __init__(self, play: Play) -> None:
        """Watch the hosts of a play, once started."""
        self.kills: Counter[str] = Counter()
        self._play = play
        self._stop = threading.Event()
        self._thread = threading.Thread(target=self._run, daemon=True)

    def start(self) -> None:
        """Watch in a thread."""
        self._thread.start()

    def stop(self) -> None:
        """End the thread."""
        self._stop.set()
        self._thread.join()

    def _run(self) -> None:
        hosts = self._play.hosts
        while not self._stop.wait(WATCH_SECONDS):
            for name in hosts.names:
                used = read_memory_mb(hosts, name)
                if used > MEMORY_MB:
                    hosts.kill(name)
                    self.kills[name] += 1
                    self._play.note(f'{name} has {used} MB and is killed')
                    time.sleep(RESTART_SECONDS)
                    hosts.start(name)


def read_memory_mb(hosts: Hosts, name: str) -> int:
    """Return the resident memory of a host's process, 0 if it has ended."""
    try:
        lines = Path(f'/proc/{hosts.process_by_name[name].pid}/status').read_text().splitlines()
    except OSError:
        return 0
    sizes = [int(line.split()[1]) for line in lines if line.startswith('VmRSS')]
    return sum(sizes) // KILOBYTES


@contextmanager
def memory_watch(play: Play) -> Iterator[MemoryWatch]:
    """Watch the memory of the hosts of a play."""
    watch = MemoryWatch(play)
    watch.start()
    try:
        yield watch
    finally:
        watch.stop()


def submit_patiently(play: Play, job: str, body: dict, first: int) -> bool:
    """Hand a job in as a client does: again at another host, some retries in all."""
    names = play.hosts.names
    for attempt in range(1 + CLIENT_RETRIES):
        name = names[(first + attempt) % len(names)]
        reply = play.hosts.request(name, 'POST', f'/plain/{job}', body, wait=3)
        play.note(f'POST {job} at {name}: {reply.status or "no answer"}')
        if reply.status == HTTP_OK:
            return True
        time.sleep(PAUSE_SECONDS)
    return False


def make_scheduled_job() -> dict:
    """Return a job whose last time has just been due, for a kind of runner that there is not."""
    body = make_job(TASK_SECONDS, WIDTH, TASK_CPU, requires=NO_KIND)
    body['steps'] *= STEPS
    now_ms = int(time.time() * 1000)
    return body | {
        'repeat_count': TIMES,
        'interval_ms': INTERVAL_MS,
        'first_run_ms': now_ms - TIMES * INTERVAL_MS,
    }


def submit_jobs(play: Play, numbers: range) -> list[str]:
    """Hand small jobs in, and return those that were accepted."""
    accepted = []
    for number in numbers:
        job = f'{number:016x}'
        if submit_patiently(play, job, make_job(TASK_SECONDS, 1, TASK_CPU), number):
            accepted.append(job)
        time.sleep(PAUSE_SECONDS)
    return accepted


def play_schedule(play: Play, trouble: bool) -> int:
    """Hand in some jobs, the scheduled one, and some more, under a watch on memory."""
    with memory_watch(play) as watch:
        hand_in_and_finish(play, trouble)
    play.note(f'hosts killed for their memory: {dict(watch.kills)}')
    faulty = sum(count >= ENDS_ON_EACH for count in watch.kills.values())
    return BROKEN if faulty >= FAULTY_MACHINES else HELD


def hand_in_and_finish(play: Play, trouble: bool) -> None:
    """Play the clients, and write which accepted jobs are lost."""
    accepted = submit_jobs(play, range(FIRST_JOBS))
    if trouble:
        owner = play.hosts.names.index(play.hosts.owner())
        submit_patiently(play, SCHEDULED_JOB, make_scheduled_job(), owner + 1)
    accepted += submit_jobs(play, range(FIRST_JOBS, JOBS - 1))
    play.wait_to_finish()
    now = time.monotonic()
    runs = play.platform.collect_runs()
    play.note(f'{share_in_use(play.platform, now):.2f} of the capacity is in use')
    lost = [job for job in accepted if is_lost(runs, job, now)]
    for job in lost:
        play.note(f'job {job} was accepted and has nothing running')
    play.note(f'{len(lost)} of {len(accepted)} accepted jobs wait')
    play.note(f'the first job: {play.ask(accepted[0])}' if accepted else 'none was accepted')


if __name__ == '__main__':
    sys.exit(play_case(sys.argv[1], 'Fault', play_schedule))
