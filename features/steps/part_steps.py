"""Steps for single components, with a manual clock where time matters."""

import curio
import msgspec
from behave import given, then, when

from dandelionreel.backing import (
    Envelope,
    MemoryLog,
    Position,
    Resources,
    StreamReader,
    TaskList,
    TaskOrder,
    TaskStatus,
)
from dandelionreel.jobs import AttemptIntent, JobAccepted, JobProjection, JobState, load_spec
from dandelionreel.kernel import ManualClock
from dandelionreel.ownership import (
    DISPATCH_SHARD,
    Claimed,
    Grant,
    GrantLevel,
    Joined,
    Membership,
    PromiseTracker,
    Released,
    ShardEpoch,
    ShardProjection,
)
from dandelionreel.peers import hash_member
from dandelionreel.routing import share_of_count
from dandelionreel.workers import AllocationState, Ledger
from features.steps.interface_steps import Number

EPOCH = 7


def _make_running(task_id, processors, epoch):
    order = TaskOrder(Resources(processors, 0, 0), 'run 1', 1000, 'x', epoch)
    return TaskStatus(task_id, 'running', order)


@given(
    'a ledger of {capacity:d} processors with {former:d} allocated by a former owner and {own:d} by its owner'
)
def make_ledger(context, capacity, former, own):
    context.ledger = Ledger(Resources(capacity, 0, 0))
    tasks = []
    if former:
        tasks.append(_make_running('j.1.0', former, EPOCH - 1))
    if own:
        tasks.append(_make_running('j.1.1', own, EPOCH))
    context.ledger.apply_task_list(TaskList(1, tuple(tasks)), 10)


@when('{demand:d} processors are requested at level {level}')
def request_at_level(context, demand, level):
    grant = Grant(GrantLevel(level), EPOCH, 5)
    context.refusal = context.ledger.refusal_reason(Resources(demand, 0, 0), grant)


@when('{demand:d} processors are requested under a grant that is newer than the task list')
def request_under_newer_grant(context, demand):
    grant = Grant(GrantLevel.WHOLE, EPOCH, 11)
    context.refusal = context.ledger.refusal_reason(Resources(demand, 0, 0), grant)


@when('a start of {processors:d} processors has an unknown outcome and the task list lacks it')
def make_unanswered_start(context, processors):
    grant = Grant(GrantLevel.WHOLE, EPOCH, 5)
    context.ledger.add_start('j.2.0', Resources(processors, 0, 0), grant, 11)
    context.ledger.set_state('j.2.0', AllocationState.DOUBTFUL, 12)
    context.ledger.apply_task_list(TaskList(2, ()), 13)


@then('the ledger allows it: {allowed}')
def check_ledger(context, allowed):
    assert (allowed == 'yes') is (not context.refusal), context.refusal


def _encode_envelope(number):
    body = msgspec.Raw(msgspec.json.encode(Number(number)))
    return msgspec.json.encode(Envelope('me', number, 1.0, body))


@then('a reader of a log with records {written} handles {handled}')
def check_handled(context, written, handled):
    async def read_records():
        log = MemoryLog()
        await log.append('s', [_encode_envelope(int(text)) for text in written.split(', ')])
        reader = StreamReader(log, 's', ManualClock(), Number)
        found = []
        reader.add_handler(lambda record, position: found.append(str(record.number)), found.clear)
        await reader.read_once(0)
        return ', '.join(found)

    assert curio.run(read_records) == handled


@then('a reader of a truncated log covers the last {seconds:d} seconds only after that time')
def check_covers(context, seconds):
    async def read_truncated_log():
        log = MemoryLog()
        await log.append('s', [_encode_envelope(0)])
        log.stream('s').truncate(1)
        clock = ManualClock()
        reader = StreamReader(log, 's', clock, Number)
        for _ in range(2):
            await reader.read_once(0)
        found = [reader.covers_last_seconds(seconds)]
        clock.advance(seconds - 0.1)
        found.append(reader.covers_last_seconds(seconds))
        clock.advance(0.2)
        found.append(reader.covers_last_seconds(seconds))
        return found

    assert curio.run(read_truncated_log) == [False, False, True]


