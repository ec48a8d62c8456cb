"""Decides which running tasks to preempt for a gang of a more urgent queue. No I/O.

Load pattern: most CPU is in use by small tasks, and a gang needs many large slots at once on the
runners where it is allowed; waiting for them to end takes longer than the gang's objective. Only
checkpointing tasks of less urgent queues are stopped, as they lose almost no work, and only once
the gang has tickets for all runners that it will use.
"""

import abc
import heapq
from collections.abc import Iterable
from dataclasses import dataclass
from functools import partial

from dandelionreel.cell.decisions._cell import Cell
from dandelionreel.cell.decisions._reservations import count_slots
from dandelionreel.cell.decisions._runner_state import (
    Allocation,
    AllocationPhase,
    RunnerState,
    expected_end,
)
from dandelionreel.cell.decisions._step_run import StepRun, counted_demand
from dandelionreel.cell.model import Queue

#: A gang whose slots come free by themselves within this time preempts nothing: getting tickets
#: and stopping tasks takes about as long.
MAX_WAIT_WITHOUT_PREEMPTION_SECONDS = 0.8
#: A task is preempted only if it would end this many seconds before its job's latency objective:
#: once stopped, it has to wait for new tickets and capacity.
OBJECTIVE_MARGIN_SECONDS = 3.0
#: Seconds until a runner lists the end of a stopped task: 0.2 to 0.4 s by the workers' contract,
#: plus the duration of the poll in progress.
STOP_LATENCY_SECONDS = 0.45
#: Thousandths of a core in a core.
MILLI = 1000


@dataclass(frozen=True)
class PreemptionPlan:
    """Runners that can hold a gang once ``victims`` have been stopped.

    ``cost`` is the cost of stopping them, in the unit of the ``VictimCost``.
    """

    runners: frozenset[str]
    victims: tuple[Allocation, ...]
    cost: float = 0.0


class VictimCost(abc.ABC):
    """What a preemption costs; the set of victims with the lowest cost is stopped."""

    @abc.abstractmethod
    def of_run(self, allocation: Allocation, now: float) -> float:
        """Return the cost of stopping a run."""

    @abc.abstractmethod
    def sort_key(self, allocation: Allocation, now: float) -> tuple[float, float]:
        """Return the order in which the runs of a runner are considered."""

    @abc.abstractmethod
    def is_worthwhile(self, plan: PreemptionPlan, step: StepRun, saved_seconds: float) -> bool:
        """Return whether an earlier start by ``saved_seconds`` gains more than is lost."""


class StoppedCpu(VictimCost):
    """The CPU of the stopped runs: the fewest cores are stopped, whatever work they lose."""

    def of_run(self, allocation: Allocation, now: float) -> float:
        """Return the CPU of a run."""
        return allocation.demand.cpu

    def sort_key(self, allocation: Allocation, now: float) -> tuple[float, float]:
        """Return a key that puts the runs with the most CPU first."""
        return -allocation.demand.cpu, 0.0

    def is_worthwhile(self, plan: PreemptionPlan, step: StepRun, saved_seconds: float) -> bool:
        """Return true: the gang is more urgent than what it stops."""
        return True


class LostWork(VictimCost):
    """The work that stopped runs lose, in core-seconds since their last checkpoints."""

    def of_run(self, allocation: Allocation, now: float) -> float:
        """Return the core-seconds that a run would lose."""
        return _unsaved_seconds(allocation, now) * allocation.demand.cpu / MILLI

    def sort_key(self, allocation: Allocation, now: float) -> tuple[float, float]:
        """Return a key that puts the runs with the least work lost for each core first."""
        return _unsaved_seconds(allocation, now), -allocation.demand.cpu

    def is_worthwhile(self, plan: PreemptionPlan, step: StepRun, saved_seconds: float) -> bool:
        """Return whether the cores of the gang would wait for longer than the victims have run."""
        cores = len(step.tasks) * counted_demand(step).cpu / MILLI
        return cores * saved_seconds > plan.cost


STOPPED_CPU = StoppedCpu()
LOST_WORK = LostWork()


