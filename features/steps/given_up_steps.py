"""Steps for records whose appends were abandoned."""

import curio
from behave import given, then, when

from dandelionreel.cell.membership._election import Term
from dandelionreel.cell.model import StoreError, WriterFence
from dandelionreel.cell.model._records import (
    make_record,
)
from dandelionreel.cell.owner._runner_poller import RunnerPoller
from dandelionreel.cell.store._cell_state import CellState
from dandelionreel.kernel import ManualClock, Verdict
from features.cell_parts import SmallCell, make_registration, step
from features.store_parts import Host, make_dispatcher, make_owner_context, until
from standins import MemoryTopic

#: For each append the seconds that it takes and whether it is refused; later ones succeed at once.
OUTAGE = ((3.0, True), (0.0, False), (6.5, True))


class OutageTopic(MemoryTopic):
    """Delays and refuses appends as ``outage`` says, on a manual clock."""

    def __init__(self, clock, outage):
        super().__init__()
        self.clock = clock
        self.outage = list(outage)
        self.append_count = 0

    async def append(self, records, timeout, fence=None, expected_end=None):
        """Refuse or append."""
        self.append_count += 1
        await curio.sleep(0.05)
        seconds, refused = self.outage.pop(0) if self.outage else (0.0, False)
        self.clock.advance(seconds)
        if refused:
            raise StoreError('down', Verdict.NOT_RUN)
        return await super().append(records, timeout, fence, expected_end)


@given("an owner whose append of a task's end is about to be abandoned")
def end_append_abandoned(context):
    context.small = SmallCell(('w1',))
    context.small.add_job('j1', [step(count=2)])
    first, _ = context.small.plan().starts
    clock = ManualClock(context.small.now)
    context.topic = OutageTopic(clock, OUTAGE)
    context.owner = make_owner_context(context.small.cell, clock, context.topic)
    context.first = first
    context.state = context.small.cell.runner_by_id['w1']


@when('another poll of the runner waits for that record')
def poll_waits(context):
    async def acknowledge_twice():
        owner, topic = context.owner, context.topic
        await curio.spawn(owner.writer.run, daemon=True)
        await curio.spawn(owner.writer.write, [make_record('x', 1)], 9.0, daemon=True)
        await until(lambda: topic.append_count == 1)
        first = context.first
        context.small.poll('w1', ended=[(1, first.task, first.run, 'done')])
        poller = RunnerPoller(owner)
        await curio.spawn(poller._store_and_acknowledge_ends, context.state, 1, True, daemon=True)
        await until(lambda: topic.append_count == 3)
        topic.outage.extend([(0.0, True)] * 1000)
        await curio.spawn(poller._store_and_acknowledge_ends, context.state, 1, True, daemon=True)
        await curio.sleep(0.4)
        return (await topic.snapshot()).records

    context.stored = [record.key for record in curio.run(acknowledge_twice)]


@then('the end is not acknowledged, as the store does not have it')
def not_acknowledged(context):
    assert context.owner.may_send_orders()
    assert 'e/j1' not in context.stored, context.stored
    assert context.state.acknowledged_end == 0, 'acknowledged, but not stored'


@given('an owner whose append of a heartbeat with a new runner is about to be abandoned')
def heartbeat_append_abandoned(context):
    context.clock = ManualClock()
    context.topic = OutageTopic(context.clock, OUTAGE)
    host = Host('me', context.topic, context.clock)
    term = Term(1, 'me/1', WriterFence(1, 1), None, False, False)
    context.dispatcher = make_dispatcher(host, term, context.topic, context.clock)
    context.dispatcher._load_state()


@when('the store accepts heartbeats again')
def accepts_again(context):
    async def store_heartbeats():
        dispatcher, topic = context.dispatcher, context.topic
        writer = dispatcher._owner_context.writer
        await curio.spawn(writer.run, daemon=True)
        await curio.spawn(writer.write, [make_record('x', 1)], 9.0, daemon=True)
        await until(lambda: topic.append_count == 1)
        dispatcher.cell.update_runners({'w1': make_registration('w1')}, context.clock.monotonic())
        await curio.spawn(dispatcher._store_heartbeats, daemon=True)
        await until(lambda: topic.append_count == 6)
        return await topic.snapshot()

    context.cell_state = CellState()
    context.cell_state.apply(curio.run(store_heartbeats).records)


@then('tasks are placed on the new runner only if the store lists it')
def listed_or_unused(context):
    assert context.dispatcher._owner_context.may_send_orders()
    listed = context.cell_state.runners_in_use.runners if context.cell_state.runners_in_use else ()
    state = context.dispatcher.cell.runner_by_id['w1']
    assert 'w1' in listed or not state.recorded, f'the store lists {listed}'
