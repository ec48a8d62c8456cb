"""Stops runs on draining runners and members of incomplete gangs. No I/O."""

from collections.abc import Iterable

from dandelionreel.cell.decisions._cell import Cell
from dandelionreel.cell.decisions._runner_state import (
    Allocation,
    AllocationPhase,
    RunnerState,
    expected_end,
)
from dandelionreel.cell.decisions._step_run import StepRun

#: Share of the gang timeout (the time within which all members must have started) after which a
#: gang with a member that has not started is stopped.
GANG_TIMEOUT_SHARE = 0.55
#: Seconds before a draining runner may exit by which its tasks must have ended: a stop takes up to
#: 0.4 s, and a poll has to list the end.
EVACUATION_MARGIN_SECONDS = 0.7


def stop_on_draining_runners(cell: Cell, now: float) -> list[Allocation]:
    """Stop and return the runs that would not end before their draining runner exits.

    A run that is still there when the runner exits is lost without a listed end, and can start
    elsewhere only after its lease has expired.
    """
    stopped = []
    for runner in cell.runner_by_id.values():
        if not runner.draining:
            continue
        latest_end = runner.may_leave_at - EVACUATION_MARGIN_SECONDS
        for allocation in _allocations_in_phase(runner, AllocationPhase.RUNNING):
            if now >= latest_end or expected_end(allocation, now) > latest_end:
                cell.stop_run(allocation)
                stopped.append(allocation)
    return stopped


def stop_incomplete_gangs(cell: Cell, now: float, unix_time: float) -> list[StepRun]:
    """Stop and return the gangs whose members have not all started in time."""
    incomplete = [*_partly_placed_gangs(cell, unix_time), *_unstarted_gangs(cell, now)]
    for step in incomplete:
        cell.stop_gang_members(step)
    return incomplete


def _partly_placed_gangs(cell: Cell, unix_time: float) -> Iterable[StepRun]:
    """Return gangs of which only some members are placed."""
    for job in cell.unfinished_job_by_id.values():
        if job.is_finished or not job.has_started or cell.is_blocked(job):
            continue
        for step in job.ready_steps(unix_time):
            if step.step.gang and 0 < step.waiting < len(step.tasks):
                yield step


def _unstarted_gangs(cell: Cell, now: float) -> Iterable[StepRun]:
    """Return gangs with a start that the runner has not confirmed for too long."""
    limit = now - cell.gang_timeout * GANG_TIMEOUT_SHARE
    for runner in cell.runner_by_id.values():
        for allocation in _allocations_in_phase(runner, AllocationPhase.STARTING):
            step = cell.step_of(allocation)
            if step is not None and step.step.gang and allocation.placed_at <= limit:
                yield step


def _allocations_in_phase(runner: RunnerState, phase: AllocationPhase) -> list[Allocation]:
    return [held for held in runner.allocation_by_run.values() if held.phase is phase]
