"""Steps for the release of a cell by its owner."""

import time

import curio
from behave import given, then, when

from dandelionreel.cell.model import WriterFence
from dandelionreel.cell.model._records import (
    MEMBER_PREFIX,
    OWNER_KEY,
    RUNNERS_IN_USE_KEY,
    Member,
    Owner,
    RunnersInUse,
    make_record,
)
from dandelionreel.kernel import Verdict
from dandelionreel.peers import Done, Frame, OwnerFailing, PeerError
from features.store_parts import Host, make_dispatcher
from standins import MemoryTopic

APPEND_SECONDS = 0.5


@given('a successor that waits for the leases of a partitioned owner')
def waiting(context):
    context.topic = MemoryTopic()
    records = [
        make_record(OWNER_KEY, Owner(1, 'other', 'other/1')),
        make_record(RUNNERS_IN_USE_KEY, RunnersInUse(1, ('w9',))),
    ]
    curio.run(context.topic.append, records, 0.1, WriterFence(1, 3))
    context.host = Host('me', context.topic)


@when('it releases the cell to a third owner')
def releases_to_third(context):
    async def own_and_release():
        term = await context.host.own()
        dispatcher = make_dispatcher(context.host, term, context.topic, context.host.clock)
        dispatcher._load_state()
        await curio.spawn(dispatcher._owner_context.writer.run, daemon=True)
        await dispatcher._release_cell()
        third = Host('next', context.topic, context.host.clock)
        return dispatcher, third, await third.own()

    context.dispatcher, third, term = curio.run(own_and_release)
    assert context.dispatcher.cell.unseen_runners == {'w9'}
    assert term.released, term
    context.third_owner = make_dispatcher(third, term, context.topic, third.clock)
    context.third_owner._load_state()


@then('the third owner waits no less than the successor would have')
def check_third_wait(context):
    assert context.third_owner.cell.unseen_runners == {'w9'}
    successor_end = context.dispatcher._periodic_checks.predecessor_leases.expire_at
    third_end = context.third_owner._periodic_checks.predecessor_leases.expire_at
    assert third_end >= successor_end - 0.05, f'{successor_end - third_end:.3f} s too early'


class SlowTopic(MemoryTopic):
    """Answers each append after ``delay`` seconds."""

    delay = 0.0

    async def append(self, records, timeout, fence=None, expected_end=None):
        """Append at once and answer after the delay."""
        offset = await super().append(records, timeout, fence, expected_end)
        await curio.sleep(self.delay)
        return offset


@given('an owner of a cell whose store takes half a second to answer')
def slow_owner(context):
    context.topic = SlowTopic()
    context.host = Host('me', context.topic)


@when('it is told to end its term')
def told_to_end(context):
    async def own_and_end():
        term = await context.host.own()
        dispatcher = make_dispatcher(context.host, term, context.topic, context.host.clock)
        context.topic.delay = APPEND_SECONDS
        running = await curio.spawn(dispatcher.run)
        await curio.sleep(APPEND_SECONDS)
        await dispatcher.end_term()
        await running.join()
        return (await context.topic.snapshot()).records

    context.records = curio.run(own_and_end)


@then('its newest record in the store is the release')
def release_is_newest(context):
    (newest,) = (record for record in context.records if record.key == OWNER_KEY)
    contents = [record.content for record in context.topic.records if record.key == OWNER_KEY]
    assert b'"released":true' in b''.join(contents), contents
    assert b'"released":true' in newest.content, contents


class SuccessorLinks:
    """Links to a peer that is asked to take over and may claim the cell 0.3 s later."""

    def __init__(self, topic, answers):
        self._topic = topic
        self._claims = answers.startswith('claims')
        self._silent = answers.startswith('does not')
        self.claimed_at = None

    async def request(self, member, message, timeout):
        """Acknowledge a request to take over, and claim the cell if told to."""
        if self._silent or not isinstance(message, OwnerFailing):
            raise PeerError('no answer in time', Verdict.UNKNOWN)
        if self._claims:
            await curio.spawn(self._claim, daemon=True)
        return Frame(1, 'peer/1', 0, 0, Done())

    async def _claim(self):
        await curio.sleep(0.3)
        claim = make_record(OWNER_KEY, Owner(9, 'peer', 'peer/1'))
        await self._topic.append([claim], 0.1, WriterFence(9, 1))
        self.claimed_at = time.monotonic()


@given('an owner with a peer that {answers}')
def owner_with_peer(context, answers):
    context.topic = MemoryTopic()
    context.host = Host('me', context.topic)
    context.links = SuccessorLinks(context.topic, answers)
    member = make_record(f'{MEMBER_PREFIX}peer', Member('north', '127.0.0.1', 1))
    curio.run(context.topic.append, [member], 0.1)


@when('it hands over the cell')
def hands_over(context):
    async def own_and_give_up():
        term = await context.host.own()
        dispatcher = make_dispatcher(
            context.host, term, context.topic, context.host.clock, links=context.links
        )
        running = await curio.spawn(dispatcher.run)
        await curio.sleep(0.1)
        await dispatcher.end_term()
        context.acting_times = []
        while not running.terminated:
            if dispatcher.may_send_orders:
                context.acting_times.append(time.monotonic())
            await curio.sleep(0.005)
        await running.join()

    curio.run(own_and_give_up)


@then('it acts until {end}, and releases {released}')
def acted_until(context, end, released):
    contents = [record.content for record in context.topic.records if record.key == OWNER_KEY]
    assert any(b'"released":true' in content for content in contents) is (released == 'the cell'), (
        contents
    )
    if end == 'it was fenced':
        # Its next append, at the latest a heartbeat, is refused with the higher epoch.
        assert (
            context.links.claimed_at - 0.05
            < context.acting_times[-1]
            < context.links.claimed_at + 1
        )
