"""Computes the latency objective of a job. No I/O."""

from dandelionreel.cell.model import Demand, JobSpec, Queue, Step

#: Number of runners assumed for a request to the policy service.
TYPICAL_REQUEST_RUNNERS = 30


def critical_path_seconds(spec: JobSpec, seconds_by_step: list[float]) -> float:
    """Return the length of the critical path through the steps, in seconds."""
    ends: list[float] = []
    for step, seconds in zip(spec.steps, seconds_by_step, strict=True):
        start = max((ends[earlier] for earlier in step.depends_on), default=0.0)
        ends.append(start + seconds)
    return max(ends, default=0.0)


def compute_latency_objective(
    queue: Queue | None, spec: JobSpec, quota: Demand | None = None
) -> float:
    """Return the latency objective of a job, in seconds from its acceptance.

    If the account's quota does not suffice for all tasks of a step at once, they run in several
    waves, and the estimated duration of the step is multiplied by the number of waves.
    """
    advice_seconds = 0.0
    if queue is not None and queue.advice is not None:
        advice_seconds = (
            queue.advice.decision_seconds
            + TYPICAL_REQUEST_RUNNERS * queue.advice.seconds_per_runner
        )
    path_seconds = critical_path_seconds(
        spec, [step.estimate * _count_waves(step, quota) + advice_seconds for step in spec.steps]
    )
    return path_seconds if queue is None else queue.slack * path_seconds + queue.latency


def _count_waves(step: Step, quota: Demand | None) -> int:
    """Return in how many waves a step's tasks run if the quota limits how many run at once."""
    if quota is None or step.gang:
        return 1
    concurrent = count_fitting(step.counted_demand, quota, step.count)
    return -(-step.count // max(1, concurrent))


def count_fitting(demand: Demand, available: Demand, limit: int) -> int:
    """Return how many tasks of ``demand`` each fit into ``available``, at most ``limit``."""
    count = limit
    for needed, free in (
        (demand.cpu, available.cpu),
        (demand.memory_mb, available.memory_mb),
        (demand.gpu, available.gpu),
    ):
        if needed:
            count = min(count, free // needed)
    return max(0, count)
