"""Steps for incarnations of runners: calls, entries and ids."""

import errno
import json
import time
from contextlib import AsyncExitStack
from types import SimpleNamespace

import curio
import h11
from behave import given, then, when
from hypothesis import given as hypothesis_given
from hypothesis import settings, strategies

from dandelionreel.backing import HostEntry, MemoryWorker, Resources, TaskOrder
from dandelionreel.cell.model import (
    KeyedRecord,
    RecordBatch,
    RunnerError,
    RunnerReplaced,
    StartOrder,
    StartReply,
    StepName,
    TaskName,
    incarnation_id,
    runner_id,
)
from dandelionreel.cell.model._incarnations import find_later_incarnations
from dandelionreel.cell.model._model import JobState
from dandelionreel.cell.model._records import CrashedRun, Progress, StoredStart
from dandelionreel.cell.store._runner_projection import RunnerProjection
from dandelionreel.http import (
    Connection,
    ConnectionBrokenError,
    ExchangeError,
    Request,
    Response,
    Server,
    json_response,
)
from dandelionreel.kernel import ManualClock, Verdict
from dandelionreel.ownership import Grant, GrantLevel
from dandelionreel.platform import Address, HttpAdvice, HttpRunner, JsonRecordCodec
from dandelionreel.workers import WorkerAgent
from features.cell_parts import SmallCell, make_registration, step, task
from features.store_parts import journal
from standins import UsersPlatform

EPOCH = 3
LEASE = 8.0
JOB = f'{1:016x}'


def make_order(runner_clock, index, run):
    return StartOrder(TaskName(JOB, 0, 0, index), run, '500 0.05', EPOCH, runner_clock + LEASE)


@given('a runner that has run a task and is known from its entry')
def known_runner(context):
    context.platform = UsersPlatform(1, reports_incarnation=True)
    context.platform.start()
    context.stack.callback(context.platform.stop)
    (context.runner,) = context.platform.runners
    context.client = HttpRunner(read_entry(context))
    curio.run(run_and_forget_task, context)


def read_entry(context):
    content = json.dumps(context.platform.entry_of(context.runner)).encode()
    return JsonRecordCodec().decode_registration(context.runner.name, content)


async def run_and_forget_task(context):
    """Run a task on the runner and acknowledge its end, then close the connections."""
    client = HttpRunner(read_entry(context))
    answer = await client.start_task(make_order(context.runner.clock(), 0, 1), lambda: True)
    assert answer.reply is StartReply.STARTED, answer
    view = await client.poll(EPOCH, 0, None, 1.0)
    assert [end.number for end in view.ended] == [1], view
    await client.poll(EPOCH, 1, None, 0)
    await client.close()


async def send(client, call, clock):
    """Send a call; return its result, or the error that it raised."""
    try:
        if 'start' in call:
            return (await client.start_task(make_order(clock, 2, 9), lambda: True)).reply
        if 'stop' in call:
            return await client.stop_run(TaskName(JOB, 0, 0, 1), 2, EPOCH)
        return await client.poll(EPOCH, 10, clock + LEASE, 0)
    except (RunnerReplaced, RunnerError) as error:
        return error


def restart(context):
    context.runner.crash()
    time.sleep(0.05)
    context.runner.restart()


@when(
    'it restarts, runs another task to its end, and {call} intended for the former process is sent'
)
def call_former_process(context, call):
    async def call_all():
        if 'opened before' in call:
            # Opens the connection for polls and the three connections for orders.
            await context.client.poll(EPOCH, 0, None, 0)
            for _ in range(3):
                await context.client.stop_run(TaskName(JOB, 0, 0, 7), 1, EPOCH)
        restart(context)
        await run_to_end()
        clock = context.runner.clock() + 1000
        for _ in range(4):
            context.result = await send(context.client, call, clock)
            if not isinstance(context.result, RunnerError):
                break
            # The connection broke; the next try reaches the new process.
        await context.client.close()

    async def run_to_end():
        """Start two tasks on the new process, as its owner does."""
        client = HttpRunner(read_entry(context))
        for index, spec in ((0, '500 0.01'), (1, '500 5')):
            order = make_order(context.runner.clock(), index, 2)
            await client.start_task(
                StartOrder(order.task, 2, spec, EPOCH, order.lease_until), lambda: True
            )
        await client.close()

    curio.run(call_all)


