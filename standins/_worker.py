"""A stand-in for a worker, served over HTTP, with faults.

It records what ran when, and with which resources; tests check these records.
"""

import time
from contextlib import AsyncExitStack

import msgspec

from dandelionreel.backing import (
    NO_RESOURCES,
    HostEntry,
    LeaseRenewal,
    MemoryTask,
    MemoryWorker,
    Resources,
    TaskOrder,
    WorkerError,
)
from dandelionreel.http import Request, Response, Server, json_response, problem_response
from dandelionreel.kernel import Problem
from standins._faults import FaultSwitch

MILLISECONDS_PER_SECOND = 1000
HTTP_CREATED = 201
HTTP_CONFLICT = 409
FAULTS = '/control/faults'
RECORD = '/control/record'
TASKS = '/v1/tasks'


class RunRecord(msgspec.Struct):
    """One start on this worker. Times are monotonic seconds."""

    worker: str
    task: str
    job: str
    attempt: int
    customer: str
    owner: str
    epoch: int
    demand: Resources
    started_at: float
    ended_at: float = 0
    outcome: str = ''


class WorkerRecord(msgspec.Struct):
    """All starts, and the highest use of each resource."""

    worker: str
    capacity: Resources
    most: Resources
    runs: list[RunRecord]


class WorkerStandIn(FaultSwitch):
    """A worker on its own port."""

    def __init__(self, entry: HostEntry) -> None:
        """Prepare the worker that ``entry`` describes."""
        super().__init__()
        self.entry = entry
        self._worker = MemoryWorker(entry)
        self._worker.add_watcher(self._record_change)
        self._run_by_task: dict[str, RunRecord] = {}
        self._in_use = NO_RESOURCES
        self._peak_usage = NO_RESOURCES

    async def start(self, stack: AsyncExitStack) -> None:
        """Listen until the stack closes."""
        await Server(self.handle).start(stack, self.entry.address, self.entry.port)

    async def handle(self, request: Request) -> Response:
        """Answer one request."""
        if request.path == FAULTS:
            answer = self.replace_faults(request)
            self._worker.fails_all = self.faults.fail_tasks
            return answer
        if request.path == RECORD:
            runs = list(self._run_by_task.values())
            return json_response(
                WorkerRecord(self.entry.name, self.entry.capacity, self._peak_usage, runs),
            )
        await self.faults.apply_before()
        try:
            answer = await self._dispatch(request)
        except WorkerError as error:
            problem = Problem(error.verdict, HTTP_CONFLICT, 'refused', f'{error}')
            return problem_response(problem)
        self.faults.apply_after()
        return answer

    async def _dispatch(self, request: Request) -> Response:
        if request.path == TASKS:
            query = request.query_by_name
            wait = int(query.get('wait_ms', '0')) / MILLISECONDS_PER_SECOND
            return json_response(await self._worker.list_tasks(int(query.get('after', '-1')), wait))
        if request.path == '/v1/leases':
            await self._worker.renew_leases(msgspec.json.decode(request.body, type=LeaseRenewal))
            return json_response({})
        task_path = request.path.removeprefix(f'{TASKS}/')
        if request.method == 'PUT':
            order = msgspec.json.decode(request.body, type=TaskOrder)
            await self._worker.start_task(task_path, order, 0, _always)
            return json_response({}, HTTP_CREATED)
        task_id, _, action = task_path.rpartition('/')
        await self._worker.apply_action(task_id, action)
        return json_response({})

    def _record_change(self, task: MemoryTask) -> None:
        order = task.order
        if task.outcome:
            run = self._run_by_task[task.id]
            run.ended_at = time.monotonic()
            run.outcome = task.outcome
            self._in_use -= order.demand
            return
        self._run_by_task[task.id] = RunRecord(
            self.entry.name,
            task.id,
            order.job,
            order.attempt,
            order.customer,
            order.owner,
            order.epoch,
            order.demand,
            time.monotonic(),
        )
        self._in_use += order.demand
        self._peak_usage = self._peak_usage.at_least(self._in_use)


def _always() -> bool:
    return True
