"""Runs all features, several files at once, and prints their count in one last line.

Scenarios that KNOWN-RED.txt names are run and printed, and count neither as passed nor
as failed. Each of its lines begins with ``features/NAME.feature: SCENARIO |``.
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
#: Cells that run at the same time; each is a handful of processes.
AT_ONCE = 4
DONE = (Status.passed, Status.skipped)
KNOWN_RED = FOLDER.parent / 'KNOWN-RED.txt'
#: Lines that the file may have: more would hide what is broken.
MOST_KNOWN = 3


@dataclass(frozen=True)
class FeatureResult:
    """How the scenarios of one file went, and what was printed."""

    passed: int
    failed: int
    output: str


def read_known_red(path: Path) -> set[str]:
    """Return the scenarios that are known to fail, as ``features/NAME.feature: SCENARIO``."""
    if not path.exists():
        return set()
    lines = path.read_text().splitlines()
    if len(lines) > MOST_KNOWN:
        raise ValueError(f'{path.name} has {len(lines)} lines; mend some, {MOST_KNOWN} may stand')
    return {line.partition('|')[0].strip() for line in lines}


def is_known_red(scenario: Scenario, known: set[str]) -> bool:
    """Return whether a scenario, or the outline that it is a row of, is known to fail."""
    path = Path(scenario.location.filename).name
    # A row's name is its outline's, and where the row stands.
    name, _, _ = scenario.name.partition(' -- @')
    return f'features/{path}: {name}' in known


def run_file(path: str) -> int:
    """Run one feature in this process; the last line printed is its count."""
    known = read_known_red(KNOWN_RED)
    configuration = Configuration(['--no-capture', '--format', 'progress'])
    configuration.paths = [path]
    runner = Runner(configuration)
    broken = runner.run()
    scenarios = [one for feature in runner.features for one in feature.walk_scenarios()]
    red = [one for one in scenarios if is_known_red(one, known)]
    passed = sum(1 for one in scenarios if one.status is Status.passed and one not in red)
    failed = [one for one in scenarios if one.status not in DONE and one not in red]
    for one in red:
        sys.stdout.write(f'KNOWN RED {one.location}: {one.name}: {one.status.name}\n')
    for one in failed:
        sys.stdout.write(f'FAILED {one.location}: {one.name}\n')
    unrun = bool(broken) and not failed and not red
    if unrun:
        sys.stdout.write(f'FAILED {path}: it could not be run\n')
    sys.stdout.write(f'{passed} {len(failed) + unrun}\n')
    return int(bool(failed) or unrun)


def run_in_subprocess(path: Path) -> FeatureResult:
    """Run one feature in a process of its own."""
    done = subprocess.run(
        [sys.executable, '-m', 'features.run', '--one', str(path)],
        stdout=subprocess.PIPE,
        stderr=subprocess.STDOUT,
        text=True,
        check=False,
    )
    output, _, last = done.stdout.rstrip().rpartition('\n')
    words = last.split()
    if len(words) != 2 or not all(word.isdecimal() for word in words):
        return FeatureResult(0, 1, done.stdout)
    return FeatureResult(int(words[0]), int(words[1]), output)


def main() -> int:
    """Run the features that the arguments name, or all; return the exit status."""
    arguments = sys.argv[1:]
    if arguments[:1] == ['--one']:
        return run_file(arguments[1])
    paths = [Path(text) for text in arguments] or sorted(FOLDER.glob('*.feature'))
    with ThreadPoolExecutor(AT_ONCE) as pool:
        counts = list(pool.map(run_in_subprocess, paths))
    for count in counts:
        sys.stdout.write(f'{count.output}\n')
    passed = sum(count.passed for count in counts)
    failed = sum(count.failed for count in counts)
    sys.stdout.write(f'{passed} passed, {failed} failed\n')
    return 1 if failed or not passed else 0


if __name__ == '__main__':
    sys.exit(main())
