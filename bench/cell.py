"""Benchmarks of a cell of real daemons with default timings: ``make bench-cell``.

Measures idle cost by cell size, bytes of peer messages by kind, take-over times, publication
times, and appends to the log during a burst of jobs.
"""

import json
import os
import signal
import sys
import time
from concurrent.futures import ThreadPoolExecutor
from functools import partial
from statistics import mean, median
from typing import Any

from features.cells import contract, job
from standins import Cluster, Layout, exchange, wait_until

TICKS_PER_SECOND = os.sysconf('SC_CLK_TCK')
IDLE_SECONDS = 15.0
#: Zones, daemons per zone, workers per zone, and running tasks in all.
SIZES = (
    (1, 1, 1, 0),
    (1, 1, 24, 0),
    (1, 3, 24, 0),
    (1, 3, 72, 0),
    (1, 3, 24, 400),
    (3, 3, 8, 0),
    (3, 3, 24, 900),
    (4, 5, 6, 0),
)


def print_figures(name: str, **fields) -> None:
    """Print one line of figures, rounded."""
    rounded = {
        key: round(field, 3) if isinstance(field, float) else field for key, field in fields.items()
    }
    sys.stdout.write(f'{name}: {json.dumps(rounded)}\n')
    sys.stdout.flush()


def cpu_seconds(pid: int) -> float:
    """Return the processor time of a process, in seconds."""
    with open(f'/proc/{pid}/stat', encoding='ascii') as stat:
        fields = stat.read().rsplit(')', 1)[1].split()
    return (int(fields[11]) + int(fields[12])) / TICKS_PER_SECOND


def memory_mb(pid: int) -> float:
    """Return a process's resident memory in megabytes, 0 if unknown."""
    with open(f'/proc/{pid}/status', encoding='ascii') as status:
        for line in status:
            if line.startswith('VmRSS'):
                return int(line.split()[1]) / 1024
    return 0


def control_bytes(cell: Cluster, name: str) -> dict[str, float]:
    """Return the bytes of peer messages so far, by kind."""
    text = cell.request_as_operator(name, 'GET', '/metrics').body.decode()
    bytes_by_kind = {}
    for line in text.splitlines():
        if line.startswith('dandelionreel_control_bytes_total'):
            kind = line.split('"')[1]
            bytes_by_kind[kind] = bytes_by_kind.get(kind, 0) + float(line.rsplit(' ', 1)[1])
    return bytes_by_kind


def measure_idle(zones: int, daemons: int, workers: int, running: int) -> dict[str, Any]:
    """Print and return the idle cost of a daemon in a cell of the given size."""
    names = ('ub-a', 'ub-b', 'ub-c', 'ub-d')[:zones]
    layout = Layout(names, daemons, workers, min(workers, 8), timings={})
    with Cluster(layout) as cell:
        cell.publish(contract(quota={'processors': 1e6, 'memory_mb': 1e9}, jobs_waiting=100_000))
        if running:
            start_running(cell, running)
        time.sleep(8)
        pids = {name: daemon.process.pid for name, daemon in cell.daemons.items()}
        cpu_before = {name: cpu_seconds(pid) for name, pid in pids.items()}
        bytes_before = {name: control_bytes(cell, name) for name in pids}
        log_before = exchange(cell.address, cell.log_port, 'GET', '/control/counts').json()
        time.sleep(IDLE_SECONDS)
        cpu = [(cpu_seconds(pid) - cpu_before[name]) / IDLE_SECONDS for name, pid in pids.items()]
        log_after = exchange(cell.address, cell.log_port, 'GET', '/control/counts').json()
        by_kind: dict[str, float] = {}
        for name in pids:
            for kind, count in control_bytes(cell, name).items():
                rate = (count - bytes_before[name].get(kind, 0)) / IDLE_SECONDS / len(pids)
                by_kind[kind] = round(by_kind.get(kind, 0) + rate, 1)
        row = {
            'zones': zones,
            'daemons': zones * daemons,
            'workers': zones * workers,
            'running': running,
            'near': daemons - 1,
            'far': (zones - 1) * daemons,
            'zone_workers': workers,
            'owned_workers': workers / daemons,
            'owned_tasks': running / (zones * daemons),
            'cpu_percent': mean(cpu) * 100,
            'cpu_percent_worst': max(cpu) * 100,
            'memory_mb': mean([memory_mb(pid) for pid in pids.values()]),
            'control_bytes': sum(by_kind.values()),
            'by_kind': by_kind,
            'log_reads_per_second': (log_after['reads'] - log_before['reads']) / IDLE_SECONDS,
        }
        print_figures('idle', **row)
        return row


def start_running(cell: Cluster, count: int) -> None:
    """Submit ``count`` long jobs and wait until they run."""
    demand = {'processors': 0.5, 'memory_mb': 64}
    spec = job('run 600', demand=demand, idempotent=True, run_seconds=600)

    def submit(index: int) -> None:
        names = list(cell.daemons)
        cell.submit(names[index % len(names)], spec, f'bench-{index}')

    with ThreadPoolExecutor(16) as pool:
        list(pool.map(submit, range(count)))
    wait_until(lambda: len(cell.runs()) >= count, 60, 0.5)


