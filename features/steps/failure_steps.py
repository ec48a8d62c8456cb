"""Steps that cause failures, and check the records of workers and runners."""

import os
import signal
import time
from concurrent.futures import ThreadPoolExecutor

import msgspec
from behave import given, then, when

from features.cells import contract, job
from standins import (
    FAST_TIMINGS,
    Cluster,
    Layout,
    find_overallocated_workers,
    find_overlapping_runs,
    find_overloaded_runners,
    find_repeated_starts,
    group_requests_by_mark,
    wait_until,
)

ZONES = ('ub-east', 'ub-west', 'ub-north', 'ub-south')


@given(
    'a cell of {zones:d} zones with {daemons:d} daemons, {workers:d} workers and {endpoints:d} endpoints'
)
def start_cell(context, zones, daemons, workers, endpoints):
    layout = Layout(ZONES[:zones], daemons, workers, endpoints)
    context.cell = context.stack.enter_context(Cluster(layout))
    context.submitted = []
    context.non_idempotent = set()


@given(
    'a cell with relayed links and {zones:d} zones with {daemons:d} daemons, {workers:d} workers and {endpoints:d} endpoints'
)
def start_relayed_cell(context, zones, daemons, workers, endpoints):
    layout = Layout(ZONES[:zones], daemons, workers, endpoints, has_relays=True)
    context.cell = context.stack.enter_context(Cluster(layout))
    context.submitted = []
    context.non_idempotent = set()


@given('a cell whose log keeps records for {seconds:d} seconds')
def start_short_retention_cell(context, seconds):
    timings = {**FAST_TIMINGS, 'retention': seconds}
    layout = Layout(ZONES[:1], 2, 2, 2, timings=timings)
    context.cell = context.stack.enter_context(Cluster(layout))
    context.submitted = []
    context.non_idempotent = set()


@given('version {version:d} of the contract is in force')
def publish_version(context, version):
    reply = context.cell.publish(contract(version), version - 1)
    assert reply.status == 200, reply
    check_version_everywhere(context, version)


@then('version {version:d} is in force on every daemon')
def check_version_everywhere(context, version):
    def all_in_force():
        return all(_version_at(context, name) == version for name in _running_daemons(context))

    assert wait_until(all_in_force, 10)


def _running_daemons(context):
    return [name for name, daemon in context.cell.daemons.items() if daemon.is_running]


def _version_at(context, name):
    reply = context.cell.try_get(context.cell.daemons[name], '/v1/status')
    return reply.json()['contracts'].get('khangai') if reply else None


@when('{name} is killed')
def kill(context, name):
    context.cell.kill(name)


@when('{name} is paused for {seconds:g} seconds')
def pause_for(context, name, seconds):
    context.cell.signal(name, signal.SIGSTOP)
    time.sleep(seconds)
    context.cell.signal(name, signal.SIGCONT)


@when('{name} is paused')
def pause(context, name):
    context.cell.signal(name, signal.SIGSTOP)


@when('{name} is resumed')
def resume(context, name):
    context.cell.signal(name, signal.SIGCONT)


@when('{seconds:g} seconds pass')
def wait_seconds(context, seconds):
    time.sleep(seconds)


@when('the log is unavailable')
def start_log_outage(context):
    context.cell.set_log_faults(outage=True)
    time.sleep(1)


@when('the log is available again')
def end_log_outage(context):
    context.cell.set_log_faults()


@when('the log loses the next {count:d} answers')
def lose_answers(context, count):
    context.cell.set_log_faults(lose_answers=count)


@when('all records of the zone {zone} expire')
def expire_zone_records(context, zone):
    context.cell.truncate_log(f'zone.{zone}')
    context.submitted = []


@when('all daemons are killed and started again')
def restart_all(context):
    for name in context.cell.daemons:
        context.cell.kill(name)
    for name in context.cell.daemons:
        context.cell.start(name)
    for name in context.cell.daemons:
        context.cell.wait_ready(name)


@when('{count:d} jobs of {processors:d} processors are submitted to {name}')
def submit_short_jobs(context, count, processors, name):
    submit_jobs(context, count, processors, 0.3, name)


