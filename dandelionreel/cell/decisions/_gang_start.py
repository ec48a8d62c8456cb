"""Decides whether a gang starts now or waits for faster runners. No I/O.

Load pattern: runners differ in speed, and a gang is as slow as its slowest member. Slots on slow
runners are often free when a gang becomes ready, while fast ones come free some tenths of a second
later. A gang waits for them if it is expected to end sooner that way, never for longer than it can
gain.
"""

from collections.abc import Iterable
from dataclasses import dataclass

from dandelionreel.cell.decisions._advice_requests import expected_advice_seconds
from dandelionreel.cell.decisions._cell import Cell
from dandelionreel.cell.decisions._reservations import Reservation, Reservations, SlotSearch
from dandelionreel.cell.decisions._runner_choice import (
    TicketedRunner,
    assign_gang,
    group_by_location,
)
from dandelionreel.cell.decisions._runner_state import RunnerState
from dandelionreel.cell.decisions._speed_levels import SINGLE_LEVEL, group_by_speed
from dandelionreel.cell.decisions._step_run import StepRun
from dandelionreel.cell.decisions._waiting_steps import Candidate
from dandelionreel.cell.model import StepName

#: A gang waits only if it ends sooner by at least this share of its duration on the runners that
#: are free now, as the expected ends of other runs are uncertain.
MIN_GAIN_SHARE = 0.1
#: Seconds from an advice request to the plan that uses its answer, beside the service's own time.
ADVICE_OVERHEAD_SECONDS = 0.05
NO_LIMIT = float('inf')


@dataclass(frozen=True)
class GangPlacement:
    """A runner for each member of a gang, and the expected duration on them in seconds."""

    members: list[TicketedRunner]
    level: int
    seconds: float


@dataclass(frozen=True)
class GangWait:
    """A gang that begins to wait for faster runners, with the inputs of the decision.

    Durations are in seconds; ``starts_in`` and ``fast_seconds`` are ``None`` while the policy
    service has not answered for all runners.
    """

    step: StepName
    slow_seconds: float
    max_wait: float
    starts_in: float | None
    fast_seconds: float | None


