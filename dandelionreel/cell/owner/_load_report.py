"""Logs the load of the owner's cell once a second while tasks wait.

The line shows why tasks wait: too little free capacity, too few runners, no permits of the policy
service (tickets) yet, or too little processor time of the owner.
"""

from collections import Counter
from dataclasses import dataclass

from dandelionreel.cell.decisions import Cell, Plan, StalledJobs
from dandelionreel.cell.membership import AdvicePool
from dandelionreel.kernel import Journal, Part

#: Seconds between two log lines.
REPORT_SECONDS = 1.0
#: Thousandths in a unit: millicores in a core, milliseconds in a second.
MILLI = 1000


@dataclass
class _PlanTotals:
    plans: int = 0
    plan_seconds: float = 0.0
    longest_plan: float = 0.0
    starts: int = 0
    preempted: int = 0
    advice_requests: int = 0


class LoadReport:
    """Totals the plans of each period and logs them with the state of the cell."""

    def __init__(self, cell: Cell, pool: AdvicePool, journal: Journal) -> None:
        """Report on ``cell`` and on its pending advice requests in ``pool``."""
        self._cell = cell
        self._advice_pool = pool
        self._journal = journal
        self._stalled_jobs = StalledJobs(cell)
        self._totals = _PlanTotals()
        self._logged_at = float('-inf')

    def add_plan(self, plan: Plan, seconds: float) -> None:
        """Add a plan that took ``seconds`` to compute."""
        totals = self._totals
        totals.plans += 1
        totals.plan_seconds += seconds
        totals.longest_plan = max(totals.longest_plan, seconds)
        totals.starts += len(plan.starts)
        totals.preempted += len(plan.preempted)
        totals.advice_requests += len(plan.advice_requests)
        self._log_gangs(plan)

    def log_if_due(self, now: float, unix_time: float, epoch: int) -> None:
        """Log stalled jobs, and the load if tasks wait, unless the last report is too recent."""
        if now < self._logged_at + REPORT_SECONDS:
            return
        self._logged_at = now
        totals = self._totals
        self._totals = _PlanTotals()
        self._log_stalled_jobs(now, unix_time, epoch)
        waiting = self._count_waiting_tasks(unix_time)
        if not waiting:
            return
        runners = self._cell.runner_by_id.values()
        usable = [runner for runner in runners if runner.is_usable(now)]
        self._journal.log(
            Part.PLACEMENT,
            'tasks are waiting.',
            epoch=epoch,
            waiting=dict(waiting),
            runners=len(self._cell.runner_by_id),
            usable=len(usable),
            draining=sum(runner.draining for runner in runners),
            suspect=sum(runner.suspect for runner in runners),
            unseen=len(self._cell.unseen_runners),
            cores_free=sum(max(0, runner.free_capacity.cpu) for runner in usable) // MILLI,
            cores=sum(runner.registration.capacity.cpu for runner in usable) // MILLI,
            advice_waiting=self._advice_pool.waiting_count,
            plans=totals.plans,
            plan_ms=round(MILLI * totals.plan_seconds / max(1, totals.plans), 1),
            longest_plan_ms=round(MILLI * totals.longest_plan, 1),
            starts=totals.starts,
            stopped_for_gangs=totals.preempted,
            questions=totals.advice_requests,
        )

    def _log_gangs(self, plan: Plan) -> None:
        """Log whether gangs are placed by the speeds of runners, and which of them wait."""
        if plan.speed_groups is not None:
            state = 'begin' if plan.speed_groups else 'cease'
            self._journal.log(
                Part.PLACEMENT,
                f'gangs {state} to be placed by the speeds of runners.',
                runners_by_level=plan.speed_groups,
            )
        for wait in plan.gang_waits:
            self._journal.log_sampled(
                Part.PLACEMENT,
                f'a gang of job {wait.step.job} waits for faster runners.',
                job=wait.step.job,
                step=wait.step.step,
                slow_seconds=wait.slow_seconds,
                fast_seconds=wait.fast_seconds,
                starts_in=wait.starts_in,
                max_wait=wait.max_wait,
            )
        for delay in plan.gang_delays:
            self._journal.log(
                Part.PLACEMENT,
                f'a gang of job {delay.step.job} is ready and waits for {delay.reason.value}.',
                job=delay.step.job,
                step=delay.step.step,
                seconds=round(delay.seconds, 3),
                tasks=delay.tasks,
                asked=delay.asked,
                allowed=delay.allowed,
                valid_tickets=delay.valid_tickets,
                pending_requests=delay.pending_requests,
                allowed_slots=delay.allowed_slots,
                ticketed_slots=delay.ticketed_slots,
                unasked_slots=delay.unasked_slots,
                reserved_in=delay.reserved_in and round(delay.reserved_in, 3),
                yields=delay.yields,
            )

    def _log_stalled_jobs(self, now: float, unix_time: float, epoch: int) -> None:
        for stalled in self._stalled_jobs.find(now, unix_time):
            self._journal.log(
                Part.PLACEMENT,
                f'job {stalled.job} makes no progress.',
                job=stalled.job,
                queue=stalled.queue,
                epoch=epoch,
                seconds=stalled.seconds,
                blocked=stalled.blocked,
                steps=stalled.steps,
                runs=stalled.runs,
            )

    def _count_waiting_tasks(self, unix_time: float) -> Counter[str]:
        """Return the number of waiting tasks whose step is ready, by queue."""
        waiting: Counter[str] = Counter()
        for job in self._cell.unfinished_job_by_id.values():
            if job.is_finished:
                continue
            count = sum(step.waiting for step in job.ready_steps(unix_time))
            if count:
                waiting[job.submission.queue] += count
            if count and self._cell.is_blocked(job):
                waiting['blocked by unseen runners'] += count
        return waiting
