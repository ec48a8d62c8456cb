"""Steps on odd entries that another writer has left in lists of the platform."""

import json
from contextlib import AsyncExitStack

import curio
import msgspec
from behave import given, then, when

from dandelionreel.backing import (
    Envelope,
    HostEntry,
    HttpHostList,
    HttpLog,
    HttpWorker,
    Resources,
    StreamReader,
    WorkerError,
)
from dandelionreel.http import Response, Server
from dandelionreel.kernel import Endpoint, SystemClock, Verdict
from features.cells import contract, job
from features.steps.interface_steps import Number
from features.steps.platform_steps import make_job, start_hosts, submit_job, wait_for_state
from standins import Cluster, Layout, wait_for
from standins._cluster import wait_until
from standins._hosts import HostsStandIn
from standins._log import LogStandIn
from standins._other_writer import ODD_KEYS

ZONE = 'ub-east'
#: The third part of the loopback addresses of the entry hosts.
ADDRESS_BLOCK = 252
DAEMON_NAME = f'{ZONE}-d0'
WORKER = HostEntry('odd-1', 'worker', ZONE, '127.0.0.1', 7000, capacity=Resources(4, 4096, 0))


def nest(levels):
    return b'[' * levels + b']' * levels


def make_odd_entry(odd):
    """Return the entry of a worker with one odd field."""
    if odd == 'null':
        return b'null'
    field, odd_value = {
        'a value nested 400 deep': ('rack', nest(400)),
        'a value nested 100000 deep': ('more', nest(100_000)),
        'port 99999': ('port', b'99999'),
        'a port of 400 digits': ('port', b'9' * 400),
        'a port of 5000 digits': ('port', b'9' * 5000),
        'an address that is a name': ('address', b'"worker.example"'),
        'a capacity of 1e308': ('capacity', b'{"processors":1e308}'),
        'text that is not UTF-8': ('rack', b'"\xff"'),
    }[odd]
    fields = {**msgspec.to_builtins(WORKER), field: '@'}
    return json.dumps(fields).encode().replace(b'"@"', odd_value)


@given('a daemon whose host list has an odd entry: {odd}')
def start_daemon_with_odd_entry(context, odd):
    cell = Cluster(Layout(zones=(ZONE,)))
    context.stack.push(cell.__exit__)
    cell.start_standins()
    cell.set_other_entries(make_odd_entry(odd))
    cell.start(DAEMON_NAME)
    context.odd_cell = cell


@then('it is ready, runs a job and counts 1 unusable host')
def check_daemon_works(context):
    cell = context.odd_cell
    cell.wait_ready(DAEMON_NAME)
    cell.wait_ownership_stable()
    assert cell.publish(contract()).status == 200
    assert cell.submit(DAEMON_NAME, job()).status == 202
    assert wait_until(lambda: any(run['outcome'] == 'succeeded' for run in cell.runs()))
    assert wait_until(lambda: b'unusable_hosts 1.0' in read_metrics(cell))
    assert cell.log_of(DAEMON_NAME).count('of the entries of the host list cannot be used') == 1


def read_metrics(cell):
    return cell.try_get(cell.daemons[DAEMON_NAME], '/metrics').body


@then('it learns that another host leaves')
def check_list_followed(context):
    cell = context.odd_cell
    leaving = msgspec.structs.replace(cell.hosts[0], state='leaving')
    cell.replace_hosts([leaving, *cell.hosts[1:]])
    assert wait_until(lambda: f'{leaving.name} is leaving' in cell.log_of(DAEMON_NAME))


@when('the entry of a listed worker becomes odd, and then valid: {odd}')
def change_entry(context, odd):
    other = msgspec.structs.replace(WORKER, name='w2')
    changed = msgspec.structs.replace(WORKER, port=7007)
    entries = (msgspec.json.encode(WORKER), make_odd_entry(odd), msgspec.json.encode(changed))
    context.known_ports = []

    async def run():
        async with AsyncExitStack() as stack:
            standin = HostsStandIn((other,))
            server = Server(standin.handle)
            await server.start(stack, '127.0.0.1', 0)
            hosts = HttpHostList(Endpoint('127.0.0.1', server.port), 5.0)
            stack.push_async_callback(hosts.close)
            for entry in entries:
                standin.other_entries = [entry]
                found = {host.name: host for host in await hosts.fetch_hosts()}
                assert found[other.name] == other, found
                context.known_ports.append(found[WORKER.name].port)

    curio.run(run)


@then('its last known entry is kept in between')
def check_entry_kept(context):
    assert context.known_ports == [WORKER.port, WORKER.port, 7007], context.known_ports


def make_record(number, body=b'{"type":"number","number":7}'):
    return msgspec.json.encode(Envelope('me', number, 1.0, msgspec.Raw(body)))


ODD_RECORDS = {
    'a body nested 100000 deep': make_record(2, nest(100_000)),
    'an envelope nested 1000 deep': nest(1000),
    'a number of 5000 digits': make_record(2, b'{"type":"number","number":%b}' % (b'9' * 5000)),
    'text that is not UTF-8': make_record(2, b'{"type":"\xff"}'),
}


@when('an odd record is read between two valid ones: {odd}')
def read_odd_record(context, odd):
    context.processed = []

    async def run():
        async with AsyncExitStack() as stack:
            standin = LogStandIn()
            server = Server(standin.handle)
            await server.start(stack, '127.0.0.1', 0)
            log = HttpLog(Endpoint('127.0.0.1', server.port), 5.0)
            stack.push_async_callback(log.close)
            await standin.log.append('s', [make_record(1), ODD_RECORDS[odd], make_record(3)])
            context.reader = StreamReader(log, 's', SystemClock(), Number)
            context.reader.add_handler(
                lambda record, position: context.processed.append(position.offset), list
            )
            await context.reader.read_once(0)

    curio.run(run)


