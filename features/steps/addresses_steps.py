"""Steps for runners that share an address."""

from contextlib import AsyncExitStack

import curio
from behave import given, then, when

from dandelionreel.cell.decisions import AllocationPhase
from dandelionreel.cell.decisions._runner_state import Allocation
from dandelionreel.cell.membership._election import Term
from dandelionreel.cell.model import (
    Demand,
    KeyedRecord,
    RecordBatch,
    Runner,
    RunnerError,
    RunnerReplaced,
    WriterFence,
)
from dandelionreel.cell.model._model import JobSpec, JobState
from dandelionreel.cell.model._records import (
    PROGRESS_PREFIX,
    RUNNERS_IN_USE_KEY,
    SUBMISSION_PREFIX,
    Progress,
    RunnersInUse,
    Submission,
    make_record,
)
from dandelionreel.cell.owner._runner_poller import RunnerPoller
from dandelionreel.kernel import Verdict
from features.cell_parts import make_registration, step, task
from features.store_parts import LONG_TIMEOUT, Host, make_dispatcher
from standins import MemoryTopic


class SharedAddressCodec:
    """Decodes every runner entry to the same address."""

    def decode_registration(self, runner, content):
        """Return a registration with the shared port."""
        return make_registration(runner, port=4)


@given('runner w9 at the address of w8, whose entry has not expired yet')
def two_entries(context):
    # The live runner has written its entry last.
    context.entries = tuple(
        KeyedRecord(runner, b'{}', offset) for offset, runner in enumerate(('w8', 'w9'))
    )


@when('a host succeeds an owner that had a job on w9')
def succeed(context):
    topic = MemoryTopic()
    host = Host('me', topic)
    submission = Submission('urgent', 'desk', 0.0, JobSpec('payload', (step(),)))
    progress = Progress(1, JobState.RUNNING, runners=('w9',))
    host.projection.state.apply(
        [
            make_record(f'{SUBMISSION_PREFIX}j1', submission),
            make_record(f'{PROGRESS_PREFIX}j1', progress),
            make_record(RUNNERS_IN_USE_KEY, RunnersInUse(1, ('w9',))),
        ]
    )
    term = Term(2, 'me/1', WriterFence(2, 1), host.clock.monotonic(), False, False)
    context.dispatcher = make_dispatcher(host, term, topic, host.clock)
    runners = context.dispatcher._dependencies.runners
    runners._codec = SharedAddressCodec()
    runners.apply(RecordBatch(context.entries, 2, 2))
    context.dispatcher._load_state()


@then('that job is blocked until w9 has been polled')
def stays_blocked(context):
    cell = context.dispatcher.cell
    assert cell.is_blocked(cell.job_by_id['j1']), cell.unseen_runners


class Unreachable(Runner):
    """A runner that no request reaches."""

    async def start_task(self, order, check):
        raise RunnerError('no answer', Verdict.UNKNOWN)

    async def stop_run(self, task, run, epoch):
        raise RunnerError('no answer', Verdict.UNKNOWN)

    async def poll(self, epoch, acknowledged, lease_until, wait):
        await curio.sleep(LONG_TIMEOUT)

    async def close(self):
        """Do nothing, as no connection is open."""


@given('an owner with a task on w9, which is unreachable')
def owner_with_task(context):
    topic = MemoryTopic()
    host = Host('me', topic)
    term = Term(1, 'me/1', WriterFence(1, 1), None, False, False)
    context.dispatcher = make_dispatcher(
        host, term, topic, host.clock, lambda registration: Unreachable()
    )
    context.runners = context.dispatcher._dependencies.runners
    context.runners._codec = SharedAddressCodec()
    read_entry(context, 'w9', b'{}', 5)
    cell = context.dispatcher.cell
    (state,) = cell.update_runners(context.runners.registration_by_id, 0.0)
    context.task = task('j1')
    state.add_allocation(
        Allocation(context.task, 1001, 'w9', Demand(), 0.0, phase=AllocationPhase.RUNNING)
    )


def read_entry(context, runner, content, offset):
    context.runners.apply(RecordBatch((KeyedRecord(runner, content, offset),), offset, offset))


def run_update(context):
    async def update_runners():
        async with AsyncExitStack() as stack:
            await context.dispatcher._periodic_checks._start_polling_new_runners(stack)

    curio.run(update_runners)


@when('the entry of w9 expires, and a late heartbeat of w8 arrives from its address')
def late_heartbeat(context):
    read_entry(context, 'w9', None, 6)
    read_entry(context, 'w8', b'{}', 7)
    run_update(context)


@then('the task still counts as running on w9')
def still_counts(context):
    state = context.dispatcher.cell.runner_by_id.get('w9')
    assert state is not None, 'w9 was removed as ended'
    assert (context.task, 1001) in state.allocation_by_run


@when('another runner answers at the address of w9')
def another_answers(context):
    owner = context.dispatcher._owner_context
    state = context.dispatcher.cell.runner_by_id['w9']

    async def poll():
        runner = Unreachable()
        runner.poll = replaced_poll
        owner.runner_by_id['w9'] = runner
        await RunnerPoller(owner).poll_runner(state, runner)

    curio.run(poll)


async def replaced_poll(epoch, acknowledged, lease_until, wait):
    raise RunnerReplaced('w9')


@then('w9 is not added as a new runner')
def not_new(context):
    cell = context.dispatcher.cell
    assert 'w9' in context.runners.registration_by_id
    assert not cell.update_runners(context.runners.registration_by_id, 1.0)
    assert 'w9' not in cell.runner_by_id
