"""Steps for the authority of a new owner and the vacancy of a cell."""

import curio
from behave import given, then, when

from dandelionreel.cell.clients._relay import Relay
from dandelionreel.cell.decisions._cell import MAX_CLOCK_DRIFT
from dandelionreel.cell.decisions._runner_state import RunnerState
from dandelionreel.cell.membership._election import AUTHORITY_SECONDS, Term
from dandelionreel.cell.model import RecordBatch, WriterFence
from dandelionreel.cell.model._records import MEMBER_PREFIX, OWNER_KEY, Member, Owner, make_record
from dandelionreel.cell.owner._owner_context import LEASE_SECONDS
from dandelionreel.cell.owner._predecessor_leases import PredecessorLeases
from dandelionreel.kernel import ManualClock
from features.cell_parts import make_registration
from features.client_parts import make_call
from features.steps.release_steps import SlowTopic
from features.store_parts import (
    LONG_TIMEOUT,
    Host,
    SilentPeerLinks,
    journal,
    make_dispatcher,
    until,
)
from standins import MemoryTopic

#: Enough heartbeats for the host to know their usual interval.
HEARTBEATS = 20


@given('a store that answers a claim {seconds:g} s after applying it')
def slow_claims(context, seconds):
    context.topic = SlowTopic()
    context.topic.delay = seconds


def find_last_lease_end(owner):
    """Return when the last lease ends that an owner may grant without another answered append."""
    state = RunnerState(make_registration('w1'))
    ends = []
    for tenth in range(int(10 * AUTHORITY_SECONDS)):
        now = owner.writer.stored_at + tenth / 10
        state.record_clock(0.0, now)
        ends.append(now + owner.lease_for(state, now) / (1 - MAX_CLOCK_DRIFT))
    return max(ends)


@when('a host claims the cell and is partitioned from the store at once')
def claims_and_is_partitioned(context):
    async def claim():
        other = Host('other', context.topic)
        await curio.spawn(other.follower.run, daemon=True)
        me = Host('me', context.topic)
        await curio.spawn(me.follower.run, daemon=True)
        await until(lambda: other.follower.has_snapshot)
        term = await me.claim(LONG_TIMEOUT)
        return other, me, make_dispatcher(me, term, context.topic, me.clock)

    other, me, dispatcher = curio.run(claim)
    assert other.projection.state.owner.term == 'me/1'
    # From here on no append of the new owner is answered.
    context.last_lease = find_last_lease_end(dispatcher._owner_context)
    now = me.clock.monotonic() + 1.5
    heard_at = other.projection.owner_heartbeat_at
    former = other.projection.state.owner
    term = Term(2, 'other/1', WriterFence(2, 1), heard_at, False, False, former=former)
    context.wait_end = PredecessorLeases(term, LEASE_SECONDS, now).expire_at


@then('its last leases have expired when a successor stops waiting for them')
def expired_at_wait_end(context):
    early = context.last_lease - context.wait_end
    assert early <= 0, f'the wait ends {early:.3f} s too early'


@given('a host that heard from the owner {seconds:g} s ago')
def heard_ago(context, seconds):
    send_heartbeats(context, [5], seconds)


@given('a host that hears from the owner every {gap:g} s, the last time {seconds:g} s ago')
def heard_regularly(context, gap, seconds):
    send_heartbeats(context, [gap] * HEARTBEATS, seconds)


def send_heartbeats(context, gaps, seconds):
    clock = ManualClock()
    context.host = host = Host('me', MemoryTopic(), clock)
    claim = make_record(OWNER_KEY, Owner(1, 'other', 'other/1'))
    member = make_record(f'{MEMBER_PREFIX}other', Member('north', '127.0.0.1', 1))
    host.projection.load_snapshot(RecordBatch((claim, member), 1, 1))
    host.follower._offset = 1
    for gap in gaps:
        clock.advance(gap)
        host.projection.apply(RecordBatch((claim,), 2, 2))
    clock.advance(seconds)
    host.follower.fresh_at = clock.monotonic()
    host.follower.reachable_since = clock.monotonic() - 5


@when('a request that is forwarded to the owner is not answered')
def not_answered(context):
    host = context.host
    relay = Relay(
        'me',
        host.projection.state,
        SilentPeerLinks(),
        host.clock,
        journal(),
        host.election.record_query_unanswered,
    )
    curio.run(relay.forward_to_owner, make_call('POST', '/new/'), 1)


@when("the owner's port refuses connections")
def port_refuses(context):
    context.host.election.record_connection_refused('other/1')


@then('the cell is {vacancy}')
def check_vacancy(context, vacancy):
    assert context.host.election._find_vacancy().value == vacancy
