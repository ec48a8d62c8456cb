"""Estimates the speeds of runners from the durations of runs. No I/O.

The logarithm of the ratio of a run's duration to its estimate is modelled as the error of the
estimate, shared by all tasks of a step, minus the logarithm of the runner's speed, plus noise of
the task. A filter with one mean and variance for each runner compares a run with the ended runs of
its step, which have the same error. Only a step's first run is compared with other steps.
"""

import math

#: Number of its own runs from which the speed of a runner counts as known.
MIN_RUNS = 3
#: Variances of logarithms. Prior of a runner's speed; of a speed that an earlier owner stored.
PRIOR_SPEED_VARIANCE = 0.15
RESTORED_SPEED_VARIANCE = 0.003
#: Added before each run of a runner, so that estimates follow slow changes.
SPEED_DRIFT_VARIANCE = 0.0002
#: Of the tasks of one step, at first; then measured for each queue within the bounds.
PRIOR_TASK_VARIANCE = 0.06
MIN_TASK_VARIANCE = 0.005
MAX_TASK_VARIANCE = 0.4
#: Of the steps of one queue, at first; then measured for each queue within the bounds.
PRIOR_STEP_VARIANCE = 0.5
MIN_STEP_VARIANCE = 0.02
MAX_STEP_VARIANCE = 2.0
#: Weight of the newest run in the figures of its queue, and number of runs that the prior stands
#: for at first.
QUEUE_GAIN = 0.002
QUEUE_PRIOR_RUNS = 20
#: A run changes an estimate as if it deviated by at most this many standard deviations.
MAX_DEVIATIONS = 2.5
#: A runner has changed its speed when the moving average of its deviations, in standard deviations,
#: exceeds this limit. Its variance is then set to the prior, so it is learned again at once.
CHANGE_GAIN = 0.3
CHANGE_LIMIT = 1.4
#: Ended runs of a step to which a run is compared.
MAX_PEERS = 16

Group = tuple[str, str]


class RunnerEstimate:
    """Mean and variance of the logarithm of a runner's speed."""

    __slots__ = ('change', 'group', 'log_speed', 'runs', 'variance')

    def __init__(
        self,
        group: Group | None,
        log_speed: float,
        variance: float = PRIOR_SPEED_VARIANCE,
        runs: int = 0,
    ) -> None:
        """Create an estimate; ``group`` is unknown for one that an earlier owner stored."""
        self.group = group
        self.log_speed = log_speed
        self.variance = variance
        self.runs = runs
        #: Moving average of the deviations of its runs, in standard deviations.
        self.change = 0.0

    def apply_deviation(self, deviation: float, deviation_variance: float) -> None:
        """Learn from an own run that took longer than expected by ``deviation``."""
        gain = self.variance / deviation_variance
        self.log_speed -= gain * deviation
        self.variance -= gain * self.variance

    def detect_change(self, deviations: float) -> None:
        """Learn the speed again after runs that deviate from it in the same direction."""
        self.change += CHANGE_GAIN * (deviations - self.change)
        if abs(self.change) > CHANGE_LIMIT and self.runs > MIN_RUNS:
            self.change = 0.0
            self.variance = PRIOR_SPEED_VARIANCE


class QueueEstimate:
    """Mean log ratio of duration to estimate in a queue, and its variances."""

    __slots__ = ('log_ratio', 'runs', 'step_variance', 'task_variance')

    def __init__(self) -> None:
        """Start with the priors."""
        self.log_ratio = 0.0
        self.step_variance = PRIOR_STEP_VARIANCE
        self.task_variance = PRIOR_TASK_VARIANCE
        self.runs = QUEUE_PRIOR_RUNS

    def add_run(self, runner: RunnerEstimate, log_ratio: float, error: float, peers: int) -> None:
        """Learn from a run; ``error`` is its deviation from ``peers`` ended runs of its step."""
        self.runs += 1
        gain = max(QUEUE_GAIN, 1 / self.runs)
        step_error = log_ratio + runner.log_speed - self.log_ratio
        self.log_ratio += gain * step_error
        step_variance = step_error * step_error - self.task_variance - runner.variance
        self.step_variance += gain * (step_variance - self.step_variance)
        self.step_variance = min(MAX_STEP_VARIANCE, max(MIN_STEP_VARIANCE, self.step_variance))
        if not peers:
            return
        # Summed over the runs of a step, in any order, this is their sum of squares about the mean.
        task_variance = max(0.0, error * error - runner.variance) * peers / (peers + 1)
        task_variance = min(MAX_TASK_VARIANCE, task_variance)
        self.task_variance += gain * (task_variance - self.task_variance)
        self.task_variance = max(MIN_TASK_VARIANCE, self.task_variance)


class StepRuns:
    """Ended runs of one step: their runners, and the log ratios of duration to estimate."""

    __slots__ = ('_count', '_log_ratios', '_peers')

    def __init__(self) -> None:
        """Start without runs."""
        self._peers: list[RunnerEstimate] = []
        self._log_ratios: list[float] = []
        self._count = 0

    def add_run(self, runner: RunnerEstimate, queue: QueueEstimate, log_ratio: float) -> None:
        """Learn from a run; ``log_ratio`` is the logarithm of its duration over its estimate.

        A run that is longer than the earlier ones says as much about their runners as about its
        own. The earlier runs are the shorter ones, so without the update of their runners every
        comparison would only lower a speed.
        """
        runner.variance += SPEED_DRIFT_VARIANCE
        runner.runs += 1
        count = len(self._peers)
        share = queue.step_variance / (count * queue.step_variance + queue.task_variance)
        error, error_variance = self._compare(runner, queue, log_ratio, share)
        queue.add_run(runner, log_ratio, error, count)
        limit = MAX_DEVIATIONS * math.sqrt(error_variance)
        deviation = max(-limit, min(limit, error))
        runner.apply_deviation(deviation, error_variance)
        gain = share * deviation / error_variance
        shrinkage = share * share / error_variance
        for peer in self._peers:
            variance = peer.variance
            peer.log_speed += gain * variance
            peer.variance = variance / (1 + shrinkage * variance)
        # Last, as the runner may be among the peers: their gains hold for their variances before.
        runner.detect_change(deviation / math.sqrt(error_variance))
        self._remember(runner, log_ratio)

    def _compare(
        self, runner: RunnerEstimate, queue: QueueEstimate, log_ratio: float, share: float
    ) -> tuple[float, float]:
        """Return the deviation of a run from the expected log ratio, and its variance.

        ``share`` is the weight of each ended run of the step; the rest is the queue's mean.
        """
        if not self._peers:
            error = log_ratio + runner.log_speed - queue.log_ratio
            return error, queue.step_variance + queue.task_variance + runner.variance
        total, peer_variance = sum(self._log_ratios), 0.0
        for peer in self._peers:
            total += peer.log_speed
            peer_variance += peer.variance
        mean = queue.log_ratio + share * (total - len(self._peers) * queue.log_ratio)
        mean_variance = share * queue.task_variance + share * share * peer_variance
        error = log_ratio + runner.log_speed - mean
        return error, mean_variance + queue.task_variance + runner.variance

    def _remember(self, runner: RunnerEstimate, log_ratio: float) -> None:
        if self._count < MAX_PEERS:
            self._peers.append(runner)
            self._log_ratios.append(log_ratio)
        else:
            index = self._count % MAX_PEERS
            self._peers[index] = runner
            self._log_ratios[index] = log_ratio
        self._count += 1
