"""Plug-ins that choose among runners with free slots."""

import abc
import random
from collections.abc import Sequence

from dandelionreel.kernel import PluginKind, plugins
from dandelionreel.routing._runner import Runner


class RunnerChoice(abc.ABC):
    """Chooses one of several runners that all have a free slot."""

    @abc.abstractmethod
    def choose_runner(self, runners: Sequence[Runner]) -> Runner:
        """Return one of ``runners``, which is not empty."""


@plugins.register(PluginKind.ROUTING, 'two_choices')
class TwoChoices(RunnerChoice):
    """Chooses the less loaded of two random runners: fewer slots in use, then faster answers."""

    def __init__(self, random_source: random.Random | None = None) -> None:
        """Choose random runners with ``random_source``."""
        self._random = random_source or random.Random()

    def choose_runner(self, runners: Sequence[Runner]) -> Runner:
        """Return the less loaded of two random runners."""
        if len(runners) == 1:
            return runners[0]
        first, second = self._random.sample(runners, 2)
        if _runner_load(first) <= _runner_load(second):
            return first
        return second


@plugins.register(PluginKind.ROUTING, 'least_loaded')
class LeastLoaded(RunnerChoice):
    """Chooses the runner with the lowest fraction of slots in use, counted exactly."""

    def choose_runner(self, runners: Sequence[Runner]) -> Runner:
        """Return the least loaded runner."""
        return min(runners, key=_runner_load)


@plugins.register(PluginKind.ROUTING, 'round_robin')
class RoundRobin(RunnerChoice):
    """Chooses runners in turn, whatever their load; a baseline for measurements."""

    def __init__(self) -> None:
        """Start near the beginning of the list of runners."""
        self._next = 0

    def choose_runner(self, runners: Sequence[Runner]) -> Runner:
        """Return the next runner in turn."""
        self._next += 1
        return runners[self._next % len(runners)]


def _runner_load(runner: Runner) -> tuple[float, float]:
    return (runner.in_use / max(1, runner.limit), runner.latency.mean)
