"""Names the wait that keeps a ready step from starting, for the log. No I/O."""

from collections import Counter
from dataclasses import dataclass

from dandelionreel.cell.decisions._cell import Cell
from dandelionreel.cell.decisions._job_run import ANY_RUNNER, JobRun
from dandelionreel.cell.decisions._reservations import count_slots
from dandelionreel.cell.decisions._runner_choice import has_required_label
from dandelionreel.cell.decisions._runner_state import AllocationPhase, RunnerState
from dandelionreel.cell.decisions._step_run import StepRun, counted_demand
from dandelionreel.cell.model import StepName

#: Maximum number of runners named in one wait.
MAX_NAMED_RUNNERS = 4
USABLE = 'usable'


@dataclass(frozen=True)
class StartWaits:
    """Names the waits of steps of ``cell``."""

    cell: Cell

    def describe(self, job: JobRun, step: StepRun, now: float) -> str:
        """Return what the step waits for; of several waits, the one that ends last."""
        return (
            self._find_wait_of_job(job)
            or self._find_wait_for_runs(job, step)
            or self._find_wait_of_step(job, step, now)
            or self._find_wait_for_runners(job, step, now)
        )

    def _find_wait_of_job(self, job: JobRun) -> str:
        if self.cell.is_blocked(job):
            unseen = self.cell.unseen_runners
            if ANY_RUNNER in job.runners:
                return f'{_name_runners(unseen)} not seen, and it may have runs on any runner'
            return f'{_name_runners(unseen & job.runners)} not seen'
        if not job.stored:
            return 'the submission to be stored'
        return ''

    def _find_wait_for_runs(self, job: JobRun, step: StepRun) -> str:
        """Return the wait for runs of the step that are placed or being stopped."""
        is_partial_gang = step.step.gang and step.waiting < len(step.tasks)
        if step.waiting and not is_partial_gang:
            return ''
        held = [
            allocation
            for allocation in self.cell.allocations_of_job(job.id)
            if StepName.of(allocation.task) == step.name
        ]
        silent = {one.runner for one in held if self._is_silent(one.runner)}
        starting = sum(one.phase is AllocationPhase.STARTING for one in held)
        stopping = sum(one.phase is AllocationPhase.STOPPING for one in held)
        return (
            f'{len(held)} runs to end, {starting} of them starting, {stopping} stopping'
            f'{", some on silent " if silent else ""}{_name_runners(silent)}'
        )

    def _find_wait_of_step(self, job: JobRun, step: StepRun, now: float) -> str:
        if now < step.not_before:
            return f'{step.not_before - now:.1f} s after an invalid start'
        return job.hold_reason

    def _find_wait_for_runners(self, job: JobRun, step: StepRun, now: float) -> str:
        """Return the wait for usable runners, for their advice, or for capacity on them."""
        service = self.cell.service_of(job)
        runners = [
            runner
            for runner in self.cell.runner_by_id.values()
            if runner.registration.service == service and has_required_label(step, runner)
        ]
        reasons = Counter(self._find_runner_state(runner, now) for runner in runners)
        usable = [runner for runner in runners if self._find_runner_state(runner, now) == USABLE]
        counts = ', '.join(f'{count} {reason}' for reason, count in sorted(reasons.items()))
        if not usable:
            return f'usable runners ({counts or "none listed"})'
        needed = len(step.tasks) if step.step.gang else 1
        free = _count_free_slots(step, usable)
        if free < needed:
            return f'capacity, {free} slots are free ({counts})'
        return f'{self._describe_placement(job, step, usable, now)} ({free} slots, {counts})'

    def _describe_placement(
        self, job: JobRun, step: StepRun, usable: list[RunnerState], now: float
    ) -> str:
        """Return the wait of a step that would fit on the usable runners."""
        queue = self.cell.queue_of(job)
        if queue is None or queue.advice is None:
            return 'reserved runners'
        tickets = self.cell.tickets.of(step.name)
        if tickets.is_pending:
            return 'advice requested'
        if now < tickets.not_before:
            return 'advice that has failed'
        valid = tickets.valid(now)
        free = _count_free_slots(step, [runner for runner in usable if runner.id in valid])
        allowed = [runner for runner in usable if runner.id in tickets.allowed]
        return (
            f'advice or reserved runners, {free} slots have tickets, '
            f'{_count_free_slots(step, allowed)} are allowed'
        )

    def _find_runner_state(self, runner: RunnerState, now: float) -> str:
        """Return why nothing is started on a runner, or ``USABLE``."""
        if runner.is_usable(now):
            is_known = runner.known_at >= now - self.cell.max_knowledge_age
            return USABLE if is_known else 'not known recently'
        reasons = (
            (not runner.listed, 'unlisted'),
            (runner.draining, 'draining'),
            (runner.suspect, 'suspect'),
            (not runner.knows_clock(), 'never answered'),
            (not runner.recorded, 'not recorded'),
            (now < runner.no_starts_until, 'refused a start'),
            (bool(runner.unknown_demands), 'with unknown runs'),
        )
        return next((reason for applies, reason in reasons if applies), 'quarantined or unusable')

    def _is_silent(self, runner_id: str) -> bool:
        runner = self.cell.runner_by_id.get(runner_id)
        return runner is None or runner.suspect


def _count_free_slots(step: StepRun, runners: list[RunnerState]) -> int:
    demand = counted_demand(step)
    return sum(
        count_slots(demand, runner.free_capacity, step.step.max_per_runner) for runner in runners
    )


def _name_runners(runners: set[str]) -> str:
    """Return the names of some runners, and how many there are if they are more."""
    named = ' '.join(sorted(runners)[:MAX_NAMED_RUNNERS])
    more = len(runners) - MAX_NAMED_RUNNERS
    return f'{named} and {more} more' if more > 0 else named