class Preemption:
    """Chooses victims among the running tasks of one cell."""

    def __init__(self, cell: Cell) -> None:
        """Choose among the tasks of ``cell``."""
        self._cell = cell
        #: Preemptible runs by runner and by priority of the gang, those with the most CPU first.
        self._victims_by_runner: dict[tuple[str, int], list[Allocation]] = {}
        self._cost: VictimCost = STOPPED_CPU

    def begin_plan(self, cost: VictimCost = STOPPED_CPU) -> None:
        """Begin a plan that weighs victims by ``cost``: clear the cached victims.

        Within one plan the cache stays valid, except for runs that the plan itself stops.
        """
        self._victims_by_runner.clear()
        self._cost = cost

    def is_worthwhile(self, plan: PreemptionPlan, step: StepRun, saved_seconds: float) -> bool:
        """Return whether an earlier start by ``saved_seconds`` gains more than is lost."""
        return self._cost.is_worthwhile(plan, step, saved_seconds)

    def plan_preemption(
        self,
        step: StepRun,
        queue: Queue,
        runners: Iterable[RunnerState],
        now: float,
    ) -> PreemptionPlan | None:
        """Return the slots for a whole gang that cost the least, ``None`` if there are too few."""
        slot_heap: list[tuple[float, str, int]] = []
        slots_by_runner = {}
        for runner in runners:
            runner_slots = self._victims_by_slot(step, queue, runner, now)
            if runner_slots:
                slots_by_runner[runner.id] = runner_slots
                slot_heap.append((self._total_cost(runner_slots[0], now), runner.id, 0))
        heapq.heapify(slot_heap)
        chosen_runners: set[str] = set()
        victims: list[Allocation] = []
        for _ in range(step.step.count):
            if not slot_heap:
                return None
            _, runner_id, slot_index = heapq.heappop(slot_heap)
            slots = slots_by_runner[runner_id]
            chosen_runners.add(runner_id)
            victims.extend(slots[slot_index])
            if slot_index + 1 < len(slots):
                slot_index += 1
                slot_cost = self._total_cost(slots[slot_index], now)
                heapq.heappush(slot_heap, (slot_cost, runner_id, slot_index))
        return PreemptionPlan(
            frozenset(chosen_runners), tuple(victims), self._total_cost(victims, now)
        )

    def _total_cost(self, victims: list[Allocation], now: float) -> float:
        return sum(self._cost.of_run(victim, now) for victim in victims)

    def _victims_by_slot(
        self,
        step: StepRun,
        queue: Queue,
        runner: RunnerState,
        now: float,
    ) -> list[list[Allocation]]:
        """Return the runs to stop for each slot that a runner can offer."""
        demand = counted_demand(step)
        limit = step.step.max_per_runner
        free = runner.free_capacity
        for allocation in runner.allocation_by_run.values():
            if allocation.phase is AllocationPhase.STOPPING:
                free += allocation.demand
        slots: list[list[Allocation]] = [[] for _ in range(count_slots(demand, free, limit))]
        pending: list[Allocation] = []
        for victim in self._find_victims(queue, runner, now):
            if victim.phase is AllocationPhase.STOPPING:
                continue
            free += victim.demand
            pending.append(victim)
            gained = count_slots(demand, free, limit) - len(slots)
            if gained > 0:
                slots.append(pending)
                slots.extend([] for _ in range(gained - 1))
                pending = []
        return slots

    def _find_victims(self, queue: Queue, runner: RunnerState, now: float) -> list[Allocation]:
        key = (runner.id, queue.priority)
        victims = self._victims_by_runner.get(key)
        if victims is None:
            held = runner.allocation_by_run.values()
            victims = [
                allocation for allocation in held if self._may_preempt(allocation, queue, now)
            ]
            victims.sort(key=partial(self._cost.sort_key, now=now))
            self._victims_by_runner[key] = victims
        return victims

    def _may_preempt(self, allocation: Allocation, queue: Queue, now: float) -> bool:
        job = self._cell.job_by_id.get(allocation.task.job)
        if job is None or allocation.phase is not AllocationPhase.RUNNING:
            return False
        queue_of_job = self._cell.queue_of(job)
        step = job.find_step(allocation.task)
        if queue_of_job is None or step is None or queue_of_job.priority <= queue.priority:
            return False
        spec = step.step
        # Stopping one member stops its whole gang; long-running tasks serve users of their own.
        if spec.gang or spec.long_running or not spec.checkpointing:
            return False
        end = expected_end(allocation, now)
        in_time = end + OBJECTIVE_MARGIN_SECONDS < job.accepted_at + self._cell.objective_of(job)
        return in_time and end > now + STOP_LATENCY_SECONDS


def _unsaved_seconds(allocation: Allocation, now: float) -> float:
    """Return for how long a run has worked since it started or since its last checkpoint."""
    since = allocation.checkpoint_at or allocation.started_at or allocation.placed_at
    return max(0.0, now - since)
