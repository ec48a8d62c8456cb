"""Steps that stop entry hosts while clients use them."""

import random
import signal
import time
from threading import Thread

from behave import given, then, when

from features.cells import job
from features.steps.platform_steps import start_hosts
from standins import ClientPace, PersistentClients, encode_request

ADDRESS_BLOCK = 239
SEED = 31
#: The grace of the hosts of the stand-ins, in seconds.
GRACE_SECONDS = 4.0
#: Clients that send one request after the other, and clients that send their first one around
#: the time at which a stopping host has been removed by the balancer.
STEADY_CLIENTS = 4
LATE_CLIENTS = 16
FIRST_REQUESTS = (2.1, 3.0)
#: Seconds for which a process is paused, and for which it runs in between.
PAUSED_SECONDS = 0.12
RUNNING_SECONDS = 0.04


@given('{count:d} entry hosts, each with clients on kept connections')
def hosts_with_clients(context, count):
    start_hosts(context, count, ADDRESS_BLOCK)
    context.exchanges = []
    context.exits = {}
    context.exit_codes = []


def _pause_repeatedly(process):
    while process.poll() is None:
        process.send_signal(signal.SIGSTOP)
        time.sleep(PAUSED_SECONDS)
        process.send_signal(signal.SIGCONT)
        time.sleep(RUNNING_SECONDS)


def _make_paces(name):
    rng = random.Random(f'{SEED}/{name}')
    steady = [ClientPace() for _ in range(STEADY_CLIENTS)]
    return [*steady, *(ClientPace(rng.uniform(*FIRST_REQUESTS)) for _ in range(LATE_CLIENTS))]


def _stop_host(context, name, *, is_paused=False):
    process = context.hosts.process_by_name[name]
    clients = PersistentClients(
        context.hosts.client_address_of(name), lambda: process.poll() is not None, f'{SEED}/{name}'
    )
    clients.start(_make_paces(name))
    time.sleep(0.2)
    context.hosts.send_signal(name, signal.SIGTERM)
    stopped_at = time.monotonic()
    if is_paused:
        Thread(target=_pause_repeatedly, args=(process,), daemon=True).start()
    process.wait()
    context.exits[name] = (round(time.monotonic() - stopped_at, 2), process.returncode)
    context.exchanges.extend((name, exchange) for exchange in clients.join())
    context.hosts.start(name)
    context.hosts.wait_ready()


@when('the hosts are stopped one after the other {condition}')
def stop_in_series(context, condition):
    if 'store' in condition:
        context.platform.store.faults.delay = 0.15
    for name in context.hosts.names:
        _stop_host(context, name, is_paused='processor' in condition)


def _make_job_request(rng):
    path = '/v1/jobs'
    return path, encode_request('POST', path, job())


@when('{name} is stopped while clients submit jobs to it and the log is slow')
def stop_daemon(context, name):
    daemon = context.cell.daemons[name]
    clients = PersistentClients(
        (daemon.address, daemon.caller_port),
        lambda: daemon.process.poll() is not None,
        f'{SEED}/{name}',
        _make_job_request,
    )
    clients.start([ClientPace() for _ in range(STEADY_CLIENTS)])
    context.cell.set_log_faults(slow=0.3)
    context.cell.signal(name, signal.SIGTERM)
    context.exchanges = [(name, exchange) for exchange in clients.join()]


@then('each request that a host took was answered or refused')
def check_answered(context):
    cut = [(name, exchange) for name, exchange in context.exchanges if exchange.is_cut]
    assert not cut, (len(context.exchanges), cut)
    assert any(exchange.status for _, exchange in context.exchanges)


@then('each host has ended by itself within its grace')
def check_exits(context):
    for name, (seconds, status) in context.exits.items():
        assert status == 0 and seconds < GRACE_SECONDS, (name, seconds, status)
