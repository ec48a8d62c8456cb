"""Which questions to put to the policy service, and when. No I/O.

Load pattern: one question takes from 10 ms to a second, and a few more
milliseconds for each runner that it names; all questions of a busy cell take
more than one host's whole time. So a question names only as many runners as the
step is likely to need, those with room first, and tickets that have expired are
asked for again only when something could start with them.
"""

from collections.abc import Iterable
from dataclasses import dataclass

from dandelionreel.cell._cell import Cell, counted_demand
from dandelionreel.cell._ledger import RunnerState
from dandelionreel.cell._model import AdvicePolicy, Queue, StepName
from dandelionreel.cell._reservations import Reservation, count_slots
from dandelionreel.cell._runs import StepRun

#: The service answers for at most this many runners at once.
MOST_RUNNERS = 100
#: Runners named at least: a question's fixed time outweighs theirs.
FEWEST_RUNNERS = 12
#: The share of runners that is taken to be allowed, and by how much more than
#: needed is asked for.
ALLOWED_SHARE = 0.3
SURPLUS = 1.6
#: Seconds before a reserved time at which its tickets should be there.
EARLY_SECONDS = 0.25


@dataclass(frozen=True)
class Question:
    """The policy service is to be asked which of these runners may run a step."""

    step: StepName
    runners: tuple[str, ...]
    priority: int
    decision: float
    per_runner: float
    valid: float


class Inquiries:
    """Decides over the questions of one cell."""

    def __init__(self, cell: Cell) -> None:
        """Look at what is known in that cell."""
        self._cell = cell

    def first(
        self,
        queue: Queue,
        step: StepRun,
        runners: Iterable[RunnerState],
        now: float,
    ) -> Question | None:
        """Return the question about runners that were not asked for yet."""
        known = self._cell.tickets.of(step.name)
        if known.asking or now < known.not_before:
            return None
        demand = counted_demand(step)
        fresh = [runner for runner in runners if runner.id not in known.asked]
        fresh.sort(key=lambda runner: -count_slots(demand, runner.room))
        return self._ask(queue, step, fresh[: self._enough(step)])

    def again(
        self,
        queue: Queue,
        step: StepRun,
        runners: Iterable[RunnerState],
        now: float,
    ) -> Question | None:
        """Return the question for new tickets of allowed runners with room."""
        known = self._cell.tickets.of(step.name)
        if known.asking or now < known.not_before:
            return None
        demand = counted_demand(step)
        limit = step.step.max_per_runner
        wanted = []
        seats = 0
        for runner in runners:
            slots = count_slots(demand, runner.room, limit)
            if runner.id in known.allowed and slots and seats < step.waiting:
                wanted.append(runner)
                seats += slots
        return self._ask(queue, step, wanted)

    def reserved(
        self,
        queue: Queue,
        step: StepRun,
        reservation: Reservation,
        now: float,
    ) -> Question | None:
        """Return the question for a gang's tickets, in time for its seats."""
        known = self._cell.tickets.of(step.name)
        if known.asking or now < known.not_before or queue.advice is None:
            return None
        valid = known.valid(reservation.at)
        wanted = [
            self._cell.runner_by_id[runner]
            for runner in sorted(reservation.runners)
            if runner not in valid
        ]
        if not wanted:
            return None
        if reservation.at - now > _seconds(queue.advice, len(wanted)) + EARLY_SECONDS:
            return None
        return self._ask(queue, step, wanted)

    def _enough(self, step: StepRun) -> int:
        """Return how many runners are likely to hold the whole step."""
        demand = counted_demand(step)
        capacity = next(
            (runner.registration.capacity for runner in self._cell.runner_by_id.values()),
            demand,
        )
        per_runner = max(1, count_slots(demand, capacity, step.step.max_per_runner))
        needed = -(-step.waiting // per_runner)
        likely = int(needed / ALLOWED_SHARE * SURPLUS) + 1
        return min(MOST_RUNNERS, max(FEWEST_RUNNERS, likely))

    def _ask(self, queue: Queue, step: StepRun, runners: list[RunnerState]) -> Question | None:
        if not runners or queue.advice is None:
            return None
        self._cell.tickets.of(step.name).asking = True
        return Question(
            step.name,
            tuple(runner.id for runner in runners[:MOST_RUNNERS]),
            queue.priority,
            queue.advice.decision,
            queue.advice.per_runner,
            queue.advice.valid,
        )


def _seconds(advice: AdvicePolicy, runners: int) -> float:
    return advice.decision + advice.per_runner * runners
