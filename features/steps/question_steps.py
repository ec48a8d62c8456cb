"""Steps on requests to the policy service while many jobs wait."""

import sys

import curio
from behave import given, then, when

from dandelionreel.cell.membership._advisors import LocalAdvisor
from dandelionreel.cell.membership._election import Term
from dandelionreel.cell.model import Permit, RunnerError, StepName, WriterFence
from dandelionreel.kernel import ManualClock, Verdict
from features.cell_parts import SmallCell, make_queue, step
from features.store_parts import Host, make_dispatcher
from standins import MemoryTopic

FULL = 32_000
ADVICE = (0.1, 0.002, 2.0)


@given('a cell of {count:d} runners whose batch queue needs advice')
def batch_cell(context, count):
    queues = (
        make_queue('urgent', advice=ADVICE),
        make_queue('gangs', 1, 4, 2.2, 1.0),
        make_queue('batch', 2, 3, 4.0, 3.0, advice=ADVICE),
        make_queue('plain', 3, slack=4.0),
    )
    context.small = SmallCell([f'r{number}' for number in range(count)], queues=queues)


@given('a cell of {count:d} runners, all of them reserved for a gang')
def reserved_cell(context, count):
    batch_cell(context, count)
    context.small.add_job('filling', [step(20_000, count=count, seconds=5)], queue='plain')
    assert len(context.small.plan().starts) == count
    context.small.add_job('gang', [step(FULL, count=count, gang=True)], queue='gangs')
    assert not context.small.plan().starts


@when("batch jobs are submitted that would end after the gang's start")
def long_batch(context):
    for number in range(3):
        context.small.add_job(f'j{number}', [step(count=2, seconds=30)], queue='batch')
    context.plan = context.small.plan()


@when('{count:d} batch jobs are submitted')
def batch_jobs(context, count):
    for number in range(count):
        context.small.add_job(f'j{number}', [step(count=2)], queue='batch')
    context.plan = context.small.plan()


@then('their requests name {count:d} runners or more')
def named_runners(context, count):
    named = {runner for request in context.plan.advice_requests for runner in request.runners}
    assert len(named) >= count, sorted(named)


@when('a batch job is submitted that is not stored yet')
def unstored_job(context):
    context.small.add_job('j1', [step(count=2)], queue='batch').stored = False
    context.plan = context.small.plan()
    assert len(context.plan.advice_requests) == 1


@when('it has tickets for runners with free capacity')
def has_tickets(context):
    small = context.small
    (request,) = context.plan.advice_requests
    permits = [Permit(runner, 'ticket') for runner in request.runners[:4]]
    small.cell.tickets.record_advice(request.step, request.runners, permits, small.now + 2)


@then('no advice is requested until they have expired')
def requested_once(context):
    assert not context.small.plan().advice_requests
    context.small.now += 2
    assert context.small.plan().advice_requests


@when('{count:d} batch jobs are submitted while {free:d} hosts are free')
def jobs_and_hosts(context, count, free):
    small = context.small
    for number in range(count):
        small.add_job(f'j{number}', [step(count=2)], queue='batch', age=number / 10)
    context.plan = small.planner.plan(small.now, small.now, free)


@then('the {count:d} jobs whose objectives end first request advice')
def first_request_advice(context, count):
    requesting = [request.step.job for request in context.plan.advice_requests]
    assert requesting == [f'j{number}' for number in range(9, 9 - count, -1)], requesting


@then('an urgent job requests advice regardless')
def urgent_requests_advice(context):
    small = context.small
    small.add_job('now', [step()])
    plan = small.planner.plan(small.now, small.now, 0)
    assert [request.step.job for request in plan.advice_requests] == ['now']


class SlowPlanner:
    """A planner that takes 2 s for each plan."""

    def __init__(self, planner, clock):
        self.planner = planner
        self.clock = clock

    def plan(self, *arguments):
        plan = self.planner.plan(*arguments)
        self.clock.advance(2)
        return plan


