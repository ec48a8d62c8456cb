"""Steps on client accounts at real entry hosts."""

import io
import time

from behave import given, then, when

from dandelionreel.cli._tool import main
from dandelionreel.kernel import Environment
from features.steps.platform_steps import task
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

#: Addresses of these hosts, apart from those of other features.
BLOCK = 201
DONE = 'completed'
HANDED_IN = 30


def start(context, *accounts):
    context.platform = UsersPlatform()
    context.hosts = EntryHosts(context.platform, 3, BLOCK)
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


def hand_in(context, host, job, key, body=None):
    path = f'/plain/{job:016x}'
    context.jobs.append(path)
    reply = context.hosts.ask(host, 'POST', path, body or task(), key=key)
    context.replies.append((reply.status, reply.body.get('title', '')))
    return reply


@given('3 entry hosts and the account blue with the key {key}')
def hosts_with_key(context, key):
    start(context, AccountRow('blue', (key,)))
    context.key = key


@given('3 entry hosts and the account blue with a quota of {cores:d} cores')
def hosts_with_quota(context, cores):
    start(context, AccountRow('blue', ('old',), 1000 * cores))
    context.key = 'old'


@given('3 entry hosts and the accounts blue and red')
def hosts_with_two(context):
    start(context, AccountRow('blue', ('old',)), AccountRow('red', ('other',)))
    context.key = 'old'


@when('jobs are handed in everywhere while the key becomes old and new, then new')
def rotate(context):
    names = context.hosts.names
    for job in range(HANDED_IN):
        if job == 10:
            context.platform.configure(2, [AccountRow('blue', ('old', 'new'))])
            # Clients get their new key after it was added, and use the former one until then.
            time.sleep(0.5)
            context.key = 'new'
        if job == 20:
            context.platform.configure(3, [AccountRow('blue', ('new',))])
        hand_in(context, names[job % 3], job, context.key)


@then('none was refused for its key, and all of them are completed')
def none_refused(context):
    assert set(context.replies) == {(200, '')}, context.replies
    wait_completed(context, context.hosts.names[0], 'new')


@when('the store no longer answers the first host, and the key becomes new')
def revoke_behind(context):
    link = f'store-{context.hosts.names[0]}'
    context.platform.link_faults.replace(Cuts((Cut(ANY_NAME, link), Cut(link, ANY_NAME))))
    context.platform.configure(2, [AccountRow('blue', ('new',))])


def wait_completed(context, name, key):
    """Wait until a host tells that all jobs are completed."""
    for path in context.jobs:
        wait_for(
            lambda path=path: (
                context.hosts.ask(name, 'GET', path, key=key).body.get('state') == DONE
            )
        )


@then('the key old is refused everywhere')
def refused_everywhere(context):
    for name in context.hosts.names:
        wait_for(lambda name=name: count(context, name, 'old') == 401)
    assert [count(context, name, 'new') for name in context.hosts.names[1:]] == [200, 200]


def count(context, name, key):
    return context.hosts.ask(name, 'GET', '/plain/', key=key).status


@then('no log names a key')
def logs_name_no_key(context):
    for name in context.hosts.names:
        log = context.hosts.log_of(name)
        assert 'Bearer' not in log and '"old"' not in log and '"new"' not in log, log[-2000:]


@when(
    '{many:d} jobs of 1 core for {seconds:g} s are handed in and the owner is killed while they run'
)
def kill_at_quota(context, many, seconds):
    for job in range(many):
        hand_in(context, context.hosts.names[job % 3], job, 'old', task(1000, seconds))
    wait_for(lambda: len(context.platform.runs) >= 3)
    context.killed = context.hosts.owner()
    context.hosts.kill(context.killed)


@then('all of them are completed by the other hosts, and no start was over the quota')
def completed_within(context):
    assert set(context.replies) == {(200, '')}, context.replies
    others = [name for name in context.hosts.names if name != context.killed]
    context.others = others
    wait_completed(context, others[0], 'old')
    accounts = {path.rpartition('/')[2]: 'blue' for path in context.jobs}
    runs = context.platform.collect_runs()
    over = find_starts_over_quota(runs, accounts, context.platform.quotas)
    assert not over, over
    assert len(runs) >= len(context.jobs)


@then('the tool shows the account blue with its quota, from any host')
def tool_shows(context):
    for name in context.others:
        out, err = io.StringIO(), io.StringIO()
        address = context.hosts.address_of(name)
        status = main(['accounts', address], Environment(stdout=out, stderr=err))
        assert status == 0, err.getvalue()
        assert 'blue' in out.getvalue() and 'cores=3' in out.getvalue(), out.getvalue()


@when('blue hands in a job, and red asks every host for it and cancels it')
def red_asks(context):
    hand_in(context, context.hosts.names[0], 1, 'old', task(seconds=1.0))
    path = context.jobs[0]
    context.told = [
        context.hosts.ask(name, method, path, key='other').status
        for name in context.hosts.names
        for method in ('GET', 'DELETE')
    ]


@then('red is told that there is no such job, and blue that it is completed')
def told_apart(context):
    assert set(context.told) == {410}, context.told
    path = context.jobs[0]
    context.jobs = [path]
    for name in context.hosts.names:
        wait_completed(context, name, 'old')
