"""Benchmark of placement decisions: ``make bench-placement``.

Drives the real queue, cell, planner and policies with generated work in virtual time; no
messages are sent. Baseline policies run in the same program.
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
    make_task_ids,
)

CORES_PER_WORKER = 32
MEMORY_MB = 65_536
TASKS_PER_WORKER = 9600 / 1300
CUSTOMERS = 37
SEED = 20261202


def print_line(text: str) -> None:
    """Print one line at once."""
    sys.stdout.write(f'{text}\n')
    sys.stdout.flush()


def percentile(values: list[float], share: float) -> float:
    """Return the percentile of the values; ``share`` is between 0 and 1."""
    ordered = sorted(values)
    return ordered[min(len(ordered) - 1, int(len(ordered) * share))]


def make_cell(workers: int, rng: random.Random) -> Cell:
    """Return a cell of workers with 32 cores and 64 GB, a quarter of them with 8 accelerators."""
    cell = Cell(rng)
    for index in range(workers):
        accelerators = 8 if index % 4 == 3 else 0
        capacity = Resources(CORES_PER_WORKER, MEMORY_MB, accelerators)
        cell.add_worker(f'w{index}', f'rack{index // 6}', capacity)
    return cell


def make_work(index: int, rng: random.Random, now: float, **changes) -> Work:
    """Return one batch job of mixed size."""
    cores = rng.choice((1, 1, 2, 2, 4, 4, 8))
    memory = cores * rng.choice((1024, 2048, 3072))
    accelerators = rng.choice((1, 2)) if rng.random() < 0.08 else 0
    work = Work(
        f'z.{index}',
        f'c{rng.randrange(CUSTOMERS)}',
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


def default_terms(customer: str) -> CustomerTerms:
    """Return terms without quota."""
    return CustomerTerms()


def release_tasks(planner: Planner, work: Work, workers: tuple[str, ...]) -> None:
    """Release the resources of all tasks of a job."""
    for task_id, name in zip(
        make_task_ids(work.id, work.attempt, work.tasks), workers, strict=True
    ):
        worker = planner.cell.worker_by_name.get(name)
        if worker is not None:
            planner.cell.remove_task(worker, task_id)


class FirstFit:
    """Baseline: jobs in arrival order, each on the first worker that fits; no fairness."""

    def __init__(self, cell: Cell) -> None:
        """Place tasks on the workers of ``cell``."""
        self.cell = cell

    def choose(self, work: Work) -> str:
        """Return the first worker on which the task fits, or an empty name."""
        for name, worker in self.cell.worker_by_name.items():
            if self.cell.fits_worker(worker, work.demand):
                return name
        return ''


class LeastLoaded(FirstFit):
    """Baseline: each task on the worker with the most free processors."""

    def choose(self, work: Work) -> str:
        """Return the worker with the most free processors that fits, or an empty name."""
        best, most = '', -1.0
        for name, worker in self.cell.worker_by_name.items():
            if worker.free.processors > most and self.cell.fits_worker(worker, work.demand):
                best, most = name, worker.free.processors
        return best


def measure_churn(workers: int, rounds: int) -> dict[str, float]:
    """Return decision times in a full cell in which tasks end and arrive all the time."""
    rng = random.Random(SEED)
    planner = Planner(make_cell(workers, rng), FairQueue(default_terms), RunTimeEstimator())
    running: list[tuple[Work, tuple[str, ...]]] = []
    index = 0
    while len(running) < workers * TASKS_PER_WORKER:
        planner.queue.add(make_work(index, rng, 0))
        index += 1
        for placement in planner.decide_placements(0, 1):
            running.append((placement.work, placement.workers))
    for _ in range(200):
        planner.queue.add(make_work(index, rng, 0))
        index += 1
    gc.collect()
    gc.freeze()
    times = []
    now = 1.0
    while len(times) < rounds:
        for _ in range(4):
            position = rng.randrange(len(running))
            running[position], running[-1] = running[-1], running[position]
            release_tasks(planner, *running.pop())
        for _ in range(4):
            planner.queue.add(make_work(index, rng, now))
            index += 1
        while True:
            began = time.perf_counter()
            placed = planner.decide_placements(now, 1)
            seconds = time.perf_counter() - began
            if not placed:
                break
            times.append(seconds)
            running.extend((decision.work, decision.workers) for decision in placed)
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
    """Return the processors placed by offline best fit on jobs sorted by size."""
    cell = make_cell(workers, random.Random(SEED))
    placed = 0.0
    for work in sorted(
        jobs,
        key=lambda job: (-job.demand.accelerators, -job.demand.processors, -job.demand.memory_mb),
    ):
        best, least = None, float('inf')
        for worker in cell.worker_by_name.values():
            if not cell.fits_worker(worker, work.demand):
                continue
            if worker.accelerators and not work.demand.accelerators and least != float('inf'):
                continue
            left = worker.free.processors / CORES_PER_WORKER + worker.free.memory_mb / MEMORY_MB
            if left < least:
                best, least = worker, left
        if best is not None:
            add_task(cell, best.name, work)
            placed += work.demand.processors
    return placed


def add_task(cell: Cell, name: str, work: Work) -> None:
    """Allocate one task to a worker."""
    worker = cell.worker_by_name[name]
    running = RunningTask(f'{work.id}.1.0', work.id, work.customer, 'batch', work.demand, 0, 60)
    cell.add_task(worker, running)


def measure_packing(workers: int) -> dict[str, float]:
    """Return the processors that each policy places, relative to offline best fit."""
    rng = random.Random(SEED)
    jobs = [make_work(index, rng, index) for index in range(int(workers * 14))]
    offline_total = best_fit_decreasing(workers, jobs)
    planner = Planner(make_cell(workers, rng), FairQueue(default_terms), RunTimeEstimator())
    for work in jobs:
        planner.queue.add(work)
    planner_total = 0.0
    while True:
        placed = planner.decide_placements(0, 64)
        if not placed:
            break
        planner_total += sum(placement.work.demand.processors for placement in placed)
    result = {'ours': planner_total / offline_total}
    for name, baseline_class in (('first_fit', FirstFit), ('least_loaded', LeastLoaded)):
        baseline = baseline_class(make_cell(workers, rng))
        total = 0.0
        for work in jobs:
            chosen = baseline.choose(work)
            if chosen:
                add_task(baseline.cell, chosen, work)
                total += work.demand.processors
        result[name] = total / offline_total
    return result


class Simulation:
    """Simulates a planner in virtual time, and records how long jobs wait."""

    def __init__(self, workers: int, terms: Callable[[str], CustomerTerms] = default_terms) -> None:
        """Create a planner for a cell of idle workers."""
        self.rng = random.Random(SEED)
        self.planner = Planner(make_cell(workers, self.rng), FairQueue(terms), RunTimeEstimator())
        self.now = 0.0
        self.ends: list[tuple[float, int, Work, tuple[str, ...]]] = []
        self.waits: dict[str, list[float]] = {}
        self.index = 0
        self.stopped: set[str] = set()
        self.decide_times: list[float] = []

    def add(self, **changes) -> Work:
        """Queue a new job."""
        work = make_work(self.index, self.rng, self.now, **changes)
        self.index += 1
        self.planner.queue.add(work)
        return work

    def step(self, seconds: float) -> None:
        """Advance the time; end tasks that are due, and plan after each end."""
        until = self.now + seconds
        self.decide()
        while self.ends and self.ends[0][0] <= until:
            self.now, _, work, workers = heapq.heappop(self.ends)
            if work.id in self.stopped:
                self.stopped.discard(work.id)
                continue
            release_tasks(self.planner, work, workers)
            self.decide()
        self.now = until

    def decide(self) -> None:
        """Plan until no more tasks can be placed; preempted tasks stop at once and wait."""
        while True:
            began = time.perf_counter()
            placed = self.planner.decide_placements(self.now, 64)
            self.decide_times.append(time.perf_counter() - began)
            for placement in placed:
                self.start_tasks(placement)
            if len(placed) < 64:
                return

    def start_tasks(self, placement) -> None:
        for victim in placement.victims:
            for name in placement.workers:
                worker = self.planner.cell.worker_by_name[name]
                if self.planner.cell.remove_task(worker, victim.task_id):
                    self.stopped.add(victim.job)
        work = placement.work
        kind = 'gang' if work.tasks > 1 else work.task_class
        self.waits.setdefault(kind, []).append(self.now - work.accepted_at)
        length = work.run_seconds * self.rng.uniform(0.2, 2)
        heapq.heappush(self.ends, (self.now + length, self.index, work, placement.workers))
        self.index += 1


def measure_urgent_waiting(backlog: float) -> dict[str, float]:
    """Return waiting times of urgent jobs; ``backlog`` is the queued batch work, in full cells."""
    simulation = Simulation(24)
    cell_jobs = int(24 * CORES_PER_WORKER / 3.14)
    for _ in range(int(cell_jobs * backlog)):
        simulation.add()
    simulation.step(30)
    for _ in range(600):
        for _ in range(2):
            simulation.add(
                task_class='urgent',
                priority=100,
                longest_wait=2.5,
                run_seconds=2,
                demand=Resources(1, 512, 0),
                preemptible=False,
            )
        simulation.step(0.1)
    waits = simulation.waits['urgent']
    return {
        'urgent_started': len(waits),
        'p50_s': percentile(waits, 0.5),
        'p99_s': percentile(waits, 0.99),
        'decide_p99_ms': percentile(simulation.decide_times, 0.99) * 1000,
    }


def measure_fairness() -> dict[str, float]:
    """Return the deviation of customers' shares from their weights while all have a backlog."""
    weights = {'c0': 1.0, 'c1': 1.0, 'c2': 2.0, 'c3': 4.0}
    simulation = Simulation(200, lambda customer: CustomerTerms(weight=weights[customer]))
    for index in range(60_000):
        simulation.add(customer=f'c{index % 4}', run_seconds=60)
    deviations = []
    for _ in range(40):
        simulation.step(5)
        if simulation.now < 30:
            continue
        usage = simulation.planner.cell.usage
        total = simulation.planner.cell.total_capacity
        shares = {name: usage.of(name).dominant_share(total) for name in weights}
        whole = sum(shares.values())
        deviations.append(
            max(
                abs(shares[name] / whole - weight / 8) / (weight / 8)
                for name, weight in weights.items()
            ),
        )
    return {'mean_deviation': mean(deviations), 'worst_deviation': max(deviations)}


