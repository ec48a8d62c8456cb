"""Steps on from when a new owner counts its right to act."""

import curio
from behave import given, then, when

from dandelionreel.cell.clients._relay import Relay
from dandelionreel.cell.membership._election import AUTHORITY_SECONDS, Term
from dandelionreel.cell.model import RecordBatch, WriterFence
from dandelionreel.cell.model._records import MEMBER, OWNER_KEY, Member, Owner, make_record
from dandelionreel.cell.owner._owner_context import LEASE_SECONDS
from dandelionreel.cell.owner._predecessors import Predecessors
from dandelionreel.kernel import ManualClock
from features.client_parts import make_call
from features.steps.release_steps import SlowTopic
from features.store_parts import DRIFT, LONG, DeafPeer, Host, journal, make_dispatcher, until
from standins import MemoryTopic

#: Enough heartbeats for their usual gap to be known.
BEATS = 20


@given('a store that answers a claim {seconds:g} s after it has carried it out')
def slow_claims(context, seconds):
    context.topic = SlowTopic()
    context.topic.delay = seconds


@when('a host claims the cell there and is cut off at once')
def claims_and_is_cut_off(context):
    async def play():
        other = Host('other', context.topic)
        await curio.spawn(other.follower.run, daemon=True)
        me = Host('me', context.topic)
        await curio.spawn(me.follower.run, daemon=True)
        await until(lambda: other.follower.started)
        term = await me.claim(LONG)
        return other, me, make_dispatcher(me, term, context.topic, me.clock)

    other, me, dispatcher = curio.run(play)
    assert other.folder.book.owner.term == 'me/1'
    # Nothing it sends is answered any more.
    context.last_lease = (
        dispatcher._owner_context.writer.stored_at + AUTHORITY_SECONDS + LEASE_SECONDS * DRIFT
    )
    now = me.clock.monotonic() + 1.5
    heard_at = other.folder.owner_heard_at
    term = Term(2, 'other/1', WriterFence(2, 1), heard_at, False, False)
    context.given_up = Predecessors(term, LEASE_SECONDS, now).until


@then('its last leases are over when a successor gives them up')
def over_when_given_up(context):
    early = context.last_lease - context.given_up
    assert early <= 0, f'given up {early:.3f} s too early'


@given('a host that has heard the owner {seconds:g} s ago')
def heard_ago(context, seconds):
    hear_every(context, [5], seconds)


@given('a host that hears the owner every {gap:g} s, the last time {seconds:g} s ago')
def heard_by_habit(context, gap, seconds):
    hear_every(context, [gap] * BEATS, seconds)


def hear_every(context, gaps, seconds):
    clock = ManualClock()
    context.host = host = Host('me', MemoryTopic(), clock)
    claim = make_record(OWNER_KEY, Owner(1, 'other', 'other/1'))
    member = make_record(f'{MEMBER}other', Member('north', '127.0.0.1', 1))
    host.folder.restart(RecordBatch((claim, member), 1, 1))
    host.follower._offset = 1
    for gap in gaps:
        clock.advance(gap)
        host.folder.fold(RecordBatch((claim,), 2, 2))
    clock.advance(seconds)
    host.follower.fresh_at = clock.monotonic()
    host.follower.reached_since = clock.monotonic() - 5


@when('a request to be passed on to the owner is not answered')
def not_answered(context):
    host = context.host
    relay = Relay(
        'me',
        host.folder.book,
        DeafPeer(),
        host.clock,
        journal(),
        host.election.note_query_unanswered,
    )
    curio.run(relay.forward_to_owner, make_call('POST', '/new/'), 1)


@when("the owner's port refuses connections")
def port_refuses(context):
    context.host.election.note_connection_refused('other/1')


@then('the cell is {vacancy}')
def cell_is(context, vacancy):
    assert context.host.election._vacancy().value == vacancy
