"""Serves a steady load with hosts that have a fraction of a core: ``python -m bench.owner_load``.

Hosts run as real processes against the stand-ins of the platform. Each host is stopped for the rest
of a period once it has used its share of the period's processor time, as a host with a processor
quota is. Prints how many jobs complete, how many starts are rejected and why, and the processor
time of the hosts per start.
"""

import argparse
import json
import random
import signal
import sys
import time
from collections import Counter
from concurrent.futures import ThreadPoolExecutor
from threading import Event, Thread

from standins import EntryHosts, Run, UsersPlatform, find_duplicate_runs
from standins import find_overallocated_runners as find_overallocated

#: Seconds over which the processor time of a host is limited, as in the Linux scheduler.
QUOTA_PERIOD_SECONDS = 0.1
#: Seconds between two readings of a host's processor time.
READ_SECONDS = 0.001
NANOSECONDS = 1e9
MILLICORES = 1000
#: Seconds for which tickets are valid, as in the configuration of the stand-in.
TICKET_SECONDS = 2.0
#: Seconds between two entries that a runner writes, and between two of this program's writes.
HEARTBEAT_SECONDS = 1.5
WRITE_SECONDS = 0.1


def cpu_seconds(pid: int) -> float:
    """Return the processor time that a process has used, in seconds."""
    try:
        with open(f'/proc/{pid}/schedstat', encoding='ascii') as schedstat:
            return int(schedstat.read().split()[0]) / NANOSECONDS
    except (OSError, IndexError):
        return 0.0


class ProcessorQuota:
    """Limits the processor time of one host by stopping and continuing its process."""

    def __init__(self, hosts: EntryHosts, name: str, cores: float) -> None:
        """Let the host ``name`` use ``cores``."""
        self._hosts = hosts
        self._name = name
        self._cores = cores
        self._ended = Event()
        self._thread = Thread(target=self._run, daemon=True)

    def start(self) -> None:
        """Limit the processor time until ``stop``."""
        self._thread.start()

    def stop(self) -> None:
        """End the limit."""
        self._ended.set()
        self._thread.join()
        self._hosts.send_signal(self._name, signal.SIGCONT)

    def _run(self) -> None:
        pid = self._hosts.process_by_name[self._name].pid
        quota = self._cores * QUOTA_PERIOD_SECONDS
        allowed = cpu_seconds(pid)
        period_end = time.monotonic()
        while not self._ended.is_set():
            now = time.monotonic()
            if now >= period_end:
                period_end = max(period_end + QUOTA_PERIOD_SECONDS, now)
                # What was used beyond a period's quota counts against the next one.
                allowed = max(allowed + quota, cpu_seconds(pid) - quota)
                allowed = min(allowed, cpu_seconds(pid) + quota)
                if cpu_seconds(pid) < allowed:
                    self._hosts.send_signal(self._name, signal.SIGCONT)
            if cpu_seconds(pid) >= allowed:
                self._hosts.send_signal(self._name, signal.SIGSTOP)
                time.sleep(max(0.0, period_end - time.monotonic()))
            time.sleep(READ_SECONDS)


