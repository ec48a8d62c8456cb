"""Steps on what a release leaves out."""

import curio
from behave import given, then, when

from dandelionreel.cell import WriterFence
from dandelionreel.cell._records import ATTENDED_KEY, OWNER_KEY, Attended, Owner, make_record
from features.store_parts import Host, make_dispatcher
from standins import MemoryTopic

SLOW = 0.5


@given('a successor that waits for the leases of an owner that was cut off')
def waiting(context):
    context.topic = MemoryTopic()
    records = [
        make_record(OWNER_KEY, Owner(1, 'other', 'other/1')),
        make_record(ATTENDED_KEY, Attended(1, ('w9',))),
    ]
    curio.run(context.topic.append, records, 0.1, WriterFence(1, 3))
    context.host = Host('me', context.topic)


@when('it releases the cell to a third owner')
def releases_to_third(context):
    async def own_and_release():
        term = await context.host.own()
        dispatcher = make_dispatcher(context.host, term, context.topic, context.host.clock)
        dispatcher._begin()
        await curio.spawn(dispatcher._desk.writer.run, daemon=True)
        await dispatcher._release()
        third = Host('next', context.topic, context.host.clock)
        return dispatcher, third, await third.own()

    context.dispatcher, third, term = curio.run(own_and_release)
    assert context.dispatcher.cell.unseen == {'w9'}
    assert term.released, term
    context.third = make_dispatcher(third, term, context.topic, third.clock)
    context.third._begin()


@then('the third owner waits no less than the successor would have')
def waits_as_long(context):
    assert context.third.cell.unseen == {'w9'}
    wanted = context.dispatcher._rounds.predecessors.until
    given_up = context.third._rounds.predecessors.until
    assert given_up >= wanted - 0.05, f'{wanted - given_up:.3f} s too early'


class SlowTopic(MemoryTopic):
    """Answers appends late, when told to."""

    delay = 0.0

    async def append(self, records, timeout, fence=None, expected_end=None):
        """Append at once and answer late."""
        offset = await super().append(records, timeout, fence, expected_end)
        await curio.sleep(self.delay)
        return offset


@given('an owner of a cell whose store takes half a second to answer')
def slow_owner(context):
    context.topic = SlowTopic()
    context.host = Host('me', context.topic)


@when('it is told to end')
def told_to_end(context):
    async def own_and_end():
        term = await context.host.own()
        dispatcher = make_dispatcher(context.host, term, context.topic, context.host.clock)
        context.topic.delay = SLOW
        running = await curio.spawn(dispatcher.run)
        await curio.sleep(SLOW)
        await dispatcher.end()
        await running.join()
        return (await context.topic.snapshot()).records

    context.records = curio.run(own_and_end)


@then('the newest word of it in the store is its release')
def release_is_newest(context):
    (newest,) = (record for record in context.records if record.key == OWNER_KEY)
    words = [record.content for record in context.topic.records if record.key == OWNER_KEY]
    assert b'"released":true' in b''.join(words), words
    assert b'"released":true' in newest.content, words