def measure_cancellations() -> dict[str, float]:
    """Return decision times for urgent jobs before and after 5,000 cancellations."""

    def urgent_time(simulation: Simulation) -> float:
        times = []
        for _ in range(300):
            simulation.add(
                task_class='urgent',
                priority=100,
                longest_wait=2.5,
                run_seconds=1,
                demand=Resources(1, 512, 0),
                preemptible=False,
            )
            began = time.perf_counter()
            simulation.step(0.01)
            times.append(time.perf_counter() - began)
        return percentile(times, 0.99) * 1000

    simulation = Simulation(24)
    waiting = [simulation.add().id for _ in range(8000)]
    simulation.step(1)
    quiet_p99 = urgent_time(simulation)
    began = time.perf_counter()
    for job in waiting[:5000]:
        simulation.planner.queue.remove(job)
    wave_seconds = time.perf_counter() - began
    return {
        'quiet_p99_ms': quiet_p99,
        'wave_ms': wave_seconds * 1000,
        'after_p99_ms': urgent_time(simulation),
    }


def measure_bad_worker() -> dict[str, float]:
    """Return the starts lost within a minute to one worker on which all tasks fail."""
    simulation = Simulation(24)
    cell = simulation.planner.cell
    failing_worker = 'w5'
    lost_starts = starts = 0
    now = 0.0
    while now < 60:
        for _ in range(8):
            simulation.add(run_seconds=5, demand=Resources(1, 1024, 0))
        simulation.now = now
        for placement in simulation.planner.decide_placements(now, 64):
            starts += 1
            if placement.workers[0] == failing_worker:
                lost_starts += 1
                release_tasks(simulation.planner, placement.work, placement.workers)
                cell.record_task_failure(
                    cell.worker_by_name[failing_worker], placement.work.id, now
                )
            else:
                simulation.start_tasks(placement)
        while simulation.ends and simulation.ends[0][0] <= now:
            _, _, work, workers = heapq.heappop(simulation.ends)
            release_tasks(simulation.planner, work, workers)
            cell.record_task_success(cell.worker_by_name[workers[0]])
        now += 0.1
    return {'starts': starts, 'lost': lost_starts, 'lost_part': lost_starts / starts}


