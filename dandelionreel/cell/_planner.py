"""Which waiting task starts where, now. No I/O, no clock of its own."""

from collections.abc import Iterable
from dataclasses import dataclass, field

from dandelionreel.cell._cell import Cell, counted_demand
from dandelionreel.cell._ledger import Allocation, RunnerState
from dandelionreel.cell._model import Demand, StepName
from dandelionreel.cell._runs import JobRun, Phase, StepRun, TaskRun, objective

#: A job that is later than this many objectives earns nothing any more.
LATEST = 3.0


@dataclass(frozen=True)
class Question:
    """The policy service is to be asked which of these runners may run a step."""

    step: StepName
    runners: tuple[str, ...]
    priority: int
    decision: float
    per_runner: float
    valid: float


@dataclass
class Plan:
    """Starts to send and questions to ask, each in order of urgency."""

    starts: list[Allocation] = field(default_factory=list)
    questions: list[Question] = field(default_factory=list)


@dataclass(frozen=True)
class _Candidate:
    job: JobRun
    step: StepRun
    priority: int


class Planner:
    """Decides over a cell; each call looks at all that waits."""

    def __init__(self, cell: Cell) -> None:
        """Place the tasks of that cell."""
        self._cell = cell

    def plan(self, now: float, wall: float) -> Plan:
        """Place what can be placed, and count it as held."""
        made = Plan()
        runners_by_service = self._usable(now)
        for candidate in self._ordered(now, wall):
            service = self._cell.service_of(candidate.job)
            runners = runners_by_service.get(service, [])
            allowed = self._allowed(candidate, runners, now, made)
            if allowed and candidate.job.stored:
                self._place(candidate, allowed, now, made)
        return made

    def _usable(self, now: float) -> dict[str, list[RunnerState]]:
        by_service: dict[str, list[RunnerState]] = {}
        for runner in self._cell.runner_by_id.values():
            if runner.usable(now):
                by_service.setdefault(runner.registration.service, []).append(runner)
        return by_service

    def _ordered(self, now: float, wall: float) -> list[_Candidate]:
        """Return the steps whose turn has come, the most urgent first."""
        keyed = []
        for job in self._cell.job_by_id.values():
            if job.over or self._cell.is_blocked(job):
                continue
            queue = self._cell.queue_of(job)
            priority = queue.priority if queue else 0
            allowed = objective(queue, job.spec)
            deadline = job.accepted + allowed
            for step in job.ready_steps(wall):
                if now < step.not_before:
                    continue
                lateness = _lateness(now + step.step.estimate, job.accepted, allowed)
                key = (lateness > 1, priority, lateness, deadline, job.id, step.name)
                keyed.append((key, _Candidate(job, step, priority)))
        keyed.sort(key=lambda entry: entry[0])
        return [candidate for _, candidate in keyed]

    def _allowed(
        self,
        candidate: _Candidate,
        runners: list[RunnerState],
        now: float,
        made: Plan,
    ) -> list[tuple[RunnerState, str]]:
        """Return the runners that may run the step, each with its ticket."""
        step = candidate.step
        fitting = [runner for runner in runners if _suits(step, runner)]
        queue = self._cell.queue_of(candidate.job)
        if queue is None or queue.advice is None:
            return [(runner, '') for runner in fitting]
        known = self._cell.tickets.of(step.name)
        ticket_by_runner = known.valid(now)
        wanted = [
            runner.id
            for runner in fitting
            if runner.id not in ticket_by_runner
            and (runner.id in known.allowed or runner.id not in known.asked)
        ]
        permitted = [
            (runner, ticket_by_runner[runner.id])
            for runner in fitting
            if runner.id in ticket_by_runner
        ]
        if wanted and not known.asking and now >= known.not_before:
            if self._worth_asking(step, permitted, wanted):
                known.asking = True
                made.questions.append(
                    Question(
                        step.name,
                        tuple(wanted),
                        candidate.priority,
                        queue.advice.decision,
                        queue.advice.per_runner,
                        queue.advice.valid,
                    )
                )
        return permitted

    def _worth_asking(
        self,
        step: StepRun,
        permitted: list[tuple[RunnerState, str]],
        wanted: list[str],
    ) -> bool:
        """Return whether tickets for ``wanted`` would let something start."""
        demand = counted_demand(step)
        if any(demand.fits(runner.room) for runner, _ in permitted) and not step.step.gang:
            return False
        if not self._cell.tickets.of(step.name).asked:
            return True
        rooms = [self._cell.runner_by_id[runner].room for runner in wanted]
        rooms.extend(runner.room for runner, _ in permitted)
        slots = sum(_slots(demand, room) for room in rooms)
        return slots >= (step.waiting if step.step.gang else 1)

    def _place(
        self,
        candidate: _Candidate,
        allowed: list[tuple[RunnerState, str]],
        now: float,
        made: Plan,
    ) -> None:
        step = candidate.step
        if step.step.gang:
            self._place_gang(step, allowed, now, made)
            return
        for task in step.tasks:
            if task.phase is not Phase.WAITING:
                continue
            chosen = _choose(step, task, allowed)
            if chosen is None:
                return
            runner, ticket = chosen
            run = self._cell.next_run((task,))
            made.starts.append(
                self._cell.place(step, task, runner, run, now, ticket, step.step.estimate)
            )

    def _place_gang(
        self,
        step: StepRun,
        allowed: list[tuple[RunnerState, str]],
        now: float,
        made: Plan,
    ) -> None:
        if step.waiting < len(step.tasks):
            return
        for group in _groups(step, allowed):
            seats = _seat_gang(step, group)
            if seats is None:
                continue
            run = self._cell.next_run(step.tasks)
            checkpoint = next((task.checkpoint for task in step.tasks if task.checkpoint), '')
            for task, (runner, ticket) in zip(step.tasks, seats, strict=True):
                task.checkpoint = checkpoint
                made.starts.append(
                    self._cell.place(step, task, runner, run, now, ticket, step.step.estimate)
                )
            return


