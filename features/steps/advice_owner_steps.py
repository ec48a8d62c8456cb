"""Steps on owners and clients of a policy service that fails or does not answer."""

import time
from contextlib import AsyncExitStack

import curio
from behave import given, then, when

from dandelionreel.cell.decisions import AdviceRequest
from dandelionreel.cell.membership import LocalAdvisor
from dandelionreel.cell.membership._election import Term
from dandelionreel.cell.model import AdviceError, AdvicePolicy, StepName, WriterFence
from dandelionreel.http import Server
from dandelionreel.platform import Address, HttpAdvice
from features.cell_parts import SmallCell, make_queue, step
from features.store_parts import Host, make_dispatcher
from features.virtual_time import run_in_virtual_time
from standins import MemoryTopic

ADVICE = (0.1, 0.002, 2.0)


class FailingService:
    """A policy service that gives no advice; ``times`` has the time of each call."""

    def __init__(self, clock, seconds=0):
        self.clock = clock
        self.seconds = seconds
        self.times = []

    async def request_permits(self, step, runners, timeout):
        self.times.append(self.clock.monotonic())
        await curio.sleep(self.seconds)
        raise AdviceError('no answer')


def make_owner(context, clock, seconds=0):
    """Return a dispatcher of one host and one runner, with a job that needs advice."""
    host = Host('me', MemoryTopic(), clock)
    term = Term(1, 'me/1', WriterFence(1, 1), None, False, False)
    dispatcher = make_dispatcher(host, term, MemoryTopic(), clock)
    small = SmallCell(('w1',), queues=(make_queue('urgent', advice=ADVICE), make_queue('plain')))
    small.now = clock.monotonic()
    small.poll('w1')
    small.add_job('j1', [step()]).stored_runners.add('w1')
    dispatcher.cell = dispatcher._owner_context.cell = small.cell
    dispatcher._planner = small.planner
    context.service = FailingService(clock, seconds)
    dispatcher._advice_pool._local_advisor = LocalAdvisor(context.service)
    context.small = small
    return dispatcher


@given('an owner whose only request for advice fails at once')
def failing_owner(context):
    async def plan(clock):
        dispatcher = make_owner(context, clock)
        await curio.spawn(dispatcher._run_planner, daemon=True)
        await curio.sleep(0.6)

    context.play = plan


@given('an owner whose planner cannot send the starts of a plan')
def unsendable_owner(context):
    async def plan(clock):
        dispatcher = make_owner(context, clock)
        context.small.add_job('j2', [step()], queue='plain').stored_runners.add('w1')
        dispatcher._order_sender.send_starts = fail
        try:
            await dispatcher._plan_and_send_orders()
        except RuntimeError:
            await curio.sleep(0.05)

    context.play = plan


@given('an owner whose term ends while {count:d} requests for advice wait')
def ending_owner(context, count):
    async def end(clock):
        dispatcher = make_owner(context, clock, seconds=0.3)
        running = await curio.spawn(dispatcher.run)
        for number in range(count):
            policy = AdvicePolicy(*ADVICE)
            request = AdviceRequest(StepName(f'k{number}', 0, 0), ('w1',), 0, policy)
            await dispatcher._advice_pool.submit_request(request)
        await curio.sleep(0.05)
        await dispatcher._owner_context.end_term('another host owns the cell')
        await running.join()
        context.calls_at_end = len(context.service.times)
        await curio.sleep(5)

    context.play = end


async def fail(*ignored):
    """Fail as by a fault of the program."""
    raise RuntimeError('a fault of the program')


@when('the owner runs')
def run_owner(context):
    run_in_virtual_time(context.play)


@then('it requests advice again within {seconds:g} s')
def check_retry(context, seconds):
    times = context.service.times
    assert len(times) > 1 and times[1] - times[0] <= seconds, times


@then('the requests of the plan are sent')
def check_sent(context):
    assert context.service.times


@then('no request is sent after its end')
def check_no_calls(context):
    assert len(context.service.times) == context.calls_at_end, context.service.times


@given('a policy service that never answers')
def silent_service(context):
    async def answer(request):
        await curio.sleep(30)

    context.answer = answer


@when('a call with a timeout of {timeout:g} s is made {pause:g} s after another one')
def call_twice(context, timeout, pause):
    async def call(advice):
        started_at = time.monotonic()
        try:
            await advice.request_permits(StepName('j1', 0, 0), ('w1',), timeout)
        except AdviceError:
            return time.monotonic() - started_at

    async def call_both():
        async with AsyncExitStack() as stack:
            server = Server(context.answer)
            await server.start(stack, '127.0.0.1', 0)
            advice = HttpAdvice(Address('127.0.0.1', server.port))
            first = await curio.spawn(call, advice)
            await curio.sleep(pause)
            seconds = await call(advice)
            await first.join()
            await advice.close()
            return seconds

    context.seconds = curio.run(call_both)


@then('it fails within {seconds:g} s')
def check_seconds(context, seconds):
    assert context.seconds <= seconds, context.seconds