@when(
    '{count:d} jobs of {processors:d} processors running {seconds:g} seconds are submitted to {name}'
)
def submit_jobs(context, count, processors, seconds, name):
    demand = {'processors': processors, 'memory_mb': 256}

    def submit(index):
        non_idempotent = index % 3 == 0
        spec = job(f'run {seconds}', demand=demand, idempotent=not non_idempotent)
        reply = _submit_with_retries(context, name, spec, os.urandom(6).hex())
        assert reply.status == 202, reply
        return reply.json()['id'], non_idempotent

    with ThreadPoolExecutor(8) as pool:
        accepted = list(pool.map(submit, range(count)))
    context.submitted.extend(name for name, _ in accepted)
    context.non_idempotent.update(name for name, non_idempotent in accepted if non_idempotent)


def _submit_with_retries(context, name, spec, key):
    """Retry with the same key while the answer is 503, as a caller would."""
    until = time.monotonic() + 15
    while True:
        reply = context.cell.submit(name, spec, key)
        if reply.status != 503 or time.monotonic() > until:
            return reply
        time.sleep(0.5)


@then('{count:d} jobs submitted to {name} all end as succeeded')
def submit_and_check(context, count, name):
    submit_short_jobs(context, count, 1, name)
    check_all_end(context, 'succeeded')


@when('all submitted jobs have ended')
def wait_all_ended(context):
    check_all_end(context, 'succeeded')


@then('all submitted jobs end as {state}')
def check_all_end(context, state):
    missing = set(context.submitted)

    def all_ended():
        for name in _running_daemons(context):
            reply = context.cell.try_get(
                context.cell.daemons[name],
                f'/v1/jobs?state={state}&limit=1000',
            )
            if reply is not None and reply.status == 200:
                missing.difference_update(view['id'] for view in reply.json()['jobs'])
        return not missing

    assert wait_until(all_ended, 40, 0.3), _describe_missing(context, missing)


def _describe_missing(context, missing):
    name = _running_daemons(context)[-1]
    replies = [
        context.cell.request_as_operator(name, 'GET', f'/v1/jobs/{job_id}').body
        for job_id in sorted(missing)[:5]
    ]
    return f'{len(missing)} missing; {replies}'


@then('all guarantees hold')
def check_guarantees(context):
    workers = context.cell.records('worker')
    runs = [run for record in workers for run in record['runs']]
    assert not find_overallocated_workers(workers), find_overallocated_workers(workers)
    assert not find_overlapping_runs(runs), find_overlapping_runs(runs)
    assert not find_repeated_starts(runs, context.non_idempotent), find_repeated_starts(
        runs, context.non_idempotent
    )
    endpoints = context.cell.records('endpoint')
    assert not find_overloaded_runners(endpoints), find_overloaded_runners(endpoints)


def _send_echo(context, name, seconds=0.01, deadline_ms=5000, idempotent='true'):
    mark = os.urandom(8).hex()
    body = os.urandom(500)
    reply = context.cell.request_as_caller(
        name,
        'POST',
        f'/v1/services/booking/echo?seconds={seconds}',
        body,
        {
            'dandelionreel-customer': 'khangai',
            'dandelionreel-idempotent': idempotent,
            'dandelionreel-deadline-ms': str(deadline_ms),
            'mark': mark,
        },
    )
    return mark, body, reply


@then('requests to {name} are answered within {seconds:g} seconds')
def check_answered(context, name, seconds):
    def answered():
        mark, body, reply = _send_echo(context, name)
        return reply.status == 200 and reply.body == body and reply.headers['mark'] == mark

    assert wait_until(answered, seconds)


@then('every shard has a live owner within {seconds:g} seconds')
def check_owners(context, seconds):
    def all_owned():
        name = _running_daemons(context)[-1]
        shards = context.cell.request_as_operator(name, 'GET', '/v1/shards').json()
        hosts = {shard['owner'].split('/')[0] for shard in shards}
        settled = all(not shard['released'] for shard in shards)
        return settled and hosts <= set(_running_daemons(context))

    assert wait_until(all_owned, seconds)


@then('a settlement submitted to {name} is refused as not_run with a retry-after header')
def check_job_refused(context, name):
    reply = context.cell.submit(name, job(idempotent=False), 'outage-key')
    assert reply.status == 503, reply
    assert reply.headers['dandelionreel-verdict'] == 'not_run'
    assert int(reply.headers['retry-after']) >= 1


