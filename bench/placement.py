"""Placement decisions under load: ``make bench-placement``.

Drives the real queue, cell, planner and policies with generated work in
virtual time; nothing is sent. Baselines run in the same program.
"""

import gc
import heapq
import json
import random
import sys
import time
from collections.abc import Callable
from dataclasses import replace
from statistics import mean

from dandelionreel.backing import Resources
from dandelionreel.placement import (
    Cell,
    CustomerTerms,
    FairQueue,
    Planner,
    RunningTask,
    RunTimeEstimator,
    Work,
    task_ids,
)

CORES = 32
MEMORY = 65_536
TASKS_PER_WORKER = 9600 / 1300
CUSTOMERS = 37
SEED = 20261202


def tell(text: str) -> None:
    """Write one line."""
    sys.stdout.write(f'{text}\n')
    sys.stdout.flush()


def percentile(values: list[float], part: float) -> float:
    """Return the value that ``part`` of the sorted values do not exceed."""
    ordered = sorted(values)
    return ordered[min(len(ordered) - 1, int(len(ordered) * part))]


def make_cell(workers: int, source: random.Random) -> Cell:
    """Return workers of 32 cores and 64 GB, a quarter of them with 8 accelerators."""
    cell = Cell(source)
    for index in range(workers):
        accelerators = 8 if index % 4 == 3 else 0
        capacity = Resources(CORES, MEMORY, accelerators)
        cell.add(f'w{index}', f'rack{index // 6}', capacity)
    return cell


def make_work(index: int, source: random.Random, now: float, **changes) -> Work:
    """Return one batch job of mixed size."""
    cores = source.choice((1, 1, 2, 2, 4, 4, 8))
    memory = cores * source.choice((1024, 2048, 3072))
    accelerators = source.choice((1, 2)) if source.random() < 0.08 else 0
    work = Work(
        f'z.{index}',
        f'c{source.randrange(CUSTOMERS)}',
        'batch',
        Resources(cores, memory, accelerators),
        now,
        3600,
        10,
        run_seconds=60,
        kind='chart',
        preemptible=True,
    )
    return replace(work, **changes) if changes else work


def no_terms(customer: str) -> CustomerTerms:
    """Return terms without quota."""
    return CustomerTerms()


def finish(planner: Planner, work: Work, workers: tuple[str, ...]) -> None:
    """Release all tasks of a job."""
    for task_id, name in zip(task_ids(work.id, work.attempt, work.tasks), workers, strict=True):
        worker = planner.cell.worker_by_name.get(name)
        if worker is not None:
            planner.cell.remove_task(worker, task_id)


class FirstFit:
    """Baseline: arrival order, the first worker that fits, no fairness."""

    def __init__(self, cell: Cell) -> None:
        """Place on ``cell``."""
        self.cell = cell

    def choose(self, work: Work) -> str:
        """Return the first worker with room."""
        for name, worker in self.cell.worker_by_name.items():
            if self.cell.fits(worker, work.demand):
                return name
        return ''


class LeastLoaded(FirstFit):
    """Baseline: the worker with the most free processors."""

    def choose(self, work: Work) -> str:
        """Return the emptiest worker with room."""
        best, most = '', -1.0
        for name, worker in self.cell.worker_by_name.items():
            if worker.free.processors > most and self.cell.fits(worker, work.demand):
                best, most = name, worker.free.processors
        return best


