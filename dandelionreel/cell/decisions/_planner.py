"""Which waiting task starts where, now. No I/O, no clock of its own."""

from dataclasses import dataclass, field

from dandelionreel.cell.decisions._advice_requests import AdviceRequest, AdviceRequests
from dandelionreel.cell.decisions._cell import Cell
from dandelionreel.cell.decisions._ledger import Allocation, RunnerState
from dandelionreel.cell.decisions._preemption import PATIENCE, STOP_SECONDS, Preemption, RoomMade
from dandelionreel.cell.decisions._quota_gate import QuotaGate
from dandelionreel.cell.decisions._reservations import (
    BACKFILL_MARGIN,
    Reservation,
    Reservations,
    count_slots,
)
from dandelionreel.cell.decisions._runs import JobRun
from dandelionreel.cell.decisions._seating import Seat, choose_seat, group_seats, seat_gang, suits
from dandelionreel.cell.decisions._step_runs import Phase, StepRun, counted_demand
from dandelionreel.cell.decisions._waiting import (
    USELESS,
    Candidate,
    OwedFirst,
    WaitingOrder,
    list_candidates,
)
from dandelionreel.cell.model import Demand, Queue, StepName

#: Processors for which advice is requested, as a multiple of those that are free: without a limit
#: every waiting step would ask about the same room.
REQUESTED_SHARE = 1.5
#: Seconds for which reservations stand while the same gangs wait: each is computed from all runs on
#: all runners that its gang may use.
RESERVE_SECONDS = 0.05
#: The priority of queues whose requests are never held back.
URGENT = 0
INFINITE = float('inf')


@dataclass
class Plan:
    """Starts to send and questions to ask, each in order of urgency.

    ``preempted`` are runs that are stopped for a gang, ``held`` jobs that have begun to wait
    for their account's quota.
    """

    starts: list[Allocation] = field(default_factory=list)
    preempted: list[Allocation] = field(default_factory=list)
    questions: list[AdviceRequest] = field(default_factory=list)
    held: list[JobRun] = field(default_factory=list)


@dataclass(frozen=True)
class _GangVersion:
    """What makes a gang's reservation out of date when it changes."""

    step: StepName
    answers: int


@dataclass
class _Round:
    """What one plan works with."""

    now: float
    runners_by_service: dict[str, dict[str, RunnerState]]
    reservations: Reservations
    #: Whether the reservations are made in this plan, or still stand.
    reserves: bool
    #: Processors of each service for which single tasks may still ask advice.
    askable_by_service: dict[str, float]
    #: Questions that are not urgent for which hosts are free.
    patient_requests: float
    most_starts: float
    made: Plan = field(default_factory=Plan)
    _largest_by_service: dict[str, Demand] = field(default_factory=dict)

    @property
    def starts_left(self) -> float:
        """Return how many more starts may be sent."""
        return self.most_starts - len(self.made.starts)

    def largest_room(self, service: str) -> Demand:
        """Return the most that a runner had left of each resource when it was last asked for.

        Rooms only shrink in a plan, so what does not fit it fits nowhere.
        """
        known = self._largest_by_service.get(service)
        if known is None:
            rooms = [runner.room for runner in self.runners_by_service[service].values()]
            known = self._largest_by_service[service] = Demand(
                max(room.cpu for room in rooms),
                max(room.memory_mb for room in rooms),
                max(room.gpu for room in rooms),
            )
        return known

    def forget_largest_room(self, service: str) -> None:
        """Have the largest room looked up again: a step that fits it has found no place."""
        self._largest_by_service.pop(service, None)


