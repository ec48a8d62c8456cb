"""Steps on the election of the owner of a cell."""

import curio
from behave import given, then, when

from dandelionreel.cell.decisions import Cell
from dandelionreel.cell.membership._claim_order import compute_claim_delay, find_zone_writer
from dandelionreel.cell.membership._election import Term
from dandelionreel.cell.model import WriterFence
from dandelionreel.cell.model._records import (
    MEMBER_PREFIX,
    OWNER_KEY,
    Member,
    Owner,
    make_record,
)
from dandelionreel.cell.owner._owner_context import OwnerContext
from dandelionreel.cell.owner._succession import Succession
from dandelionreel.cell.store._cell_state import CellState
from dandelionreel.kernel import ManualClock
from dandelionreel.peers import Done, Refused
from features.cell_parts import make_registration
from features.store_parts import LONG_TIMEOUT, Host, journal, make_dispatcher, until
from standins import MemoryTopic


@given('two hosts that have read a store without an owner')
def two_hosts(context):
    context.topic = MemoryTopic()


@when('both claim')
def both_claim(context):
    async def claim():
        hosts = [Host(name, context.topic) for name in ('a', 'b')]
        for host in hosts:
            await curio.spawn(host.follower.run, daemon=True)
        tasks = [await curio.spawn(host.claim, LONG_TIMEOUT, daemon=True) for host in hosts]
        while not any(task.terminated for task in tasks):
            await curio.sleep(0.01)
        await curio.sleep(0.3)
        context.terms = [task.result if task.terminated else None for task in tasks]
        context.cell_states = [host.projection.state for host in hosts]

    curio.run(claim)


@then('one of them owns the cell')
def one_owner(context):
    won = [term for term in context.terms if term is not None]
    assert len(won) == 1, context.terms
    assert {cell_state.owner.term for cell_state in context.cell_states} == {won[0].term}


def _topic_with_owner():
    topic = MemoryTopic()
    claim = make_record(OWNER_KEY, Owner(1, 'other', 'other/1'))
    curio.run(topic.append, [claim], 0.1, WriterFence(1, 3))
    return topic


@given('a host that follows an owner while the store is down for 5 s')
def follow_during_outage(context):
    context.topic = _topic_with_owner()
    context.clock = ManualClock()
    context.host = Host('a', context.topic, context.clock)


@given('a host that follows an owner')
def following_host(context):
    context.topic = _topic_with_owner()
    context.host = Host('a', context.topic)


@when('the store is available again')
def store_back(context):
    async def follow():
        await curio.spawn(context.host.follower.run, daemon=True)
        await until(lambda: context.host.follower.has_snapshot)
        context.topic.down = True
        await until(lambda: context.host.follower.failed_at > 0)
        context.clock.advance(5)
        context.topic.down = False
        context.term = await context.host.claim(0.5)

    curio.run(follow)


@then('the host does not claim at once')
def no_claim(context):
    assert context.term is None


@when('the owner asks for a successor')
def owner_asks(context):
    async def claim():
        await curio.spawn(context.host.follower.run, daemon=True)
        await until(lambda: context.host.follower.has_snapshot)
        context.host.election.suspect_owner('other/1')
        context.term = await context.host.claim(LONG_TIMEOUT)

    curio.run(claim)


class DelayedReadTopic(MemoryTopic):
    """A topic whose reads are blocked while ``reads_blocked`` is set."""

    reads_blocked = False

    async def read(self, offset, wait, max_bytes):
        """Read once ``reads_blocked`` is cleared."""
        while self.reads_blocked:
            await curio.sleep(0.01)
        return await super().read(offset, wait, max_bytes)


@given('a host that follows an owner that has released the cell')
def following_released(context):
    context.topic = DelayedReadTopic()
    left = make_record(OWNER_KEY, Owner(1, 'other', 'other/1', released=True))
    curio.run(context.topic.append, [left], 0.1, WriterFence(1, 4))
    context.host = Host('a', context.topic)
    context.read_delay = 0.0


@given('another host has claimed it, which this host reads {seconds:g} s late')
def other_claims_first(context, seconds):
    context.read_delay = seconds


@when('it claims')
@when('it claims until then')
def claims_left(context):
    async def read_late():
        await curio.sleep(context.read_delay)
        context.topic.reads_blocked = False

    async def claim():
        await curio.spawn(context.host.follower.run, daemon=True)
        await until(lambda: context.host.follower.has_reached_end)
        if context.read_delay:
            context.topic.reads_blocked = True
            # Let a read that is in progress end first.
            await curio.sleep(0.1)
            winner = make_record(OWNER_KEY, Owner(2, 'b', 'b/1'))
            await context.topic.append([winner], 0.1, WriterFence(2, 7))
            context.appends = context.topic.appends
            await curio.spawn(read_late, daemon=True)
        context.term = await context.host.claim(
            context.read_delay + 0.4 if context.read_delay else LONG_TIMEOUT
        )

    curio.run(claim)


