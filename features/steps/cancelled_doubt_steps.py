"""Steps on submissions without an answer that are cancelled."""

import curio
from behave import given, then, when

from dandelionreel.cell.model import (
    CANCELLATION_PREFIX,
    Cancellation,
    JobState,
    make_record,
)
from dandelionreel.cell.owner._stale_cancellations import StaleCancellations
from dandelionreel.cell.store import CellProjection
from dandelionreel.kernel import ManualClock
from features.client_hosts import JOB, ClientHost
from features.store_parts import (
    LONG_TIMEOUT,
    journal,
    until,
)
from standins import MemoryTopic

CANCELLATIONS = 10_000


class TwoClientHosts:
    """The owner of a cell and another host, whose links to the store fail separately."""

    def __init__(self):
        self.topic = MemoryTopic()
        self.host_by_name = {
            'the owner': ClientHost('owner', self.topic),
            'the other host': ClientHost('other', self.topic),
        }
        self.owner = self.host_by_name['the owner']

    async def submit_without_answer(self, first):
        """Leave a submission without an answer: it reaches the store late."""
        for host in self.host_by_name.values():
            await host.start()
        await self.owner.own()
        host = self.host_by_name[first]
        host.topic.down = True
        host.topic.faults.append('late')
        answer = await host.request('POST')
        assert answer.status == 504, answer

    async def store_submission(self):
        """Carry the late append out, and let all hosts reach the store again."""
        self.topic.apply_late_appends()
        for host in self.host_by_name.values():
            host.topic.down = False

    async def replace_owner(self):
        """Let the other host own the cell, and carry the late append out then."""
        self.owner.topic.down = True
        for host in self.host_by_name.values():
            host.topic.down = host is self.owner
        self.owner = self.host_by_name['the other host']
        await self.owner.own()
        await self.store_submission()

    async def submit_again(self):
        """Submit the job once more at the owner."""
        await self.store_submission()
        answer = await self.owner.request('POST')
        assert answer.status == 200, answer


EVENTS = {
    'the submission is stored': TwoClientHosts.store_submission,
    'the submission is stored under a new owner': TwoClientHosts.replace_owner,
    'its client submits it again': TwoClientHosts.submit_again,
}


@given('two hosts and a store that leaves the submission at {first} without an answer')
def submission_without_answer(context, first):
    context.hosts = TwoClientHosts()
    context.first = first


async def request_after_submission(context, method, second):
    await context.hosts.submit_without_answer(context.first)
    host = context.hosts.host_by_name[second]
    if second != context.first:
        host.topic.down = False
    elif method == 'DELETE':
        # The host reaches the store again; the submission is still on its way.
        host.topic.down = False
    answer = await host.request(method)
    while method == 'DELETE' and answer.status == 503:
        # The host has not noticed yet that it reaches the store again.
        await curio.sleep(0.2)
        answer = await host.request(method)
    return answer


@when('its client cancels the job at {second}, and then {event}')
def cancel_job(context, second, event):
    async def cancel():
        context.answer = await request_after_submission(context, 'DELETE', second)
        await EVENTS[event](context.hosts)
        hosts = context.hosts.host_by_name.values()
        await curio.ignore_after(
            4, until, lambda: all(host.stored_state() is JobState.CANCELLED for host in hosts)
        )
        await curio.sleep(0.1)
        context.states = [host.stored_state() for host in hosts]
        context.job = context.hosts.owner.dispatcher.cell.job_by_id.get(JOB)

    curio.run(cancel)


@then('the cancellation is answered {status:d}, and all hosts show the job as cancelled')
def shown_as_cancelled(context, status):
    assert context.answer.status == status, context.answer
    assert context.states == [JobState.CANCELLED] * 2, context.states


@then('the owner has started nothing of it')
def nothing_started(context):
    assert context.job is None or (context.job.is_finished and not context.job.has_started)


@when('its client asks for the state at {second}')
def ask_for_state(context, second):
    context.answer = curio.run(request_after_submission, context, 'GET', second)


@then('it is told that this is not known yet')
def not_known_yet(context):
    assert context.answer.status == 503, context.answer
    assert b'submission-in-doubt' in context.answer.body, context.answer


@given('a stored cancellation by the account red of a job that is not known')
def cancellation_of_account(context):
    context.jobs = CellProjection(ManualClock(1000), journal())
    record = make_record(CANCELLATION_PREFIX + JOB, Cancellation(1.0, 'red'))
    context.jobs.state.apply([record])


@when('the account blue submits a job with its id')
def submit_as_blue(context):
    context.is_cancelled = context.jobs.state.is_cancelled(JOB, 'blue')
    assert context.jobs.state.is_cancelled(JOB, 'red')


@then('the job is not cancelled')
def not_cancelled(context):
    assert not context.is_cancelled


@given('a cell with 10000 cancellations of unknown jobs')
def many_cancellations(context):
    context.topic = MemoryTopic()
    context.client_host = ClientHost('me', context.topic)
    records = [
        make_record(f'{CANCELLATION_PREFIX}{number:016x}', Cancellation(1.0, ''))
        for number in range(CANCELLATIONS)
    ]
    curio.run(context.topic.append, records, LONG_TIMEOUT)


@when('a client cancels one more unknown job')
def cancel_one_more(context):
    async def cancel():
        await context.client_host.start()
        return await context.client_host.request('DELETE')

    context.answer = curio.run(cancel)


@then('it is told to retry later')
def told_to_retry(context):
    assert context.answer.status == 503, context.answer
    assert b'too-many-cancellations' in context.answer.body, context.answer


@then('the owner deletes all of them after {seconds:d} s, but none before')
def deleted_after(context, seconds):
    stale = StaleCancellations()
    state = context.client_host.host.projection.state
    assert not stale.find(state, 0.0)
    assert not stale.find(state, seconds - 0.1)
    assert len(stale.find(state, float(seconds))) == CANCELLATIONS
