"""What the owner's cell is doing, told once a second while anything waits.

Explains waiting: whether room, runners, tickets or the owner's own processor are short.
"""

from collections import Counter
from dataclasses import dataclass

from dandelionreel.cell.decisions import Cell, Plan, StalledJobs, StartWindow
from dandelionreel.cell.membership import AdvicePool
from dandelionreel.kernel import Journal, Part

#: Seconds between two lines.
REPORT_SECONDS = 1.0
MILLI = 1000


@dataclass
class _Tally:
    plans: int = 0
    plan_seconds: float = 0.0
    longest_plan: float = 0.0
    starts: int = 0
    stopped: int = 0
    questions: int = 0


class LoadReport:
    """Adds up plans, and tells of them with the state of the cell."""

    def __init__(
        self,
        cell: Cell,
        pool: AdvicePool,
        window: StartWindow,
        journal: Journal,
    ) -> None:
        """Look at that cell, its questions in ``pool`` and its starts in ``window``."""
        self._cell = cell
        self._pool = pool
        self._window = window
        self._journal = journal
        self._stalled = StalledJobs(cell)
        self._tally = _Tally()
        self._told_at = float('-inf')

    def note_plan(self, made: Plan, seconds: float) -> None:
        """Add a plan that took that long."""
        tally = self._tally
        tally.plans += 1
        tally.plan_seconds += seconds
        tally.longest_plan = max(tally.longest_plan, seconds)
        tally.starts += len(made.starts)
        tally.stopped += len(made.preempted)
        tally.questions += len(made.questions)

    def look(self, now: float, wall: float, epoch: int) -> None:
        """Log one line a second as long as something waits, and the jobs that are stalled."""
        if now < self._told_at + REPORT_SECONDS:
            return
        self._told_at = now
        tally = self._tally
        self._tally = _Tally()
        self._log_stalled(now, wall, epoch)
        waiting = self._count_waiting(wall)
        if not waiting:
            return
        runners = self._cell.runner_by_id.values()
        usable = [runner for runner in runners if runner.usable(now)]
        self._journal.tell(
            Part.PLACEMENT,
            'tasks wait.',
            epoch=epoch,
            waiting=dict(waiting),
            runners=len(self._cell.runner_by_id),
            usable=len(usable),
            draining=sum(runner.draining for runner in runners),
            suspect=sum(runner.suspect for runner in runners),
            unseen=len(self._cell.unseen),
            cores_free=sum(max(0, runner.room.cpu) for runner in usable) // MILLI,
            cores=sum(runner.registration.capacity.cpu for runner in usable) // MILLI,
            advice_waiting=self._pool.waiting,
            plans=tally.plans,
            plan_ms=round(MILLI * tally.plan_seconds / max(1, tally.plans), 1),
            longest_plan_ms=round(MILLI * tally.longest_plan, 1),
            starts=tally.starts,
            stopped_for_gangs=tally.stopped,
            questions=tally.questions,
            most_starts=self._window.most,
            delay_ms=round(MILLI * self._window.delay, 1),
        )

    def _log_stalled(self, now: float, wall: float, epoch: int) -> None:
        for stalled in self._stalled.find(now, wall):
            self._journal.tell(
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

    def _count_waiting(self, wall: float) -> Counter[str]:
        """Return how many tasks wait whose turn has come, by queue."""
        waiting: Counter[str] = Counter()
        for job in self._cell.live_by_id.values():
            if job.over:
                continue
            count = sum(step.waiting for step in job.ready_steps(wall))
            if count:
                waiting[job.submission.queue] += count
            if count and self._cell.is_blocked(job):
                waiting['blocked by unseen runners'] += count
        return waiting
