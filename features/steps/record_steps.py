"""Steps for the stored form of the cell's own records."""

import msgspec
from behave import given, then

from dandelionreel.cell.model import Demand, JobSpec, JobState, Step
from dandelionreel.cell.model._records import (
    Cancellation,
    CrashedRun,
    DoneTasks,
    FailedRun,
    Leftover,
    Member,
    Owner,
    Progress,
    RunnersInUse,
    RunnerSpeed,
    RunnerSpeeds,
    StoredStart,
    Submission,
)

DEMAND = Demand(500, 256, 0)
RECORDS = {
    'an accepted job': Submission(
        'q', 's', 1.5, JobSpec('p', (Step(2, DEMAND, 0.5, depends_on=(0,)),)), 'north', 'blue'
    ),
    'a cancellation': Cancellation(2.5),
    'progress of a running job': Progress(
        3,
        JobState.RUNNING,
        (DoneTasks(0, 1, '5'),),
        (FailedRun(0, 1, 2, 3001),),
        runners=('i-1@7',),
        crashed=(CrashedRun(0, 0, 0, 3001, True),),
        starts=(StoredStart(0, 0, 0, 3002, 'i-2@8'),),
        doubtful=True,
        account='blue',
    ),
    'progress of a finished job': Progress(
        3,
        JobState.COMPLETED,
        ended_at=9.5,
        account='blue',
        leftovers=(Leftover('i-1@7', DEMAND),),
    ),
    'an owner': Owner(3, 'h', 'h/1/3', 4, True, 1.5, 6, 7),
    'runners in use': RunnersInUse(3, ('i-1@7', 'i-2')),
    'speeds of runners': RunnerSpeeds(3, (RunnerSpeed('i-1@7', 55), RunnerSpeed('i-2', 120))),
    'a member': Member('north', '10.0.0.1', 7720, 'h/1', 2.0, 6),
}


@given('{record} as created by this version')
def make_known_record(context, record):
    context.record = RECORDS[record]


@then('it is stored as {stored}')
def stored_as(context, stored):
    context.stored = stored
    assert msgspec.json.encode(context.record).decode() == stored, msgspec.json.encode(
        context.record
    )


@then('the stored form is decoded to the same record')
def read_back(context):
    read = msgspec.json.decode(context.stored, type=type(context.record))
    assert read == context.record, read