class GangStarts:
    """Chooses when and where the gangs of one cell start."""

    def __init__(self, cell: Cell) -> None:
        """Choose for the gangs of ``cell``."""
        self._cell = cell
        self.levels = SINGLE_LEVEL
        #: Time by which each waiting gang starts on whatever is free.
        self._wait_until_by_gang: dict[StepName, float] = {}
        #: Gangs that have begun to wait in this plan.
        self.new_waits: list[GangWait] = []
        #: Number of runners of each level if this plan has begun or ceased to group them.
        self.new_groups: list[int] | None = None

    def begin_plan(self, candidates: Iterable[Candidate], runners: Iterable[RunnerState]) -> None:
        """Begin a plan: gangs that are no longer candidates are forgotten."""
        was_by_speed = self.is_by_speed
        self.levels = group_by_speed(self._cell.run_times, runners)
        self.new_groups = None
        if self.is_by_speed != was_by_speed:
            self.new_groups = self.levels.runners_by_level()
        self.new_waits = []
        if self._wait_until_by_gang:
            names = {candidate.step.name for candidate in candidates}
            self._wait_until_by_gang = {
                name: until for name, until in self._wait_until_by_gang.items() if name in names
            }

    @property
    def is_by_speed(self) -> bool:
        """Return whether gangs are placed by the speeds of runners."""
        return self.levels is not SINGLE_LEVEL

    def choose_placement(
        self, candidate: Candidate, available: list[TicketedRunner]
    ) -> GangPlacement | None:
        """Return the fastest placement of a gang, ``None`` if it does not fit now.

        Among equally fast ones, the first by location is taken.
        """
        step = candidate.step
        members = assign_gang(step, available, self.levels)
        if members is None:
            return None
        level = self._slowest_level(members)
        for group in group_by_location(step, available, candidate.job.submission.zone):
            close = assign_gang(step, group, self.levels)
            if close is not None and self._slowest_level(close) == level:
                members = close
                break
        return GangPlacement(members, level, self._placement_seconds(candidate, members))

    def should_wait(
        self,
        candidate: Candidate,
        placement: GangPlacement,
        allowed: list[RunnerState],
        reservations: Reservations,
        now: float,
        *,
        may_reserve: bool,
    ) -> bool:
        """Return whether a gang that fits now waits for faster ones of the ``allowed`` runners.

        A wait ends after the seconds that the fastest runners could save at first. Without that
        limit, a gang whose expected start is postponed again and again would keep capacity idle.
        Reservations are made only in plans that ``may_reserve``; in between, the gang waits on.
        """
        name = candidate.step.name
        if not placement.level or now >= self._wait_until_by_gang.get(name, NO_LIMIT):
            return False
        found = None
        if not self._cell.tickets.of(name).is_pending:
            if not may_reserve:
                return reservations.holds(candidate.step) or not reservations.is_full
            found = self._find_sooner_end(candidate, placement, allowed, reservations, now)
            if found is None:
                return False
        if name not in self._wait_until_by_gang:
            max_wait = placement.seconds - self.seconds_by_level(candidate)[0]
            self._wait_until_by_gang[name] = now + max_wait
            starts_in = None if found is None else found.at - now
            fast_seconds = None if found is None else found.end - found.at
            self.new_waits.append(
                GangWait(name, placement.seconds, max_wait, starts_in, fast_seconds)
            )
        return True

    def forget(self, step: StepRun) -> None:
        """Forget the wait of a gang that has started; it may have to start again."""
        self._wait_until_by_gang.pop(step.name, None)

    def make_search(self, candidate: Candidate, now: float) -> SlotSearch:
        """Return the search for the earliest slots of a gang."""
        if not self.is_by_speed:
            return SlotSearch(candidate.step, candidate.rank, now)
        return SlotSearch(
            candidate.step,
            candidate.rank,
            now,
            self.levels,
            self.seconds_by_level(candidate),
            self._ready_at_by_runner(candidate, now),
        )

    def seconds_by_level(self, candidate: Candidate) -> tuple[float, ...]:
        """Return the expected duration of a gang by the level of its slowest member."""
        slowest = self.levels.slowest_by_level or (None,)
        return tuple(self._expected_seconds(candidate, runner) for runner in slowest)

    def _find_sooner_end(
        self,
        candidate: Candidate,
        placement: GangPlacement,
        allowed: list[RunnerState],
        reservations: Reservations,
        now: float,
    ) -> Reservation | None:
        """Return a reservation with which a gang ends clearly sooner than with a placement."""
        if reservations.is_full:
            return None
        found = reservations.find(
            self.make_search(candidate, now), reservations.unreserved_runners(allowed)
        )
        if found is None or found.level >= placement.level:
            return None
        gain = now + placement.seconds - found.end
        in_time = found.at <= self._wait_until_by_gang.get(candidate.step.name, NO_LIMIT)
        return found if in_time and gain >= MIN_GAIN_SHARE * placement.seconds else None

    def _ready_at_by_runner(self, candidate: Candidate, now: float) -> dict[str, float]:
        """Return when a ticket could arrive for each allowed runner that has none."""
        advice = None if candidate.queue is None else candidate.queue.advice
        if advice is None:
            return {}
        tickets = self._cell.tickets.of(candidate.step.name)
        valid = tickets.valid(now)
        ready_at = (
            now + ADVICE_OVERHEAD_SECONDS + expected_advice_seconds(advice, len(tickets.allowed))
        )
        return {runner: ready_at for runner in tickets.allowed if runner not in valid}

    def _expected_seconds(self, candidate: Candidate, runner: RunnerState | None) -> float:
        return self._cell.run_times.expected_seconds(
            candidate.job.submission.queue, candidate.step.step.estimate, runner
        )

    def _slowest_level(self, members: list[TicketedRunner]) -> int:
        return max(self.levels.level_of(runner.id) for runner, _ in members)

    def _placement_seconds(self, candidate: Candidate, members: list[TicketedRunner]) -> float:
        """Return the expected duration on the slowest of the runners."""
        runner_by_id = {runner.id: runner for runner, _ in members}
        return max(self._expected_seconds(candidate, runner) for runner in runner_by_id.values())