def measure_wrong_declarations() -> dict[str, float]:
    """Return the effects of declared run times that are wrong by up to ten times either way.

    The end of a task is reported 30 s late; until then its resources count as used.
    """
    simulation = Simulation(24)
    times = RunTimeEstimator()
    factor_by_kind = {f'k{index}': 10 ** simulation.rng.uniform(-1, 1) for index in range(12)}
    ends: list[tuple[float, int, Work, tuple[str, ...]]] = []
    overallocated = late = starts = 0
    declared_error: list[float] = []
    learned_error: list[float] = []
    now = 0.0
    while now < 1800:
        for _ in range(2):
            kind = simulation.rng.choice(tuple(factor_by_kind))
            simulation.add(kind=kind, customer='c0', run_seconds=30, longest_wait=900)
        simulation.now = now
        for placement in simulation.planner.decide_placements(now, 64):
            work = placement.work
            actual = 30 * factor_by_kind[work.kind] * simulation.rng.uniform(0.9, 1.1)
            if now > 600:
                learned = times.estimate_run_seconds('c0', work.kind, 30)
                learned_error.append(max(learned / actual, actual / learned))
                declared_error.append(max(30 / actual, actual / 30))
            starts += 1
            late += now > work.due_at
            times.add_run('c0', work.kind, actual)
            heapq.heappush(ends, (now + actual + 30, starts, work, placement.workers))
        for worker in simulation.planner.cell.worker_by_name.values():
            overallocated += not worker.used.fits(worker.capacity)
        while ends and ends[0][0] <= now:
            _, _, work, workers = heapq.heappop(ends)
            release_tasks(simulation.planner, work, workers)
        now += 1
    return {
        'starts': starts,
        'over_filled': overallocated,
        'past_longest_wait': late,
        'declared_off_median': percentile(declared_error, 0.5),
        'learned_off_median': percentile(learned_error, 0.5),
        'learned_off_p99': percentile(learned_error, 0.99),
    }