class OwnerLoad:
    """One run: hosts, a platform, and clients that submit jobs at a fixed rate."""

    def __init__(self, options: argparse.Namespace) -> None:
        """Prepare the platform and the hosts."""
        self._options = options
        self._random = random.Random(options.seed)
        self._platform = UsersPlatform(options.runners, options.seed)
        for runner in self._platform.runners:
            runner.rejects_excess_starts = True
            runner.ticket_seconds = TICKET_SECONDS
        self._hosts = EntryHosts(self._platform, options.hosts, block=200 + options.seed % 50)
        self._hosts.cores = options.cores
        if options.profile:
            self._hosts.command = ('-m', 'cProfile', '-o', options.profile, '-m', 'dandelionreel')
        self._statuses: Counter[int] = Counter()
        self._accepted_at_by_job: dict[str, float] = {}
        self._tasks_by_job: dict[str, int] = {}

    def run(self) -> dict[str, object]:
        """Run the load; return its figures."""
        options = self._options
        self._platform.start()
        self._platform.configure()
        ended = Event()
        Thread(target=self._write_heartbeats, args=(ended,), daemon=True).start()
        quotas = []
        try:
            for name in self._hosts.names:
                self._hosts.start(name)
            self._hosts.wait_ready()
            time.sleep(3)
            for name in self._hosts.names:
                quota = ProcessorQuota(self._hosts, name, options.cores)
                quota.start()
                quotas.append(quota)
            time.sleep(2)
            cpu_before = self._cpu_by_host()
            began = time.monotonic()
            self._submit_jobs()
            cpu = {name: used - cpu_before[name] for name, used in self._cpu_by_host().items()}
            load_seconds = time.monotonic() - began
            time.sleep(options.drain)
            for quota in quotas:
                quota.stop()
            if options.profile:
                for name in self._hosts.names:
                    self._hosts.send_signal(name, signal.SIGTERM)
                time.sleep(6)
            runs = self._platform.collect_runs()
            return self._make_figures(runs, cpu, load_seconds)
        finally:
            ended.set()
            for quota in quotas:
                quota.stop()
            if options.log:
                for name in self._hosts.names:
                    with open(f'{options.log}-{name}.log', 'w', encoding='utf-8') as log:
                        log.write(self._hosts.log_of(name))
            self._hosts.close()
            self._platform.stop()

    def _write_heartbeats(self, ended: Event) -> None:
        """Write the entry of each runner again and again, as runners do."""
        runners = self._platform.runners
        number = 0
        per_write = max(1, round(len(runners) * WRITE_SECONDS / HEARTBEAT_SECONDS))
        while not ended.wait(WRITE_SECONDS):
            for _ in range(per_write):
                number += 1
                self._platform.register(runners[number % len(runners)])

    def _submit_jobs(self) -> None:
        options = self._options
        count = int(options.rate * options.seconds)
        began = time.monotonic()
        with ThreadPoolExecutor(24) as pool:
            for number in range(count):
                due = began + number / options.rate
                time.sleep(max(0.0, due - time.monotonic()))
                tasks = self._random.randint(1, 3)
                seconds = self._random.uniform(0.4, 1.2)
                queue = 'advised' if self._random.random() < options.advised else 'plain'
                job = f'{options.seed:08x}{number:08x}'
                host = self._hosts.names[number % len(self._hosts.names)]
                pool.submit(self._submit, host, queue, job, tasks, seconds)
            time.sleep(max(0.0, began + options.seconds - time.monotonic()))

    def _submit(self, host: str, queue: str, job: str, tasks: int, seconds: float) -> None:
        cpu = self._options.cpu
        body = {
            'spec': f'{cpu} {seconds:.2f}',
            'steps': [
                {
                    'count': tasks,
                    'cpu': cpu,
                    'mem_mb': 10,
                    'estimate_ms': int(seconds * MILLICORES),
                }
            ],
        }
        reply = self._hosts.request(host, 'POST', f'/{queue}/{job}', body, wait=3)
        self._statuses[reply.status] += 1
        if reply.status == 200:
            self._accepted_at_by_job[job] = time.monotonic()
            self._tasks_by_job[job] = tasks

    def _cpu_by_host(self) -> dict[str, float]:
        return {
            name: cpu_seconds(process.pid) for name, process in self._hosts.process_by_name.items()
        }

    def _make_figures(
        self, runs: list[Run], cpu: dict[str, float], load_seconds: float
    ) -> dict[str, object]:
        done_by_job: Counter[str] = Counter()
        first_start_by_job: dict[str, float] = {}
        for run in runs:
            job = run.task.split('.')[0]
            first_start_by_job.setdefault(job, run.began)
            if run.outcome in {'done', 'unread'}:
                done_by_job[job] += 1
        rejections: Counter[str] = Counter()
        for runner in self._platform.runners:
            rejections.update(runner.rejections)
        complete = [job for job, tasks in self._tasks_by_job.items() if done_by_job[job] >= tasks]
        waits = sorted(
            max(0.0, first_start_by_job[job] - at)
            for job, at in self._accepted_at_by_job.items()
            if job in first_start_by_job
        )
        starts = len(runs) + sum(rejections.values())
        owner_cpu = cpu[self._hosts.owner()]
        lines = [
            json.loads(line)
            for name in self._hosts.names
            for line in self._hosts.log_of(name).splitlines()
            if line.startswith('{')
        ]
        texts = [line.get('text', '') for line in lines]
        return {
            'submitted': sum(self._statuses.values()),
            'statuses': dict(self._statuses),
            'accepted': len(self._tasks_by_job),
            'complete': len(complete),
            'wait_p50': round(waits[len(waits) // 2], 2) if waits else None,
            'wait_p95': round(waits[int(len(waits) * 0.95)], 2) if waits else None,
            'starts': starts,
            'outcomes': dict(Counter(run.outcome if run.ended else 'running' for run in runs)),
            'rejected': dict(rejections),
            'ran twice': len(find_duplicate_runs(runs)),
            'overallocated': len(find_overallocated(runs)),
            'terms': sum('owns the cell' in text for text in texts),
            'unanswered starts': sum('a start was not answered' in text for text in texts),
            'silent runners': sum('does not answer' in text for text in texts),
            'late lines': [text for text in texts if 'is late' in text or 'in time again' in text][
                :6
            ],
            'owner cores': round(owner_cpu / load_seconds, 3),
            'all cores': {name: round(used / load_seconds, 3) for name, used in cpu.items()},
            'owner ms per start': round(1000 * owner_cpu / max(1, starts), 2),
        }


def main() -> int:
    """Run one load and print its figures."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument('--cores', type=float, default=0.12)
    parser.add_argument('--hosts', type=int, default=3)
    parser.add_argument('--runners', type=int, default=60)
    parser.add_argument('--rate', type=float, default=8.0)
    parser.add_argument('--cpu', type=int, default=2000)
    parser.add_argument('--advised', type=float, default=0.5)
    parser.add_argument('--seconds', type=float, default=20)
    # Seconds after the load for the jobs that still wait or run.
    parser.add_argument('--drain', type=float, default=10)
    parser.add_argument('--seed', type=int, default=1)
    parser.add_argument('--profile', default='')
    parser.add_argument('--log', default='')
    options = parser.parse_args()
    figures = OwnerLoad(options).run()
    for name, figure in figures.items():
        sys.stdout.write(f'{name}: {figure}\n')
    return 0


if __name__ == '__main__':
    sys.exit(main())
