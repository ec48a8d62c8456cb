"""Compares scheduling policies on the same generated loads: ``make experiment``.

Each policy (``--way``) is simulated on each load with each seed, several at a time. The table
and the plot have the mean over the seeds with its 95% confidence interval.
"""

import argparse
import sys
from concurrent.futures import ProcessPoolExecutor
from dataclasses import dataclass
from itertools import product
from pathlib import Path
from statistics import mean, stdev

from bench.replay import POLICIES, Replay, make_loads
from bench.replay_report import Score, score

#: Two-sided 95% quantiles of Student's t distribution, by the number of seeds.
QUANTILE_BY_SEEDS = {2: 12.71, 3: 4.30, 4: 3.18, 5: 2.78, 6: 2.57, 8: 2.36, 10: 2.26}
DEFAULT_QUANTILE = 2.0
MEASURES = (
    'worth',
    'worst_accounts',
    'worth_of_all',
    'small_in_time',
    'wide_in_time',
    'narrow_in_time',
)


@dataclass(frozen=True)
class Trial:
    """One simulation: a policy on a load with a seed, for some seconds of virtual time."""

    way: str
    load: str
    seed: int
    seconds: float


def run_trial(trial: Trial) -> Score:
    """Run a simulation and return its score."""
    replay = Replay(make_loads()[trial.load], POLICIES[trial.way], trial.seed)
    replay.play(trial.seconds)
    return score(replay)


def confidence_half_width(values: list[float]) -> float:
    """Return half the width of the 95% confidence interval of a mean."""
    if len(values) < 2:
        return 0.0
    quantile = QUANTILE_BY_SEEDS.get(len(values), DEFAULT_QUANTILE)
    return quantile * stdev(values) / len(values) ** 0.5


def print_table(scores_by_case: dict[tuple[str, str], list[Score]]) -> None:
    """Print a table with a line for each load and policy."""
    titles = ''.join(f'{name.replace("_", " "):>16}' for name in MEASURES)
    sys.stdout.write(f'{"load":14}{"way":28}{titles}{"bound":>8}{"plan p99":>10}\n')
    for (load, way), scores in scores_by_case.items():
        columns = []
        for name in MEASURES:
            values = [getattr(result, name) for result in scores]
            columns.append(f'{mean(values):.3f} ± {confidence_half_width(values):.3f}')
        bound = mean(result.bound for result in scores)
        plan = 1000 * max(result.plan_p99 for result in scores)
        sys.stdout.write(
            f'{load:14}{way:28}{"".join(f"{column:>16}" for column in columns)}'
            f'{bound:8.3f}{plan:7.1f} ms\n'
        )


def print_differences(scores_by_case: dict[tuple[str, str], list[Score]]) -> None:
    """Print the difference of each policy to the first one on the same load, seed by seed.

    Seeds differ more from each other than policies do; differences on the same seeds show more.
    """
    first_by_load: dict[str, list[Score]] = {}
    for (load, way), scores in scores_by_case.items():
        first = first_by_load.setdefault(load, scores)
        if first is scores:
            continue
        columns = []
        for name in MEASURES:
            values = [
                getattr(result, name) - getattr(base, name)
                for result, base in zip(scores, first, strict=True)
            ]
            columns.append(f'{mean(values):+.3f} ± {confidence_half_width(values):.3f}')
        sys.stdout.write(f'{load:14}{way:28}{"".join(f"{column:>16}" for column in columns)}\n')


def draw_plot(scores_by_case: dict[tuple[str, str], list[Score]], path: Path) -> None:
    """Plot the worth of each policy on each load."""
    from matplotlib import pyplot

    figure, axes = pyplot.subplots(figsize=(9, 0.4 * len(scores_by_case) + 1))
    for index, scores in enumerate(scores_by_case.values()):
        values = [result.worth for result in scores]
        axes.errorbar(
            mean(values), index, xerr=confidence_half_width(values), fmt='o', color='black'
        )
        axes.plot(mean(result.worst_accounts for result in scores), index, 'x', color='grey')
    axes.set_yticks(range(len(scores_by_case)), [f'{load}: {way}' for load, way in scores_by_case])
    axes.set_xlabel('worth (dots, 95% intervals) and worst tenth of accounts (crosses)')
    figure.tight_layout()
    figure.savefig(path)


def main() -> int:
    """Simulate all cases and print the results."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument('--load', action='append', choices=sorted(make_loads()))
    parser.add_argument('--way', action='append', choices=sorted(POLICIES))
    parser.add_argument('--seeds', type=int, default=4)
    parser.add_argument('--first-seed', type=int, default=1)
    parser.add_argument('--seconds', type=float, default=24)
    parser.add_argument('--jobs', type=int, default=2)
    parser.add_argument('--plot', type=Path)
    options = parser.parse_args()
    cases = list(product(options.load or sorted(make_loads()), options.way or sorted(POLICIES)))
    seeds = range(options.first_seed, options.first_seed + options.seeds)
    trials = [Trial(way, load, seed, options.seconds) for load, way in cases for seed in seeds]
    with ProcessPoolExecutor(options.jobs) as pool:
        scores = list(pool.map(run_trial, trials))
    scores_by_case = {
        case: scores[index * options.seeds : (index + 1) * options.seeds]
        for index, case in enumerate(cases)
    }
    print_table(scores_by_case)
    print_differences(scores_by_case)
    if options.plot is not None:
        draw_plot(scores_by_case, options.plot)
    return 0


if __name__ == '__main__':
    sys.exit(main())
