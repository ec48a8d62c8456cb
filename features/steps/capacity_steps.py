"""Steps for runners whose capacity changes; no processes are started."""

from behave import given, then, when

from dandelionreel.cell.model import Demand
from dandelionreel.kernel import ManualClock
from features.cell_parts import SmallCell, make_queue, make_registration, step, task
from features.steps.report_steps import RecordingJournal
from features.store_parts import Host, make_dispatcher, make_owner_context
from standins import MemoryTopic

MEMORY = 65_536


def resize(context, runner, cpu):
    small = context.small
    number = list(small.registration_by_id).index(runner)
    small.registration_by_id[runner] = make_registration(
        runner, port=number, capacity=Demand(cpu, MEMORY, 0)
    )
    small.update_runners()


def submit_single_task(context, cpu, **fields):
    """Submit a job of one task; return its id."""
    context.count = getattr(context, 'count', 0) + 1
    context.small.add_job(f'j{context.count}', [step(cpu, seconds=5, **fields)])
    return f'j{context.count}'


@given('a task of {cpu:d} millicores is decided to start on {runner}')
def decided_start(context, cpu, runner):
    submit_single_task(context, cpu)
    (start,) = context.small.plan(start=False).starts
    assert start.runner == runner, start


@given('a task of {cpu:d} millicores runs on {runner}')
def task_runs_on(context, cpu, runner):
    submit_single_task(context, cpu)
    (start,) = context.small.plan().starts
    assert start.runner == runner, start


@when('{runner} reports a capacity of {cpu:d} millicores')
def report_capacity(context, runner, cpu):
    resize(context, runner, cpu)


@then('the decided start {outcome}')
def start_outcome(context, outcome):
    (start,) = context.small.allocations
    assert context.small.cell.may_send_start(start) is (outcome == 'is sent')


@then('one of the two is sent and the other one starts elsewhere later')
def one_of_two(context):
    small = context.small
    sent = []
    for start in small.allocations:
        if small.cell.may_send_start(start):
            sent.append(start)
            continue
        small.cell.release_start(start)
    assert len(sent) == 1, sent
    small.registration_by_id['w2'] = make_registration('w2', port=9)
    small.update_runners()
    small.poll('w2')
    (start,) = small.plan().starts
    assert start.runner == 'w2' and start.task not in {one.task for one in sent}, start


@then('the task keeps running, and a task of {cpu:d} millicores {outcome}')
def keeps_running(context, cpu, outcome):
    small = context.small
    assert not small.cell.take_stops()
    assert len(small.runs_on('w1')) == 1
    submit_single_task(context, cpu)
    assert bool(small.plan().starts) is (outcome == 'starts on w1')


@given('a gang of {count:d} tasks of {cpu:d} millicores for which w1 and w2 are reserved')
def reserve_for_gang(context, count, cpu):
    small = context.small
    # All runners are full; w1 and w2 become free first.
    for number, seconds in enumerate((1, 2, 9), 1):
        small.add_job(f'full{number}', [step(32_000, seconds=seconds)])
        small.plan()
    small.add_job('gang', [step(cpu, count, gang=True)], queue='gangs')
    assert not small.plan().starts
    context.start_by_job = {start.task.job: start for start in small.allocations}


@then('the gang starts on w2 and w3 once they are free')
def gang_starts(context):
    small = context.small
    for start in context.start_by_job.values():
        small.now += 0.1
        small.poll(start.runner, ended=[(1, start.task, start.run, 'done')])
        plan = small.plan()
    assert {start.runner for start in plan.starts} == {'w2', 'w3'}, plan.starts


@given('a successor that finds a task of {cpu:d} millicores on w1 with a capacity of {capacity:d}')
def successor_finds(context, cpu, capacity):
    context.small = SmallCell(('w1',), epoch=2, seen=False)
    resize(context, 'w1', capacity)
    job = submit_single_task(context, cpu)
    context.small.poll('w1', running=[(task(job), 1001)])
    assert context.small.used('w1') == cpu


@given('an owner whose list of runners is {age:g} seconds old')
def make_owner_with_old_list(context, age):
    context.small = SmallCell(('w1',))
    context.owner = make_owner_context(
        context.small.cell, ManualClock(context.small.now), get_runner_list_age=lambda: age
    )


@then('it may start tasks')
def may_start(context):
    assert context.owner.may_start_tasks()


@then('it may not start tasks, and logs it')
def may_not_start(context):
    assert not context.owner.may_start_tasks()
    assert context.owner.may_send_orders(), 'the owner must still renew leases'
    journal = RecordingJournal()
    host = Host('me', MemoryTopic())
    dispatcher = make_dispatcher(host, context.owner.term, host.follower, host.clock)
    checks = dispatcher._periodic_checks
    checks._owner_context, checks._journal = context.owner, journal
    checks._log_runner_list_freshness()
    checks._log_runner_list_freshness()
    assert journal.entries == [
        ('starts nothing, by the age of the list of runners.', {'epoch': 1, 'list_age': 2.6})
    ]


def make_advised(context, runners):
    queue = make_queue('urgent', advice=(0.01, 0.001, 2.0))
    context.small = SmallCell(runners, queues=(queue,))


@given('a cell with the runners w1, w2 whose queue needs advice')
def advised_pair(context):
    make_advised(context, ('w1', 'w2'))


@given('w1 has a capacity of {capacity:d} millicores and already runs a task of {cpu:d} millicores')
def overcommit(context, capacity, cpu):
    small = context.small
    job = submit_single_task(context, cpu)
    small.poll('w1', running=[(task(job), 1)])
    resize(context, 'w1', capacity)
    assert small.cell.runner_by_id['w1'].free_capacity.cpu < 0


@when('a task of {cpu:d} millicores needs advice')
def advised_task(context, cpu):
    submit_single_task(context, cpu)
    context.advice_requests = context.small.plan().advice_requests


@then('advice about w2 is requested for it')
def asked_about(context):
    (request,) = context.advice_requests
    assert 'w2' in request.runners, request


@given('a cell with 24 runners whose queue needs advice, of which the first has no capacity')
def advised_many(context):
    make_advised(context, tuple(f'w{number}' for number in range(24)))
    resize(context, 'w0', 0)


@when('a gang of {count:d} tasks of {cpu:d} millicores needs advice')
def advised_gang(context, count, cpu):
    context.small.add_job('gang', [step(cpu, count, gang=True)])
    context.advice_requests = context.small.plan().advice_requests


@then('advice about fewer than {count:d} runners is requested for it')
def asked_fewer(context, count):
    asked_runners = {runner for request in context.advice_requests for runner in request.runners}
    assert 0 < len(asked_runners) < count, sorted(asked_runners)
