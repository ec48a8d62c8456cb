"""Steps for attempts that are lost with their workers, with a ``JobProjection`` only."""

from behave import given, then, when

from dandelionreel.backing import Position
from dandelionreel.jobs import AttemptIntent, JobAccepted, JobProjection, JobState, load_spec
from dandelionreel.jobs._job_projection import Outcome
from dandelionreel.jobs._lapses import classify_lapse
from dandelionreel.jobs._records import AttemptEnded
from dandelionreel.kernel import ManualClock
from dandelionreel.ownership import DISPATCH_SHARD, Claimed, Membership, ShardEpoch, ShardProjection

EPOCH = 1
MEMBER = 'me/1'
NOW = 100_000.0
HOUR = 3600.0
SPEC = (
    b'{"customer": "c", "command": "run 1", "demand": {"processors": 1},'
    b' "idempotent": true, "max_attempts": 3}'
)


def next_position(context, wall):
    context.offset += 1
    return Position(context.offset, MEMBER, wall)


def start_attempt(context, wall):
    """Apply an intent for the job's next attempt; return its number."""
    number = context.jobs.get('j1').next_attempt
    intent = AttemptIntent('j1', number, EPOCH, MEMBER, ('w1',))
    context.jobs.apply(intent, next_position(context, wall))
    return number


def end_attempt(context, number, outcome, wall):
    record = AttemptEnded('j1', number, EPOCH, outcome.value)
    context.jobs.apply(record, next_position(context, wall))


def classify(context, number):
    earlier = [attempt for attempt in context.jobs.get('j1').attempts if attempt.number < number]
    return classify_lapse(Outcome.LAPSED, earlier, NOW)


@given('a job with a limit of 3 failures whose attempts ended {earlier}')
def make_job(context, earlier):
    context.offset = 1
    clock = ManualClock()
    shards = ShardProjection(Membership(clock), clock)
    claim = Claimed(MEMBER, (ShardEpoch(DISPATCH_SHARD, 0),))
    shards.apply(claim, Position(0, MEMBER, 0))
    context.jobs = JobProjection(shards, 10, 10)
    accepted = JobAccepted('j1', 'key', 'digest', load_spec(SPEC))
    context.jobs.apply(accepted, next_position(context, NOW))
    wall = NOW - HOUR if 'an hour before' in earlier else NOW
    for word in earlier.split():
        value = word.strip(',')
        if value in {outcome.value for outcome in Outcome}:
            end_attempt(context, start_attempt(context, wall), Outcome(value), wall)


@when('its next attempt ends as lapsed')
def lapse_next_attempt(context):
    context.outcome = classify(context, start_attempt(context, NOW))


@then('that attempt counts as {outcome}')
def check_outcome(context, outcome):
    assert context.outcome is Outcome(outcome), context.outcome


@when('each of its attempts ends as lapsed')
def lapse_each_attempt(context):
    for _ in range(20):
        if context.jobs.get('j1').state is not JobState.WAITING:
            return
        number = start_attempt(context, NOW)
        end_attempt(context, number, classify(context, number), NOW)


@then('it is parked after {count:d} attempts')
def check_parked(context, count):
    job = context.jobs.get('j1')
    assert (job.state, len(job.attempts)) == (JobState.PARKED, count), job
