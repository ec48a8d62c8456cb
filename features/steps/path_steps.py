"""Steps of requests and jobs from submission to result."""

import os

from behave import given, then, when

from features.cells import contract, job
from standins import Cluster, Layout, wait_until


@given('a shared cell')
def use_shared_cell(context):
    context.cell = context.shared_cell.get_cell()


@then('every daemon enforces version {version:d} of {customer}')
def check_version(context, version, customer):
    def all_enforce():
        return all(
            context.cell.request_as_operator(name, 'GET', '/v1/status')
            .json()['contracts']
            .get(customer)
            == version
            for name in context.cell.daemons
        )

    assert wait_until(all_enforce, 5)


@when('a caller sends an echo request to {daemon}')
def send_echo(context, daemon):
    context.mark = os.urandom(8).hex()
    context.body = os.urandom(2000)
    context.reply = context.cell.request_as_caller(
        daemon,
        'POST',
        '/v1/services/booking/echo?seconds=0.01',
        context.body,
        {
            'dandelionreel-customer': 'khangai',
            'dandelionreel-idempotent': 'true',
            'mark': context.mark,
        },
    )


@then('the answer has its own mark and body, with verdict {verdict}')
def check_own_answer(context, verdict):
    assert context.reply.status == 200, context.reply
    assert context.reply.headers['dandelionreel-verdict'] == verdict
    assert context.reply.headers['mark'] == context.mark
    assert context.reply.body == context.body


@when('a settlement is submitted twice with one key')
def submit_twice(context):
    key = os.urandom(8).hex()
    context.key = key
    names = list(context.cell.daemons)
    replies = [context.cell.submit(name, job(), key) for name in (names[0], names[-1])]
    assert [reply.status for reply in replies] == [202, 202], replies
    context.jobs = [reply.json()['id'] for reply in replies]


@then('both submissions name the same job')
def check_same_job(context):
    assert context.jobs[0] == context.jobs[1]


@then('the job ends as {state}')
def check_job_ends(context, state):
    name = next(iter(context.cell.daemons))

    def has_ended():
        reply = context.cell.request_as_operator(name, 'GET', f'/v1/jobs/{context.jobs[0]}')
        return reply.status == 200 and reply.json()['state'] == state

    assert wait_until(has_ended, 20)


@then("the workers' records show one run of it")
def check_single_run(context):
    assert len(context.cell.runs(context.jobs[0])) == 1


@then('the logs have a line for each of {parts}')
def check_log_lines(context, parts):
    logs = ''.join(context.cell.log_of(name) for name in context.cell.daemons)
    for part in parts.split(', '):
        assert f'"text":"{part}: ' in logs, part


@given('a cell that keeps the details of {count:d} ended jobs')
def start_cell_with_job_limit(context, count):
    layout = Layout(('ub-east',), 1, 1, 1, limits={'known_jobs': count})
    context.cell = context.stack.enter_context(Cluster(layout))
    assert context.cell.publish(contract()).status == 200


@when('a settlement with key {key} has ended and {count:d} others after it')
def submit_and_finish_jobs(context, key, count):
    name = 'ub-east-d0'
    context.jobs = []
    for number in range(count + 1):
        reply = context.cell.submit(name, job('run 0'), key if number == 0 else f'k{number}')
        context.jobs.append(reply.json()['id'])
        assert wait_until(lambda: len(context.cell.runs()) == len(context.jobs), 10)

    def is_dropped():
        return (
            context.cell.request_as_operator(name, 'GET', f'/v1/jobs/{context.jobs[0]}').status
            == 404
        )

    assert wait_until(is_dropped, 10)


@then('submitting it again with key {key} is answered as already run')
def check_already_ran(context, key):
    reply = context.cell.submit('ub-east-d0', job('run 0'), key)
    assert reply.status == 409, reply
    assert reply.headers['dandelionreel-verdict'] == 'ran'
