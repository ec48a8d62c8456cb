"""Steps that check every plug-in of an interface in the same way."""

from contextlib import AsyncExitStack

import curio
import msgspec
from behave import given, then, when

from dandelionreel.backing import (
    HostEntry,
    HostListError,
    LeaseRenewal,
    LogError,
    LogTruncatedError,
    Resources,
    StreamReader,
    StreamWriter,
    TaskOrder,
    WorkerError,
)
from dandelionreel.http import Server
from dandelionreel.kernel import (
    Endpoint,
    PluginKind,
    StaticHost,
    SystemClock,
    Verdict,
    plugins,
)
from standins._faults import Faults
from standins._hosts import HostsStandIn
from standins._log import LogStandIn
from standins._worker import WorkerStandIn

TIMEOUT = 1.0


class Number(msgspec.Struct, frozen=True, tag='number'):
    """A record type for these scenarios."""

    number: int


@given('a log by the {plugin} plug-in')
def use_log(context, plugin):
    context.plugin = plugin
    context.faults = Faults()
    context.server_stopped = False


@given('a log by the {plugin} plug-in whose server was stopped')
def use_stopped_log(context, plugin):
    use_log(context, plugin)
    context.server_stopped = True


@when('the log has the fault {fault}')
def set_fault(context, fault):
    context.faults = msgspec.json.decode(fault, type=Faults)


def _run_with_log(context, check):
    async def run():
        async with AsyncExitStack() as stack:
            standin = LogStandIn()
            server = Server(standin.handle)
            async with AsyncExitStack() as listening:
                await server.start(listening, '127.0.0.1', 0)
                endpoint = Endpoint('127.0.0.1', server.port)
                log = plugins.create(PluginKind.LOG, context.plugin, endpoint, TIMEOUT)
                stack.push_async_callback(log.close)
                standin.faults = context.faults
                memory_log = log if context.plugin == 'memory' else standin.log
                if not context.server_stopped:
                    return await check(log, memory_log)
            return await check(log, memory_log)

    return curio.run(run)


@then('offsets are consecutive and a read returns what was appended')
def check_offsets(context):
    async def check(log, memory_log):
        assert [await log.append('s', [b'1']) for _ in range(3)] == [0, 1, 2]
        batch = await log.read('s', 1, 0)
        assert (batch.records, batch.tail) == ((b'1', b'1'), 3)
        assert batch.reached_tail

    _run_with_log(context, check)


@then('a read at the tail waits and returns nothing')
def check_tail(context):
    async def check(log, memory_log):
        batch = await log.read('s', 0, 0.05)
        assert batch.records == () and batch.reached_tail

    _run_with_log(context, check)


@then('records of one append are consecutive and in order')
def check_together(context):
    async def check(log, memory_log):
        async with curio.TaskGroup() as group:
            for start in (10, 20, 30):
                await group.spawn(log.append, 's', [b'%d' % (start + index) for index in range(5)])
        records = [int(text) for text in (await log.read('s', 0, 0)).records]
        for first_index in range(0, 15, 5):
            group = records[first_index : first_index + 5]
            assert group == list(range(group[0], group[0] + 5)), records

    _run_with_log(context, check)


@then('a read before the oldest record fails with the oldest available offset')
def check_truncated(context):
    async def check(log, memory_log):
        await log.append('s', [b'1'] * 5)
        memory_log.stream('s').truncate(3)
        try:
            await log.read('s', 1, 0)
        except LogTruncatedError as error:
            assert error.first == 3
        else:
            raise AssertionError('no error')

    _run_with_log(context, check)


@then('an append fails with verdict {verdict} and took effect: {effect}')
def check_append_fails(context, verdict, effect):
    async def check(log, memory_log):
        try:
            await log.append('s', [b'1'])
        except LogError as error:
            assert error.verdict is Verdict(verdict), error.verdict
        else:
            raise AssertionError('no error')
        assert memory_log.stream('s').tail == (1 if effect == 'yes' else 0)

    _run_with_log(context, check)


@then('{count:d} records written at once are each processed once and in order')
def check_processed_once(context, count):
    async def check(log, memory_log):
        clock = SystemClock()
        reader = StreamReader(log, 's', clock, Number)
        processed = []
        reader.add_handler(
            lambda record, position: processed.append(record.number), processed.clear
        )
        writer = StreamWriter(log, reader, 'me', clock)
        tasks = [await curio.spawn(reader.run, 0.2), await curio.spawn(writer.run)]
        async with curio.TaskGroup() as group:
            for number in range(count):
                await group.spawn(writer.write, Number(number), 10)
        for task in tasks:
            await task.cancel()
        assert processed == list(range(count)), processed
        # Before a retry, the writer reads the log again, so no record is stored twice.
        assert memory_log.stream('s').tail == count
        assert context.faults.lose_answers < 3

    _run_with_log(context, check)


@given('a worker by the {plugin} plug-in')
def use_worker(context, plugin):
    context.plugin = plugin


