"""Runs that come to nothing unless they are stopped now. No I/O."""

from collections.abc import Iterable

from dandelionreel.cell.decisions._cell import Cell
from dandelionreel.cell.decisions._ledger import Allocation, Holding, RunnerState, expected_end
from dandelionreel.cell.decisions._step_runs import StepRun

#: Share of the gang timeout after which a gang that is not complete is stopped.
GANG_SHARE = 0.55
#: Seconds before a draining runner may be gone by which its tasks must have
#: ended: a stop takes up to 0.4 s and has to be listed.
EVACUATION_MARGIN = 0.7


def stop_leaving(cell: Cell, now: float) -> list[Allocation]:
    """Stop what would not end before its draining runner is gone; return it.

    What runs there when the runner leaves is lost without an end, and can
    start elsewhere only once its lease has run out.
    """
    stopped = []
    for runner in cell.runner_by_id.values():
        if not runner.draining:
            continue
        last = runner.leaves_at - EVACUATION_MARGIN
        for allocation in _held(runner, Holding.RUNNING):
            if now >= last or expected_end(allocation, now) > last:
                cell.stop(allocation)
                stopped.append(allocation)
    return stopped


def stop_late_gangs(cell: Cell, now: float, wall: float) -> list[StepRun]:
    """Stop the gangs that did not come together in time; return them."""
    late = [*_broken_gangs(cell, wall), *_slow_gangs(cell, now)]
    for step in late:
        cell.stop_members(step)
    return late


def _broken_gangs(cell: Cell, wall: float) -> Iterable[StepRun]:
    """Return gangs of which some members run and others do not."""
    for job in cell.live_by_id.values():
        if not job.has_gangs or job.over or not job.began or cell.is_blocked(job):
            continue
        for step in job.ready_steps(wall):
            if step.step.gang and 0 < step.waiting < len(step.tasks):
                yield step


def _slow_gangs(cell: Cell, now: float) -> Iterable[StepRun]:
    """Return gangs with a start that stayed unanswered for too long."""
    limit = now - cell.gang_timeout * GANG_SHARE
    for runner in cell.runner_by_id.values():
        for allocation in _held(runner, Holding.STARTING):
            step = cell.step_of(allocation)
            if step is not None and step.step.gang and allocation.placed_at <= limit:
                yield step


def _held(runner: RunnerState, phase: Holding) -> list[Allocation]:
    return [held for held in runner.allocation_by_run.values() if held.phase is phase]
