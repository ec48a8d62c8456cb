"""Plans which waiting tasks start on which runners. No I/O; the caller passes the time."""

from collections.abc import Iterable
from dataclasses import dataclass, field, replace

from dandelionreel.cell.decisions._account_shares import QuotaBesideGangs, StarvedGang
from dandelionreel.cell.decisions._advice_requests import AdviceRequest, AdviceRequests
from dandelionreel.cell.decisions._cell import Cell
from dandelionreel.cell.decisions._escalation import Escalation
from dandelionreel.cell.decisions._gang_delays import (
    NO_TICKETS,
    GangSlots,
    describe_delay,
)
from dandelionreel.cell.decisions._gang_start import GangPlacement, GangStarts, GangWait
from dandelionreel.cell.decisions._job_run import JobRun
from dandelionreel.cell.decisions._preemption import (
    LOST_WORK,
    MAX_WAIT_WITHOUT_PREEMPTION_SECONDS,
    STOP_LATENCY_SECONDS,
    STOPPED_CPU,
    Preemption,
    PreemptionPlan,
    VictimCost,
)
from dandelionreel.cell.decisions._quota_gate import QuotaGate
from dandelionreel.cell.decisions._reservation_slips import ReservationSlips
from dandelionreel.cell.decisions._reservations import (
    BACKFILL_MARGIN,
    Reservation,
    Reservations,
    SlotSearch,
    StepSlots,
)
from dandelionreel.cell.decisions._runner_choice import (
    TicketedRunner,
    choose_runner,
    has_required_label,
)
from dandelionreel.cell.decisions._runner_state import Allocation, RunnerState
from dandelionreel.cell.decisions._speed_preference import URGENT_PRIORITY, make_speed_preference
from dandelionreel.cell.decisions._start_delays import GangDelay, StartDelays, WaitReason
from dandelionreel.cell.decisions._step_run import (
    StepRun,
    counted_demand,
    occupied_seconds,
)
from dandelionreel.cell.decisions._waiting_steps import (
    TOO_LATE,
    Candidate,
    WaitingOrder,
    WithinRateFirst,
    list_candidates,
)
from dandelionreel.cell.model import Queue, StepName

#: CPU demand for which advice is requested, as a multiple of the free CPU: without a limit every
#: waiting step would ask about the same free capacity.
REQUESTED_CPU_FACTOR = 1.5
#: Seconds between recomputations of the reservations while the same gangs wait. They are costly:
#: each reservation is computed from all runs on all runners that its gang may use.
RESERVATION_REFRESH_SECONDS = 0.05
NO_LIMIT = float('inf')


@dataclass
class Plan:
    """Starts and advice requests to send, each in order of urgency.

    ``preempted`` are runs that are stopped for a gang, ``quota_blocked`` jobs that have begun to
    wait for their account's quota, ``gang_waits`` gangs that have begun to wait for fast runners.
    ``speed_groups`` has the number of runners by speed, the fastest first, when gangs begin to be
    placed by speed, and is empty when they cease to be. ``starved_gangs`` are gangs for which the
    other tasks of their account have begun to wait, except those that fit beside them.
    ``gang_delays`` are overdue gangs that are due for a report, with what they wait for.
    """

    starts: list[Allocation] = field(default_factory=list)
    preempted: list[Allocation] = field(default_factory=list)
    advice_requests: list[AdviceRequest] = field(default_factory=list)
    quota_blocked: list[JobRun] = field(default_factory=list)
    gang_waits: list[GangWait] = field(default_factory=list)
    speed_groups: list[int] | None = None
    starved_gangs: list[StarvedGang] = field(default_factory=list)
    gang_delays: list[GangDelay] = field(default_factory=list)


@dataclass(frozen=True)
class _GangVersion:
    """Inputs of a gang's reservation; it is recomputed when they change."""

    step: StepName
    answers: int


@dataclass
class _PlanState:
    """Intermediate state of one plan."""

    now: float
    runners_by_service: dict[str, dict[str, RunnerState]]
    reservations: Reservations
    #: Whether this plan recomputes the reservations.
    makes_reservations: bool
    #: CPU demand of single tasks for which advice may still be requested, by service.
    requestable_cpu_by_service: dict[str, float]
    #: Number of non-urgent requests that free hosts can still send.
    deferrable_requests_left: float
    max_starts: float
    plan: Plan = field(default_factory=Plan)

    @property
    def starts_left(self) -> float:
        """Return how many more starts may be sent."""
        return self.max_starts - len(self.plan.starts)


