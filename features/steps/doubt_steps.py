"""Steps on starts of which it is not known whether they will be carried out."""

import curio
from behave import given, then, when

from dandelionreel.cell.model import StartReply
from dandelionreel.cell.model._services import RunnerError, StartAnswer
from dandelionreel.cell.owner._orders import OrderSender
from dandelionreel.kernel import ManualClock, Verdict
from features.cell_parts import SmallCell, step
from features.store_parts import make_owner_context, until


class DoubtfulRunner:
    """Gives no answer to the first start, and then the one it was told."""

    def __init__(self, reply):
        self.reply = reply
        self.starts = 0

    async def start(self, order, check):
        """Lose the first answer."""
        assert check()
        self.starts += 1
        if self.starts == 1:
            raise RunnerError('no answer', Verdict.UNKNOWN)
        return StartAnswer(self.reply, None)


@given('a start that got no answer')
def start_in_doubt(context):
    context.small = SmallCell(('w1', 'w2'))
    context.job = context.small.add_job('j1', [step()])
    (context.start,) = context.small.plan(start=False).starts
    context.job.runners.add(context.start.runner)
    context.job.stored_runners.update(('w1', 'w2'))
    context.owner = make_owner_context(context.small.cell, ManualClock(context.small.now))


@when('its second try is refused as {reply}')
def refused(context, reply):
    runner = DoubtfulRunner(StartReply[reply.upper()])
    context.owner.runner_by_id[context.start.runner] = runner

    async def send():
        await OrderSender(context.owner).send_starts([context.start])
        await until(lambda: runner.starts > 1)
        await curio.sleep(0.05)

    curio.run(send)


@then('the task is not started elsewhere before a stop has forbidden the first try')
def not_elsewhere(context):
    again = context.small.plan(start=False).starts
    assert not again, f'{again[0].task} starts on {again[0].runner} too'
