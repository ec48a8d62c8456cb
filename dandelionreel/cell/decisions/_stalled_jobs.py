"""Jobs that make no progress although a step's turn has come, and what they wait for. No I/O."""

from collections.abc import Iterable
from dataclasses import dataclass

from dandelionreel.cell.decisions._cell import Cell
from dandelionreel.cell.decisions._ledger import Allocation
from dandelionreel.cell.decisions._runs import JobRun
from dandelionreel.cell.decisions._step_runs import Phase, StepRun

#: Seconds without a change, beyond what runs are expected to take, until a job is stalled.
STALL_SECONDS = 3.0
#: Share of its expected time by which a run may be late.
OVERRUN_SHARE = 1.0
#: Seconds between two looks at all jobs, and until the same stall is reported again.
LOOK_SECONDS = 1.5
REPEAT_SECONDS = 5.0
#: Jobs in one report, and runs named for one job.
MAX_JOBS = 5
MAX_RUNS = 10


@dataclass(frozen=True)
class StalledJob:
    """A job without progress for ``seconds``; ``steps`` and ``runs`` are for people."""

    job: str
    queue: str
    seconds: float
    blocked: bool
    steps: tuple[str, ...]
    runs: tuple[str, ...]


@dataclass
class _Progress:
    """How often a job's tasks had changed when last seen, and since when (monotonic seconds)."""

    changes: int
    since: float
    reported_at: float = float('-inf')


class StalledJobs:
    """Finds the jobs of a cell that are stalled."""

    def __init__(self, cell: Cell) -> None:
        """Watch the jobs of that cell."""
        self._cell = cell
        self._progress_by_job: dict[str, _Progress] = {}
        self._looked_at = float('-inf')

    def find(self, now: float, wall: float) -> list[StalledJob]:
        """Return stalled jobs that are due for a report, those without a change longest first."""
        if now - self._looked_at < LOOK_SECONDS:
            return []
        self._looked_at = now
        due = sorted(self._list_due(now), key=_since)
        stalled: list[StalledJob] = []
        for known, job in due:
            steps = job.unfinished_steps(wall)
            held = self._cell.held_of(job.id)
            if len(stalled) == MAX_JOBS:
                break
            if steps and _is_overdue(known, held, now):
                known.reported_at = now
                stalled.append(self._describe(job, steps, held, now - known.since, now))
        return stalled

    def _list_due(self, now: float) -> list[tuple[_Progress, JobRun]]:
        """Return the jobs without a change for long that have not been reported lately."""
        former = self._progress_by_job
        self._progress_by_job = {}
        due = []
        for job in self._cell.live_by_id.values():
            changes = job.changes
            known = former.get(job.id)
            if known is None or known.changes != changes:
                known = _Progress(changes, now)
            self._progress_by_job[job.id] = known
            if now - max(known.since + STALL_SECONDS, known.reported_at + REPEAT_SECONDS) >= 0:
                due.append((known, job))
        return due

    def _describe(
        self,
        job: JobRun,
        steps: Iterable[StepRun],
        held: list[Allocation],
        seconds: float,
        now: float,
    ) -> StalledJob:
        return StalledJob(
            job.id,
            job.submission.queue,
            round(seconds, 3),
            self._cell.is_blocked(job),
            tuple(self._describe_step(step, now) for step in steps),
            tuple(_describe_run(allocation, now) for allocation in held[:MAX_RUNS]),
        )

    def _describe_step(self, step: StepRun, now: float) -> str:
        tickets = self._cell.tickets.of(step.name)
        placed = sum(task.phase is Phase.PLACED for task in step.tasks)
        return (
            f'{step.name.occurrence}.{step.name.step}: {step.waiting} waiting, {placed} placed, '
            f'{step.done} done; {len(tickets.allowed)} of {len(tickets.asked)} runners allowed, '
            f'{len(tickets.valid(now))} valid tickets, {tickets.pending} requests pending'
        )


def _since(entry: tuple[_Progress, JobRun]) -> float:
    return entry[0].since


def _is_overdue(known: _Progress, held: Iterable[Allocation], now: float) -> bool:
    expected = max((allocation.expected for allocation in held), default=0.0)
    return now - known.since >= STALL_SECONDS + expected * (1 + OVERRUN_SHARE)


def _describe_run(allocation: Allocation, now: float) -> str:
    age = round(now - allocation.placed_at, 1)
    phase = allocation.phase.value
    return (
        f'{allocation.task.label} run {allocation.run} on {allocation.runner}: {phase} for {age} s'
    )
