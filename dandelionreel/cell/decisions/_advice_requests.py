"""Decides what to ask the policy service, and when. No I/O.

Load pattern: hundreds of steps wait, and answering about all of their runners takes longer than all
hosts have together. A request for single tasks names as many runners with room as it is likely to
need, and none is made beyond what the free room can take. A gang needs seats on many runners at
once: its request is split so that several hosts ask at the same time.
"""

from collections.abc import Callable, Iterable
from dataclasses import dataclass
from functools import partial
from zlib import crc32

from dandelionreel.cell.decisions._cell import Cell
from dandelionreel.cell.decisions._ledger import RunnerState
from dandelionreel.cell.decisions._reservations import Reservation, count_slots
from dandelionreel.cell.decisions._step_runs import StepRun, counted_demand
from dandelionreel.cell.model import AdvicePolicy, Demand, Queue, StepName

#: The service answers for at most this many runners at once.
MAX_RUNNERS_PER_REQUEST = 100
#: Runners named at least: a question's fixed time outweighs theirs.
MIN_RUNNERS_PER_REQUEST = 12
#: Share of runners that is expected to be allowed, and how many times more than needed are asked
#: about. A gang's seats are mostly taken, so it asks about more.
EXPECTED_ALLOWED_SHARE = 0.3
OVERSAMPLING_FACTOR = 1.6
GANG_OVERSAMPLING_FACTOR = 4.0
#: Runners in one of a gang's requests.
MAX_RUNNERS_PER_GANG_REQUEST = 45
#: Tasks for which a runner has room to be as good as any: more of one step seldom
#: get there, as others take its room meanwhile.
SUFFICIENT_SLOTS = 2
#: Seconds before a reserved time at which its tickets should be there.
TICKET_LEAD_SECONDS = 0.25


@dataclass(frozen=True)
class AdviceRequest:
    """The policy service is to be asked which of these runners may run a step."""

    step: StepName
    runners: tuple[str, ...]
    priority: int
    advice: AdvicePolicy


class AdviceRequests:
    """Decides over the questions of one cell."""

    def __init__(self, cell: Cell) -> None:
        """Look at what is known in that cell."""
        self._cell = cell

    def for_new_runners(
        self,
        queue: Queue,
        step: StepRun,
        runners: Iterable[RunnerState],
        now: float,
        zone: str = '',
    ) -> list[AdviceRequest]:
        """Return the questions about runners that were not asked for yet, ``zone``'s first.

        Nothing is asked for a single task about runners that have no room: its
        tickets would have expired when they have.
        """
        tickets = self._cell.tickets.of(step.name)
        if not tickets.may_ask(now):
            return []
        demand = counted_demand(step)
        slots_and_runners = [
            (count_slots(demand, runner.room), runner)
            for runner in runners
            if runner.id not in tickets.asked
        ]
        if step.step.gang:
            slots_and_runners.sort(key=_by_slots(zone))
        else:
            slots_and_runners = [item for item in slots_and_runners if item[0]]
            slots_and_runners.sort(key=_by_step_hash(step.name, zone))
        unasked = [runner for _, runner in slots_and_runners]
        return self._split(queue, step, unasked[: self._runners_to_ask(step)])

    def for_expired_tickets(
        self,
        queue: Queue,
        step: StepRun,
        runners: Iterable[RunnerState],
        now: float,
        zone: str = '',
    ) -> list[AdviceRequest]:
        """Return the question for new tickets of allowed runners with room, ``zone``'s first."""
        tickets = self._cell.tickets.of(step.name)
        if not tickets.may_ask(now):
            return []
        demand = counted_demand(step)
        limit = step.step.max_per_runner
        chosen = []
        slots_found = 0
        for runner in sorted(runners, key=partial(_is_elsewhere, zone)):
            slots = count_slots(demand, runner.room, limit)
            if runner.id in tickets.allowed and slots and slots_found < step.waiting:
                chosen.append(runner)
                slots_found += slots
        return self._split(queue, step, chosen)

    def for_reservation(
        self,
        queue: Queue,
        step: StepRun,
        reservation: Reservation,
        now: float,
    ) -> list[AdviceRequest]:
        """Return the requests for a gang's tickets, in time for its seats.

        They name every allowed runner: which of them have seats first changes from plan to plan.
        """
        tickets = self._cell.tickets.of(step.name)
        if not tickets.may_ask(now) or queue.advice is None:
            return []
        valid = tickets.valid(reservation.at)
        if reservation.runners <= valid.keys():
            return []
        advice_seconds = _expected_seconds(
            queue.advice, min(MAX_RUNNERS_PER_GANG_REQUEST, len(tickets.allowed))
        )
        if reservation.at - now > advice_seconds + TICKET_LEAD_SECONDS:
            return []
        found = (self._cell.runner_by_id.get(runner) for runner in sorted(tickets.allowed))
        chosen = [runner for runner in found if runner is not None and runner.id not in valid]
        return self._split(queue, step, chosen)

    def _runners_to_ask(self, step: StepRun) -> int:
        """Return how many runners are likely to hold the whole step."""
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
        """Return how many tasks the middle one of all runners takes when it is empty.

        The middle one, as any single runner may have shrunk.
        """
        slots = sorted(
            count_slots(demand, runner.registration.capacity, limit)
            for runner in self._cell.runner_by_id.values()
        )
        return slots[len(slots) // 2] if slots else 1

    def _split(
        self, queue: Queue, step: StepRun, runners: list[RunnerState]
    ) -> list[AdviceRequest]:
        if not runners or queue.advice is None:
            return []
        ids = [runner.id for runner in runners]
        count = -(
            -len(ids)
            // (MAX_RUNNERS_PER_GANG_REQUEST if step.step.gang else MAX_RUNNERS_PER_REQUEST)
        )
        # Equal parts: the answers are waited for together.
        parts = [tuple(ids[number::count]) for number in range(count)]
        self._cell.tickets.of(step.name).pending += len(parts)
        return [AdviceRequest(step.name, part, queue.priority, queue.advice) for part in parts]


def _is_elsewhere(zone: str, runner: RunnerState) -> bool:
    return runner.registration.zone != zone


def _by_slots(zone: str) -> Callable[[tuple[int, RunnerState]], tuple[int, bool]]:
    """Return an order of runners by room, those of the zone first among equals."""

    def sort_key(item: tuple[int, RunnerState]) -> tuple[int, bool]:
        slots, runner = item
        return -slots, _is_elsewhere(zone, runner)

    return sort_key


def _by_step_hash(step: StepName, zone: str) -> Callable[[tuple[int, RunnerState]], tuple]:
    """Return an order of runners that differs from step to step, the zone's and roomy first.

    In one order for all, steps would compete for the same few runners and their tickets.
    """

    def sort_key(item: tuple[int, RunnerState]) -> tuple[bool, int, int]:
        slots, runner = item
        return (
            _is_elsewhere(zone, runner),
            -min(slots, SUFFICIENT_SLOTS),
            crc32(f'{step.job}{runner.id}'.encode()),
        )

    return sort_key


def _expected_seconds(advice: AdvicePolicy, runners: int) -> float:
    return advice.decision + advice.per_runner * runners