@when('{what} on an open connection, by a start that {checks} the runner first')
def break_start(context, what, checks):
    runner, silent_path = context.runner, ''
    if 'never answered' in what:
        silent_path = '/v1/hold' if 'check' in what else '/v1/run-start'
    payload = '500 5 crash' if 'is crashed' in what else '500 5'
    order = StartOrder(
        TaskName(JOB, 0, 0, 2),
        9,
        payload,
        EPOCH,
        runner.clock() + LEASE,
        verify_peer=checks == 'checks',
    )
    handle = runner.handle

    async def handle_unless_silent(request):
        if request.path == silent_path:
            await curio.Event().wait()
        runner.override_handler = None
        try:
            return await handle(request)
        finally:
            runner.override_handler = handle_unless_silent

    async def start():
        for _ in range(3):
            await context.client.stop_run(TaskName(JOB, 0, 0, 7), 1, EPOCH)
        if 'has ended' in what:
            runner.crash(is_dark=True)
            runner.restart()
        if silent_path:
            runner.override_handler = handle_unless_silent
        try:
            await context.client.start_task(order, lambda: True)
        finally:
            await context.client.close()

    try:
        context.result = curio.run(start)
    except RunnerError as error:
        context.result = error


@then('the start {sent}, and the runner {lived} when it was sent')
def check_broken_start(context, sent, lived):
    error = context.result
    assert isinstance(error, RunnerError), error
    assert error.verdict is (Verdict.NOT_RUN if 'not sent' in sent else Verdict.UNKNOWN)
    assert error.was_alive is (lived == 'lived'), error
    runs = [run for run in context.platform.runs if run.number == 9]
    assert not runs or error.verdict is Verdict.UNKNOWN, runs


class FailingSocket:
    """Socket that accepts a request and reports an error in place of the answer."""

    def __init__(self, number):
        self.number = number

    async def sendall(self, payload):
        """Accept the request."""

    async def recv(self, size):
        """Report the error."""
        raise OSError(self.number, 'error')

    async def close(self):
        """Close the socket."""


@given('a connection on which the kernel reports {name} to a request')
def kernel_error(context, name):
    connection = Connection('127.0.0.1', 1, 100)
    connection._sock = FailingSocket(getattr(errno, name))
    connection._http = h11.Connection(h11.CLIENT)
    try:
        curio.run(connection.exchange, Request('POST', '/v1/run-start'), 1.0)
    except ExchangeError as error:
        context.result = error


@then('its peer {was}')
def check_kernel_error(context, was):
    assert context.result.sent
    assert isinstance(context.result, ConnectionBrokenError) is (was == 'has broken it')


@then('the caller learns that the runner was replaced')
def check_replaced(context):
    assert context.result is StartReply.REPLACED or isinstance(context.result, RunnerReplaced), (
        context.result
    )


@then('the new process has started, stopped, renewed and acknowledged nothing')
def check_new_process_unaffected(context):
    async def poll_runner():
        client = HttpRunner(read_entry(context))
        view = await client.poll(EPOCH, 0, None, 0)
        await client.close()
        return view

    time.sleep(0.2)
    view = curio.run(poll_runner)
    assert [end.number for end in view.ended] == [1], view
    assert [running.task.index for running in view.running] == [1], view
    assert {run.task for run in context.platform.runs if run.number == 9} == set()
    lease = context.runner._deadline - context.runner.clock()
    assert lease <= LEASE, lease


@when('it restarts, registers, and a start is sent to the address in its new entry')
def start_on_new_process(context):
    async def start():
        client = HttpRunner(read_entry(context))
        context.result = await send(client, 'a start', context.runner.clock())
        await client.close()

    restart(context)
    curio.run(start)


@then('the start is answered, and the new process has run it')
def check_new_process_ran_task(context):
    assert context.result is StartReply.STARTED, context.result
    assert [run.number for run in context.platform.collect_runs()] == [1, 9]


@when('it does not answer, and a start is sent')
def start_on_silent_runner(context):
    async def start():
        context.result = await send(context.client, 'a start', context.runner.clock())
        await context.client.close()

    context.runner.is_down = True
    curio.run(start)


@then('the caller learns that the start was not executed')
def check_not_run(context):
    assert isinstance(context.result, RunnerError), context.result
    assert context.result.verdict is Verdict.NOT_RUN, context.result.verdict


