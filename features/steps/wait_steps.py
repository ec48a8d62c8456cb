"""Steps for the wait for earlier owners' leases."""

import curio
import msgspec
from behave import given, then, when

from dandelionreel.cell.decisions._cell import MAX_CLOCK_DRIFT
from dandelionreel.cell.decisions._runner_state import RunnerState
from dandelionreel.cell.membership._election import Term
from dandelionreel.cell.model import WriterFence
from dandelionreel.cell.model._model import JobSpec, JobState
from dandelionreel.cell.model._records import (
    LEASES_END_SECONDS,
    OWNER_KEY,
    PROGRESS_PREFIX,
    RUNNERS_IN_USE_KEY,
    SUBMISSION_PREFIX,
    UNKNOWN_LEASES_END_SECONDS,
    Owner,
    Progress,
    RunnersInUse,
    Submission,
    make_record,
)
from dandelionreel.cell.model._services import RecordBatch
from dandelionreel.cell.owner._owner_context import LEASE_SECONDS
from dandelionreel.cell.owner._predecessor_leases import PredecessorLeases
from dandelionreel.cell.store._cell_state import CellState
from dandelionreel.cell.store._projections import CellProjection
from dandelionreel.kernel import ManualClock
from features.cell_parts import SmallCell, make_registration, step
from features.store_parts import Host, journal, make_dispatcher, make_owner_context
from standins import MemoryTopic


def make_former_owner(says):
    """Return the record of an owner of epoch 4, as the scenario describes it."""
    leases_end = LEASES_END_SECONDS if says.startswith('says') else UNKNOWN_LEASES_END_SECONDS
    unsettled = 15 if '15 s were left' in says else 0
    return make_record(
        OWNER_KEY, Owner(4, 'other', 'other/1', unsettled=unsettled, leases_end=leases_end)
    )


@given('a store with an owner whose record {says} when its leases end, and its job on w9')
def owner_with_job(context, says):
    context.topic = MemoryTopic()
    submission = Submission('urgent', 'desk', 0.0, JobSpec('payload', (step(),)))
    records = [
        make_former_owner(says),
        make_record(f'{SUBMISSION_PREFIX}j1', submission),
        make_record(f'{PROGRESS_PREFIX}j1', Progress(4, JobState.RUNNING, runners=('w9',))),
        make_record(RUNNERS_IN_USE_KEY, RunnersInUse(4, ('w9',))),
    ]
    curio.run(context.topic.append, records, 0.1, WriterFence(4, 3))
    context.host = Host('me', context.topic)
    context.started_at = context.host.clock.monotonic()


@when('a host that has never heard from it owns the cell')
def owns(context):
    term = curio.run(context.host.own)
    context.dispatcher = make_dispatcher(context.host, term, context.topic, context.host.clock)
    context.dispatcher._load_state()


@then('that job stays blocked for all {seconds:g} s, and not for longer')
def blocked_for_all(context, seconds):
    cell = context.dispatcher.cell
    job = cell.job_by_id['j1']
    drop_unseen_runners = context.dispatcher._periodic_checks._drop_unseen_runners
    drop_unseen_runners(context.started_at + seconds)
    assert cell.is_blocked(job)
    drop_unseen_runners(context.host.clock.monotonic() + seconds + 0.2)
    assert not cell.is_blocked(job)


@given('an owner whose latest answered append is {age:g} s old')
def owner_of_age(context, age):
    context.clock = ManualClock(1000)
    context.owner = make_owner_context(SmallCell(runners=()).cell, context.clock)
    context.appended_at = context.owner.writer.stored_at
    context.clock.advance(age)


@given('a runner whose clock is 2% slow, read by it {reading:g} s ago')
def runner_with_slow_clock(context, reading):
    now = context.clock.monotonic()
    context.state = RunnerState(make_registration('w1'))
    context.state.record_clock(0.0, now - reading)
    context.real_clock = reading * (1 - MAX_CLOCK_DRIFT)


@when('the owner grants a lease there')
def grant_lease(context):
    now = context.clock.monotonic()
    context.lease = context.owner.lease_for(context.state, now)
    lease_until = context.state.extend_lease(now, context.lease)
    context.expires_at = now + (lease_until - context.real_clock) / (1 - MAX_CLOCK_DRIFT)


@then("the lease ends by when the owner's record says, and lasts {lease:g} s")
def check_lease_end(context, lease):
    says = context.owner.term.make_owner_record().leases_end
    assert context.expires_at <= context.appended_at + says, context.expires_at
    assert abs(context.lease - lease) < 0.001, context.lease


@given('a former owner whose record {says} when its leases end')
def former_owner(context, says):
    context.topic = MemoryTopic()
    curio.run(context.topic.append, [make_former_owner(says)], 0.1, WriterFence(4, 3))


@when('a host claims the cell')
def claim(context):
    curio.run(Host('me', context.topic).own)


@then('the wait that its claim announces is {seconds:g} s')
def check_announced_wait(context, seconds):
    claims = [record for record in context.topic.records if record.key == OWNER_KEY]
    assert msgspec.json.decode(claims[1].content)['unsettled'] == seconds, claims[1]


@given('a wait for an owner that was heard from just now')
def wait_for_owner(context):
    former = Owner(1, 'other', 'other/1')
    term = Term(2, 'me/1', WriterFence(2, 1), 1000.0, False, False, former=former)
    context.predecessor_leases = PredecessorLeases(term, LEASE_SECONDS, 1000.0)
    context.end_before = context.predecessor_leases.expire_at


@when('its successor checks for proof that it has ended and finds none')
def no_proof(context):
    assert not context.predecessor_leases.shorten_if_owner_ended(CellState(), 1001.0)


@then('the wait is as long as before')
def check_wait_unchanged(context):
    expected = 1000.0 + UNKNOWN_LEASES_END_SECONDS
    assert context.predecessor_leases.expire_at == context.end_before == expected


@given('a host that has long known the owner')
def known_owner(context):
    context.clock = ManualClock()
    context.projection = CellProjection(context.clock, journal())
    context.projection.load_snapshot(
        RecordBatch((make_record(OWNER_KEY, Owner(1, 'o', 'o/1')),), 1, 1)
    )


@when('it reads a snapshot with a later heartbeat of that owner')
def later_snapshot(context):
    context.clock.advance(20)
    record = make_record(OWNER_KEY, Owner(1, 'o', 'o/1', 9))
    context.projection.load_snapshot(RecordBatch((record,), 9, 9))


@then('the owner counts as heard from just now')
def check_heard_just_now(context):
    assert context.projection.owner_heartbeat_at == context.clock.monotonic()
