"""Steps on requests to the policy service, and their tickets."""

import io

import curio
from behave import given, then, when

from dandelionreel.cell.decisions import AdviceRequest
from dandelionreel.cell.membership._advisors import AdvicePool
from dandelionreel.cell.model import AdvicePolicy, Permit, StepName
from dandelionreel.cell.model._records import Member
from dandelionreel.kernel import Journal, SystemClock
from features.cell_parts import SmallCell, make_queue, step

RUNNER_CPU = 32_000
#: Seconds; longer than any scenario takes on any machine.
NO_ANSWER_SECONDS = 30


def journal():
    return Journal(io.StringIO(), 'test')


@given('a cell of {count:d} runners whose queue needs advice')
def advised_cell(context, count):
    queues = (make_queue('urgent', advice=(0.01, 0.001, 2.0)), make_queue('plain', 2, slack=4.0))
    context.small = SmallCell([f'r{number}' for number in range(count)], queues=queues)


@given('tasks of another queue on all of them')
def fill_all(context):
    fill_runners(context, 40)


@given('tasks of another queue on {count:d} of them')
def fill_runners(context, count):
    context.small.add_job('filling', [step(RUNNER_CPU, count=count)], queue='plain')
    assert len(context.small.plan().starts) == count


@then('no advice is requested')
def nothing_asked(context):
    assert not context.plan.advice_requests, context.plan.advice_requests


@when('50 jobs of one task of 8000 millicores are submitted')
def fifty_jobs(context):
    for number in range(50):
        context.small.add_job(f'j{number:02}', [step(8000)])
    context.plan = context.small.plan()


@then('{count:d} requests are made')
def requests_made(context, count):
    assert len(context.plan.advice_requests) == count, context.plan.advice_requests


@when('a gang of 20 tasks of 9000 millicores requests tickets')
def request_gang_tickets(context):
    context.small.add_job('j1', [step(9000, count=20, gang=True)])
    context.plan = context.small.plan()


@then('{count:d} requests name {runners:d} runners, none of them twice')
def requests_name(context, count, runners):
    named = [runner for request in context.plan.advice_requests for runner in request.runners]
    assert len(context.plan.advice_requests) == count, context.plan.advice_requests
    assert len(named) == len(set(named)) == runners, len(named)


@then('nothing more is requested until the last answer')
def nothing_requested(context):
    small = context.small
    for request in context.plan.advice_requests[:-1]:
        small.cell.tickets.record_advice(request.step, request.runners, [], small.now + 2)
    assert not small.plan().advice_requests
    last = context.plan.advice_requests[-1]
    small.cell.tickets.record_advice(last.step, last.runners, [], small.now + 2)
    assert small.plan().advice_requests


@given('8 hosts that are slow to answer')
def slow_hosts(context):
    context.hosts = UnresponsiveHosts()


@when('10 requests of priority 1 and then one of priority {priority:d} are made')
def make_requests(context, priority):
    async def send_all():
        hosts = {f'h{number}': Member('north', '10.0.0.1', 7) for number in range(8)}
        pool = AdvicePool(
            'h0',
            lambda: hosts,
            context.hosts,
            context.hosts,
            SystemClock(),
            journal(),
            ignore_answer,
            ignore_answer,
        )
        policy = AdvicePolicy(0.2, 0.0, 2.0)
        for number in range(10):
            await pool.submit_request(
                AdviceRequest(StepName(f'p{number}', 0, 0), ('r1',), 1, policy)
            )
        await pool.submit_request(AdviceRequest(StepName('last', 0, 0), ('r1',), priority, policy))
        # Each request that has a free host has reached it once all tasks have run.
        await curio.sleep(0)
        await curio.sleep(0)

    curio.run(send_all)


async def ignore_answer(*ignored):
    """Ignore an answer; the hosts never give one."""


@then('{count:d} hosts are busy, and the last request is {fate}')
def hosts_busy(context, count, fate):
    assert len(context.hosts.jobs) == count, context.hosts.jobs
    assert ('last' in context.hosts.jobs) == (fate == 'sent'), context.hosts.jobs


class UnresponsiveHosts:
    """Stands for the advisor of this host and the links to its peers; none ever answers."""

    def __init__(self):
        self.jobs = []

    async def request(self, step_or_host, request_message, timeout):
        self.jobs.append(
            step_or_host.job if isinstance(step_or_host, StepName) else request_message.job
        )
        await curio.sleep(NO_ANSWER_SECONDS)


@when('a job of 2 tasks is submitted')
def two_tasks(context):
    context.small.add_job('j1', [step(count=2)])
    context.plan = context.small.plan()
    assert not context.plan.starts


@then('the request names 12 runners')
def request_names(context):
    assert [len(request.runners) for request in context.plan.advice_requests] == [12]
    assert not context.small.plan().advice_requests


@then('the job starts on the runners that are allowed')
def starts_allowed(context):
    small = context.small
    request = context.plan.advice_requests[0]
    allowed = request.runners[3]
    permits = [Permit(allowed, 'ticket')]
    small.cell.tickets.record_advice(request.step, request.runners, permits, small.now + 2)
    starts = small.plan().starts
    assert {(start.runner, start.ticket) for start in starts} == {(allowed, 'ticket')}


@when('a gang that was submitted an hour ago waits for tickets that expired')
def late_gang(context):
    small = context.small
    small.add_job('g1', [step(count=2, gang=True)], age=3600)
    request = small.plan().advice_requests[0]
    permits = [Permit(runner, 'ticket') for runner in request.runners]
    small.cell.tickets.record_advice(request.step, request.runners, permits, small.now - 1)
    context.plan = small.plan()


@then('new tickets are requested')
def tickets_asked(context):
    assert len(context.plan.advice_requests) == 1


@when('its tickets expire before it could start')
def tickets_expire(context):
    small = context.small
    request = context.plan.advice_requests[0]
    context.allowed = request.runners[3]
    permits = [Permit(context.allowed, 'ticket')]
    small.cell.tickets.record_advice(request.step, request.runners, permits, small.now + 2)
    small.now += 3
    context.plan = small.plan()


@then('the next request names only allowed runners')
def asks_allowed(context):
    assert [request.runners for request in context.plan.advice_requests] == [(context.allowed,)]