@when('it {behavior}, and {call} is sent')
def answer_invalidly(context, behavior, call):
    async def handle(request):
        if 'half' in behavior:
            return Response(200, (), b'{"clock_ms": 5')
        return json_response({'clock_ms': 5, 'born': 'soon', 'running': [], 'finished': []})

    async def send_call():
        context.result = await send(context.client, call, context.runner.clock())
        await context.client.close()

    context.runner.reports_incarnation = False
    if 'stops' not in behavior:
        context.runner.override_handler = handle
    curio.run(send_call)


@then('the caller learns that the answer was invalid and that nothing was executed')
def check_unusable_answer(context):
    check_not_run(context)
    assert not context.platform.runs[1:], context.platform.runs


# Entries

ENTRY = {
    'service': 'desk',
    'address': '10.0.0.1:80',
    'zone': 'north',
    'version': 'v1',
    'slots': 8,
    'state': 'ready',
    'cold_left_ms': 0,
    'sequence': 1,
    'capacity': {'cpu': 8000, 'mem_mb': 100, 'gpu': 0},
    'labels': ['a', 'r-1'],
}


def make_record(entry):
    if entry == 'no entry any more':
        return KeyedRecord('i-1', None)
    fields = dict(ENTRY)
    if 'elsewhere' in entry:
        fields['address'] = '10.0.0.2:80'
    _, _, born = entry.removesuffix(' elsewhere').partition(' born at ')
    if born:
        fields['born'] = json.loads(born)
    return KeyedRecord('i-1', json.dumps(fields).encode())


def read_entry_record(context, entry):
    context.projection.apply(RecordBatch((make_record(entry),), 1, 1))


@given('a host that knows i-1 from {entry}')
def read_first_entry(context, entry):
    context.projection = RunnerProjection(JsonRecordCodec(), ManualClock(), journal())
    read_entry_record(context, entry)


@when('{entry} of i-1 follows')
def read_next_entry(context, entry):
    read_entry_record(context, entry)


@then('the host lists {expected}')
def check_listed_runners(context, expected):
    incarnation, _, unusable = expected.partition(', ')
    found = context.projection.registration_by_id
    if incarnation == 'nothing':
        assert not found, found
        return
    assert list(found) == [incarnation], found
    assert found[incarnation].usable is not bool(unusable), found
    assert found[incarnation].runner == incarnation, found


@then('{incarnation} is known as removed, with its address')
def check_removed(context, incarnation):
    assert incarnation in context.projection.removed_by_id
    assert context.projection.find_registration(incarnation).address == '10.0.0.1'


# Successors


@given('a successor that has not polled i-1@7, on which a task may run')
def start_successor(context):
    crashed, starts = (CrashedRun(0, 0, 0, 1),), (StoredStart(0, 0, 0, 2, 'i-1@7'),)
    progress = Progress(1, JobState.RUNNING, (), (), 0, ('i-1@7',), crashed, starts)
    context.small = SmallCell((), epoch=2)
    context.small.cell.unseen_runners.add('i-1@7')
    context.job = context.small.add_job('j1', [step()], progress=progress)


@when('an entry of {incarnation} is read')
def read_incarnation_entry(context, incarnation):
    small = context.small
    small.registration_by_id[incarnation] = make_registration(incarnation)
    small.update_runners()


@when('{incarnation} has answered')
def answer_poll(context, incarnation):
    read_incarnation_entry(context, incarnation)
    context.small.poll(incarnation)


@then('the task {state}, with {count:d} crashes')
def check_task_state(context, state, count):
    cell = context.small.cell
    cell.drop_unseen_runners(cell.find_replaced_runners())
    assert cell.is_blocked(context.job) is (state == 'is not started'), cell.unseen_runners
    # One crash was counted before.
    assert context.job.crashes.count(task('j1')) == 1 + count, context.job.crashes.crashed
    assert len(context.small.plan().starts) == (state == 'may start')


# Workers with the native worker API


class RestartingWorker:
    """A worker that can restart, behind a client that reconnects by itself."""

    def __init__(self, clock):
        self.clock = clock
        self.full_lists = 0
        self.restart()

    def restart(self):
        entry = HostEntry('w-1', 'worker', 'north', '127.0.0.1', 1)
        self.process = MemoryWorker(entry, clock=self.clock)
        self.entry = entry

    async def start_task(self, name):
        order = TaskOrder(Resources(1000), 'run 600', 900_000)
        await self.process.start_task(name, order, 0, lambda: True)

    async def list_tasks(self, after, wait):
        listing = await self.process.list_tasks(after, 0)
        self.full_lists += not listing.unchanged
        return listing