def churn(workers: int, rounds: int) -> dict[str, float]:
    """Return decision times with a full complement of running tasks."""
    source = random.Random(SEED)
    planner = Planner(make_cell(workers, source), FairQueue(no_terms), RunTimeEstimator())
    running: list[tuple[Work, tuple[str, ...]]] = []
    index = 0
    while len(running) < workers * TASKS_PER_WORKER:
        planner.queue.add(make_work(index, source, 0))
        index += 1
        for placement in planner.decide(0, 1):
            running.append((placement.work, placement.workers))
    for _ in range(200):
        planner.queue.add(make_work(index, source, 0))
        index += 1
    gc.collect()
    gc.freeze()
    times = []
    now = 1.0
    while len(times) < rounds:
        for _ in range(4):
            place = source.randrange(len(running))
            running[place], running[-1] = running[-1], running[place]
            finish(planner, *running.pop())
        for _ in range(4):
            planner.queue.add(make_work(index, source, now))
            index += 1
        while True:
            began = time.perf_counter()
            placed = planner.decide(now, 1)
            took = time.perf_counter() - began
            if not placed:
                break
            times.append(took)
            running.extend((one.work, one.workers) for one in placed)
        now += 0.01
    gc.unfreeze()
    return {
        'workers': workers,
        'running': len(running),
        'decisions_per_second': 1 / mean(times),
        'median_ms': percentile(times, 0.5) * 1000,
        'p99_ms': percentile(times, 0.99) * 1000,
    }


def best_fit_decreasing(workers: int, jobs: list[Work]) -> float:
    """Return the processors placed by an offline pass over the sorted work."""
    cell = make_cell(workers, random.Random(SEED))
    placed = 0.0
    for work in sorted(
        jobs,
        key=lambda one: (-one.demand.accelerators, -one.demand.processors, -one.demand.memory_mb),
    ):
        best, least = None, float('inf')
        for worker in cell.worker_by_name.values():
            if not cell.fits(worker, work.demand):
                continue
            if worker.accelerators and not work.demand.accelerators and least != float('inf'):
                continue
            left = worker.free.processors / CORES + worker.free.memory_mb / MEMORY
            if left < least:
                best, least = worker, left
        if best is not None:
            hold(cell, best.name, work)
            placed += work.demand.processors
    return placed


def hold(cell: Cell, name: str, work: Work) -> None:
    """Count one task."""
    worker = cell.worker_by_name[name]
    running = RunningTask(f'{work.id}.1.0', work.id, work.customer, 'batch', work.demand, 0, 60)
    cell.add_task(worker, running)


def packing(workers: int) -> dict[str, float]:
    """Return how much of the offline pass's packing each way reaches."""
    source = random.Random(SEED)
    jobs = [make_work(index, source, index) for index in range(int(workers * 14))]
    offline = best_fit_decreasing(workers, jobs)
    planner = Planner(make_cell(workers, source), FairQueue(no_terms), RunTimeEstimator())
    for work in jobs:
        planner.queue.add(work)
    ours = 0.0
    while True:
        placed = planner.decide(0, 64)
        if not placed:
            break
        ours += sum(one.work.demand.processors for one in placed)
    result = {'ours': ours / offline}
    for name, way in (('first_fit', FirstFit), ('least_loaded', LeastLoaded)):
        baseline = way(make_cell(workers, source))
        total = 0.0
        for work in jobs:
            chosen = baseline.choose(work)
            if chosen:
                hold(baseline.cell, chosen, work)
                total += work.demand.processors
        result[name] = total / offline
    return result


class Day:
    """Virtual time over a planner: arrivals, ends, and what waited how long."""

    def __init__(self, workers: int, terms: Callable[[str], CustomerTerms] = no_terms) -> None:
        """Start with empty workers."""
        self.source = random.Random(SEED)
        self.planner = Planner(
            make_cell(workers, self.source), FairQueue(terms), RunTimeEstimator()
        )
        self.now = 0.0
        self.ends: list[tuple[float, int, Work, tuple[str, ...]]] = []
        self.waits: dict[str, list[float]] = {}
        self.index = 0
        self.stopped: set[str] = set()
        self.decide_times: list[float] = []

    def add(self, **changes) -> Work:
        """Let a job arrive."""
        work = make_work(self.index, self.source, self.now, **changes)
        self.index += 1
        self.planner.queue.add(work)
        return work

    def step(self, seconds: float) -> None:
        """Let time pass, tasks end, and decisions be made."""
        until = self.now + seconds
        self.decide()
        while self.ends and self.ends[0][0] <= until:
            self.now, _, work, workers = heapq.heappop(self.ends)
            if work.id in self.stopped:
                self.stopped.discard(work.id)
                continue
            finish(self.planner, work, workers)
            self.decide()
        self.now = until

    def decide(self) -> None:
        """Make decisions; victims stop at once and wait again."""
        while True:
            began = time.perf_counter()
            placed = self.planner.decide(self.now, 64)
            self.decide_times.append(time.perf_counter() - began)
            for one in placed:
                self._start(one)
            if len(placed) < 64:
                return

    def _start(self, placement) -> None:
        for victim in placement.victims:
            for name in placement.workers:
                worker = self.planner.cell.worker_by_name[name]
                if self.planner.cell.remove_task(worker, victim.task_id):
                    self.stopped.add(victim.job)
        work = placement.work
        kind = 'gang' if work.tasks > 1 else work.task_class
        self.waits.setdefault(kind, []).append(self.now - work.accepted_at)
        length = work.run_seconds * self.source.uniform(0.2, 2)
        heapq.heappush(self.ends, (self.now + length, self.index, work, placement.workers))
        self.index += 1


