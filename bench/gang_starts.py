"""Compares how gangs start on runners of different speeds, in virtual time.

``python -m bench.gang_starts``: the replay of ``bench.replay`` on a load in which a quarter of the
runners is slow (``uneven``) or a third is fast (``scarce``), and a gang ends when its slowest
member would. The speeds of runners are known to the planner (``by speed``) or not (``as before``).
"""

import argparse
import random
import sys
from collections.abc import Callable
from statistics import mean

from bench.experiment import confidence_half_width
from bench.replay import JobKind, Load, Replay, _queue
from bench.replay_report import score
from dandelionreel.cell.decisions import Allocation, Cell, Planner, RunnerState, StepRun
from dandelionreel.cell.decisions._gang_start import GangStarts
from dandelionreel.cell.decisions._preemption import STOPPED_CPU, VictimCost
from dandelionreel.cell.decisions._run_times import RunTimes
from dandelionreel.cell.model import Demand

#: Speeds of the runners and the share of each kind of runner.
SPEEDS_BY_LOAD = {
    'uneven': ((0.55, 0.25), (1.2, 0.75)),
    'scarce': ((1.0, 0.67), (1.3, 0.33)),
}
#: Standard deviations of the logarithm of a duration: shared by the tasks of a step, and of each
#: task; and of the learned speed of a runner.
STEP_SIGMA = 0.7
TASK_SIGMA = 0.2
LEARNED_SPEED_SIGMA = 0.04


class KnownSpeeds(RunTimes):
    """Speeds of the runners as drawn, with the error of learned ones."""

    def __init__(self, speed_by_runner: dict[str, float], seed: int) -> None:
        """Know the speeds of some runners."""
        super().__init__()
        self._low_speed = min(speed_by_runner.values())
        self._high_speed = max(speed_by_runner.values())
        self._speed_by_runner = {
            name: speed * random.Random(f'{name}{seed}').lognormvariate(0, LEARNED_SPEED_SIGMA)
            for name, speed in speed_by_runner.items()
        }

    @property
    def is_uneven(self) -> bool:
        """Return true."""
        return True

    def speed_of(self, runner: RunnerState) -> float:
        """Return the relative speed of a runner."""
        return self._speed_by_runner[runner.id]

    def expected_seconds(
        self, queue: str, estimate: float, runner: RunnerState | None = None
    ) -> float:
        """Return the declared duration at the speed of a runner."""
        return estimate if runner is None else estimate / self._speed_by_runner[runner.id]


class UnevenReplay(Replay):
    """Simulation of runners of different speeds."""

    def __init__(self, name: str, way: str, seed: int) -> None:
        """Create the cell of a load."""
        rng = random.Random(seed)
        kinds = SPEEDS_BY_LOAD[name]
        speeds, shares = zip(*kinds, strict=True)
        load = make_uneven_loads()[name]
        self.speed_by_runner = {
            f'w{number}': rng.choices(speeds, shares)[0] for number in range(load.runners)
        }
        #: Speed of the slowest member of each gang start.
        self.gang_speeds: list[float] = []
        #: Number of gang starts on runners of different speeds.
        self.mixed_gangs = 0
        super().__init__(load, WAYS[way], seed)
        if way != 'as before':
            self.cell.run_times = KnownSpeeds(self.speed_by_runner, seed)

    def _draw_duration(self, allocation: Allocation, step: StepRun | None, kind: JobKind) -> float:
        """Return the duration on the runner, of a gang on the slowest of its runners."""
        name = allocation.task if step is None else step.name
        seconds = kind.mean_seconds if step is None else step.step.estimate
        seconds *= random.Random(f'{name}{self._seed}').lognormvariate(0, STEP_SIGMA)
        if step is None or not step.step.gang:
            own = random.Random(f'{allocation.task}{self._seed}').lognormvariate(0, TASK_SIGMA)
            return seconds * own / self.speed_by_runner[allocation.runner]
        speeds = {self.speed_by_runner[task.runner] for task in step.tasks if task.runner}
        if allocation.task.index == 0:
            self.gang_speeds.append(min(speeds))
            self.mixed_gangs += len(speeds) > 1
        return seconds / min(speeds)