class UnstartedRunner:
    """A runner that must get no start."""

    async def start_task(self, order, check):
        assert not check()
        raise RunnerError('not sent', Verdict.NOT_RUN)


@given('an owner that plans {what} as its authority ends')
def ending_authority(context, what):
    clock = ManualClock()
    host = Host('me', MemoryTopic(), clock)
    term = Term(1, 'me/1', WriterFence(1, 1), None, False, False)
    context.dispatcher = dispatcher = make_dispatcher(host, term, MemoryTopic(), clock)
    small = SmallCell(('w1',), queues=(make_queue('urgent', advice=ADVICE), make_queue('plain')))
    small.now = clock.monotonic()
    small.poll('w1')
    job = small.add_job('j1', [step()], queue='plain' if what == 'a start' else 'urgent')
    job.stored_runners.add('w1')
    dispatcher.cell = dispatcher._owner_context.cell = small.cell
    dispatcher._owner_context.runner_by_id['w1'] = UnstartedRunner()
    dispatcher._advice_pool._local_advisor = LocalAdvisor(None)
    dispatcher._planner = SlowPlanner(small.planner, clock)
    context.small = small


@when('it has authority again')
def authority_again(context):
    dispatcher = context.dispatcher

    async def plan_once():
        planning = await curio.spawn(dispatcher._run_planner)
        await curio.sleep(0.1)
        await planning.cancel()

    assert dispatcher._owner_context.may_start_tasks()
    curio.run(plan_once)
    assert not dispatcher._owner_context.may_start_tasks()


@then('the task is planned again')
def planned_again(context):
    small = context.small
    assert not small.runs_on('w1'), 'its start counts although it was never sent'
    small.now = context.dispatcher._clock.monotonic() + 1
    small.poll('w1')
    plan = small.planner.plan(small.now, small.now)
    assert plan.starts or plan.advice_requests, (
        'it waits for a reply to a request that was never sent'
    )


def make_busy_cell(runners, kind):
    """Return a full cell with waiting steps that have advice on a few runners."""
    queues = (
        make_queue('gangs', 1, 4, 2.2, 1.0, advice=ADVICE),
        make_queue('batch', 2, 3, 4.0, 3.0, advice=ADVICE),
        make_queue('plain', 3, slack=4.0),
    )
    small = SmallCell([f'r{number}' for number in range(runners)], queues=queues)
    small.add_job('filling', [step(FULL, count=runners, seconds=5)], queue='plain')
    assert len(small.plan().starts) == runners
    for number in range(80):
        name = f'j{number:02}'
        waits = step(count=4, seconds=9, gang=kind == 'gangs')
        small.add_job(name, [waits], queue='gangs' if kind == 'gangs' else 'batch')
        tickets = small.cell.tickets.of(StepName(name, 0, 0))
        tickets.pending = 2
        small.cell.tickets.record_advice(
            StepName(name, 0, 0), ('r0', 'r1'), [Permit('r1', 't')], 9e9
        )
    small.plan()
    return small


def count_calls(small):
    """Return the number of function calls in one plan."""
    calls = 0

    def count(frame, event, arg):
        nonlocal calls
        calls += event == 'call'

    sys.setprofile(count)
    try:
        small.planner.plan(small.now, small.now)
    finally:
        sys.setprofile(None)
    return calls


@given('a cell of {few:d} and one of {many:d} runners, each with 80 {kind} that wait for runners')
def two_cells(context, few, many, kind):
    context.additional_runners = many - few
    context.cells = [make_busy_cell(count, kind) for count in (few, many)]


@when('both plan again')
def plan_both(context):
    for small in context.cells:
        small.now += 1
    context.call_counts = [count_calls(small) for small in context.cells]


@then('the larger one makes at most {count:d} more calls for each additional runner')
def check_call_growth(context, count):
    fewer, more = context.call_counts
    assert more - fewer <= count * context.additional_runners, context.call_counts
