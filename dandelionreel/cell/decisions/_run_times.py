"""Learns how fast runners are and how long runs take. No I/O.

Load pattern: runners differ in speed. Short jobs on slow runners end after their objective
although fast runners have free capacity, and a gang is as slow as its slowest member.
"""

from dandelionreel.cell.decisions._runner_state import RunnerState
from dandelionreel.cell.model import StepName

#: Speed of a runner about which nothing is known.
DEFAULT_SPEED = 1.0


class RunTimes:
    """Relative speeds of runners and expected durations of runs, learned in one term."""

    @property
    def is_uneven(self) -> bool:
        """Return whether the speeds of runners differ enough to place work by them."""
        return False

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

    def speed_of(self, runner: RunnerState) -> float:
        """Return the relative speed of a runner, 1 if it is unknown or speeds hardly differ."""
        return DEFAULT_SPEED

    def expected_seconds(
        self, queue: str, estimate: float, runner: RunnerState | None = None
    ) -> float:
        """Return the expected duration of a run, on a given runner or on one of usual speed."""
        return estimate
