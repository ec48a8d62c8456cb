"""Steps on records of the operator's and the cell's topics that cannot be read."""

import curio
import msgspec
from behave import given, then, when

from dandelionreel.cell.membership._election import (
    SILENT_SECONDS,
    UNKNOWN_LEASES_END_SECONDS,
    Term,
    Vacancy,
)
from dandelionreel.cell.model import (
    Demand,
    JobSpec,
    JobState,
    KeyedRecord,
    Step,
    Submission,
    SubmissionError,
    WriterFence,
)
from dandelionreel.cell.model._records import DoneTasks, Progress, make_record
from dandelionreel.kernel import ManualClock
from dandelionreel.platform import decode_submission
from features.entry_parts import (
    CONFIGURATION,
    DEEP_JSON,
    JOB,
    MEMBER,
    OWNER,
    PROGRESS,
    SUBMISSION,
    HostProjections,
    encode,
)
from features.entry_reading import make_configuration_record, read_configurations
from features.steps.succession_steps import make_dispatcher
from features.store_parts import Host
from standins import MemoryTopic


@given('a host with configuration 3')
def host_with_configuration(context):
    context.projections = HostProjections()
    read_configurations(context.projections, make_configuration_record(version=3))


BAD_CONFIGURATIONS = {
    'invalid JSON': b'{"version":',
    'a list': b'[]',
    'routes that are text': make_configuration_record(version=6, routes='all'),
    'no version': make_configuration_record(version=None),
    'nested deeply': DEEP_JSON,
    'a version below zero': make_configuration_record(version=-1),
    'a version of 400 digits': make_configuration_record(version=int('9' * 400)),
    'a negative timeout': make_configuration_record(
        version=6, routes=[{**CONFIGURATION['routes'][0], 'timeout_ms': -1}]
    ),
}


@when('it reads configuration 5 and then {record}')
def read_two_configurations(context, record):
    read_configurations(
        context.projections, make_configuration_record(version=5), BAD_CONFIGURATIONS[record]
    )


@then('configuration 5 is in force')
def check_version_in_force(context):
    assert context.projections.configuration.current.version == 5


def encode_submission(*steps):
    return encode(Submission('urgent', 'desk', 990.0, JobSpec('payload', steps)))


def encode_progress(*done):
    return encode(Progress(4, JobState.RUNNING, done))


BAD_RECORDS = {
    'invalid JSON': b'{"queue":',
    'a list': b'[]',
    'nested deeply': DEEP_JSON,
    'a huge count': encode_submission(Step(10**15, Demand(), 1.0)),
    'a cycle of steps': encode_submission(Step(1, Demand(), 1.0, (0,))),
    'a tiny interval': encode(
        Submission('urgent', 'desk', 9.0, JobSpec('x', SUBMISSION.spec.steps, 2, 1.0, 1e-300))
    ),
    'an invalid mask': encode_progress(DoneTasks(0, 0, '-x')),
    'an unknown step': encode_progress(DoneTasks(0, 9, '1')),
    'an epoch below zero': encode(msgspec.structs.replace(OWNER, epoch=-1)),
    'an epoch of 400 digits': b'{"epoch":' + b'9' * 400 + b',"host":"x","term":"x/1"}',
    'a host that is a number': b'{"epoch":9,"host":7,"term":"x/1"}',
    'port 0': encode(msgspec.structs.replace(MEMBER, port=0)),
    'port 99999': encode(msgspec.structs.replace(MEMBER, port=99999)),
    'an address of 300 characters': encode(msgspec.structs.replace(MEMBER, address='a' * 300)),
    'an address that is a name': encode(msgspec.structs.replace(MEMBER, address='host.example')),
}
BEFORE = {
    'nothing': (),
    'a job': (make_record(f'j/{JOB}', SUBMISSION),),
    'a job in progress': (make_record(f'j/{JOB}', SUBMISSION), make_record(f'e/{JOB}', PROGRESS)),
    'a completed job': (make_record(f'e/{JOB}', Progress(4, JobState.COMPLETED, ended_at=9.0)),),
}


@given('a host that has read {before}')
def host_that_has_read(context, before):
    context.memory = MemoryTopic()
    context.host = Host('me', context.memory, ManualClock())
    append(context, *BEFORE[before])


def append(context, *records):
    """Append records to the topic and let the host read all new ones."""
    if records:
        curio.run(context.memory.append, records, 0.1)
    curio.run(context.host.follower._read_snapshot_or_batch)
    curio.run(context.host.follower._read_snapshot_or_batch)


@when('the record of {key} becomes {record}')
def change_record(context, key, record):
    append(context, KeyedRecord(f'{key}/{JOB}', BAD_RECORDS[record]))


@when('a client submits a job with {part}')
def submit_with_part(context, part):
    # Of a field that is given twice the last one counts.
    context.body = b'{"spec":"x","steps":[{"count":1}],"repeat_count":2,%s}' % part.encode()


