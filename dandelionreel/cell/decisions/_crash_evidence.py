"""Weighs whether a run has crashed its runner or was met by a loss by chance. No I/O.

Load pattern: a task crashes each runner some time after the answer to its start, while runners are
also lost by chance, alone, one after the other and many at once. A single such loss says little. A
run that meets one soon after each of its starts, on runners on which nothing else was started,
while the others go on, is hardly met by chance: the odds of that multiply.
"""

import math
from collections import deque
from collections.abc import Callable, Iterable
from dataclasses import dataclass, field

from dandelionreel.cell.decisions._runner_state import Allocation, RunnerState
from dandelionreel.cell.model import TaskName

#: Seconds before a loss in which other losses are counted for their rate, and the least that count.
RATE_SECONDS = 30.0
MIN_RATE_SECONDS = 10.0
#: Number of losses that are kept.
MAX_LOSSES = 512
#: Seconds by which losses at the same moment may seem apart, and from the last answer of a runner
#: that is silent with open connections to the moment when that is noticed.
SAME_TIME_SECONDS = 0.15
SILENT_SECONDS = 3.0
#: Smallest odds of one loss: the rate of losses is only an estimate.
MIN_ODDS = 0.01
#: Odds that any of the tasks that have lost runners lately is taken for the cause and is not.
MAX_FALSE_ODDS = 1e-4
UNKNOWN_ODDS = 1.0
#: Odds if another run may have caused the loss: they tell little, but the loss is no common one.
SHARED_ODDS = 0.999


@dataclass(frozen=True)
class LostRunner:
    """A runner that has ended or whose leases have expired, with the runs that it may have lost.

    ``answered_at`` is when it last answered a poll, ``known_at`` a poll or an order, ``broken_at``
    when its connections broke, ``None`` if they did not.
    """

    runner: str
    answered_at: float
    known_at: float
    runs: tuple[Allocation, ...]
    broken_at: float | None = None

    def may_be_lost_at(self, at: float) -> bool:
        """Return whether the runner may have been lost at a time in monotonic seconds."""
        return _may_be_lost_at(self.known_at, self.broken_at, at)


@dataclass
class CrashEvidence:
    """The recent losses of runners; ``runner_by_id`` has the runners as they are now.

    A suspect is a run of a task during whose earlier runs runners were lost.
    """

    runner_by_id: dict[str, RunnerState]
    _unexplained: deque[LostRunner] = field(default_factory=lambda: deque(maxlen=MAX_LOSSES))
    #: Times at which connections broke of runners with a suspect.
    _explained: deque[float] = field(default_factory=lambda: deque(maxlen=MAX_LOSSES))
    _observed_since: float | None = None
    #: Tasks that have lost their runners, and when.
    _losing_tasks: deque[tuple[float, TaskName]] = field(
        default_factory=lambda: deque(maxlen=MAX_LOSSES)
    )

    def record_loss(self, lost: LostRunner, *, is_explained: bool) -> None:
        """Record the loss of a runner; it is explained if a suspect ran there."""
        if self._observed_since is None:
            self._observed_since = lost.known_at
        if not is_explained:
            self._unexplained.append(lost)
        elif lost.broken_at is not None:
            self._explained.append(lost.broken_at)

    def record_losing_task(self, task: TaskName, at: float) -> None:
        """Record that a task has lost its runner."""
        self._losing_tasks.append((at, task))

    def max_chance_odds(self, at: float) -> float:
        """Return the odds up to which the losses of a task are not taken for chance.

        The more tasks lose their runners, the more likely it is that one of them meets several
        losses by chance.
        """
        losing = {known for since, known in self._losing_tasks if since > at - RATE_SECONDS}
        return MAX_FALSE_ODDS / max(1, len(losing))

    def odds_of(
        self, run: Allocation, lost: LostRunner, is_suspect: Callable[[Allocation], bool]
    ) -> float:
        """Return the odds that the run was met by this loss by chance, 1 if they are unknown."""
        broken_at = lost.broken_at
        if broken_at is None or run.started_at is None:
            return UNKNOWN_ODDS
        # Most runs are lost together with others, which is found without a look at all runners.
        if any(other.may_be_lost_at(broken_at) for other in self._unexplained):
            return UNKNOWN_ODDS
        others = [state for state in self.runner_by_id.values() if state.id != lost.runner]
        without_suspects = [
            state for state in others if not any(map(is_suspect, state.allocation_by_run.values()))
        ]
        if _may_any_be_lost_at(without_suspects, broken_at):
            return UNKNOWN_ODDS
        if not _is_only_new_run(run, lost.runs):
            return SHARED_ODDS
        exposure = broken_at - run.started_at + SAME_TIME_SECONDS
        odds = max(
            MIN_ODDS,
            self._losses_per_second(run.task, broken_at) * exposure,
            self._odds_of_common_cause(others, without_suspects, broken_at),
        )
        return min(UNKNOWN_ODDS, odds)

    def _odds_of_common_cause(
        self, others: list[RunnerState], without_suspects: list[RunnerState], at: float
    ) -> float:
        """Return the odds that a cause which takes runners at random has taken suspects only.

        It is 0 if no other runner was lost at that time.
        """
        silent = [state for state in others if state.broken_at is not None]
        lost = 1 + sum(abs(since - at) <= SAME_TIME_SECONDS for since in self._explained)
        lost += sum(abs((state.broken_at or 0) - at) <= SAME_TIME_SECONDS for state in silent)
        if lost == 1:
            return 0.0
        answering = sum(not state.missed_last_poll for state in others)
        spared = sum(not state.missed_last_poll for state in without_suspects)
        suspects = lost + answering - spared
        return math.prod(
            (suspects - number) / (suspects + spared - number) for number in range(lost)
        )

    def _losses_per_second(self, task: TaskName, until: float) -> float:
        """Return the rate at which a runner is lost that does not run the task."""
        began_at = until if self._observed_since is None else self._observed_since
        seconds = min(RATE_SECONDS, max(MIN_RATE_SECONDS, until - began_at))
        lost_at = [*(lost.known_at for lost in self._unexplained), *self._explained]
        recent = sum(until - seconds < at <= until for at in lost_at)
        own = sum(at > until - seconds and known == task for at, known in self._losing_tasks)
        return (max(0, recent - own) + 1) / (seconds * max(1, len(self.runner_by_id)))


def _may_any_be_lost_at(runners: Iterable[RunnerState], at: float) -> bool:
    """Return whether any of the runners is silent and may have been lost at that time."""
    return any(
        state.missed_last_poll and _may_be_lost_at(state.known_at, state.broken_at, at)
        for state in runners
    )


def _may_be_lost_at(known_at: float, broken_at: float | None, at: float) -> bool:
    since, until = known_at, known_at + SILENT_SECONDS
    if broken_at is not None:
        since = until = broken_at
    return since - SAME_TIME_SECONDS <= at <= until + SAME_TIME_SECONDS


def _is_only_new_run(run: Allocation, runs: Iterable[Allocation]) -> bool:
    """Return whether no run of another job was started on the runner since this one was placed."""
    return all(other.task.job == run.task.job or other.placed_at < run.placed_at for other in runs)
