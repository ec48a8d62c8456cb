"""Decides which runners to ask the policy service about, and when. No I/O.

The policy service decides which runners may run a step, and issues a ticket for each of them. A
ticket is sent with every start on the runner, and expires.

Load pattern: hundreds of steps wait, and asking the service about every runner for each of them
would take more time than all hosts together have. A request for single tasks names about as many
runners with free capacity as the step is likely to need, and no requests are made beyond the free
capacity of the cell. A gang needs slots on many runners at once, so its request is split and
several hosts send the parts in parallel.
"""

from collections.abc import Callable, Iterable
from dataclasses import dataclass
from functools import partial
from zlib import crc32

from dandelionreel.cell.decisions._cell import Cell
from dandelionreel.cell.decisions._reservations import Reservation, StepSlots, count_slots
from dandelionreel.cell.decisions._runner_state import RunnerState
from dandelionreel.cell.decisions._speed_preference import (
    NO_PREFERENCE,
    PreferenceKey,
    SpeedPreference,
)
from dandelionreel.cell.decisions._step_run import StepRun, counted_demand
from dandelionreel.cell.decisions._tickets import StepTickets
from dandelionreel.cell.model import AdvicePolicy, Demand, Queue, StepName

#: The service answers for at most this many runners in one request.
MAX_RUNNERS_PER_REQUEST = 100
#: Smaller requests save nothing, as the fixed time of a request outweighs the time per runner.
MIN_RUNNERS_PER_REQUEST = 12
#: Share of the runners that the service is expected to allow.
#: A request names the number of runners that is expected to suffice, times an oversampling factor.
#: Most slots for a gang are in use, so its request has a larger factor.
EXPECTED_ALLOWED_SHARE = 0.3
OVERSAMPLING_FACTOR = 1.6
GANG_OVERSAMPLING_FACTOR = 4.0
#: Runners in each part of a gang's request.
MAX_RUNNERS_PER_GANG_REQUEST = 45
#: A runner with more free slots than this is not preferred over others: more tasks of one step
#: seldom start there, as other steps use the capacity in the meantime.
SUFFICIENT_SLOTS = 2
#: A step asks about no new runners while those known to be allowed have this many times the slots
#: that it needs: other steps may take some of them before its tickets arrive.
SPARE_SLOTS_FACTOR = 2
#: Seconds before the start of a reservation at which its tickets should have arrived.
TICKET_LEAD_SECONDS = 0.25


@dataclass(frozen=True)
class AdviceRequest:
    """A request to the policy service: which of these runners may run a step."""

    step: StepName
    runners: tuple[str, ...]
    priority: int
    advice: AdvicePolicy


@dataclass(frozen=True)
class FreeSlotSearch:
    """Runners whose free slots a step may use, and how many of them its requests may name.

    ``allowed_share`` is the share of new runners that is counted on. Without a limit, as many are
    named as for a step that asks for the first time.
    """

    runners: list[RunnerState]
    allowed_share: float
    limit: int | None = None


class _FreeSlots:
    """The runners with slots for a step that are free now, by whether they were asked about."""

    def __init__(self, step: StepRun, runners: Iterable[RunnerState], tickets: StepTickets) -> None:
        step_slots = StepSlots(step)
        self._slots_by_runner: dict[str, int] = {}
        self.known: list[RunnerState] = []
        self.unasked: list[RunnerState] = []
        for runner in runners:
            is_known = runner.id in tickets.allowed
            if not is_known and runner.id in tickets.asked_runners:
                continue
            slots = step_slots.on_runner(runner)
            if slots:
                self._slots_by_runner[runner.id] = slots
                (self.known if is_known else self.unasked).append(runner)

    def count(self, runners: Iterable[RunnerState]) -> int:
        """Return the number of slots on some of the runners."""
        return sum(self._slots_by_runner[runner.id] for runner in runners)

    def most_slots_first(self, runner: RunnerState) -> int:
        """Return a sort key."""
        return -self._slots_by_runner[runner.id]


