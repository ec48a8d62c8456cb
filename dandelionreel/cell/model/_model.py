"""Jobs of steps, the queues that take them, and the runners that run their tasks."""

import enum
from dataclasses import dataclass

import msgspec

from dandelionreel.accounts import Account, AccountDirectory


class Demand(msgspec.Struct, frozen=True):
    """What one task occupies: thousandths of a core, megabytes, accelerators."""

    cpu: int = 0
    memory_mb: int = 0
    gpu: int = 0

    def __add__(self, other: 'Demand') -> 'Demand':
        """Return the sum by resource."""
        return Demand(
            self.cpu + other.cpu,
            self.memory_mb + other.memory_mb,
            self.gpu + other.gpu,
        )

    def __sub__(self, other: 'Demand') -> 'Demand':
        """Return the difference by resource."""
        return Demand(
            self.cpu - other.cpu,
            self.memory_mb - other.memory_mb,
            self.gpu - other.gpu,
        )

    def fits(self, room: 'Demand') -> bool:
        """Return whether the demand is within ``room`` in every resource."""
        return self.cpu <= room.cpu and self.memory_mb <= room.memory_mb and self.gpu <= room.gpu

    def times(self, count: int) -> 'Demand':
        """Return what that many tasks demand together."""
        return Demand(self.cpu * count, self.memory_mb * count, self.gpu * count)

    def at_most(self, other: 'Demand') -> 'Demand':
        """Return the smaller of both in each resource."""
        return Demand(
            min(self.cpu, other.cpu),
            min(self.memory_mb, other.memory_mb),
            min(self.gpu, other.gpu),
        )

    def dominant_share(self, whole: 'Demand') -> float:
        """Return the largest fraction of ``whole`` over the resources that it has."""
        amounts = ((self.cpu, whole.cpu), (self.memory_mb, whole.memory_mb), (self.gpu, whole.gpu))
        return max((part / total for part, total in amounts if total > 0), default=0.0)


class Step(msgspec.Struct, frozen=True, omit_defaults=True):
    """One step of a job: ``count`` equal tasks.

    ``depends_on`` numbers earlier steps. ``estimate`` is the caller's guess of
    one task's duration in seconds. ``max_per_runner`` of 0 means no limit.
    """

    count: int
    demand: Demand
    estimate: float
    depends_on: tuple[int, ...] = ()
    checkpointing: bool = False
    gang: bool = False
    same_rack: bool = False
    required_label: str = ''
    data_rack: str = ''
    max_per_runner: int = 0
    speculative: bool = False
    long_running: bool = False
    image: str = ''
    target_seconds: float = 0
    fills: bool = False
    max_unavailable: int = 0

    @property
    def counted_demand(self) -> Demand:
        """Return what a task takes from a runner's room.

        Tasks that fill get the processors that others leave, so theirs do not count.
        """
        if self.fills:
            return Demand(0, self.demand.memory_mb, self.demand.gpu)
        return self.demand

    @property
    def smallest_start(self) -> Demand:
        """Return what starts at once: a task, or all members of a gang."""
        return self.counted_demand.times(self.count) if self.gang else self.counted_demand


class JobSpec(msgspec.Struct, frozen=True, omit_defaults=True):
    """What a client handed in.

    ``payload`` is passed to every task. A job without a schedule has one
    occurrence, number 0; ``first_run`` is in seconds since the epoch.
    """

    payload: str
    steps: tuple[Step, ...]
    repeat_count: int = 0
    first_run: float = 0
    interval: float = 0

    @property
    def occurrences(self) -> int:
        """Return how many times the steps run."""
        return max(1, self.repeat_count)


@dataclass(frozen=True, order=True)
class StepName:
    """A step of one occurrence of a job."""

    job: str
    occurrence: int
    step: int

    @classmethod
    def of(cls, task: 'TaskName') -> 'StepName':
        """Return the step that a task belongs to."""
        return cls(task.job, task.occurrence, task.step)


@dataclass(frozen=True, order=True)
class TaskName:
    """A task of one occurrence of a job."""

    job: str
    occurrence: int
    step: int
    index: int

    @property
    def label(self) -> str:
        """Return the task within its job, as lines of the log name it."""
        return f'{self.occurrence}.{self.step}.{self.index}'


class JobState(enum.Enum):
    """What clients are told about a job."""

    QUEUED = 'queued'
    RUNNING = 'running'
    COMPLETED = 'completed'
    FAILED = 'failed'
    CANCELLED = 'cancelled'


@dataclass(frozen=True)
class AdvicePolicy:
    """How long the policy service takes for a queue's steps, in seconds."""

    decision_seconds: float
    seconds_per_runner: float
    valid_seconds: float


@dataclass(frozen=True)
class Queue:
    """Where jobs are handed in, and how they are served.

    A job's objective is ``slack`` times its longest chain of work and
    ``latency`` seconds more. A ``priority`` of 0 comes first. A ``public`` queue takes
    calls without an API key.
    """

    name: str
    host: str
    path_prefix: str
    service: str
    priority: int
    max_attempts: int
    slack: float
    latency: float
    timeout: float
    advice: AdvicePolicy | None
    public: bool = False


@dataclass(frozen=True)
class Service:
    """A pool of runners; some check their capacity themselves."""

    name: str
    enforces_capacity: bool
    standby: bool


Accounts = AccountDirectory[Demand]


class Configuration:
    """One version of the operator's configuration."""

    def __init__(
        self,
        version: int,
        queues: tuple[Queue, ...],
        services: tuple[Service, ...],
        body_bytes: int,
        accounts: Accounts | None = None,
    ) -> None:
        """Index queues and services by name; without ``accounts`` no call needs a key."""
        self.version = version
        self.body_bytes = body_bytes
        self.accounts = accounts
        self.queue_by_name = {queue.name: queue for queue in queues}
        self.service_by_name = {service.name: service for service in services}
        self._queues_by_host: dict[str, list[Queue]] = {}
        for queue in queues:
            self._queues_by_host.setdefault(queue.host.lower(), []).append(queue)
        for named_queues in self._queues_by_host.values():
            named_queues.sort(key=_prefix_length, reverse=True)

    @property
    def services(self) -> set[str]:
        """Return the services that this version names."""
        routed = {queue.service for queue in self.queue_by_name.values()}
        return routed | self.service_by_name.keys()

    def find_account(self, name: str) -> Account[Demand] | None:
        """Return the client account of that name, ``None`` where this version has none."""
        return None if self.accounts is None else self.accounts.account_by_name.get(name)

    def find_queue(self, host: str, path: str) -> Queue | None:
        """Return the queue of that host with the longest prefix of ``path``."""
        for queue in self._queues_by_host.get(host.lower(), ()):
            if path.startswith(queue.path_prefix):
                return queue
        return None


def _prefix_length(queue: Queue) -> int:
    return len(queue.path_prefix)


@dataclass(frozen=True)
class Registration:
    """A runner as it describes itself.

    ``remaining`` is the least time in seconds that a draining runner will
    stay, ``None`` while it does not drain. ``usable`` is false while its newest
    entry cannot be used: the rest is then what the last good one said, by which
    the runner is looked at and what runs there counts. ``incarnation`` tells apart the
    processes that have run under one id, ``None`` where they do not tell.
    """

    runner: str
    service: str
    address: str
    port: int
    zone: str
    capacity: Demand
    labels: tuple[str, ...]
    draining: bool
    remaining: float | None = None
    usable: bool = True
    incarnation: int | None = None
