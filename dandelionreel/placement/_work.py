"""Queued jobs, running tasks and placements."""

from dataclasses import dataclass

from dandelionreel.backing import Resources

URGENT = 'urgent'
SERVICE = 'service'
BATCH = 'batch'

#: The shape of a job: its class, the demand of one task and the number of tasks.
Shape = tuple[str, Resources, int]


@dataclass(frozen=True, slots=True)
class Work:
    """A waiting job; all times are in seconds on the same clock.

    ``tasks`` is above one for a gang, whose tasks start together or not at
    all. ``run_seconds`` is the estimated run time.
    """

    id: str
    customer: str
    task_class: str
    demand: Resources
    accepted_at: float
    longest_wait: float
    priority: int = 0
    tasks: int = 1
    preemptible: bool = False
    idempotent: bool = True
    run_seconds: float = 0
    kind: str = ''
    avoid: frozenset[str] = frozenset()
    attempt: int = 1

    @property
    def due_at(self) -> float:
        """Return when the longest wait that the contract allows ends."""
        return self.accepted_at + self.longest_wait

    @property
    def shape(self) -> 'Shape':
        """Return the properties of the job that decide on which workers it fits."""
        return (self.task_class, self.demand, self.tasks)

    @property
    def total_demand(self) -> Resources:
        """Return the demand of all tasks of the job together."""
        return self.demand if self.tasks == 1 else self.demand.times(self.tasks)


@dataclass(frozen=True, slots=True)
class RunningTask:
    """A task that the dispatcher counts as running; ``ends_at`` is an estimate."""

    task_id: str
    job: str
    customer: str
    task_class: str
    demand: Resources
    started_at: float
    ends_at: float
    priority: int = 0
    preemptible: bool = False


@dataclass(frozen=True, slots=True)
class Placement:
    """The workers of a job's tasks, and the running tasks to preempt first."""

    work: Work
    workers: tuple[str, ...]
    victims: tuple[RunningTask, ...] = ()
    reason: str = ''
