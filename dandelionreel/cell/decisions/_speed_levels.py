"""Groups the usable runners by their learned speed. No I/O.

Gangs are placed by groups and not by single speeds: the learned speeds of equal runners differ by
some percent, and a search over a few groups is cheap.
"""

from collections.abc import Iterable
from dataclasses import dataclass, field

from dandelionreel.cell.decisions._run_times import RunTimes
from dandelionreel.cell.decisions._runner_state import RunnerState

#: A runner belongs to the next slower level if the fastest of its level is faster by this factor.
#: Kinds of runners differ by 1.3 and more, the learned speeds of equal runners by less than 0.15.
LEVEL_RATIO = 1.15
#: The slowest runners share the last level, which bounds the cost of a search.
MAX_LEVELS = 8


@dataclass(frozen=True)
class SpeedLevels:
    """Runners by speed; level 0 is the fastest, and also that of runners that are not listed."""

    level_by_runner: dict[str, int] = field(default_factory=dict)
    #: The slowest runner of each level.
    slowest_by_level: tuple[RunnerState, ...] = ()

    @property
    def count(self) -> int:
        """Return the number of levels, at least 1."""
        return max(1, len(self.slowest_by_level))

    def level_of(self, runner: str) -> int:
        """Return the level of a runner."""
        return self.level_by_runner.get(runner, 0)

    def runners_by_level(self) -> list[int]:
        """Return the number of listed runners of each level."""
        counts = [0] * len(self.slowest_by_level)
        for level in self.level_by_runner.values():
            counts[level] += 1
        return counts


#: All runners count as equally fast.
SINGLE_LEVEL = SpeedLevels()


def group_by_speed(run_times: RunTimes, runners: Iterable[RunnerState]) -> SpeedLevels:
    """Return the levels of ``runners``, a single one unless their speeds differ."""
    if not run_times.is_uneven:
        return SINGLE_LEVEL
    entries = [(run_times.speed_of(runner), runner.id, runner) for runner in runners]
    entries.sort(reverse=True)
    level_by_runner: dict[str, int] = {}
    slowest: list[RunnerState] = []
    fastest_of_level = 0.0
    for speed, runner_id, runner in entries:
        if not slowest or (speed * LEVEL_RATIO < fastest_of_level and len(slowest) < MAX_LEVELS):
            slowest.append(runner)
            fastest_of_level = speed
        slowest[-1] = runner
        level_by_runner[runner_id] = len(slowest) - 1
    return SpeedLevels(level_by_runner, tuple(slowest))
