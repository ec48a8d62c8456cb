"""Steps for starts with an unknown outcome."""

import curio
from behave import given, then, when

from dandelionreel.cell.model import StartReply
from dandelionreel.cell.model._services import RunnerError, StartAnswer
from dandelionreel.cell.owner._orders import OrderSender
from dandelionreel.kernel import ManualClock, Verdict
from features.cell_parts import SmallCell, step
from features.store_parts import make_owner_context, until


class UnansweringRunner:
    """Does not answer the first start, and answers later ones with ``reply``."""

    def __init__(self, reply):
        self.reply = reply
        self.starts = 0

    async def start_task(self, order, check):
        """Raise for the first start, answer the later ones."""
        assert check()
        self.starts += 1
        if self.starts == 1:
            raise RunnerError('no answer', Verdict.UNKNOWN)
        return StartAnswer(self.reply, None)


@given('a start that got no answer')
def start_without_answer(context):
    context.small = SmallCell(('w1', 'w2'))
    context.job = context.small.add_job('j1', [step()])
    (context.start,) = context.small.plan(start=False).starts
    context.job.runners.add(context.start.runner)
    context.job.stored_runners.update(('w1', 'w2'))
    context.owner = make_owner_context(context.small.cell, ManualClock(context.small.now))


@when('its second attempt is refused as {reply}')
def refuse_second_attempt(context, reply):
    runner = UnansweringRunner(StartReply[reply.upper()])
    context.owner.runner_by_id[context.start.runner] = runner

    async def send():
        await OrderSender(context.owner).send_starts([context.start])
        await until(lambda: runner.starts > 1)
        await curio.sleep(0.05)

    curio.run(send)


@then('the task is not started elsewhere until a stop has ruled out the first attempt')
def not_elsewhere(context):
    starts = context.small.plan(start=False).starts
    assert not starts, f'{starts[0].task} starts on {starts[0].runner} too'