@given('an owner that has listed a worker with one task, at revision 1')
def worker_listed(context):
    context.clock = ManualClock()
    context.worker = RestartingWorker(context.clock)
    authority = SimpleNamespace(current_grant=lambda shard: Grant(GrantLevel.WHOLE, 1))
    settings = SimpleNamespace(timings=SimpleNamespace(lease=6.0))
    context.agent = WorkerAgent(
        'me/1', context.worker.entry, context.worker, authority, settings, context.clock, journal()
    )

    async def watch():
        await context.worker.start_task('j1.1.0')
        context.revision = await context.agent._watch_tasks(-1)

    curio.run(watch)
    assert context.revision == 1, context.revision


async def watch_twice(context):
    for _ in range(2):
        context.revision = await context.agent._watch_tasks(context.revision)


@when('the worker restarts within {seconds:g} s, starts another task and is polled twice')
def worker_restarts(context, seconds):
    async def continue_watching():
        context.clock.now += 50
        await context.agent._watch_tasks(context.revision)
        context.clock.now += seconds
        context.worker.restart()
        context.clock.now += 0.05
        await context.worker.start_task('j2.1.0')
        await watch_twice(context)

    curio.run(continue_watching)


@when('it is polled twice without a change')
def worker_unchanged(context):
    async def continue_watching():
        for _ in range(2):
            context.clock.now += 4
            context.revision = await context.agent._watch_tasks(context.revision)

    curio.run(continue_watching)


@then("only the task of the new process is in the worker's ledger")
def check_only_new_task_held(context):
    assert [allocation.task_id for allocation in context.agent.ledger.allocations()] == ['j2.1.0']


@then('its tasks were listed in full only once')
def check_listed_once(context):
    assert context.worker.full_lists == 1, context.worker.full_lists


# Ids


@given("any runner's id and any start")
def draw_ids(context):
    context.ids = strategies.text('@i-1', max_size=6)
    context.starts = strategies.none() | strategies.integers(1, 12)


@then("the incarnation's id gives the runner's id back, and differs for each start")
def check_ids_reversible(context):
    @settings(max_examples=400, database=None, derandomize=True)
    @hypothesis_given(context.ids, context.starts, context.ids, context.starts)
    def check(runner, started, other, other_started):
        incarnation = incarnation_id(runner, started)
        assert runner_id(incarnation) == runner
        same = (runner, started) == (other, other_started)
        assert (incarnation == incarnation_id(other, other_started)) is same

    check()


@given('any names in the store')
def draw_names(context):
    starts = strategies.integers(0, 10**18).map(str) | strategies.sampled_from(
        ['', 'x', '\u0663', '9' * 5000]
    )
    context.names = strategies.builds('{}@{}'.format, strategies.sampled_from(['i', 'i@']), starts)
    context.names |= strategies.text('@i9', max_size=4)


@then('a name counts as a later incarnation of another only because of its start time')
def check_later_by_start(context):
    @settings(max_examples=400, database=None, derandomize=True)
    @hypothesis_given(
        strategies.lists(context.names, max_size=3), strategies.lists(context.names, max_size=3)
    )
    def check(names, others):
        for name, later in find_later_incarnations(names, others).items():
            assert runner_id(name) == runner_id(later)
            assert int(later.rpartition('@')[2]) > int(name.rpartition('@')[2])

    check()


@given('a policy service that allows every runner that it is asked about')
def policy_service(context):
    context.requested_runners = []


@when('it is asked about i-1@7 and i-2')
def ask_policy(context):
    async def answer(request):
        context.requested_runners = json.loads(request.body)['workers']
        allowed = [[runner, f't-{runner}'] for runner in context.requested_runners]
        return json_response({'allowed': [*allowed, ['i-3', 't-strange']]})

    async def ask():
        async with AsyncExitStack() as stack:
            server = Server(answer)
            await server.start(stack, '127.0.0.1', 0)
            advice = HttpAdvice(Address('127.0.0.1', server.port))
            permits = await advice.request_permits(StepName(JOB, 0, 0), ('i-1@7', 'i-2'), 1.0)
            await advice.close()
            return permits

    context.permits = curio.run(ask)


@then('it was asked about i-1 and i-2, and permits i-1@7 and i-2')
def check_permits(context):
    assert context.requested_runners == ['i-1', 'i-2'], context.requested_runners
    assert [(permit.runner, permit.ticket) for permit in context.permits] == [
        ('i-1@7', 't-i-1'),
        ('i-2', 't-i-2'),
    ]