@then('it is refused as invalid')
def check_refused(context):
    try:
        decode_submission(context.body)
    except SubmissionError:
        return
    raise AssertionError('it was accepted')


@when('it starts again from a snapshot in which {key} is {record}')
def read_snapshot_with(context, key, record):
    bad = KeyedRecord(f'{key}/{JOB}', BAD_RECORDS[record])
    curio.run(context.memory.append, [bad], 0.1)
    context.host.follower._offset = None
    append(context)


@when('the same job is submitted again')
def resubmit_job(context):
    stored_job = context.host.projection.state.find_job(JOB)
    # A host that considered the job accepted would not store it again.
    assert stored_job.may_be_resubmitted
    append(context, make_record(f'j/{JOB}', SUBMISSION))


@then('the job is shown as {state}')
def check_shown_state(context, state):
    stored_job = context.host.projection.state.find_job(JOB)
    assert stored_job is not None, 'the job is not known'
    assert stored_job.state is JobState(state), stored_job


def start_term(context):
    """Return the dispatcher of a term that the host begins with its present state."""
    clock, former = context.host.clock, context.host.projection.state.owner
    clock.advance(SILENT_SECONDS)
    term = Term(9, 'me/1', WriterFence(9, 1), clock.now - 1, False, False, former=former)
    dispatcher = make_dispatcher(context.host, term, context.memory, clock)
    dispatcher._load_state()
    return dispatcher


@then('the job is {handled}')
def check_started(context, handled):
    stored_job = context.host.projection.state.find_job(JOB)
    dispatcher = start_term(context)
    cell = dispatcher.cell
    job = cell.job_by_id.get(JOB)
    startable = (
        job is not None and not job.is_finished and bool(job.ready_steps(context.host.clock.now))
    )
    assert startable is (handled == 'started'), (stored_job, job)


@given("a host that reads an owner's heartbeats")
def host_with_owner(context):
    context.memory = MemoryTopic()
    context.host = Host('me', context.memory, ManualClock())
    append(context, make_record('owner', OWNER))
    context.heartbeat_at = context.host.projection.owner_heartbeat_at


@when('the ownership record becomes {record}')
def change_owner_record(context, record):
    context.host.clock.advance(0.4)
    append(context, KeyedRecord('owner', BAD_RECORDS[record]))


@then('it does not count as a heartbeat')
def check_no_heartbeat(context):
    assert context.host.projection.owner_heartbeat_at == context.heartbeat_at


@then('the known owner is unchanged')
def check_owner_unchanged(context):
    assert context.host.projection.state.owner == OWNER
    # Also after the host has had to start again from a snapshot.
    context.host.follower._offset = None
    append(context)
    assert context.host.projection.state.owner == OWNER


@then('a host that starts now waits for a heartbeat before it claims')
def check_late_host_waits(context):
    late = Host('late', context.memory, ManualClock())
    curio.run(late.follower._read_snapshot_or_batch)
    curio.run(late.follower._read_snapshot_or_batch)
    late.follower.fresh_at = late.clock.now
    late.follower.reachable_since = late.clock.now
    assert late.election._find_vacancy() is Vacancy.HELD
    late.clock.advance(SILENT_SECONDS + 0.1)
    late.follower.fresh_at = late.clock.now
    assert late.election._find_vacancy() is Vacancy.SILENT
    # A host that claims then must expect running tasks of the unknown owner.
    assert late.projection.state.owner.unsettled == UNKNOWN_LEASES_END_SECONDS


@given('a job that an owner has started on the runner i-1')
def store_started_job(context):
    context.memory = MemoryTopic()
    context.host = Host('me', context.memory, ManualClock())
    job = (make_record(f'j/{JOB}', SUBMISSION), make_record(f'e/{JOB}', PROGRESS))
    append(context, make_record('owner', OWNER), *job)


@when('a host that has read no list takes over, and the list is invalid JSON')
def take_over_with_unreadable_list(context):
    append(context, KeyedRecord('runners', BAD_RECORDS['invalid JSON']))
    context.dispatcher = start_term(context)


@then('it starts no task of that job until all leases must have expired')
def check_not_started(context):
    cell = context.dispatcher.cell
    assert cell.is_blocked(cell.job_by_id[JOB])
    checks = context.dispatcher._periodic_checks
    checks._drop_unseen_runners(checks.predecessor_leases.expire_at + 0.1)
    assert not cell.is_blocked(cell.job_by_id[JOB])


@given('a host that knows a peer')
def host_with_peer(context):
    context.memory = MemoryTopic()
    context.host = Host('me', context.memory, ManualClock())
    append(context, make_record('m/entry-1', MEMBER))


@when("the peer's record becomes {record}")
def change_peer_record(context, record):
    append(context, KeyedRecord('m/entry-1', BAD_RECORDS[record]))


@then('the known address of the peer is unchanged')
def check_peer_unchanged(context):
    assert context.host.projection.state.member_by_host == {'entry-1': MEMBER}
