"""Steps for what one owner passes on to its successor."""

import curio
from behave import given, then, when

from dandelionreel.cell.membership._election import AUTHORITY_SECONDS, Term
from dandelionreel.cell.model import WriterFence
from dandelionreel.cell.model._records import (
    MEMBER_PREFIX,
    OWNER_KEY,
    SUBMISSION_PREFIX,
    Member,
    Owner,
    RunnersInUse,
    make_record,
)
from dandelionreel.cell.owner._orders import OrderSender
from dandelionreel.cell.owner._owner_context import LEASE_SECONDS
from dandelionreel.cell.store._cell_state import CellState
from dandelionreel.kernel import ManualClock
from features.cell_parts import SmallCell, make_queue, make_registration, step
from features.store_parts import DRIFT, Host, make_dispatcher, make_owner_context, until
from standins import MemoryTopic


@given("a host that starts after the owner's last heartbeat")
def late_host(context):
    context.topic = MemoryTopic()
    claim = make_record(OWNER_KEY, Owner(4, 'other', 'other/1'))
    curio.run(context.topic.append, [claim], 0.1, WriterFence(4, 3))
    context.host = Host('me', context.topic)
    context.started_at = context.host.clock.monotonic()


@when('it owns the cell')
def late_host_owns(context):
    term = curio.run(context.host.own)
    assert term.epoch == 5
    host = context.host
    context.dispatcher = make_dispatcher(host, term, context.topic, host.clock)
    context.dispatcher._load_state()


@then('it does not restart tasks of unseen runners until all leases of that owner have expired')
def waits_for_all_leases(context):
    # The owner's last append was answered before the host first read the store.
    last_lease = context.started_at + AUTHORITY_SECONDS + LEASE_SECONDS * DRIFT
    assert context.dispatcher._periodic_checks.predecessor_leases.expire_at >= last_lease


@given('a successor that waits for the runner w9, whose entry it has never seen')
def waiting_successor(context):
    context.topic = MemoryTopic()
    context.host = Host('me', context.topic)
    context.host.projection.state.runners_in_use = RunnersInUse(1, ('w9',))
    heard_at = context.host.clock.monotonic()
    term = Term(2, 'me/1', WriterFence(2, 1), heard_at, False, False)
    context.dispatcher = make_dispatcher(context.host, term, context.topic, context.host.clock)
    context.dispatcher._load_state()
    context.dispatcher.cell.update_runners({'w1': make_registration('w1')}, heard_at)


@when('the successor stores the runners on which tasks may run')
def stores_runners(context):
    async def store_heartbeats():
        owner = context.dispatcher._owner_context
        await curio.spawn(owner.writer.run, daemon=True)
        await curio.spawn(context.dispatcher._store_heartbeats, daemon=True)
        await until(lambda: context.topic.records)
        return await context.topic.snapshot()

    context.cell_state = CellState()
    context.cell_state.apply(curio.run(store_heartbeats).records)


@then('w9 is among them')
def w9_listed(context):
    assert context.cell_state.runners_in_use is not None, 'no runners were stored'
    assert 'w9' in context.cell_state.runners_in_use.runners, context.cell_state.runners_in_use


class ProbedTopic(MemoryTopic):
    """Records the result of ``probe()`` while each append is pending."""

    def __init__(self, probe):
        super().__init__()
        self.probe = probe
        self.probe_results = []

    async def append(self, records, timeout, fence=None, expected_end=None):
        """Append, and call the probe before answering."""
        offset = await super().append(records, timeout, fence, expected_end)
        await curio.sleep(0)
        self.probe_results.append(self.probe())
        return offset


@given('an owner whose release is answered late')
def releasing_owner(context):
    context.topic = ProbedTopic(lambda: context.dispatcher.may_send_orders)
    host = Host('me', context.topic)
    term = Term(1, 'me/1', WriterFence(1, 1), None, False, False)
    context.dispatcher = make_dispatcher(host, term, context.topic, host.clock)


@when('it releases the cell')
def releases(context):
    async def release():
        await curio.spawn(context.dispatcher._owner_context.writer.run, daemon=True)
        await context.dispatcher._release_cell()

    curio.run(release)


@then('it may not act while the release is pending')
def may_not_act(context):
    assert context.topic.records[-1].key == OWNER_KEY
    assert context.topic.probe_results[-1] is False, context.topic.probe_results


@given('an owner incarnation that first read the store at offset {offset:d}')
def owner_incarnation(context, offset):
    context.cell_state = CellState()
    owner = Term(
        3, 'other/3', WriterFence(3, 1), None, False, False, read_from=offset
    ).make_owner_record()
    member = Member('north', '10.0.0.9', 7, 'other/3', read_from=offset)
    context.cell_state.apply(
        [make_record(f'{MEMBER_PREFIX}other', member), make_record(OWNER_KEY, owner)]
    )


@when(
    'a member record arrives of an incarnation on its host that first read it at offset {offset:d}'
)
def member_record(context, offset):
    member = Member('north', '10.0.0.9', 7, 'other/1', read_from=offset)
    context.cell_state.apply([make_record(f'{MEMBER_PREFIX}other', member)])


@then('the owner is considered {fate}')
def check_owner_state(context, fate):
    assert context.cell_state.current_owner_has_ended() == (fate == 'ended')


@given("an owner that is about to store the runner of a job's second task")
def storing_owner(context):
    queues = (make_queue('urgent', attempts=1),)
    context.small = SmallCell(('w1', 'w2'), queues=queues)
    context.job = context.small.add_job('j1', [step(cpu=32_000, count=2)])
    first, context.second = context.small.plan().starts
    context.first = first
    context.job.stored_runners.add(first.runner)
    context.small.cell.release_start(context.second)
    (context.second,) = context.small.plan(start=False).starts
    context.topic = MemoryTopic()
    context.owner = make_owner_context(
        context.small.cell, ManualClock(context.small.now), context.topic
    )


@when('the first task ends meanwhile, with outcome {outcome}')
def ends_meanwhile(context, outcome):
    async def note_end():
        name, run = context.first.task, context.first.run
        context.small.poll(context.first.runner, ended=[(1, name, run, outcome)])
        await context.owner.flush_progress()

    async def race():
        submission = make_record(f'{SUBMISSION_PREFIX}j1', context.job.submission)
        await context.topic.append([submission], 0.1)
        await curio.spawn(context.owner.writer.run, daemon=True)
        await OrderSender(context.owner).send_starts([context.second])
        ending = await curio.spawn(note_end)
        await ending.join()
        # There is no client of the runner, so the start is withdrawn once its record is stored.
        run = (context.second.task, context.second.run)
        await until(lambda: run not in context.small.runs_on(context.second.runner))
        return await context.topic.snapshot()

    context.cell_state = CellState()
    context.cell_state.apply(curio.run(race).records)


@then('the store says that the job is {state} with {done:d} tasks done')
def stored_progress(context, state, done):
    stored_job = context.cell_state.find_job('j1')
    assert stored_job is not None, 'the job is no longer in the store'
    assert stored_job.state.value == state, stored_job
    masks = [int(entry.mask, 16) for entry in stored_job.progress.done]
    assert sum(mask.bit_count() for mask in masks) == done, stored_job


@then('the store names the runner of the second task')
def stored_runner(context):
    progress = context.cell_state.find_job('j1').progress
    over = progress.ended_at > 0
    assert over or context.second.runner in progress.runners, progress
