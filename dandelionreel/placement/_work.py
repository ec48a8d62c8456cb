"""What is to be placed, and what a policy decides."""

from dataclasses import dataclass

from dandelionreel.backing import Resources

URGENT = 'urgent'
SERVICE = 'service'
BATCH = 'batch'

#: Class, demand of one task, and number of tasks.
Shape = tuple[str, Resources, int]


@dataclass(frozen=True, slots=True)
class Work:
    """One job that waits; times are in seconds on one clock.

    ``tasks`` is above one for a gang, whose tasks start together or not at
    all. ``run_seconds`` is the declared run time, 0 when none was declared.
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
        """Return when the longest wait of the contract is over."""
        return self.accepted_at + self.longest_wait

    @property
    def shape(self) -> 'Shape':
        """Return what decides where the job can go."""
        return (self.task_class, self.demand, self.tasks)

    @property
    def total(self) -> Resources:
        """Return what all its tasks ask for together."""
        return self.demand if self.tasks == 1 else self.demand.times(self.tasks)


@dataclass(frozen=True, slots=True)
class RunningTask:
    """One task on a worker, as the ledger counts it."""

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
    """Where the tasks of a job go, and which running tasks must stop first."""

    work: Work
    workers: tuple[str, ...]
    victims: tuple[RunningTask, ...] = ()
    reason: str = ''