def urgent_waiting(backlog: float) -> dict[str, float]:
    """Return urgent work's waiting with a batch backlog of so many cells' work."""
    day = Day(24)
    cell_jobs = int(24 * CORES / 3.14)
    for _ in range(int(cell_jobs * backlog)):
        day.add()
    day.step(30)
    for _ in range(600):
        for _ in range(2):
            day.add(
                task_class='urgent',
                priority=100,
                longest_wait=2.5,
                run_seconds=2,
                demand=Resources(1, 512, 0),
                preemptible=False,
            )
        day.step(0.1)
    waits = day.waits['urgent']
    return {
        'urgent_started': len(waits),
        'p50_s': percentile(waits, 0.5),
        'p99_s': percentile(waits, 0.99),
        'decide_p99_ms': percentile(day.decide_times, 0.99) * 1000,
    }


def fairness() -> dict[str, float]:
    """Return the largest deviation of shares from weights while all are backlogged."""
    weights = {'c0': 1.0, 'c1': 1.0, 'c2': 2.0, 'c3': 4.0}
    day = Day(200, lambda customer: CustomerTerms(weight=weights[customer]))
    for index in range(60_000):
        day.add(customer=f'c{index % 4}', run_seconds=60)
    deviations = []
    for _ in range(40):
        day.step(5)
        if day.now < 30:
            continue
        used = day.planner.cell.usage
        total = day.planner.cell.total
        shares = {name: used.of(name).dominant_share(total) for name in weights}
        whole = sum(shares.values())
        deviations.append(
            max(
                abs(shares[name] / whole - weight / 8) / (weight / 8)
                for name, weight in weights.items()
            ),
        )
    return {'mean_deviation': mean(deviations), 'worst_deviation': max(deviations)}


def cancellations() -> dict[str, float]:
    """Return urgent decision time around a wave of 5,000 cancellations."""

    def urgent_time(day: Day) -> float:
        times = []
        for _ in range(300):
            day.add(
                task_class='urgent',
                priority=100,
                longest_wait=2.5,
                run_seconds=1,
                demand=Resources(1, 512, 0),
                preemptible=False,
            )
            began = time.perf_counter()
            day.step(0.01)
            times.append(time.perf_counter() - began)
        return percentile(times, 0.99) * 1000

    day = Day(24)
    waiting = [day.add().id for _ in range(8000)]
    day.step(1)
    quiet = urgent_time(day)
    began = time.perf_counter()
    for job in waiting[:5000]:
        day.planner.queue.remove(job)
    wave = time.perf_counter() - began
    return {'quiet_p99_ms': quiet, 'wave_ms': wave * 1000, 'after_p99_ms': urgent_time(day)}


def bad_worker() -> dict[str, float]:
    """Return the starts lost to one worker that fails all, within a minute."""
    day = Day(24)
    cell = day.planner.cell
    bad = 'w5'
    lost = starts = 0
    now = 0.0
    while now < 60:
        for _ in range(8):
            day.add(run_seconds=5, demand=Resources(1, 1024, 0))
        day.now = now
        for one in day.planner.decide(now, 64):
            starts += 1
            if one.workers[0] == bad:
                lost += 1
                finish(day.planner, one.work, one.workers)
                cell.note_failure(cell.worker_by_name[bad], one.work.id, now)
            else:
                day._start(one)
        while day.ends and day.ends[0][0] <= now:
            _, _, work, workers = heapq.heappop(day.ends)
            finish(day.planner, work, workers)
            cell.note_success(cell.worker_by_name[workers[0]])
        now += 0.1
    return {'starts': starts, 'lost': lost, 'lost_part': lost / starts}


