"""Learns how fast runners are and how long runs take. No I/O.

Load pattern: runners differ in speed. Short jobs on slow runners end after their objective
although fast runners have free capacity, and a gang is as slow as its slowest member.

The published speeds are shrunk towards the mean by the share of the observed spread that noise
explains. By calculation, noise of 0.15 to 0.3 alone makes the 90th percentile of equal runners with
three runs each 1.25 to 1.6 times the 10th.
"""

import math
from collections import OrderedDict
from collections.abc import Iterable, Sequence
from dataclasses import dataclass

from dandelionreel.cell.decisions._runner_state import RunnerState
from dandelionreel.cell.decisions._speed_filter import (
    MIN_RUNS,
    PRIOR_STEP_VARIANCE,
    RESTORED_SPEED_VARIANCE,
    Group,
    QueueEstimate,
    RunnerEstimate,
    StepRuns,
)
from dandelionreel.cell.model import StepName

#: Speed of a runner about which nothing is known.
DEFAULT_SPEED = 1.0
#: Bounds of every speed.
MIN_SPEED = 0.2
MAX_SPEED = 5.0
#: Speeds are uneven if this many runners have ``MIN_RUNS``, or this share of them if fewer, but
#: never fewer than the last number: of 20 trials with four equal runners, four were uneven for a
#: moment, with eight none.
MIN_KNOWN_RUNNERS = 20
MIN_KNOWN_SHARE = 0.25
LEAST_KNOWN_RUNNERS = 8
#: Ratio of the 90th to the 10th percentile of the speeds from which they are uneven, and below
#: which they are even again.
UNEVEN_RATIO = 1.25
EVEN_RATIO = 1.15
LOW_PERCENTILE = 0.1
HIGH_PERCENTILE = 0.9
#: Standard deviations by which the spread of the speeds must exceed that of noise to be uneven.
SPREAD_DEVIATIONS = 4.0
#: Bounds of the ratio of duration to estimate that is learned for a queue, and of one run.
MAX_QUEUE_FACTOR = 4.0
MAX_RUN_FACTOR = 50.0
#: Runs that end sooner are ignored: they consist mostly of the delay of orders and polls.
MIN_SECONDS = 0.05
#: Standard deviations of the estimates of a queue by which a run may exceed its duration. With one,
#: delay-tolerant jobs of the load ``uneven`` were late on slow runners twice as often.
CAUTIOUS_DEVIATIONS = 2.0
#: Steps and runners that are remembered.
MAX_STEPS = 1000
MAX_RUNNERS = 2000
#: Runs after which the published figures are recomputed, as a share of the known runners, and
#: seconds after which they are recomputed in any case. While speeds are uneven, the speed of a
#: runner is published with each of its runs, so that the costly recomputation can be rarer.
EVEN_REFRESH_SHARE = 0.4
UNEVEN_REFRESH_SHARE = 2.0
REFRESH_SECONDS = 1.0
#: Runners of an availability zone and kind whose mean is used for unknown runners of the group, and
#: the ratio by which the means of groups must differ.
MIN_GROUP_RUNNERS = 3
GROUP_RATIO = 1.1
HUNDREDTHS = 100


@dataclass(frozen=True)
class _Scale:
    """How estimates are published: the mean log speed, and the variance that is not noise."""

    center: float = 0.0
    spread: float = 0.0

    def speed(self, estimate: RunnerEstimate) -> float:
        """Return the published speed of a runner."""
        if not self.spread:
            return DEFAULT_SPEED
        shrinkage = self.spread / (self.spread + estimate.variance)
        return bounded_speed(math.exp(shrinkage * (estimate.log_speed - self.center)))


