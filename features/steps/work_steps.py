"""Steps for different workloads on one cell."""

import os
import time
from concurrent.futures import ThreadPoolExecutor

from behave import given, then, when

from features.cells import contract, job
from standins import wait_until

DAEMON = 'ub-east-d0'


@when('the jobs of {source} are moved to {target}')
def move_jobs(context, source, target):
    body = {'from_zone': source, 'to_zone': target}
    reply = context.cell.request_as_operator(DAEMON, 'POST', '/v1/jobs/move', body)
    assert reply.status == 200, reply
    context.moved = reply.json()['moved']
    assert context.moved > 0


@then('every job ends as succeeded in one zone or the other')
def check_moved(context):
    def succeeded():
        done = set()
        for name in context.cell.daemons:
            reply = context.cell.try_get(
                context.cell.daemons[name],
                '/v1/jobs?state=succeeded&limit=1000',
            )
            if reply is not None and reply.status == 200:
                done.update(view['id'] for view in reply.json()['jobs'])
        return set(context.submitted) <= done

    assert wait_until(succeeded, 90, 0.3), _get_job_views(context)
    east = {run['job'] for run in context.cell.runs() if run['worker'].startswith('ub-east')}
    moved = [
        job_id for job_id in context.submitted if job_id.startswith('ub-west') and job_id in east
    ]
    assert len(moved) == context.moved, (len(moved), context.moved)
    shown = context.cell.request_as_operator(
        'ub-west-d0', 'GET', f'/v1/jobs/{context.submitted[-1]}'
    )
    assert shown.json()['state'] == 'succeeded', shown


def _get_job_views(context):
    return [
        context.cell.request_as_operator(DAEMON, 'GET', f'/v1/jobs/{job_id}').body
        for job_id in context.submitted
    ]


@when('a gang of {tasks:d} tasks of {processors:d} processors is submitted')
def submit_gang(context, tasks, processors):
    spec = job('run 1', tasks=tasks, demand={'processors': processors, 'memory_mb': 256})
    reply = context.cell.submit(DAEMON, spec, 'gang')
    assert reply.status == 202, reply
    context.gang = reply.json()['id']
    context.submitted.append(context.gang)


@then('the tasks of the gang started within 1 second of each other')
def check_gang(context):
    starts = sorted(run['started_at'] for run in context.cell.runs(context.gang))
    assert len(starts) == 6
    assert starts[-1] - starts[0] < 1


@when(
    '{count:d} idempotent jobs of {processors:d} processors running {seconds:g} seconds fill the cell'
)
def fill_cell(context, count, processors, seconds):
    _submit(context, count, processors, seconds)
    assert wait_until(lambda: len(context.cell.runs()) == count, 15)


@when(
    '{count:d} idempotent jobs of {processors:d} processors running {seconds:g} seconds are submitted'
)
def submit_idempotent(context, count, processors, seconds):
    _submit(context, count, processors, seconds)


def _submit(context, count, processors, seconds, customer='khangai'):
    demand = {'processors': processors, 'memory_mb': 256}
    spec = job(f'run {seconds}', demand=demand, idempotent=True, customer=customer)

    def submit(_):
        reply = context.cell.submit(DAEMON, spec, os.urandom(6).hex())
        assert reply.status == 202, reply
        return reply.json()['id']

    with ThreadPoolExecutor(8) as pool:
        accepted = list(pool.map(submit, range(count)))
    context.submitted.extend(accepted)
    return accepted


@when('an urgent job of {processors:d} processors is submitted')
def submit_urgent(context, processors):
    demand = {'processors': processors, 'memory_mb': 256}
    spec = job('run 0.5', demand=demand, task_class='urgent')
    context.urgent_at = time.monotonic()
    context.urgent = context.cell.submit(DAEMON, spec, 'urgent').json()['id']


@then('the urgent job started within {seconds:g} seconds')
def check_urgent(context, seconds):
    assert wait_until(lambda: context.cell.runs(context.urgent), 10)
    waited = context.cell.runs(context.urgent)[0]['started_at'] - context.urgent_at
    assert waited < seconds, waited


@then('the stopped jobs are waiting or running again')
def check_stopped(context):
    stopped = [run for run in context.cell.runs() if run['outcome'] == 'stopped']
    assert stopped

    def is_retried():
        shown = context.cell.request_as_operator(
            DAEMON, 'GET', f'/v1/jobs/{stopped[0]["job"]}'
        ).json()
        return shown['state'] in {'waiting', 'running'} and shown['attempts'][0]['outcome']

    assert wait_until(is_retried, 10)


@when('a job with command {command} is submitted')
def submit_command(context, command):
    reply = context.cell.submit(DAEMON, job(command, idempotent=True), 'one')
    context.jobs = [reply.json()['id']]


@then('the log shows its throttle, checkpoint and stop')
def check_throttled(context):
    def logged():
        log = context.cell.log_of(DAEMON)
        return all(
            f'to {word} {context.jobs[0]}' in log for word in ('throttle', 'checkpoint', 'stop')
        )

    assert wait_until(logged, 40, 0.3)


@when('every task that {name} starts fails')
def fail_all(context, name):
    context.cell.set_host_faults(name, fail_tasks=True)


@then('{name} started at most {count:d} of them')
def check_start_limit(context, name, count):
    runs = [run for run in context.cell.runs() if run['worker'] == name]
    assert 1 <= len(runs) <= count, len(runs)


@then('it was started exactly {count:d} times')
def check_starts(context, count):
    assert len(context.cell.runs(context.jobs[0])) == count


@given('a second customer has a contract too')
def second_customer(context):
    reply = context.cell.publish(contract(1, 'caribsea'))
    assert reply.status == 200, reply


@when('{count:d} jobs of the second customer are submitted behind them')
def submit_second(context, count):
    context.second = _submit(context, count, 8, 0.3, 'caribsea')


@then("the second customer's jobs are done before 100 jobs of the flood have ended")
def check_fairness(context):
    def done():
        ended = {run['job'] for run in context.cell.runs() if run['ended_at']}
        return set(context.second) <= ended

    assert wait_until(done, 30)
    ended = [run for run in context.cell.runs() if run['customer'] == 'khangai' and run['ended_at']]
    assert len(ended) < 100, len(ended)


@given('a contract with a quota of {processors:d} processors is in force')
def publish_quota(context, processors):
    quota = {'processors': processors, 'memory_mb': 800_000}
    reply = context.cell.publish(contract(1, quota=quota))
    assert reply.status == 200, reply


@when('a job of {processors:d} processors is submitted to each zone')
def submit_to_zones(context, processors):
    spec = job('run 1', demand={'processors': processors, 'memory_mb': 256}, idempotent=True)
    for name in context.cell.daemons:
        # Without an idempotency key, the daemon stores the job in its own zone.
        reply = context.cell.submit(name, spec)
        assert reply.status == 202, reply
        context.submitted.append(reply.json()['id'])


@when('{count:d} small jobs of {processors:d} processors follow')
def submit_small(context, count, processors):
    _submit(context, count, processors, 0.3)


@then('at most {processors:d} processors were in use at any time')
def check_quota(context, processors):
    changes = []
    for run in context.cell.runs():
        used = run['demand']['processors']
        changes.append((run['started_at'], used))
        changes.append((run['ended_at'], -used))
    in_use = peak = 0
    for _, change in sorted(changes):
        in_use += change
        peak = max(peak, in_use)
    assert 24 <= peak <= processors, peak