def wrong_declarations() -> dict[str, float]:
    """Return what run times off by up to ten times either way do.

    Ends are reported 30 s late: the ledger counts a task until then.
    """
    day = Day(24)
    times = RunTimeEstimator()
    factor_by_kind = {f'k{index}': 10 ** day.source.uniform(-1, 1) for index in range(12)}
    ends: list[tuple[float, int, Work, tuple[str, ...]]] = []
    over_filled = late = starts = 0
    declared_error: list[float] = []
    learned_error: list[float] = []
    now = 0.0
    while now < 1800:
        for _ in range(2):
            kind = day.source.choice(tuple(factor_by_kind))
            day.add(kind=kind, customer='c0', run_seconds=30, longest_wait=900)
        day.now = now
        for one in day.planner.decide(now, 64):
            work = one.work
            actual = 30 * factor_by_kind[work.kind] * day.source.uniform(0.9, 1.1)
            if now > 600:
                learned = times.estimate('c0', work.kind, 30)
                learned_error.append(max(learned / actual, actual / learned))
                declared_error.append(max(30 / actual, actual / 30))
            starts += 1
            late += now > work.due_at
            times.add_run('c0', work.kind, actual)
            heapq.heappush(ends, (now + actual + 30, starts, work, one.workers))
        for worker in day.planner.cell.worker_by_name.values():
            over_filled += not worker.used.fits(worker.capacity)
        while ends and ends[0][0] <= now:
            _, _, work, workers = heapq.heappop(ends)
            finish(day.planner, work, workers)
        now += 1
    return {
        'starts': starts,
        'over_filled': over_filled,
        'past_longest_wait': late,
        'declared_off_median': percentile(declared_error, 0.5),
        'learned_off_median': percentile(learned_error, 0.5),
        'learned_off_p99': percentile(learned_error, 0.99),
    }


def gangs() -> dict[str, float]:
    """Return how long gangs wait under a steady load of small jobs."""
    day = Day(24)
    for _ in range(2000):
        day.add(run_seconds=20)
    for index in range(200):
        if index % 10 == 0:
            day.add(
                tasks=24,
                demand=Resources(8, 8192, 0),
                run_seconds=20,
                id=f'z.g{index}',
                longest_wait=600,
            )
        day.add(run_seconds=20)
        day.step(1)
    waits = day.waits.get('gang', [0.0])
    return {
        'gangs_started': len(waits),
        'gang_longest_wait_s': max(waits),
        'small_started': len(day.waits['batch']),
    }


def main() -> int:
    """Print all figures, and as JSON in the last line."""
    figures = {}
    figures['churn'] = [churn(size, 4000) for size in (24, 100, 400, 1300)]
    for row in figures['churn']:
        tell(f'churn: {row}')
    small, large = figures['churn'][0], figures['churn'][-1]
    growth = small['decisions_per_second'] / large['decisions_per_second']
    tell(f'cost of a decision grows {growth:.2f} times from 24 to 1300 workers')
    figures['packing'] = packing(24)
    tell(f'packing against offline best fit decreasing: {figures["packing"]}')
    figures['waiting'] = {str(size): urgent_waiting(size) for size in (0.5, 10)}
    for size, row in figures['waiting'].items():
        tell(f'urgent waiting with a backlog of {size} cells: {row}')
    for name, measure in (
        ('fairness', fairness),
        ('cancellations', cancellations),
        ('bad_worker', bad_worker),
        ('gangs', gangs),
        ('wrong_declarations', wrong_declarations),
    ):
        figures[name] = measure()
        tell(f'{name}: {figures[name]}')
    tell(json.dumps(figures))
    return 0


if __name__ == '__main__':
    sys.exit(main())