class Planner:
    """Decides over a cell; each call looks at all that waits."""

    def __init__(self, cell: Cell, order: WaitingOrder | None = None) -> None:
        """Place the tasks of that cell in an ``order``."""
        self._cell = cell
        self._order = order or OwedFirst()
        self._gate = QuotaGate(cell)
        self._advice_requests = AdviceRequests(cell)
        self._preemption = Preemption(cell)
        self._reservations = Reservations()
        self._reserved_at = float('-inf')
        self._reserved_for: list[_GangVersion] = []

    def plan(
        self,
        now: float,
        wall: float,
        patient_requests: float = INFINITE,
        most_starts: float = INFINITE,
    ) -> Plan:
        """Place what can be placed, and count it as held; no more than ``most_starts``.

        A gang is placed whole where any start may be.

        Requests that are not urgent are made only while hosts are free for them: queued for a host
        they would keep the order in which they were made, and a gang's first tickets would expire
        before its last ones come.
        """
        candidates = list_candidates(self._cell, self._order.rank, now, wall)
        if not candidates:
            return Plan()
        self._gate.begin(candidates, now, wall)
        self._preemption.begin()
        usable = self._usable(now)
        reserves = self._renew_reservations(candidates, usable, now)
        askable = {service: REQUESTED_SHARE * _free(runners) for service, runners in usable.items()}
        current = _Round(
            now, usable, self._reservations, reserves, askable, patient_requests, most_starts
        )
        for candidate in candidates:
            service = self._cell.service_of(candidate.job)
            runners = current.runners_by_service.get(service)
            if runners:
                self._serve(candidate, runners, current)
        current.made.held.extend(self._gate.fresh)
        return current.made

    def _renew_reservations(
        self,
        candidates: list[Candidate],
        usable: dict[str, dict[str, RunnerState]],
        now: float,
    ) -> bool:
        """Drop the reservations where they may be out of date; return whether.

        They are where a gang has come or gone, or one has been told where it may run.
        """
        gangs = [self._gang_version(one.step) for one in candidates if one.step.step.gang]
        if now < self._reserved_at + RESERVE_SECONDS and gangs == self._reserved_for:
            return False
        self._reservations = Reservations(sum(len(runners) for runners in usable.values()))
        self._reserved_at = now
        self._reserved_for = gangs
        return True

    def _gang_version(self, step: StepRun) -> _GangVersion:
        return _GangVersion(step.name, self._cell.tickets.of(step.name).answers)

    def _usable(self, now: float) -> dict[str, dict[str, RunnerState]]:
        by_service: dict[str, dict[str, RunnerState]] = {}
        usable = [runner for runner in self._cell.runner_by_id.values() if runner.usable(now)]
        zones = {runner.registration.zone for runner in usable}
        unreachable_zones = self._cell.zone_reachability.unreachable_zones(zones, now)
        for runner in usable:
            if runner.registration.zone in unreachable_zones:
                continue
            known = by_service.setdefault(runner.registration.service, {})
            known[runner.id] = runner
        return by_service

    def _serve(
        self,
        candidate: Candidate,
        runners: dict[str, RunnerState],
        current: _Round,
    ) -> None:
        step = candidate.step
        allowed = self._gate.count_allowed(candidate)
        if not allowed:
            if step.step.gang:
                self._gate.claim(candidate)
            return
        needs_advice = candidate.queue is not None and candidate.queue.advice is not None
        may_place = candidate.job.stored and current.starts_left > 0
        if not needs_advice and not step.step.gang:
            service = self._cell.service_of(candidate.job)
            if not may_place or not counted_demand(step).fits(current.largest_room(service)):
                return
        if needs_advice:
            seats = self._permitted(step, runners, current.now)
        else:
            seats = [(runner, '') for runner in runners.values() if suits(step, runner)]
        if step.step.gang:
            self._serve_gang(candidate, seats, runners, current)
            return
        placed = may_place and self._place_tasks(candidate, seats, current, allowed)
        if not placed:
            current.forget_largest_room(self._cell.service_of(candidate.job))
        if needs_advice and not placed and not self._has_seats(candidate, seats, current):
            self._ask(candidate, runners, current)

    def _has_seats(self, candidate: Candidate, seats: list[Seat], current: _Round) -> bool:
        """Return whether tickets and room are there for all that waits of a step.

        So it is for a job that the store is slow to take, which must not ask again in every plan.
        """
        step = candidate.step
        demand = counted_demand(step)
        until = current.now + step.step.estimate * BACKFILL_MARGIN
        count = 0
        for runner, _ in seats:
            if current.reservations.may_start(runner.id, candidate.rank, until):
                count += count_slots(demand, runner.room, step.step.max_per_runner)
        return count >= step.waiting

    def _permitted(
        self,
        step: StepRun,
        runners: dict[str, RunnerState],
        now: float,
    ) -> list[Seat]:
        """Return the runners for which the step has tickets."""
        tickets = self._cell.tickets.of(step.name).valid(now)
        return [
            (runners[runner], ticket) for runner, ticket in tickets.items() if runner in runners
        ]

    def _ask(
        self,
        candidate: Candidate,
        runners: dict[str, RunnerState],
        current: _Round,
    ) -> None:
        """Ask for tickets when they would let something start."""
        queue, step = candidate.queue, candidate.step
        service = self._cell.service_of(candidate.job)
        if queue is None or queue.advice is None or current.askable_by_service[service] <= 0:
            return
        if not _may_ask(queue, current):
            return
        current.askable_by_service[service] -= step.waiting * counted_demand(step).cpu
        if not self._cell.tickets.of(step.name).may_ask(current.now):
            return
        # Tickets for a reserved runner would expire before anything may start there.
        until = current.now + step.step.estimate * BACKFILL_MARGIN
        suiting = [
            runner
            for runner in runners.values()
            if suits(step, runner)
            and current.reservations.may_start(runner.id, candidate.rank, until)
        ]
        questions = []
        zone = candidate.job.submission.zone
        if self._cell.tickets.of(step.name).asked:
            questions = self._advice_requests.again(queue, step, suiting, current.now, zone)
        if not questions:
            questions = self._advice_requests.first(queue, step, suiting, current.now, zone)
        _put(queue, questions, current)

    def _place_tasks(
        self,
        candidate: Candidate,
        seats: list[Seat],
        current: _Round,
        allowed: int,
    ) -> bool:
        """Place as many tasks as fit and are ``allowed``; return whether all found a place."""
        step = candidate.step
        until = current.now + step.step.estimate * BACKFILL_MARGIN
        demand = counted_demand(step)
        seats = [
            seat
            for seat in seats
            if demand.fits(seat[0].room)
            and current.reservations.may_start(seat[0].id, candidate.rank, until)
        ]
        for task in step.tasks if seats else ():
            if task.phase is not Phase.WAITING:
                continue
            if not allowed or current.starts_left <= 0:
                return True
            chosen = choose_seat(step, task, demand, seats, candidate.job.submission.zone)
            if chosen is None and task.quarantined:
                continue
            if chosen is None:
                return False
            runner, ticket = chosen
            allowed -= 1
            run = self._cell.next_run((task,))
            current.made.starts.append(
                self._cell.place(step, task, runner, run, current.now, ticket, step.step.estimate)
            )
        return not step.waiting

    def _serve_gang(
        self,
        candidate: Candidate,
        seats: list[Seat],
        runners: dict[str, RunnerState],
        current: _Round,
    ) -> None:
        step = candidate.step
        if step.waiting < len(step.tasks):
            return
        until = current.now + step.step.estimate * BACKFILL_MARGIN
        rank = candidate.rank
        free = [seat for seat in seats if current.reservations.may_start(seat[0].id, rank, until)]
        may_place = candidate.job.stored and current.starts_left > 0
        if may_place and self._place_gang(candidate, free, current):
            current.reservations.release(step)
            return
        self._gate.claim(candidate)
        if current.reserves:
            self._reserve(candidate, runners, current)

    def _reserve(
        self,
        candidate: Candidate,
        runners: dict[str, RunnerState],
        current: _Round,
    ) -> None:
        """Keep room for a gang, and have its tickets ready in time."""
        step, queue = candidate.step, candidate.queue
        if queue is None:
            return
        if queue.advice is None:
            suiting = [runner for runner in runners.values() if suits(step, runner)]
            self._find_seats(candidate, queue, suiting, suiting, current)
            return
        known = self._cell.tickets.of(step.name)
        if known.asking and not known.asked:
            return
        reservation = None
        if not current.reservations.full:
            allowed = self._allowed(step, runners)
            valid = known.valid(current.now + STOP_SECONDS)
            ready = [runner for runner in allowed if runner.id in valid]
            reservation = self._find_seats(candidate, queue, allowed, ready, current)
        if not _may_ask(queue, current) or not known.may_ask(current.now):
            return
        if reservation is None:
            suiting = [runner for runner in runners.values() if suits(step, runner)]
            zone = candidate.job.submission.zone
            questions = self._advice_requests.first(queue, step, suiting, current.now, zone)
        else:
            questions = self._advice_requests.reserved(queue, step, reservation, current.now)
        _put(queue, questions, current)

    def _allowed(self, step: StepRun, runners: dict[str, RunnerState]) -> list[RunnerState]:
        """Return the runners that a step may use, looked up by its permits."""
        found = (runners.get(runner_id) for runner_id in self._cell.tickets.of(step.name).allowed)
        return [runner for runner in found if runner is not None and suits(step, runner)]

    def _find_seats(
        self,
        candidate: Candidate,
        queue: Queue,
        runners: list[RunnerState],
        ready: list[RunnerState],
        current: _Round,
    ) -> Reservation | None:
        """Reserve where a gang fits first, and stop others for it if that is late.

        Starts may be sent to ``ready`` runners; others are stopped only there.
        """
        reservations, now = current.reservations, current.now
        if reservations.full:
            return None
        free = reservations.unreserved(runners)
        reservation = reservations.find(candidate.step, candidate.rank, free, now)
        soon = reservation is not None and reservation.at <= now + PATIENCE
        if not soon and candidate.late < USELESS:
            room = self._preemption.find_room(
                candidate.step, queue, reservations.unreserved(ready), now
            )
            if room is None:
                # Its tickets are needed first, so they are asked for at once.
                at = now
                room = self._preemption.find_room(candidate.step, queue, free, now)
            else:
                at = now + STOP_SECONDS
                self._preempt(room, current)
            if room is not None:
                reservation = Reservation(candidate.step, at, room.runners, candidate.rank)
        if reservation is not None:
            reservations.hold(reservation)
        return reservation

    def _preempt(self, room: RoomMade, current: _Round) -> None:
        for victim in room.victims:
            self._cell.stop(victim)
        current.made.preempted.extend(room.victims)

    def _place_gang(self, candidate: Candidate, allowed: list[Seat], current: _Round) -> bool:
        step = candidate.step
        for group in group_seats(step, allowed, candidate.job.submission.zone):
            seats = seat_gang(step, group)
            if seats is None:
                continue
            run = self._cell.next_run(step.tasks)
            checkpoint = next((task.checkpoint for task in step.tasks if task.checkpoint), '')
            for task, (runner, ticket) in zip(step.tasks, seats, strict=True):
                task.checkpoint = checkpoint
                current.made.starts.append(
                    self._cell.place(
                        step, task, runner, run, current.now, ticket, step.step.estimate
                    )
                )
            return True
        return False


def _free(runners: dict[str, RunnerState]) -> float:
    """Return the free processors; a runner over its room takes none away from others."""
    return sum(max(0, runner.room.cpu) for runner in runners.values())


def _may_ask(queue: Queue, current: _Round) -> bool:
    return queue.priority == URGENT or current.patient_requests > 0


def _put(queue: Queue, questions: list[AdviceRequest], current: _Round) -> None:
    if queue.priority != URGENT:
        current.patient_requests -= len(questions)
    current.made.questions.extend(questions)
