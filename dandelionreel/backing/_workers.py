"""A worker's task interface, behind one abstract class."""

import abc
from collections.abc import Callable

import msgspec

from dandelionreel.backing._hosts import HostEntry
from dandelionreel.backing._resources import NOTHING, Resources
from dandelionreel.http import Answer, Channel, ExchangeError, Request
from dandelionreel.kernel import PluginKind, Verdict, plugins

HTTP_OK = 200
HTTP_CREATED = 201
MILLISECONDS = 1000
ENDED = 'ended'


class TaskOrder(msgspec.Struct, frozen=True):
    """What a worker is told to start.

    ``owner`` and ``epoch`` are kept with the task, so that a later owner of
    the worker can tell who started it.
    """

    demand: Resources
    command: str
    lease_ms: int
    owner: str = ''
    epoch: int = 0
    customer: str = ''
    job: str = ''
    attempt: int = 0
    task_class: str = ''


class TaskStatus(msgspec.Struct, frozen=True):
    """One task as its worker reports it.

    ``state`` is running or ended; ``outcome`` is succeeded, failed, stopped
    or lapsed once it has ended.
    """

    id: str
    state: str
    order: TaskOrder
    outcome: str = ''
    used: Resources = NOTHING
    renewed_by: str = ''

    @property
    def is_running(self) -> bool:
        """Return whether it still uses the worker."""
        return self.state != ENDED


class TaskList(msgspec.Struct, frozen=True):
    """All running tasks and those that ended a short while ago.

    ``remembers_ms`` is how far back the worker knows every task that it was
    told to start: a younger one that is not listed never started. An
    ``unchanged`` list has no tasks: those of its revision are known.
    """

    revision: int
    tasks: tuple[TaskStatus, ...]
    remembers_ms: int = 0
    unchanged: bool = False


class LeaseRenewal(msgspec.Struct, frozen=True):
    """Body of a renewal; ids that are unknown to the worker are ignored."""

    holder: str
    lease_ms: int
    task_ids: tuple[str, ...]


class WorkerError(Exception):
    """A worker did not do what was asked; the verdict says whether it may have."""

    def __init__(self, message: str, verdict: Verdict) -> None:
        """Keep the message and the verdict."""
        super().__init__(message)
        self.verdict = verdict


class WorkerService(abc.ABC):
    """Starts, lists, renews and stops tasks on one worker."""

    @abc.abstractmethod
    async def start(
        self,
        task_id: str,
        order: TaskOrder,
        timeout: float,
        check: Callable[[], bool],
    ) -> None:
        """Start a task under a lease; raises ``WorkerError``.

        ``check`` is asked right before the order leaves.
        """

    @abc.abstractmethod
    async def tasks(self, after: int, wait: float) -> TaskList:
        """Return the list, waiting up to ``wait`` seconds for a revision over ``after``.

        When there is none in that time, the list is marked as unchanged.
        """

    @abc.abstractmethod
    async def renew(self, renewal: LeaseRenewal) -> None:
        """Renew leases; it starts nothing."""

    @abc.abstractmethod
    async def act(self, task_id: str, action: str) -> None:
        """Stop, checkpoint or throttle a task; raises ``WorkerError``."""

    @abc.abstractmethod
    async def close(self) -> None:
        """Give up connections."""


@plugins.register(PluginKind.WORKERS, 'http')
class HttpWorker(WorkerService):
    """A worker over HTTP: one connection waits for changes, one carries orders."""

    def __init__(self, entry: HostEntry, timeout: float) -> None:
        """Reach the worker that ``entry`` names."""
        self._watch_channel = Channel(entry.address, entry.port, 'workers')
        self._order_channel = Channel(entry.address, entry.port, 'workers')
        self._timeout = timeout

    async def start(
        self,
        task_id: str,
        order: TaskOrder,
        timeout: float,
        check: Callable[[], bool],
    ) -> None:
        """Start a task under a lease; raises ``WorkerError``."""
        request = Request('PUT', f'/v1/tasks/{task_id}', body=msgspec.json.encode(order))
        answer = await self._exchange(self._order_channel, request, timeout, check)
        if answer.status not in {HTTP_OK, HTTP_CREATED}:
            raise WorkerError(f'the worker refused ({answer.status})', Verdict.NOT_RUN)

    async def tasks(self, after: int, wait: float) -> TaskList:
        """Return the list, waiting up to ``wait`` seconds for a change."""
        target = f'/v1/tasks?after={after}&wait_ms={int(wait * MILLISECONDS)}'
        answer = await self._exchange(
            self._watch_channel, Request('GET', target), self._timeout + wait
        )
        self._check_status(answer)
        return msgspec.json.decode(answer.body, type=TaskList)

    async def renew(self, renewal: LeaseRenewal) -> None:
        """Renew leases; it starts nothing."""
        request = Request('POST', '/v1/leases', body=msgspec.json.encode(renewal))
        self._check_status(await self._exchange(self._order_channel, request, self._timeout))

    async def act(self, task_id: str, action: str) -> None:
        """Stop, checkpoint or throttle a task."""
        request = Request('POST', f'/v1/tasks/{task_id}/{action}')
        self._check_status(await self._exchange(self._order_channel, request, self._timeout))

    async def close(self) -> None:
        """Close both connections."""
        await self._watch_channel.close()
        await self._order_channel.close()

    async def _exchange(
        self,
        channel: Channel,
        request: Request,
        timeout: float,
        check: Callable[[], bool] | None = None,
    ) -> Answer:
        try:
            return await channel.exchange(request, timeout, check)
        except ExchangeError as error:
            verdict = Verdict.UNKNOWN if error.sent else Verdict.NOT_RUN
            raise WorkerError(f'{error}', verdict) from error

    def _check_status(self, answer: Answer) -> None:
        if answer.status != HTTP_OK:
            raise WorkerError(f'the worker answered {answer.status}', Verdict.UNKNOWN)