@when('a non-idempotent job running {seconds:g} seconds is started')
def start_non_idempotent_job(context, seconds):
    reply = context.cell.submit('ub-east-d0', job(f'run {seconds}'), 'single')
    context.jobs = [reply.json()['id']]
    context.non_idempotent.add(context.jobs[0])
    assert wait_until(lambda: context.cell.runs(context.jobs[0]), 10)


@when('its worker is cut off')
def disconnect_worker(context):
    worker = context.cell.runs(context.jobs[0])[0]['worker']
    context.cell.set_host_faults(worker, outage=True)


@then('the job becomes uncertain within {seconds:g} seconds')
def check_uncertain(context, seconds):
    def is_uncertain():
        page = context.cell.request_as_operator(
            'ub-east-d0', 'GET', '/v1/jobs?state=uncertain'
        ).json()
        return [view['id'] for view in page['jobs']] == context.jobs

    assert wait_until(is_uncertain, seconds, 0.3)


@when('an operator resolves it as {outcome}')
def resolve(context, outcome):
    path = f'/v1/jobs/{context.jobs[0]}/resolve'
    reply = context.cell.request_as_operator('ub-east-d1', 'POST', path, {'outcome': outcome})
    assert reply.status == 200, reply


@when('{count:d} requests of {seconds:g} seconds are in progress at {name}')
def begin_requests(context, count, seconds, name):
    pool = context.stack.enter_context(ThreadPoolExecutor(count))
    context.futures = [pool.submit(_send_echo, context, name, seconds) for _ in range(count)]
    time.sleep(0.3)


@when('{name} is told to stop')
def stop(context, name):
    context.cell.signal(name, signal.SIGTERM)


@then('all of them are answered with verdict ran')
def check_all_answered(context):
    for future in context.futures:
        mark, body, reply = future.result(20)
        assert reply.status == 200, reply
        assert reply.headers['dandelionreel-verdict'] == 'ran'
        assert (reply.headers['mark'], reply.body) == (mark, body)


@then('{name} ends with status {status:d}')
def check_exit_status(context, name, status):
    process = context.cell.daemons[name].process
    assert process.wait(20) == status


@when('{name} is listed as leaving')
def list_leaving(context, name):
    hosts = [replace_state(entry) if entry.name == name else entry for entry in context.cell.hosts]
    context.cell.replace_hosts(hosts)


def replace_state(entry):
    return msgspec.structs.replace(entry, state='leaving')


@when('{count:d} requests are sent to all daemons')
def send_requests(context, count):
    names = _running_daemons(context)
    with ThreadPoolExecutor(8) as pool:
        context.sent = list(
            pool.map(
                lambda index: _send_echo(context, names[index % len(names)], 0.05, 1500),
                range(count),
            ),
        )


@then('{name} has received none of them')
def check_none_received(context, name):
    marks = {mark for mark, _, _ in context.sent}
    received_marks = {request['mark'] for request in context.cell.record(name)['requests']}
    assert not marks & received_marks
    assert all(reply.status == 200 for _, _, reply in context.sent)


@when(
    '{count:d} requests of {seconds:g} seconds with a deadline of {deadline:d} milliseconds are sent'
)
def send_with_deadline(context, count, seconds, deadline):
    names = _running_daemons(context)
    with ThreadPoolExecutor(count) as pool:
        context.sent = list(
            pool.map(
                lambda index: _send_echo(
                    context, names[index % len(names)], seconds, deadline, 'false'
                ),
                range(count),
            ),
        )
    context.request_options = (seconds, deadline)


@when('{count:d} more of them are sent while the runners still work')
def send_more_with_deadline(context, count):
    # The callers of the first requests have timed out; the runners still work on them.
    earlier_requests = context.sent
    send_with_deadline(context, count, *context.request_options)
    context.sent += earlier_requests
    time.sleep(2)


