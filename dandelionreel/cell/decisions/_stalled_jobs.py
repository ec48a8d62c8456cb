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
#: Seconds until the same stall is reported again.
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
    """What a job's tasks were last seen to do, and since when (monotonic seconds)."""

    state: tuple[int, int, frozenset]
    since: float
    reported_at: float = float('-inf')


class StalledJobs:
    """Finds the jobs of a cell that are stalled."""

    def __init__(self, cell: Cell) -> None:
        """Watch the jobs of that cell."""
        self._cell = cell
        self._progress_by_job: dict[str, _Progress] = {}

    def find(self, now: float, wall: float) -> list[StalledJob]:
        """Return stalled jobs that are due for a report, those without a change longest first."""
        live_by_id = self._cell.live_by_id
        self._progress_by_job = {
            job_id: known for job_id, known in self._progress_by_job.items() if job_id in live_by_id
        }
        due = []
        for job in live_by_id.values():
            steps = job.unfinished_steps(wall)
            if job.over or not steps:
                continue
            held = self._cell.held_of(job.id)
            known = self._note(job, steps, held, now)
            if self._is_due(known, held, now):
                due.append((known, job, steps, held))
        due.sort(key=_since)
        stalled = []
        for known, job, steps, held in due[:MAX_JOBS]:
            known.reported_at = now
            stalled.append(self._describe(job, steps, held, now - known.since, now))
        return stalled

    def _note(
        self,
        job: JobRun,
        steps: Iterable[StepRun],
        held: Iterable[Allocation],
        now: float,
    ) -> _Progress:
        state = (
            sum(step.done for step in steps),
            sum(step.waiting for step in steps),
            frozenset((allocation.task, allocation.run) for allocation in held),
        )
        known = self._progress_by_job.get(job.id)
        if known is None or known.state != state:
            known = _Progress(state, now)
            self._progress_by_job[job.id] = known
        return known

    def _is_due(self, known: _Progress, held: Iterable[Allocation], now: float) -> bool:
        expected = max((allocation.expected for allocation in held), default=0.0)
        if now - known.since < STALL_SECONDS + expected * (1 + OVERRUN_SHARE):
            return False
        return now - known.reported_at >= REPEAT_SECONDS

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


def _since(entry: tuple) -> float:
    known: _Progress = entry[0]
    return known.since


def _describe_run(allocation: Allocation, now: float) -> str:
    age = round(now - allocation.placed_at, 1)
    phase = allocation.phase.value
    return (
        f'{allocation.task.label} run {allocation.run} on {allocation.runner}: {phase} for {age} s'
    )
