"""Steps on what one owner leaves to the next."""

import curio
from behave import given, then, when

from dandelionreel.cell.membership._election import AUTHORITY_SECONDS, Term
from dandelionreel.cell.model import WriterFence
from dandelionreel.cell.model._records import (
    MEMBER,
    OWNER_KEY,
    SUBMISSION,
    Attended,
    Member,
    Owner,
    make_record,
)
from dandelionreel.cell.owner._orders import Orders
from dandelionreel.cell.owner._owner_context import LEASE_SECONDS
from dandelionreel.cell.store._job_book import JobBook
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
    context.began = context.host.clock.monotonic()


@when('it owns the cell')
def late_host_owns(context):
    term = curio.run(context.host.own)
    assert term.epoch == 5
    host = context.host
    context.dispatcher = make_dispatcher(host, term, context.topic, host.clock)
    context.dispatcher._begin()


@then('it leaves tasks on unseen runners alone until all leases of that owner are over')
def waits_for_all(context):
    # The owner's last append was answered before the host read the store at all.
    last_lease = context.began + AUTHORITY_SECONDS + LEASE_SECONDS * DRIFT
    assert context.dispatcher._rounds.predecessors.until >= last_lease


@given('a successor that waits for the runner w9, whose entry it has never seen')
def waiting_successor(context):
    context.topic = MemoryTopic()
    context.host = Host('me', context.topic)
    context.host.folder.book.attended = Attended(1, ('w9',))
    heard_at = context.host.clock.monotonic()
    term = Term(2, 'me/1', WriterFence(2, 1), heard_at, False, False)
    context.dispatcher = make_dispatcher(context.host, term, context.topic, context.host.clock)
    context.dispatcher._begin()
    context.dispatcher.cell.see_runners({'w1': make_registration('w1')}, heard_at)


@when('the successor stores on which runners tasks may run')
def stores_attended(context):
    async def beat():
        owner = context.dispatcher._owner_context
        await curio.spawn(owner.writer.run, daemon=True)
        await curio.spawn(context.dispatcher._beat, daemon=True)
        await until(lambda: context.topic.records)
        return await context.topic.snapshot()

    context.book = JobBook()
    context.book.fold(curio.run(beat).records)


@then('w9 is among them')
def w9_attended(context):
    assert context.book.attended is not None, 'no runners were stored'
    assert 'w9' in context.book.attended.runners, context.book.attended


class WatchedTopic(MemoryTopic):
    """Notes what ``ask()`` says whenever an append is on its way."""

    def __init__(self, ask):
        super().__init__()
        self.ask = ask
        self.said = []

    async def append(self, records, timeout, fence=None, expected_end=None):
        """Append, and ask while the answer is still out."""
        offset = await super().append(records, timeout, fence, expected_end)
        await curio.sleep(0)
        self.said.append(self.ask())
        return offset


@given('an owner whose release is answered late')
def releasing_owner(context):
    context.topic = WatchedTopic(lambda: context.dispatcher.acting)
    host = Host('me', context.topic)
    term = Term(1, 'me/1', WriterFence(1, 1), None, False, False)
    context.dispatcher = make_dispatcher(host, term, context.topic, host.clock)


@when('it releases the cell')
def releases(context):
    async def release():
        await curio.spawn(context.dispatcher._owner_context.writer.run, daemon=True)
        await context.dispatcher._release()

    curio.run(release)


@then('it has no right to act while the release is on its way')
def no_right(context):
    assert context.topic.records[-1].key == OWNER_KEY
    assert context.topic.said[-1] is False, context.topic.said


@given('an owner whose life first read the store at offset {offset:d}')
def owner_life(context, offset):
    context.book = JobBook()
    owner = Term(
        3, 'other/3', WriterFence(3, 1), None, False, False, read_from=offset
    ).owner_record()
    member = Member('north', '10.0.0.9', 7, 'other/3', read_from=offset)
    context.book.fold([make_record(f'{MEMBER}other', member), make_record(OWNER_KEY, owner)])


@when('word lands of a life on its host that first read it at offset {offset:d}')
def word_of_life(context, offset):
    member = Member('north', '10.0.0.9', 7, 'other/1', read_from=offset)
    context.book.fold([make_record(f'{MEMBER}other', member)])


@then('the owner is taken for {fate}')
def taken_for(context, fate):
    assert context.book.owner_has_ended() == (fate == 'over')


@given("an owner that is about to store the runner of a job's second task")
def storing_owner(context):
    queues = (make_queue('urgent', attempts=1),)
    context.small = SmallCell(('w1', 'w2'), queues=queues)
    context.job = context.small.add_job('j1', [step(cpu=32_000, count=2)])
    first, context.second = context.small.plan().starts
    context.first = first
    context.job.stored_runners.add(first.runner)
    context.small.cell.withdraw(context.second)
    (context.second,) = context.small.plan(start=False).starts
    context.topic = MemoryTopic()
    context.owner = make_owner_context(
        context.small.cell, ManualClock(context.small.now), context.topic
    )


@when('the first task ends {outcome} right then')
def ends_right_then(context, outcome):
    async def note_end():
        name, run = context.first.task, context.first.run
        context.small.poll(context.first.runner, ended=[(1, name, run, outcome)])
        await context.owner.flush()

    async def race():
        submission = make_record(f'{SUBMISSION}j1', context.job.submission)
        await context.topic.append([submission], 0.1)
        await curio.spawn(context.owner.writer.run, daemon=True)
        await Orders(context.owner).send_starts([context.second])
        ending = await curio.spawn(note_end)
        await ending.join()
        # Nobody leads to the runner: its start is taken back once its record was answered.
        run = (context.second.task, context.second.run)
        await until(lambda: run not in context.small.runs_on(context.second.runner))
        return await context.topic.snapshot()

    context.book = JobBook()
    context.book.fold(curio.run(race).records)


@then('the store says that the job is {state} with {done:d} tasks done')
def stored_progress(context, state, done):
    booked = context.book.find('j1')
    assert booked is not None, 'no host knows the job any more'
    assert booked.state.value == state, booked
    masks = [int(entry.mask, 16) for entry in booked.progress.done]
    assert sum(mask.bit_count() for mask in masks) == done, booked


@then('the store names the runner of the second task')
def stored_runner(context):
    progress = context.book.find('j1').progress
    over = progress.ended_at > 0
    assert over or context.second.runner in progress.runners, progress