@then('both are processed and 1 unreadable record is counted')
def check_records(context):
    assert context.processed == [0, 2], context.processed
    assert (context.reader.unreadable, context.reader.offset) == (1, 3)


@when('a body nested {levels:d} deep is sent to {path}')
def send_nested_body(context, levels, path):
    cell = context.cell
    is_for_operator = path.startswith('/v1/contracts')
    send = cell.request_as_operator if is_for_operator else cell.request_as_caller
    context.reply = send(DAEMON_NAME, 'POST', path, b'{"contract":%b}' % nest(levels))


@then('it is refused as not_run with a status of 4xx')
def check_body_refused(context):
    assert context.reply.status // 100 == 4, context.reply
    assert context.reply.json()['verdict'] == 'not_run', context.reply


ODD_TASK_LISTS = {
    'a value nested 100000 deep': b'{"revision":1,"tasks":[],"more":%b}' % nest(100_000),
    'a revision of 5000 digits': b'{"revision":%b,"tasks":[]}' % (b'9' * 5000),
    'no tasks': b'{"revision":1}',
}


@when('a worker lists its tasks with {odd}')
def list_odd_tasks(context, odd):
    async def answer(request):
        return Response(200, (), ODD_TASK_LISTS[odd])

    async def run():
        async with AsyncExitStack() as stack:
            server = Server(answer)
            await server.start(stack, '127.0.0.1', 0)
            worker = HttpWorker(msgspec.structs.replace(WORKER, port=server.port), 5.0)
            stack.push_async_callback(worker.close)
            await worker.list_tasks(-1, 0)

    context.attempt = lambda: curio.run(run)


@then('the list counts as not received')
def check_list_not_received(context):
    try:
        context.attempt()
    except WorkerError as error:
        assert error.verdict is Verdict.UNKNOWN, error
        return
    raise AssertionError('no WorkerError was raised')


def make_odd_contents(entry):
    """Return the contents of odd entries, made from the valid entry of a runner."""
    raw_values = [
        *(nest(levels) for levels in (500, 1000, 100_000)),
        *(b'9' * digits for digits in (400, 5000, 100_000)),
        *(b'1e999', b'-0', b'NaN', b'Infinity', b'18446744073709551616', b'"\xff"'),
        *(b'"127.0.0.1:%b"' % port for port in (b'0', b'65536', b'99999', b'-1')),
        b'"runner.example:7000"',
    ]
    contents = list(raw_values)
    for field in entry:
        fields = json.dumps({**entry, field: '@'}).encode()
        contents.extend(fields.replace(b'"@"', raw) for raw in raw_values)
    contents.append(b'%b,"more":%b}' % (json.dumps(entry).encode()[:-1], nest(100_000)))
    return contents


def put_odd_entries(context):
    """Write odd entries under the runner's id and under others; an odd one is the newest."""
    store, runner = context.platform.store, context.platform.runners[0]
    entry = context.platform.entry_of(runner)
    contents = make_odd_contents(entry)
    records = [(runner.name, content) for content in contents]
    records.extend((f'odd-{number}', content) for number, content in enumerate(contents))
    records.extend((key, json.dumps(entry).encode()) for key in ODD_KEYS)
    records.append((runner.name, nest(1000)))
    for key, content in records:
        store.put_raw('keyed.servers', bytes([len(key.encode())]) + key.encode() + content)


def run_jobs(context):
    """Run jobs, and return the names of the runners that ran their tasks."""
    context.first_run = len(context.platform.runs)
    for _ in range(4):
        context.last_job += 1
        submit_job(context, context.last_job, make_job(cpu=3000, count=3))
    for job_number in range(context.last_job - 3, context.last_job + 1):
        wait_for_state(context, job_number, 'completed')
    return {run.runner for run in context.platform.collect_runs()[context.first_run :]}


@given('two entry hosts and a runner whose entry has become odd in many ways')
def make_runner_entry_odd(context):
    start_hosts(context, 2, ADDRESS_BLOCK)
    context.last_job = 0
    put_odd_entries(context)


@when('the hosts start again from a snapshot with odd entries')
def restart_hosts(context):
    for name in context.hosts.names:
        context.hosts.kill(name)
    for name in context.hosts.names:
        context.hosts.start(name)
    context.hosts.wait_ready()


@then('jobs run on the other runners, and each host has counted the odd entries')
def check_other_runners_used(context):
    wait_for(lambda: all(count_unreadable(context, name) > 100 for name in context.hosts.names))
    odd_runner = context.platform.runners[0].name
    assert odd_runner not in run_jobs(context)
    for name in context.hosts.names:
        assert context.hosts.process_by_name[name].poll() is None, name
        assert 'Traceback' not in context.hosts.log_of(name)


def count_unreadable(context, name):
    lines = context.hosts.metrics(name).splitlines()
    prefix = 'dandelionreel_unreadable_records_total{'
    return sum(float(line.rpartition(' ')[2]) for line in lines if line.startswith(prefix))


@when('the runner writes its valid entry again')
def write_valid_entry(context):
    context.platform.register(context.platform.runners[0])


@then('jobs run on it')
def check_runner_used(context):
    odd_runner = context.platform.runners[0].name
    wait_for(lambda: odd_runner in run_jobs(context))