def make_uneven_loads() -> dict[str, Load]:
    """Return the loads: one with few slow runners, one with few fast ones and a burst."""
    large = _queue('large', 1, 3, 2.2, 1.0, 0.44, 0.0064, 2.0)
    medium = _queue('medium', 2, 2, 4.0, 3.0, 0.13, 0.0018, 2.0)
    small = _queue('small', 0, 2, 1.5, 0.25, 0.012, 0.00017, 2.0)
    uneven = (
        JobKind(large, 2.6, 6, 1.2, 20, 9000, 12_000, 3.4, 0, 0.3, 1, 0.5, 0.005, (8, 14, 1.5)),
        JobKind(medium, 4.3, 2.5, 1.5, 25, 3500, 5000, 2.3, 0, 0.45, 0, 1, 0.005),
        JobKind(small, 48, 0.4, 1, 3, 5000, 7000, 0.68, 0, 0.7, 0, 0, 0.02),
    )
    scarce = (
        JobKind(large, 1.8, 7, 1.2, 20, 18_000, 25_000, 5.0, 0, 0.3, 1, 0.5, 0.005, (6, 11, 2)),
        JobKind(medium, 6.4, 2.7, 1.5, 25, 6900, 7100, 2.7, 0, 0.45, 0, 1, 0.02),
        JobKind(small, 41, 0.42, 1, 3, 9900, 14_000, 0.8, 0, 0.7, 0.3, 0, 0.02, (15, 19, 2)),
    )
    return {
        'uneven': Load(176, 35, uneven, saved_share=0.8),
        'scarce': Load(176, 33, scarce, capacity=Demand(64_000, 131_072, 0), saved_share=0.8),
    }


class StoppedCpuPlanner(Planner):
    """Preempts the fewest cores, whatever work they lose."""

    def _victim_cost(self) -> VictimCost:
        return STOPPED_CPU


class NeverWait(GangStarts):
    """Starts each gang as soon as it fits."""

    def should_wait(self, *arguments: object, may_reserve: bool) -> bool:
        """Return false."""
        return False


class NoWaitPlanner(Planner):
    """Starts each gang as soon as it fits."""

    def __init__(self, cell: Cell) -> None:
        """Plan for that cell."""
        super().__init__(cell)
        self._gang_starts = NeverWait(cell)


WAYS: dict[str, Callable[[Cell], Planner]] = {
    'as before': Planner,
    'by speed': Planner,
    'by speed, stopped cpu': StoppedCpuPlanner,
    'by speed, no wait': NoWaitPlanner,
}


def main() -> int:
    """Simulate both ways with the same seeds and print the results."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument('--load', choices=sorted(SPEEDS_BY_LOAD), default='uneven')
    parser.add_argument('--way', choices=sorted(WAYS), action='append')
    parser.add_argument('--seeds', type=int, default=4)
    parser.add_argument('--seconds', type=float, default=24)
    options = parser.parse_args()
    for way in options.way or WAYS:
        replays = [UnevenReplay(options.load, way, seed + 1) for seed in range(options.seeds)]
        for replay in replays:
            replay.play(options.seconds)
        _print_way(way, replays)
    return 0


def _print_way(way: str, replays: list[UnevenReplay]) -> None:
    scores = [score(replay) for replay in replays]
    worths = [result.worth for result in scores]
    gangs = sum(len(replay.gang_speeds) for replay in replays)
    mixed = sum(replay.mixed_gangs for replay in replays)
    slowest = mean(speed for replay in replays for speed in replay.gang_speeds)
    sys.stdout.write(
        f'{way}: worth {mean(worths):.3f} ± {confidence_half_width(worths):.3f}, '
        f'{[round(worth, 3) for worth in worths]}, '
        f'{gangs} gang starts, {mixed} with runners of different speeds, '
        f'mean speed of the slowest member {slowest:.2f}, '
        f'plan p99 {1000 * max(result.plan_p99 for result in scores):.1f} ms\n'
    )
    for queue in replays[0].tally_by_queue:
        tallies = [replay.tally_by_queue[queue] for replay in replays]
        jobs = sum(tally.jobs for tally in tallies)
        in_time = sum(tally.in_time for tally in tallies)
        earned = sum(tally.value_earned for tally in tallies)
        worth = earned / sum(tally.attainable for tally in tallies)
        sys.stdout.write(f'    {queue:8} {jobs} jobs, {in_time} in time, worth {worth:.3f}\n')


if __name__ == '__main__':
    sys.exit(main())
