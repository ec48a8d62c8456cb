"""Within how many seconds a job counts as served in time. No I/O."""

from dandelionreel.cell.model import Demand, JobSpec, Queue, Step

#: Runners that a request to the policy service names, as objectives count it.
TYPICAL_REQUEST_RUNNERS = 30


def critical_path_seconds(spec: JobSpec, seconds_by_step: list[float]) -> float:
    """Return the longest chain of steps, given how long each one takes."""
    ends: list[float] = []
    for step, seconds in zip(spec.steps, seconds_by_step, strict=True):
        start = max((ends[earlier] for earlier in step.depends_on), default=0.0)
        ends.append(start + seconds)
    return max(ends, default=0.0)


def objective(queue: Queue | None, spec: JobSpec, quota: Demand | None = None) -> float:
    """Return the seconds within which a job counts as served in time.

    A step that is wider than its account's quota runs in waves.
    """
    advice_seconds = 0.0
    if queue is not None and queue.advice is not None:
        advice_seconds = queue.advice.decision + TYPICAL_REQUEST_RUNNERS * queue.advice.per_runner
    path_seconds = critical_path_seconds(
        spec, [step.estimate * _count_waves(step, quota) + advice_seconds for step in spec.steps]
    )
    return path_seconds if queue is None else queue.slack * path_seconds + queue.latency


def _count_waves(step: Step, quota: Demand | None) -> int:
    """Return how many times a step's tasks have to take turns."""
    if quota is None or step.gang:
        return 1
    concurrent = count_fitting(step.counted_demand, quota, step.count)
    return -(-step.count // max(1, concurrent))


def count_fitting(demand: Demand, room: Demand, most: int) -> int:
    """Return how many tasks of a demand fit into a room, at most so many."""
    count = most
    for asked, have in (
        (demand.cpu, room.cpu),
        (demand.memory_mb, room.memory_mb),
        (demand.gpu, room.gpu),
    ):
        if asked:
            count = min(count, have // asked)
    return max(0, count)
