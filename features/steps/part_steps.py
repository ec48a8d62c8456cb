"""Steps that drive one part directly, with a clock that tests move."""

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
from dandelionreel.routing import part_of_count
from dandelionreel.workers import HoldState, Ledger
from features.steps.interface_steps import Number

EPOCH = 7


def _running(task_id, processors, epoch):
    order = TaskOrder(Resources(processors, 0, 0), 'run 1', 1000, 'x', epoch)
    return TaskStatus(task_id, 'running', order)


@given(
    'a ledger of {capacity:d} processors that holds {theirs:d} of a former owner and {mine:d} of its own'
)
def make_ledger(context, capacity, theirs, mine):
    context.ledger = Ledger(Resources(capacity, 0, 0))
    tasks = []
    if theirs:
        tasks.append(_running('j.1.0', theirs, EPOCH - 1))
    if mine:
        tasks.append(_running('j.1.1', mine, EPOCH))
    context.ledger.note_listing(TaskList(1, tuple(tasks)), 10)


@when('{asked:d} processors are asked for at level {level}')
def ask_ledger(context, asked, level):
    grant = Grant(GrantLevel(level), EPOCH, 5)
    context.refusal = context.ledger.refusal(Resources(asked, 0, 0), grant)


@when('{asked:d} processors are asked for under a grant later than the listing')
def ask_late(context, asked):
    grant = Grant(GrantLevel.WHOLE, EPOCH, 11)
    context.refusal = context.ledger.refusal(Resources(asked, 0, 0), grant)


@when('a start of {processors:d} processors is in doubt and a listing lacks it')
def doubt(context, processors):
    grant = Grant(GrantLevel.WHOLE, EPOCH, 5)
    context.ledger.hold('j.2.0', Resources(processors, 0, 0), grant, 11)
    context.ledger.change('j.2.0', HoldState.DOUBTFUL, 12)
    context.ledger.note_listing(TaskList(2, ()), 13)


@then('the ledger answers {answer}')
def check_ledger(context, answer):
    assert (answer == 'yes') is (not context.refusal), context.refusal


def _envelope(number):
    body = msgspec.Raw(msgspec.json.encode(Number(number)))
    return msgspec.json.encode(Envelope('me', number, 1.0, body))


@then('a reader of a log with records {written} folds {folded}')
def check_folds(context, written, folded):
    async def work():
        log = MemoryLog()
        await log.append('s', [_envelope(int(text)) for text in written.split(', ')])
        reader = StreamReader(log, 's', ManualClock(), Number)
        found = []
        reader.add(lambda record, position: found.append(str(record.number)), found.clear)
        await reader.read_once(0)
        return ', '.join(found)

    assert curio.run(work) == folded


@then('a reader of a truncated log covers {seconds:d} seconds only after as long')
def check_covers(context, seconds):
    async def work():
        log = MemoryLog()
        await log.append('s', [_envelope(0)])
        log.stream('s').truncate(1)
        clock = ManualClock()
        reader = StreamReader(log, 's', clock, Number)
        for _ in range(2):
            await reader.read_once(0)
        found = [reader.covers(seconds)]
        clock.advance(seconds - 0.1)
        found.append(reader.covers(seconds))
        clock.advance(0.2)
        found.append(reader.covers(seconds))
        return found

    assert curio.run(work) == [False, False, True]


def _join(context, member):
    host = member.partition('/')[0]
    record = Joined(member, host, 'z', '127.0.0.1', 1)
    context.members.fold(record, Position(0, member, 0))


@given('a member that knows of one other')
def make_book(context):
    context.clock = ManualClock()
    context.members = Membership(context.clock)
    context.book = PromiseTracker('a/1', 'z', context.clock, context.members)
    _join(context, 'a/1')
    _join(context, 'b/1')


@when("the other's view names a third that it does not know")
def name_third(context):
    context.view = tuple(map(hash_member, ('a/1', 'b/1', 'c/1')))
    context.book.receive('b/1', context.clock.monotonic(), True, context.view)


@when('it learns of the third and is promised by both')
def learn_third(context):
    _join(context, 'c/1')
    for member in ('b/1', 'c/1'):
        context.book.receive(member, context.clock.monotonic(), True, context.view)


@then('it has {evidence} evidence, and its own view names {words} members')
def check_no_evidence(context, evidence, words):
    assert evidence == 'no'
    assert context.book.evidence_at() == float('-inf')
    assert len(context.book.view()) == {'two': 2, 'three': 3}[words]


@then('it has evidence, and its own view names {words} members')
def check_evidence(context, words):
    assert context.book.evidence_at() == context.clock.monotonic()
    assert len(context.book.view()) == {'two': 2, 'three': 3}[words]


@then('the parts of {count:d} over zones with {daemons:d} daemons add up to at most {most:d}')
def check_parts(context, count, daemons, most):
    parts = [
        part_of_count(count, 1 / 3, rank, daemons) for _ in range(3) for rank in range(daemons)
    ]
    assert sum(parts) <= most
    assert sum(parts) > most - 3


SPEC = b'{"customer": "c", "command": "run 1", "demand": {"processors": 1}}'


def _claim(context, member, replaced, offset):
    record = Claimed(member, (ShardEpoch(DISPATCH_SHARD, replaced),))
    context.shards.fold(record, Position(offset, member, 0))


@given('a job and a dispatcher of epoch 1')
def make_job(context):
    clock = ManualClock()
    context.shards = ShardProjection(Membership(clock), clock)
    context.book = JobProjection(context.shards, 10, 10)
    _claim(context, 'a/1', 0, 0)
    accepted = JobAccepted('z.1', 'key', 'digest', load_spec(SPEC))
    context.book.fold(accepted, Position(1, 'a/1', 0))


def _intent(worker):
    return AttemptIntent('z.1', 1, 1, 'a/1', (worker,))


@when('its intent for w1 lands, and then one for w2 with the same attempt')
def land_both(context):
    for offset, worker in enumerate(('w1', 'w2'), 2):
        context.book.fold(_intent(worker), Position(offset, 'a/1', 0))


@then('the job runs by the intent for w1 and not by the one for w2')
def check_runs_by(context):
    job = context.book.get('z.1')
    assert job.matches_intent(_intent('w1'))
    assert not job.matches_intent(_intent('w2'))


@when('another dispatcher claims, and then its intent for w1 lands')
def land_late(context):
    given = Released('a/1', (ShardEpoch(DISPATCH_SHARD, 1),))
    context.shards.fold(given, Position(2, 'a/1', 0))
    _claim(context, 'b/1', 1, 3)
    assert context.shards.epoch(DISPATCH_SHARD) == 4
    context.book.fold(_intent('w1'), Position(4, 'a/1', 0))


@then('the job still waits')
def check_waits(context):
    assert context.book.get('z.1').state is JobState.WAITING
