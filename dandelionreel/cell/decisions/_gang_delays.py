"""Describes what a gang that is ready waits for. No I/O."""

from collections.abc import Iterable

from dandelionreel.cell.decisions._reservations import Reservations, StepSlots
from dandelionreel.cell.decisions._runner_state import RunnerState
from dandelionreel.cell.decisions._start_delays import GangDelay, WaitReason
from dandelionreel.cell.decisions._step_run import StepRun
from dandelionreel.cell.decisions._tickets import StepTickets
from dandelionreel.cell.decisions._waiting_steps import Candidate

NO_TICKETS = StepTickets()


class GangSlots:
    """The slots for a gang that are free now, by what is known of their runners."""

    def __init__(
        self,
        candidate: Candidate,
        runners: Iterable[RunnerState],
        tickets: StepTickets,
        now: float,
    ) -> None:
        """Count the slots on usable ``runners`` with the required label."""
        step = candidate.step
        self.now = now
        step_slots = StepSlots(step)
        self._slots_by_runner = {runner.id: step_slots.on_runner(runner) for runner in runners}
        self.needs_advice = candidate.queue is not None and candidate.queue.advice is not None
        self.known = set(self._slots_by_runner)
        self.ticketed = self.known
        if self.needs_advice:
            self.known = self.known & tickets.allowed
            self.ticketed = self.known & tickets.valid(now).keys()

    def count(self, runners: Iterable[str]) -> int:
        """Return the number of slots on some runners."""
        return sum(self._slots_by_runner.get(runner, 0) for runner in runners)

    def count_unasked(self, tickets: StepTickets) -> int:
        """Return the number of slots on the runners that the policy service was not asked about."""
        if not self.needs_advice:
            return 0
        return self.count(self._slots_by_runner.keys() - tickets.asked_runners)


def find_wait_reason(
    step: StepRun, slots: GangSlots, tickets: StepTickets, reservations: Reservations
) -> WaitReason:
    """Return why a gang that may start has no placement."""
    needed = len(step.tasks)
    if slots.needs_advice and not tickets.asked_runners:
        return WaitReason.NO_ADVICE
    if slots.count(slots.ticketed) >= needed:
        return WaitReason.RESERVED
    if slots.count(slots.known) < needed:
        has_unasked = slots.count_unasked(tickets) > 0
        return WaitReason.FEW_KNOWN_RUNNERS if has_unasked else WaitReason.NO_CAPACITY
    if tickets.is_pending:
        return WaitReason.NO_ADVICE
    if reservations.is_full and not reservations.holds(step):
        return WaitReason.RESERVATION_LIMIT
    return WaitReason.NO_TICKETS


def describe_delay(
    step: StepRun,
    reason: WaitReason | None,
    slots: GangSlots,
    tickets: StepTickets,
    reservations: Reservations,
) -> GangDelay:
    """Return the report of a gang that waits; without a reason, it has no placement."""
    reserved_at = reservations.start_of(step)
    return GangDelay(
        step.name,
        reason or find_wait_reason(step, slots, tickets, reservations),
        tasks=len(step.tasks),
        asked=len(tickets.asked_runners),
        allowed=len(tickets.allowed),
        valid_tickets=len(tickets.valid(slots.now)),
        pending_requests=tickets.pending,
        allowed_slots=slots.count(slots.known),
        ticketed_slots=slots.count(slots.ticketed),
        unasked_slots=slots.count_unasked(tickets),
        reserved_in=None if reserved_at is None else reserved_at - slots.now,
        yields=reservations.does_yield(step),
    )
