"""Steps for client accounts on real entry hosts."""

import io
import time

from behave import given, then, when

from dandelionreel.cli._tool import main
from dandelionreel.kernel import Environment
from features.steps.platform_steps import make_job
from standins import (
    ANY_NAME,
    AccountRow,
    Cut,
    Cuts,
    EntryHosts,
    UsersPlatform,
    find_starts_over_quota,
    wait_for,
)

#: Block of addresses that no other feature uses.
ADDRESS_BLOCK = 201
COMPLETED = 'completed'
JOB_COUNT = 30


def start_hosts(context, *accounts):
    context.platform = UsersPlatform()
    context.hosts = EntryHosts(context.platform, 3, ADDRESS_BLOCK)
    for name in context.hosts.names:
        context.platform.add_relay(f'store-{name}', 'store')
    context.platform.start()
    context.stack.callback(context.platform.stop)
    context.platform.configure(1, accounts)
    context.stack.callback(context.hosts.close)
    for name in context.hosts.names:
        context.hosts.start(name)
    context.hosts.wait_ready()
    context.replies = []
    context.jobs = []


def submit_job(context, host, job, key, body=None):
    path = f'/plain/{job:016x}'
    context.jobs.append(path)
    reply = context.hosts.request(host, 'POST', path, body or make_job(), key=key)
    context.replies.append((reply.status, reply.body.get('title', '')))
    return reply


@given('3 entry hosts and the account blue with the key {key}')
def hosts_with_key(context, key):
    start_hosts(context, AccountRow('blue', (key,)))
    context.key = key


@given('3 entry hosts and the account blue with a quota of {cores:d} cores')
def hosts_with_quota(context, cores):
    start_hosts(context, AccountRow('blue', ('old',), 1000 * cores))
    context.key = 'old'


@given('3 entry hosts and the accounts blue and red')
def hosts_with_two(context):
    start_hosts(context, AccountRow('blue', ('old',)), AccountRow('red', ('other',)))
    context.key = 'old'


@when('jobs are submitted to all hosts while the keys become old and new, then only new')
def rotate_keys(context):
    names = context.hosts.names
    for job in range(JOB_COUNT):
        if job == 10:
            context.platform.configure(2, [AccountRow('blue', ('old', 'new'))])
            # Clients switch to the new key some time after it was added.
            time.sleep(0.5)
            context.key = 'new'
        if job == 20:
            context.platform.configure(3, [AccountRow('blue', ('new',))])
        submit_job(context, names[job % 3], job, context.key)


@then('no job is refused because of its key, and all of them are completed')
def check_none_refused(context):
    assert set(context.replies) == {(200, '')}, context.replies
    wait_for_completed(context, context.hosts.names[0], 'new')


@when('the first host is cut off from the store, and the key becomes new')
def revoke_during_store_cut(context):
    link = f'store-{context.hosts.names[0]}'
    context.platform.link_faults.replace(Cuts((Cut(ANY_NAME, link), Cut(link, ANY_NAME))))
    context.platform.configure(2, [AccountRow('blue', ('new',))])


def wait_for_completed(context, name, key):
    """Wait until a host reports all jobs as completed."""
    for path in context.jobs:
        wait_for(
            lambda path=path: (
                context.hosts.request(name, 'GET', path, key=key).body.get('state') == COMPLETED
            )
        )


@then('the key old is refused everywhere')
def check_key_refused(context):
    for name in context.hosts.names:
        wait_for(lambda name=name: get_queue_status(context, name, 'old') == 401)
    assert [get_queue_status(context, name, 'new') for name in context.hosts.names[1:]] == [
        200,
        200,
    ]


def get_queue_status(context, name, key):
    return context.hosts.request(name, 'GET', '/plain/', key=key).status


@then('no log contains a key')
def check_logs_without_keys(context):
    for name in context.hosts.names:
        log = context.hosts.log_of(name)
        assert 'Bearer' not in log and '"old"' not in log and '"new"' not in log, log[-2000:]


@when(
    '{count:d} jobs of 1 core for {seconds:g} s are submitted and the owner is killed while they run'
)
def kill_at_quota(context, count, seconds):
    for job in range(count):
        submit_job(context, context.hosts.names[job % 3], job, 'old', make_job(1000, seconds))
    wait_for(lambda: len(context.platform.runs) >= 3)
    context.killed = context.hosts.owner()
    context.hosts.kill(context.killed)


@then('all of them are completed by the other hosts, and no start exceeded the quota')
def check_completed_within_quota(context):
    assert set(context.replies) == {(200, '')}, context.replies
    others = [name for name in context.hosts.names if name != context.killed]
    context.others = others
    wait_for_completed(context, others[0], 'old')
    accounts = {path.rpartition('/')[2]: 'blue' for path in context.jobs}
    runs = context.platform.collect_runs()
    violations = find_starts_over_quota(runs, accounts, context.platform.quotas)
    assert not violations, violations
    assert len(runs) >= len(context.jobs)


@then('the tool shows the account blue with its quota on every host')
def check_tool_output(context):
    for name in context.others:
        out, err = io.StringIO(), io.StringIO()
        address = context.hosts.address_of(name)
        status = main(['accounts', address], Environment(stdout=out, stderr=err))
        assert status == 0, err.getvalue()
        assert 'blue' in out.getvalue() and 'cores=3' in out.getvalue(), out.getvalue()


@when('blue submits a job, and red queries and cancels it at every host')
def request_with_other_account(context):
    submit_job(context, context.hosts.names[0], 1, 'old', make_job(seconds=1.0))
    path = context.jobs[0]
    context.statuses = [
        context.hosts.request(name, method, path, key='other').status
        for name in context.hosts.names
        for method in ('GET', 'DELETE')
    ]


@then('red is told that the job does not exist, and blue that it is completed')
def check_accounts_isolated(context):
    assert set(context.statuses) == {410}, context.statuses
    path = context.jobs[0]
    context.jobs = [path]
    for name in context.hosts.names:
        wait_for_completed(context, name, 'old')
