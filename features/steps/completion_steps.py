"""Steps on jobs that complete before their end is stored."""

import curio
from behave import given, then, when

from dandelionreel.cell.membership._completions import MAX_KEPT_JOBS, RETENTION_SECONDS, Completions
from dandelionreel.cell.membership._election import Term
from dandelionreel.cell.model import JobSpec, Submission, WriterFence
from dandelionreel.cell.model._model import JobState
from dandelionreel.cell.model._records import (
    MEMBER_PREFIX,
    PROGRESS_PREFIX,
    SUBMISSION_PREFIX,
    Member,
    Progress,
    make_record,
)
from dandelionreel.cell.model._services import StoreError
from dandelionreel.cell.owner._completion_gossip import CompletionGossip
from dandelionreel.cell.store._cell_state import CellState
from dandelionreel.kernel import ManualClock, SystemClock, Verdict
from dandelionreel.peers import CompletionsTold, CompletionsWanted, Done, Frame, PeerError, Refused
from features.cell_parts import SmallCell, make_registration, step, task
from features.store_parts import Host, make_dispatcher, make_owner_context, until
from standins import MemoryTopic

JOB = '0123456789abcdef'
PEER = make_record(f'{MEMBER_PREFIX}peer', Member('south', '127.0.0.1', 1))


class FailingTopic(MemoryTopic):
    """A topic that refuses all appends."""

    async def append(self, records, timeout, fence=None, expected_end=None):
        """Refuse the append."""
        raise StoreError('the store answered 503', Verdict.NOT_RUN)


class PeerLinks:
    """Links to one peer with ``completions``; without them it does not reply."""

    def __init__(self, completions):
        self.completions = completions
        self.request_count = 0

    async def request(self, member, message, timeout):
        """Reply as a host does."""
        self.request_count += 1
        if self.completions is None:
            raise PeerError('no answer in time', Verdict.UNKNOWN)
        if isinstance(message, CompletionsWanted):
            known = self.completions.list_for_owner(message.epoch)
            return Frame(1, 'peer/1', 0, 0, CompletionsTold(message.epoch, known))
        accepted = self.completions.merge_owner_report(message.epoch, message.jobs)
        return Frame(1, 'peer/1', 0, 0, Done() if accepted else Refused('later'))


@given('an owner whose store {works}, and a peer that {answers}')
def owner_and_peer(context, works, answers):
    clock = SystemClock()
    context.small = SmallCell()
    context.small.add_job(JOB, [step()])
    context.small.plan()
    topic = FailingTopic() if works == 'is unavailable' else MemoryTopic()
    context.owner = make_owner_context(context.small.cell, clock, topic)
    peer_completions = None if answers == 'does not answer' else Completions(clock)
    if answers == 'was queried by a later owner':
        peer_completions.list_for_owner(2)
    context.peer = PeerLinks(peer_completions)
    cell_state = CellState()
    cell_state.apply([PEER])
    context.completions = Completions(clock)
    context.gossip = CompletionGossip(
        context.owner, cell_state, context.peer, context.completions, 'me'
    )


@when('a runner lists the end of its job')
def list_end(context):
    (start,) = context.small.allocations
    context.small.poll(start.runner, ended=[(1, task(JOB), start.run, 'done')])

    async def list_end_of_run():
        await curio.spawn(context.owner.writer.run, daemon=True)
        await curio.spawn(context.gossip.run, daemon=True)
        await curio.spawn(context.owner.flush_progress, daemon=True)
        await curio.ignore_after(1, until, lambda: context.completions.contains(JOB))

    curio.run(list_end_of_run)


@then('clients are told {state} within a second')
def clients_told_state(context, state):
    assert context.completions.contains(JOB) is (state == 'completed')


@then('no message is sent to the peer')
def peer_gets_nothing(context):
    assert context.peer.request_count == 0, context.peer.request_count


@given('a store in which a job runs on w1')
def stored_job(context):
    context.topic = MemoryTopic()
    submission = Submission('urgent', 'desk', 0.0, JobSpec('payload', (step(),)))
    records = [
        make_record(SUBMISSION_PREFIX + JOB, submission),
        make_record(PROGRESS_PREFIX + JOB, Progress(1, JobState.RUNNING, runners=('w1',))),
        PEER,
    ]
    curio.run(context.topic.append, records, 0.1)


@given('a peer that was told that the job is complete and that {answers}')
def informed_peer(context, answers):
    completions = Completions(SystemClock())
    completions.add([JOB])
    context.peer = PeerLinks(completions if answers == 'replies' else None)


@when('a host that was not told owns the cell and w1 has crashed')
def take_over_uninformed(context):
    host = Host('me', context.topic)
    term = Term(2, 'me/1', WriterFence(2, 1), None, False, True)

    async def take_over():
        await curio.spawn(host.follower.run, daemon=True)
        await until(lambda: host.follower.has_reached_end)
        dispatcher = make_dispatcher(host, term, context.topic, host.clock, links=context.peer)
        dispatcher._load_state()
        dispatcher._completion_gossip.block_started_jobs()
        cell = dispatcher.cell
        # w1 is gone; w2 is available and could run the task.
        cell.update_runners({'w2': make_registration('w2')}, 0)
        context.blocked_at_first = cell.is_blocked(cell.job_by_id[JOB])
        await dispatcher._completion_gossip.query_successors()
        return cell

    context.cell = curio.run(take_over)


@then("the job's task is {outcome}")
def started_again(context, outcome):
    job = context.cell.job_by_id[JOB]
    assert context.blocked_at_first, 'it could be started before the peers had replied'
    assert not context.cell.is_blocked(job)
    waits = bool(job.ready_steps(0)) and not job.is_finished
    assert waits is (outcome == 'started again'), job.state
    if not waits:
        assert [dirty.id for dirty in context.cell.take_dirty_jobs()] == [JOB]


@given('a host that the owner of epoch {epoch:d} has queried')
def queried_host(context, epoch):
    context.completions = Completions(ManualClock(0))
    assert context.completions.list_for_owner(epoch) == ()


@when('the owner of epoch {epoch:d} tells it that a job is complete')
def owner_reports(context, epoch):
    context.accepted = context.completions.merge_owner_report(epoch, [JOB])


@then('its report is refused, and clients are not told')
def report_refused(context):
    assert not context.accepted and not context.completions.contains(JOB)


@then('clients are told that it is completed')
def clients_told(context):
    assert context.accepted and context.completions.contains(JOB)


@given('a host that is told of {count:d} complete jobs over an hour')
def informed_for_an_hour(context, count):
    context.clock = ManualClock(0)
    context.completions = Completions(context.clock)
    context.jobs = [f'{number:016x}' for number in range(count)]
    for job in context.jobs:
        context.completions.add([job])
        context.clock.advance(3600 / count)
    context.count = count


@then('it keeps those of the last minute, and at most {most:d}')
def keeps_recent(context, most):
    kept = [job for job in context.jobs if context.completions.contains(job)]
    lasting = int(RETENTION_SECONDS / 3600 * context.count)
    assert kept == context.jobs[-len(kept) :] and abs(len(kept) - lasting) <= 1, len(kept)
    context.completions.add(f'{number:016x}' for number in range(100_000, 100_000 + 2 * most))
    assert len(context.completions.list_for_owner(1)) <= most == MAX_KEPT_JOBS