class RunTimes:
    """Relative speeds of runners and expected durations of runs, learned in one term."""

    def __init__(self) -> None:
        """Start with the priors."""
        self._estimate_by_runner: OrderedDict[str, RunnerEstimate] = OrderedDict()
        self._runs_by_step: OrderedDict[StepName, StepRuns] = OrderedDict()
        self._estimate_by_queue: dict[str, QueueEstimate] = {}
        self._scale = _Scale()
        self._runs_since_refresh = 0
        self._refreshed_at = float('-inf')
        self._is_uneven = False
        self._low_speed = DEFAULT_SPEED
        self._high_speed = DEFAULT_SPEED
        #: Empty while speeds are even.
        self._speed_by_runner: dict[str, float] = {}
        self._speed_by_group: dict[Group, float] = {}
        self._factor_by_queue: dict[str, float] = {}

    @property
    def is_uneven(self) -> bool:
        """Return whether the speeds of runners differ enough to place work by them."""
        return self._is_uneven

    @property
    def low_speed(self) -> float:
        """Return the 10th percentile of the speeds, 1 while they are even."""
        return self._low_speed

    @property
    def high_speed(self) -> float:
        """Return the 90th percentile of the speeds, 1 while they are even."""
        return self._high_speed

    def record_completed_run(
        self,
        queue: str,
        step: StepName,
        runner: RunnerState,
        estimate: float,
        seconds: float,
        now: float,
    ) -> None:
        """Learn from a single task that ran to its end; durations are in seconds."""
        if not MIN_SECONDS <= seconds < math.inf or estimate < MIN_SECONDS:
            return
        ratio = min(MAX_RUN_FACTOR, max(1 / MAX_RUN_FACTOR, seconds / estimate))
        runner_estimate = self._runner_estimate(runner)
        queue_estimate = self._estimate_by_queue.get(queue)
        if queue_estimate is None:
            queue_estimate = QueueEstimate()
            self._estimate_by_queue[queue] = queue_estimate
        self._runs_of(step).add_run(runner_estimate, queue_estimate, math.log(ratio))
        self._runs_since_refresh += 1
        if self._is_uneven and self._is_published(runner_estimate):
            self._speed_by_runner[runner.id] = self._scale.speed(runner_estimate)
        share = UNEVEN_REFRESH_SHARE if self._is_uneven else EVEN_REFRESH_SHARE
        if (
            self._runs_since_refresh >= share * len(self._estimate_by_runner)
            or now >= self._refreshed_at + REFRESH_SECONDS
        ):
            self._refreshed_at = now
            self._refresh()

    def speed_of(self, runner: RunnerState) -> float:
        """Return the relative speed of a runner, 1 if it is unknown or speeds hardly differ."""
        speed = self._speed_by_runner.get(runner.id)
        if speed is not None:
            return speed
        if not self._speed_by_group:
            return DEFAULT_SPEED
        return self._speed_by_group.get(_group_of(runner), DEFAULT_SPEED)

    def is_fast(self, runner: RunnerState) -> bool:
        """Return whether a runner is nearer to the fast than to the slow runners.

        Only two classes: with more, noise would split equal runners, and placement would heed
        that split before the zone and the fit of a task.
        """
        return self.speed_of(runner) ** 2 >= self._low_speed * self._high_speed

    def expected_seconds(
        self, queue: str, estimate: float, runner: RunnerState | None = None
    ) -> float:
        """Return the expected duration of a run, on a given runner or on one of usual speed."""
        if not self._is_uneven:
            return estimate
        seconds = estimate * self._factor_by_queue.get(queue, 1.0)
        return seconds if runner is None else seconds / self.speed_of(runner)

    def best_seconds(self, queue: str, estimate: float) -> float:
        """Return the expected duration of a run on a fast runner."""
        return self.expected_seconds(queue, estimate) / self._high_speed

    def cautious_factor(self, queue: str) -> float:
        """Return the factor by which one run of forty exceeds its expected duration."""
        estimate = self._estimate_by_queue.get(queue)
        step_variance = PRIOR_STEP_VARIANCE if estimate is None else estimate.step_variance
        return math.exp(CAUTIOUS_DEVIATIONS * math.sqrt(step_variance))

    def forget_runner(self, runner_id: str) -> None:
        """Drop a runner whose process has ended."""
        self._estimate_by_runner.pop(runner_id, None)
        self._speed_by_runner.pop(runner_id, None)

    def stored_speeds(self) -> list[tuple[str, int]]:
        """Return the speeds of the known runners in hundredths, for the record of a successor."""
        return [
            (runner_id, round(HUNDREDTHS * self._scale.speed(estimate)))
            for runner_id, estimate in self._estimate_by_runner.items()
            if estimate.runs >= MIN_RUNS
        ]

    def restore(self, speeds: Iterable[tuple[str, int]]) -> int:
        """Start from the speeds of an earlier owner; return how many were bounded or ignored."""
        rejected = 0
        for runner_id, hundredths in speeds:
            if hundredths <= 0 or len(self._estimate_by_runner) >= MAX_RUNNERS:
                rejected += 1
                continue
            speed = bounded_speed(hundredths / HUNDREDTHS)
            rejected += speed != hundredths / HUNDREDTHS
            self._estimate_by_runner[runner_id] = RunnerEstimate(
                None, math.log(speed), RESTORED_SPEED_VARIANCE, MIN_RUNS
            )
        self._refresh()
        return rejected

    def _runs_of(self, step: StepName) -> StepRuns:
        runs = self._runs_by_step.get(step)
        if runs is None:
            runs = StepRuns()
            self._runs_by_step[step] = runs
            if len(self._runs_by_step) > MAX_STEPS:
                self._runs_by_step.popitem(last=False)
        return runs

    def _runner_estimate(self, runner: RunnerState) -> RunnerEstimate:
        estimate = self._estimate_by_runner.get(runner.id)
        if estimate is None:
            log_speed = self._scale.center
            if self._speed_by_group:
                log_speed += math.log(self.speed_of(runner))
            estimate = RunnerEstimate(_group_of(runner), log_speed)
            self._estimate_by_runner[runner.id] = estimate
            if len(self._estimate_by_runner) > MAX_RUNNERS:
                self.forget_runner(next(iter(self._estimate_by_runner)))
        else:
            self._estimate_by_runner.move_to_end(runner.id)
            estimate.group = estimate.group or _group_of(runner)
        return estimate

    def _refresh(self) -> None:
        """Recompute the published figures; the cost is proportional to the number of runners."""
        self._runs_since_refresh = 0
        known = [one for one in self._estimate_by_runner.values() if one.runs >= MIN_RUNS]
        total = len(self._estimate_by_runner)
        if len(known) < max(LEAST_KNOWN_RUNNERS, min(MIN_KNOWN_RUNNERS, MIN_KNOWN_SHARE * total)):
            return
        scale, ratio = _measure_scale(known)
        self._scale = scale
        self._is_uneven = ratio >= (EVEN_RATIO if self._is_uneven else UNEVEN_RATIO)
        if not self._is_uneven:
            self._publish_even_speeds()
            return
        speeds = sorted(scale.speed(estimate) for estimate in known)
        self._low_speed = _percentile(speeds, LOW_PERCENTILE)
        self._high_speed = _percentile(speeds, HIGH_PERCENTILE)
        self._speed_by_group = _measure_groups(known, scale)
        self._speed_by_runner = {
            runner_id: scale.speed(estimate)
            for runner_id, estimate in self._estimate_by_runner.items()
            if self._is_published(estimate)
        }
        self._factor_by_queue = {
            queue: _bounded_factor(math.exp(estimate.log_ratio - self._scale.center))
            for queue, estimate in self._estimate_by_queue.items()
        }

    def _publish_even_speeds(self) -> None:
        self._low_speed = DEFAULT_SPEED
        self._high_speed = DEFAULT_SPEED
        self._speed_by_runner = {}
        self._speed_by_group = {}
        self._factor_by_queue = {}

    def _is_published(self, estimate: RunnerEstimate) -> bool:
        """Return whether a runner has its own speed; with few runs, its group says more."""
        return estimate.runs >= (MIN_RUNS if estimate.group in self._speed_by_group else 1)


