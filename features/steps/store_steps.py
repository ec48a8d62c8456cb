"""Steps on the store, with an in-memory topic that fails on demand."""

from contextlib import suppress

import curio
from behave import given, then, when

from dandelionreel.cell.decisions import Cell, RunnerState
from dandelionreel.cell.membership._claim_order import is_successor
from dandelionreel.cell.model import (
    JobSpec,
    JobState,
    KeyedRecord,
    RecordBatch,
    Runner,
    RunnerError,
    StoreError,
    Submission,
    WriterFence,
)
from dandelionreel.cell.model._records import (
    CANCELLATION_PREFIX,
    OWNER_KEY,
    SUBMISSION_PREFIX,
    Cancellation,
    Member,
    Owner,
    Progress,
    make_progress_records,
    make_record,
)
from dandelionreel.cell.owner._orders import OrderSender
from dandelionreel.cell.store._cell_state import CellState
from dandelionreel.cell.store._follower import Follower
from dandelionreel.cell.store._projections import CellProjection
from dandelionreel.cell.store._writer import AppendLatency, GroupWriter, WriteOutcome
from dandelionreel.kernel import ManualClock, SystemClock, Verdict
from features.cell_parts import SmallCell, make_registration, step
from features.store_parts import LONG_TIMEOUT, Host, journal, make_owner_context, until
from standins import MemoryTopic

WRITE_TIMEOUT = 0.35
FAULTS = {
    'succeed': [],
    'refuse once': ['refuse'],
    'refuse always': ['refuse'] * 50,
    'lose once': ['lose'],
    'lose, then refuse': ['lose', *['refuse'] * 50],
    'stay silent always': ['silence'] * 50,
}


@given('a store whose appends {faults}')
def store_with_faults(context, faults):
    context.topic = MemoryTopic()
    context.topic.faults.extend(FAULTS[faults])


@when('a submission is written')
def write_submission(context):
    async def write():
        writer = GroupWriter(context.topic, SystemClock(), journal())
        await curio.spawn(writer.run, daemon=True)
        return await writer.write([KeyedRecord(f'{SUBMISSION_PREFIX}x', b'{}')], WRITE_TIMEOUT)

    context.outcome = curio.run(write)


@then('it is {outcome}')
def check_outcome(context, outcome):
    assert context.outcome.value == outcome, context.outcome


@given('a host that is number {place:d} of {count:d} in the claim order')
def host_in_claim_order(context, place, count):
    hosts = [f'h{number:03}' for number in range(count)]
    members = {host: Member('north', '127.0.0.1', 1) for host in hosts}
    context.list_is_read = is_successor(members, hosts[place - 1])


@given('a host that is not a member yet')
def host_that_is_no_member(context):
    members = {f'h{number}': Member('north', '127.0.0.1', 1) for number in range(97)}
    context.list_is_read = is_successor(members, 'new')


@then('the list of runners is {fate}')
def check_list_is_read(context, fate):
    assert context.list_is_read is (fate == 'read')


class SnapshotCountingTopic(MemoryTopic):
    """A topic that counts its snapshots."""

    snapshots = 0

    async def snapshot(self):
        self.snapshots += 1
        return await super().snapshot()


def make_follower(context, topic, jobs):
    """Make a follower of a topic with submissions of these jobs."""
    context.topic = topic
    submission = Submission('q', 'desk', 0.0, JobSpec('payload', (step(),)))
    for job in jobs:
        curio.run(
            topic.append, [make_record(f'{SUBMISSION_PREFIX}{job}', submission)], LONG_TIMEOUT
        )
    context.cell_projection = CellProjection(SystemClock(), journal())
    context.follower = Follower(
        'cell',
        context.topic,
        context.cell_projection,
        SystemClock(),
        journal(),
        0.02,
        lambda: 0.0,
        lambda: context.is_wanted,
    )


@given('a follower of a topic that is not needed')
def topic_not_needed(context):
    context.is_wanted = False
    make_follower(context, SnapshotCountingTopic(), 'x')


@then('nothing is read')
def check_nothing_read(context):
    curio.run(curio.ignore_after, 0.05, context.follower.run)
    assert context.topic.snapshots == 0
    assert not context.follower.has_snapshot


