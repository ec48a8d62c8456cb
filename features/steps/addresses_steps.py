"""Steps on runners that share an address."""

from behave import given, then, when

from dandelionreel.cell import KeyedRecord, RecordBatch, WriterFence
from dandelionreel.cell._election import Term
from dandelionreel.cell._model import JobSpec, JobState
from dandelionreel.cell._records import (
    ATTENDED_KEY,
    PROGRESS,
    SUBMISSION,
    Attended,
    Progress,
    Submission,
    make_record,
)
from features.cell_parts import make_registration, step
from features.steps.succession_steps import make_dispatcher
from features.store_parts import Host
from standins import MemoryTopic


class OneAddress:
    """Decodes the entries of runners that share an address."""

    def decode_registration(self, runner, content):
        """Return the runner's entry."""
        return make_registration(runner, port=4)


@given('runner w9 at the address of w8, whose entry has not expired yet')
def two_entries(context):
    # The runner that lives has written last.
    context.entries = tuple(
        KeyedRecord(runner, b'{}', offset) for offset, runner in enumerate(('w8', 'w9'))
    )


@when('a host follows an owner that had a job on w9')
def follows(context):
    topic = MemoryTopic()
    host = Host('me', topic)
    submission = Submission('urgent', 'desk', 0.0, JobSpec('payload', (step(),)))
    progress = Progress(1, JobState.RUNNING, runners=('w9',))
    host.folder.book.fold(
        [
            make_record(f'{SUBMISSION}j1', submission),
            make_record(f'{PROGRESS}j1', progress),
            make_record(ATTENDED_KEY, Attended(1, ('w9',))),
        ]
    )
    term = Term(2, 'me/1', WriterFence(2, 1), host.clock.monotonic(), False, False)
    context.dispatcher = make_dispatcher(host, term, topic, host.clock)
    runners = context.dispatcher._parts.runners
    runners._codec = OneAddress()
    runners.fold(RecordBatch(context.entries, 2, 2))
    context.dispatcher._begin()


@then('that job is left alone until w9 has been seen')
def left_alone(context):
    cell = context.dispatcher.cell
    assert cell.is_blocked(cell.job_by_id['j1']), cell.unseen