def _join(context, member):
    host = member.partition('/')[0]
    record = Joined(member, host, 'z', '127.0.0.1', 1)
    context.members.apply(record, Position(0, member, 0))


@given('a member that knows of one other')
def make_member(context):
    context.clock = ManualClock()
    context.members = Membership(context.clock)
    context.promise_tracker = PromiseTracker('a/1', 'z', context.clock, context.members)
    _join(context, 'a/1')
    _join(context, 'b/1')


@when("the other's view names a third member that it does not know")
def name_third_member(context):
    context.view = tuple(map(hash_member, ('a/1', 'b/1', 'c/1')))
    context.promise_tracker.record_answer('b/1', context.clock.monotonic(), True, context.view)


@when('it learns of the third and both send a promise')
def learn_of_third_member(context):
    _join(context, 'c/1')
    for member in ('b/1', 'c/1'):
        context.promise_tracker.record_answer(member, context.clock.monotonic(), True, context.view)


@then('it has {evidence} evidence, and its own view names {words} members')
def check_no_evidence(context, evidence, words):
    assert evidence == 'no'
    assert context.promise_tracker.evidence_at() == float('-inf')
    assert len(context.promise_tracker.view()) == {'two': 2, 'three': 3}[words]


@then('it has evidence, and its own view names {words} members')
def check_evidence(context, words):
    assert context.promise_tracker.evidence_at() == context.clock.monotonic()
    assert len(context.promise_tracker.view()) == {'two': 2, 'three': 3}[words]


@then('the shares of {count:d} over zones with {daemons:d} daemons add up to at most {limit:d}')
def check_shares(context, count, daemons, limit):
    shares = [
        share_of_count(count, 1 / 3, rank, daemons) for _ in range(3) for rank in range(daemons)
    ]
    assert sum(shares) <= limit
    assert sum(shares) > limit - 3


SPEC = b'{"customer": "c", "command": "run 1", "demand": {"processors": 1}}'


def _claim(context, member, replaced, offset):
    record = Claimed(member, (ShardEpoch(DISPATCH_SHARD, replaced),))
    context.shards.apply(record, Position(offset, member, 0))


@given('a job and a dispatcher of epoch 1')
def make_job(context):
    clock = ManualClock()
    context.shards = ShardProjection(Membership(clock), clock)
    context.job_projection = JobProjection(context.shards, 10, 10)
    _claim(context, 'a/1', 0, 0)
    accepted = JobAccepted('z.1', 'key', 'digest', load_spec(SPEC))
    context.job_projection.apply(accepted, Position(1, 'a/1', 0))


def _make_intent(worker):
    return AttemptIntent('z.1', 1, 1, 'a/1', (worker,))


@when('its intent for w1 is appended, and then one for w2 with the same attempt')
def append_both_intents(context):
    for offset, worker in enumerate(('w1', 'w2'), 2):
        context.job_projection.apply(_make_intent(worker), Position(offset, 'a/1', 0))


@then('the job matches the intent for w1 and not the one for w2')
def check_matching_intent(context):
    job = context.job_projection.get('z.1')
    assert job.matches_intent(_make_intent('w1'))
    assert not job.matches_intent(_make_intent('w2'))


@when(
    'another dispatcher claims the shard, and then an intent of the former one for w1 is appended'
)
def append_late_intent(context):
    released = Released('a/1', (ShardEpoch(DISPATCH_SHARD, 1),))
    context.shards.apply(released, Position(2, 'a/1', 0))
    _claim(context, 'b/1', 1, 3)
    assert context.shards.epoch(DISPATCH_SHARD) == 4
    context.job_projection.apply(_make_intent('w1'), Position(4, 'a/1', 0))


@then('the job still waits')
def check_waiting(context):
    assert context.job_projection.get('z.1').state is JobState.WAITING