class Planner:
    """Plans the starts of a cell; each call considers all waiting steps."""

    def __init__(
        self,
        cell: Cell,
        order: WaitingOrder | None = None,
        *,
        overload_control: bool = False,
    ) -> None:
        """Place the tasks of ``cell`` in the order of ``order``.

        With ``overload_control``, single tasks may start beside a gang for which their account
        waits.
        """
        self._cell = cell
        #: The order in which waiting steps are placed.
        self.order = order or WithinRateFirst()
        self._beside_gangs = QuotaBesideGangs(cell) if overload_control else None
        self._quota_gate = QuotaGate(cell, self._beside_gangs)
        self._advice_requests = AdviceRequests(cell)
        self._preemption = Preemption(cell)
        self._gang_starts = GangStarts(cell)
        self._start_delays = StartDelays()
        self._escalation = Escalation(cell, self._start_delays)
        self._reservations = Reservations()
        self._reservation_slips = ReservationSlips()
        self._reserved_at = float('-inf')
        self._reserved_for: list[_GangVersion] = []

    def plan(
        self,
        now: float,
        unix_time: float,
        max_deferrable_requests: float = NO_LIMIT,
        max_starts: float = NO_LIMIT,
    ) -> Plan:
        """Place waiting tasks and allocate their capacity, up to about ``max_starts``.

        A gang is placed whole, even if it exceeds the remaining starts.

        Non-urgent advice requests (at most ``max_deferrable_requests``) are made only while hosts
        are free to send them. Requests that queue at a host are sent in the order in which they
        were made, so a gang's first tickets would expire before its last ones arrive.
        """
        candidates = list_candidates(self._cell, self.order.rank, now, unix_time)
        self._start_delays.begin_plan(candidates, now)
        if not candidates:
            return Plan()
        self._quota_gate.begin_plan(candidates, now, unix_time)
        usable = self._usable_runners_by_service(now)
        self._escalation.begin_plan(usable)
        self._begin_gangs(candidates, usable)
        makes_reservations = self._renew_reservations(candidates, usable, now)
        if makes_reservations:
            self._start_delays.choose_searches(candidates)
        requestable_cpu = {
            service: REQUESTED_CPU_FACTOR * _total_free_cpu(runners)
            for service, runners in usable.items()
        }
        state = _PlanState(
            now,
            usable,
            self._reservations,
            makes_reservations,
            requestable_cpu,
            max_deferrable_requests,
            max_starts,
        )
        for candidate in candidates:
            service = self._cell.service_of(candidate.job)
            runners = state.runners_by_service.get(service)
            if runners:
                self._plan_step(candidate, runners, state)
            elif candidate.step.step.gang:
                self._report_delay(candidate, WaitReason.NO_RUNNER, state)
        self._add_new_waits(state.plan)
        return state.plan

    def _begin_gangs(
        self, candidates: list[Candidate], usable: dict[str, dict[str, RunnerState]]
    ) -> None:
        self._gang_starts.begin_plan(
            candidates, [runner for runners in usable.values() for runner in runners.values()]
        )
        self._preemption.begin_plan(self._victim_cost())
        self._reservation_slips.begin_plan(candidates)

    def _add_new_waits(self, plan: Plan) -> None:
        """Add the jobs and gangs that have begun to wait in this plan."""
        plan.quota_blocked.extend(self._quota_gate.newly_blocked)
        plan.gang_waits.extend(self._gang_starts.new_waits)
        plan.speed_groups = self._gang_starts.new_groups
        if self._beside_gangs is not None:
            self._beside_gangs.count_starts(plan.starts)
            plan.starved_gangs.extend(self._beside_gangs.newly_starved)

    def _victim_cost(self) -> VictimCost:
        return LOST_WORK if self._gang_starts.is_by_speed else STOPPED_CPU

    def _renew_reservations(
        self,
        candidates: list[Candidate],
        usable: dict[str, dict[str, RunnerState]],
        now: float,
    ) -> bool:
        """Discard the reservations if they may be outdated; return whether they were discarded.

        They are outdated when a gang was added or removed, or got an answer of the policy service.
        """
        gangs = [self._gang_version(one.step) for one in candidates if one.step.step.gang]
        if now < self._reserved_at + RESERVATION_REFRESH_SECONDS and gangs == self._reserved_for:
            return False
        self._reservations = Reservations(sum(len(runners) for runners in usable.values()))
        self._reserved_at = now
        self._reserved_for = gangs
        return True

    def _gang_version(self, step: StepRun) -> _GangVersion:
        return _GangVersion(step.name, self._cell.tickets.of(step.name).answers)

    def _usable_runners_by_service(self, now: float) -> dict[str, dict[str, RunnerState]]:
        by_service: dict[str, dict[str, RunnerState]] = {}
        known_since = now - self._cell.max_knowledge_age
        usable = [
            runner
            for runner in self._cell.runner_by_id.values()
            if runner.known_at >= known_since and runner.is_usable(now)
        ]
        zones = {runner.registration.zone for runner in usable}
        unreachable_zones = self._cell.zone_reachability.unreachable_zones(zones, now)
        for runner in usable:
            if runner.registration.zone in unreachable_zones:
                continue
            runners_by_id = by_service.setdefault(runner.registration.service, {})
            runners_by_id[runner.id] = runner
        return by_service

    def _plan_step(
        self,
        candidate: Candidate,
        runners: dict[str, RunnerState],
        state: _PlanState,
    ) -> None:
        step = candidate.step
        allowed = self._quota_gate.count_allowed_tasks(candidate)
        if not allowed:
            if step.step.gang:
                self._quota_gate.claim_quota(candidate)
                self._report_delay(candidate, WaitReason.QUOTA, state)
            return
        may_place = candidate.job.stored and state.starts_left > 0
        needs_advice = candidate.queue is not None and candidate.queue.advice is not None
        if not (may_place or needs_advice or step.step.gang):
            # Nothing can be sent for it in this plan. A long backlog would cost a search each.
            return
        if needs_advice:
            ticketed = self._runners_with_tickets(step, runners, state.now)
        else:
            ticketed = [
                (runner, '') for runner in runners.values() if has_required_label(step, runner)
            ]
        if step.step.gang:
            self._plan_gang(candidate, ticketed, runners, state)
            return
        placed = may_place and self._place_tasks(candidate, ticketed, state, allowed)
        if not placed and not self._can_place_all_tasks(candidate, ticketed, state):
            self._request_advice(candidate, runners, state)

    def _can_place_all_tasks(
        self, candidate: Candidate, ticketed: list[TicketedRunner], state: _PlanState
    ) -> bool:
        """Return whether tickets and capacity suffice for all waiting tasks of a step.

        A job that the store has not yet taken can be in this state for several plans, and must
        not request advice again in each of them.
        """
        step = candidate.step
        step_slots = StepSlots(step)
        count = 0
        startable = self._startable_runners(candidate, (runner for runner, _ in ticketed), state)
        for runner, _ in ticketed:
            if runner.id in startable:
                count += step_slots.on_runner(runner)
        return count >= step.waiting

    def _runners_with_tickets(
        self,
        step: StepRun,
        runners: dict[str, RunnerState],
        now: float,
    ) -> list[TicketedRunner]:
        """Return the usable runners for which the step has valid tickets."""
        tickets = self._cell.tickets.of(step.name).valid(now)
        return [
            (runners[runner], ticket) for runner, ticket in tickets.items() if runner in runners
        ]

    def _request_advice(
        self,
        candidate: Candidate,
        runners: dict[str, RunnerState],
        state: _PlanState,
    ) -> None:
        """Request advice for single tasks if the tickets would let some of them start."""
        queue, step = candidate.queue, candidate.step
        service = self._cell.service_of(candidate.job)
        if queue is None or queue.advice is None or not _may_request_advice(queue, state):
            return
        is_escalated = self._escalation.is_escalated(candidate)
        if state.requestable_cpu_by_service[service] <= 0 and not is_escalated:
            return
        state.requestable_cpu_by_service[service] -= step.waiting * counted_demand(step).cpu
        may_request = self._cell.tickets.of(step.name).may_request(state.now)
        may_search = is_escalated and self._start_delays.may_search(step.name)
        if not may_request and not may_search:
            return
        # Tickets for a reserved runner would expire before the step may start there.
        labelled = _labelled_runners(step, runners)
        startable = self._startable_runners(candidate, labelled, state)
        eligible = [runner for runner in labelled if runner.id in startable]
        requests = []
        if may_search:
            requests = self._request_free_slots(candidate, queue, eligible, state)
        if not requests and may_request:
            requests = self._request_usual_advice(candidate, queue, eligible, state)
        _add_advice_requests(queue, requests, state)

    def _request_usual_advice(
        self,
        candidate: Candidate,
        queue: Queue,
        eligible: list[RunnerState],
        state: _PlanState,
    ) -> list[AdviceRequest]:
        step, zone = candidate.step, candidate.job.submission.zone
        requests = []
        preference = make_speed_preference(self._cell, candidate, state.now)
        if self._cell.tickets.of(step.name).asked_runners:
            requests = self._advice_requests.for_expired_tickets(
                queue, step, eligible, state.now, zone, preference
            )
        return requests or self._advice_requests.for_new_runners(
            queue, step, eligible, state.now, zone, preference
        )

    def _request_free_slots(
        self,
        candidate: Candidate,
        queue: Queue,
        runners: list[RunnerState],
        state: _PlanState,
    ) -> list[AdviceRequest]:
        """Request the tickets with which a step could start on what is free now."""
        search = self._escalation.search_free_slots(
            candidate, runners, state.deferrable_requests_left
        )
        if search is None:
            return []
        return self._advice_requests.for_free_slots(queue, candidate.step, search, state.now)

    def _startable_runners(
        self, candidate: Candidate, runners: Iterable[RunnerState], state: _PlanState
    ) -> set[str]:
        """Return the runners on which no reservation keeps a task from starting."""
        run_times = self._cell.run_times
        expected = run_times.expected_seconds(
            candidate.job.submission.queue, candidate.step.step.estimate
        )
        seconds = BACKFILL_MARGIN * occupied_seconds(candidate.step, expected)
        may_start, rank = state.reservations.may_start_task, candidate.rank
        passed_from = self._escalation.passes_reservations_from(candidate, state.now)
        if not run_times.is_uneven:
            ends_by = state.now + seconds
            return {
                runner.id for runner in runners if may_start(runner.id, rank, ends_by, passed_from)
            }
        return {
            runner.id
            for runner in runners
            if may_start(
                runner.id, rank, state.now + seconds / run_times.speed_of(runner), passed_from
            )
        }

    def _expected_seconds(self, candidate: Candidate, runner: RunnerState) -> float:
        return self._cell.run_times.expected_seconds(
            candidate.job.submission.queue, candidate.step.step.estimate, runner
        )

    def _place_tasks(
        self,
        candidate: Candidate,
        ticketed: list[TicketedRunner],
        state: _PlanState,
        allowed: int,
    ) -> bool:
        """Place as many tasks as fit, at most ``allowed``; return whether all were placed."""
        step = candidate.step
        demand = counted_demand(step)
        ticketed = [entry for entry in ticketed if demand.fits(entry[0].free_capacity)]
        startable = self._startable_runners(candidate, (runner for runner, _ in ticketed), state)
        if not startable:
            return not step.waiting
        ticketed = [entry for entry in ticketed if entry[0].id in startable]
        preference = make_speed_preference(self._cell, candidate, state.now)
        for task in step.tasks.waiting():
            if not allowed or state.starts_left <= 0:
                return True
            if state.now < task.not_before:
                continue
            chosen = choose_runner(
                step, task, demand, ticketed, candidate.job.submission.zone, preference
            )
            if chosen is None and task.quarantined:
                continue
            if chosen is None:
                return False
            runner, ticket = chosen
            allowed -= 1
            state.plan.starts.append(
                self._cell.place_task(
                    step,
                    task,
                    runner,
                    self._cell.next_run_number((task,)),
                    state.now,
                    ticket,
                    self._expected_seconds(candidate, runner),
                )
            )
        return not step.waiting

    def _plan_gang(
        self,
        candidate: Candidate,
        ticketed: list[TicketedRunner],
        runners: dict[str, RunnerState],
        state: _PlanState,
    ) -> None:
        step = candidate.step
        if step.waiting < len(step.tasks):
            self._report_delay(candidate, WaitReason.FORMER_RUN, state)
            return
        if any(state.now < task.not_before for task in step.tasks.active()):
            self._report_delay(candidate, WaitReason.CRASHES, state)
            return
        # Until its members are chosen, the gang may turn out to be as slow as the slowest level.
        seconds = self._gang_starts.seconds_by_level(candidate)[-1]
        ends_by = state.now + occupied_seconds(step, seconds) * BACKFILL_MARGIN
        rank = candidate.rank
        passed_from = self._escalation.passes_reservations_from(candidate, state.now)
        free = [
            entry
            for entry in ticketed
            if state.reservations.may_start_task(entry[0].id, rank, ends_by, passed_from)
        ]
        placement = None
        if candidate.job.stored and state.starts_left > 0:
            placement = self._gang_starts.choose_placement(candidate, free)
        if placement is not None and not self._waits_for_faster(
            candidate, placement, runners, state
        ):
            self._place_gang(candidate, placement, state)
            self._gang_starts.forget(step)
            state.reservations.remove_step(step)
            return
        self._quota_gate.claim_quota(candidate)
        if state.makes_reservations:
            self._reserve_slots_or_request_advice(candidate, runners, state)
        reason = None if placement is None else WaitReason.FASTER_RUNNERS
        self._report_delay(candidate, reason, state)

    def _report_delay(
        self,
        candidate: Candidate,
        reason: WaitReason | None,
        state: _PlanState,
    ) -> None:
        """Report a gang that has not started, if it is due; without a reason, find it."""
        if not self._start_delays.take_report(candidate.step.name):
            return
        if not candidate.job.stored:
            reason = WaitReason.NOT_STORED
        elif reason is None and state.starts_left <= 0:
            reason = WaitReason.START_LIMIT
        tickets = NO_TICKETS
        if candidate.queue is not None and candidate.queue.advice is not None:
            tickets = self._cell.tickets.of(candidate.step.name)
        with_room = self._escalation.runners_with_room(candidate)
        slots = GangSlots(candidate, with_room, tickets, state.now)
        delay = describe_delay(candidate.step, reason, slots, tickets, state.reservations)
        seconds = self._start_delays.seconds(candidate.step.name)
        state.plan.gang_delays.append(replace(delay, seconds=seconds))

    def _waits_for_faster(
        self,
        candidate: Candidate,
        placement: GangPlacement,
        runners: dict[str, RunnerState],
        state: _PlanState,
    ) -> bool:
        # Without a queue, no runners are reserved for the gang while it waits.
        if not placement.level or candidate.queue is None:
            return False
        allowed = self._allowed_runners(candidate, runners)
        if self._escalation.takes_slow_runners(candidate, allowed):
            return False
        return self._gang_starts.should_wait(
            candidate,
            placement,
            allowed,
            state.reservations,
            state.now,
            may_reserve=state.makes_reservations,
        )

    def _reserve_slots_or_request_advice(
        self,
        candidate: Candidate,
        runners: dict[str, RunnerState],
        state: _PlanState,
    ) -> None:
        """Reserve slots for a gang, and request its tickets in time for them."""
        step, queue = candidate.step, candidate.queue
        if queue is None:
            return
        if queue.advice is None:
            eligible = self._allowed_runners(candidate, runners)
            self._reserve_slots(candidate, queue, eligible, eligible, state)
            return
        tickets = self._cell.tickets.of(step.name)
        reservation = None
        if tickets.asked_runners and not state.reservations.is_full:
            allowed = self._allowed_runners(candidate, runners)
            valid = tickets.valid(state.now + STOP_LATENCY_SECONDS)
            ready = [runner for runner in allowed if runner.id in valid]
            reservation = self._reserve_slots(candidate, queue, allowed, ready, state)
        if not _may_request_advice(queue, state):
            return
        requests = []
        if self._start_delays.is_overdue(step.name) or self._escalation.is_distant(
            candidate, reservation, state.now
        ):
            with_room = self._escalation.runners_with_room(candidate)
            requests = self._request_free_slots(candidate, queue, with_room, state)
        if not requests and reservation is not None:
            requests = self._advice_requests.for_reservation(queue, step, reservation, state.now)
        elif not requests and tickets.may_request(state.now):
            requests = self._advice_requests.for_new_runners(
                queue,
                step,
                _labelled_runners(step, runners),
                state.now,
                candidate.job.submission.zone,
                make_speed_preference(self._cell, candidate, state.now),
            )
        _add_advice_requests(queue, requests, state)

    def _allowed_runners(
        self, candidate: Candidate, runners: dict[str, RunnerState]
    ) -> list[RunnerState]:
        """Return the usable runners on which the policy service, if it is asked, allows a step."""
        step, queue = candidate.step, candidate.queue
        found: Iterable[RunnerState | None] = runners.values()
        if queue is not None and queue.advice is not None:
            found = map(runners.get, self._cell.tickets.of(step.name).allowed)
        return [
            runner for runner in found if runner is not None and has_required_label(step, runner)
        ]

    def _reserve_slots(
        self,
        candidate: Candidate,
        queue: Queue,
        runners: list[RunnerState],
        ready: list[RunnerState],
        state: _PlanState,
    ) -> Reservation | None:
        """Reserve the earliest slots for a gang; preempt other tasks if those are too far off.

        The gang has valid tickets for the ``ready`` runners; tasks are preempted only there.
        """
        reservations, now = state.reservations, state.now
        if reservations.is_full:
            return None
        free = reservations.unreserved_runners(runners)
        search = self._gang_starts.make_search(candidate, now)
        reservation = reservations.find(search, free)
        in_time = (
            reservation is not None and reservation.at <= now + MAX_WAIT_WITHOUT_PREEMPTION_SECONDS
        )
        if not in_time and candidate.lateness < TOO_LATE:
            ready = reservations.unreserved_runners(ready)
            sooner = self._reserve_by_preemption(search, queue, reservation, (ready, free), state)
            reservation = sooner or reservation
        if reservation is not None:
            reservation = self._let_overdue_steps_pass(reservation, runners, now)
            reservations.add(reservation)
        return reservation

    def _let_overdue_steps_pass(
        self, reservation: Reservation, runners: list[RunnerState], now: float
    ) -> Reservation:
        """Return a reservation that yields to overdue steps if it was postponed too often."""
        step = reservation.step
        step_slots = StepSlots(step)
        free_slots = sum(
            step_slots.on_runner(runner) for runner in runners if runner.id in reservation.runners
        )
        yields = self._reservation_slips.record_plan(step.name, reservation.at, free_slots, now)
        return replace(reservation, yields=yields)

    def _reserve_by_preemption(
        self,
        search: SlotSearch,
        queue: Queue,
        found: Reservation | None,
        ready_and_free: tuple[list[RunnerState], list[RunnerState]],
        state: _PlanState,
    ) -> Reservation | None:
        """Return a reservation for which other tasks are preempted, ``None`` if none is worthwhile.

        ``found`` is the reservation without preemption. Faster runners than its slowest are used:
        a gang that starts earlier on slower runners may not end earlier.
        """
        levels, step = search.levels, search.step
        level = levels.count - 1 if found is None else found.level
        ready, free = (
            [runner for runner in runners if levels.level_of(runner.id) <= level]
            for runners in ready_and_free
        )
        stopped_at = state.now + STOP_LATENCY_SECONDS
        preemption = self._preemption.plan_preemption(step, queue, ready, state.now)
        has_tickets = preemption is not None
        if preemption is None:
            preemption = self._preemption.plan_preemption(step, queue, free, state.now)
        if preemption is None or not self._preemption.is_worthwhile(
            preemption, step, NO_LIMIT if found is None else found.at - stopped_at
        ):
            return None
        if has_tickets:
            self._preempt_victims(preemption, state)
        # The gang needs tickets first. A reservation that is due now requests them at once.
        at = stopped_at if has_tickets else state.now
        ends_at = at + search.seconds_by_level[level]
        return Reservation(step, at, preemption.runners, search.rank, level, ends_at)

    def _preempt_victims(self, preemption: PreemptionPlan, state: _PlanState) -> None:
        for victim in preemption.victims:
            self._cell.stop_run(victim)
        state.plan.preempted.extend(preemption.victims)

    def _place_gang(
        self, candidate: Candidate, placement: GangPlacement, state: _PlanState
    ) -> None:
        step = candidate.step
        run = self._cell.next_run_number(step.tasks)
        checkpoint = next((task.checkpoint for task in step.tasks if task.checkpoint), '')
        for task, (runner, ticket) in zip(step.tasks, placement.members, strict=True):
            task.checkpoint = checkpoint
            state.plan.starts.append(
                self._cell.place_task(step, task, runner, run, state.now, ticket, placement.seconds)
            )


def _labelled_runners(step: StepRun, runners: dict[str, RunnerState]) -> list[RunnerState]:
    """Return the runners that have the label that a step requires."""
    return [runner for runner in runners.values() if has_required_label(step, runner)]


def _total_free_cpu(runners: dict[str, RunnerState]) -> float:
    """Return the free CPU; an overcommitted runner counts as zero."""
    return sum(max(0, runner.free_capacity.cpu) for runner in runners.values())


def _may_request_advice(queue: Queue, state: _PlanState) -> bool:
    return queue.priority == URGENT_PRIORITY or state.deferrable_requests_left > 0


def _add_advice_requests(queue: Queue, requests: list[AdviceRequest], state: _PlanState) -> None:
    if queue.priority != URGENT_PRIORITY:
        state.deferrable_requests_left -= len(requests)
    state.plan.advice_requests.extend(requests)