def _measure_groups(known: list[RunnerEstimate], scale: _Scale) -> dict[Group, float]:
    """Return the mean speed of each zone and kind; empty if groups hardly differ."""
    speeds_by_group: dict[Group, list[float]] = {}
    for estimate in known:
        if estimate.group is not None:
            speeds_by_group.setdefault(estimate.group, []).append(scale.speed(estimate))
    means = {
        group: sum(speeds) / len(speeds)
        for group, speeds in speeds_by_group.items()
        if len(speeds) >= MIN_GROUP_RUNNERS
    }
    if len(means) < 2 or max(means.values()) < GROUP_RATIO * min(means.values()):
        return {}
    return means


def _measure_scale(known: list[RunnerEstimate]) -> tuple[_Scale, float]:
    """Return the scale, and the ratio of high to low speeds without the share of noise."""
    count = len(known)
    log_speeds = sorted(estimate.log_speed for estimate in known)
    center = sum(log_speeds) / count
    variance = sum((log_speed - center) ** 2 for log_speed in log_speeds) / (count - 1)
    noise = sum(estimate.variance for estimate in known) / count
    scale = _Scale(center, max(0.0, variance - noise))
    if variance <= noise * _noise_limit(count - 1):
        return scale, 1.0
    span = _percentile(log_speeds, HIGH_PERCENTILE) - _percentile(log_speeds, LOW_PERCENTILE)
    return scale, math.exp(span * math.sqrt(scale.spread / variance))


def _noise_limit(degrees: int) -> float:
    """Return the ratio to its mean that a variance of noise hardly ever exceeds.

    This is the approximation of the chi-squared distribution by Wilson and Hilferty.
    """
    relative = 2 / (9 * degrees)
    return (1 - relative + SPREAD_DEVIATIONS * math.sqrt(relative)) ** 3


def bounded_speed(speed: float) -> float:
    """Return a speed within the bounds of every speed."""
    return min(MAX_SPEED, max(MIN_SPEED, speed))


def _bounded_factor(factor: float) -> float:
    return min(MAX_QUEUE_FACTOR, max(1 / MAX_QUEUE_FACTOR, factor))


def _percentile(ordered: Sequence[float], share: float) -> float:
    return ordered[round(share * (len(ordered) - 1))]


def _group_of(runner: RunnerState) -> Group:
    """Return the availability zone and the kind (first label) of a runner."""
    registration = runner.registration
    return registration.zone, registration.labels[0] if registration.labels else ''