class AdviceRequests:
    """Builds the requests to the policy service for the steps of one cell."""

    def __init__(self, cell: Cell) -> None:
        """Use the tickets and runners of ``cell``."""
        self._cell = cell

    def for_new_runners(
        self,
        queue: Queue,
        step: StepRun,
        runners: Iterable[RunnerState],
        now: float,
        zone: str = '',
        preference: SpeedPreference | None = None,
    ) -> list[AdviceRequest]:
        """Return requests for runners not asked about yet, those in ``zone`` first.

        Runners of a suitable speed come before them; for a gang these are the fast ones, as it ends
        when its slowest member ends.

        For single tasks, runners without free capacity are left out: the tickets would expire
        before the capacity is free.
        """
        tickets = self._cell.tickets.of(step.name)
        if not tickets.may_request(now):
            return []
        demand = counted_demand(step)
        slots_and_runners = [
            (count_slots(demand, runner.free_capacity), runner)
            for runner in runners
            if runner.id not in tickets.asked_runners
        ]
        if step.step.gang:
            slots_and_runners.sort(key=_make_slots_sort_key(zone, preference))
        else:
            slots_and_runners = [entry for entry in slots_and_runners if entry[0]]
            slots_and_runners.sort(key=_make_hash_sort_key(step.name, zone, preference))
        unasked = [runner for _, runner in slots_and_runners]
        return self._split_request(queue, step, unasked[: self._count_runners_to_ask(step)], now)

    def for_expired_tickets(
        self,
        queue: Queue,
        step: StepRun,
        runners: Iterable[RunnerState],
        now: float,
        zone: str = '',
        preference: SpeedPreference | None = None,
    ) -> list[AdviceRequest]:
        """Return requests for new tickets on allowed runners with free slots.

        Runners of a suitable speed come first, then those in ``zone``.
        """
        tickets = self._cell.tickets.of(step.name)
        if not tickets.may_request(now):
            return []
        step_slots = StepSlots(step)
        chosen = []
        slots_found = 0
        for runner in sorted(runners, key=partial(_make_zone_sort_key, zone, preference)):
            slots = step_slots.on_runner(runner)
            if runner.id in tickets.allowed and slots and slots_found < step.waiting:
                chosen.append(runner)
                slots_found += slots
        return self._split_request(queue, step, chosen, now)

    def for_reservation(
        self,
        queue: Queue,
        step: StepRun,
        reservation: Reservation,
        now: float,
    ) -> list[AdviceRequest]:
        """Return requests for a gang's tickets, timed to arrive before its reservation starts.

        They name every allowed runner, as the runners with the earliest slots change from plan to
        plan.
        """
        tickets = self._cell.tickets.of(step.name)
        if not tickets.may_request(now) or queue.advice is None:
            return []
        valid = tickets.valid(reservation.at)
        if reservation.runners <= valid.keys():
            return []
        advice_seconds = expected_advice_seconds(queue.advice, len(tickets.allowed))
        if reservation.at - now > advice_seconds + TICKET_LEAD_SECONDS:
            return []
        found = (self._cell.runner_by_id.get(runner) for runner in sorted(tickets.allowed))
        chosen = [runner for runner in found if runner is not None and runner.id not in valid]
        return self._split_request(queue, step, chosen, now)

    def for_free_slots(
        self,
        queue: Queue,
        step: StepRun,
        search: FreeSlotSearch,
        now: float,
    ) -> list[AdviceRequest]:
        """Return requests for the tickets with which a step could start on what is free now.

        They renew tickets that expire before the answers arrive, and name runners with free slots
        that were not asked about yet, those with the most slots first. There are none if even
        these slots are too few: answers would not let the step start.
        """
        tickets = self._cell.tickets.of(step.name)
        if queue.advice is None or not tickets.may_request_again(now):
            return []
        free = _FreeSlots(step, search.runners, tickets)
        needed = len(step.tasks) if step.step.gang else 1
        known_slots = free.count(free.known)
        if known_slots + search.allowed_share * free.count(free.unasked) < needed:
            return []
        limit = search.limit or self._count_runners_to_ask(step)
        advice_seconds = expected_advice_seconds(queue.advice, limit)
        valid = tickets.valid(now + advice_seconds + TICKET_LEAD_SECONDS)
        chosen = [runner for runner in free.known if runner.id not in valid]
        if known_slots < SPARE_SLOTS_FACTOR * needed:
            chosen.extend(sorted(free.unasked, key=free.most_slots_first))
        return self._split_request(queue, step, chosen[:limit], now)

    def _count_runners_to_ask(self, step: StepRun) -> int:
        """Return how many runners to ask about so that the whole step is likely to fit."""
        demand = counted_demand(step)
        per_runner = max(1, self._median_slots(demand, step.step.max_per_runner))
        needed = -(-step.waiting // per_runner)
        if step.step.gang:
            return max(
                MIN_RUNNERS_PER_REQUEST,
                int(needed / EXPECTED_ALLOWED_SHARE * GANG_OVERSAMPLING_FACTOR) + 1,
            )
        likely = int(needed / EXPECTED_ALLOWED_SHARE * OVERSAMPLING_FACTOR) + 1
        return min(MAX_RUNNERS_PER_REQUEST, max(MIN_RUNNERS_PER_REQUEST, likely))

    def _median_slots(self, demand: Demand, limit: int) -> int:
        """Return the median number of tasks that an empty runner of the cell can hold.

        The median is used because the capacity of any single runner may have shrunk.
        """
        slots = sorted(
            count_slots(demand, runner.registration.capacity, limit)
            for runner in self._cell.runner_by_id.values()
        )
        return slots[len(slots) // 2] if slots else 1

    def _split_request(
        self, queue: Queue, step: StepRun, runners: list[RunnerState], now: float
    ) -> list[AdviceRequest]:
        if not runners or queue.advice is None:
            return []
        ids = [runner.id for runner in runners]
        count = -(
            -len(ids)
            // (MAX_RUNNERS_PER_GANG_REQUEST if step.step.gang else MAX_RUNNERS_PER_REQUEST)
        )
        # Equal parts, as a gang waits for the slowest answer.
        parts = [tuple(ids[number::count]) for number in range(count)]
        tickets = self._cell.tickets.of(step.name)
        tickets.pending += len(parts)
        seconds = _advice_seconds(queue.advice, len(parts[0]))
        tickets.answers_due_at = now + seconds + TICKET_LEAD_SECONDS
        return [AdviceRequest(step.name, part, queue.priority, queue.advice) for part in parts]


def _is_in_other_zone(zone: str, runner: RunnerState) -> bool:
    return runner.registration.zone != zone


def _make_zone_sort_key(
    zone: str, preference: SpeedPreference | None, runner: RunnerState
) -> tuple[PreferenceKey, bool]:
    key = NO_PREFERENCE if preference is None else preference.key(runner)
    return key, _is_in_other_zone(zone, runner)


def _make_slots_sort_key(
    zone: str, preference: SpeedPreference | None
) -> Callable[[tuple[int, RunnerState]], tuple]:
    """Return a sort key: most free slots first, then runners in ``zone``.

    If speeds differ, fast runners with a free slot come before the others.
    """

    def sort_key(entry: tuple[int, RunnerState]) -> tuple[bool, int, bool]:
        slots, runner = entry
        is_preferred = preference is not None and slots > 0 and preference.is_fast(runner)
        return not is_preferred, -slots, _is_in_other_zone(zone, runner)

    return sort_key


def _make_hash_sort_key(
    step: StepName, zone: str, preference: SpeedPreference | None
) -> Callable[[tuple[int, RunnerState]], tuple]:
    """Return a sort key: by speed, then in ``zone``, then free slots, then a hash of the job.

    With the same order for all, jobs would compete for the same few runners and their tickets.
    """

    def sort_key(entry: tuple[int, RunnerState]) -> tuple[PreferenceKey, bool, int, int]:
        slots, runner = entry
        return (
            *_make_zone_sort_key(zone, preference, runner),
            -min(slots, SUFFICIENT_SLOTS),
            crc32(f'{step.job}{runner.id}'.encode()),
        )

    return sort_key


def expected_advice_seconds(advice: AdvicePolicy, runners: int) -> float:
    """Return the seconds that the policy service takes for a gang's request."""
    return _advice_seconds(advice, min(MAX_RUNNERS_PER_GANG_REQUEST, runners))


def _advice_seconds(advice: AdvicePolicy, runners: int) -> float:
    return advice.decision_seconds + advice.seconds_per_runner * runners
