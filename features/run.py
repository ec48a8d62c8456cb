"""Runs all features, several files in parallel, and prints the totals in the last line.

Scenarios listed in KNOWN-RED.txt are run and printed, but count neither as passed nor
as failed. Each line of that file begins with ``features/NAME.feature: SCENARIO |``; several
scenarios on one line are separated by semicolons.
"""

import subprocess
import sys
from concurrent.futures import ThreadPoolExecutor
from dataclasses import dataclass
from pathlib import Path

from behave.configuration import Configuration
from behave.model import Scenario
from behave.model_type import Status
from behave.runner import Runner

FOLDER = Path(__file__).parent
#: Each feature may start a cell of several processes.
MAX_PARALLEL_FEATURES = 4
NOT_FAILED = (Status.passed, Status.skipped)
KNOWN_RED = FOLDER.parent / 'KNOWN-RED.txt'
#: Limits the lines of the file, since a long list would hide what is broken.
MAX_KNOWN_RED = 3
#: Feature whose lines do not count against the limit: one line a scenario, never merged.
UNCAPPED_FEATURE = 'features/client_limits.feature'


@dataclass(frozen=True)
class FeatureResult:
    """The results of the scenarios of one file, and what was printed."""

    passed: int
    failed: int
    output: str


def read_known_red(path: Path) -> set[str]:
    """Return the scenarios that are known to fail, as ``features/NAME.feature: SCENARIO``."""
    if not path.exists():
        return set()
    names_by_line = [_split_names(line) for line in path.read_text().splitlines()]
    counted = [names for names in names_by_line if not _is_uncapped(names)]
    if len(counted) > MAX_KNOWN_RED:
        raise ValueError(
            f'{path.name} has {len(counted)} lines; fix some, {MAX_KNOWN_RED} are allowed '
            f'besides those of {UNCAPPED_FEATURE}'
        )
    return {name for names in names_by_line for name in names}


def _split_names(line: str) -> list[str]:
    return [name.strip() for name in line.partition('|')[0].split(';')]


def _is_uncapped(names: list[str]) -> bool:
    return len(names) == 1 and names[0].startswith(f'{UNCAPPED_FEATURE}: ')


def is_known_red(scenario: Scenario, known_red: set[str]) -> bool:
    """Return whether a scenario, or the outline that it is a row of, is listed as failing."""
    path = Path(scenario.location.filename).name
    # A row is named after its outline, followed by the row's position.
    name, _, _ = scenario.name.partition(' -- @')
    return f'features/{path}: {name}' in known_red


def run_file(path: str) -> int:
    """Run one feature in this process; the last line printed has its counts."""
    known_red = read_known_red(KNOWN_RED)
    configuration = Configuration(['--no-capture', '--format', 'progress'])
    configuration.paths = [path]
    runner = Runner(configuration)
    has_failed = runner.run()
    scenarios = [scenario for feature in runner.features for scenario in feature.walk_scenarios()]
    known_failures = [scenario for scenario in scenarios if is_known_red(scenario, known_red)]
    passed = sum(
        1
        for scenario in scenarios
        if scenario.status is Status.passed and scenario not in known_failures
    )
    failed = [
        scenario
        for scenario in scenarios
        if scenario.status not in NOT_FAILED and scenario not in known_failures
    ]
    for scenario in known_failures:
        sys.stdout.write(
            f'KNOWN RED {scenario.location}: {scenario.name}: {scenario.status.name}\n'
        )
    for scenario in failed:
        sys.stdout.write(f'FAILED {scenario.location}: {scenario.name}\n')
    could_not_run = bool(has_failed) and not failed and not known_failures
    if could_not_run:
        sys.stdout.write(f'FAILED {path}: it could not be run\n')
    sys.stdout.write(f'{passed} {len(failed) + could_not_run}\n')
    return int(bool(failed) or could_not_run)


def run_in_subprocess(path: Path) -> FeatureResult:
    """Run one feature in its own process."""
    completed = subprocess.run(
        [sys.executable, '-m', 'features.run', '--one', str(path)],
        stdout=subprocess.PIPE,
        stderr=subprocess.STDOUT,
        text=True,
        check=False,
    )
    output, _, last_line = completed.stdout.rstrip().rpartition('\n')
    words = last_line.split()
    if len(words) != 2 or not all(word.isdecimal() for word in words):
        return FeatureResult(0, 1, completed.stdout)
    return FeatureResult(int(words[0]), int(words[1]), output)


def main() -> int:
    """Run the features that the arguments name, or all; return the exit status."""
    arguments = sys.argv[1:]
    if arguments[:1] == ['--one']:
        return run_file(arguments[1])
    paths = [Path(text) for text in arguments] or sorted(FOLDER.glob('*.feature'))
    with ThreadPoolExecutor(MAX_PARALLEL_FEATURES) as pool:
        results = list(pool.map(run_in_subprocess, paths))
    for result in results:
        sys.stdout.write(f'{result.output}\n')
    passed = sum(result.passed for result in results)
    failed = sum(result.failed for result in results)
    sys.stdout.write(f'{passed} passed, {failed} failed\n')
    return 1 if failed or not passed else 0


if __name__ == '__main__':
    sys.exit(main())