@then('each is answered with its own body or a problem with a correct verdict')
def check_verdicts(context):
    received_by_mark = group_requests_by_mark(context.cell.records('endpoint'))
    verdicts = set()
    for mark, body, reply in context.sent:
        verdict = reply.headers['dandelionreel-verdict']
        verdicts.add(verdict)
        if reply.status == 200:
            assert (reply.headers['mark'], reply.body) == (mark, body)
            continue
        if verdict == 'not_run':
            assert mark not in received_by_mark, mark
        assert len(received_by_mark.get(mark, [])) <= 1
    assert verdicts <= {'ran', 'unknown', 'not_run'} and 'unknown' in verdicts, verdicts


@when('every endpoint drops its connections')
def drop_connections(context):
    for entry in context.cell.hosts:
        if entry.kind == 'endpoint':
            context.cell.set_host_faults(entry.name, outage=True)


@then("the runners' records confirm each refusal as not_run")
def check_not_run_verdicts(context):
    received_by_mark = group_requests_by_mark(context.cell.records('endpoint'))
    for mark, _, reply in context.sent:
        assert reply.status != 200
        if reply.headers['dandelionreel-verdict'] == 'not_run':
            assert mark not in received_by_mark


@when(
    '{count:d} jobs of {processors:d} processors are submitted while the dispatcher is killed {times:d} times'
)
def submit_during_kills(context, count, processors, times):
    jobs_per_round = count // (times + 1)
    for _ in range(times):
        submit_jobs(context, jobs_per_round, processors, 0.2, _running_daemons(context)[-1])
        name = _dispatcher(context)
        context.cell.kill(name)
        context.cell.start(name)
        time.sleep(1.5)
    submit_jobs(context, jobs_per_round, processors, 0.2, _running_daemons(context)[-1])


def _dispatcher(context):
    assert wait_until(lambda: _find_dispatcher(context), 20)
    return _find_dispatcher(context)


def _find_dispatcher(context):
    for name in _running_daemons(context):
        reply = context.cell.try_get(context.cell.daemons[name], '/v1/status')
        if reply is not None and reply.status == 200 and reply.json()['dispatches']:
            return name
    return ''


@then('none of their leases lapsed')
def check_no_lapse(context):
    lapsed = [run for run in context.cell.runs() if run['outcome'] == 'lapsed']
    assert not lapsed, lapsed


def _send_settlement(context, name, key, deadline_ms=3000):
    return context.cell.request_as_caller(
        name,
        'POST',
        '/v1/services/booking/settle?seconds=0.05',
        b'pay lounge 7',
        {
            'dandelionreel-customer': 'khangai',
            'dandelionreel-class': 'batch',
            'dandelionreel-idempotent': 'false',
            'dandelionreel-deadline-ms': str(deadline_ms),
            'idempotency-key': key,
            'mark': key,
        },
    )


def _count_received(context, key):
    return len(group_requests_by_mark(context.cell.records('endpoint')).get(key, []))


@when('the same settlement request is sent to every daemon at once, 3 times over')
def send_settlement_to_all(context):
    context.key = os.urandom(6).hex()
    names = _running_daemons(context) * 3
    with ThreadPoolExecutor(len(names)) as pool:
        context.replies = list(
            pool.map(lambda name: _send_settlement(context, name, context.key), names)
        )


@then("exactly one answer is the runner's, and the others say that it ran or may have")
def check_single_answer(context):
    answers = [reply for reply in context.replies if reply.status == 200]
    assert len(answers) == 1, context.replies
    others = [reply for reply in context.replies if reply.status != 200]
    verdicts = {reply.headers['dandelionreel-verdict'] for reply in others}
    assert verdicts <= {'ran', 'unknown'}, others


@then('the runners received it once')
def check_received_once(context):
    assert _count_received(context, context.key) == 1


@when('another settlement request is sent to {name}')
def send_other_settlement(context, name):
    context.key = os.urandom(6).hex()
    context.reply = _send_settlement(context, name, context.key, 1000)


@then('it was refused as not_run and no runner saw it')
def check_not_received(context):
    assert context.reply.headers['dandelionreel-verdict'] == 'not_run', context.reply
    assert 'retry-after' in context.reply.headers
    assert _count_received(context, context.key) == 0


@then('the same request is answered once the log is available again')
def check_answered_after_outage(context):
    def answered():
        reply = _send_settlement(context, 'ub-east-d0', context.key)
        return reply.status == 200

    assert wait_until(answered, 15, 0.5)
    assert _count_received(context, context.key) == 1