@when('it becomes needed and is told to read at once')
def need_topic_again(context):
    async def follow():
        await curio.spawn(context.follower.run, daemon=True)
        await curio.sleep(0)
        context.is_wanted = True
        await context.follower.request_read()
        await context.follower.wait_until_fresh(SystemClock().monotonic(), LONG_TIMEOUT)

    curio.run(follow)


@then('it knows the newest records after one snapshot')
def check_newest_known(context):
    assert context.cell_projection.state.find_job('x') is not None
    assert context.topic.snapshots == 1


class WaitRecordingTopic(MemoryTopic):
    """A topic that records how long each read may wait."""

    def __init__(self):
        super().__init__()
        self.waits = []

    async def read(self, offset, wait, max_bytes):
        self.waits.append(wait)
        return await super().read(offset, wait, max_bytes)


@given('a follower whose reads wait up to {seconds:g} s for records of an idle topic')
def follower_with_long_reads(context, seconds):
    context.topic = WaitRecordingTopic()
    clock = SystemClock()
    projection = CellProjection(clock, journal())
    context.follower = Follower(
        'cell', context.topic, projection, clock, journal(), seconds, lambda: 0.0
    )


@when('it has reached the end of the topic')
def reach_end(context):
    async def follow():
        await curio.spawn(context.follower.run, daemon=True)
        await until(lambda: context.follower.has_reached_end)

    curio.run(follow)


@then('its first read did not wait')
def check_first_wait(context):
    assert context.topic.waits[0] == 0, context.topic.waits


class SlowTopic(MemoryTopic):
    """A topic with records of 50 KB, of which a read delivers 6 in time."""

    reads = 0

    async def read(self, offset, wait, max_bytes):
        self.reads += 1
        count = max_bytes // 50_000
        if min(count, len(self.records) - offset) > 6:
            raise StoreError('no answer in time', Verdict.NOT_RUN)
        records = tuple(self.records[offset : offset + count])
        return RecordBatch(records, offset + len(records), len(self.records))


@given('a follower that has 1 MB to read, and a link that delivers 0.3 MB in time')
def slow_link(context):
    context.is_wanted = True
    make_follower(context, SlowTopic(), [f'{number}' for number in range(20)])
    context.follower._offset = 0


@when('it follows')
def follow_slow_link(context):
    async def follow():
        await curio.spawn(context.follower.run, daemon=True)
        context.is_fresh = await context.follower.wait_until_fresh(SystemClock().monotonic(), 2)

    curio.run(follow)


@then('it knows the newest record after {count:d} reads at most')
def check_caught_up(context, count):
    assert context.is_fresh
    assert context.cell_projection.state.find_job('19') is not None
    assert context.topic.reads <= count, context.topic.reads


@given('a writer that is given {count:d} successive records of a job during an append')
def write_many_records(context, count):
    context.topic = MemoryTopic()

    async def write():
        writer = GroupWriter(context.topic, SystemClock(), journal(), WriterFence(1, 1))
        tasks = [await curio.spawn(writer.write, [KeyedRecord('j/x', b'{}')], LONG_TIMEOUT)]
        await curio.spawn(writer.run, daemon=True)
        for number in range(count):
            record = KeyedRecord('e/x', f'{number}'.encode())
            tasks.append(await curio.spawn(writer.write, [record], LONG_TIMEOUT))
        context.outcomes = [await task.join() for task in tasks]

    curio.run(write)


@then('the store has executed one more append, of the newest record only')
def check_one_append(context):
    assert context.topic.appends == 2, context.topic.appends
    assert [record.content for record in context.topic.records] == [b'{}', b'19']


@then('each of the {count:d} is reported as stored')
def check_all_stored(context, count):
    assert context.outcomes == [WriteOutcome.STORED] * (1 + count)


@given('an owner whose heartbeat the store refuses for 2 s')
def owner_with_refused_heartbeat(context):
    context.topic = MemoryTopic()
    context.topic.faults.extend(['refuse'] * 20)


@when('a job with a timeout of 0.3 s is submitted')
def submit_behind_heartbeat(context):
    async def write():
        writer = GroupWriter(context.topic, SystemClock(), journal(), WriterFence(1, 1))
        await curio.spawn(writer.run, daemon=True)
        heartbeat = await curio.spawn(writer.write, [KeyedRecord(OWNER_KEY, b'{}')], LONG_TIMEOUT)
        await curio.sleep(0.05)
        job = [KeyedRecord(f'{SUBMISSION_PREFIX}x', b'{}')]
        context.outcome = await curio.ignore_after(1, writer.write, job, 0.3)
        await heartbeat.join()
        await writer.write([], LONG_TIMEOUT)

    curio.run(write)