@then('the other host owns the cell, and {count:d} appends were made')
def other_owns(context, count):
    assert context.term is None, context.term
    assert context.host.projection.state.owner.term == 'b/1'
    assert context.topic.appends - context.appends == count, context.topic.appends


@then('the host owns the cell with the next epoch')
def next_epoch(context):
    assert context.term is not None
    assert context.term.epoch == 2


@given('a host that follows an owner whose heartbeats are missed')
def follow_silent_owner(context):
    context.topic = _topic_with_owner()
    member = make_record(f'{MEMBER_PREFIX}other', Member('north', '10.0.0.9', 7))
    curio.run(context.topic.append, [member], 0.1)
    context.host = Host('a', context.topic)


@when('the owner answers that it {answer}')
def owner_answers(context, answer):
    context.host.owner_reply = Done() if answer == 'acts' else Refused('does not own the cell')

    async def claim():
        await curio.spawn(context.host.follower.run, daemon=True)
        await until(lambda: context.host.follower.has_snapshot)
        return await context.host.claim(2.5)

    context.term = curio.run(claim)


@then('the host {claims} the cell')
def claims_or_not(context, claims):
    assert (context.term is not None) == (claims == 'claims'), context.term


@given('a job is stored right before each of the next {count:d} appends')
def job_before_each_append(context, count):
    context.topic.faults.extend(['grow'] * count)
    context.appends = context.topic.appends


@then('{count:d} appends were made')
def appends_made(context, count):
    assert context.topic.appends - context.appends == count, context.topic.appends


@given('a host of {cores:g} cores that owns the cell')
def small_owner(context, cores):
    context.clock = ManualClock(1000)
    context.host = Host('a', MemoryTopic(), context.clock)
    context.member_by_host = context.host.projection.state.member_by_host
    context.member_by_host['a'] = Member('north', '10.0.0.1', 7, cores=cores)
    term = Term(1, 'a/1', WriterFence(1, 1), None, False, False)
    context.owner = OwnerContext(
        term, Cell(1, 3.0), MemoryTopic(), make_registration, 10.0, context.clock, journal()
    )
    context.succession = Succession(
        context.owner, context.host.projection.state, context.host, context.host.election, 'a'
    )


@given('a host of {cores:g} cores that {answers}')
def other_host(context, cores, answers):
    context.member_by_host['b'] = Member('north', '10.0.0.2', 7, cores=cores)
    if answers == 'is ready':
        context.host.owner_reply = Done()
    elif answers == 'is not ready':
        context.host.owner_reply = Refused('has not read the list of runners')


@when('{seconds:d} s have passed since its claim')
def passed_since_claim(context, seconds):
    context.clock.advance(seconds)
    curio.run(context.succession.request_or_hand_over_if_due, context.clock.monotonic())


@then('it {acts} the cell')
def hands_over_or_keeps(context, acts):
    assert context.owner.ended.is_set() == (acts == 'releases')


@given('the hosts {names}')
def hosts_of_zones(context, names):
    context.member_by_host = {}
    for name in names.split(', '):
        zone, cores = name.split('-')[0], 2.0 if 'large' in name else 0.5
        context.member_by_host[name] = Member(zone, '10.0.0.1', 7, cores=cores)


@then('after the owner {former} they claim in the order {order}')
def order_of_claims(context, former, order):
    hosts = [host for host in context.member_by_host if host != former]
    hosts.sort(key=lambda host: compute_claim_delay(context.member_by_host, host, former))
    assert hosts == order.split(', '), hosts


@then("{me} has its clients' jobs written by {writer}, with {excluded} unreachable")
def written_by(context, me, writer, excluded):
    found = find_zone_writer(context.member_by_host, me, {excluded})
    assert (found or 'itself') == writer, found


@then('the host owns the cell with epoch {epoch:d}')
def owns_with_epoch(context, epoch):
    assert context.term is not None
    assert context.term.epoch == epoch, context.term


@given('the claims of the epochs 1 and 2, and a late heartbeat of epoch 1')
def claims(context):
    context.cell_state = CellState()
    for epoch, beat in ((1, 0), (2, 0), (1, 5)):
        context.cell_state.apply([make_record(OWNER_KEY, Owner(epoch, 'h', f'h/{epoch}', beat))])


@then('the owner is that of epoch 2')
def owner_of_epoch(context):
    assert context.cell_state.owner.epoch == 2


@given('a former owner that was killed when earlier owners might act for {unsettled:g} s')
def killed_owner(context, unsettled):
    context.term = Term(3, 'me/1', WriterFence(3, 1), 999.0, False, True, unsettled)


@when('a host takes over')
def takes_over(context):
    clock = ManualClock(1000)
    host = Host('me', MemoryTopic(), clock)
    context.dispatcher = make_dispatcher(host, context.term, MemoryTopic(), clock)
    context.dispatcher._load_state()


@then('it starts no tasks of jobs on unseen runners for {wait:g} s')
def check_blocked_seconds(context, wait):
    assert (
        abs(context.dispatcher._periodic_checks.predecessor_leases.expire_at - 1000 - wait) < 0.01
    )
