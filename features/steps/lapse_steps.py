"""Steps on attempts that are lost with their workers, on the book alone."""

from behave import given, then, when

from dandelionreel.backing import Position
from dandelionreel.jobs import AttemptIntent, JobAccepted, JobProjection, JobState, load_spec
from dandelionreel.jobs._job_projection import Outcome
from dandelionreel.jobs._lapse_limit import classify_lapse
from dandelionreel.jobs._records import AttemptEnded
from dandelionreel.kernel import ManualClock
from dandelionreel.ownership import DISPATCH_SHARD, Claimed, Membership, ShardEpoch, ShardFold

EPOCH = 1
MEMBER = 'me/1'
NOW = 100_000.0
HOUR = 3600.0
SPEC = (
    b'{"customer": "c", "command": "run 1", "demand": {"processors": 1},'
    b' "idempotent": true, "max_attempts": 3}'
)


def position(context, wall):
    context.offset += 1
    return Position(context.offset, MEMBER, wall)


def intend(context, wall):
    """Begin the job's next attempt; return its number."""
    number = context.book.get('j1').next_attempt
    intent = AttemptIntent('j1', number, EPOCH, MEMBER, ('w1',))
    context.book.fold(intent, position(context, wall))
    return number


def end(context, number, outcome, wall):
    record = AttemptEnded('j1', number, EPOCH, outcome.value)
    context.book.fold(record, position(context, wall))


def judge(context, number):
    earlier = [one for one in context.book.get('j1').attempts if one.number < number]
    return classify_lapse(Outcome.LAPSED, earlier, NOW)


@given('a job of 3 tries whose attempts ended {earlier}')
def make_job(context, earlier):
    context.offset = 1
    clock = ManualClock()
    shards = ShardFold(Membership(clock), clock)
    claim = Claimed(MEMBER, (ShardEpoch(DISPATCH_SHARD, 0),))
    shards.fold(claim, Position(0, MEMBER, 0))
    context.book = JobProjection(shards, 10, 10)
    accepted = JobAccepted('j1', 'key', 'digest', load_spec(SPEC))
    context.book.fold(accepted, position(context, NOW))
    wall = NOW - HOUR if 'an hour before' in earlier else NOW
    for word in earlier.split():
        name = word.strip(',')
        if name in {outcome.value for outcome in Outcome}:
            end(context, intend(context, wall), Outcome(name), wall)


@when('its next attempt ends as lapsed')
def next_lapses(context):
    context.judged = judge(context, intend(context, NOW))


@then('that attempt is told as {outcome}')
def told_as(context, outcome):
    assert context.judged is Outcome(outcome), context.judged


@when('each of its attempts ends as lapsed')
def each_lapses(context):
    for _ in range(20):
        if context.book.get('j1').state is not JobState.WAITING:
            return
        number = intend(context, NOW)
        end(context, number, judge(context, number), NOW)


@then('it is parked after {count:d} attempts')
def parked(context, count):
    job = context.book.get('j1')
    assert (job.state, len(job.attempts)) == (JobState.PARKED, count), job