@then('its write is refused within 1 s')
def check_refused_in_time(context):
    assert context.outcome is WriteOutcome.REFUSED, context.outcome


@then('the store never contains it')
def check_never_stored(context):
    assert [record.key for record in context.topic.records] == [OWNER_KEY]


@given('an owner whose last append is late')
def owner_with_late_append(context):
    context.topic = MemoryTopic()
    context.topic.faults.append('late')

    async def write():
        with suppress(Exception):
            await context.topic.append([KeyedRecord('e/x', b'old')], 0.1, WriterFence(1, 5))

    curio.run(write)


@when('a successor has written and the late append is executed')
def write_as_successor(context):
    curio.run(context.topic.append, [KeyedRecord('e/x', b'new')], 0.1, WriterFence(2, 9))
    context.topic.apply_late_appends()


@then('the store holds what the successor wrote')
def check_successor_record(context):
    snapshot = curio.run(context.topic.snapshot)
    assert [record.content for record in snapshot.records] == [b'new']


@given('an owner whose append lost its answer')
def owner_with_lost_answer(context):
    context.topic = MemoryTopic()
    context.topic.faults.append('lose')


@when('it writes again')
def write_again(context):
    async def write():
        writer = GroupWriter(context.topic, SystemClock(), journal(), WriterFence(1, 77))
        await curio.spawn(writer.run, daemon=True)
        for key in ('e/1', 'e/2'):
            await writer.write([KeyedRecord(key, b'x')], 2.0)

    curio.run(write)


@then('every record is in the store once')
def check_each_record_once(context):
    assert [record.key for record in context.topic.records] == ['e/1', 'e/2']
    assert context.topic.appends == 3


@given('a host that reads a record in an unknown format')
def host_with_unknown_format(context):
    context.topic = MemoryTopic()
    curio.run(context.topic.append, [KeyedRecord(f'{SUBMISSION_PREFIX}j1', b'{"shape": 9}')], 0.1)
    context.host = Host('a', context.topic)


@when('a job is stored after it')
def store_another_job(context):
    submission = Submission('urgent', 'desk', 5.0, JobSpec('payload', ()))
    curio.run(context.topic.append, [make_record(f'{SUBMISSION_PREFIX}j2', submission)], 0.1)

    async def follow():
        await curio.spawn(context.host.follower.run, daemon=True)
        await context.host.follower.wait_until_fresh(context.host.clock.monotonic(), LONG_TIMEOUT)

    curio.run(follow)


@then('the host knows the job')
def check_job_known(context):
    assert context.host.projection.state.find_job('j2')


@given('a job of which the store has {records}')
def stored_job(context, records):
    submission = Submission('urgent', 'desk', 5.0, JobSpec('payload', ()))
    record_by_name = {
        'the submission': make_record(f'{SUBMISSION_PREFIX}j1', submission),
        'its cancellation': make_record(f'{CANCELLATION_PREFIX}j1', Cancellation(6.0)),
    }
    context.topic = MemoryTopic()
    for name in records.split(' and '):
        curio.run(context.topic.append, [record_by_name[name]], 0.1)


@when('its owner stores that it is {state}')
def store_final_state(context, state):
    progress = Progress(1, JobState(state), ended_at=7.0)
    curio.run(context.topic.append, make_progress_records('j1', progress), 0.1)


@when('a late repetition of the submission is appended')
def append_late_submission(context):
    submission = Submission('urgent', 'desk', 8.0, JobSpec('payload', ()))
    curio.run(context.topic.append, [make_record(f'{SUBMISSION_PREFIX}j1', submission)], 0.1)


@then('a host that starts now reads {count:d} record and shows it as {state}')
def check_snapshot(context, count, state):
    snapshot = curio.run(context.topic.snapshot)
    kept = [record for record in snapshot.records if record.content]
    cell_state = CellState()
    cell_state.apply(snapshot.records)
    assert len(kept) == count, kept
    assert cell_state.find_job('j1').state is JobState(state)