def measure_takeover(kind: str, signal_number: signal.Signals, rounds: int) -> None:
    """Print how long shards lack an acting owner after one daemon fails."""
    times = []
    for _ in range(rounds):
        with Cluster(Layout(('ub-east',), 3, 4, 4, timings={})) as cell:
            cell.publish(contract())
            victim = 'ub-east-d0'
            cell.signal(victim, signal_number)
            began = time.monotonic()

            def all_taken() -> bool:
                shards = cell.request_as_operator('ub-east-d1', 'GET', '/v1/shards').json()
                shards += cell.request_as_operator('ub-east-d2', 'GET', '/v1/shards').json()
                acting = {shard['shard'] for shard in shards if shard['level'] != 'none'}
                return len(acting) == 9

            if wait_until(all_taken, 40, 0.05):
                times.append(time.monotonic() - began)
    print_figures(
        f'takeover after {kind}', runs=len(times), median_s=median(times), worst_s=max(times)
    )


def measure_publication(rounds: int) -> None:
    """Print how long a contract version takes to be in force on all daemons."""
    with Cluster(Layout(('ub-a', 'ub-b', 'ub-c'), 3, 1, 1, timings={})) as cell:
        cell.publish(contract())
        healthy_times = []
        for version in range(2, 2 + rounds):
            began = time.monotonic()
            cell.publish(contract(version), version - 1)
            wait_until(partial(is_in_force, cell, version), 30, 0.01)
            healthy_times.append(time.monotonic() - began)
        version = 2 + rounds
        cell.kill('ub-c-d2')
        began = time.monotonic()
        reply = cell.publish(contract(version), version - 1)
        wait_until(partial(is_in_force, cell, version), 30, 0.01)
        dying_seconds = time.monotonic() - began
    print_figures(
        'publication to 9 daemons',
        rounds=rounds,
        quiet_median_s=median(healthy_times),
        quiet_worst_s=max(healthy_times),
        one_member_dying_s=dying_seconds,
        status=reply.status,
    )


def is_in_force(cell: Cluster, version: int) -> bool:
    """Return whether all running daemons enforce the contract version."""
    for daemon in cell.daemons.values():
        if not daemon.is_running:
            continue
        status = cell.request_as_operator(daemon.name, 'GET', '/v1/status').json()
        if status['contracts'].get('khangai') != version:
            return False
    return True


def measure_burst(jobs: int) -> None:
    """Print throughput and log appends for a burst of short jobs."""
    with Cluster(Layout(('ub-east',), 3, 8, 1, timings={})) as cell:
        cell.publish(contract(quota={'processors': 1e6, 'memory_mb': 1e9}))
        time.sleep(2)
        before = exchange(cell.address, cell.log_port, 'GET', '/control/counts').json()
        spec = job('run 0.2', demand={'processors': 1, 'memory_mb': 64}, idempotent=True)
        names = list(cell.daemons)
        began = time.monotonic()

        def submit(index: int) -> int:
            return cell.submit(names[index % 3], spec, f'burst-{index}').status

        pids = [daemon.process.pid for daemon in cell.daemons.values()]
        cpu = sum(cpu_seconds(pid) for pid in pids)
        with ThreadPoolExecutor(32) as pool:
            accepted = sum(status == 202 for status in pool.map(submit, range(jobs)))
        submit_seconds = time.monotonic() - began
        wait_until(lambda: len(cell.runs()) >= accepted, 60, 0.1)
        start_seconds = time.monotonic() - began
        time.sleep(2)
        cpu = sum(cpu_seconds(pid) for pid in pids) - cpu
        after = exchange(cell.address, cell.log_port, 'GET', '/control/counts').json()
    appends = after['appends'] - before['appends']
    records = after['records'] - before['records']
    print_figures(
        'burst',
        jobs=accepted,
        accepted_per_second=accepted / submit_seconds,
        starts_per_second=accepted / start_seconds,
        appends=appends,
        appends_per_second=appends / start_seconds,
        records_per_append=records / appends,
        cpu_ms_per_job=cpu / accepted * 1000,
    )


def main() -> int:
    """Run all benchmarks."""
    for size in (
        (1, 1, 1, 0),
        (1, 3, 8, 0),
        (3, 3, 8, 0),
        (3, 3, 24, 0),
        (3, 3, 8, 120),
        (3, 3, 8, 360),
    ):
        measure_idle(*size)
    measure_takeover('SIGKILL', signal.SIGKILL, 7)
    measure_takeover('SIGSTOP', signal.SIGSTOP, 5)
    measure_publication(10)
    measure_burst(1500)
    return 0


if __name__ == '__main__':
    sys.exit(main())
