"""Steps for an owner that decides faster than its starts are answered."""

import curio
from behave import given, then, when

from dandelionreel.cell.model import AdvicePolicy, Demand, Permit, StartAnswer, StartReply
from dandelionreel.cell.owner._orders import OrderSender
from dandelionreel.kernel import ManualClock, SystemClock
from features.cell_parts import SmallCell, make_queue, make_registration, step
from features.store_parts import make_owner_context

LARGE_CAPACITY = Demand(400_000, 400_000, 0)
ADVISED_QUEUE = make_queue('advised', advice=(0.01, 0.0001, 2.0))


class SlowRunner:
    """Answers starts after a delay, and counts the pending ones."""

    pending = 0
    max_pending = 0

    def __init__(self, seconds):
        self._seconds = seconds
        self.started = []

    async def start_task(self, order, check):
        SlowRunner.pending += 1
        SlowRunner.max_pending = max(SlowRunner.max_pending, SlowRunner.pending)
        self.started.append(order.task.job)
        await curio.sleep(self._seconds)
        SlowRunner.pending -= 1
        return StartAnswer(StartReply.STARTED, 0.0)

    async def close(self):
        """Do nothing, as no connection is open."""


def make_owner(context, clock, seconds):
    context.small = SmallCell(runners=())
    context.small.registration_by_id = {'w1': make_registration('w1', capacity=LARGE_CAPACITY)}
    context.small.update_runners()
    context.small.poll('w1')
    context.owner = make_owner_context(context.small.cell, clock)
    context.owner.writer.stored_at = clock.monotonic()
    context.runner = SlowRunner(seconds)
    context.owner.runner_by_id['w1'] = context.runner
    context.orders = OrderSender(context.owner)


def add_job(context, job, steps, queue):
    added = context.small.add_job(job, steps, queue)
    added.stored_runners.add('w1')
    return added


@given('an owner whose runners take long to answer')
def slow_runners(context):
    SlowRunner.pending = SlowRunner.max_pending = 0
    make_owner(context, SystemClock(), 0.01)


@when('300 batch tasks wait and then an urgent one arrives')
def many_wait(context):
    context.batch = add_job(context, 'batch', [step(1000, 300)], 'batch')
    context.plans = 0

    async def dispatch():
        while len(context.runner.started) < 301 or SlowRunner.pending:
            seen = context.owner.plan_needed.count
            if len(context.runner.started) > 60 and 'urgent' not in context.small.cell.job_by_id:
                add_job(context, 'urgent', [step(1000)], 'urgent')
            plan = context.small.planner.plan(
                context.small.now, context.small.now, max_starts=context.orders.free_start_slots
            )
            context.plans += 1
            await context.orders.send_starts(plan.starts)
            await context.owner.plan_needed.wait(seen, 0.1)

    curio.run(curio.timeout_after, 20, dispatch)


@then('no more than {most:d} starts are pending at any time')
def check_pending_starts(context, most):
    assert 0 < SlowRunner.max_pending <= most, SlowRunner.max_pending


@then('the urgent one is sent before half of the batch tasks')
def urgent_first(context):
    assert context.runner.started.index('urgent') < 150


@then('all of them are started in the end, in few plans')
def all_started(context):
    assert len(context.runner.started) == 301
    assert context.plans < 30, context.plans


@given('an owner with a start that carries a ticket for {seconds:g} s')
def ticketed_start(context, seconds):
    context.clock = ManualClock(1000)
    make_owner(context, context.clock, 0.0)
    small = context.small
    small.now = context.clock.monotonic()
    small.poll('w1')
    job = add_job(context, 'advised', [step(1000)], 'advised')
    small.planner.plan(small.now, small.now)
    name = job.steps(0)[0].name
    small.cell.tickets.record_advice(name, ['w1'], [Permit('w1', 'ticket')], small.now + seconds)
    (context.start,) = small.planner.plan(small.now, small.now).starts
    assert ADVISED_QUEUE.advice == AdvicePolicy(0.01, 0.0001, 2.0) and context.start.ticket


@when('the start can be sent {seconds:g} s later')
def send_later(context, seconds):
    context.clock.advance(seconds)
    context.owner.writer.stored_at = context.clock.monotonic()

    async def dispatch():
        await context.orders.send_starts([context.start])
        await curio.sleep(0.02)

    curio.run(dispatch)


@then('the start is {fate}')
def start_fate(context, fate):
    assert bool(context.runner.started) is (fate == 'sent'), context.runner.started
    if fate == 'not sent':
        assert not context.small.runs_on('w1')
