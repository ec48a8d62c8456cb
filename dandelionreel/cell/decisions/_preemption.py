"""Decides which running tasks to preempt for a gang of a more urgent queue. No I/O.

Load pattern: most CPU is in use by small tasks, and a gang needs many large slots at once on the
runners where it is allowed; waiting for them to end takes longer than the gang's objective. Only
checkpointing tasks of less urgent queues are stopped, as they lose almost no work, and only once
the gang has tickets for all runners that it will use.
"""

import heapq
from collections.abc import Iterable
from dataclasses import dataclass

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


@dataclass(frozen=True)
class PreemptionPlan:
    """Runners that can hold a gang once ``victims`` have been stopped."""

    runners: frozenset[str]
    victims: tuple[Allocation, ...]


class Preemption:
    """Chooses victims among the running tasks of one cell."""

    def __init__(self, cell: Cell) -> None:
        """Choose among the tasks of ``cell``."""
        self._cell = cell
        #: Preemptible runs by runner and by priority of the gang, those with the most CPU first.
        self._victims_by_runner: dict[tuple[str, int], list[Allocation]] = {}

    def begin_plan(self) -> None:
        """Begin a plan: clear the cached victims.

        Within one plan the cache stays valid, except for runs that the plan itself stops.
        """
        self._victims_by_runner.clear()

    def plan_preemption(
        self,
        step: StepRun,
        queue: Queue,
        runners: Iterable[RunnerState],
        now: float,
    ) -> PreemptionPlan | None:
        """Return the slots for a whole gang that preempt the least CPU, ``None`` if too few."""
        slot_heap: list[tuple[float, str, int]] = []
        slots_by_runner = {}
        for runner in runners:
            runner_slots = self._victims_by_slot(step, queue, runner, now)
            if runner_slots:
                slots_by_runner[runner.id] = runner_slots
                slot_heap.append((_total_cpu(runner_slots[0]), runner.id, 0))
        heapq.heapify(slot_heap)
        chosen_runners: set[str] = set()
        victims: list[Allocation] = []
        for _ in step.tasks:
            if not slot_heap:
                return None
            _, runner_id, slot_index = heapq.heappop(slot_heap)
            slots = slots_by_runner[runner_id]
            chosen_runners.add(runner_id)
            victims.extend(slots[slot_index])
            if slot_index + 1 < len(slots):
                heapq.heappush(
                    slot_heap, (_total_cpu(slots[slot_index + 1]), runner_id, slot_index + 1)
                )
        return PreemptionPlan(frozenset(chosen_runners), tuple(victims))

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
            victims.sort(key=_by_cpu_descending)
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


def _total_cpu(victims: list[Allocation]) -> float:
    return sum(victim.demand.cpu for victim in victims)


def _by_cpu_descending(allocation: Allocation) -> int:
    return -allocation.demand.cpu