@given('a follower that is behind')
def follower_behind(context):
    context.topic = MemoryTopic()
    context.host = Host('a', context.topic)
    for epoch in (1, 2, 3):
        claim = make_record(OWNER_KEY, Owner(epoch, 'other', f'other/{epoch}'))
        curio.run(context.topic.append, [claim], 0.1)


@when('the records that it has not read have expired')
def expire_records(context):
    context.topic.first = 2

    async def follow():
        context.host.follower._offset = 1
        await curio.spawn(context.host.follower.run, daemon=True)
        await context.host.follower.wait_until_fresh(context.host.clock.monotonic(), LONG_TIMEOUT)

    curio.run(follow)


@then('it knows the content of the newest records')
def check_newest_owner(context):
    assert context.host.projection.state.owner.epoch == 3


@given('a runner whose leases expired 5 s after its last answer')
def silent_runner(context):
    context.clock = ManualClock(1000)
    context.owner = make_owner_context(Cell(1, 3.0), context.clock)
    context.state = RunnerState(make_registration('w1'))
    context.state.record_clock(500, 1000)
    context.state.extend_lease(1000, 5)


class SilentRunner(Runner):
    """A runner whose answers are lost: requests may have arrived."""

    async def start_task(self, order, check):
        raise RunnerError('no answer in time', Verdict.UNKNOWN)

    async def stop_run(self, task, run, epoch):
        raise RunnerError('no answer in time', Verdict.UNKNOWN)

    async def poll(self, epoch, acknowledged, lease_until, wait):
        raise RunnerError('no answer in time', Verdict.UNKNOWN)

    async def close(self):
        """Nothing is open."""


@given('an owner with a runner that does not answer')
def owner_of_silent_runner(context):
    context.small = SmallCell(('w1',))
    context.owner = make_owner_context(
        context.small.cell,
        ManualClock(context.small.now),
        make_runner=lambda registration: SilentRunner(),
    )
    context.owner.add_runner_client(context.small.cell.runner_by_id['w1'])


@when('it sends one start there')
def send_one_start(context):
    job = context.small.add_job('j1', [step()])
    job.stored_runners.add('w1')
    plan = context.small.plan(start=False)

    async def send():
        await OrderSender(context.owner).send_starts(plan.starts)
        await until(lambda: context.small.cell.runner_by_id['w1'].suspect)

    curio.run(send)


@then('the runner gets no more starts until it has answered a poll')
def check_no_starts_before_poll(context):
    small = context.small
    small.add_job('j2', [step()])
    assert not small.plan().starts
    small.poll('w1')
    assert [start.task.job for start in small.plan().starts] == ['j2']


@when("the owner's last append was answered {seconds:d} s after that answer")
def answer_last_append(context, seconds):
    context.owner.writer.stored_at = 1000 + seconds


@then('7 s after that answer its leases are {state}, and new starts are {starts}')
def check_leases(context, state, starts):
    context.clock.now = 1007.0
    assert context.owner.have_leases_expired(context.state) is (state == 'expired')
    assert context.owner.may_start_tasks() is (starts == 'allowed')


@given('a writer whose appends were refused for a while')
def refused_writer(context):
    context.topic = MemoryTopic()
    context.topic.down = True
    context.clock = SystemClock()

    async def write():
        context.writer = GroupWriter(context.topic, context.clock, journal())
        await curio.spawn(context.writer.run, daemon=True)
        await context.writer.write([KeyedRecord('j/x', b'x')], WRITE_TIMEOUT)

    curio.run(write)


@then('the store counts as unreachable')
def check_unreachable(context):
    assert context.writer.store_is_failing(context.writer.failed_at)


@then('2 s later it counts as reachable')
def check_reachable_again(context):
    assert not context.writer.store_is_failing(context.writer.failed_at + 2)


@given('answers after {seconds:f} s and then {misses:d} timeouts')
def answers_and_timeouts(context, seconds, misses):
    context.latency = AppendLatency()
    for _ in range(40):
        context.latency.add_latency(seconds)
    for _ in range(misses):
        context.latency.double_next_timeout()


@then('the next timeout is about {timeout:f} s')
def check_timeout(context, timeout):
    assert abs(context.latency.timeout - timeout) < 0.05, context.latency.timeout
