"""Interface to the tasks of a worker, and its HTTP client."""

import abc
from collections.abc import Callable

import msgspec

from dandelionreel.backing._hosts import HostEntry
from dandelionreel.backing._resources import NO_RESOURCES, Resources
from dandelionreel.http import Channel, ExchangeError, Request, Response
from dandelionreel.kernel import JsonError, PluginKind, Verdict, decode_json, plugins

HTTP_OK = 200
HTTP_CREATED = 201
MILLISECONDS_PER_SECOND = 1000
ENDED = 'ended'


class TaskOrder(msgspec.Struct, frozen=True):
    """Description of a task to start.

    The worker stores ``owner`` and ``epoch`` with the task, so that a later owner of
    the worker can see who started it.
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
    """Status of a task as its worker reports it.

    ``state`` is running or ended; ``outcome`` is succeeded, failed, stopped
    or lapsed once it has ended.
    """

    id: str
    state: str
    order: TaskOrder
    outcome: str = ''
    used: Resources = NO_RESOURCES
    renewed_by: str = ''

    @property
    def is_running(self) -> bool:
        """Return whether the task still uses resources of the worker."""
        return self.state != ENDED


class TaskList(msgspec.Struct, frozen=True):
    """All running tasks and those that ended recently.

    The worker's history is complete for the last ``remembers_ms``: a task that was
    ordered within that time and is not listed has never started. A list with
    ``unchanged`` set has no tasks, as the caller already has this revision.
    """

    revision: int
    tasks: tuple[TaskStatus, ...]
    remembers_ms: int = 0
    unchanged: bool = False


class LeaseRenewal(msgspec.Struct, frozen=True):
    """Request body of a lease renewal; the worker ignores unknown task ids."""

    holder: str
    lease_ms: int
    task_ids: tuple[str, ...]


class WorkerError(Exception):
    """A request to a worker failed; ``verdict`` says whether it may have taken effect."""

    def __init__(self, message: str, verdict: Verdict) -> None:
        """Set the message and the verdict."""
        super().__init__(message)
        self.verdict = verdict


class WorkerService(abc.ABC):
    """Starts, lists and stops tasks on one worker and renews their leases."""

    @abc.abstractmethod
    async def start_task(
        self,
        task_id: str,
        order: TaskOrder,
        timeout: float,
        check: Callable[[], bool],
    ) -> None:
        """Start a task under a lease; raises ``WorkerError``.

        ``check`` is called right before the request is sent, which it can prevent.
        """

    @abc.abstractmethod
    async def list_tasks(self, after: int, wait: float) -> TaskList:
        """Return the task list, waiting up to ``wait`` seconds for a revision above ``after``.

        If there is none in that time, the list is marked as ``unchanged``.
        """

    @abc.abstractmethod
    async def renew_leases(self, renewal: LeaseRenewal) -> None:
        """Renew the leases of running tasks; unknown tasks are ignored."""

    @abc.abstractmethod
    async def apply_action(self, task_id: str, action: str) -> None:
        """Stop, checkpoint or throttle a task; raises ``WorkerError``."""

    @abc.abstractmethod
    async def close(self) -> None:
        """Close all connections."""


@plugins.register(PluginKind.WORKERS, 'http')
class HttpWorker(WorkerService):
    """Client of a worker over HTTP.

    One connection long-polls for changes, another one sends requests.
    """

    def __init__(self, entry: HostEntry, timeout: float) -> None:
        """Access the worker at the address of ``entry``."""
        self._watch_channel = Channel(entry.address, entry.port, 'workers')
        self._order_channel = Channel(entry.address, entry.port, 'workers')
        self._timeout = timeout

    async def start_task(
        self,
        task_id: str,
        order: TaskOrder,
        timeout: float,
        check: Callable[[], bool],
    ) -> None:
        """Start a task under a lease; raises ``WorkerError``."""
        request = Request('PUT', f'/v1/tasks/{task_id}', body=msgspec.json.encode(order))
        response = await self._send_request(self._order_channel, request, timeout, check)
        if response.status not in {HTTP_OK, HTTP_CREATED}:
            raise WorkerError(f'the worker refused ({response.status})', Verdict.NOT_RUN)

    async def list_tasks(self, after: int, wait: float) -> TaskList:
        """Return the task list, waiting up to ``wait`` seconds for a change."""
        target = f'/v1/tasks?after={after}&wait_ms={int(wait * MILLISECONDS_PER_SECOND)}'
        response = await self._send_request(
            self._watch_channel, Request('GET', target), self._timeout + wait
        )
        self._check_status(response)
        try:
            return decode_json(response.body, TaskList)
        except JsonError as error:
            raise WorkerError(
                f'the worker sent an unreadable list: {error}', Verdict.UNKNOWN
            ) from error

    async def renew_leases(self, renewal: LeaseRenewal) -> None:
        """Renew the leases of running tasks; unknown tasks are ignored."""
        request = Request('POST', '/v1/leases', body=msgspec.json.encode(renewal))
        self._check_status(await self._send_request(self._order_channel, request, self._timeout))

    async def apply_action(self, task_id: str, action: str) -> None:
        """Stop, checkpoint or throttle a task."""
        request = Request('POST', f'/v1/tasks/{task_id}/{action}')
        self._check_status(await self._send_request(self._order_channel, request, self._timeout))

    async def close(self) -> None:
        """Close both connections."""
        await self._watch_channel.close()
        await self._order_channel.close()

    async def _send_request(
        self,
        channel: Channel,
        request: Request,
        timeout: float,
        check: Callable[[], bool] | None = None,
    ) -> Response:
        try:
            return await channel.exchange(request, timeout, check)
        except ExchangeError as error:
            verdict = Verdict.UNKNOWN if error.sent else Verdict.NOT_RUN
            raise WorkerError(f'{error}', verdict) from error

    def _check_status(self, response: Response) -> None:
        if response.status != HTTP_OK:
            raise WorkerError(f'the worker returned status {response.status}', Verdict.UNKNOWN)
