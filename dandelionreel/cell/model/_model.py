"""Jobs, queues, services and runners."""

import enum
from dataclasses import dataclass

import msgspec

from dandelionreel.accounts import Account, AccountDirectory


class Demand(msgspec.Struct, frozen=True):
    """An amount of resources: thousandths of a core, megabytes and accelerators."""

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

    def fits(self, capacity: 'Demand') -> bool:
        """Return whether the demand is within ``capacity`` in every resource."""
        return (
            self.cpu <= capacity.cpu
            and self.memory_mb <= capacity.memory_mb
            and self.gpu <= capacity.gpu
        )

    def times(self, count: int) -> 'Demand':
        """Return the demand multiplied by ``count``."""
        return Demand(self.cpu * count, self.memory_mb * count, self.gpu * count)

    def at_most(self, other: 'Demand') -> 'Demand':
        """Return the minimum of this demand and ``other`` for each resource."""
        return Demand(
            min(self.cpu, other.cpu),
            min(self.memory_mb, other.memory_mb),
            min(self.gpu, other.gpu),
        )

    def dominant_share(self, whole: 'Demand') -> float:
        """Return the largest fraction of ``whole`` over its non-zero resources."""
        amounts = ((self.cpu, whole.cpu), (self.memory_mb, whole.memory_mb), (self.gpu, whole.gpu))
        return max((part / total for part, total in amounts if total > 0), default=0.0)


class Step(msgspec.Struct, frozen=True, omit_defaults=True):
    """One step of a job: ``count`` identical tasks.

    ``depends_on`` has the numbers of earlier steps. ``estimate`` is the client's estimate of a
    task's duration in seconds. ``max_per_runner`` of 0 means no limit. Tasks of a step with
    ``fills`` set use the processor time that other tasks leave.
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
        """Return the capacity that a task uses on a runner.

        Tasks of a step with ``fills`` set use leftover processor time, so their processor demand
        does not count.
        """
        if self.fills:
            return Demand(0, self.demand.memory_mb, self.demand.gpu)
        return self.demand

    @property
    def smallest_start(self) -> Demand:
        """Return the demand of the smallest unit to start: a task, or all members of a gang."""
        return self.counted_demand.times(self.count) if self.gang else self.counted_demand


class JobSpec(msgspec.Struct, frozen=True, omit_defaults=True):
    """A job as submitted by a client.

    ``payload`` is passed to every task. A job without a schedule has one occurrence, number 0.
    ``first_run`` is a Unix time and ``interval`` is in seconds.
    """

    payload: str
    steps: tuple[Step, ...]
    repeat_count: int = 0
    first_run: float = 0
    interval: float = 0

    @property
    def occurrences(self) -> int:
        """Return how many times the steps are run."""
        return max(1, self.repeat_count)


@dataclass(frozen=True, order=True)
class StepName:
    """Identifies a step of one occurrence of a job."""

    job: str
    occurrence: int
    step: int

    @classmethod
    def of(cls, task: 'TaskName') -> 'StepName':
        """Return the step that a task belongs to."""
        return cls(task.job, task.occurrence, task.step)


@dataclass(frozen=True, order=True)
class TaskName:
    """Identifies a task of one occurrence of a job."""

    job: str
    occurrence: int
    step: int
    index: int

    @property
    def label(self) -> str:
        """Return the name of the task within its job, as used in log lines."""
        return f'{self.occurrence}.{self.step}.{self.index}'


class JobState(enum.Enum):
    """State of a job as shown to clients."""

    QUEUED = 'queued'
    RUNNING = 'running'
    COMPLETED = 'completed'
    FAILED = 'failed'
    CANCELLED = 'cancelled'


@dataclass(frozen=True)
class AdvicePolicy:
    """Expected latency of the policy service for a queue's steps, and validity of its tickets.

    All times are in seconds.
    """

    decision_seconds: float
    seconds_per_runner: float
    valid_seconds: float


@dataclass(frozen=True)
class Queue:
    """Where jobs are submitted, and how they are scheduled.

    The latency objective of a job is ``slack`` times the duration of its critical path plus
    ``latency`` seconds. Priority 0 is the highest. A ``public`` queue accepts calls without an API
    key.
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
    """A pool of runners; with ``enforces_capacity`` each runner checks its own capacity."""

    name: str
    enforces_capacity: bool
    standby: bool


Accounts = AccountDirectory[Demand]


#: Removed queues whose terms are kept for their unfinished jobs.
MAX_REMOVED_QUEUES = 5000


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
        """Index queues and services by name; without ``accounts`` no call needs an API key."""
        self.version = version
        self.body_bytes = body_bytes
        self.accounts = accounts
        self.queue_by_name = {queue.name: queue for queue in queues}
        self._removed_queue_by_name: dict[str, Queue] = {}
        self.service_by_name = {service.name: service for service in services}
        self._routes_by_host: dict[str, _HostRoutes] = {}
        for queue in queues:
            host = queue.host.lower()
            if host not in self._routes_by_host:
                self._routes_by_host[host] = _HostRoutes()
            self._routes_by_host[host].add(queue)

    @property
    def services(self) -> set[str]:
        """Return the names of all services in this version."""
        routed = {queue.service for queue in self.queue_by_name.values()}
        return routed | self.service_by_name.keys()

    def keep_removed_queues(self, former: 'Configuration') -> None:
        """Keep the queues that an earlier version has and this one has not."""
        known = {**former._removed_queue_by_name, **former.queue_by_name}
        removed = [name for name in known if name not in self.queue_by_name]
        self._removed_queue_by_name = {name: known[name] for name in removed[-MAX_REMOVED_QUEUES:]}

    def find_job_queue(self, name: str) -> Queue | None:
        """Return the queue of a job, also if a version has removed it since the job's acceptance.

        Such a job is not failed or started by other terms than those under which it was accepted.
        """
        return self.queue_by_name.get(name) or self._removed_queue_by_name.get(name)

    def find_account(self, name: str) -> Account[Demand] | None:
        """Return the client account with this name, ``None`` if this version has none."""
        return None if self.accounts is None else self.accounts.account_by_name.get(name)

    def find_queue(self, host: str, path: str) -> Queue | None:
        """Return the queue of this host whose prefix matches most of ``path``."""
        routes = self._routes_by_host.get(host.lower())
        return None if routes is None else routes.find_queue(path)


class _HostRoutes:
    """The queues of one host name, whose prefixes have few different lengths."""

    def __init__(self) -> None:
        self._queue_by_prefix: dict[str, Queue] = {}
        self._lengths: list[int] = []

    def add(self, queue: Queue) -> None:
        """Add a queue; of two with the same prefix, the first one stays."""
        length = len(queue.path_prefix)
        if length not in self._lengths:
            self._lengths.append(length)
            self._lengths.sort(reverse=True)
        self._queue_by_prefix.setdefault(queue.path_prefix, queue)

    def find_queue(self, path: str) -> Queue | None:
        """Return the queue with the longest prefix of ``path``."""
        for length in self._lengths:
            queue = self._queue_by_prefix.get(path[:length])
            if queue is not None:
                return queue
        return None


@dataclass(frozen=True)
class Registration:
    """A runner's description of itself.

    ``remaining`` is the minimum time in seconds that a draining runner will stay, ``None`` if it
    does not drain or does not report the time. ``usable`` is false while its newest entry cannot
    be used: the other fields are then from its last good entry, so that the runner is still
    polled and its runs still count. ``incarnation`` distinguishes the processes that have run
    under one id, ``None`` if they do not report it.
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