def _run_with_worker(context, check):
    async def run():
        async with AsyncExitStack() as stack:
            capacity = Resources(4, 4096, 0)
            entry = HostEntry('w', 'worker', 'z', '127.0.0.1', 0, capacity=capacity)
            if context.plugin == 'http':
                server = Server(WorkerStandIn(entry).handle)
                await server.start(stack, '127.0.0.1', 0)
                entry = msgspec.structs.replace(entry, port=server.port)
            worker = plugins.create(PluginKind.WORKERS, context.plugin, entry, TIMEOUT)
            stack.push_async_callback(worker.close)
            return await check(worker)

    return curio.run(run)


def _make_order(command, lease_ms=5000):
    return TaskOrder(Resources(1, 128, 0), command, lease_ms, 'me', 1, 'c', 'j', 1, 'batch')


async def _wait_for_outcome(worker, task_id, seconds=3.0):
    waited = 0.0
    while waited < seconds:
        for status in (await worker.list_tasks(-1, 0)).tasks:
            if status.id == task_id and not status.is_running:
                return status.outcome
        await curio.sleep(0.05)
        waited += 0.05
    return ''


def _always_allowed():
    return True


@then('a started task runs, is listed, and ends with its outcome')
def check_runs(context):
    async def check(worker):
        await worker.start_task('a', _make_order('run 0.2'), TIMEOUT, _always_allowed)
        await worker.start_task('b', _make_order('fail 0.1'), TIMEOUT, _always_allowed)
        listed = {status.id: status.is_running for status in (await worker.list_tasks(-1, 0)).tasks}
        assert listed == {'a': True, 'b': True}
        assert await _wait_for_outcome(worker, 'a') == 'succeeded'
        assert await _wait_for_outcome(worker, 'b') == 'failed'

    _run_with_worker(context, check)


@then('a second start with the same id is refused with verdict not_run')
def check_second(context):
    async def check(worker):
        await worker.start_task('a', _make_order('run 1'), TIMEOUT, _always_allowed)
        await _check_refused(worker, 'a')

    _run_with_worker(context, check)


async def _check_refused(worker, task_id):
    try:
        await worker.start_task(task_id, _make_order('run 1'), TIMEOUT, _always_allowed)
    except WorkerError as error:
        assert error.verdict is Verdict.NOT_RUN
    else:
        raise AssertionError('not refused')


@then('a start that arrives after its stop is refused')
def check_tombstone(context):
    async def check(worker):
        await worker.apply_action('late', 'stop')
        await _check_refused(worker, 'late')

    _run_with_worker(context, check)


@then('a task whose lease is not renewed lapses')
def check_lapses(context):
    async def check(worker):
        await worker.start_task('a', _make_order('run 30', lease_ms=300), TIMEOUT, _always_allowed)
        assert await _wait_for_outcome(worker, 'a') == 'lapsed'

    _run_with_worker(context, check)


@then('a task whose lease is renewed runs to its end')
def check_renewed(context):
    async def check(worker):
        await worker.start_task('a', _make_order('run 0.9', lease_ms=400), TIMEOUT, _always_allowed)
        for _ in range(6):
            await curio.sleep(0.15)
            await worker.renew_leases(LeaseRenewal('peer', 400, ('a',)))
        assert await _wait_for_outcome(worker, 'a') == 'succeeded'

    _run_with_worker(context, check)


HOSTS = (
    HostEntry('w1', 'worker', 'here', '127.0.0.1', 1, capacity=Resources(4, 4096, 0)),
    HostEntry('e1', 'entry', 'elsewhere', '127.0.0.1', 2),
)


@given('a host list by the {plugin} plug-in with a worker and an entry host elsewhere')
def use_hosts(context, plugin):
    context.plugin = plugin


def _run_with_hosts(context, check):
    async def run():
        async with AsyncExitStack() as stack:
            standin = HostsStandIn(HOSTS)
            server = Server(standin.handle)
            await server.start(stack, '127.0.0.1', 0)
            static = tuple(
                StaticHost(one.name, one.kind, one.availability_zone, one.address, one.port)
                for one in HOSTS
            )
            hosts = plugins.create(
                PluginKind.HOSTS,
                context.plugin,
                Endpoint('127.0.0.1', server.port),
                TIMEOUT,
                static,
                'here',
            )
            stack.push_async_callback(hosts.close)
            return await check(hosts, standin)

    return curio.run(run)


@then('it returns both hosts, also while the list is unchanged')
def check_hosts(context):
    async def check(hosts, standin):
        for _ in range(3):
            found = await hosts.fetch_hosts()
            assert [one.name for one in found] == ['w1', 'e1'], found
            assert all(one.is_live for one in found)

    _run_with_hosts(context, check)


@then('a leaving worker is reported, a read in an outage fails, and the next one succeeds')
def check_hosts_change(context):
    async def check(hosts, standin):
        await hosts.fetch_hosts()
        standin.hosts = (msgspec.structs.replace(HOSTS[0], state='leaving'), HOSTS[1])
        assert [one.is_live for one in await hosts.fetch_hosts()] == [False, True]
        standin.faults = Faults(outage=True)
        try:
            await hosts.fetch_hosts()
        except HostListError:
            standin.faults = Faults()
        else:
            raise AssertionError('no error')
        assert [one.is_live for one in await hosts.fetch_hosts()] == [False, True]

    _run_with_hosts(context, check)
