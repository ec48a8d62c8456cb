"""Steps on what one owner leaves to the next."""

import curio
from behave import given, then, when

from dandelionreel.cell import WriterFence
from dandelionreel.cell._desk import LEASE_SECONDS, Desk
from dandelionreel.cell._directory import ConfigurationFolder
from dandelionreel.cell._dispatcher import Dispatcher, DispatcherParts
from dandelionreel.cell._election import AUTHORITY_SECONDS, Term
from dandelionreel.cell._job_book import JobBook
from dandelionreel.cell._orders import Orders
from dandelionreel.cell._records import (
    OWNER_KEY,
    SUBMISSION,
    Owner,
    make_record,
)
from dandelionreel.cell._runner_list import RunnersFolder
from dandelionreel.kernel import ManualClock
from features.cell_parts import SmallCell, make_queue, make_registration, step
from features.store_parts import LONG, Host, journal, until
from standins import MemoryTopic

#: How much longer than granted a lease may last: the runner's clock may be 2% slow.
DRIFT = 1.02


def make_dispatcher(host, term, topic, clock):
    """Return the dispatcher of a host that has won ``term``."""
    parts = DispatcherParts(
        topic=topic,
        follower=host.follower,
        jobs=host.folder,
        runners=RunnersFolder(None, clock, journal()),
        configuration=ConfigurationFolder(None, journal()),
        election=host.election,
        links=None,
        advisor=None,
        make_runner=make_registration,
        clock=clock,
        journal=journal(),
        host='me',
        gang_timeout=3.0,
        longest_lease=10.0,
        status_kept=120,
    )
    return Dispatcher(parts, term)


@given("a host that starts after the owner's last heartbeat")
def late_host(context):
    context.topic = MemoryTopic()
    claim = make_record(OWNER_KEY, Owner(4, 'other', 'other/1'))
    curio.run(context.topic.append, [claim], 0.1, WriterFence(4, 3))
    context.host = Host('me', context.topic)
    context.began = context.host.clock.monotonic()


@when('it owns the cell')
def late_host_owns(context):
    async def claim():
        await curio.spawn(context.host.follower.run, daemon=True)
        return await context.host.claim(LONG)

    term = curio.run(claim)
    assert term.epoch == 5
    host = context.host
    context.dispatcher = make_dispatcher(host, term, context.topic, host.clock)
    context.dispatcher._begin()


@then('it leaves tasks on unseen runners alone until all leases of that owner are over')
def waits_for_all(context):
    # The owner's last append was answered before the host read the store at all.
    last_lease = context.began + AUTHORITY_SECONDS + LEASE_SECONDS * DRIFT
    assert context.dispatcher._predecessors.until >= last_lease


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
    context.desk = Desk(
        Term(1, 'me/1', WriterFence(1, 1), None, False, False),
        context.small.cell,
        context.topic,
        make_registration,
        10.0,
        ManualClock(context.small.now),
        journal(),
    )


@when('the first task ends {outcome} right then')
def ends_right_then(context, outcome):
    async def note_end():
        name, run = context.first.task, context.first.run
        context.small.look(context.first.runner, ended=[(1, name, run, outcome)])
        await context.desk.flush()

    async def race():
        submission = make_record(f'{SUBMISSION}j1', context.job.submission)
        await context.topic.append([submission], 0.1)
        await curio.spawn(context.desk.writer.run, daemon=True)
        await Orders(context.desk).send_starts([context.second])
        ending = await curio.spawn(note_end)
        await ending.join()
        await until(lambda: len(context.topic.records) > 2)
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
