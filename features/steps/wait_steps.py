"""Steps for the wait for earlier owners' leases."""

import curio
from behave import given, then, when

from dandelionreel.cell.membership._election import AUTHORITY_SECONDS, Term
from dandelionreel.cell.model import WriterFence
from dandelionreel.cell.model._model import JobSpec, JobState
from dandelionreel.cell.model._records import (
    OWNER_KEY,
    PREDECESSOR_LEASE_SECONDS,
    PROGRESS_PREFIX,
    RUNNERS_IN_USE_KEY,
    SUBMISSION_PREFIX,
    Owner,
    Progress,
    RunnersInUse,
    Submission,
    make_record,
)
from dandelionreel.cell.model._services import RecordBatch
from dandelionreel.cell.owner._owner_context import LEASE_SECONDS
from dandelionreel.cell.owner._predecessor_leases import PredecessorLeases, lease_upper_bound
from dandelionreel.cell.store._cell_state import CellState
from dandelionreel.cell.store._projections import CellProjection
from dandelionreel.kernel import ManualClock
from features.cell_parts import step
from features.store_parts import DRIFT, Host, journal, make_dispatcher
from standins import MemoryTopic

MAX_WAIT_SECONDS = AUTHORITY_SECONDS + LEASE_SECONDS * DRIFT


@given('a store with an owner that a new host has never heard from, and its job on w9')
def owner_with_job(context):
    context.topic = MemoryTopic()
    submission = Submission('urgent', 'desk', 0.0, JobSpec('payload', (step(),)))
    records = [
        make_record(OWNER_KEY, Owner(4, 'other', 'other/1')),
        make_record(f'{SUBMISSION_PREFIX}j1', submission),
        make_record(f'{PROGRESS_PREFIX}j1', Progress(4, JobState.RUNNING, runners=('w9',))),
        make_record(RUNNERS_IN_USE_KEY, RunnersInUse(4, ('w9',))),
    ]
    curio.run(context.topic.append, records, 0.1, WriterFence(4, 3))
    context.host = Host('me', context.topic)
    context.started_at = context.host.clock.monotonic()


@when('that host owns the cell')
def owns(context):
    term = curio.run(context.host.own)
    context.dispatcher = make_dispatcher(context.host, term, context.topic, context.host.clock)
    context.dispatcher._load_state()


@then('that job stays blocked for all 17.7 s, and not for longer')
def blocked_for_all(context):
    cell = context.dispatcher.cell
    job = cell.job_by_id['j1']
    drop_unseen_runners = context.dispatcher._periodic_checks._drop_unseen_runners
    drop_unseen_runners(context.started_at + MAX_WAIT_SECONDS)
    assert cell.is_blocked(job)
    drop_unseen_runners(context.started_at + MAX_WAIT_SECONDS + LEASE_SECONDS)
    assert not cell.is_blocked(job)


@given('the longest lease that an owner may grant at the end of its authority')
def make_longest_lease(context):
    context.longest = AUTHORITY_SECONDS + lease_upper_bound(LEASE_SECONDS)


@then('the wait that a claim announces covers it')
def check_claim_covers_lease(context):
    assert context.longest <= PREDECESSOR_LEASE_SECONDS < context.longest + 0.2


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
    assert context.predecessor_leases.expire_at == context.end_before >= 1000.0 + MAX_WAIT_SECONDS


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