def measure_gangs() -> dict[str, float]:
    """Return how long gangs wait under a steady load of small jobs."""
    simulation = Simulation(24)
    for _ in range(2000):
        simulation.add(run_seconds=20)
    for index in range(200):
        if index % 10 == 0:
            simulation.add(
                tasks=24,
                demand=Resources(8, 8192, 0),
                run_seconds=20,
                id=f'z.g{index}',
                longest_wait=600,
            )
        simulation.add(run_seconds=20)
        simulation.step(1)
    waits = simulation.waits.get('gang', [0.0])
    return {
        'gangs_started': len(waits),
        'gang_longest_wait_s': max(waits),
        'small_started': len(simulation.waits['batch']),
    }


def main() -> int:
    """Run all benchmarks; the last line has all figures as JSON."""
    figures = {}
    figures['churn'] = [measure_churn(size, 4000) for size in (24, 100, 400, 1300)]
    for row in figures['churn']:
        print_line(f'churn: {row}')
    small, large = figures['churn'][0], figures['churn'][-1]
    growth = small['decisions_per_second'] / large['decisions_per_second']
    print_line(f'cost of a decision grows {growth:.2f} times from 24 to 1300 workers')
    figures['packing'] = measure_packing(24)
    print_line(f'packing against offline best fit decreasing: {figures["packing"]}')
    figures['waiting'] = {str(size): measure_urgent_waiting(size) for size in (0.5, 10)}
    for size, row in figures['waiting'].items():
        print_line(f'urgent waiting with a backlog of {size} cells: {row}')
    for name, measure in (
        ('fairness', measure_fairness),
        ('cancellations', measure_cancellations),
        ('bad_worker', measure_bad_worker),
        ('gangs', measure_gangs),
        ('wrong_declarations', measure_wrong_declarations),
    ):
        figures[name] = measure()
        print_line(f'{name}: {figures[name]}')
    print_line(json.dumps(figures))
    return 0


if __name__ == '__main__':
    sys.exit(main())