def _lateness(end: float, accepted: float, allowed: float) -> int:
    """Return 0 for in time, 1 for late but still of use, 2 for neither."""
    if end <= accepted + allowed:
        return 0
    if end <= accepted + LATEST * allowed:
        return 1
    return 2


def _suits(step: StepRun, runner: RunnerState) -> bool:
    required = step.step.required_label
    return not required or required in runner.registration.labels


def _slots(demand: Demand, room: Demand) -> int:
    """Return how many tasks of that demand fit into a room."""
    counts = []
    if demand.cpu:
        counts.append(room.cpu // demand.cpu)
    if demand.memory_mb:
        counts.append(room.memory_mb // demand.memory_mb)
    if demand.gpu:
        counts.append(room.gpu // demand.gpu)
    return max(0, min(counts, default=0))


def _choose(
    step: StepRun,
    task: TaskRun,
    allowed: list[tuple[RunnerState, str]],
) -> tuple[RunnerState, str] | None:
    """Return the runner that is left with the least room, of those that fit."""
    demand = counted_demand(step)
    best = None
    best_key = None
    limit = step.step.max_per_runner
    for runner, ticket in allowed:
        if not demand.fits(runner.room):
            continue
        if limit and step.count_by_runner.get(runner.id, 0) >= limit:
            continue
        key = (
            runner.id in task.avoid,
            bool(step.step.data_rack) and step.step.data_rack not in runner.registration.labels,
            _left_over(demand, runner),
        )
        if best_key is None or key < best_key:
            best, best_key = (runner, ticket), key
    return best


def _left_over(demand: Demand, runner: RunnerState) -> float:
    """Return the share of a runner that stays free, processors and memory together."""
    capacity = runner.registration.capacity
    room = runner.room
    return (room.cpu - demand.cpu) / max(1, capacity.cpu) + (
        room.memory_mb - demand.memory_mb
    ) / max(1, capacity.memory_mb)


def _groups(
    step: StepRun,
    allowed: list[tuple[RunnerState, str]],
) -> Iterable[list[tuple[RunnerState, str]]]:
    """Return the sets of runners to try for a gang: single racks first where asked."""
    if step.step.same_rack:
        by_rack: dict[str, list[tuple[RunnerState, str]]] = {}
        for runner, ticket in allowed:
            rack = runner.registration.labels[-1] if runner.registration.labels else ''
            by_rack.setdefault(rack, []).append((runner, ticket))
        yield from sorted(by_rack.values(), key=len)
    yield allowed


def _seat_gang(
    step: StepRun,
    allowed: list[tuple[RunnerState, str]],
) -> list[tuple[RunnerState, str]] | None:
    """Return a runner for each member, or ``None`` when not all fit at once."""
    demand = counted_demand(step)
    limit = step.step.max_per_runner
    seats: list[tuple[RunnerState, str]] = []
    needed = len(step.tasks)
    # Fullest runners first: what stays free stays together.
    ordered = sorted(allowed, key=lambda entry: _left_over(demand, entry[0]))
    for runner, ticket in ordered:
        slots = _slots(demand, runner.room)
        if limit:
            slots = min(slots, limit)
        seats.extend([(runner, ticket)] * min(slots, needed - len(seats)))
        if len(seats) == needed:
            return seats
    return None
